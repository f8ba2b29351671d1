//! How long a suspected member has to refute (Lifeguard, 3.2): long at first, shorter with each member that suspects it by
//! itself, never shorter than the least.
use crate::identity::Identity;
use crate::limits::{SUSPICION_ALPHA, SUSPICION_BETA, SUSPICION_CONFIRMATIONS};
use crate::time::Micros;

/// A suspicion that has begun.
#[derive(Clone, Debug)]
pub struct Suspicion {
    began: Micros,
    least: Micros,
    longest: Micros,
    needed: usize,
    by: Vec<Identity>,
}

impl Suspicion {
    /// Begun now by `by`, in a fleet of so many.
    pub fn begin(now: Micros, by: Identity, fleet: usize, period: Micros) -> Self {
        let least = min_timeout(fleet, period);
        // With too few others to confirm it, nobody is waited for.
        let needed = SUSPICION_CONFIRMATIONS.min(fleet.saturating_sub(2));
        let longest = if needed == 0 { least } else { (least as f64 * SUSPICION_BETA) as Micros };
        Suspicion { began: now, least, longest, needed, by: vec![by] }
    }

    /// Another one suspects it too; whether that was new, and counts.
    pub fn confirm(&mut self, by: Identity) -> bool {
        let new = self.by.len() <= self.needed && !self.by.contains(&by);
        if new {
            self.by.push(by);
        }
        new
    }

    /// When it ends as a failure.
    pub fn deadline(&self) -> Micros {
        if self.needed == 0 {
            return self.began + self.least;
        }
        let confirmed = (self.by.len() - 1) as f64;
        let part = (confirmed + 1.0).ln() / (self.needed as f64 + 1.0).ln();
        let probe_interval = self.longest as f64 - (self.longest - self.least) as f64 * part;
        self.began + (probe_interval as Micros).max(self.least)
    }

    /// Whether it has lasted so long that another member's report of a failure is believed.
    pub fn min_timeout_elapsed(&self, now: Micros) -> bool {
        now >= self.began + self.least
    }

    /// The process was not there for so long: the suspected one could not be heard.
    pub fn postpone(&mut self, by: Micros) {
        self.began += by;
    }
}

/// The least time of a suspicion in a fleet of so many.
pub fn min_timeout(fleet: usize, period: Micros) -> Micros {
    (SUSPICION_ALPHA * (fleet.max(1) as f64).log10().max(1.0) * period as f64) as Micros
}
