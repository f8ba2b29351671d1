//! Tracks a request whose sender has disconnected until the work on it ends.
use super::departures::DepartedPeer;
use super::state::NodeState;
use silvercross_time::Instant;
use slog::info;
use std::rc::Rc;

/// A request whose sender has disconnected. It is dropped when the work on it ends.
pub(crate) struct DepartedRequest {
    node_state: Rc<NodeState>,
    peer: DepartedPeer,
    since: Instant,
    is_carried_on: bool,
}

impl DepartedRequest {
    /// Creates it when the sender has disconnected and the work is being cancelled.
    pub(crate) fn new(node_state: &Rc<NodeState>, peer: DepartedPeer) -> Self {
        DepartedRequest::count(node_state, peer, false)
    }

    /// The same for a request that is processed to its end.
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
        let elapsed = now - self.since;
        if let Some(count) = self.node_state.departures.count_end(now, self.peer, elapsed) {
            info!(self.node_state.log, "work continued after its sender had disconnected"; "sender" => self.peer.name(),
                "us" => elapsed.as_micros(), "count" => count);
        }
    }
}
