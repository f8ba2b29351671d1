//! The other nodes as this one knows them: their records, how many sidecars there are, and which control node to call.
use super::state::NodeState;
use crate::peers::RecordBody;
use silvercross_mesh_membership::{Node, NodeRecord};
use std::cmp::Reverse;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// How many sidecars there are, this one among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SidecarCounts {
    /// In the mesh.
    pub(super) total: u32,
    /// In this node's zone.
    pub(super) in_zone: u32,
}

fn address(node: Node, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(node.0)), port)
}

/// Whether a record says of its own node that it is a replica of the control store.
fn is_replica(record: &NodeRecord<RecordBody>) -> bool {
    record.body.replica_set.contains(&record.node.0)
}

impl NodeState {
    /// Another node's record has come, newer than the one known.
    pub(crate) fn apply_record(self: &Rc<Self>, record: NodeRecord<RecordBody>) {
        if let Some(event_stream) = self.event_stream.get() {
            event_stream.record(&record);
        }
        let counts_before = self.sidecar_counts();
        if record.gone {
            self.other_nodes.borrow_mut().remove(&record.node);
            self.pool.close_idle(address(record.node, record.body.inbound_port));
        } else {
            self.other_nodes.borrow_mut().insert(record.node, record);
        }
        // What each may send of shared budgets goes by how many there are.
        if self.sidecar_counts() != counts_before {
            self.reconfigure_balancers();
        } else {
            self.update_upstream_lists();
        }
    }

    /// How many sidecars there are, this one among them.
    pub(super) fn sidecar_counts(&self) -> SidecarCounts {
        let other_nodes = self.other_nodes.borrow();
        let sidecars = other_nodes.values().filter(|record| !record.is_control);
        let in_zone = sidecars.clone().filter(|record| record.zone == self.settings.zone).count() as u32;
        SidecarCounts { total: sidecars.count() as u32 + 1, in_zone: in_zone + 1 }
    }

    /// Whether this node has a disk, but the replicas of the control store don't count it among them.
    pub(crate) fn is_outsider(&self) -> bool {
        let own = self.settings.ip.to_bits();
        let other_nodes = self.other_nodes.borrow();
        let mut replicas = other_nodes.values().filter(|record| is_replica(record)).peekable();
        replicas.peek().is_some() && replicas.all(|record| !record.body.replica_set.contains(&own))
    }

    /// The control address of a replica: one that is known to reach most of them and that most of them name, in this zone if
    /// there is one. One that is cut off answers that nothing can be committed.
    pub(crate) fn control_address(&self) -> Option<SocketAddr> {
        let reached = self.peers.membership(|membership| membership.reachable_control_nodes());
        let other_nodes = self.other_nodes.borrow();
        let replicas: Vec<_> = other_nodes.values().filter(|record| is_replica(record)).collect();
        let named_by = |record: &NodeRecord<RecordBody>| {
            replicas.iter().filter(|replica| replica.body.replica_set.contains(&record.node.0)).count()
        };
        let preference = |record: &NodeRecord<RecordBody>| {
            let is_unreached = !reached.contains(&record.node);
            let is_elsewhere = record.zone != self.settings.zone;
            (record.body.stopping, is_unreached, Reverse(named_by(record)), is_elsewhere)
        };
        let callable = replicas.iter().filter(|record| record.body.control_port > 0);
        let best = callable.min_by_key(|record| preference(record));
        best.map(|record| address(record.node, record.body.control_port))
    }
}
