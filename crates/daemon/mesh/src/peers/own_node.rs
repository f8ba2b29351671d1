//! What this node says of itself to membership and the control store: its record, its seeds, that it stops.
use super::frame::Frame;
use super::record::RecordBody;
use super::state::Peers;
use crate::node_state::NodeState;
use silvercross_mesh_membership::Node;
use std::rc::Rc;

impl Peers {
    /// Publish this node's record to all others.
    pub(crate) fn publish_own_record(&self, node_state: &Rc<NodeState>, body: RecordBody) {
        self.membership.borrow_mut().update_body(node_state.now(), body);
        self.carry_out_effects(node_state);
    }

    /// Go by other seeds than at the start.
    pub(crate) fn set_seeds(&self, node_state: &Rc<NodeState>, seeds: &[Node]) {
        self.membership.borrow_mut().set_seeds(node_state.now(), seeds);
        self.carry_out_effects(node_state);
    }

    /// This node leaves the mesh: its record says that it is gone.
    pub(crate) fn leave_membership(&self, node_state: &Rc<NodeState>) {
        self.membership.borrow_mut().leave(node_state.now());
        self.carry_out_effects(node_state);
    }

    /// This process is told to stop: its replica is to be replaced while it is still there.
    pub(crate) fn leave_replica_set(&self, node_state: &Rc<NodeState>) {
        if let Some(store) = &self.control_store {
            store.borrow_mut().begin_graceful_stop(node_state.now());
        }
        self.carry_out_effects(node_state);
    }

    /// Whether this process, which stops, is still needed as a replica.
    pub(crate) fn is_replica_needed(&self) -> bool {
        self.control_store(|store| store.is_still_needed()).unwrap_or(false)
    }

    /// Ask the other replicas for their time of day.
    pub(crate) fn request_wall_clocks(&self, node_state: &Rc<NodeState>) {
        let replicas = self.control_store(|store| store.replica_nodes()).unwrap_or_default();
        for replica in replicas.into_iter().map(|replica| Node(replica.0)) {
            if replica != self.own_node {
                self.send(node_state, replica, &Frame::WallClockRequest { asked: node_state.now() });
            }
        }
    }
}
