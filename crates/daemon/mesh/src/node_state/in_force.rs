//! The control state in force on this node: what came of it, and which revision of each key. Knows nothing of what follows.
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Revision;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What is in force of the control state.
#[derive(Default)]
pub(super) struct InForce {
    /// The routing table of the configuration in force.
    pub(super) table: Rc<RoutingTable>,
    /// Whether a configuration has come.
    pub(super) is_configured: bool,
    /// The revision of each key.
    pub(super) revisions: BTreeMap<String, Revision>,
    /// Zones that are evacuated.
    pub(super) evacuated_zones: BTreeSet<String>,
}

impl InForce {
    /// Whether this revision of the key is newer than the one in force, and so is in force from here on.
    pub(super) fn take_revision(&mut self, key: &str, revision: Revision) -> bool {
        if self.revisions.get(key).is_some_and(|in_force| *in_force >= revision) {
            return false;
        }
        self.revisions.insert(key.to_string(), revision);
        true
    }

    /// This configuration is in force.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        self.table = Rc::new(RoutingTable::new(configuration));
        self.is_configured = true;
    }

    /// The zone is evacuated from here on, or no more.
    pub(super) fn set_evacuated(&mut self, zone: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated_zones.insert(zone.to_string());
        } else {
            self.evacuated_zones.remove(zone);
        }
    }
}
