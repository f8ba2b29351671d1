//! Records that the decision module keeps between events. No decisions here.
use crate::interface::*;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, VecDeque};

/// Earlier than any event; not `i64::MIN`, so that differences from it don't overflow.
pub(crate) const LONG_AGO: Micros = i64::MIN / 4;

/// Health of an upstream, from the outcomes of its attempts.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum State {
    /// No response and no counted failure since it was added or restarted, or since the end of a local fault during which
    /// it was excluded. `on_failure` decides which failures count.
    Unknown,
    Online,
    /// Excluded for a cooldown, which grows with consecutive failures.
    Offline {
        since: Micros,
        until: Micros,
    },
    /// Excluded for a long cooldown: a streak of failures while other upstreams respond.
    Dead {
        since: Micros,
        until: Micros,
    },
}

/// Response time as a multiple of the typical one, as of the last update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    pub factor: f64,
    pub at: Micros,
}

/// Estimates for the upstreams of one machine kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindStats {
    /// Response time as a multiple of the typical one.
    pub factor: f64,
    /// Responses that `factor` was learnt from.
    pub samples: f64,
    /// Work that its upstreams serve for this instance.
    pub work_rate: Rate,
    /// Upstreams in service whose state is known, each counted by its share of full capacity.
    pub capacity: f64,
}

impl KindStats {
    pub fn new(now: Micros) -> Self {
        KindStats { factor: 1.0, samples: 0.0, work_rate: Rate::new(now), capacity: 0.0 }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// Listed as running.
    pub in_service: bool,
    pub entry: Entry,
    pub state: State,
    /// Counted transport failures in the current streak.
    pub failures: u32,
    /// Failures since the last response that were not counted because it was so recent (`TOLERATED`).
    pub tolerated: u32,
    pub streak_start: Micros,
    pub last_failure: Micros,
    pub last_response: Micros,
    /// Attempts in flight that were sent while it was offline or dead.
    pub trials: u32,
    /// Slowdown that its machine kind and zone don't explain.
    pub slowdown: Slowdown,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Work of the attempts in flight.
    pub load: f64,
    /// Credit in the weighted rotation; a request costs one.
    pub turn_credit: f64,
    /// Token bucket of work that it may be sent while cold; negative is debt.
    pub tokens: f64,
    pub refilled_at: Micros,
}

/// An upstream that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Position in the ring.
    pub slot: usize,
    /// Index in [`Balancer::upstreams`].
    pub i: usize,
    pub zone: u32,
    pub excluded: bool,
    /// Response time expected for this request.
    pub expected: f64,
    /// Response time expected for a typical request of the class.
    pub typical: f64,
}

/// An exponentially decaying average rate, per microsecond.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    rate: f64,
    at: Micros,
}

impl Rate {
    pub fn new(at: Micros) -> Self {
        Rate { rate: 0.0, at }
    }

    /// The rate at `now`; `span` is the time constant of the decay.
    pub fn now(&self, now: Micros, span: f64) -> f64 {
        self.rate * (-((now - self.at) as f64) / span).exp()
    }

    pub fn add(&mut self, now: Micros, span: f64, amount: f64) {
        *self = Rate { rate: self.now(now, span) + amount / span, at: now };
    }
}

impl Slowdown {
    /// The factor at `now`, decaying to 1 without updates; `span` is the time constant.
    pub fn decayed(&self, now: Micros, span: f64) -> f64 {
        // Skips `exp` where the result rounds to 1: each pick calls this for many upstreams.
        if self.factor == 1.0 || (now - self.at) as f64 > 40.0 * span {
            return 1.0;
        }
        1.0 + (self.factor - 1.0) * (-((now - self.at).max(0) as f64) / span).exp()
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub upstream: usize,
    pub sent: Micros,
    /// Response time expected when it was sent.
    pub expected: f64,
    /// `None` while in flight.
    pub outcome: Option<Outcome>,
    /// Sent to an upstream that was offline or dead.
    pub trial: bool,
    /// Sent with a time limit of its own, `first_answer_limit`, instead of the client's.
    pub bounded: bool,
    /// No response within `first_answer_limit`, which was taken as a failure.
    pub overdue: bool,
    pub cancel_sent: bool,
}

/// A request without a final answer, or with attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub class: usize,
    pub key: Option<u64>,
    /// When its latency target ends.
    pub target_at: Micros,
    pub deadline: Micros,
    /// Its size, to which its work is proportional: the cost hint in microseconds, or 1 without a hint.
    pub units: f64,
    /// Its work: the response time, in microseconds, expected at an idle upstream of typical speed. Loads, work rates and
    /// token buckets are sums of this.
    pub work: f64,
    /// Maximum number of attempts.
    pub cap: usize,
    pub attempts: Vec<Attempt>,
    /// Attempts in flight.
    pub in_flight: u32,
    pub finished: bool,
    pub streaming: bool,
}

/// Estimates for one class of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassStats {
    /// Typical response time per unit of [`Pending::units`].
    pub per_unit: f64,
    /// Typical value of [`Pending::units`].
    pub units: f64,
    /// Responses that `per_unit` was learnt from.
    pub samples: f64,
    /// The time budget that most requests arrive with, by majority vote.
    pub budget: Micros,
    pub votes: u32,
}

