//! What a gateway knows of the remote gateways: the offer of each and its remaining validity, the requests in flight there, and
//! mean and deviation of the response time. This determines which of them a request may be sent to; the decision module
//! picks one.
use crate::statement::Statement;
use silvercross_core::interface::Micros;

/// Weight of a response in the moving averages.
const WEIGHT: f64 = 0.1;
/// A request may cross if its remaining time covers the mean response time plus this multiple of the deviation.
const DEVIATIONS: f64 = 2.0;

/// Half-life, in microseconds, of the response-time estimate while there are no responses, so that a past stall does not
/// exclude a peer forever.
const HALF_LIFE: f64 = 2e6;

/// Why a request may not cross to another site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossingRefused {
    /// No remote gateway has a valid offer with a free slot.
    NoRoom,
    /// Its remaining time does not cover the expected response time.
    NoTime,
}

/// State of a remote gateway.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_statement: Option<(Micros, Statement)>,
    /// The previous incarnation, whose statements can only be late ones.
    previous_incarnation: Option<u64>,
    in_flight: u32,
    seen: f64,
    mean: f64,
    deviation: f64,
    answered_at: Micros,
}

impl Peer {
    /// Conservative estimate of the response time of a typical request.
    fn expected_time(&self, now: Micros) -> f64 {
        let age = (now - self.answered_at).max(0) as f64;
        (self.mean + DEVIATIONS * self.deviation) * 0.5f64.powf(age / HALF_LIFE)
    }
}

/// The remote gateways, by index.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
    /// Maximum number of requests in flight at one peer, whatever it offers.
    max_in_flight: u32,
    /// Number of statements that were ignored as malformed, stale or of an unknown peer.
    pub ignored: u64,
}

impl Peers {
    /// Creates `n` remote gateways without an offer.
    pub fn new(n: usize, max_in_flight: u32) -> Self {
        Peers { peers: vec![Peer::default(); n], max_in_flight, ignored: 0 }
    }

    /// Handles a statement of a peer, given as the value of the header.
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

    /// Handles a statement of a peer. It is ignored unless it is newer than the last one; its validity counts from its receipt,
    /// since the clocks of the two sites may differ.
    pub fn receive(&mut self, now: Micros, peer: usize, s: Statement) {
        let Some(p) = self.peers.get_mut(peer) else {
            self.ignored += 1;
            return;
        };
        let stale = match &p.last_statement {
            Some((_, old)) if old.incarnation == s.incarnation => s.seq <= old.seq,
            _ => p.previous_incarnation == Some(s.incarnation),
        };
        if stale {
            self.ignored += 1;
            return;
        }
        if let Some((_, old)) = p.last_statement.filter(|(_, old)| old.incarnation != s.incarnation) {
            p.previous_incarnation = Some(old.incarnation);
        }
        p.last_statement = Some((now, s));
    }

    /// The link to a peer has failed: its offer ends. Statements over a restored link count again.
    pub fn link_lost(&mut self, peer: usize) {
        if let Some((at, s)) = self.peers.get_mut(peer).and_then(|p| p.last_statement.as_mut()) {
            (*at, s.validity) = (Micros::MIN / 2, 0);
        }
    }

    /// Current maximum number of requests in flight at a peer. In the second half of its validity an offer decreases linearly to
    /// nothing, so that the load shifts gradually if the offer is not renewed.
    pub fn slots(&self, now: Micros, peer: usize) -> u32 {
        let Some((at, s)) = self.peers.get(peer).and_then(|p| p.last_statement) else { return 0 };
        let age = now.saturating_sub(at);
        if age < 0 || age >= s.validity {
            return 0;
        }
        let share = (2.0 * (s.validity - age) as f64 / s.validity as f64).min(1.0);
        (f64::from(s.slots.min(self.max_in_flight)) * share) as u32
    }

    /// Whether another request may be sent to a peer.
    pub fn has_room(&self, now: Micros, peer: usize) -> bool {
        self.peers.get(peer).is_some_and(|p| p.in_flight < self.slots(now, peer))
    }

    /// Whether requests may cross now: a peer has a free slot and responds to typical requests within `target`.
    /// Otherwise the gateway accepts no connections from its own site, so that the sidecars there exclude it as not live; a
    /// rejection of each request would wrongly indicate to them that their own site is slow.
    pub fn is_open(&self, now: Micros, target: Micros) -> bool {
        let fits =
            |i: &usize| self.peers[*i].seen < 5.0 || self.peers[*i].expected_time(now) <= target as f64;
        (0..self.peers.len()).filter(|i| self.has_room(now, *i)).any(|i| fits(&i))
    }

    /// Number of requests in flight at a peer.
    pub fn in_flight(&self, peer: usize) -> u32 {
        self.peers.get(peer).map_or(0, |p| p.in_flight)
    }

    /// When [`Peers::has_room`] may change next without an event, because an offer ends or decreases.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let of = |p: &Peer| p.last_statement.filter(|(at, s)| now < at.saturating_add(s.validity));
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

    /// Whether a request with the remaining time `budget` may cross now, to whichever peer the module picks. `work`: its work
    /// relative to that of a typical request of its class.
    pub fn may_cross(&self, now: Micros, budget: Micros, work: f64) -> Result<(), CrossingRefused> {
        let open: Vec<usize> = (0..self.peers.len()).filter(|i| self.has_room(now, *i)).collect();
        if open.is_empty() {
            return Err(CrossingRefused::NoRoom);
        }
        let expected_time = |i: &usize| self.peers[*i].expected_time(now) * work.max(0.1);
        // Without enough samples requests may cross, to obtain them.
        let fits = open.iter().any(|i| self.peers[*i].seen < 5.0 || expected_time(i) <= budget as f64);
        if fits {
            Ok(())
        } else {
            Err(CrossingRefused::NoTime)
        }
    }

    /// A request was sent to a peer.
    pub fn sent(&mut self, peer: usize) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.in_flight += 1;
        }
    }

    /// A request at a peer has ended. `took`: for a served one, its response time, network included, divided by its relative
    /// work.
    pub fn ended(&mut self, now: Micros, peer: usize, took: Option<f64>) {
        let Some(p) = self.peers.get_mut(peer) else { return };
        p.in_flight = p.in_flight.saturating_sub(1);
        let Some(took) = took else { return };
        let decay = 0.5f64.powf((now - p.answered_at).max(0) as f64 / HALF_LIFE);
        (p.mean, p.deviation) = if p.seen > 0.0 { (p.mean * decay, p.deviation * decay) } else { (0.0, 0.0) };
        p.answered_at = now;
        p.seen += 1.0;
        let weight = (1.0 / p.seen).max(WEIGHT).max(1.0 - decay);
        let error = took - p.mean;
        p.mean += error * weight;
        p.deviation += (error.abs() - p.deviation) * weight;
    }
}
