//! Simulation of three nodes with separate clocks and one lapse key whose owner changes. A reference model in true time
//! checks every change and every delay.
#![allow(dead_code)]

mod checks;

use silvercross_control_store::{Epoch, Node, State};
use silvercross_test_rng::Rng;
use silvercross_throttle::{
    decide_delay, throttle_step, ClockSettings, DelayDecision, LapseChange, LapseState, LapseTime,
    LapseTimer, LapseView, Member, Mutation, PeerClockReading, Plan, RequestStage, RouteKind,
    ThrottleRequest, ThrottleSchedule, ThrottleStep, TrustedClock, UnixTime,
};
use silvercross_time::{Duration, Instant};

/// One second in microseconds.
pub const SECOND: i64 = 1_000_000;
const NODES: usize = 3;
/// Length of a step, in seconds.
const STEP_LENGTH: i64 = 10;
const STEPS: u32 = 4;
/// Seconds within which a node in touch receives what was sent to it.
const MAX_PROPAGATION: i64 = 3;
/// Wall clock time at true time 0, in seconds since the Unix epoch.
const WALL_START: i64 = 1_790_000_000;

pub fn clock_settings() -> ClockSettings {
    ClockSettings {
        steady_after: Duration::from_secs(60),
        reading_lifetime: Duration::from_secs(10),
        ..ClockSettings::default()
    }
}

pub fn member(version: u64, lapse_time: Option<LapseTime>) -> Member {
    Member {
        name: "m".into(),
        keys: vec!["k".into()],
        plan: if lapse_time.is_some() { Plan::Trial } else { Plan::Full },
        lapse_time,
        throttle: ThrottleSchedule {
            max_delay_ppm: 400_000,
            ramp: Duration::from_secs(STEP_LENGTH * i64::from(STEPS)),
            steps: STEPS,
        },
        version,
    }
}

struct NodeModel {
    /// Offset of its monotonic clock from true time, in microseconds.
    monotonic_offset: i64,
    /// Constant offset of its wall clock, in microseconds.
    wall_offset: i64,
    /// Temporary error of its wall clock, in microseconds.
    clock_error: i64,
    frozen_until: i64,
    is_cut_off: bool,
    /// Time since which it has been running and reachable.
    reachable_since: i64,
    item: Member,
    item_due: Option<(i64, Member)>,
    owned: Option<(Epoch, LapseState)>,
    timer: LapseTimer,
    clock: TrustedClock,
    view: LapseView,
    incoming_copies: Vec<(i64, LapseState)>,
    last_shown: (u64, u32),
}

impl NodeModel {
    /// Its monotonic clock at true time `t` in seconds.
    fn monotonic(&self, t: i64) -> Instant {
        Instant::from_micros(t * SECOND + self.monotonic_offset)
    }
}

pub struct Simulation {
    t: i64,
    rng: Rng,
    mutation: Option<Mutation>,
    nodes: Vec<NodeModel>,
    owner: usize,
    epoch: Epoch,
    state: LapseState,
    item: Member,
    item_set_at: i64,
    pending: Vec<(i64, Epoch, LapseChange)>,
    clock_corrected_at: i64,
    // State of the reference model.
    changed_at: i64,
    /// Time since which the current owner has not been disturbed.
    undisturbed_since: i64,
    due: Option<i64>,
    pub begins: u64,
    pub steps: u64,
}

type CheckResult = Result<(), String>;

fn ensure(holds: bool, message: impl FnOnce() -> String) -> CheckResult {
    if holds {
        Ok(())
    } else {
        Err(message())
    }
}

impl Simulation {
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Simulation {
        let first = member(
            1,
            Some(LapseTime::At(UnixTime::from_micros((WALL_START + 40 + (seed % 100) as i64) * SECOND))),
        );
        let mut simulation = Simulation {
            t: 0,
            rng: Rng::new(seed),
            mutation,
            nodes: Vec::new(),
            owner: 0,
            epoch: Epoch { round: 1, owner: 0 },
            state: LapseState::default(),
            item: first.clone(),
            item_set_at: 0,
            pending: Vec::new(),
            clock_corrected_at: -100,
            changed_at: 0,
            undisturbed_since: 0,
            due: None,
            begins: 0,
            steps: 0,
        };
        for i in 0..NODES {
            let (monotonic_offset, wall_offset) =
                ((simulation.random(1_000_000) as i64) * 1_000, simulation.random(600_000) as i64 - 300_000);
            let (timer, clock, view) = simulation.new_components();
            simulation.nodes.push(NodeModel {
                monotonic_offset,
                wall_offset,
                clock_error: 0,
                frozen_until: -1,
                is_cut_off: false,
                reachable_since: 0,
                item: first.clone(),
                item_due: None,
                owned: (i == 0).then(|| (simulation.epoch, LapseState::default())),
                timer,
                clock,
                view,
                incoming_copies: Vec::new(),
                last_shown: (0, 0),
            });
        }
        simulation
    }

