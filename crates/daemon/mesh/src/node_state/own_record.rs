//! What this node publishes of itself.
use super::state::NodeState;
use crate::control_value::ControlValue;
use crate::peers::{RecordBody, UpstreamRecord};
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership::Node;
use std::rc::Rc;

/// The replica set as a node with a disk knows it for certain; empty where it does not, for it is not repaired yet.
fn known_replica_set(store: &ControlStore<ControlValue>) -> Vec<u32> {
    if store.is_voter() || (store.is_outside() && store.replica_set().version > 0) {
        store.replica_nodes().iter().map(|node| node.0).collect()
    } else {
        Vec::new()
    }
}

impl NodeState {
    /// What this node publishes of itself.
    pub(crate) fn own_record_body(&self) -> RecordBody {
        let upstream = self.local_upstream.borrow().as_ref().map(|upstream| upstream.record.clone());
        self.record_body_with(upstream)
    }

    /// The same, with this upstream beside it.
    pub(super) fn record_body_with(&self, upstream: Option<UpstreamRecord>) -> RecordBody {
        RecordBody {
            inbound_port: self.settings.inbound_address.map_or(0, |address| address.port()),
            control_port: self.settings.control_address.map_or(0, |address| address.port()),
            stopping: self.stopping(),
            replica_set: self.known_replica_set(),
            upstream,
        }
    }

    /// The replica set of the control store, as this node knows it for certain; empty where it has no store. A node that has a
    /// disk and doesn't find itself in the set says so by publishing it: it may replace one that is lost.
    pub(crate) fn known_replica_set(&self) -> Vec<u32> {
        self.peers.control_store(known_replica_set).unwrap_or_default()
    }

    /// Tell the other nodes, the event stream and the balancers here of this node.
    pub(crate) fn publish_own_record(self: &Rc<Self>) {
        let body = self.own_record_body();
        self.peers.publish_own_record(self, body);
        self.stream_own_record();
        self.update_upstream_lists();
    }

    /// Tell the event stream of this node.
    pub(crate) fn stream_own_record(&self) {
        if let Some(event_stream) = self.event_stream.get() {
            let own_node = Node(self.settings.ip.to_bits());
            self.peers.membership(|membership| {
                membership.record(own_node).into_iter().for_each(|record| event_stream.record(record));
            });
        }
    }
}
