//! Four machines, the messages and writes in flight between them, and the possible next steps.

use crate::common::cluster::{start_config, NotesMessage, PendingWrite, KEY};
use crate::common::notes::Notes;
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(100);
const REPLICAS: usize = 3;
const MACHINES: usize = 4;

/// The content of each of the two changes, both of item 1 under version 1.
const CONTENTS: [u64; 2] = [7, 8];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    Link(usize, usize),
    Disk(usize),
}

impl Channel {
    fn touches(self, node: usize) -> bool {
        match self {
            Channel::Link(from, to) => from == node || to == node,
            Channel::Disk(of) => of == node,
        }
    }
}

#[derive(Debug)]
enum Work {
    Message { version: u64, message: NotesMessage },
    Write(PendingWrite),
}

#[derive(Clone)]
struct Task {
    channel: Channel,
    fingerprint: u64,
    work: Rc<Work>,
}

/// The events that may still happen.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Budget {
    pub surprises: u32,
    pub calls: [bool; 2],
    /// Whether a replica may still be lost permanently.
    pub loss: bool,
    pub wipe: bool,
    pub short: u32,
    pub long: u32,
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Run(Channel),
    Hold(Channel),
    Release(Channel),
    Call(usize, usize),
    Lose(usize),
    Wipe(usize),
    Short,
    Long,
}

#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub enum Answer {
    Committed,
    Rejected,
    Unknown,
}

#[derive(Clone)]
pub struct World {
    now: Instant,
    pub machines: Vec<Rc<ControlStore<Notes>>>,
    fingerprints: [u64; MACHINES],
    disks: Vec<Rc<StoredState<Notes>>>,
    tasks: VecDeque<Task>,
    held: Vec<Channel>,
    lost: Option<usize>,
    /// Which nodes could become replicas, as last announced.
    outside: Vec<(usize, bool)>,
    starts: u64,
    pub budget: Budget,
    /// The highest revision on each machine's disk. After a wipe it stays until the machine is a voter again.
    on_disk: [Revision; MACHINES],
    committed: Rc<BTreeMap<Revision, Notes>>,
    pub answers: [Option<Answer>; 2],
    mutation: Option<Mutation>,
    pub violation: Option<String>,
}

fn fingerprint_of(what: &impl std::fmt::Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{what:?}").hash(&mut hasher);
    hasher.finish()
}

