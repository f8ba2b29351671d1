//! What there is in a world before anything runs.

use silvercross_control_store::Mutation;
use silvercross_mesh_membership as membership;
use silvercross_test_rng::Rng;

/// How control nodes carry out orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderHandling {
    /// As the mesh's program does it.
    Checked,
    /// While their callers have not closed the connection, however long they lay: as it was done before.
    UnlessClosed,
    /// Whoever has left, and under whichever epoch: as it was done before that.
    Any,
}

/// How many nodes there are, how well the network works, and which rule is changed on purpose.
#[derive(Clone, Debug)]
pub struct ScenarioPlan {
    /// Control nodes that are replicas from the start.
    pub replicas: usize,
    /// Control nodes that are none yet.
    pub spares: usize,
    /// Sidecars.
    pub sidecars: usize,
    /// Keys of the control state.
    pub keys: usize,
    /// Datagrams lost, of 1,000.
    pub datagram_loss_per_mille: u64,
    /// One frame, datagram or disk write in so many is late.
    pub one_in_delayed: u64,
    /// Bytes of a value that go in one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Whether the last key is one of orders.
    pub has_orders: bool,
    /// How control nodes carry out orders.
    pub order_handling: OrderHandling,
    /// The rule of the control stores that is changed on purpose; needs the feature `mutants`.
    pub store_mutation: Option<Mutation>,
    /// The rule of readiness that is changed on purpose; needs the feature `mutants`.
    pub membership_mutation: Option<membership::Mutation>,
}

impl ScenarioPlan {
    /// Three replicas on a network that loses and delays nothing, and so many spare control nodes and sidecars.
    pub fn quiet(spares: usize, sidecars: usize) -> ScenarioPlan {
        ScenarioPlan {
            replicas: 3,
            spares,
            sidecars,
            keys: 1,
            datagram_loss_per_mille: 0,
            one_in_delayed: u64::MAX,
            snapshot_chunk_bytes: 100_000,
            has_orders: false,
            order_handling: OrderHandling::Checked,
            store_mutation: None,
            membership_mutation: None,
        }
    }

    /// The plan that a seed draws.
    pub fn drawn(seed: u64, store_mutation: Option<Mutation>) -> ScenarioPlan {
        let mut rng = Rng::new(seed ^ 0x5eed);
        ScenarioPlan {
            replicas: if rng.one_in(5) { 5 } else { 3 },
            spares: rng.index(3),
            sidecars: 2 + rng.index(7),
            keys: 1 + rng.index(2),
            datagram_loss_per_mille: rng.below(80),
            one_in_delayed: 2 + rng.below(200),
            // Values of some bytes go in one to ten chunks.
            snapshot_chunk_bytes: [10, 33, 100_000][rng.index(3)],
            has_orders: false,
            order_handling: OrderHandling::Checked,
            store_mutation,
            membership_mutation: None,
        }
    }

    /// The same with one more key, which is of orders.
    pub fn with_orders(self) -> ScenarioPlan {
        ScenarioPlan { keys: self.keys + 1, has_orders: true, ..self }
    }

    /// The keys of items with versions.
    pub fn versioned_keys(&self) -> usize {
        self.keys - usize::from(self.has_orders)
    }

    /// Control nodes, replicas or not. Their indices come before those of sidecars.
    pub fn control_nodes(&self) -> usize {
        self.replicas + self.spares
    }
}

/// What the key of an index is called.
pub fn key_name(key: usize) -> String {
    format!("key-{key}")
}

/// The index of the key that is called so.
pub(crate) fn key_index(name: &str) -> Option<usize> {
    name.strip_prefix("key-")?.parse().ok()
}