    fn new_components(&self) -> (LapseTimer, TrustedClock, LapseView) {
        #[allow(unused_mut)]
        let (mut timer, mut clock, mut view) =
            (LapseTimer::new(), TrustedClock::new(clock_settings(), false), LapseView::new());
        #[cfg(feature = "mutants")]
        if let Some(mutation) = self.mutation {
            timer.set_mutation(mutation);
            clock.set_mutation(mutation);
            view.set_mutation(mutation);
        }
        (timer, clock, view)
    }

    fn random(&mut self, below: u64) -> u64 {
        self.rng.below(below)
    }

    fn decide(
        &self,
        _node: usize,
        member: &Member,
        at: ThrottleStep,
        request: &ThrottleRequest,
    ) -> DelayDecision {
        #[cfg(feature = "mutants")]
        match self.mutation {
            Some(Mutation::DelayByNode(_)) => {
                let mutation = Mutation::DelayByNode(_node as u32);
                return silvercross_throttle::decide_delay_mutated(mutation, member, at, request);
            }
            Some(mutation) => {
                return silvercross_throttle::decide_delay_mutated(mutation, member, at, request)
            }
            None => {}
        }
        decide_delay(member, at, request)
    }

    /// Runs a schedule, then a quiet period by whose end the lapse must be complete.
    pub fn run(&mut self, schedule: &[(u8, u8)]) -> CheckResult {
        for &(event, arg) in schedule {
            self.event(event, arg);
            for _ in 0..1 + arg % 16 {
                self.tick()?;
            }
        }
        self.settle()
    }

    fn settle(&mut self) -> CheckResult {
        for i in 0..NODES {
            self.reconnect(i);
            self.nodes[i].clock_error = 0;
            self.nodes[i].frozen_until = -1;
        }
        for _ in 0..400 {
            self.tick()?;
        }
        let expected = if self.item.plan == Plan::Full { 0 } else { STEPS };
        let now = self.throttle_step().step;
        ensure(now == expected, || format!("after the quiet period the step is {now} instead of {expected}"))
    }

    fn reconnect(&mut self, i: usize) {
        let (t, item, state) = (self.t, self.item.clone(), self.state.clone());
        let node_model = &mut self.nodes[i];
        if node_model.is_cut_off {
            (node_model.is_cut_off, node_model.reachable_since) = (false, t);
            node_model.item_due = Some((t + 1, item));
            node_model.incoming_copies.push((t + 1, state));
            self.record_disturbance(i);
        }
    }

    /// Records that node `i` was disturbed; if it is the owner, its time for the next step starts over.
    fn record_disturbance(&mut self, i: usize) {
        if i == self.owner {
            self.undisturbed_since = self.t;
        }
    }

    pub fn event(&mut self, event: u8, arg: u8) {
        let (t, i) = (self.t, usize::from(arg) % NODES);
        match event % 10 {
            0 | 1 => {
                let any_clock_error = self.nodes.iter().any(|h| h.clock_error != 0);
                if self.nodes[i].clock_error != 0 {
                    self.nodes[i].clock_error = 0;
                    self.clock_corrected_at = t;
                } else if !any_clock_error && t > self.clock_corrected_at + 12 {
                    let hours = 1 + i64::from(arg / 64);
                    self.nodes[i].clock_error = if arg & 4 == 0 { hours } else { -hours } * 3_600 * SECOND;
                }
            }
            2 | 3 => {
                // The former owner may not know of the change for a while; its proposals are rejected by their epoch.
                let is_informed = arg & 8 != 0;
                if is_informed {
                    self.nodes[self.owner].owned = None;
                }
                self.epoch = Epoch { round: self.epoch.round + 1, owner: i as u32 };
                self.owner = i;
                self.nodes[i].owned = Some((self.epoch, self.state.clone()));
                self.undisturbed_since = t;
            }
            4 => {
                let version = self.item.version + 1 + u64::from(arg & 1);
                let lapse_time = match arg % 4 {
                    0 => None,
                    1 => Some(LapseTime::In(Duration::from_secs(20 + i64::from(arg)))),
                    _ => Some(LapseTime::At(UnixTime::from_micros(
                        (WALL_START + t + i64::from(arg) - 40) * SECOND,
                    ))),
                };
                self.item = member(version, lapse_time);
                self.item_set_at = t;
                for j in 0..NODES {
                    let delay = 1 + self.random(2) as i64;
                    self.nodes[j].item_due = Some((t + delay, self.item.clone()));
                }
            }
            5 => {
                if self.nodes[i].is_cut_off {
                    self.reconnect(i);
                } else {
                    self.nodes[i].is_cut_off = true;
                    self.record_disturbance(i);
                }
            }
            6 => {
                self.nodes[i].frozen_until = t + i64::from(arg / 4);
                self.record_disturbance(i);
            }
            7 => {
                let (timer, clock, view) = self.new_components();
                let state = self.state.clone();
                let node_model = &mut self.nodes[i];
                (node_model.timer, node_model.clock, node_model.view) = (timer, clock, view);
                (node_model.reachable_since, node_model.last_shown) = (t, (0, 0));
                node_model.incoming_copies = vec![(t + 1, state)];
                self.record_disturbance(i);
            }
            8 => {
                self.pending.clear();
                self.undisturbed_since = t;
            }
            _ => {}
        }
    }

