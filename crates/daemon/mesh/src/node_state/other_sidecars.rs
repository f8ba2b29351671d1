//! The other sidecars as this one knows them: their records, how many there are, and which of them holds the control store.
use super::NodeState;
use crate::peers::RecordBody;
use silvercross_mesh_membership::NodeRecord;
use std::cmp::Reverse;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

impl NodeState {
    /// News of another sidecar.
    pub fn apply_record(self: &Rc<Self>, record: NodeRecord<RecordBody>) {
        if let Some(event_stream) = self.event_stream.get() {
            event_stream.record(&record);
        }
        let before = self.sides();
        if record.gone {
            self.others.borrow_mut().remove(&record.node.0);
            let at = IpAddr::V4(Ipv4Addr::from_bits(record.node.0));
            self.pool.close_idle(SocketAddr::new(at, record.body.inbound));
        } else {
            self.others.borrow_mut().insert(record.node.0, record);
        }
        // What each may send of shared budgets goes by how many there are.
        if self.sides() != before {
            self.reset_terms();
        } else {
            self.relist();
        }
    }

    /// How many sidecars there are, this one among them: in all, and in this zone.
    pub(super) fn sides(&self) -> (u32, u32) {
        let others = self.others.borrow();
        let sides = others.values().filter(|r| !r.is_control);
        let near = sides.clone().filter(|r| r.zone == self.settings.zone).count() as u32;
        (sides.count() as u32 + 1, near + 1)
    }

    /// Whether this machine has a disk, but those that hold the ledger don't count it among them.
    pub fn is_outsider(&self) -> bool {
        let (me, others) = (self.settings.ip.to_bits(), self.others.borrow());
        let mut holders = others.values().filter(|r| r.body.roster.contains(&r.node.0)).peekable();
        holders.peek().is_some() && holders.all(|r| !r.body.roster.contains(&me))
    }

    /// The control address of a machine that holds the ledger: one that is known to reach most of them and that most of them name,
    /// in this zone if there is one. One that is cut off answers that nothing is settled.
    pub fn control_address(&self) -> Option<SocketAddr> {
        let reached = self.peers.membership(|r| r.reachable_control_nodes());
        let others = self.others.borrow();
        let holders: Vec<_> = others.values().filter(|r| r.body.roster.contains(&r.node.0)).collect();
        let named =
            |r: &NodeRecord<RecordBody>| holders.iter().filter(|h| h.body.roster.contains(&r.node.0)).count();
        let up = holders.iter().filter(|r| r.body.control > 0);
        let far = |r: &NodeRecord<RecordBody>| !reached.contains(&r.node);
        let best =
            up.min_by_key(|r| (r.body.leaving, far(r), Reverse(named(r)), r.zone != self.settings.zone));
        best.map(|r| SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(r.node.0)), r.body.control))
    }
}
