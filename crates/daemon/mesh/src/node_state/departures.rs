//! Work that goes on after whoever asked for it has left, counted for each hop. Knows neither connections nor requests.
use crate::rate_limited_log::RateLimitedLog;
use silvercross_time::{Duration, Instant};
use std::cell::Cell;

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

    /// Its name in the log.
    pub(super) fn name(self) -> &'static str {
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

    /// A request's sender has left.
    pub(super) fn count_departure(&self, peer: DepartedPeer, is_carried_on: bool) {
        self.update(peer, |counts| {
            counts.departures += 1;
            counts.carried_on += u64::from(is_carried_on);
        });
    }

    /// Work that was not to be carried on has ended so long after its sender had left: for how many such requests a log line is due,
    /// if one is.
    pub(super) fn count_end(&self, now: Instant, peer: DepartedPeer, took: Duration) -> Option<u64> {
        let has_outlived = took > OUTLIVED_AFTER;
        self.update(peer, |counts| {
            counts.outlived += u64::from(has_outlived);
            counts.longest = counts.longest.max(took);
        });
        if has_outlived {
            self.logs[peer as usize].due(now)
        } else {
            None
        }
    }

    fn update(&self, peer: DepartedPeer, change: impl FnOnce(&mut DepartureCounts)) {
        let mut counts = self.counts(peer);
        change(&mut counts);
        self.counts[peer as usize].set(counts);
    }
}
