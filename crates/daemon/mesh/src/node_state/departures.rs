//! Counts work that continues after its sender has disconnected, for each hop. Independent of connections and
//! requests.
use crate::rate_limited_log::RateLimitedLog;
use silvercross_time::{Duration, Instant};
use std::cell::Cell;

/// Work that ends later than this after its sender has disconnected is counted as outlived.
const OUTLIVED_AFTER: Duration = Duration::from_millis(500);

/// The sender that has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DepartedPeer {
    /// A client, which was connected to this sidecar.
    Client,
    /// The sidecar where a request originated, which was connected to the gate of the upstream.
    Origin,
}

impl DepartedPeer {
    /// The number of variants.
    const COUNT: usize = 2;

    /// The name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            DepartedPeer::Client => "client",
            DepartedPeer::Origin => "origin",
        }
    }
}

/// The counts of one hop.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub(crate) struct DepartureCounts {
    /// Requests whose sender disconnected before they ended.
    pub(crate) departures: u64,
    /// Of these, requests that may run only once and were continued because they may have started.
    pub(crate) carried_on: u64,
    /// Of the others, requests on which work continued for longer than [`OUTLIVED_AFTER`].
    pub(crate) outlived: u64,
    /// The longest time for which work on one of the others continued.
    pub(crate) longest: Duration,
}

/// The counts of all hops.
#[derive(Default)]
pub(crate) struct Departures {
    counts: [Cell<DepartureCounts>; DepartedPeer::COUNT],
    logs: [RateLimitedLog; DepartedPeer::COUNT],
}

impl Departures {
    /// Returns the counts of one hop.
    pub(crate) fn counts(&self, peer: DepartedPeer) -> DepartureCounts {
        self.counts[peer as usize].get()
    }

    /// Counts a request whose sender has disconnected.
    pub(super) fn count_departure(&self, peer: DepartedPeer, is_carried_on: bool) {
        self.update(peer, |counts| {
            counts.departures += 1;
            counts.carried_on += u64::from(is_carried_on);
        });
    }

    /// Counts the end of work on a request that was not continued, this long after its sender disconnected.
    /// Returns how many outlived requests a log line has to report, if one is due.
    pub(super) fn count_end(&self, now: Instant, peer: DepartedPeer, elapsed: Duration) -> Option<u64> {
        let has_outlived = elapsed > OUTLIVED_AFTER;
        self.update(peer, |counts| {
            counts.outlived += u64::from(has_outlived);
            counts.longest = counts.longest.max(elapsed);
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
