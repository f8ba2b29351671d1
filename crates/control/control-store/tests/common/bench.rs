//! Replicas stepped by hand: messages and writes in order, at once or held back.

use super::{Change, Notes};
use silvercross_control_store::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type L = Message<Notes, Change>;
pub type Write = (u64, Option<Metadata>, Vec<StoredKey<Notes>>);
pub const KEY: &str = "configuration";

pub struct Bench {
    pub now: Micros,
    pub ledgers: Vec<ControlStore<Notes>>,
    pub disks: Vec<StoredState<Notes>>,
    pub messages: VecDeque<(usize, usize, u64, L)>,
    /// Not synced yet, where syncing is held.
    pub writes: Vec<VecDeque<Write>>,
    pub slow_disk: BTreeSet<usize>,
    /// Messages on these ways are lost.
    pub cut: BTreeSet<(usize, usize)>,
    /// Messages on these ways wait.
    pub held: BTreeSet<(usize, usize)>,
    pub answers: BTreeMap<u64, CallOutcome<Notes>>,
    /// The incarnations under which repair was asked for last.
    pub recovering: BTreeMap<usize, Incarnation>,
    pub starts: u64,
    /// How many are replicas from the start.
    pub replicas: usize,
    /// Messages and writes until all stands still, if it is to.
    pub fuse: Option<usize>,
    /// They hear nothing, sync nothing, and their time does not pass.
    pub frozen: BTreeSet<usize>,
    /// They have said that they stop.
    pub leaving: BTreeSet<usize>,
}

pub fn start(node: usize, replica_set: usize, fresh: bool, seed: u64) -> Start {
    let replica_set = (0..replica_set as u32).map(Node).collect();
    Start { me: Node(node as u32), replica_set, keys: vec![KEY.into()], fresh, seed }
}

impl Bench {
    pub fn new(n: usize) -> Bench {
        Bench::with_spares(n, 0)
    }

    /// The spare ones are added with empty disks, after the first start.
    pub fn with_spares(replicas: usize, spares: usize) -> Bench {
        let n = replicas + spares;
        let one =
            |i| ControlStore::new(0, start(i, replicas, i < replicas, i as u64), StoredState::default());
        let ledgers = (0..n).map(one).collect();
        let mut bench = Bench {
            now: 0,
            ledgers,
            disks: (0..n).map(|_| StoredState::default()).collect(),
            messages: VecDeque::new(),
            writes: (0..n).map(|_| VecDeque::new()).collect(),
            slow_disk: BTreeSet::new(),
            cut: BTreeSet::new(),
            held: BTreeSet::new(),
            answers: BTreeMap::new(),
            recovering: BTreeMap::new(),
            starts: 100,
            replicas,
            fuse: None,
            frozen: BTreeSet::new(),
            leaving: BTreeSet::new(),
        };
        bench.link();
        bench
    }

    /// Three with a settled owner; who that is.
    pub fn settled() -> (Bench, usize) {
        let mut bench = Bench::new(3);
        bench.pass(1_000_000);
        let owner = bench.owner().expect("an owner");
        (bench, owner)
    }

    pub fn owner(&self) -> Option<usize> {
        (0..self.ledgers.len()).find(|i| !self.ledgers[*i].owned_keys().is_empty())
    }

