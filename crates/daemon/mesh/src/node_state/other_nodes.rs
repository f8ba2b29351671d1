//! The other nodes: their records, the number of sidecars, and the choice of the control node to call.
use super::state::NodeState;
use crate::peers::RecordBody;
use silvercross_mesh_membership::{Node, NodeRecord};
use std::cmp::Reverse;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// The number of sidecars, including this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SidecarCounts {
    /// In the whole mesh.
    pub(super) total: u32,
    /// In this node's zone.
    pub(super) in_zone: u32,
}

fn address(node: Node, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(node.0)), port)
}

/// Whether the record of a node lists the node itself as a replica of the control store.
fn is_replica(record: &NodeRecord<RecordBody>) -> bool {
    record.body.replica_set.contains(&record.node.0)
}

impl NodeState {
    /// Applies a record of another node that is newer than the known one.
    pub(crate) fn apply_record(self: &Rc<Self>, record: NodeRecord<RecordBody>) {
        if let Some(event_stream) = self.event_stream.get() {
            event_stream.record(&record);
        }
        self.note_departures(self.other_nodes.borrow().get(&record.node), &record);
        let counts_before = self.sidecar_counts();
        if record.gone {
            self.other_nodes.borrow_mut().remove(&record.node);
            self.pool.close_idle(address(record.node, record.body.inbound_port));
        } else {
            self.other_nodes.borrow_mut().insert(record.node, record);
        }
        // The share of each sidecar in shared budgets depends on their number.
        if self.sidecar_counts() != counts_before {
            self.reconfigure_balancers();
        } else {
            self.update_upstream_lists();
        }
    }

    /// Returns the number of sidecars, including this one.
    pub(super) fn sidecar_counts(&self) -> SidecarCounts {
        let other_nodes = self.other_nodes.borrow();
        let sidecars = other_nodes.values().filter(|record| !record.is_control);
        let in_zone = sidecars.clone().filter(|record| record.zone == self.settings.zone).count() as u32;
        SidecarCounts { total: sidecars.count() as u32 + 1, in_zone: in_zone + 1 }
    }

    /// Whether replicas of the control store are known, and none of them lists this node in its replica set.
    pub(crate) fn is_outsider(&self) -> bool {
        let own = self.settings.ip.to_bits();
        let other_nodes = self.other_nodes.borrow();
        let mut replicas = other_nodes.values().filter(|record| is_replica(record)).peekable();
        replicas.peek().is_some() && replicas.all(|record| !record.body.replica_set.contains(&own))
    }

    /// Returns the control address of this node, as other nodes name it.
    pub(crate) fn own_control_address(&self) -> Option<SocketAddr> {
        let port = self.settings.control_address?.port();
        Some(SocketAddr::new(self.settings.ip.into(), port))
    }

    /// Returns the control address of a replica. Prefers nodes that are not stopping, then replicas known to
    /// reach a majority, then those listed by most replicas, then those in this zone. An isolated replica
    /// could only answer that nothing can be committed.
    pub(crate) fn control_address(&self) -> Option<SocketAddr> {
        let reachable = self.peers.membership(|membership| membership.reachable_control_nodes());
        let other_nodes = self.other_nodes.borrow();
        let replicas: Vec<_> = other_nodes.values().filter(|record| is_replica(record)).collect();
        let listing_count = |record: &NodeRecord<RecordBody>| {
            replicas.iter().filter(|replica| replica.body.replica_set.contains(&record.node.0)).count()
        };
        let preference = |record: &NodeRecord<RecordBody>| {
            let is_unreachable = !reachable.contains(&record.node);
            let is_elsewhere = record.zone != self.settings.zone;
            (record.body.stopping, is_unreachable, Reverse(listing_count(record)), is_elsewhere)
        };
        let callable = replicas.iter().filter(|record| record.body.control_port > 0);
        let best = callable.min_by_key(|record| preference(record));
        best.map(|record| address(record.node, record.body.control_port))
    }
}
