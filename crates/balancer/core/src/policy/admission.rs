//! Which requests are taken, and which are refused at once.
use super::*;

/// What sets an upstream apart is held without answers over so many own requests, within these bounds.
const HOLD_REQUESTS: f64 = 60.0;
const HOLD: (f64, f64) = (4e6, 10e6);
/// Second tries: this share of first ones, saved up to the cap: more turns overload into collapse.
const RETRY_SHARE: f64 = 0.02;
pub(super) const RETRY_CAP: f64 = 5.0;
/// The bar moves so far with the worth of work against the mean; it is higher where nothing is out to tell.
const RANK_POWER: f64 = 0.5;
const RANK: (f64, f64) = (0.6, 1.5);
const IDLE_BAR: f64 = 2.0;

impl Balancer {
    pub(super) fn on_request(&mut self, r: NewRequest, out: &mut Vec<Action>) {
        let class = r.class as usize;
        let Some(&c) = self.set.classes.get(class) else { return out.push(Action::Fail { request: r.id }) };
        let unit = r.cost_hint.map_or(1.0, |h| h.max(1) as f64);
        let began = self.now - self.spent(&r, c.deadline);
        let k = &mut self.usual[class];
        if r.cost_hint.is_some() && k.seen == 0.0 && k.per_unit > 100.0 {
            k.per_unit = 1.5; // a hint is work on a standard core; until answers tell, assume somewhat slower
        }
        k.unit = if k.seen == 0.0 { unit } else { k.unit + (unit - k.unit) * 0.02 };
        let (work, usual) = (k.per_unit * unit, k.per_unit * k.unit);
        let aim_at = began + (c.latency_target + (c.target_per_work * work) as Micros).min(c.deadline);
        // Settings may change while it is open: it ends under those it was taken with.
        let cap = self.set.max_attempts as usize;
        let mut p = Pending::new(class, r.key, aim_at, self.now + r.budget, unit, work, cap);
        let (share, most) =
            (self.set.retry_ratio.unwrap_or(RETRY_SHARE), self.set.max_saved_retries.unwrap_or(RETRY_CAP));
        self.retry_tokens = (self.retry_tokens + share).min(most);
        self.asked_rate.add(self.now, RATE_OVER, 1.0);
        self.hold = (HOLD_REQUESTS / self.asked_rate.now(self.now, RATE_OVER)).clamp(HOLD.0, HOLD.1);
        let density = c.value / if self.set.value_per_work { 1.0 } else { usual.max(1.0) };
        self.worth_seen = self.worth_seen * 0.99 + density * usual;
        self.work_seen = self.work_seen * 0.99 + usual;
        let Some((i, expected)) = self.pick(&p) else { return self.give_up(r.id, &mut p, out) };
        // Refuse early what cannot meet its aim, least worth per work first; none for its own weight.
        let left = (aim_at.min(p.deadline) - self.now) as f64;
        // The bar goes by worth so far as the result does: the worst-served class counts by itself.
        let rank = (density * self.work_seen / self.worth_seen.max(1e-9))
            .powf(RANK_POWER * self.set.total_value_weight);
        let rank = rank.clamp(RANK.0, RANK.1);
        let bar = if self.pending.is_empty() { IDLE_BAR } else { 1.0 };
        if c.late_value_share == 0.0 && expected * self.spread > left * rank * bar {
            // Unfed, the usual of a class fades while nothing is out: none is barred for good.
            self.usual[class].per_unit *=
                if self.pending.is_empty() { 1.0 - estimates::LEARN_USUAL } else { 1.0 };
            return self.give_up(r.id, &mut p, out);
        }
        self.send(r.id, &mut p, i, out);
        self.pending.insert(r.id, p);
    }

    /// How long the client has been at it. First tries bring the same budget; another one, where most are
    /// equal, or a marked repeat, tells what is left of the deadline, and so that the aim may have passed.
    fn spent(&mut self, r: &NewRequest, deadline: Micros) -> Micros {
        let k = &mut self.usual[r.class as usize];
        let same = |k: &Usual| (r.budget - k.budget).abs() <= 10 * MS;
        match same(k) {
            _ if r.client_retry => {}
            true => k.votes = (k.votes + 1).min(50),
            false if k.votes > 0 => k.votes -= 1,
            false => (k.budget, k.votes) = (r.budget, 1),
        }
        let later = if self.set.clients_mark_retries { r.client_retry } else { k.votes >= 5 };
        Micros::from(later && !same(k)) * (deadline - r.budget).max(0)
    }
}
