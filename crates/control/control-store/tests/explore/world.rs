//! Four machines, what is under way between them, and what may still happen.

use crate::common::{Change, Notes};
use silvercross_control_store::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

type M = Message<Notes, Change>;
const KEY: &str = "configuration";
const REPLICAS: usize = 3;
const MACHINES: usize = 4;

/// The content of each of the two changes, both of item 1 under version 1.
const CONTENTS: [u64; 2] = [7, 8];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    Link(usize, usize),
    StoredState(usize),
}

impl Lane {
    fn touches(self, node: usize) -> bool {
        match self {
            Lane::Link(from, to) => from == node || to == node,
            Lane::StoredState(of) => of == node,
        }
    }
}

#[derive(Debug)]
enum Work {
    Message(u64, M),
    Write(u64, Option<Metadata>, Vec<StoredKey<Notes>>),
}

#[derive(Clone)]
struct Task {
    lane: Lane,
    print: u64,
    work: Rc<Work>,
}

/// What may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Left {
    pub surprises: u32,
    pub calls: [bool; 2],
    pub gone: bool,
    pub wipe: bool,
    pub short: u32,
    pub long: u32,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Run(Lane),
    Hold(Lane),
    Release(Lane),
    Call(usize, usize),
    Gone(usize),
    Wipe(usize),
    Short,
    Long,
}

#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub enum Heard {
    Done,
    Refused,
    Unclear,
}

#[derive(Clone)]
pub struct World {
    now: Micros,
    pub machines: Vec<Rc<ControlStore<Notes>>>,
    prints: [u64; MACHINES],
    disks: Vec<Rc<StoredState<Notes>>>,
    tasks: VecDeque<Task>,
    held: Vec<Lane>,
    lost: Option<usize>,
    /// Who could become a replica, as all were told last.
    outside: Vec<(usize, bool)>,
    starts: u64,
    pub left: Left,
    /// The highest revision that was ever on its disk; after a wipe until it is a voter again.
    had: [Revision; MACHINES],
    committed: Rc<BTreeMap<Revision, Notes>>,
    pub heard: [Option<Heard>; 2],
    broken: Option<Mutation>,
    pub wrong: Option<String>,
}

fn print_of(what: &impl std::fmt::Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{what:?}").hash(&mut hasher);
    hasher.finish()
}

impl World {
    pub fn new(left: Left, broken: Option<Mutation>) -> World {
        let one = |i: usize| {
            let start = World::start(i, i < REPLICAS, i as u64);
            Rc::new(ControlStore::new(0, start, StoredState::default()))
        };
        let mut world = World {
            now: 0,
            machines: (0..MACHINES).map(one).collect(),
            prints: [0; MACHINES],
            disks: (0..MACHINES).map(|_| Rc::new(StoredState::default())).collect(),
            tasks: VecDeque::new(),
            held: Vec::new(),
            lost: None,
            outside: Vec::new(),
            starts: 100,
            left,
            had: [Revision::default(); MACHINES],
            committed: Rc::default(),
            heard: [None; 2],
            broken,
            wrong: None,
        };
        for node in 0..MACHINES {
            world.link(node);
        }
        for _ in 0..12 {
            world.tick();
        }
        assert_eq!(world.machines.iter().filter(|m| !m.owned_keys().is_empty()).count(), 1, "an owner");
        (0..MACHINES).for_each(|node| world.set_mutation(node));
        world
    }

    fn start(node: usize, fresh: bool, seed: u64) -> Start {
        let replica_set = (0..REPLICAS as u32).map(Node).collect();
        Start { me: Node(node as u32), replica_set, keys: vec![KEY.into()], fresh, seed }
    }

    /// Leaves a rule out at one of them.
    fn set_mutation(&mut self, node: usize) {
        #[cfg(feature = "mutants")]
        if let Some(broken) = self.broken {
            Rc::make_mut(&mut self.machines[node]).set_mutation(broken);
        }
        assert!(node < MACHINES && (self.broken.is_none() || cfg!(feature = "mutants")));
    }

