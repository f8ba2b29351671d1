//! The control state in force on this node, and the revision of each key. It triggers no further actions.
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Revision;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The control state in force.
#[derive(Default)]
pub(super) struct InForce {
    /// The routing table of the configuration in force.
    pub(super) table: Rc<RoutingTable>,
    /// Whether a configuration has been received.
    pub(super) is_configured: bool,
    /// The revision of each key.
    pub(super) revisions: BTreeMap<String, Revision>,
    /// The evacuated zones.
    pub(super) evacuated_zones: BTreeSet<String>,
}

impl InForce {
    /// Records a revision of a key if it is newer than the one in force. Returns whether it is.
    pub(super) fn advance_revision(&mut self, key: &str, revision: Revision) -> bool {
        if self.revisions.get(key).is_some_and(|in_force| *in_force >= revision) {
            return false;
        }
        self.revisions.insert(key.to_string(), revision);
        true
    }

    /// Puts a configuration in force.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        self.table = Rc::new(RoutingTable::new(configuration));
        self.is_configured = true;
    }

    /// Records whether a zone is evacuated.
    pub(super) fn set_evacuated(&mut self, zone: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated_zones.insert(zone.to_string());
        } else {
            self.evacuated_zones.remove(zone);
        }
    }
}
