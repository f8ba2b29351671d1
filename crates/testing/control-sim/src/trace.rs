//! The trace of a control node's store: a line whenever its role or its replica set changes.

use crate::world::World;
use silvercross_control_store::Node;

impl World {
    /// Prints where a node's control store stands, if that has changed.
    pub(crate) fn note_store(&mut self, node: usize) {
        if !self.is_traced {
            return;
        }
        let Some(store) = &self.nodes[node].store else { return };
        let set = store.replica_set();
        let ids = |nodes: Vec<Node>| nodes.iter().map(|n| n.0.to_string()).collect::<Vec<_>>().join(" ");
        let owned: Vec<String> =
            store.owned_keys().iter().map(|owned| format!("{} {}", owned.key, owned.epoch.round)).collect();
        let accepted: Vec<String> = store
            .key_states()
            .iter()
            .map(|key| {
                let epoch = key.accepted.epoch;
                format!("{} {}.{}.{}", key.key, epoch.round, epoch.owner, key.accepted.sequence)
            })
            .collect();
        let state = format!(
            "id {} voter {} set {} [{}] leaving {:?} joining {:?} owns {owned:?}",
            self.nodes[node].id,
            store.is_voter(),
            set.version,
            ids(store.replica_nodes()),
            set.leaving.map(|n| n.0),
            set.joining.map(|n| n.0),
        );
        if self.nodes[node].traced_state != state {
            self.note(|| format!("  {node}: {state} {accepted:?}"));
            self.nodes[node].traced_state = state;
        }
    }
}
