//! Reports changes of this node to membership and the control store: its record, its seeds, and its shutdown.
use super::frame::Frame;
use super::record::RecordBody;
use super::state::Peers;
use crate::node_state::NodeState;
use silvercross_mesh_membership::Node;
use std::rc::Rc;

impl Peers {
    /// Publishes the record of this node to all others.
    pub(crate) fn publish_own_record(&self, node_state: &Rc<NodeState>, body: RecordBody) {
        self.membership.borrow_mut().update_body(node_state.now(), body);
        self.carry_out_effects(node_state);
    }

    /// Replaces the seeds.
    pub(crate) fn set_seeds(&self, node_state: &Rc<NodeState>, seeds: &[Node]) {
        self.membership.borrow_mut().set_seeds(node_state.now(), seeds);
        self.carry_out_effects(node_state);
    }

    /// Leaves the mesh: marks the record of this node as gone.
    pub(crate) fn leave_membership(&self, node_state: &Rc<NodeState>) {
        self.membership.borrow_mut().leave(node_state.now());
        self.carry_out_effects(node_state);
    }

    /// Starts to replace the local replica while this process is still running, as it was told to stop.
    pub(crate) fn leave_replica_set(&self, node_state: &Rc<NodeState>) {
        if let Some(store) = &self.control_store {
            store.borrow_mut().begin_graceful_stop(node_state.now());
        }
        self.carry_out_effects(node_state);
    }

    /// Whether this stopping process is still needed as a replica.
    pub(crate) fn is_replica_needed(&self) -> bool {
        self.control_store(|store| store.is_still_needed()).unwrap_or(false)
    }

    /// Requests the wall clock time of the other replicas.
    pub(crate) fn request_wall_clocks(&self, node_state: &Rc<NodeState>) {
        let replicas = self.control_store(|store| store.replica_nodes()).unwrap_or_default();
        for replica in replicas.into_iter().map(|replica| Node(replica.0)) {
            if replica != self.own_node {
                self.send(node_state, replica, &Frame::WallClockRequest { requested_at: node_state.now() });
            }
        }
    }
}
