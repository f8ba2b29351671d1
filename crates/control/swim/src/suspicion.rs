//! How long a suspected member has to refute (Lifeguard, 3.2): long at first, shorter with each member that suspects it by
//! itself, never shorter than the least.
use crate::config::{ALPHA, BETA, CONFIRMATIONS};
use crate::identity::Identity;
use crate::Micros;

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
        let least = least(fleet, period);
        // With too few others to confirm it, nobody is waited for.
        let needed = CONFIRMATIONS.min(fleet.saturating_sub(2));
        let longest = if needed == 0 { least } else { (least as f64 * BETA) as Micros };
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
    pub fn ends(&self) -> Micros {
        if self.needed == 0 {
            return self.began + self.least;
        }
        let confirmed = (self.by.len() - 1) as f64;
        let part = (confirmed + 1.0).ln() / (self.needed as f64 + 1.0).ln();
        let span = self.longest as f64 - (self.longest - self.least) as f64 * part;
        self.began + (span as Micros).max(self.least)
    }

    /// Whether it has lasted so long that another one's word of a failure is believed.
    pub fn had_its_least(&self, now: Micros) -> bool {
        now >= self.began + self.least
    }

    /// The process was not there for so long: the suspected one could not be heard.
    pub fn put_off(&mut self, by: Micros) {
        self.began += by;
    }
}

/// The least time of a suspicion in a fleet of so many.
pub fn least(fleet: usize, period: Micros) -> Micros {
    (ALPHA * (fleet.max(1) as f64).log10().max(1.0) * period as f64) as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_shrinks_with_independent_suspicions_to_its_least_and_no_further() {
        let id = |n| Identity(n);
        let mut s = Suspicion::begin(0, id(1), 12, 1_000_000);
        let mut last = s.ends();
        assert_eq!(last, (least(12, 1_000_000) as f64 * BETA) as Micros);
        assert!(!s.confirm(id(1)), "the first one again is no confirmation");
        for n in 2..5 {
            assert!(s.confirm(id(n)));
            assert!(s.ends() < last);
            last = s.ends();
        }
        assert_eq!(last, least(12, 1_000_000));
        assert!(!s.confirm(id(9)), "more count no more");
    }

    #[test]
    fn two_have_nobody_to_wait_for() {
        assert_eq!(Suspicion::begin(5, Identity(1), 2, 10).ends(), 5 + least(2, 10));
    }
}
