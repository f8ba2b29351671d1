//! Wall clock time that several nodes agree on.
//!
//! All clocks are kept as offsets: wall clock time minus this node's monotonic clock.

use std::collections::BTreeMap;

use silvercross_control_store::Node;
use silvercross_time::{Duration, Instant};

use crate::clock_settings::ClockSettings;
use crate::mutation::Mutation;
use crate::unix_time::UnixTime;

/// Most peer clocks kept; above that the one read longest ago is removed.
pub const MAX_PEER_CLOCKS: usize = 64;

/// A peer's answer with its wall clock time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClockReading {
    /// The peer.
    pub node: Node,
    /// When the query was sent, on this node's monotonic clock.
    pub sent_at: Instant,
    /// When the answer was received, on the same clock.
    pub received_at: Instant,
    /// The peer's wall clock at some moment between the two.
    pub wall: UnixTime,
    /// Whether the peer saw its own clock step recently ([`TrustedClock::stepped`]).
    pub stepped: bool,
}

/// An offset and when it was read.
#[derive(Clone, Copy, Debug)]
struct OffsetReading {
    offset: Duration,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LocalClock {
    last: OffsetReading,
    /// An earlier reading, which detects a series of small steps.
    anchor: OffsetReading,
    /// Start of the readings without a gap or a step.
    steady_since: Instant,
    stepped_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// Lower bound of its offset; `latest` is the upper bound.
    earliest: Duration,
    latest: Duration,
    read_at: Instant,
    stepped_at: Option<Instant>,
}

/// A clock in a vote: the bounds of its offset, and whether it stepped recently.
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

/// The offsets that the largest number of clocks agree on; not necessarily a majority.
#[derive(Clone, Copy, Debug)]
struct Agreement {
    count: usize,
    earliest: Duration,
    latest: Duration,
}

/// The wall clock time that one node trusts, from its own clock and at most [`MAX_PEER_CLOCKS`] peer clocks.
///
/// A time is trusted if at least two clocks agree on it, at least one of them without a recent step, and no other
/// time has as many clocks. If no peer has a recent reading, the local clock suffices if it is steady and agreed with
/// the peers when they last answered (or there are no peers). Otherwise there is no trusted time and no lapse begins.
#[derive(Clone, Debug)]
pub struct TrustedClock {
    settings: ClockSettings,
    is_only_node: bool,
    local: Option<LocalClock>,
    peers: BTreeMap<Node, PeerClock>,
    /// Whether the local clock has not agreed with peers since it last started, stepped or differed from them.
    is_unconfirmed: bool,
    mutation: Option<Mutation>,
}

impl TrustedClock {
    /// Creates a clock without readings. With `is_only_node` there are no peers, and a steady local clock suffices.
    pub fn new(settings: ClockSettings, is_only_node: bool) -> TrustedClock {
        TrustedClock {
            settings,
            is_only_node,
            local: None,
            peers: BTreeMap::new(),
            is_unconfirmed: true,
            mutation: None,
        }
    }

    /// Breaks one rule.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Processes a reading of both local clocks taken at one moment; call it about once a second. Returns whether the
    /// wall clock has stepped since the last reading.
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
            self.is_unconfirmed = true;
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

    /// Processes a peer's answer.
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
        // A peer that restarted after a step does not report it, so the step is also detected here.
        let moved = before.is_some_and(|old| {
            let allowed = self.settings.allowed_move(received_at.saturating_since(old.read_at));
            earliest.saturating_add(-old.latest) > allowed || old.earliest.saturating_add(-latest) > allowed
        });
        let known = before.and_then(|old| old.stepped_at);
        let stepped_at = if stepped || moved { Some(received_at) } else { known };
        if before.is_none() {
            self.evict_oldest_peer();
        }
        self.peers.insert(node, PeerClock { earliest, latest, read_at: received_at, stepped_at });
        self.is_unconfirmed = match (self.agreed_offset(received_at), self.local) {
            (Some(agreed), Some(local)) => {
                distance(agreed, local.last.offset) > self.settings.agreement_tolerance
            }
            _ => true,
        };
    }

    fn evict_oldest_peer(&mut self) {
        if self.peers.len() < MAX_PEER_CLOCKS {
            return;
        }
        let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.read_at).map(|(node, _)| *node);
        if let Some(node) = oldest {
            self.peers.remove(&node);
        }
    }

    /// Whether the local wall clock stepped within [`ClockSettings::steady_after`]; sent to peers with a reading.
    pub fn stepped(&self, now: Instant) -> bool {
        self.local.is_some_and(|local| self.settings.is_recent(now, local.stepped_at))
    }

    /// The wall clock time, if one is trusted.
    pub fn wall_time(&self, now: Instant) -> Option<UnixTime> {
        if cfg!(feature = "mutants") && self.mutation == Some(Mutation::OwnClock) {
            return self.local.map(|local| UnixTime::at_offset(now, local.last.offset));
        }
        let is_alone = !self.peers.values().any(|peer| self.settings.is_fresh(now, peer.read_at));
        let offset = if is_alone { self.local_offset(now) } else { self.agreed_offset(now) };
        offset.map(|offset| UnixTime::at_offset(now, offset))
    }

    /// The local clock's offset, if it suffices without peers.
    fn local_offset(&self, now: Instant) -> Option<Duration> {
        let local = self.local.filter(|local| self.settings.is_fresh(now, local.last.at))?;
        let is_steady = now.saturating_since(local.steady_since) >= self.settings.steady_after;
        (is_steady && (self.is_only_node || !self.is_unconfirmed)).then_some(local.last.offset)
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

    /// The offset that the largest number of clocks agree on.
    fn agreed_offset(&self, now: Instant) -> Option<Duration> {
        let clocks = self.voting_clocks(now);
        let tolerance = self.settings.agreement_tolerance;
        let mut best: Option<Agreement> = None;
        for middle in clocks.iter().map(VotingClock::middle) {
            let agreeing = || clocks.iter().filter(|clock| clock.agrees_with(middle, tolerance));
            let count = agreeing().count();
            if count < 2 || agreeing().all(|clock| clock.stepped) {
                continue;
            }
            best = match best {
                Some(best) if best.count > count => Some(best),
                Some(best) if best.count == count => Some(Agreement {
                    count,
                    earliest: best.earliest.min(middle),
                    latest: best.latest.max(middle),
                }),
                _ => Some(Agreement { count, earliest: middle, latest: middle }),
            };
        }
        // The earliest offset: a lapse may begin slightly late, but not early.
        best.filter(|best| distance(best.earliest, best.latest) <= tolerance * 2).map(|best| best.earliest)
    }
}

/// The distance between two offsets, clamped to the range of the type.
fn distance(a: Duration, b: Duration) -> Duration {
    Duration::from_micros(a.as_micros().saturating_sub(b.as_micros()).saturating_abs())
}
