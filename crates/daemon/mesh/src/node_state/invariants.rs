//! What has to hold while the process runs, checked where it could be broken, counted by name and logged with both values that
//! disagree: the log outlives the process, the counts don't. Each is 0 in tests. Knows nothing of what is checked: go on with
//! `invariant_checks.rs`.
use crate::rate_limited_log::RateLimitedLog;
use serde_json::{Map, Value};
use silvercross_time::Instant;
use std::cell::Cell;

/// What has to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// Of the control entries at most one frame is on its way on a link: no superseded version waits before the newest.
    OneVersionUnderWay,
    /// What is in force is the newest revision that this node knows of each key.
    NewestInForce,
    /// No link's queue gets full: what waits is bounded by what is sent, not by how slow the link is.
    BoundedBacklog,
}

impl Invariant {
    /// All of them.
    const ALL: [Invariant; 3] =
        [Invariant::OneVersionUnderWay, Invariant::NewestInForce, Invariant::BoundedBacklog];

    /// Its name in the log and on the metrics page.
    pub(super) fn name(self) -> &'static str {
        match self {
            Invariant::OneVersionUnderWay => "oneVersionUnderWay",
            Invariant::NewestInForce => "newestInForce",
            Invariant::BoundedBacklog => "boundedBacklog",
        }
    }
}

/// Violations of each invariant.
#[derive(Default)]
pub(super) struct Violations {
    counts: [Cell<u64>; Invariant::ALL.len()],
    logs: [RateLimitedLog; Invariant::ALL.len()],
}

impl Violations {
    /// An invariant does not hold: for how many violations a log line is due, if one is.
    pub(super) fn count(&self, now: Instant, invariant: Invariant) -> Option<u64> {
        let count = &self.counts[invariant as usize];
        count.set(count.get() + 1);
        self.logs[invariant as usize].due(now)
    }

    /// Violations by name.
    pub(super) fn report(&self) -> Value {
        let counts = Invariant::ALL
            .map(|invariant| (invariant.name().to_string(), self.counts[invariant as usize].get().into()));
        Value::Object(Map::from_iter(counts))
    }
}
