//! A request whose sender has left, from then until the work on it ends.
use super::departures::DepartedPeer;
use super::state::NodeState;
use silvercross_time::Instant;
use slog::info;
use std::rc::Rc;

/// A request whose sender has left; dropped when the work on it ends.
pub(crate) struct DepartedRequest {
    node_state: Rc<NodeState>,
    peer: DepartedPeer,
    since: Instant,
    is_carried_on: bool,
}

impl DepartedRequest {
    /// Its sender has left just now, and the work on it ends.
    pub(crate) fn new(node_state: &Rc<NodeState>, peer: DepartedPeer) -> Self {
        DepartedRequest::count(node_state, peer, false)
    }

    /// The same of one that is carried on to its end.
    pub(crate) fn carried_on(node_state: &Rc<NodeState>, peer: DepartedPeer) -> Self {
        DepartedRequest::count(node_state, peer, true)
    }

    fn count(node_state: &Rc<NodeState>, peer: DepartedPeer, is_carried_on: bool) -> Self {
        node_state.departures.count_departure(peer, is_carried_on);
        DepartedRequest { node_state: node_state.clone(), peer, since: node_state.now(), is_carried_on }
    }
}

impl Drop for DepartedRequest {
    fn drop(&mut self) {
        if self.is_carried_on {
            return;
        }
        let now = self.node_state.now();
        let took = now - self.since;
        if let Some(count) = self.node_state.departures.count_end(now, self.peer, took) {
            info!(self.node_state.log, "work went on after its sender had left"; "sender" => self.peer.name(),
                "us" => took.as_micros(), "count" => count);
        }
    }
}
