//! What this sidecar tells the others of itself.
use super::NodeState;
use crate::control_value::ControlValue;
use crate::peers::{RecordBody, UpstreamRecord};
use std::rc::Rc;

impl NodeState {
    /// What this sidecar tells of itself.
    pub fn own_record_body(&self) -> RecordBody {
        self.body_of(self.own.borrow().as_ref().map(|o| o.station.clone()))
    }

    /// That, with this upstream beside it.
    pub(super) fn body_of(&self, station: Option<UpstreamRecord>) -> RecordBody {
        RecordBody {
            inbound: self.settings.inbound.map_or(0, |a| a.port()),
            control: self.settings.control.map_or(0, |a| a.port()),
            leaving: self.stopping(),
            roster: self.roster(),
            station,
        }
    }

    /// Those that hold the ledger, as this machine knows for certain; empty where there is none, or it is not repaired yet.
    /// A machine that has a disk and doesn't find itself among them says so by it: it may come for one that is lost.
    pub(super) fn roster(&self) -> Vec<u32> {
        let of = |l: &silvercross_control_store::ControlStore<ControlValue>| match l.is_voter()
            || (l.is_outside() && l.replica_set().version > 0)
        {
            true => l.replica_nodes().iter().map(|n| n.0).collect(),
            false => Vec::new(),
        };
        self.peers.control_store(of).unwrap_or_default()
    }

    /// Tell the others, the feed and the balancers here.
    pub(super) fn tell(self: &Rc<Self>) {
        let body = self.own_record_body();
        self.peers.tell(self, body);
        self.feed_own();
        self.relist();
    }

    /// This sidecar's own record, for the feed.
    pub(super) fn feed_own(&self) {
        if let Some(event_stream) = self.event_stream.get() {
            let me = silvercross_mesh_membership::Node(self.settings.ip.to_bits());
            self.peers.membership(|r| r.record(me).into_iter().for_each(|own| event_stream.record(own)));
        }
    }
}
