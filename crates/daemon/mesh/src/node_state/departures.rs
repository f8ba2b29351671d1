//! Work that goes on after whoever asked for it has left, counted for each hop. Knows neither connections nor requests.
use super::state::NodeState;
use crate::rate_limited_log::RateLimitedLog;
use silvercross_time::{Duration, Instant};
use slog::info;
use std::cell::Cell;
use std::rc::Rc;

/// Work that ends later than this after whoever asked for it has left has outlived them.
const OUTLIVED_AFTER: Duration = Duration::from_millis(500);

/// Who has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DepartedPeer {
    /// A client, from the sidecar that it had sent its request to.
    Client,
    /// The sidecar where a request began, from the gate beside the upstream.
    Origin,
}

impl DepartedPeer {
    /// How many kinds there are.
    const COUNT: usize = 2;

    fn name(self) -> &'static str {
        match self {
            DepartedPeer::Client => "client",
            DepartedPeer::Origin => "origin",
        }
    }
}

/// What was counted on one hop.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub(crate) struct DepartureCounts {
    /// Requests whose sender left before they had ended.
    pub(crate) departures: u64,
    /// Of these, those that may run once and were carried on, as they may have begun.
    pub(crate) carried_on: u64,
    /// Of the others, those on which work went on for longer than [`OUTLIVED_AFTER`].
    pub(crate) outlived: u64,
    /// The longest time for which work on one of the others went on.
    pub(crate) longest: Duration,
}

/// What was counted on all hops.
#[derive(Default)]
pub(crate) struct Departures {
    counts: [Cell<DepartureCounts>; DepartedPeer::COUNT],
    logs: [RateLimitedLog; DepartedPeer::COUNT],
}

impl Departures {
    /// What was counted on one hop.
    pub(crate) fn counts(&self, peer: DepartedPeer) -> DepartureCounts {
        self.counts[peer as usize].get()
    }

    fn update(&self, peer: DepartedPeer, change: impl FnOnce(&mut DepartureCounts)) {
        let mut counts = self.counts(peer);
        change(&mut counts);
        self.counts[peer as usize].set(counts);
    }
}

/// A request whose sender has left; dropped when the work on it ends.
pub(crate) struct DepartedRequest {
    node_state: Rc<NodeState>,
    peer: DepartedPeer,
    since: Instant,
    is_carried_on: bool,
}

impl DepartedRequest {
    /// Its sender has left just now.
    pub(crate) fn new(node_state: &Rc<NodeState>, peer: DepartedPeer) -> Self {
        node_state.departures.update(peer, |counts| counts.departures += 1);
        let since = node_state.now();
        DepartedRequest { node_state: node_state.clone(), peer, since, is_carried_on: false }
    }

    /// The same of one that is carried on to its end.
    pub(crate) fn carried_on(node_state: &Rc<NodeState>, peer: DepartedPeer) -> Self {
        node_state.departures.update(peer, |counts| counts.carried_on += 1);
        let mut departed = DepartedRequest::new(node_state, peer);
        departed.is_carried_on = true;
        departed
    }
}

impl Drop for DepartedRequest {
    fn drop(&mut self) {
        if self.is_carried_on {
            return;
        }
        let (departures, now) = (&self.node_state.departures, self.node_state.now());
        let took = now - self.since;
        let has_outlived = took > OUTLIVED_AFTER;
        departures.update(self.peer, |counts| {
            counts.outlived += u64::from(has_outlived);
            counts.longest = counts.longest.max(took);
        });
        if !has_outlived {
            return;
        }
        if let Some(count) = departures.logs[self.peer as usize].due(now) {
            info!(self.node_state.log, "work went on after its sender had left"; "sender" => self.peer.name(),
                "us" => took.as_micros(), "count" => count);
        }
    }
}
