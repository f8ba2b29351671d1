//! What the decision module remembers: plain records. No decisions here.
use crate::interface::*;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};

/// Before any time the clock can show.
pub(crate) const LONG_AGO: Micros = i64::MIN / 4;

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum State {
    Unknown,
    Online,
    Offline { since: Micros, until: Micros },
    Dead { since: Micros, until: Micros },
}

/// Answer time as a multiple of the usual, and when an answer last told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    pub slow: f64,
    pub fed: Micros,
}

/// A machine kind's answer time as a multiple of the usual, how many answers told, what its upstreams serve, and how
/// many of those met there are, cold ones by the share of their capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub slow: f64,
    pub seen: f64,
    pub served: Rate,
    pub whole: f64,
}

impl Kind {
    pub fn new(now: Micros) -> Self {
        Kind { slow: 1.0, seen: 0.0, served: Rate::new(now), whole: 0.0 }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub listed: bool,
    pub entry: Entry,
    pub state: State,
    pub failures: u32,
    /// Failures since its last sign of life that were not counted.
    pub broken: u32,
    pub streak_start: Micros,
    pub last_failure: Micros,
    pub last_life: Micros,
    pub scouts: u32,
    /// How slow it is by its own answers.
    pub seen: Seen,
    pub out: u32,
    pub work_out: f64,
    /// Part of a turn in the rotation that it has earned.
    pub turns: f64,
    /// Work it may be sent while cold, saved up, and until when that is counted.
    pub saved: f64,
    pub saved_at: Micros,
}

/// An upstream that a request may go to: the time expected there of it, and of a usual one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    /// Its place in the ring.
    pub place: usize,
    pub i: usize,
    pub zone: u32,
    pub excluded: bool,
    pub time: f64,
    pub usual: f64,
}

/// Something counted, fading with time: its rate in a microsecond.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    rate: f64,
    at: Micros,
}

impl Rate {
    pub fn new(at: Micros) -> Self {
        Rate { rate: 0.0, at }
    }

    /// The rate now, counted over about this time.
    pub fn now(&self, now: Micros, over: f64) -> f64 {
        self.rate * (-((now - self.at) as f64) / over).exp()
    }

    pub fn add(&mut self, now: Micros, over: f64, what: f64) {
        *self = Rate { rate: self.now(now, over) + what / over, at: now };
    }
}

impl Seen {
    /// The multiple now, fading to one over this time without answers.
    pub fn faded(&self, now: Micros, over: f64) -> f64 {
        // Nothing is left of it to count after so long; a large fleet's picks ask for many.
        if self.slow == 1.0 || (now - self.fed) as f64 > 40.0 * over {
            return 1.0;
        }
        1.0 + (self.slow - 1.0) * (-((now - self.fed).max(0) as f64) / over).exp()
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub upstream: usize,
    pub sent: Micros,
    pub expected: f64,
    pub ended: Option<Outcome>,
    pub scout: bool,
    pub own_limit: bool,
    pub suspected: bool,
    pub ordered_off: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub class: usize,
    pub key: Option<u64>,
    pub aim_at: Micros,
    pub deadline: Micros,
    pub unit: f64,
    pub work: f64,
    /// The most attempts it may have.
    pub cap: usize,
    pub attempts: Vec<Attempt>,
    pub out: u32,
    pub over: bool,
    pub streaming: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    /// Usual answer time per unit (the hint in microseconds where there is one, else 1), and the usual unit.
    pub per_unit: f64,
    pub unit: f64,
    pub seen: f64,
    /// The budget that most tries bring, by majority vote.
    pub budget: Micros,
    pub votes: u32,
}

/// One instance's decisions.
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) zone_order: Vec<u32>,
    pub(crate) turn: usize,
    pub(crate) subscribed: bool,
    pub(crate) asked: bool,
    pub(crate) list_failures: u32,
    pub(crate) last_life: Micros,
    pub(crate) fails: VecDeque<(Micros, usize)>,
    pub(crate) blamed: bool,
    pub(crate) grace_until: Micros,
    pub(crate) pending: HashMap<RequestId, Pending>,
    pub(crate) usual: Vec<Usual>,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) zones: Vec<Seen>,
    pub(crate) retry_tokens: f64,
    pub(crate) worth_seen: f64,
    pub(crate) work_seen: f64,
    /// How long an upstream's own part is held without answers, in microseconds.
    pub(crate) hold: f64,
    /// Listed upstreams, cold ones by the share of their capacity, as of the last pick.
    pub(crate) whole: f64,
    /// One of them is warm.
    pub(crate) any_warm: bool,
    pub(crate) spread: f64,
    /// First tries asked for.
    pub(crate) asked_rate: Rate,
    /// Upstreams in this balancer's own random order.
    pub(crate) ring: Vec<usize>,
}

