//! Three nodes with clocks of their own, a key whose owner changes, nodes that follow; and a slow plain model in true time
//! that checks every change and every delay.
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

pub const S: i64 = 1_000_000;
const NODES: usize = 3;
const STEP: i64 = 10;
const STEPS: u32 = 4;
/// Within which nodes in touch hold what was said.
const TOUCH: i64 = 3;
/// The day's time at true time 0.
const DAY: i64 = 1_790_000_000;

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
            ramp: Duration::from_secs(STEP * i64::from(STEPS)),
            steps: STEPS,
        },
        version,
    }
}

struct NodeModel {
    mono: i64,
    skew: i64,
    /// Microseconds its time of day is wrong by.
    wrong: i64,
    frozen_until: i64,
    cut: bool,
    /// Up, awake and in touch since.
    touch: i64,
    item: Member,
    item_due: Option<(i64, Member)>,
    owns: Option<(Epoch, LapseState)>,
    timer: LapseTimer,
    clock: TrustedClock,
    view: LapseView,
    copies: Vec<(i64, LapseState)>,
    shown: (u64, u32),
}

impl NodeModel {
    /// Its monotonic clock at a second of true time.
    fn monotonic(&self, t: i64) -> Instant {
        Instant::from_micros(t * S + self.mono)
    }
}

pub struct World {
    t: i64,
    rng: Rng,
    mutation: Option<Mutation>,
    nodes: Vec<NodeModel>,
    owner: usize,
    epoch: Epoch,
    state: LapseState,
    item: Member,
    item_at: i64,
    pending: Vec<(i64, Epoch, LapseChange)>,
    mended: i64,
    // The model's.
    changed: i64,
    /// Since when the present owner was let alone.
    alone: i64,
    due: Option<i64>,
    pub begins: u64,
    pub steps: u64,
}

type Verdict = Result<(), String>;

fn ensure(holds: bool, why: impl FnOnce() -> String) -> Verdict {
    if holds {
        Ok(())
    } else {
        Err(why())
    }
}

impl World {
    pub fn new(seed: u64, mutation: Option<Mutation>) -> World {
        let first =
            member(1, Some(LapseTime::At(UnixTime::from_micros((DAY + 40 + (seed % 100) as i64) * S))));
        let mut world = World {
            t: 0,
            rng: Rng::new(seed),
            mutation,
            nodes: Vec::new(),
            owner: 0,
            epoch: Epoch { round: 1, owner: 0 },
            state: LapseState::default(),
            item: first.clone(),
            item_at: 0,
            pending: Vec::new(),
            mended: -100,
            changed: 0,
            alone: 0,
            due: None,
            begins: 0,
            steps: 0,
        };
        for i in 0..NODES {
            let (mono, skew) = ((world.draw(1_000_000) as i64) * 1_000, world.draw(600_000) as i64 - 300_000);
            let (timer, clock, view) = world.fresh();
            world.nodes.push(NodeModel {
                mono,
                skew,
                wrong: 0,
                frozen_until: -1,
                cut: false,
                touch: 0,
                item: first.clone(),
                item_due: None,
                owns: (i == 0).then(|| (world.epoch, LapseState::default())),
                timer,
                clock,
                view,
                copies: Vec::new(),
                shown: (0, 0),
            });
        }
        world
    }

    fn fresh(&self) -> (LapseTimer, TrustedClock, LapseView) {
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

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.below(below)
    }

    fn weigh(
        &self,
        _node: usize,
        member: &Member,
        at: ThrottleStep,
        asked: &ThrottleRequest,
    ) -> DelayDecision {
        #[cfg(feature = "mutants")]
        match self.mutation {
            Some(Mutation::DelayByNode(_)) => {
                let mutation = Mutation::DelayByNode(_node as u32);
                return silvercross_throttle::decide_delay_mutated(mutation, member, at, asked);
            }
            Some(mutation) => return silvercross_throttle::decide_delay_mutated(mutation, member, at, asked),
            None => {}
        }
        decide_delay(member, at, asked)
    }

    /// Play a schedule, then calm, by whose end all must have come to pass.
    pub fn run(&mut self, schedule: &[(u8, u8)]) -> Verdict {
        for &(event, arg) in schedule {
            self.event(event, arg);
            for _ in 0..1 + arg % 16 {
                self.tick()?;
            }
        }
        self.calm()
    }

    fn calm(&mut self) -> Verdict {
        for i in 0..NODES {
            self.heal(i);
            self.nodes[i].wrong = 0;
            self.nodes[i].frozen_until = -1;
        }
        for _ in 0..400 {
            self.tick()?;
        }
        let want = if self.item.plan == Plan::Full { 0 } else { STEPS };
        let now = self.throttle_step().step;
        ensure(now == want, || format!("after calm the step is {now} and not {want}"))
    }

    fn heal(&mut self, i: usize) {
        let (t, item, state) = (self.t, self.item.clone(), self.state.clone());
        let node_model = &mut self.nodes[i];
        if node_model.cut {
            (node_model.cut, node_model.touch) = (false, t);
            node_model.item_due = Some((t + 1, item));
            node_model.copies.push((t + 1, state));
            self.let_alone(i);
        }
    }

    /// Something happened to node `i`: if it is the owner, the model counts anew.
    fn let_alone(&mut self, i: usize) {
        if i == self.owner {
            self.alone = self.t;
        }
    }

