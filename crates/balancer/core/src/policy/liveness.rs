//! Which upstreams are excluded, for how long, and when it is the fault of this side.
use super::*;

/// Cooldowns double from the time of so many own requests, within the bounds: a scout is one request in them.
const COOLDOWN_REQUESTS: f64 = 40.0;
const COOLDOWN: (Micros, Micros) = (2 * S, 20 * S);
/// Dead: so many counted failures over this long, no further apart than the gap, and a success elsewhere.
const DEAD_FAILURES: u32 = 5;
const DEAD_STREAK: Micros = 10 * S;
const STREAK_GAP: Micros = 30 * S;
const DEAD_COOLDOWN: Micros = 30 * S;
const CORROBORATION: Micros = 5 * S;
/// So soon after an answer, so many failures in a row are not counted.
const AMID: (Micros, u32) = (S / 2, 2);
/// All failed for this long, at two upstreams or more: the fault is here. Nothing counts; grace after it.
const BLAME_SPAN: Micros = 2 * S;
const BLAME_GRACE: Micros = 5 * S;

impl Balancer {
    pub(super) fn eligible(&self, u: &Upstream) -> bool {
        match u.state {
            State::Unknown | State::Online => true,
            // After expiry: the next real request, one at a time until a success.
            State::Offline { until, .. } | State::Dead { until, .. } => self.now >= until && u.scouts == 0,
        }
    }

    /// Whether an upstream would not be picked now, for its failures or its drain.
    pub fn avoids(&self, now: Micros, u: UpstreamId) -> bool {
        self.upstreams.get(u.0 as usize).is_none_or(|u| !u.listed || now < u.until())
    }

    pub(super) fn life(&mut self, i: usize) {
        self.last_life = self.now;
        if self.blamed {
            (self.blamed, self.grace_until) = (false, self.now + BLAME_GRACE);
            for u in self.upstreams.iter_mut().filter(|u| u.excluded()) {
                (u.state, u.failures) = (State::Unknown, 0);
            }
        }
        let u = &mut self.upstreams[i];
        (u.state, u.failures, u.broken, u.last_life) = (State::Online, 0, 0, self.now);
    }

    /// A transport failure of an attempt sent at `sent`.
    pub(super) fn failure(&mut self, i: usize, sent: Micros) {
        let now = self.now;
        self.fails.push_back((now, i));
        self.fails.retain(|f| f.0 >= now - BLAME_SPAN);
        if self.last_life < now - BLAME_SPAN && self.fails.iter().any(|f| f.1 != i) {
            self.blamed = true;
        }
        if self.blamed || now < self.grace_until {
            return;
        }
        let u = &self.upstreams[i];
        // A sign of life since the send outweighs it; what was sent before a cooldown or fails in it is old.
        let old = matches!(u.state, State::Offline { since, until } | State::Dead { since, until }
            if sent < since || now < until);
        if old || u.last_life >= sent {
            return;
        }
        // Failures amid answers tell of connections: only some in a row, with no answer between, count.
        if u.last_life > now - AMID.0 && u.broken < AMID.1 {
            return self.upstreams[i].broken += 1;
        }
        let since = u.last_failure.max(now - CORROBORATION - 1);
        let corroborated = self.upstreams.iter().enumerate().any(|(j, o)| j != i && o.last_life > since);
        let u = &mut self.upstreams[i];
        if u.failures == 0 || now - u.last_failure > STREAK_GAP {
            (u.failures, u.streak_start) = (0, now);
        }
        (u.failures, u.last_failure) = (u.failures + 1, now);
        let asked = self.asked_rate.now(now, RATE_OVER).max(1e-9);
        let long = now - u.streak_start >= DEAD_STREAK;
        u.state = if u.failures >= DEAD_FAILURES && long && corroborated {
            State::Dead { since: now, until: now + DEAD_COOLDOWN }
        } else {
            // Hundreds of scouts hold a server down: a balancer of little traffic sends them more seldom.
            let base = ((COOLDOWN_REQUESTS / asked) as Micros).clamp(COOLDOWN.0, COOLDOWN.1);
            let wait = (base << (u.failures - 1).min(8)).min(COOLDOWN.1);
            State::Offline { since: now, until: now + wait }
        };
    }
}
