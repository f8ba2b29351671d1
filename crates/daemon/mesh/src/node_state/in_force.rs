//! The control state in force on this node, and the revision of each key. It triggers no further actions.
use silvercross_mesh_config::{Configuration, RoutingTable};
use silvercross_mesh_membership::Revision;
use silvercross_time::Instant;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The newest order for a zone that has come to this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneOrder {
    /// Whether the zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// The order's revision.
    pub(crate) revision: Revision,
    /// Since when it has been in force here.
    pub(crate) since: Instant,
}

/// The control state in force.
#[derive(Default)]
pub(super) struct InForce {
    /// The routing table of the configuration in force.
    pub(super) table: Rc<RoutingTable>,
    /// Whether a configuration has been received.
    pub(super) is_configured: bool,
    /// The revision of each key.
    pub(super) revisions: BTreeMap<String, Revision>,
    /// The order in force for each zone that ever had one.
    pub(super) zone_orders: BTreeMap<String, ZoneOrder>,
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

    /// Whether a zone is evacuated.
    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.zone_orders.get(zone).is_some_and(|order| order.is_evacuated)
    }
}
