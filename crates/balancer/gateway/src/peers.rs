//! What an outward half knows of the far gateways: what each has offered and for how long yet, what is out there, how long the
//! far answer takes and how sure that is. Which of them a request goes to is the module's; this says which may be asked at all.
use crate::statement::Statement;
use silvercross_core::interface::Micros;

/// Weight of an answer in the far answer's mean and spread.
const LEARN: f64 = 0.1;
/// A request is let over when the time it has left covers the mean and so many times the spread.
const SURE: f64 = 2.0;

/// What was learnt of the far answer halves in so long without one: a stall is not believed in for ever.
const FORGET: f64 = 2e6;

/// Why a request is not let over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossingRefused {
    /// No far gateway has a standing offer with room.
    NoRoom,
    /// Its time left does not cover the way and the far answer.
    NoTime,
}

/// What is known of one far gateway.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard: Option<(Micros, Statement)>,
    /// Statements of these lives are over: they can only be late.
    past_life: Option<u64>,
    out: u32,
    seen: f64,
    mean: f64,
    spread: f64,
    answered_at: Micros,
}

impl Peer {
    /// How long the far answer to a usual request takes, as sure as may be.
    fn needs(&self, now: Micros) -> f64 {
        let old = (now - self.answered_at).max(0) as f64;
        (self.mean + SURE * self.spread) * 0.5f64.powf(old / FORGET)
    }
}

/// All far gateways, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
    /// The most of ours out at one, whatever it offers.
    most: u32,
    /// Statements that were of no use: malformed, stale, of a number that is none.
    pub ignored: u64,
}

impl Peers {
    /// So many far gateways, none of which has offered anything.
    pub fn new(n: usize, most: u32) -> Self {
        Peers { peers: vec![Peer::default(); n], most, ignored: 0 }
    }

    /// Something was stated by a peer: by value, as the header had it.
    pub fn receive_header(&mut self, now: Micros, peer: usize, value: &str) -> Result<(), &'static str> {
        let read = Statement::read(value);
        match read {
            Ok(s) => {
                self.receive(now, peer, s);
                Ok(())
            }
            Err(why) => {
                self.ignored += 1;
                Err(why)
            }
        }
    }

    /// A statement of a peer's. Only one that is newer than what was heard counts; its time runs from now, since the clocks of
    /// two sites may be apart.
    pub fn receive(&mut self, now: Micros, peer: usize, s: Statement) {
        let Some(p) = self.peers.get_mut(peer) else {
            self.ignored += 1;
            return;
        };
        let stale = match &p.heard {
            Some((_, old)) if old.incarnation == s.incarnation => s.seq <= old.seq,
            _ => p.past_life == Some(s.incarnation),
        };
        if stale {
            self.ignored += 1;
            return;
        }
        if let Some((_, old)) = p.heard.filter(|(_, old)| old.incarnation != s.incarnation) {
            p.past_life = Some(old.incarnation);
        }
        p.heard = Some((now, s));
    }

    /// The link to a peer has broken: what it offered went with it. What it states over a link that stands again counts.
    pub fn link_lost(&mut self, peer: usize) {
        if let Some((at, s)) = self.peers.get_mut(peer).and_then(|p| p.heard.as_mut()) {
            (*at, s.validity) = (Micros::MIN / 2, 0);
        }
    }

    /// How many of ours may be out at a peer: what it offered, aged. In the second half of its time an offer shrinks to
    /// nothing, so that one that is not renewed is left step by step and not by all at once.
    pub fn slots(&self, now: Micros, peer: usize) -> u32 {
        let Some((at, s)) = self.peers.get(peer).and_then(|p| p.heard) else { return 0 };
        let age = now.saturating_sub(at);
        if age < 0 || age >= s.validity {
            return 0;
        }
        let fresh = (2.0 * (s.validity - age) as f64 / s.validity as f64).min(1.0);
        (f64::from(s.slots.min(self.most)) * fresh) as u32
    }

    /// Whether a peer may be sent one more.
    pub fn has_room(&self, now: Micros, peer: usize) -> bool {
        self.peers.get(peer).is_some_and(|p| p.out < self.slots(now, peer))
    }

    /// Whether anything may go over now: a peer has room, and its answers to usual requests come within `aim`. Where not,
    /// the gateway takes no connections from its own site, so that its sidecars' modules leave it out by its liveness: an
    /// answer "full" to each would tell them, wrongly, that home itself is slow.
    pub fn is_open(&self, now: Micros, aim: Micros) -> bool {
        let fits = |i: &usize| self.peers[*i].seen < 5.0 || self.peers[*i].needs(now) <= aim as f64;
        (0..self.peers.len()).filter(|i| self.has_room(now, *i)).any(|i| fits(&i))
    }

    /// What is out at a peer.
    pub fn in_flight(&self, peer: usize) -> u32 {
        self.peers.get(peer).map_or(0, |p| p.out)
    }

    /// When [`Peers::has_room`] may change by itself: the next end or shrinking of an offer.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let of = |p: &Peer| p.heard.filter(|(at, s)| now < at.saturating_add(s.validity));
        let step = |(at, s): (Micros, Statement)| {
            let half = at + s.validity / 2;
            if now < half {
                half
            } else {
                (now + s.validity / 20 + 1).min(at + s.validity)
            }
        };
        self.peers.iter().filter_map(of).map(step).min()
    }

    /// Whether a request with so much time left may go over now, to whichever peer the module picks. `work`: its size against
    /// the usual one of its class.
    pub fn may_cross(&self, now: Micros, left: Micros, work: f64) -> Result<(), CrossingRefused> {
        let open: Vec<usize> = (0..self.peers.len()).filter(|i| self.has_room(now, *i)).collect();
        if open.is_empty() {
            return Err(CrossingRefused::NoRoom);
        }
        let needs = |i: &usize| self.peers[*i].needs(now) * work.max(0.1);
        // Nothing learnt yet: the first ones find out.
        let fits = open.iter().any(|i| self.peers[*i].seen < 5.0 || needs(i) <= left as f64);
        if fits {
            Ok(())
        } else {
            Err(CrossingRefused::NoTime)
        }
    }

    /// One of ours is on its way to a peer.
    pub fn sent(&mut self, peer: usize) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.out += 1;
        }
    }

    /// It has ended there. `took`: how long a served one took, the way included, by its size against the usual.
    pub fn ended(&mut self, now: Micros, peer: usize, took: Option<f64>) {
        let Some(p) = self.peers.get_mut(peer) else { return };
        p.out = p.out.saturating_sub(1);
        let Some(took) = took else { return };
        let fresh = 0.5f64.powf((now - p.answered_at).max(0) as f64 / FORGET);
        (p.mean, p.spread) = if p.seen > 0.0 { (p.mean * fresh, p.spread * fresh) } else { (0.0, 0.0) };
        p.answered_at = now;
        p.seen += 1.0;
        let weight = (1.0 / p.seen).max(LEARN).max(1.0 - fresh);
        let off = took - p.mean;
        p.mean += off * weight;
        p.spread += (off.abs() - p.spread) * weight;
    }
}