    pub fn event(&mut self, event: u8, arg: u8) {
        let (t, i) = (self.t, usize::from(arg) % NODES);
        match event % 10 {
            0 | 1 => {
                let one_wrong = self.nodes.iter().any(|h| h.wrong != 0);
                if self.nodes[i].wrong != 0 {
                    self.nodes[i].wrong = 0;
                    self.mended = t;
                } else if !one_wrong && t > self.mended + 12 {
                    let hours = 1 + i64::from(arg / 64);
                    self.nodes[i].wrong = if arg & 4 == 0 { hours } else { -hours } * 3_600 * S;
                }
            }
            2 | 3 => {
                // The old owner may not know for a while; what it still sends is fenced.
                let knows = arg & 8 != 0;
                if knows {
                    self.nodes[self.owner].owns = None;
                }
                self.epoch = Epoch { round: self.epoch.round + 1, owner: i as u32 };
                self.owner = i;
                self.nodes[i].owns = Some((self.epoch, self.state.clone()));
                self.alone = t;
            }
            4 => {
                let version = self.item.version + 1 + u64::from(arg & 1);
                let lapse_time = match arg % 4 {
                    0 => None,
                    1 => Some(LapseTime::In(Duration::from_secs(20 + i64::from(arg)))),
                    _ => Some(LapseTime::At(UnixTime::from_micros((DAY + t + i64::from(arg) - 40) * S))),
                };
                self.item = member(version, lapse_time);
                self.item_at = t;
                for j in 0..NODES {
                    let late = 1 + self.draw(2) as i64;
                    self.nodes[j].item_due = Some((t + late, self.item.clone()));
                }
            }
            5 => {
                if self.nodes[i].cut {
                    self.heal(i);
                } else {
                    self.nodes[i].cut = true;
                    self.let_alone(i);
                }
            }
            6 => {
                self.nodes[i].frozen_until = t + i64::from(arg / 4);
                self.let_alone(i);
            }
            7 => {
                let (timer, clock, view) = self.fresh();
                let state = self.state.clone();
                let node_model = &mut self.nodes[i];
                (node_model.timer, node_model.clock, node_model.view) = (timer, clock, view);
                (node_model.touch, node_model.shown) = (t, (0, 0));
                node_model.copies = vec![(t + 1, state)];
                self.let_alone(i);
            }
            8 => {
                self.pending.clear();
                self.alone = t;
            }
            _ => {}
        }
    }

    pub fn tick(&mut self) -> Verdict {
        self.t += 1;
        let t = self.t;
        self.commit()?;
        let wall = |h: &NodeModel| (DAY + t) * S + h.skew + h.wrong;
        let said: Vec<(i64, bool, bool)> = self
            .nodes
            .iter()
            .map(|h| (wall(h), h.clock.stepped(h.monotonic(t)), h.cut || h.frozen_until >= t))
            .collect();
        let mut asked = Vec::new();
        for (i, node_model) in self.nodes.iter_mut().enumerate() {
            if node_model.frozen_until >= t {
                node_model.touch = t + 1;
                continue;
            }
            let now = node_model.monotonic(t);
            node_model.clock.observe_local(now, UnixTime::from_micros(said[i].0));
            if !node_model.cut && t % 2 == 0 {
                for (j, &(wall, stepped, silent)) in said.iter().enumerate() {
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
            if !node_model.cut {
                if let Some((_, item)) = node_model.item_due.take_if(|(at, _)| *at <= t) {
                    node_model.item = item;
                }
                let (here, later): (Vec<_>, Vec<_>) =
                    node_model.copies.drain(..).partition(|(at, _)| *at <= t);
                node_model.copies = later;
                for (_, copy) in here {
                    node_model.view.observe(now, "m", &copy);
                }
                // What an owner of old learns in the end.
                if i != self.owner && node_model.owns.is_some() && t % 8 == 0 {
                    node_model.owns = None;
                    node_model.timer.forget("m");
                }
            }
            if let Some((epoch, state)) = &mut node_model.owns {
                if *epoch == self.epoch {
                    state.clone_from(&self.state);
                }
                let advice = node_model.timer.decide(
                    now,
                    "m",
                    *epoch,
                    state,
                    Some(&node_model.item),
                    &node_model.clock,
                );
                asked.extend(advice.proposal.map(|change| (*epoch, change)));
            }
        }
        for (epoch, change) in asked {
            let late = 1 + self.draw(2) as i64;
            self.pending.push((t + late, epoch, change));
        }
        self.check()
    }

    /// Changes that arrive at the ledger: the fence lets through the owner's alone, and its ledger commits in touch.
    fn commit(&mut self) -> Verdict {
        let t = self.t;
        let (here, later): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|(at, ..)| *at <= t);
        self.pending = later;
        for (_, epoch, change) in here {
            if epoch != self.epoch || self.nodes[self.owner].cut {
                continue;
            }
            let old = self.state.clone();
            if !self.state.apply(&change).unwrap_or(false) {
                continue;
            }
            self.legal(&old, &change)?;
            self.changed = t;
            for i in 0..NODES {
                let late = self.draw(3) as i64;
                let copy = self.state.clone();
                // A node that is cut off gets the newest when it is back.
                if !self.nodes[i].cut {
                    self.nodes[i].copies.push((t + late, copy));
                }
            }
        }
        Ok(())
    }
}

/// A schedule drawn from a seed.
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
