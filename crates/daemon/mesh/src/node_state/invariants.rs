//! What has to hold while the process runs, checked where it could be broken, counted by name and logged with both values that
//! disagree: the log outlives the process, the counts don't. Each is 0 in tests.
use super::state::NodeState;
use crate::rate_limited_log::RateLimitedLog;
use serde_json::{Map, Value};
use slog::warn;
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
    fn name(self) -> &'static str {
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

impl NodeState {
    /// An invariant does not hold.
    pub(crate) fn report_violation(&self, invariant: Invariant, expected: &str, found: &str) {
        let count = &self.violations.counts[invariant as usize];
        count.set(count.get() + 1);
        if let Some(times) = self.violations.logs[invariant as usize].due(self.now()) {
            warn!(self.log, "invariant violated"; "invariant" => invariant.name(), "expected" => expected,
                "found" => found, "count" => times);
        }
    }

    /// Violations by name.
    pub(crate) fn violations_report(&self) -> Value {
        let counts = Invariant::ALL.map(|invariant| {
            (invariant.name().to_string(), self.violations.counts[invariant as usize].get().into())
        });
        Value::Object(Map::from_iter(counts))
    }

    /// Compares what is in force with the newest revisions that membership knows.
    pub(crate) fn check_newest_in_force(&self) {
        let in_force = self.revisions();
        let behind = self.peers.membership(|membership| {
            let mut entries = membership.control_entries();
            let behind =
                entries.find(|entry| in_force.get(entry.key).is_none_or(|here| *here < entry.revision));
            behind.map(|entry| (entry.key.to_string(), entry.revision))
        });
        if let Some((key, known)) = behind {
            let expected = format!("{key} at {known:?}");
            let found = format!("{:?}", in_force.get(&key));
            self.report_violation(Invariant::NewestInForce, &expected, &found);
        }
    }
}