impl World {
    pub fn new(budget: Budget, mutation: Option<Mutation>) -> World {
        let one = |i: usize| {
            let start = start_config(i, REPLICAS, i < REPLICAS, i as u64);
            Rc::new(ControlStore::new(Instant::ZERO, start, StoredState::default()))
        };
        let mut world = World {
            now: Instant::ZERO,
            machines: (0..MACHINES).map(one).collect(),
            fingerprints: [0; MACHINES],
            disks: (0..MACHINES).map(|_| Rc::new(StoredState::default())).collect(),
            tasks: VecDeque::new(),
            held: Vec::new(),
            lost: None,
            outside: Vec::new(),
            starts: 100,
            budget,
            on_disk: [Revision::default(); MACHINES],
            committed: Rc::default(),
            answers: [None; 2],
            mutation,
            violation: None,
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

    /// Activates the mutation at one machine.
    fn set_mutation(&mut self, node: usize) {
        #[cfg(feature = "mutants")]
        if let Some(mutation) = self.mutation {
            Rc::make_mut(&mut self.machines[node]).set_mutation(mutation);
        }
        assert!(node < MACHINES && (self.mutation.is_none() || cfg!(feature = "mutants")));
    }

    fn live_nodes(&self) -> impl Iterator<Item = usize> + '_ {
        (0..MACHINES).filter(|i| Some(*i) != self.lost)
    }

    /// Calls a machine's store and handles the effects.
    fn with_store(&mut self, node: usize, act: impl FnOnce(&mut ControlStore<Notes>)) {
        let store = Rc::make_mut(&mut self.machines[node]);
        act(store);
        let effects = store.take_effects();
        self.fingerprints[node] = 0;
        for effect in effects {
            self.handle_effect(node, effect);
        }
    }

    fn handle_effect(&mut self, node: usize, effect: Effect<Notes>) {
        let (channel, work) = match effect {
            Effect::Send { to, version, message } => {
                let to = to.0 as usize;
                if to >= MACHINES || Some(to) == self.lost {
                    return;
                }
                (Channel::Link(node, to), Work::Message { version, message })
            }
            Effect::Store { write, metadata, keys, .. } => {
                (Channel::Disk(node), Work::Write(PendingWrite { write, metadata, keys }))
            }
            Effect::Committed { revision, value, .. } => return self.check_commit(node, revision, value),
            Effect::Answer { token, outcome } => return self.check_answer(token as usize, outcome),
        };
        let fingerprint = fingerprint_of(&work);
        self.tasks.push_back(Task { channel, fingerprint, work: Rc::new(work) });
    }

    fn link(&mut self, node: usize) {
        let now = self.now;
        for other in self.live_nodes().filter(|o| *o != node).collect::<Vec<_>>() {
            self.with_store(node, |s| s.set_reachable(now, Node(other as u32), true));
            self.with_store(other, |s| s.set_reachable(now, Node(node as u32), true));
        }
    }

    fn unlink(&mut self, node: usize) {
        let now = self.now;
        self.tasks.retain(|task| !task.channel.touches(node));
        self.held.retain(|channel| !channel.touches(node));
        for other in self.live_nodes().filter(|o| *o != node).collect::<Vec<_>>() {
            self.with_store(other, |s| s.set_reachable(now, Node(node as u32), false));
        }
        self.tasks.retain(|task| !task.channel.touches(node));
    }

    fn front(&self) -> Option<usize> {
        self.tasks.iter().position(|task| !self.held.contains(&task.channel))
    }

    fn run(&mut self, at: usize) {
        let Some(task) = self.tasks.remove(at) else { return };
        let now = self.now;
        match (&*task.work, task.channel) {
            (Work::Message { version, message }, Channel::Link(from, to)) => {
                self.with_store(to, |s| s.receive(now, Node(from as u32), *version, message.clone()));
            }
            (Work::Write(pending), Channel::Disk(node)) => {
                let disk = Rc::make_mut(&mut self.disks[node]);
                pending.clone().persist(disk);
                // A wiped machine counts with what it had on disk until its disk is that of a replica again.
                if let Some(stored) = disk.keys.first().filter(|_| disk.metadata.is_some()) {
                    self.on_disk[node] = stored.accepted;
                }
                self.with_store(node, |s| s.write_completed(now, pending.write));
            }
            _ => unreachable!("a message on a disk"),
        }
    }

    pub fn run_to_rest(&mut self) {
        while let Some(at) = self.front() {
            self.run(at);
        }
    }

    fn tick(&mut self) {
        self.now += STEP;
        let now = self.now;
        let outside: Vec<(usize, bool)> =
            self.live_nodes().map(|n| (n, self.machines[n].is_outside())).collect();
        let changed = outside != self.outside;
        for node in self.live_nodes().collect::<Vec<_>>() {
            for (other, outside) in outside.iter().filter(|_| changed) {
                self.with_store(node, |s| s.set_candidate(now, Node(*other as u32), *outside));
            }
            if self.machines[node].next_deadline().is_some_and(|at| at <= now) {
                self.with_store(node, |s| s.tick(now));
            }
        }
        self.outside = outside;
        self.run_to_rest();
    }

    pub fn apply_step(&mut self, step: Step) {
        let busy = u32::from(self.front().is_some());
        let now = self.now;
        match step {
            Step::Run(channel) => {
                if let Some(at) = self.tasks.iter().position(|task| task.channel == channel) {
                    self.run(at);
                }
                return;
            }
            Step::Hold(channel) => {
                self.budget.surprises -= 1;
                self.held.push(channel);
                return;
            }
            Step::Release(channel) => {
                self.held.retain(|held| *held != channel);
                return;
            }
            Step::Call(which, node) => {
                self.budget.calls[which] = false;
                let change = vec![(1, 1, CONTENTS[which])];
                self.with_store(node, |s| s.call(now, which as u64, KEY, change));
            }
            Step::Lose(node) => {
                self.budget.loss = false;
                self.unlink(node);
                self.lost = Some(node);
            }
            Step::Wipe(node) => {
                self.budget.wipe = false;
                self.unlink(node);
                self.starts += 1;
                self.disks[node] = Rc::new(StoredState::default());
                let start = start_config(node, REPLICAS, false, self.starts);
                self.machines[node] = Rc::new(ControlStore::new(now, start, StoredState::default()));
                self.set_mutation(node);
                self.outside.clear();
                self.link(node);
            }
            Step::Short => {
                self.budget.short -= 1;
                (0..4).for_each(|_| self.tick());
            }
            Step::Long => {
                self.budget.long -= 1;
                (0..46).for_each(|_| self.tick());
            }
        }
        self.budget.surprises -= busy;
    }

    /// All possible next steps.
    pub fn next(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let front = self.front().map(|at| self.tasks[at].channel);
        if let Some(channel) = front {
            steps.push(Step::Run(channel));
            if self.budget.surprises == 0 {
                return steps;
            }
            steps.push(Step::Hold(channel));
        }
        // The two changes differ only in their content, so the first one is always called first.
        if let Some(which) = self.budget.calls.iter().position(|left| *left) {
            steps.extend(self.live_nodes().map(|node| Step::Call(which, node)));
        }
        if self.budget.loss {
            steps.extend((0..REPLICAS).map(Step::Lose));
        }
        if self.budget.wipe {
            steps.extend(self.live_nodes().map(Step::Wipe));
        }
        if front.is_none() {
            steps.extend(self.held.iter().map(|channel| Step::Release(*channel)));
            if self.budget.short > 0 {
                steps.push(Step::Short);
            }
            if self.budget.long > 0 {
                steps.push(Step::Long);
            }
        }
        steps
    }

    pub fn digest(&mut self) -> u64 {
        for (node, fingerprint) in self.fingerprints.iter_mut().enumerate() {
            if *fingerprint == 0 {
                *fingerprint = self.machines[node].fingerprint() | 1;
            }
        }
        let mut hasher = DefaultHasher::new();
        (self.now, self.fingerprints, &self.held, self.lost, self.budget, self.on_disk, self.answers)
            .hash(&mut hasher);
        for task in &self.tasks {
            (task.channel, task.fingerprint).hash(&mut hasher);
        }
        for (revision, value) in self.committed.iter() {
            (revision, &value.0).hash(&mut hasher);
        }
        hasher.finish()
    }

    fn report_violation(&mut self, why: String) {
        self.violation.get_or_insert(why);
    }

    /// A commit is on the disks of a majority, contains everything committed earlier, and nothing that was
    /// rejected.
    fn check_commit(&mut self, node: usize, revision: Revision, value: Notes) {
        let replicas = self.machines[node].replica_set().clone();
        let at_majority = |without: Option<Node>| {
            let members: Vec<Node> =
                replicas.members.iter().map(|member| member.node).filter(|n| Some(*n) != without).collect();
            let have = members.iter().filter(|n| self.on_disk[n.0 as usize] >= revision).count();
            have * 2 > members.len()
        };
        if !at_majority(replicas.joining) || !at_majority(replicas.leaving) {
            self.report_violation(format!("{revision:?} is reported as committed and is not at a majority"));
        }
        for (which, answer) in self.answers.into_iter().enumerate() {
            if answer == Some(Answer::Rejected) && value.0.values().any(|v| v.1 == CONTENTS[which]) {
                self.report_violation(format!("change {which} was rejected and is in force"));
            }
        }
        let covers =
            |later: &Notes, earlier: &Notes| earlier.0.iter().all(|(k, v)| later.0.get(k) == Some(v));
        let violation = self.committed.iter().find(|(at, known)| match (*at).cmp(&revision) {
            std::cmp::Ordering::Less => !covers(&value, known),
            std::cmp::Ordering::Equal => value != **known,
            std::cmp::Ordering::Greater => !covers(known, &value),
        });
        if let Some((at, known)) = violation {
            let why = format!("lost between {at:?} {known:?} and {revision:?} {value:?}");
            return self.report_violation(why);
        }
        Rc::make_mut(&mut self.committed).insert(revision, value);
    }

    fn check_answer(&mut self, which: usize, outcome: CallOutcome<Notes>) {
        self.answers[which] = Some(match outcome {
            CallOutcome::Committed { revision, .. } => {
                let held = self.committed.get(&revision).and_then(|value| value.0.get(&1));
                if held != Some(&(1, CONTENTS[which])) {
                    self.report_violation(format!(
                        "change {which} is acknowledged and not committed at {revision:?}"
                    ));
                }
                Answer::Committed
            }
            CallOutcome::Rejected(_) => {
                if self.committed.values().any(|value| value.0.values().any(|v| v.1 == CONTENTS[which])) {
                    self.report_violation(format!("change {which} is committed and rejected"));
                }
                Answer::Rejected
            }
            _ => Answer::Unknown,
        });
        if self.answers == [Some(Answer::Committed); 2] {
            self.report_violation("both are committed under one version".into());
        }
    }
}
