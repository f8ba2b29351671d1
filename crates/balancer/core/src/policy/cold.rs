//! What may be sent to an upstream that started lately.
use super::*;

/// Used share of the overload limit, and bucket size as a share of a window's refill: 0.8 * 1.125 < 1.
const COLD_SAFETY: f64 = 0.8;
const COLD_BURST: f64 = 0.125;
/// In typical requests; a heavier one goes to no cold upstream: alone it could use up the budget.
const COLD_MAX_WORK: f64 = 5.0;

impl Balancer {
    /// The least share of its capacity that a started upstream has now; `None` once warm.
    pub(super) fn cold_share(&self, u: &Upstream) -> Option<f64> {
        let age = self.now - u.entry.last_start?;
        let grown = age as f64 / self.cfg.warm_up_time.max(1) as f64;
        (grown < 1.0).then(|| self.cfg.initial_capacity + (1.0 - self.cfg.initial_capacity) * grown.max(0.0))
    }

    /// Whether a cold upstream's token bucket admits a request. It refills at the overload multiple of
    /// a warm one's work rate here, times the cold share, from a random debt (`on_list`), so that hundreds of
    /// instances with budgets below one request don't send together. The minimum, one request per window over
    /// all instances, is safe, and needed while all are cold. `cold_rate` replaces both rates.
    pub(super) fn cold_admits(&mut self, i: usize, work: f64, warm_rate: f64) -> bool {
        let (now, span) = (self.now, self.cfg.overload_window as f64);
        let Some(share) = self.cold_share(&self.upstreams[i]) else { return true };
        let k = &self.kinds[self.upstreams[i].entry.kind as usize];
        let warm = if k.capacity >= 1.0 { k.work_rate.now(now, RATE_SPAN) / k.capacity } else { warm_rate };
        let (typical, total) = (self.max_typical_work(), f64::from(self.cfg.instances.max(1)));
        let rate = match (self.cfg.cold_rate, f64::from(self.cfg.cold_senders)) {
            (Some(stated), senders) => stated * typical / 1e6 / if senders > 0.0 { senders } else { total },
            _ => (self.cfg.overload_multiple * share * warm * COLD_SAFETY).max(typical / (span * total)),
        };
        // With every upstream cold a heavy request has no alternative; it leaves a longer debt.
        let heaviest = if self.any_warm { COLD_MAX_WORK * typical } else { f64::MAX };
        let u = &mut self.upstreams[i];
        // Overdrawn: the cap may be below the work of one request, and light ones would use up the savings.
        u.tokens = (u.tokens + rate * (now - u.refilled_at).max(0) as f64).min(rate * span * COLD_BURST);
        u.refilled_at = now;
        u.tokens >= 0.0 && work <= heaviest
    }

    /// Work of a typical request of the heaviest class.
    pub(super) fn max_typical_work(&self) -> f64 {
        self.class_stats.iter().map(|k| k.per_unit * k.units).fold(0.0, f64::max)
    }
}