impl Balancer {
    /// An instance that has seen nothing.
    pub(crate) fn blank(set: Settings, rng: Pcg64Mcg, now: Micros) -> Self {
        Balancer {
            set,
            rng,
            now,
            upstreams: Vec::new(),
            zone_order: Vec::new(),
            turn: 0,
            subscribed: false,
            asked: false,
            list_failures: 0,
            last_life: LONG_AGO,
            fails: VecDeque::new(),
            blamed: false,
            grace_until: LONG_AGO,
            pending: HashMap::new(),
            usual: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            retry_tokens: 0.0,
            worth_seen: 0.0,
            work_seen: 0.0,
            hold: 1e7,
            whole: 0.0,
            any_warm: false,
            spread: 1.0,
            asked_rate: Rate::new(now),
            ring: Vec::new(),
        }
    }
}

impl Balancer {
    /// From 0 to 1, by the instance's seed.
    pub(crate) fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Attempt {
    pub fn new(upstream: usize, sent: Micros, scout: bool, own_limit: bool) -> Self {
        Attempt {
            upstream,
            sent,
            expected: 0.0,
            ended: None,
            scout,
            own_limit,
            suspected: false,
            ordered_off: false,
        }
    }
}

impl Attempt {
    /// It is out, or ended in a way that an upstream may have received it.
    pub fn received(&self) -> bool {
        !matches!(self.ended, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

impl Pending {
    pub fn new(
        class: usize,
        key: Option<u64>,
        aim_at: Micros,
        deadline: Micros,
        unit: f64,
        work: f64,
        cap: usize,
    ) -> Self {
        let (attempts, out, over, streaming) = (Vec::new(), 0, false, false);
        Pending { class, key, aim_at, deadline, unit, work, cap, attempts, out, over, streaming }
    }

    /// How many upstreams may have received it.
    pub fn received(&self) -> u32 {
        self.attempts.iter().filter(|a| a.received()).count() as u32
    }
}

impl Upstream {
    pub fn new(entry: Entry) -> Self {
        Upstream {
            listed: false,
            entry,
            state: State::Unknown,
            failures: 0,
            broken: 0,
            streak_start: LONG_AGO,
            last_failure: LONG_AGO,
            last_life: LONG_AGO,
            scouts: 0,
            seen: Seen { slow: 1.0, fed: LONG_AGO },
            out: 0,
            work_out: 0.0,
            turns: 0.0,
            saved: 0.0,
            saved_at: LONG_AGO,
        }
    }

    pub fn excluded(&self) -> bool {
        matches!(self.state, State::Offline { .. } | State::Dead { .. })
    }

    pub fn until(&self) -> Micros {
        match self.state {
            State::Unknown | State::Online => LONG_AGO,
            State::Offline { until, .. } | State::Dead { until, .. } => until,
        }
    }

    pub fn within(&self, group: DedupGroup, of: &Entry) -> bool {
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => self.entry.zone == of.zone,
            DedupGroup::Cell => self.entry.cell == of.cell && self.entry.zone == of.zone,
        }
    }
}
