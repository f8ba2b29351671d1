//! One order server. Knows its own work and troubles, no network and no clock: time is handed in, and what happened
//! comes out as [`Happened`]. Work is served first come first served by its cores, at a rate that warm-up, neighbours,
//! slowness and pauses make up.
use crate::script::{CancelDrops, Kind, ServerSpec};
use silvercross_core::interface::Micros;
use silvercross_settings::seconds;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How often a cold server's rate is looked at again.
const WARM_STEP: Micros = 200_000;
/// What a repeat that is dropped costs, as a share of its work.
const REPEAT_COST: f64 = 0.02;

/// An attempt, as its server sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its number, given by the driver; never used twice.
    pub id: u64,
    /// What it is about.
    pub key: u64,
    /// Its work in microseconds on a standard core, a new connection's cost included.
    pub work: f64,
    /// What its sender can know of its work.
    pub expected: f64,
    /// Its effect is dropped, since an earlier attempt with its key has run here or nearby.
    pub dropped: bool,
    /// Two throws of dice, 0 to 1: whether it is swallowed, whether it fails.
    pub dice: (f64, f64),
}

/// How trouble changes a server while it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// This share of requests is taken and never answered.
    Swallow(f64),
    /// This share is answered with an error at once.
    Errors(f64),
    /// No work is done.
    Paused,
    /// This share of the capacity is gone.
    Taken(f64),
    /// All work takes so many times as long.
    Slower(f64),
}

/// What a server did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// The attempt began to run: from here on it may have had its effect.
    Ran(u64),
    /// It is done: a good answer.
    Done(u64),
    /// It is answered with an error; it may have run.
    Error(u64),
    /// It is sent back unseen: the queue is full, or the server drains.
    Full(u64),
    /// The process died under it.
    Broke(u64),
    /// The process died of being fed too much; `true`: while it was cold.
    Fell(bool),
}

#[derive(Clone, Copy, Debug)]
struct Run {
    job: Job,
    left: f64,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    kind: Kind,
    spec: ServerSpec,
    /// Its process runs.
    pub up: bool,
    /// It finishes what it has and takes nothing new.
    pub draining: bool,
    /// When its process started; `None`: long ago.
    pub born: Option<Micros>,
    /// Connections that stand.
    pub connections: usize,
    effects: BTreeMap<usize, Effect>,
    running: Vec<Run>,
    waiting: VecDeque<Job>,
    /// Attempts taken and never to be answered.
    swallowed: Vec<u64>,
    settled: Micros,
    rate: f64,
    fed: VecDeque<(Micros, f64)>,
    fed_sum: f64,
    cache: HashMap<u64, u64>,
    ages: BTreeMap<u64, u64>,
    uses: u64,
    /// Work done since the last [`Server::take_done`].
    done_work: f64,
}

impl Server {
    /// A warm one, at the time 0.
    pub fn new(kind: Kind, spec: ServerSpec) -> Self {
        Server {
            kind,
            spec,
            up: true,
            draining: false,
            born: None,
            connections: 0,
            effects: BTreeMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            swallowed: Vec::new(),
            settled: 0,
            rate: 1.0,
            fed: VecDeque::new(),
            fed_sum: 0.0,
            cache: HashMap::new(),
            ages: BTreeMap::new(),
            uses: 0,
            done_work: 0.0,
        }
    }

