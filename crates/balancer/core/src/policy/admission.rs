//! Admission: which requests are sent on, and which are refused at once.
use super::*;

/// Time constant of an upstream's own slowdown: the time of this many own requests, within these bounds.
const DECAY_REQUESTS: f64 = 60.0;
const DECAY: (f64, f64) = (4e6, 10e6);
/// Retry budget: a share of new requests, saved up to the cap. More would turn overload into collapse.
const RETRY_RATIO: f64 = 0.02;
pub(super) const MAX_SAVED: f64 = 5.0;
/// Factors on the time left, to which admission limits the expected time: for value (power, bounds), if idle.
const VALUE_POWER: f64 = 0.5;
const VALUE_FACTOR: (f64, f64) = (0.6, 1.5);
const IDLE_FACTOR: f64 = 2.0;

impl Balancer {
    pub(super) fn on_request(&mut self, r: NewRequest, out: &mut Vec<Action>) {
        let class = r.class as usize;
        let Some(&c) = self.cfg.classes.get(class) else { return out.push(Action::Fail { request: r.id }) };
        let units = r.cost_hint.map_or(1.0, |h| h.max(1) as f64);
        let began = self.now - self.client_elapsed(&r, c.deadline);
        let k = &mut self.class_stats[class];
        if r.cost_hint.is_some() && k.samples == 0.0 && k.per_unit > 100.0 {
            k.per_unit = 1.5; // hints are time on a standard core; assume slower ones until there are samples
        }
        k.units = if k.samples == 0.0 { units } else { k.units + (units - k.units) * 0.02 };
        let (work, typical) = (k.per_unit * units, k.per_unit * k.units);
        let target_at = began + (c.latency_target + (c.target_per_work * work) as Micros).min(c.deadline);
        // Fixed on arrival: the settings may change while the request is open.
        let cap = self.cfg.max_attempts as usize;
        let mut p = Pending::new(class, r.key, target_at, self.now + r.budget, units, work, cap);
        let (share, most) =
            (self.cfg.retry_ratio.unwrap_or(RETRY_RATIO), self.cfg.max_saved_retries.unwrap_or(MAX_SAVED));
        self.retry_tokens = (self.retry_tokens + share).min(most);
        self.request_rate.add(self.now, RATE_SPAN, 1.0);
        self.decay = (DECAY_REQUESTS / self.request_rate.now(self.now, RATE_SPAN)).clamp(DECAY.0, DECAY.1);
        let density = c.value / if self.cfg.value_per_work { 1.0 } else { typical.max(1.0) };
        self.value_sum = self.value_sum * 0.99 + density * typical;
        self.work_sum = self.work_sum * 0.99 + typical;
        let Some((i, expected)) = self.pick(&p) else { return self.give_up(r.id, &mut p, out) };
        // Refuse early what would miss its target, the lowest value per work first. `expected` is the time of
        // a typical request of the class, so that no request is refused for its own work.
        let left = (target_at.min(p.deadline) - self.now) as f64;
        // The more the worst-served class counts in the objective, the less value orders refusals.
        let value_factor = (density * self.work_sum / self.value_sum.max(1e-9))
            .powf(VALUE_POWER * self.cfg.total_value_weight);
        let value_factor = value_factor.clamp(VALUE_FACTOR.0, VALUE_FACTOR.1);
        let idle_factor = if self.pending.is_empty() { IDLE_FACTOR } else { 1.0 };
        if c.late_value_share == 0.0 && expected * self.margin > left * value_factor * idle_factor {
            // With nothing in flight no response corrects the estimate: lower it, or the class is locked out.
            self.class_stats[class].per_unit *=
                if self.pending.is_empty() { 1.0 - estimates::LEARN_CLASS } else { 1.0 };
            return self.give_up(r.id, &mut p, out);
        }
        self.send(r.id, &mut p, i, out);
        self.pending.insert(r.id, p);
    }

    /// How long the client has waited. First tries of a class share a budget; a retry, marked as one or known
    /// by a different budget, arrives with the rest of the deadline, and its target may have passed.
    fn client_elapsed(&mut self, r: &NewRequest, deadline: Micros) -> Micros {
        let k = &mut self.class_stats[r.class as usize];
        let same = |k: &ClassStats| (r.budget - k.budget).abs() <= 10 * MS;
        match same(k) {
            _ if r.client_retry => {}
            true => k.votes = (k.votes + 1).min(50),
            false if k.votes > 0 => k.votes -= 1,
            false => (k.budget, k.votes) = (r.budget, 1),
        }
        let later = if self.cfg.clients_mark_retries { r.client_retry } else { k.votes >= 5 };
        Micros::from(later && !same(k)) * (deadline - r.budget).max(0)
    }
}
