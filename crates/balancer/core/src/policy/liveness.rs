//! Which upstreams are excluded and for how long, and when failures are taken for a local fault.
use super::*;

/// Cooldown: time in which this many requests arrive here, doubled per further failure, within the bounds.
const COOLDOWN_REQUESTS: f64 = 40.0;
const COOLDOWN: (Micros, Micros) = (2 * S, 20 * S);
/// Dead: this many counted failures over at least this time, with gaps of at most this, while others respond.
const DEAD_FAILURES: u32 = 5;
const DEAD_STREAK: Micros = 10 * S;
const STREAK_GAP: Micros = 30 * S;
const DEAD_COOLDOWN: Micros = 30 * S;
const CORROBORATION: Micros = 5 * S; // maximum age of another upstream's response that proves this
/// This soon after a response, this many consecutive failures are not counted.
const TOLERATED: (Micros, u32) = (S / 2, 2);
/// Local fault: no response for the span, failures at two or more upstreams. None counts, also in the grace.
const LOCAL_FAULT_SPAN: Micros = 2 * S;
const LOCAL_FAULT_GRACE: Micros = 5 * S;

impl Balancer {
    pub(super) fn eligible(&self, u: &Upstream) -> bool {
        match u.state {
            State::Unknown | State::Online => true,
            // After the cooldown, real requests are the trials, one at a time until a response.
            State::Offline { until, .. } | State::Dead { until, .. } => self.now >= until && u.trials == 0,
        }
    }

    /// Whether an upstream is not picked now, for its failures or because it is draining or gone.
    pub fn avoids(&self, now: Micros, u: UpstreamId) -> bool {
        self.upstreams.get(u.0 as usize).is_none_or(|u| !u.in_service || now < u.expiry())
    }

    pub(super) fn on_response(&mut self, i: usize) {
        self.last_response = self.now;
        if self.local_fault {
            (self.local_fault, self.grace_until) = (false, self.now + LOCAL_FAULT_GRACE);
            for u in self.upstreams.iter_mut().filter(|u| u.excluded()) {
                (u.state, u.failures) = (State::Unknown, 0);
            }
        }
        let u = &mut self.upstreams[i];
        (u.state, u.failures, u.tolerated, u.last_response) = (State::Online, 0, 0, self.now);
    }

    /// A transport failure of an attempt sent at `sent`.
    pub(super) fn on_failure(&mut self, i: usize, sent: Micros) {
        let now = self.now;
        self.recent_failures.push_back((now, i));
        self.recent_failures.retain(|f| f.0 >= now - LOCAL_FAULT_SPAN);
        if self.last_response < now - LOCAL_FAULT_SPAN && self.recent_failures.iter().any(|f| f.1 != i) {
            self.local_fault = true;
        }
        if self.local_fault || now < self.grace_until {
            return;
        }
        let u = &self.upstreams[i];
        // A response since the send outweighs it; what was sent before a cooldown or fails in it is stale.
        let stale = matches!(u.state, State::Offline { since, until } | State::Dead { since, until }
            if sent < since || now < until);
        if stale || u.last_response >= sent {
            return;
        }
        // Failures amid responses are those of single connections: only several in a row count.
        if u.last_response > now - TOLERATED.0 && u.tolerated < TOLERATED.1 {
            return self.upstreams[i].tolerated += 1;
        }
        let since = u.last_failure.max(now - CORROBORATION - 1);
        let corroborated = self.upstreams.iter().enumerate().any(|(j, o)| j != i && o.last_response > since);
        let u = &mut self.upstreams[i];
        if u.failures == 0 || now - u.last_failure > STREAK_GAP {
            (u.failures, u.streak_start) = (0, now);
        }
        (u.failures, u.last_failure) = (u.failures + 1, now);
        let request_rate = self.request_rate.now(now, RATE_SPAN).max(1e-9);
        let long = now - u.streak_start >= DEAD_STREAK;
        u.state = if u.failures >= DEAD_FAILURES && long && corroborated {
            State::Dead { since: now, until: now + DEAD_COOLDOWN }
        } else {
            // Trials of hundreds of instances hold a server down: those with little traffic wait longer.
            let base = ((COOLDOWN_REQUESTS / request_rate) as Micros).clamp(COOLDOWN.0, COOLDOWN.1);
            let wait = (base << (u.failures - 1).min(8)).min(COOLDOWN.1);
            State::Offline { since: now, until: now + wait }
        };
    }
}