    fn living(&self) -> impl Iterator<Item = usize> + '_ {
        (0..MACHINES).filter(|i| Some(*i) != self.lost)
    }

    /// Does one thing at a machine and takes what comes of it.
    fn at(&mut self, node: usize, act: impl FnOnce(&mut ControlStore<Notes>)) {
        let store = Rc::make_mut(&mut self.machines[node]);
        act(store);
        let effects = store.take_effects();
        self.prints[node] = 0;
        for effect in effects {
            self.heed(node, effect);
        }
    }

    fn heed(&mut self, node: usize, effect: Effect<Notes>) {
        let (lane, work) = match effect {
            Effect::Send { to, version, message } => {
                let to = to.0 as usize;
                if to >= MACHINES || Some(to) == self.lost {
                    return;
                }
                (Lane::Link(node, to), Work::Message(version, message))
            }
            Effect::Store { write, metadata, keys, .. } => {
                (Lane::StoredState(node), Work::Write(write, metadata, keys))
            }
            Effect::Committed { revision, value, .. } => return self.judge_commit(node, revision, value),
            Effect::Answer { token, verdict } => return self.judge_answer(token as usize, verdict),
        };
        let print = print_of(&work);
        self.tasks.push_back(Task { lane, print, work: Rc::new(work) });
    }

    fn link(&mut self, node: usize) {
        let now = self.now;
        for other in self.living().filter(|o| *o != node).collect::<Vec<_>>() {
            self.at(node, |s| s.set_reachable(now, Node(other as u32), true));
            self.at(other, |s| s.set_reachable(now, Node(node as u32), true));
        }
    }

    fn unlink(&mut self, node: usize) {
        let now = self.now;
        self.tasks.retain(|task| !task.lane.touches(node));
        self.held.retain(|lane| !lane.touches(node));
        for other in self.living().filter(|o| *o != node).collect::<Vec<_>>() {
            self.at(other, |s| s.set_reachable(now, Node(node as u32), false));
        }
        self.tasks.retain(|task| !task.lane.touches(node));
    }

    fn front(&self) -> Option<usize> {
        self.tasks.iter().position(|task| !self.held.contains(&task.lane))
    }

    fn run(&mut self, at: usize) {
        let Some(task) = self.tasks.remove(at) else { return };
        let now = self.now;
        match (&*task.work, task.lane) {
            (Work::Message(version, message), Lane::Link(from, to)) => {
                self.at(to, |s| s.receive(now, Node(from as u32), *version, message.clone()));
            }
            (Work::Write(write, metadata, keys), Lane::StoredState(node)) => {
                let disk = Rc::make_mut(&mut self.disks[node]);
                disk.metadata = metadata.clone().or(disk.metadata.take());
                for stored in keys {
                    disk.keys.retain(|k| k.key != stored.key);
                    disk.keys.push(stored.clone());
                }
                // A wiped one counts with what it had until its disk is a replica's again.
                if let Some(stored) = disk.keys.first().filter(|_| disk.metadata.is_some()) {
                    self.had[node] = stored.accepted;
                }
                self.at(node, |s| s.write_completed(now, *write));
            }
            _ => unreachable!("a message on a disk"),
        }
    }

    pub fn rest(&mut self) {
        while let Some(at) = self.front() {
            self.run(at);
        }
    }

    fn tick(&mut self) {
        self.now += 100_000;
        let now = self.now;
        let outside: Vec<(usize, bool)> = self.living().map(|n| (n, self.machines[n].is_outside())).collect();
        let news = outside != self.outside;
        for node in self.living().collect::<Vec<_>>() {
            for (other, outside) in outside.iter().filter(|_| news) {
                self.at(node, |s| s.set_candidate(now, Node(*other as u32), *outside));
            }
            if self.machines[node].next_deadline().is_some_and(|at| at <= now) {
                self.at(node, |s| s.tick(now));
            }
        }
        self.outside = outside;
        self.rest();
    }

    pub fn take(&mut self, step: Step) {
        let busy = u32::from(self.front().is_some());
        let now = self.now;
        match step {
            Step::Run(lane) => {
                if let Some(at) = self.tasks.iter().position(|task| task.lane == lane) {
                    self.run(at);
                }
                return;
            }
            Step::Hold(lane) => {
                self.left.surprises -= 1;
                self.held.push(lane);
                return;
            }
            Step::Release(lane) => {
                self.held.retain(|held| *held != lane);
                return;
            }
            Step::Call(which, node) => {
                self.left.calls[which] = false;
                let change = vec![(1, 1, CONTENTS[which])];
                self.at(node, |s| s.call(now, which as u64, KEY, change));
            }
            Step::Gone(node) => {
                self.left.gone = false;
                self.unlink(node);
                self.lost = Some(node);
            }
            Step::Wipe(node) => {
                self.left.wipe = false;
                self.unlink(node);
                self.starts += 1;
                self.disks[node] = Rc::new(StoredState::default());
                let start = World::start(node, false, self.starts);
                self.machines[node] = Rc::new(ControlStore::new(now, start, StoredState::default()));
                self.set_mutation(node);
                self.outside.clear();
                self.link(node);
            }
            Step::Short => {
                self.left.short -= 1;
                (0..4).for_each(|_| self.tick());
            }
            Step::Long => {
                self.left.long -= 1;
                (0..46).for_each(|_| self.tick());
            }
        }
        self.left.surprises -= busy;
    }

    /// All that may happen next.
    pub fn next(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let front = self.front().map(|at| self.tasks[at].lane);
        if let Some(lane) = front {
            steps.push(Step::Run(lane));
            if self.left.surprises == 0 {
                return steps;
            }
            steps.push(Step::Hold(lane));
        }
        // The two changes differ in nothing but their content: the first of them is called for first.
        if let Some(which) = self.left.calls.iter().position(|left| *left) {
            steps.extend(self.living().map(|node| Step::Call(which, node)));
        }
        if self.left.gone {
            steps.extend((0..REPLICAS).map(Step::Gone));
        }
        if self.left.wipe {
            steps.extend(self.living().map(Step::Wipe));
        }
        if front.is_none() {
            steps.extend(self.held.iter().map(|lane| Step::Release(*lane)));
            if self.left.short > 0 {
                steps.push(Step::Short);
            }
            if self.left.long > 0 {
                steps.push(Step::Long);
            }
        }
        steps
    }

    pub fn digest(&mut self) -> u64 {
        for (node, print) in self.prints.iter_mut().enumerate() {
            if *print == 0 {
                *print = self.machines[node].fingerprint() | 1;
            }
        }
        let mut hasher = DefaultHasher::new();
        (self.now, self.prints, &self.held, self.lost, self.left, self.had, self.heard).hash(&mut hasher);
        for task in &self.tasks {
            (task.lane, task.print).hash(&mut hasher);
        }
        for (revision, value) in self.committed.iter() {
            (revision, &value.0).hash(&mut hasher);
        }
        hasher.finish()
    }

    fn fault(&mut self, why: String) {
        self.wrong.get_or_insert(why);
    }

    /// A commit is at more than half, by their disks; it has all that an earlier one has, and nothing that was refused.
    fn judge_commit(&mut self, node: usize, revision: Revision, value: Notes) {
        let replicas = self.machines[node].replica_set().clone();
        let half = |without: Option<Node>| {
            let members: Vec<Node> =
                replicas.members.iter().map(|m| m.0).filter(|n| Some(*n) != without).collect();
            let have = members.iter().filter(|n| self.had[n.0 as usize] >= revision).count();
            have * 2 > members.len()
        };
        if !half(replicas.joining) || !half(replicas.leaving) {
            self.fault(format!("{revision:?} is said to be committed and is not at more than half"));
        }
        for (which, heard) in self.heard.into_iter().enumerate() {
            if heard == Some(Heard::Refused) && value.0.values().any(|v| v.1 == CONTENTS[which]) {
                self.fault(format!("change {which} was refused and is in force"));
            }
        }
        let covers =
            |later: &Notes, earlier: &Notes| earlier.0.iter().all(|(k, v)| later.0.get(k) == Some(v));
        let wrong = self.committed.iter().find(|(at, known)| match (*at).cmp(&revision) {
            std::cmp::Ordering::Less => !covers(&value, known),
            std::cmp::Ordering::Equal => value != **known,
            std::cmp::Ordering::Greater => !covers(known, &value),
        });
        if let Some((at, known)) = wrong {
            let why = format!("lost between {at:?} {known:?} and {revision:?} {value:?}");
            return self.fault(why);
        }
        Rc::make_mut(&mut self.committed).insert(revision, value);
    }

    fn judge_answer(&mut self, which: usize, verdict: CallOutcome<Notes>) {
        self.heard[which] = Some(match verdict {
            CallOutcome::Committed { revision, .. } => {
                let held = self.committed.get(&revision).and_then(|value| value.0.get(&1));
                if held != Some(&(1, CONTENTS[which])) {
                    self.fault(format!("change {which} is done and not committed at {revision:?}"));
                }
                Heard::Done
            }
            CallOutcome::Rejected(_) => {
                if self.committed.values().any(|value| value.0.values().any(|v| v.1 == CONTENTS[which])) {
                    self.fault(format!("change {which} is committed and refused"));
                }
                Heard::Refused
            }
            _ => Heard::Unclear,
        });
        if self.heard == [Some(Heard::Done); 2] {
            self.fault("both are done under one version".into());
        }
    }
}