    /// Share of its capacity that a start has left it so far.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let within = seconds(self.spec.warm_s);
        if now - born >= within {
            return 1.0;
        }
        self.spec.cold_from + (1.0 - self.spec.cold_from) * (now - born).max(0) as f64 / within as f64
    }

    /// Standard work that it does in a microsecond when warm and well.
    pub fn capacity(&self) -> f64 {
        self.kind.cores as f64 * self.kind.speed
    }

    /// Attempts that run or wait.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The most that [`Server::load`] can be.
    pub fn room(&self) -> usize {
        self.kind.cores * (1 + self.spec.queue_per_core)
    }

    /// Connections that it may hold.
    pub fn connection_limit(&self) -> usize {
        self.spec.connections
    }

    /// Standard work done since this was asked last, in microseconds.
    pub fn take_done(&mut self) -> f64 {
        std::mem::take(&mut self.done_work)
    }

    /// Work of a core in a microsecond now.
    fn rate_at(&self, now: Micros) -> f64 {
        let mut rate = self.kind.speed * self.warmth(now);
        for effect in self.effects.values() {
            match effect {
                Effect::Paused => rate = 0.0,
                Effect::Taken(share) => rate *= 1.0 - share,
                Effect::Slower(by) => rate /= by,
                Effect::Swallow(_) | Effect::Errors(_) => {}
            }
        }
        rate
    }

    /// Of independent shares, the one that at least one of them hits.
    fn share(&self, of: impl Fn(&Effect) -> Option<f64>) -> f64 {
        1.0 - self.effects.values().filter_map(of).map(|s| 1.0 - s).product::<f64>()
    }

    fn settle(&mut self, now: Micros) {
        let passed = (now - self.settled).max(0) as f64 * self.rate;
        for run in &mut self.running {
            self.done_work += passed.min(run.left);
            run.left = (run.left - passed).max(0.0);
        }
        self.settled = self.settled.max(now);
        self.rate = self.rate_at(now);
    }

    /// When something will happen by itself.
    pub fn next(&self) -> Option<Micros> {
        if self.running.is_empty() {
            return None;
        }
        let cold = (self.warmth(self.settled) < 1.0).then_some(self.settled + WARM_STEP);
        // Standing still, nothing ends by itself.
        let ends = (self.rate > 0.0).then(|| {
            let left = self.running.iter().map(|r| r.left).fold(f64::MAX, f64::min) / self.rate;
            self.settled + (left.ceil() as Micros).clamp(1, 1 << 50)
        });
        cold.into_iter().chain(ends).min()
    }

    /// Let time pass.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Happened>) {
        self.settle(now);
        let mut i = 0;
        while i < self.running.len() {
            if self.running[i].left <= 1e-6 {
                let run = self.running.remove(i);
                out.push(Happened::Done(run.job.id));
            } else {
                i += 1;
            }
        }
        self.start(out);
    }

    fn start(&mut self, out: &mut Vec<Happened>) {
        while self.running.len() < self.kind.cores {
            let Some(job) = self.waiting.pop_front() else { return };
            let mut left = job.work;
            if self.spec.cache_keys > 0 && self.remember(job.key) {
                left *= 1.0 - self.spec.cache_saves;
            }
            if job.dropped {
                left = job.work * REPEAT_COST;
            }
            self.running.push(Run { job, left });
            out.push(Happened::Ran(job.id));
        }
    }

    /// Whether a key was seen lately; it is from now on.
    fn remember(&mut self, key: u64) -> bool {
        self.uses += 1;
        let known = self.cache.insert(key, self.uses);
        if let Some(at) = known {
            self.ages.remove(&at);
        }
        self.ages.insert(self.uses, key);
        if self.cache.len() > self.spec.cache_keys {
            if let Some((_, oldest)) = self.ages.pop_first() {
                self.cache.remove(&oldest);
            }
        }
        known.is_some()
    }

    /// An attempt has come whole.
    pub fn offer(&mut self, now: Micros, job: Job, out: &mut Vec<Happened>) {
        self.advance(now, out);
        if !self.up {
            return out.push(Happened::Broke(job.id));
        }
        if self.draining {
            return out.push(Happened::Full(job.id));
        }
        if self.feed(now, job.expected, out) {
            return out.push(Happened::Broke(job.id));
        }
        let swallow = self.share(|e| if let Effect::Swallow(s) = e { Some(*s) } else { None });
        if job.dice.0 < swallow {
            return self.swallowed.push(job.id);
        }
        let errors = self.share(|e| if let Effect::Errors(s) = e { Some(*s) } else { None });
        if job.dice.1 < 1.0 - (1.0 - errors) * (1.0 - self.spec.errors) {
            return out.push(Happened::Error(job.id));
        }
        if self.load() >= self.room() {
            return out.push(Happened::Full(job.id));
        }
        self.waiting.push_back(job);
        self.start(out);
    }

    /// Count what it is fed; `true` when that was too much, and it has fallen. What is sent to it counts, whatever
    /// becomes of it: that is what its senders can know.
    fn feed(&mut self, now: Micros, expected: f64, out: &mut Vec<Happened>) -> bool {
        let span = seconds(self.spec.fall_s);
        self.fed.push_back((now, expected));
        self.fed_sum += expected;
        while self.fed.front().is_some_and(|f| f.0 <= now - span) {
            self.fed_sum -= self.fed.pop_front().map_or(0.0, |f| f.1);
        }
        let warmth = self.warmth(now);
        // Present capacity is what a start has left of it: slowness from outside does not make it fall. One request
        // never topples it, however heavy.
        let bearable = self.spec.fall_multiple * self.capacity() * warmth * span as f64;
        if self.fed_sum <= bearable || self.fed.len() < 2 {
            return false;
        }
        self.die(now, out);
        out.push(Happened::Fell(warmth < 1.0));
        true
    }

    /// The sender has called an attempt off, or is gone.
    pub fn cancel(&mut self, now: Micros, id: u64, out: &mut Vec<Happened>) {
        self.advance(now, out);
        self.waiting.retain(|j| j.id != id);
        self.swallowed.retain(|j| *j != id);
        if self.spec.cancel == CancelDrops::Running {
            self.running.retain(|r| r.job.id != id);
            self.start(out);
        }
    }

    /// The process dies.
    pub fn die(&mut self, now: Micros, out: &mut Vec<Happened>) {
        self.settle(now);
        let waiting = self.waiting.drain(..).map(|j| j.id);
        let held = self.running.drain(..).map(|r| r.job.id).chain(waiting).chain(self.swallowed.drain(..));
        out.extend(held.map(Happened::Broke));
        (self.up, self.connections, self.fed_sum) = (false, 0, 0.0);
        self.fed.clear();
        self.cache.clear();
        self.ages.clear();
    }

    /// A new process starts, cold.
    pub fn start_anew(&mut self, now: Micros) {
        (self.up, self.draining, self.born) = (true, false, Some(now));
        self.settled = now;
        self.rate = self.rate_at(now);
    }

    /// Trouble number `fault` begins, or ends with `None`.
    pub fn trouble(&mut self, now: Micros, fault: usize, effect: Option<Effect>, out: &mut Vec<Happened>) {
        self.advance(now, out);
        match effect {
            Some(e) => drop(self.effects.insert(fault, e)),
            None => drop(self.effects.remove(&fault)),
        }
        self.rate = self.rate_at(now);
    }
}
