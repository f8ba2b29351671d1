//! How much home can spare for the other side. Home's own traffic is not seen here; what is seen is how long the guests'
//! requests take at home against what they usually take. Guests are to give way to any queue: the offer is halved at once
//! when they turn late, and given back by a little while they are quick.
use crate::statement::{Statement, MAX_SLOTS, MAX_VALIDITY};
use silvercross_core::interface::Micros;

/// Weight of an answer in how long guests take just now, and in what they usually take.
const FAST: f64 = 0.04;
const SLOW: f64 = 0.002;
/// One guest tells of no more than so many times the usual: work has a heavy tail, and a single one is no queue.
const SURPRISE: f64 = 4.0;
/// Guests that take so many times the usual are in home's way; under the second there is room for more.
const CROWDED: f64 = 1.6;
const ROOMY: f64 = 1.25;
/// Not halved again before the last halving can have shown.
const HALVE_EVERY: Micros = 500_000;
/// Grows by this share, one at least, in such steps, while so much of it is in use.
const GROW: f64 = 0.1;
const GROW_EVERY: Micros = 200_000;
const IN_USE: f64 = 0.6;
/// A guest that took more than this share of the time it had left found a queue, whatever is usual: what is usual may have been
/// learnt from queues.
const SLOW_SHARE: f64 = 0.33;
/// Crowded with a single guest, home takes none at all for so long, twice as long each time.
const PAUSE: (Micros, Micros) = (1_000_000, 8_000_000);
/// What the first answers say is not yet "usual": so many are simply averaged.
const LEARN: f64 = 20.0;

/// What an inward half keeps to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The first offer of a life, and the least that is kept for finding out.
    pub initial_slots: u32,
    /// The most guests at a time, whatever there is room for.
    pub max_slots: u32,
    /// How long a statement holds.
    pub validity: Micros,
}

/// How a guest's request ended at home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteOutcome {
    /// Served, within its time.
    Served,
    /// Home turned it away, or had no time for it.
    Rejected,
    /// It failed, or its time ran out.
    Failed,
    /// Its sender left.
    Disconnected,
}

/// The offer.
#[derive(Clone, Debug)]
pub struct Offer {
    limits: Limits,
    incarnation: u64,
    seq: u64,
    slots: f64,
    /// Guests at work.
    pub in_flight: u32,
    /// Guests refused for want of room.
    pub refused: u64,
    seen: f64,
    usual: f64,
    lately: f64,
    halved_at: Micros,
    grown_at: Micros,
    pause: Micros,
    closed_until: Micros,
    draining: bool,
}

impl Offer {
    /// A new life's first offer.
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
            lately: 0.0,
            halved_at: now - HALVE_EVERY,
            grown_at: now,
            pause: PAUSE.0,
            closed_until: now,
            draining: false,
        }
    }

    /// How many guests may be at work now.
    pub fn slots(&self, now: Micros) -> u32 {
        if self.draining || now < self.closed_until {
            0
        } else {
            self.slots as u32
        }
    }

    /// Nothing new from the link from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether one more guest may come in; it is at work then, until [`Offer::ended`].
    pub fn admit(&mut self, now: Micros) -> bool {
        if self.in_flight >= self.slots(now) {
            self.refused += 1;
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// A guest is done; `left`: the time it had when it came. `took` over `expected`: its work as its sender guessed it, or the same for all of a class.
    pub fn ended(&mut self, now: Micros, how: RemoteOutcome, took: Micros, expected: f64, left: Micros) {
        let used = f64::from(self.in_flight) >= IN_USE * self.slots;
        self.in_flight = self.in_flight.saturating_sub(1);
        let most = if self.seen < LEARN { f64::MAX } else { SURPRISE * self.usual };
        let slow = took as f64 > SLOW_SHARE * left as f64;
        let ratio = match how {
            RemoteOutcome::Disconnected => return,
            RemoteOutcome::Served if slow && self.seen < LEARN => return self.halve(now),
            RemoteOutcome::Served if slow => most,
            // One that home could not serve in time took as long as counts.
            RemoteOutcome::Rejected | RemoteOutcome::Failed if self.seen < LEARN => return self.halve(now),
            RemoteOutcome::Rejected | RemoteOutcome::Failed => most,
            RemoteOutcome::Served => (took.max(1) as f64 / expected.max(1.0)).min(most),
        };
        self.seen += 1.0;
        let weight = |least: f64| (1.0 / self.seen).max(least);
        let (fast, slow) = (weight(FAST), weight(SLOW));
        self.lately += (ratio - self.lately) * fast;
        // Falls quickly and rises slowly: a long queue must not become what is usual.
        self.usual += (ratio - self.usual) * if ratio < self.usual { slow * 2.0 } else { slow };
        if self.seen < LEARN {
            return;
        }
        let crowding = self.lately / self.usual.max(1e-9);
        if crowding > CROWDED {
            self.halve(now);
        } else if crowding < ROOMY && used && now >= self.grown_at + GROW_EVERY {
            self.grown_at = now;
            let more = (self.slots * GROW).max(1.0);
            self.slots = (self.slots + more).min(f64::from(self.limits.max_slots));
            self.pause = PAUSE.0;
        }
    }

    fn halve(&mut self, now: Micros) {
        if now < self.halved_at + HALVE_EVERY {
            return;
        }
        (self.halved_at, self.grown_at) = (now, now + HALVE_EVERY);
        if self.slots < 2.0 {
            // Even one is too many: what home can do is all its own for a while, and then one finds out.
            self.closed_until = now + self.pause;
            self.pause = (2 * self.pause).min(PAUSE.1);
        }
        self.slots = (self.slots / 2.0).max(f64::from(self.limits.initial_slots.min(1)));
    }

    /// What to state now to one of so many far gateways: its part.
    pub fn next_statement(&mut self, now: Micros, among: u32) -> Statement {
        self.seq += 1;
        let slots = self.slots(now).div_ceil(among.max(1));
        Statement { incarnation: self.incarnation, seq: self.seq, slots, validity: self.limits.validity }
    }
}
