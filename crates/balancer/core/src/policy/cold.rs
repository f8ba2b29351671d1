//! What an upstream that started lately may be sent.
use super::*;

/// Part of the cold budget used, and of a span's worth saved up: in any span no more than all of it.
const COLD_CARE: f64 = 0.8;
const COLD_SAVED: f64 = 0.125;
/// A request heavier than so many usual ones goes to no cold upstream: alone it could spend all there is.
const COLD_HEAVY: f64 = 5.0;

impl Balancer {
    /// The least share of its capacity a started upstream has now; `None` once warm.
    pub(super) fn cold_share(&self, u: &Upstream) -> Option<f64> {
        let age = self.now - u.entry.last_start?;
        let grown = age as f64 / self.set.warm_up_time.max(1) as f64;
        (grown < 1.0).then(|| self.set.initial_capacity + (1.0 - self.set.initial_capacity) * grown.max(0.0))
    }

    /// What this balancer may send a cold upstream: the multiple of the cold share of what a warm one of its
    /// kind serves it, in debt from a random start: a request goes when the last one's work is paid off, so
    /// hundreds whose part is under one request come one by one, heavy and light alike. One request a span
    /// for all balancers together is always safe, and needed where all is cold. A stated rate replaces both.
    pub(super) fn cold_room(&mut self, i: usize, work: f64, warm_rate: f64) -> bool {
        let (now, span) = (self.now, self.set.overload_window as f64);
        let Some(share) = self.cold_share(&self.upstreams[i]) else { return true };
        let kind = &self.kinds[self.upstreams[i].entry.kind as usize];
        let like = if kind.whole >= 1.0 { kind.served.now(now, RATE_OVER) / kind.whole } else { warm_rate };
        let (usual, all) = (self.usual_most(), f64::from(self.set.instances.max(1)));
        let rate = match (self.set.cold_rate, f64::from(self.set.cold_senders)) {
            (Some(stated), senders) => stated * usual / 1e6 / if senders > 0.0 { senders } else { all },
            _ => (self.set.overload_multiple * share * like * COLD_CARE).max(usual / (span * all)),
        };
        // Where all is cold a heavy request has nowhere else to go, and pays for it by a longer debt.
        let heaviest = if self.any_warm { COLD_HEAVY * usual } else { f64::MAX };
        let u = &mut self.upstreams[i];
        // Debt, not savings, pays for a request: the cap on what is saved may be below the work of one.
        u.saved = (u.saved + rate * (now - u.saved_at).max(0) as f64).min(rate * span * COLD_SAVED);
        u.saved_at = now;
        u.saved >= 0.0 && work <= heaviest
    }

    /// The work of a usual request of the heaviest class.
    pub(super) fn usual_most(&self) -> f64 {
        self.usual.iter().map(|k| k.per_unit * k.unit).fold(0.0, f64::max)
    }
}
