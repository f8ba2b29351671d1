//! Checks invariants and reports violations.
use super::invariants::Invariant;
use super::state::NodeState;
use serde_json::Value;
use slog::warn;

impl NodeState {
    /// Reports the violation of an invariant.
    pub(crate) fn report_violation(&self, invariant: Invariant, expected: &str, found: &str) {
        if let Some(times) = self.violations.count(self.now(), invariant) {
            warn!(self.log, "invariant violated"; "invariant" => invariant.name(), "expected" => expected,
                "found" => found, "count" => times);
        }
    }

    /// Returns the number of violations by name.
    pub(crate) fn violations_report(&self) -> Value {
        self.violations.report()
    }

    /// Compares the revisions in force with the newest ones that membership knows.
    pub(crate) fn check_newest_in_force(&self) {
        let in_force = self.revisions();
        let behind = self.peers.membership(|membership| {
            let mut entries = membership.control_entries();
            let behind =
                entries.find(|entry| in_force.get(entry.key).is_none_or(|here| *here < entry.revision));
            behind.map(|entry| (entry.key.to_string(), entry.revision))
        });
        if let Some((key, newest)) = behind {
            let expected = format!("{key} at {newest:?}");
            let found = format!("{:?}", in_force.get(&key));
            self.report_violation(Invariant::NewestInForce, &expected, &found);
        }
    }
}
