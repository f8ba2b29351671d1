//! What time of day it is, as far as it can be believed.

use std::collections::BTreeMap;

use silvercross_control_store::{Micros, Node};

use crate::mutation::Mutation;

/// No more other holders are remembered; beyond it the one heard longest ago makes room.
pub const MAX_PEER_CLOCKS: usize = 64;

/// Bounds of what is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSettings {
    /// The time of day moved against the monotonic clock by more than this between two readings: a step.
    pub max_step: Micros,
    /// What it may move besides, in millionths of the time between.
    pub max_drift_ppm: i64,
    /// So long without a step, and read at least as often, a clock is steady.
    pub steady_after: Micros,
    /// What another holder said is heeded so long.
    pub reading_lifetime: Micros,
    /// An answer whose round trip took longer says nothing.
    pub max_round_trip: Micros,
    /// Two clocks that are no further apart agree.
    pub agreement_tolerance: Micros,
}

impl Default for ClockSettings {
    fn default() -> Self {
        ClockSettings {
            max_step: 1_000_000,
            max_drift_ppm: 1_000,
            steady_after: 600_000_000,
            reading_lifetime: 30_000_000,
            max_round_trip: 1_000_000,
            agreement_tolerance: 2_000_000,
        }
    }
}

/// Another holder's time of day, as it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClockReading {
    /// Which holder.
    pub node: Node,
    /// When it was asked, on this node's monotonic clock.
    pub sent_at: Micros,
    /// When its answer came, on the same.
    pub received_at: Micros,
    /// Its time of day at some moment between, in microseconds since 1970.
    pub wall: i64,
    /// Whether it saw its own clock step lately ([`TrustedClock::stepped`]).
    pub stepped: bool,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    /// Time of day less monotonic.
    offset: i64,
    at: Micros,
    /// An earlier offset and when, against many small steps.
    anchor: (i64, Micros),
    /// Since when it was read without a gap or a step.
    since: Micros,
    stepped: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Other {
    /// Its offset lies between.
    low: i64,
    high: i64,
    at: Micros,
    stepped: Option<Micros>,
}

/// The time of day as one holder knows it, from its own clock and those of others. Holds at most [`MAX_PEER_CLOCKS`] others.
///
/// A time of day is believed if two clocks agree on it, one of them without a step lately, and no others agree on another
/// time as many. Only where no other was heard lately does the own clock do alone: steady, and in agreement with
/// the others when they were last heard. Anything else gives no time at all, and nobody lapses by it.
#[derive(Clone, Debug)]
pub struct TrustedClock {
    guard: ClockSettings,
    single: bool,
    own: Option<Own>,
    others: BTreeMap<Node, Other>,
    /// The own clock has not agreed with others since it stepped, differed or started.
    doubt: bool,
    mutant: Option<Mutation>,
}

impl TrustedClock {
    /// A clock that was not read yet. `single` says that this is the only holder there is: then a steady own clock is
    /// enough.
    pub fn new(guard: ClockSettings, single: bool) -> TrustedClock {
        TrustedClock { guard, single, own: None, others: BTreeMap::new(), doubt: true, mutant: None }
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutant: Mutation) {
        self.mutant = Some(mutant);
    }

    /// Take a reading of the own clocks, both at one moment; about once a second. Whether the time of day has stepped
    /// since the last.
    pub fn observe_local(&mut self, now: Micros, wall: i64) -> bool {
        let offset = wall.saturating_sub(now);
        let fresh = Own { offset, at: now, anchor: (offset, now), since: now, stepped: None };
        let Some(own) = &mut self.own else {
            self.own = Some(fresh);
            return false;
        };
        let gap = now.saturating_sub(own.at);
        if gap < 0 {
            return false;
        }
        let guard = self.guard;
        let moved = |from: i64, span: Micros| far(offset, from) > guard.allowed(span);
        let stepped = moved(own.offset, gap) || moved(own.anchor.0, now.saturating_sub(own.anchor.1).max(0));
        if stepped {
            *own = Own { stepped: Some(now), ..fresh };
            self.doubt = true;
        } else if gap > guard.steady_after {
            *own = Own { stepped: own.stepped, ..fresh };
        } else {
            if now.saturating_sub(own.anchor.1) >= guard.steady_after {
                own.anchor = (offset, now);
            }
            own.offset = offset;
            own.at = now;
        }
        stepped
    }