    pub fn tick(&mut self) -> CheckResult {
        self.t += 1;
        let t = self.t;
        self.commit()?;
        let wall = |h: &NodeModel| (WALL_START + t) * SECOND + h.wall_offset + h.clock_error;
        let clock_reports: Vec<(i64, bool, bool)> = self
            .nodes
            .iter()
            .map(|h| (wall(h), h.clock.stepped(h.monotonic(t)), h.is_cut_off || h.frozen_until >= t))
            .collect();
        let mut proposals = Vec::new();
        for (i, node_model) in self.nodes.iter_mut().enumerate() {
            if node_model.frozen_until >= t {
                node_model.reachable_since = t + 1;
                continue;
            }
            let now = node_model.monotonic(t);
            node_model.clock.observe_local(now, UnixTime::from_micros(clock_reports[i].0));
            if !node_model.is_cut_off && t % 2 == 0 {
                for (j, &(wall, stepped, silent)) in clock_reports.iter().enumerate() {
                    if j != i && !silent {
                        let (sent_at, received_at) = (now - Duration::from_millis(200), now);
                        let wall = UnixTime::from_micros(wall - 100_000);
                        let node = Node(j as u32);
                        node_model.clock.observe_peer(PeerClockReading {
                            node,
                            sent_at,
                            received_at,
                            wall,
                            stepped,
                        });
                    }
                }
            }
            if !node_model.is_cut_off {
                if let Some((_, item)) = node_model.item_due.take_if(|(at, _)| *at <= t) {
                    node_model.item = item;
                }
                let (arrived, later): (Vec<_>, Vec<_>) =
                    node_model.incoming_copies.drain(..).partition(|(at, _)| *at <= t);
                node_model.incoming_copies = later;
                for (_, copy) in arrived {
                    node_model.view.observe(now, "m", &copy);
                }
                // A former owner learns of the change eventually.
                if i != self.owner && node_model.owned.is_some() && t % 8 == 0 {
                    node_model.owned = None;
                    node_model.timer.forget("m");
                }
            }
            if let Some((epoch, state)) = &mut node_model.owned {
                if *epoch == self.epoch {
                    state.clone_from(&self.state);
                }
                let decision = node_model.timer.decide(
                    now,
                    "m",
                    *epoch,
                    state,
                    Some(&node_model.item),
                    &node_model.clock,
                );
                proposals.extend(decision.proposal.map(|change| (*epoch, change)));
            }
        }
        for (epoch, change) in proposals {
            let delay = 1 + self.random(2) as i64;
            self.pending.push((t + delay, epoch, change));
        }
        self.check()
    }

    /// Commits the changes that arrive at the control store: only those of the current epoch, and only while the
    /// owner is not cut off.
    fn commit(&mut self) -> CheckResult {
        let t = self.t;
        let (arrived, later): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|(at, ..)| *at <= t);
        self.pending = later;
        for (_, epoch, change) in arrived {
            if epoch != self.epoch || self.nodes[self.owner].is_cut_off {
                continue;
            }
            let old = self.state.clone();
            if !self.state.apply(&change).unwrap_or(false) {
                continue;
            }
            self.check_change(&old, &change)?;
            self.changed_at = t;
            for i in 0..NODES {
                let delay = self.random(3) as i64;
                let copy = self.state.clone();
                // A node that is cut off receives the newest state when it reconnects.
                if !self.nodes[i].is_cut_off {
                    self.nodes[i].incoming_copies.push((t + delay, copy));
                }
            }
        }
        Ok(())
    }
}

/// A random schedule from a seed.
pub fn schedule(seed: u64) -> Vec<(u8, u8)> {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        (x >> 32) as u8
    };
    let length = 4 + usize::from(next() % 28);
    (0..length).map(|_| (next(), next())).collect()
}
