//! Invariants checked, and violations reported.
use super::invariants::Invariant;
use super::state::NodeState;
use serde_json::Value;
use slog::warn;

impl NodeState {
    /// An invariant does not hold.
    pub(crate) fn report_violation(&self, invariant: Invariant, expected: &str, found: &str) {
        if let Some(times) = self.violations.count(self.now(), invariant) {
            warn!(self.log, "invariant violated"; "invariant" => invariant.name(), "expected" => expected,
                "found" => found, "count" => times);
        }
    }

    /// Violations by name.
    pub(crate) fn violations_report(&self) -> Value {
        self.violations.report()
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