    /// Take another holder's answer.
    pub fn observe_peer(&mut self, voice: PeerClockReading) {
        let width = voice.received_at.saturating_sub(voice.sent_at);
        if width < 0 || width > self.guard.max_round_trip {
            return;
        }
        let (low, high) =
            (voice.wall.saturating_sub(voice.received_at), voice.wall.saturating_sub(voice.sent_at));
        let before = self.others.get(&voice.node).copied();
        if before.is_some_and(|old| old.at > voice.received_at) {
            return;
        }
        // It may have started again since it stepped and not know.
        let moved = before.is_some_and(|old| {
            let allowed = self.guard.allowed(voice.received_at.saturating_sub(old.at));
            low.saturating_sub(old.high) > allowed || old.low.saturating_sub(high) > allowed
        });
        let known = before.and_then(|old| old.stepped);
        let stepped = if voice.stepped || moved { Some(voice.received_at) } else { known };
        if before.is_none() && self.others.len() >= MAX_PEER_CLOCKS {
            if let Some(oldest) = self.others.iter().min_by_key(|(_, other)| other.at).map(|(node, _)| *node)
            {
                self.others.remove(&oldest);
            }
        }
        self.others.insert(voice.node, Other { low, high, at: voice.received_at, stepped });
        let agreed = self.vote(voice.received_at);
        self.doubt = match (agreed, self.own) {
            (Some(offset), Some(own)) => far(offset, own.offset) > self.guard.agreement_tolerance,
            _ => true,
        };
    }

    /// Whether the own time of day stepped within the steady span: told to others with the reading.
    pub fn stepped(&self, now: Micros) -> bool {
        self.own.is_some_and(|own| self.guard.lately(now, own.stepped))
    }

    /// The time of day, if it is to be believed.
    pub fn wall_time(&self, now: Micros) -> Option<i64> {
        if cfg!(feature = "mutants") && self.mutant == Some(Mutation::OwnClock) {
            return self.own.map(|own| own.offset.saturating_add(now));
        }
        let alone = !self.others.values().any(|other| self.fresh(now, other.at));
        let offset = if alone {
            let own = self.own.filter(|own| self.fresh(now, own.at))?;
            let steady = now.saturating_sub(own.since) >= self.guard.steady_after;
            (steady && (self.single || !self.doubt)).then_some(own.offset)
        } else {
            self.vote(now)
        };
        offset.map(|offset| offset.saturating_add(now))
    }

    /// The offset that most clocks agree on.
    fn vote(&self, now: Micros) -> Option<i64> {
        let own = self.own.iter().map(|own| (own.offset, own.offset, own.at, own.stepped));
        let others = self.others.values().map(|other| (other.low, other.high, other.at, other.stepped));
        let clocks: Vec<(i64, i64, bool)> = own
            .chain(others)
            .filter(|(_, _, at, _)| self.fresh(now, *at))
            .map(|(low, high, _, stepped)| (low, high, self.guard.lately(now, stepped)))
            .collect();
        let tolerance = self.guard.agreement_tolerance;
        // The count of clocks that agree, and the earliest and latest offset that so many agree on.
        let mut best: Option<(usize, i64, i64)> = None;
        for &(low, high, _) in &clocks {
            let middle = low + (high - low) / 2;
            let agree = |(low, high, _): &&(i64, i64, bool)| {
                low.saturating_sub(tolerance) <= middle && middle <= high.saturating_add(tolerance)
            };
            let count = clocks.iter().filter(agree).count();
            let sound = clocks.iter().filter(agree).any(|(_, _, stepped)| !stepped);
            if count < 2 || !sound {
                continue;
            }
            best = match best {
                Some((most, ..)) if most > count => best,
                Some((most, first, last)) if most == count => {
                    Some((most, first.min(middle), last.max(middle)))
                }
                _ => Some((count, middle, middle)),
            };
        }
        // The earliest of them: who lapses a little late loses nothing.
        best.filter(|(_, first, last)| far(*first, *last) <= 2 * tolerance).map(|(_, first, _)| first)
    }

    fn fresh(&self, now: Micros, at: Micros) -> bool {
        now.saturating_sub(at) <= self.guard.reading_lifetime
    }
}

impl ClockSettings {
    fn allowed(&self, span: Micros) -> i64 {
        self.max_step
            .saturating_add((i128::from(span.max(0)) * i128::from(self.max_drift_ppm) / 1_000_000) as i64)
    }

    fn lately(&self, now: Micros, stepped: Option<Micros>) -> bool {
        stepped.is_some_and(|at| now.saturating_sub(at) < self.steady_after)
    }
}

fn far(a: i64, b: i64) -> i64 {
    a.saturating_sub(b).saturating_abs()
}