/// The decision module of one instance.
pub struct Balancer {
    pub(crate) cfg: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) upstreams: Vec<Upstream>,
    /// The other zones in the order in which this instance fails over to them.
    pub(crate) zone_order: Vec<u32>,
    /// Slot of the ring that was picked last.
    pub(crate) ring_cursor: usize,
    pub(crate) subscribed: bool,
    /// A subscription was requested and hasn't failed since.
    pub(crate) subscribe_sent: bool,
    pub(crate) list_failures: u32,
    pub(crate) last_response: Micros,
    /// Time and upstream of the latest transport failures, counted or not, to detect a local fault.
    pub(crate) recent_failures: VecDeque<(Micros, usize)>,
    /// Several upstreams fail and none responds, so the fault is assumed to be on this side.
    pub(crate) local_fault: bool,
    /// Until when failures don't count after a local fault.
    pub(crate) grace_until: Micros,
    pub(crate) pending: HashMap<RequestId, Pending>,
    pub(crate) class_stats: Vec<ClassStats>,
    pub(crate) kinds: Vec<KindStats>,
    pub(crate) zones: Vec<Slowdown>,
    pub(crate) retry_tokens: f64,
    /// Decaying sum of the value of new requests, and of their typical work.
    pub(crate) value_sum: f64,
    pub(crate) work_sum: f64,
    /// Time constant with which an upstream's own slowdown decays, in microseconds.
    pub(crate) decay: f64,
    /// Upstreams in service, each counted by its share of full capacity, as of the last pick.
    pub(crate) capacity: f64,
    /// At least one upstream in service is warm, as of the last pick.
    pub(crate) any_warm: bool,
    /// Multiple of the expected response time that a set share of responses stays within.
    pub(crate) margin: f64,
    /// New requests; attempts after the first don't count.
    pub(crate) request_rate: Rate,
    /// Upstreams in a random order of this instance's own, which rotation follows.
    pub(crate) ring: Vec<usize>,
}

impl Balancer {
    /// An instance without upstreams, requests or estimates.
    pub(crate) fn empty(cfg: Settings, rng: Pcg64Mcg, now: Micros) -> Self {
        Balancer {
            cfg,
            rng,
            now,
            upstreams: Vec::new(),
            zone_order: Vec::new(),
            ring_cursor: 0,
            subscribed: false,
            subscribe_sent: false,
            list_failures: 0,
            last_response: LONG_AGO,
            recent_failures: VecDeque::new(),
            local_fault: false,
            grace_until: LONG_AGO,
            pending: HashMap::new(),
            class_stats: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            retry_tokens: 0.0,
            value_sum: 0.0,
            work_sum: 0.0,
            decay: 1e7,
            capacity: 0.0,
            any_warm: false,
            margin: 1.0,
            request_rate: Rate::new(now),
            ring: Vec::new(),
        }
    }
}

impl Balancer {
    /// A random number from 0 to 1, exclusive.
    pub(crate) fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

impl Attempt {
    pub fn new(upstream: usize, sent: Micros, trial: bool, bounded: bool) -> Self {
        Attempt {
            upstream,
            sent,
            expected: 0.0,
            outcome: None,
            trial,
            bounded,
            overdue: false,
            cancel_sent: false,
        }
    }
}

impl Attempt {
    /// Whether an upstream may have received it, which holds for every attempt in flight.
    pub fn may_be_received(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

impl Pending {
    pub fn new(
        class: usize,
        key: Option<u64>,
        target_at: Micros,
        deadline: Micros,
        units: f64,
        work: f64,
        cap: usize,
    ) -> Self {
        let (attempts, in_flight, finished, streaming) = (Vec::new(), 0, false, false);
        Pending {
            class,
            key,
            target_at,
            deadline,
            units,
            work,
            cap,
            attempts,
            in_flight,
            finished,
            streaming,
        }
    }

    /// The number of attempts that an upstream may have received.
    pub fn receivers(&self) -> u32 {
        self.attempts.iter().filter(|a| a.may_be_received()).count() as u32
    }
}

impl Upstream {
    pub fn new(entry: Entry) -> Self {
        Upstream {
            in_service: false,
            entry,
            state: State::Unknown,
            failures: 0,
            tolerated: 0,
            streak_start: LONG_AGO,
            last_failure: LONG_AGO,
            last_response: LONG_AGO,
            trials: 0,
            slowdown: Slowdown { factor: 1.0, at: LONG_AGO },
            in_flight: 0,
            load: 0.0,
            turn_credit: 0.0,
            tokens: 0.0,
            refilled_at: LONG_AGO,
        }
    }

    pub fn excluded(&self) -> bool {
        matches!(self.state, State::Offline { .. } | State::Dead { .. })
    }

    /// When its cooldown expires; [`LONG_AGO`] without one.
    pub fn expiry(&self) -> Micros {
        match self.state {
            State::Unknown | State::Online => LONG_AGO,
            State::Offline { until, .. } | State::Dead { until, .. } => until,
        }
    }

    /// Whether it is in the deduplication group that `of` belongs to.
    pub fn in_group(&self, group: DedupGroup, of: &Entry) -> bool {
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => self.entry.zone == of.zone,
            DedupGroup::Cell => self.entry.cell == of.cell && self.entry.zone == of.zone,
        }
    }
}
