//! The state that a control store reports to its caller.

use crate::key_slot::{KeySlot, Ownership};
use crate::metrics::{KeyState, Metrics, OwnedKey, Role};
use crate::replica_set::ReplicaSet;
use crate::store::ControlStore;
use crate::types::{Epoch, Node};
use crate::value::State;

impl<V: State> ControlStore<V> {
    /// The keys that this node owns, with a value committed under its epoch.
    pub fn owned_keys(&self) -> Vec<OwnedKey> {
        let owned = |(key, slot): (&String, &KeySlot<V>)| {
            let owner = slot.owner()?;
            let revision = owner.committed.as_ref()?.revision;
            Some(OwnedKey { key: key.clone(), epoch: owner.epoch, revision })
        };
        self.keys.iter().filter_map(owned).collect()
    }

    /// All keys as an operator sees them.
    pub fn key_states(&self) -> Vec<KeyState> {
        let state = |(key, slot): (&String, &KeySlot<V>)| KeyState {
            key: key.clone(),
            promised: slot.promised,
            accepted: slot.accepted,
            owner: (slot.highest_epoch != Epoch::default()).then_some(Node(slot.highest_epoch.owner)),
            role: self.role(slot),
        };
        self.keys.iter().map(state).collect()
    }

    fn role(&self, slot: &KeySlot<V>) -> Role {
        match &slot.ownership {
            _ if !self.is_voter() => Role::Repairing,
            Ownership::Replica => Role::Replica,
            Ownership::Owner(owner) if owner.committed.is_some() => Role::Owner,
            _ => Role::Claiming,
        }
    }

    /// The counters.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The replica set known to this node.
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// The nodes of that replica set, including a joining or leaving one.
    pub fn replica_nodes(&self) -> Vec<Node> {
        self.replica_set.nodes().collect()
    }

    /// Whether this node is not in the replica set.
    pub fn is_outside(&self) -> bool {
        !self.replica_set.contains(self.node)
    }
}
