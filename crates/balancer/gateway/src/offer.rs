//! How many requests of the other site the local site can accept. The local traffic is not visible here; the input is how long
//! remote requests take at the local site compared with their usual time. Remote requests give way to any queue: the offer
//! is halved at once when they become slow and grows in small steps while they are fast.
use crate::statement::{Statement, MAX_SLOTS, MAX_VALIDITY};
use silvercross_core::interface::Micros;

/// Weight of a response in the moving average of the recent duration ratio.
const RECENT_WEIGHT: f64 = 0.04;
/// Weight of a response in the moving average of the usual duration ratio.
const USUAL_WEIGHT: f64 = 0.002;
/// A response counts as at most this multiple of the usual ratio: work has a heavy tail, and a single slow request does not
/// indicate a queue.
const MAX_RATIO: f64 = 4.0;
/// The offer is halved if the recent ratio exceeds this multiple of the usual one.
const SHRINK_ABOVE: f64 = 1.6;
/// The offer may grow if the recent ratio is below this multiple of the usual one.
const GROW_BELOW: f64 = 1.25;
/// Minimum time between two halvings, so that the first one can take effect.
const HALVE_INTERVAL: Micros = 500_000;
/// Share by which the offer grows in one step, at least by one slot.
const GROWTH: f64 = 0.1;
/// Minimum time between two steps of growth.
const GROW_INTERVAL: Micros = 200_000;
/// The offer grows only while at least this share of it is in use.
const MIN_USE: f64 = 0.6;
/// A remote request that took more than this share of its remaining time counts as queued, whatever the usual ratio is, since
/// that may have been measured under a queue.
const SLOW_SHARE: f64 = 0.33;
/// Shortest and longest time without any slot after a halving below two slots; it doubles each time.
const PAUSE: (Micros, Micros) = (1_000_000, 8_000_000);
/// Number of responses before the usual ratio is used.
const SAMPLES: f64 = 20.0;

/// Limits of the offer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Slots offered after a start. Unless it is 0, at least one slot remains except during a pause, so that a recovery is
    /// noticed.
    pub initial_slots: u32,
    /// Maximum number of slots.
    pub max_slots: u32,
    /// How long a statement is valid.
    pub validity: Micros,
}

/// How a remote request ended at the local site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteOutcome {
    /// Served in time.
    Served,
    /// Rejected by the local site, or there was not enough time for it.
    Rejected,
    /// It failed or timed out.
    Failed,
    /// Its sender disconnected.
    Disconnected,
}

/// The current offer.
#[derive(Clone, Debug)]
pub struct Offer {
    limits: Limits,
    incarnation: u64,
    seq: u64,
    slots: f64,
    /// Remote requests in flight.
    pub in_flight: u32,
    /// Number of remote requests refused because no slot was free.
    pub refused: u64,
    seen: f64,
    usual: f64,
    recent: f64,
    halved_at: Micros,
    grown_at: Micros,
    pause: Micros,
    closed_until: Micros,
    draining: bool,
}

impl Offer {
    /// Creates the first offer of an incarnation.
    pub fn new(limits: Limits, incarnation: u64, now: Micros) -> Self {
        let max_slots = limits.max_slots.min(MAX_SLOTS);
        let limits = Limits {
            initial_slots: limits.initial_slots.min(max_slots),
            max_slots,
            validity: limits.validity.clamp(1_000, MAX_VALIDITY),
        };
        Offer {
            limits,
            incarnation,
            seq: 0,
            slots: f64::from(limits.initial_slots),
            in_flight: 0,
            refused: 0,
            seen: 0.0,
            usual: 0.0,
            recent: 0.0,
            halved_at: now - HALVE_INTERVAL,
            grown_at: now,
            pause: PAUSE.0,
            closed_until: now,
            draining: false,
        }
    }

    /// Current maximum number of remote requests in flight.
    pub fn slots(&self, now: Micros) -> u32 {
        if self.draining || now < self.closed_until {
            0
        } else {
            self.slots as u32
        }
    }

    /// Accepts no further remote requests.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether another remote request is accepted; if so, it is in flight until [`Offer::ended`].
    pub fn admit(&mut self, now: Micros) -> bool {
        if self.in_flight >= self.slots(now) {
            self.refused += 1;
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// A remote request has ended. `budget`: the time that it had left on arrival. `expected`: its duration as estimated by its
    /// sender, or a value that is the same for its class.
    pub fn ended(
        &mut self,
        now: Micros,
        outcome: RemoteOutcome,
        took: Micros,
        expected: f64,
        budget: Micros,
    ) {
        let is_used = f64::from(self.in_flight) >= MIN_USE * self.slots;
        self.in_flight = self.in_flight.saturating_sub(1);
        let max_ratio = if self.seen < SAMPLES { f64::MAX } else { MAX_RATIO * self.usual };
        let is_slow = took as f64 > SLOW_SHARE * budget as f64;
        let ratio = match outcome {
            RemoteOutcome::Disconnected => return,
            RemoteOutcome::Served if is_slow && self.seen < SAMPLES => return self.halve(now),
            RemoteOutcome::Served if is_slow => max_ratio,
            // A request that was not served in time counts with the maximum ratio.
            RemoteOutcome::Rejected | RemoteOutcome::Failed if self.seen < SAMPLES => return self.halve(now),
            RemoteOutcome::Rejected | RemoteOutcome::Failed => max_ratio,
            RemoteOutcome::Served => (took.max(1) as f64 / expected.max(1.0)).min(max_ratio),
        };
        self.seen += 1.0;
        let weight = |min: f64| (1.0 / self.seen).max(min);
        let (recent_weight, usual_weight) = (weight(RECENT_WEIGHT), weight(USUAL_WEIGHT));
        self.recent += (ratio - self.recent) * recent_weight;
        // Decreases faster than it increases, so that a long queue does not become the usual state.
        self.usual +=
            (ratio - self.usual) * if ratio < self.usual { usual_weight * 2.0 } else { usual_weight };
        if self.seen < SAMPLES {
            return;
        }
        let slowdown = self.recent / self.usual.max(1e-9);
        if slowdown > SHRINK_ABOVE {
            self.halve(now);
        } else if slowdown < GROW_BELOW && is_used && now >= self.grown_at + GROW_INTERVAL {
            self.grown_at = now;
            let step = (self.slots * GROWTH).max(1.0);
            self.slots = (self.slots + step).min(f64::from(self.limits.max_slots));
            self.pause = PAUSE.0;
        }
    }

    fn halve(&mut self, now: Micros) {
        if now < self.halved_at + HALVE_INTERVAL {
            return;
        }
        (self.halved_at, self.grown_at) = (now, now + HALVE_INTERVAL);
        if self.slots < 2.0 {
            // A single slot is already too much: none is offered for a while, then one to find out whether there is capacity again.
            self.closed_until = now + self.pause;
            self.pause = (2 * self.pause).min(PAUSE.1);
        }
        self.slots = (self.slots / 2.0).max(f64::from(self.limits.initial_slots.min(1)));
    }

    /// The next statement, for one of `among` remote gateways, which share the slots.
    pub fn next_statement(&mut self, now: Micros, among: u32) -> Statement {
        self.seq += 1;
        let slots = self.slots(now).div_ceil(among.max(1));
        Statement { incarnation: self.incarnation, seq: self.seq, slots, validity: self.limits.validity }
    }
}
