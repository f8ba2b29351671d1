//! The time of day, as far as it can be trusted.
//!
//! All clocks are kept as offsets: time of day less this node's monotonic clock.

use std::collections::BTreeMap;

use silvercross_control_store::Node;
use silvercross_time::{Duration, Instant};

use crate::clock_settings::ClockSettings;
use crate::mutation::Mutation;
use crate::unix_time::UnixTime;

/// No more other nodes' clocks are remembered; beyond it the one read longest ago makes room.
pub const MAX_PEER_CLOCKS: usize = 64;

/// Another node's time of day, as it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClockReading {
    /// Which node.
    pub node: Node,
    /// When it was asked, on this node's monotonic clock.
    pub sent_at: Instant,
    /// When its answer came, on the same.
    pub received_at: Instant,
    /// Its time of day at some moment between.
    pub wall: UnixTime,
    /// Whether it saw its own clock step lately ([`TrustedClock::stepped`]).
    pub stepped: bool,
}

/// An offset, and when it was read.
#[derive(Clone, Copy, Debug)]
struct OffsetReading {
    offset: Duration,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LocalClock {
    last: OffsetReading,
    /// An earlier reading, against many small steps.
    anchor: OffsetReading,
    /// Since when it was read without a gap or a step.
    steady_since: Instant,
    stepped_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// Its offset lies between these two.
    earliest: Duration,
    latest: Duration,
    read_at: Instant,
    stepped_at: Option<Instant>,
}

/// A clock in a vote: between which offsets it is, and whether it stepped lately.
#[derive(Clone, Copy, Debug)]
struct VotingClock {
    earliest: Duration,
    latest: Duration,
    stepped: bool,
}

impl VotingClock {
    fn middle(&self) -> Duration {
        self.earliest + (self.latest - self.earliest) / 2
    }

    fn agrees_with(&self, offset: Duration, tolerance: Duration) -> bool {
        self.earliest.saturating_add(-tolerance) <= offset && offset <= self.latest.saturating_add(tolerance)
    }
}

/// The offsets that the greatest number of clocks agree on.
#[derive(Clone, Copy, Debug)]
struct Majority {
    count: usize,
    earliest: Duration,
    latest: Duration,
}

/// The time of day as one node knows it, from its own clock and those of others. Holds at most [`MAX_PEER_CLOCKS`] others.
///
/// A time of day is trusted if two clocks agree on it, one of them without a step lately, and no others agree on another
/// time as many. Only where no other was heard lately does the own clock do alone: steady, and in agreement with the
/// others when they were last heard. Anything else gives no time at all, and nobody lapses by it.
#[derive(Clone, Debug)]
pub struct TrustedClock {
    settings: ClockSettings,
    is_only_node: bool,
    local: Option<LocalClock>,
    peers: BTreeMap<Node, PeerClock>,
    /// The own clock has not agreed with others since it stepped, differed or started.
    is_in_doubt: bool,
    mutation: Option<Mutation>,
}

impl TrustedClock {
    /// A clock that was not read yet. `is_only_node` says that there are no others: then a steady own clock is enough.
    pub fn new(settings: ClockSettings, is_only_node: bool) -> TrustedClock {
        TrustedClock {
            settings,
            is_only_node,
            local: None,
            peers: BTreeMap::new(),
            is_in_doubt: true,
            mutation: None,
        }
    }

    /// Change a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Take a reading of the own clocks, both at one moment; about once a second. Whether the time of day has stepped
    /// since the last.
    pub fn observe_local(&mut self, now: Instant, wall: UnixTime) -> bool {
        let reading = OffsetReading { offset: wall.offset_from(now), at: now };
        let fresh = LocalClock { last: reading, anchor: reading, steady_since: now, stepped_at: None };
        let Some(local) = &mut self.local else {
            self.local = Some(fresh);
            return false;
        };
        let gap = now.saturating_since(local.last.at);
        if gap.is_negative() {
            return false;
        }
        let settings = self.settings;
        let since_anchor = now.saturating_since(local.anchor.at).max(Duration::ZERO);
        let stepped = distance(reading.offset, local.last.offset) > settings.allowed_move(gap)
            || distance(reading.offset, local.anchor.offset) > settings.allowed_move(since_anchor);
        if stepped {
            *local = LocalClock { stepped_at: Some(now), ..fresh };
            self.is_in_doubt = true;
        } else if gap > settings.steady_after {
            *local = LocalClock { stepped_at: local.stepped_at, ..fresh };
        } else {
            if now.saturating_since(local.anchor.at) >= settings.steady_after {
                local.anchor = reading;
            }
            local.last = reading;
        }
        stepped
    }

