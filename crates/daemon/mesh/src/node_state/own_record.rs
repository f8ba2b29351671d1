//! The record that this node publishes.
use super::state::NodeState;
use crate::control_value::ControlValue;
use crate::peers::{RecordBody, UpstreamRecord};
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership::Node;
use std::rc::Rc;

/// Returns the replica set if this node knows it for certain. It is empty otherwise, for example before the
/// disk has been repaired.
fn known_replica_set(store: &ControlStore<ControlValue>) -> Vec<u32> {
    if store.is_voter() || (store.is_outside() && store.replica_set().version > 0) {
        store.replica_nodes().iter().map(|node| node.0).collect()
    } else {
        Vec::new()
    }
}

impl NodeState {
    /// Returns the body of this node's record.
    pub(crate) fn own_record_body(&self) -> RecordBody {
        let upstream = self.local_upstream.borrow().as_ref().map(|upstream| upstream.record.clone());
        self.record_body_with(upstream)
    }

    /// Returns the body of the record with this local upstream.
    pub(super) fn record_body_with(&self, upstream: Option<UpstreamRecord>) -> RecordBody {
        RecordBody {
            inbound_port: self.settings.inbound_address.map_or(0, |address| address.port()),
            control_port: self.settings.control_address.map_or(0, |address| address.port()),
            stopping: self.stopping(),
            replica_set: self.known_replica_set(),
            upstream,
        }
    }

    /// Returns the replica set of the control store if this node knows it for certain, and is empty if it has
    /// no store. By publishing a set that does not contain it, a node with a disk offers to replace a lost
    /// replica.
    pub(crate) fn known_replica_set(&self) -> Vec<u32> {
        self.peers.control_store(known_replica_set).unwrap_or_default()
    }

    /// Publishes the record of this node to the other nodes, the event stream and the local balancers.
    pub(crate) fn publish_own_record(self: &Rc<Self>) {
        let body = self.own_record_body();
        self.peers.publish_own_record(self, body);
        self.stream_own_record();
        self.update_upstream_lists();
    }

    /// Sends the record of this node to the event stream.
    pub(crate) fn stream_own_record(&self) {
        if let Some(event_stream) = self.event_stream.get() {
            let own_node = Node(self.settings.ip.to_bits());
            self.peers.membership(|membership| {
                membership.record(own_node).into_iter().for_each(|record| event_stream.record(record));
            });
        }
    }
}
