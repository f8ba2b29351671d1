//! Invariants of the running process. They are checked where they could be violated. Violations are counted
//! by name and logged with the expected and the found value, as the log outlives the process and the counts
//! do not. Tests expect no violations. The checks are in `invariant_checks.rs`.
use crate::rate_limited_log::RateLimitedLog;
use serde_json::{Map, Value};
use silvercross_time::Instant;
use std::cell::Cell;

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// At most one frame with control entries is being sent on a link, so no superseded version is queued
    /// before the newest.
    OneVersionUnderWay,
    /// The entry in force for each key is the newest revision that this node knows.
    NewestInForce,
    /// No queue of a link becomes full: the backlog is limited by what is sent, not by the speed of the link.
    BoundedBacklog,
}

impl Invariant {
    /// All invariants.
    const ALL: [Invariant; 3] =
        [Invariant::OneVersionUnderWay, Invariant::NewestInForce, Invariant::BoundedBacklog];

    /// The name in the log and on the metrics page.
    pub(super) fn name(self) -> &'static str {
        match self {
            Invariant::OneVersionUnderWay => "oneVersionUnderWay",
            Invariant::NewestInForce => "newestInForce",
            Invariant::BoundedBacklog => "boundedBacklog",
        }
    }
}

/// The number of violations of each invariant.
#[derive(Default)]
pub(super) struct Violations {
    counts: [Cell<u64>; Invariant::ALL.len()],
    logs: [RateLimitedLog; Invariant::ALL.len()],
}

impl Violations {
    /// Counts a violation. Returns how many violations a log line has to report, if one is due.
    pub(super) fn count(&self, now: Instant, invariant: Invariant) -> Option<u64> {
        let count = &self.counts[invariant as usize];
        count.set(count.get() + 1);
        self.logs[invariant as usize].due(now)
    }

    /// Returns the number of violations by name.
    pub(super) fn report(&self) -> Value {
        let counts = Invariant::ALL
            .map(|invariant| (invariant.name().to_string(), self.counts[invariant as usize].get().into()));
        Value::Object(Map::from_iter(counts))
    }
}
