//! The read that tells whether what is in force is current: every key's revision, each from a majority of the replicas.
use super::{told, Peers};
use crate::control_value::{ControlValue, CONFIGURATION, EVACUATION};
use crate::node_state::NodeState;
use silvercross_control_store::CallOutcome;
use silvercross_mesh_membership::Revision;
use std::collections::BTreeSet;
use std::rc::Rc;

impl Peers {
    /// The revisions of all keys that were ever written, each read by a majority; `None` where that can't be had now. A
    /// machine whose store is no replica reads at those that are.
    pub(super) async fn confirm(&self, node_state: &Rc<NodeState>) -> Option<Vec<(String, Revision)>> {
        let store = self.ledger.as_ref()?;
        let known = store.borrow().key_states().into_iter().map(|state| state.key);
        let zones = node_state.settings.zones.iter().map(|zone| format!("{EVACUATION}{zone}"));
        let mut keys: BTreeSet<String> = known.chain(zones).chain([CONFIGURATION.to_string()]).collect();
        let mut revisions = Vec::new();
        let mut read = BTreeSet::new();
        // The configuration may name keys that this machine has never heard of.
        while !keys.is_empty() {
            let asked: Vec<_> = keys.iter().map(|key| self.begin(node_state, store, key, None)).collect();
            self.pump(node_state);
            let mut named = BTreeSet::new();
            for (key, asked) in keys.iter().zip(asked) {
                let CallOutcome::Value { revision, value } = self.answer(asked).await else { return None };
                if value != ControlValue::Blank {
                    revisions.push((key.clone(), told(revision)));
                }
                named.extend(value.names());
            }
            read.append(&mut keys);
            keys = named.difference(&read).cloned().collect();
        }
        Some(revisions)
    }
}
