//! The time that a suspected member has to refute the suspicion (Lifeguard, 3.2). It starts at a maximum and shrinks to a minimum
//! with each member that confirms the suspicion independently.
use crate::identity::Identity;
use crate::limits::{SUSPICION_ALPHA, SUSPICION_BETA, SUSPICION_CONFIRMATIONS};
use crate::time::Micros;

/// A suspicion in progress.
#[derive(Clone, Debug)]
pub struct Suspicion {
    started_at: Micros,
    min_timeout: Micros,
    max_timeout: Micros,
    confirmations_needed: usize,
    suspected_by: Vec<Identity>,
}

impl Suspicion {
    /// Starts a suspicion reported by `by` in a fleet of `fleet` members.
    pub fn begin(now: Micros, by: Identity, fleet: usize, period: Micros) -> Self {
        let min_timeout = min_timeout(fleet, period);
        // Without other members that could confirm it, the minimum applies at once.
        let confirmations_needed = SUSPICION_CONFIRMATIONS.min(fleet.saturating_sub(2));
        let max_timeout = if confirmations_needed == 0 {
            min_timeout
        } else {
            (min_timeout as f64 * SUSPICION_BETA) as Micros
        };
        Suspicion { started_at: now, min_timeout, max_timeout, confirmations_needed, suspected_by: vec![by] }
    }

    /// Records a confirmation. Returns whether it comes from a new member and shortens the timeout.
    pub fn confirm(&mut self, by: Identity) -> bool {
        let new = self.suspected_by.len() <= self.confirmations_needed && !self.suspected_by.contains(&by);
        if new {
            self.suspected_by.push(by);
        }
        new
    }

    /// When the member is declared failed.
    pub fn deadline(&self) -> Micros {
        if self.confirmations_needed == 0 {
            return self.started_at + self.min_timeout;
        }
        let confirmed = (self.suspected_by.len() - 1) as f64;
        let reduction = (confirmed + 1.0).ln() / (self.confirmations_needed as f64 + 1.0).ln();
        let timeout = self.max_timeout as f64 - (self.max_timeout - self.min_timeout) as f64 * reduction;
        self.started_at + (timeout as Micros).max(self.min_timeout)
    }

    /// Whether the minimum timeout is over, after which a failure reported by another member is accepted.
    pub fn min_timeout_elapsed(&self, now: Micros) -> bool {
        now >= self.started_at + self.min_timeout
    }

    /// Postpones the deadline by a pause of this process, during which no refutation could be received.
    pub fn postpone(&mut self, by: Micros) {
        self.started_at += by;
    }
}

/// Minimum suspicion timeout in a fleet of `fleet` members.
pub fn min_timeout(fleet: usize, period: Micros) -> Micros {
    (SUSPICION_ALPHA * (fleet.max(1) as f64).log10().max(1.0) * period as f64) as Micros
}
