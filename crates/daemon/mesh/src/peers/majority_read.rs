//! Reads the revision of every key, each confirmed by a majority of the replicas, to determine whether the
//! control state in force is current.
use super::calls::KeyRequest;
use super::state::{entry_revision, Peers};
use crate::control_value::{evacuation_key, ControlValue, CONFIGURATION_KEY};
use crate::node_state::NodeState;
use silvercross_control_store::CallOutcome;
use silvercross_mesh_membership::EntryRevision;
use std::collections::BTreeSet;
use std::rc::Rc;

impl Peers {
    /// Returns the revisions of all keys that were ever written, each confirmed by a majority, or `None` if
    /// one can't be confirmed now. A node whose store is not a replica forwards the reads to the replicas.
    pub(super) async fn confirmed_revisions(&self, node_state: &Rc<NodeState>) -> Option<Vec<EntryRevision>> {
        let store = self.control_store.as_ref()?;
        let known = store.borrow().key_states().into_iter().map(|state| state.key);
        let zones = node_state.settings.zones.iter().map(|zone| evacuation_key(zone));
        let mut unread: BTreeSet<String> =
            known.chain(zones).chain([CONFIGURATION_KEY.to_string()]).collect();
        let mut revisions = Vec::new();
        let mut read = BTreeSet::new();
        // The configuration may name keys that are unknown to this node.
        while !unread.is_empty() {
            let calls: Vec<_> =
                unread.iter().map(|key| self.begin_call(node_state, store, key, KeyRequest::Read)).collect();
            self.carry_out_effects(node_state);
            let mut named = BTreeSet::new();
            for (key, call) in unread.iter().zip(calls) {
                let CallOutcome::Value { revision, value } = self.outcome(call).await else { return None };
                if value != ControlValue::Blank {
                    let revision = entry_revision(revision);
                    revisions.push(EntryRevision { key: key.clone(), revision });
                }
                named.extend(value.named_keys());
            }
            read.append(&mut unread);
            unread = named.difference(&read).cloned().collect();
        }
        Some(revisions)
    }
}