    /// Take another node's answer.
    pub fn observe_peer(&mut self, reading: PeerClockReading) {
        let PeerClockReading { node, sent_at, received_at, wall, stepped } = reading;
        let round_trip = received_at.saturating_since(sent_at);
        if round_trip.is_negative() || round_trip > self.settings.max_round_trip {
            return;
        }
        let (earliest, latest) = (wall.offset_from(received_at), wall.offset_from(sent_at));
        let before = self.peers.get(&node).copied();
        if before.is_some_and(|old| old.read_at > received_at) {
            return;
        }
        // It may have started again since it stepped and not know.
        let moved = before.is_some_and(|old| {
            let allowed = self.settings.allowed_move(received_at.saturating_since(old.read_at));
            earliest.saturating_add(-old.latest) > allowed || old.earliest.saturating_add(-latest) > allowed
        });
        let known = before.and_then(|old| old.stepped_at);
        let stepped_at = if stepped || moved { Some(received_at) } else { known };
        if before.is_none() {
            self.make_room();
        }
        self.peers.insert(node, PeerClock { earliest, latest, read_at: received_at, stepped_at });
        self.is_in_doubt = match (self.agreed_offset(received_at), self.local) {
            (Some(agreed), Some(local)) => {
                distance(agreed, local.last.offset) > self.settings.agreement_tolerance
            }
            _ => true,
        };
    }

    fn make_room(&mut self) {
        if self.peers.len() < MAX_PEER_CLOCKS {
            return;
        }
        let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.read_at).map(|(node, _)| *node);
        if let Some(node) = oldest {
            self.peers.remove(&node);
        }
    }

    /// Whether the own time of day stepped within the steady span: sent to others with the reading.
    pub fn stepped(&self, now: Instant) -> bool {
        self.local.is_some_and(|local| self.settings.is_recent(now, local.stepped_at))
    }

    /// The time of day, if it is to be trusted.
    pub fn wall_time(&self, now: Instant) -> Option<UnixTime> {
        if cfg!(feature = "mutants") && self.mutation == Some(Mutation::OwnClock) {
            return self.local.map(|local| UnixTime::at_offset(now, local.last.offset));
        }
        let is_alone = !self.peers.values().any(|peer| self.settings.is_fresh(now, peer.read_at));
        let offset = if is_alone { self.own_offset(now) } else { self.agreed_offset(now) };
        offset.map(|offset| UnixTime::at_offset(now, offset))
    }

    /// The own clock's offset, where it does alone.
    fn own_offset(&self, now: Instant) -> Option<Duration> {
        let local = self.local.filter(|local| self.settings.is_fresh(now, local.last.at))?;
        let is_steady = now.saturating_since(local.steady_since) >= self.settings.steady_after;
        (is_steady && (self.is_only_node || !self.is_in_doubt)).then_some(local.last.offset)
    }

    fn voting_clocks(&self, now: Instant) -> Vec<VotingClock> {
        let local = self.local.iter().map(|local| PeerClock {
            earliest: local.last.offset,
            latest: local.last.offset,
            read_at: local.last.at,
            stepped_at: local.stepped_at,
        });
        local
            .chain(self.peers.values().copied())
            .filter(|clock| self.settings.is_fresh(now, clock.read_at))
            .map(|PeerClock { earliest, latest, stepped_at, .. }| VotingClock {
                earliest,
                latest,
                stepped: self.settings.is_recent(now, stepped_at),
            })
            .collect()
    }

    /// The offset that most clocks agree on.
    fn agreed_offset(&self, now: Instant) -> Option<Duration> {
        let clocks = self.voting_clocks(now);
        let tolerance = self.settings.agreement_tolerance;
        let mut best: Option<Majority> = None;
        for middle in clocks.iter().map(VotingClock::middle) {
            let agreeing = || clocks.iter().filter(|clock| clock.agrees_with(middle, tolerance));
            let count = agreeing().count();
            if count < 2 || agreeing().all(|clock| clock.stepped) {
                continue;
            }
            best = match best {
                Some(best) if best.count > count => Some(best),
                Some(best) if best.count == count => Some(Majority {
                    count,
                    earliest: best.earliest.min(middle),
                    latest: best.latest.max(middle),
                }),
                _ => Some(Majority { count, earliest: middle, latest: middle }),
            };
        }
        // The earliest of them: who lapses a little late loses nothing.
        best.filter(|best| distance(best.earliest, best.latest) <= tolerance * 2).map(|best| best.earliest)
    }
}

/// How far two offsets are apart, held at the bounds of the type.
fn distance(a: Duration, b: Duration) -> Duration {
    Duration::from_micros(a.as_micros().saturating_sub(b.as_micros()).saturating_abs())
}