    pub fn link(&mut self) {
        let n = self.ledgers.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            if !self.cut.contains(&(a, b)) || !self.cut.contains(&(b, a)) {
                self.ledgers[a].set_reachable(self.now, Node(b as u32), true);
            }
        }
        self.run();
    }

    pub fn broken(&mut self, broken: Option<Mutation>) {
        #[cfg(feature = "mutants")]
        if let Some(broken) = broken {
            self.ledgers.iter_mut().for_each(|l| l.set_mutation(broken));
        }
        assert!(broken.is_none() || cfg!(feature = "mutants"));
    }

    /// Everybody hears who is no replica and could be one.
    pub fn tell_candidates(&mut self) {
        let n = self.ledgers.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))) {
            let outside = self.ledgers[b].is_outside();
            self.ledgers[a].set_candidate(self.now, Node(b as u32), outside);
        }
        self.run();
    }

    pub fn part(&mut self, node: usize) {
        for other in (0..self.ledgers.len()).filter(|o| *o != node) {
            self.ledgers[other].set_reachable(self.now, Node(node as u32), false);
            self.ledgers[node].set_reachable(self.now, Node(other as u32), false);
            self.cut.extend([(node, other), (other, node)]);
        }
    }

    pub fn join(&mut self, node: usize) {
        self.cut.retain(|(a, b)| *a != node && *b != node);
        self.link();
    }

    /// This one is told to stop, and all others hear of it.
    pub fn leave(&mut self, node: usize) {
        self.leaving.insert(node);
        self.ledgers[node].begin_graceful_stop(self.now);
        self.run();
        self.gossip();
    }

    /// What membership tells all that can be reached: who could become a replica, and who stops.
    pub fn gossip(&mut self) {
        let n = self.ledgers.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            if !self.cut.contains(&(b, a)) && !self.frozen.contains(&a) && !self.frozen.contains(&b) {
                let leaves = self.leaving.contains(&b);
                let free = self.ledgers[b].is_outside() && !leaves;
                self.ledgers[a].set_candidate(self.now, Node(b as u32), free);
                self.ledgers[a].set_stopping(self.now, Node(b as u32), leaves);
            }
        }
        self.run();
    }

    pub fn sync(&mut self, node: usize) {
        while self.sync_one(node) {}
    }

    fn sync_one(&mut self, node: usize) -> bool {
        let Some((write, metadata, keys)) = self.writes[node].pop_front() else { return false };
        let disk = &mut self.disks[node];
        disk.metadata = metadata.or(disk.metadata.take());
        for stored in keys {
            disk.keys.retain(|k| k.key != stored.key);
            disk.keys.push(stored);
        }
        self.ledgers[node].write_completed(self.now, write);
        true
    }

    /// One step more is to be done, if it may.
    fn burn(&mut self) -> bool {
        let Some(left) = &mut self.fuse else { return true };
        let some = *left > 0;
        *left = left.saturating_sub(1);
        some
    }

    /// Until nothing moves any more.
    pub fn run(&mut self) {
        loop {
            let mut moved = false;
            for node in 0..self.ledgers.len() {
                for effect in self.ledgers[node].take_effects() {
                    moved = true;
                    match effect {
                        Effect::Send { to, version, message } => {
                            if let Message::RepairRequest { incarnation } = message {
                                self.recovering.insert(node, incarnation);
                            }
                            self.messages.push_back((node, to.0 as usize, version, message));
                        }
                        Effect::Store { write, metadata, keys } => {
                            self.writes[node].push_back((write, metadata, keys))
                        }
                        Effect::Answer { token, verdict } => {
                            assert!(self.answers.insert(token, verdict).is_none(), "answered twice");
                        }
                        Effect::Committed { .. } => {}
                    }
                }
                let stands = self.slow_disk.contains(&node) || self.frozen.contains(&node);
                if !stands && !self.writes[node].is_empty() {
                    moved = true;
                    if self.fuse.is_none() {
                        self.sync(node);
                    } else if !self.burn() || !self.sync_one(node) {
                        return;
                    }
                }
            }
            for _ in 0..self.messages.len() {
                let Some((from, to, version, message)) = self.messages.pop_front() else { break };
                if self.held.contains(&(from, to)) || self.frozen.contains(&to) {
                    self.messages.push_back((from, to, version, message));
                } else if !self.cut.contains(&(from, to)) && !self.burn() {
                    self.messages.push_front((from, to, version, message));
                    return;
                } else if !self.cut.contains(&(from, to)) {
                    moved = true;
                    self.ledgers[to].receive(self.now, Node(from as u32), version, message);
                }
            }
            if !moved {
                break;
            }
        }
    }

    /// Time goes by.
    pub fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += 10_000;
            for ledger in &mut self.ledgers {
                ledger.tick(self.now);
            }
            self.run();
        }
    }

    /// Time goes by from one thing that is due to the next; until all stands still, if it is to.
    pub fn go(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until && self.fuse != Some(0) {
            let awake = (0..self.ledgers.len()).filter(|n| !self.frozen.contains(n));
            let due = awake.filter_map(|n| self.ledgers[n].next_deadline()).min().unwrap_or(until);
            self.now = due.clamp(self.now + 1, until);
            for node in (0..self.ledgers.len()).filter(|n| !self.frozen.contains(n)) {
                self.ledgers[node].tick(self.now);
            }
            self.run();
            self.gossip();
        }
    }

    /// Starts anew on its disk; what was not synced is lost.
    pub fn restart(&mut self, node: usize) {
        self.starts += 1;
        self.writes[node].clear();
        self.leaving.remove(&node);
        let n = self.ledgers.len();
        let start = start(node, self.replicas, false, self.starts);
        self.ledgers[node] = ControlStore::new(self.now, start, self.disks[node].clone());
        for other in (0..n).filter(|o| *o != node) {
            self.ledgers[other].set_reachable(self.now, Node(node as u32), false);
        }
        self.link();
    }

    /// Starts anew, broken again.
    pub fn restart_as(&mut self, node: usize, broken: Option<Mutation>) {
        let ways: Vec<(usize, usize)> =
            (0..self.ledgers.len()).filter(|o| *o != node).flat_map(|o| [(node, o), (o, node)]).collect();
        let cut = self.cut.clone();
        self.cut.extend(ways);
        self.restart(node);
        self.cut = cut;
        self.broken(broken);
        self.link();
    }

    pub fn wipe(&mut self, node: usize) {
        self.disks[node] = StoredState::default();
        self.restart(node);
    }

    pub fn call(&mut self, node: usize, token: u64, change: &[(u8, u64, u64)]) {
        self.ledgers[node].call(self.now, token, KEY, change.to_vec());
        self.run();
    }

    pub fn read(&mut self, node: usize, token: u64) -> Notes {
        self.ledgers[node].read(self.now, token, KEY);
        self.run();
        self.pass(700_000);
        match self.answers.get(&token) {
            Some(CallOutcome::Value { value, .. }) => value.clone(),
            other => panic!("no value: {other:?}"),
        }
    }

    pub fn done(&self, token: u64) -> bool {
        matches!(self.answers.get(&token), Some(CallOutcome::Committed { .. }))
    }
}

pub fn others(owner: usize) -> (usize, usize) {
    ((owner + 1) % 3, (owner + 2) % 3)
}
