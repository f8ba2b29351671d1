//! A world in simulated time: ledgers on links that lose, double and reorder, on disks that forget what was not synced.
#![allow(dead_code)]

pub mod bench;
pub mod case;
pub mod judge;

use judge::{History, Op, Said};
use silvercross_control_store::*;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

thread_local! {
    /// Leaves part of a refused change in force.
    pub static PART_OF_CALL: Cell<bool> = const { Cell::new(false) };
}

/// Named items, each with a version and content; the highest version wins.
#[derive(Clone, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct Notes(pub BTreeMap<u8, (u64, u64)>);

/// Item, version, content.
pub type Change = Vec<(u8, u64, u64)>;

/// A content that names another item: it is valid only where that one stands.
pub fn names(item: u8) -> u64 {
    (1 << 32) | u64::from(item)
}

impl State for Notes {
    type Change = Change;

    fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
        let mut next = self.0.clone();
        let mut changed = false;
        for (item, version, content) in change {
            let refusal =
                |conflict| Rejection { conflict, reason: format!("item {item}, version {version}") };
            let known = next.get(item).copied().unwrap_or_default();
            let outcome = match version.cmp(&known.0) {
                _ if *content == 0 => Err(refusal(false)),
                std::cmp::Ordering::Greater
                    if *content >> 32 == 1 && !next.contains_key(&(*content as u8)) =>
                {
                    Err(refusal(false))
                }
                std::cmp::Ordering::Equal if known.1 != *content => Err(refusal(true)),
                std::cmp::Ordering::Greater => {
                    next.insert(*item, (*version, *content));
                    changed = true;
                    Ok(())
                }
                _ => Ok(()),
            };
            if let Err(refusal) = outcome {
                if PART_OF_CALL.get() {
                    self.0 = next;
                }
                return Err(refusal);
            }
        }
        self.0 = next;
        Ok(changed)
    }
}

/// A small seeded generator.
pub struct Dice(pub u64);

impl Dice {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

type L = Message<Notes, Change>;

enum Event {
    Arrive { from: usize, to: usize, version: u64, message: Box<L> },
    Synced { node: usize, incarnation: u64, write: u64 },
    Wake { node: usize, incarnation: u64 },
    Told { node: usize, incarnation: u64, peer: usize, up: bool },
    Operator { hand: usize },
    Fault,
    Undo(Undo),
}

#[derive(Clone)]
enum Undo {
    Restart(usize, bool),
    Thaw(usize),
    Heal(usize, usize),
    Room(usize),
    /// It stops in plan, at the latest then.
    Stops(usize, u64, Micros),
}

struct Entry(Micros, u64, Event);
impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

enum Held {
    Message(usize, u64, Box<L>),
    StoredKey(u64),
    Told(usize, bool),
    Room(bool),
    Call(u64, String, Option<Change>),
}

struct Machine {
    store: Option<ControlStore<Notes>>,
    disk: StoredState<Notes>,
    formatted: bool,
    writes: VecDeque<(u64, Option<Metadata>, Vec<StoredKey<Notes>>)>,
    /// Rises with every start.
    incarnation: u64,
    frozen: bool,
    held: Vec<Held>,
    sync_free: Micros,
    offset: Micros,
    wake: Micros,
    last_frozen: Micros,
    /// Lost for good.
    destroyed: bool,
    /// Its disk has no room: writes stay under way.
    full: bool,
    /// It has said that it stops.
    leaving: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub calls: u64,
    pub done: u64,
    pub refused: u64,
    pub unsettled: u64,
    pub reads: u64,
    /// Faults that struck while a call was open.
    pub met: u64,
    pub faults: BTreeMap<&'static str, u64>,
    /// From the last heal until every key was settled.
    pub settled_in: Micros,
    pub messages: u64,
    pub taken: u64,
    pub outlived: u64,
    /// Versions of the replica set beyond the first.
    pub replica_sets: u64,
}

pub struct World {
    pub now: Micros,
    pub dice: Dice,
    queue: BinaryHeap<Reverse<Entry>>,
    number: u64,
    machines: Vec<Machine>,
    /// How many of them are replicas from the start.
    replicas: usize,
    cut: Vec<Vec<bool>>,
    loss: u64,
    double: u64,
    slow: u64,
    keys: Vec<String>,
    pub history: History,
    open: BTreeMap<u64, usize>,
    next_token: u64,
    contents: u64,
    versions: BTreeMap<(String, u8), u64>,
    recent: Vec<(String, Change)>,
    stop: Micros,
    healing: bool,
    broken: Option<Mutation>,
    /// Whether disks run full among the other faults.
    pub full_disks: bool,
    pub report: Report,
    pub failure: Option<String>,
}

impl World {
    pub fn new(seed: u64, machines: usize, broken: Option<Mutation>) -> World {
        World::with_spares(seed, machines, 0, broken)
    }

    /// With machines that are no replicas yet; replicas may be lost for good, and away for long.
    pub fn with_spares(seed: u64, replicas: usize, spares: usize, broken: Option<Mutation>) -> World {
        let machines = replicas + spares;
        let mut dice = Dice(seed);
        let keys = (0..1 + dice.below(3)).map(|k| format!("key-{k}")).collect();
        let mut world = World {
            now: 0,
            queue: BinaryHeap::new(),
            number: 0,
            machines: Vec::new(),
            replicas,
            cut: vec![vec![false; machines]; machines],
            loss: dice.below(100),
            double: dice.below(100),
            slow: 1 + dice.below(200),
            keys,
            history: History::default(),
            open: BTreeMap::new(),
            next_token: 0,
            contents: 0,
            versions: BTreeMap::new(),
            recent: Vec::new(),
            stop: if spares == 0 {
                2_000_000 + dice.below(5_000_000) as Micros
            } else {
                6_000_000 + dice.below(24_000_000) as Micros
            },
            healing: false,
            broken,
            full_disks: false,
            report: Report::default(),
            failure: None,
            dice,
        };
        for _ in 0..machines {
            let offset = world.dice.below(1_000_000_000) as Micros;
            world.machines.push(Machine {
                store: None,
                disk: StoredState::default(),
                formatted: false,
                writes: VecDeque::new(),
                incarnation: 0,
                frozen: false,
                held: Vec::new(),
                sync_free: 0,
                offset,
                wake: Micros::MAX,
                last_frozen: Micros::MIN,
                destroyed: false,
                full: false,
                leaving: false,
            });
        }
        for node in 0..machines {
            world.start(node);
        }
        for hand in 0..1 + world.dice.below(4) as usize {
            world.at(world.now + 1, Event::Operator { hand });
        }
        let first = 200_000 + world.dice.below(1_500_000) as Micros;
        world.at(first, Event::Fault);
        world
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Entry(when.max(self.now), self.number, event)));
    }

    fn start(&mut self, node: usize) {
        let n = self.machines.len();
        let seed = self.dice.next();
        let now = self.now;
        let m = &mut self.machines[node];
        if m.store.is_some() || m.destroyed {
            return;
        }
        m.incarnation += 1;
        m.wake = Micros::MAX;
        m.frozen = false;
        m.leaving = false;
        let start = Start {
            me: Node(node as u32),
            replica_set: (0..self.replicas as u32).map(Node).collect(),
            keys: self.keys.clone(),
            fresh: !m.formatted && node < self.replicas,
            seed,
        };
        let mut store = ControlStore::new(now + m.offset, start, m.disk.clone());
        #[cfg(feature = "mutants")]
        if let Some(broken) = self.broken {
            store.set_mutation(broken);
        }
        if m.full {
            store.set_disk_has_space(now + m.offset, false);
        }
        // Values of some bytes go in one to ten pieces.
        store.set_snapshot_chunk_bytes([10, 33, 100_000][self.loss as usize % 3]);
        m.store = Some(store);
        self.drain(node);
        for peer in 0..n {
            if peer != node && self.machines[peer].store.is_some() {
                self.tell(node, peer, true);
                self.tell(peer, node, true);
            }
        }
    }

    fn tell(&mut self, node: usize, peer: usize, up: bool) {
        let delay = 1_000 + self.dice.below(50_000) as Micros;
        let incarnation = self.machines[node].incarnation;
        self.at(self.now + delay, Event::Told { node, incarnation, peer, up });
    }

    fn crash(&mut self, node: usize, wipe: bool) {
        let lost = self.dice.below(3);
        let m = &mut self.machines[node];
        if m.store.take().is_none() && !wipe {
            return;
        }
        m.incarnation += 1;
        m.held.clear();
        m.frozen = false;
        // Some of what was not told to be synced may be on disk all the same, in order.
        let mut writes = std::mem::take(&mut m.writes);
        while lost == 0 && !writes.is_empty() {
            if let Some((_, metadata, keys)) = writes.pop_front() {
                persist(m, metadata, keys);
            }
        }
        m.sync_free = 0;
        if wipe {
            m.disk = StoredState::default();
        }
        for token in self.open.iter().filter(|(_, n)| **n == node).map(|(t, _)| *t).collect::<Vec<_>>() {
            self.open.remove(&token);
        }
        for peer in 0..self.machines.len() {
            if peer != node {
                self.tell(peer, node, false);
            }
        }
    }

    fn input(&mut self, node: usize, what: Held) {
        let m = &mut self.machines[node];
        if m.frozen {
            m.held.push(what);
            return;
        }
        let now = self.now + m.offset;
        let Some(store) = &mut m.store else { return };
        match what {
            Held::Message(from, version, message) => store.receive(now, Node(from as u32), version, *message),
            Held::StoredKey(write) => store.write_completed(now, write),
            Held::Room(room) => store.set_disk_has_space(now, room),
            Held::Told(peer, up) => store.set_reachable(now, Node(peer as u32), up),
            Held::Call(token, key, Some(change)) => store.call(now, token, &key, change),
            Held::Call(token, key, None) => store.read(now, token, &key),
        }
        self.drain(node);
    }

    fn drain(&mut self, node: usize) {
        let Some(store) = &mut self.machines[node].store else { return };
        for effect in store.take_effects() {
            match effect {
                Effect::Send { to, version, message } => {
                    self.report.messages += 1;
                    let to = to.0 as usize;
                    let copies = if self.dice.below(1000) < self.loss {
                        0
                    } else {
                        1 + usize::from(self.dice.below(1000) < self.double)
                    };
                    for _ in 0..copies {
                        let mut delay = 200 + self.dice.below(2_000);
                        if self.dice.one_in(self.slow) {
                            delay += self.dice.below(400_000);
                        }
                        let message = Box::new(message.clone());
                        self.at(
                            self.now + delay as Micros,
                            Event::Arrive { from: node, to, version, message },
                        );
                    }
                }
                Effect::Store { write, metadata, keys } => {
                    let mut delay = 300 + self.dice.below(5_000);
                    if self.dice.one_in(self.slow) {
                        delay += self.dice.below(300_000);
                    }
                    let m = &mut self.machines[node];
                    m.writes.push_back((write, metadata, keys));
                    let when = self.now.max(m.sync_free) + delay as Micros;
                    m.sync_free = when;
                    let incarnation = m.incarnation;
                    self.at(when, Event::Synced { node, incarnation, write });
                }
                Effect::Answer { token, verdict } => self.answered(node, token, verdict),
                Effect::Committed { key, revision, value } => {
                    let at = (revision.epoch.round, revision.epoch.owner, revision.sequence);
                    let incarnation = self.machines[node].incarnation;
                    self.history.news.push((key, at, (node, incarnation), value.0));
                }
            }
        }
        let m = &mut self.machines[node];
        if let Some(wake) = m.store.as_ref().and_then(|l| l.next_deadline()).map(|w| w - m.offset) {
            if wake < m.wake {
                m.wake = wake;
                let incarnation = m.incarnation;
                self.at(wake, Event::Wake { node, incarnation });
            }
        }
    }

    fn answered(&mut self, node: usize, token: u64, verdict: CallOutcome<Notes>) {
        if self.open.remove(&token).is_none() {
            self.fail(format!("call {token} answered twice"));
            return;
        }
        let op = &mut self.history.ops[token as usize];
        op.answered = Some(self.now);
        if self.machines[node].last_frozen < op.asked && self.now > op.asked + 801_000 {
            let late = self.now - op.asked;
            self.failure.get_or_insert(format!("call {token} answered after {late} us"));
        }
        op.said = match verdict {
            CallOutcome::Committed { revision, .. } => {
                self.report.done += 1;
                Said::Done((revision.epoch.round, revision.epoch.owner, revision.sequence))
            }
            CallOutcome::Rejected(_) => {
                self.report.refused += 1;
                Said::Refused
            }
            CallOutcome::Value { value, .. } => {
                self.report.reads += 1;
                Said::State(value.0)
            }
            CallOutcome::Unknown => {
                self.report.unsettled += 1;
                Said::Unknown
            }
        };
    }

    fn fail(&mut self, why: String) {
        self.failure.get_or_insert(why);
    }

    pub fn begin(&mut self, node: usize, key: &str, change: Option<Change>) -> Option<u64> {
        self.machines[node].store.as_ref()?;
        let token = self.next_token;
        self.next_token += 1;
        self.report.calls += 1;
        self.open.insert(token, node);
        let items = change.clone().unwrap_or_default();
        let op = Op { key: key.to_owned(), asked: self.now, answered: None, items, said: Said::Nothing };
        self.history.ops.push(op);
        self.input(node, Held::Call(token, key.to_owned(), change));
        Some(token)
    }

    fn operate(&mut self, hand: usize) {
        let node = self.dice.below(self.machines.len() as u64) as usize;
        let key = self.keys[self.dice.below(self.keys.len() as u64) as usize].clone();
        match self.dice.below(10) {
            0..=3 => {
                self.begin(node, &key, None);
            }
            // Again, as it was.
            4 | 5 if !self.recent.is_empty() => {
                let which = self.dice.below(self.recent.len() as u64) as usize;
                let (key, change) = self.recent[which].clone();
                self.begin(node, &key, Some(change));
            }
            _ => {
                self.contents += 1;
                let content = self.contents;
                let mut change = Change::new();
                let first = self.dice.below(4) as u8;
                for item in [first, first + 1] {
                    let last = self.versions.entry((key.clone(), item)).or_default();
                    // One in three races for a version that was tried before.
                    let version = if self.dice.one_in(3) { (*last).max(1) } else { *last + 1 };
                    *last = version;
                    let content = if self.dice.one_in(30) { 0 } else { content };
                    change.push((item, version, content));
                }
                self.recent.push((key.clone(), change.clone()));
                if self.recent.len() > 8 {
                    self.recent.remove(0);
                }
                if self.dice.one_in(3) {
                    let other = self.dice.below(self.machines.len() as u64) as usize;
                    let rival = change.iter().map(|(i, v, _)| (*i, *v, content + 1_000_000)).collect();
                    self.begin(other, &key, Some(rival));
                }
                self.begin(node, &key, Some(change));
            }
        }
        let most = if self.dice.one_in(3) { 10_000 } else { 200_000 };
        let pause = 1_000 + self.dice.below(most);
        if self.now < self.stop {
            self.at(self.now + pause as Micros, Event::Operator { hand });
        }
    }

    fn strike(&mut self) {
        let n = self.machines.len();
        if n > self.replicas && self.dice.one_in(5) {
            return self.strike_long();
        }
        if self.full_disks && self.dice.one_in(4) {
            return self.strike_full();
        }
        let node = self.dice.below(n as u64) as usize;
        let span = 20_000 + self.dice.below(1_500_000) as Micros;
        let met = u64::from(!self.open.is_empty());
        let name = match self.dice.below(10) {
            0 | 1 => {
                self.crash(node, false);
                self.at(self.now + span, Event::Undo(Undo::Restart(node, false)));
                "crash"
            }
            2 => {
                for node in 0..n {
                    self.crash(node, false);
                    let after = self.dice.below(500_000) as Micros;
                    self.at(self.now + after, Event::Undo(Undo::Restart(node, false)));
                }
                "power"
            }
            3 | 4 => {
                if !self.bearable(node) {
                    return;
                }
                self.crash(node, true);
                let after = self.dice.below(200_000) as Micros;
                self.at(self.now + after, Event::Undo(Undo::Restart(node, true)));
                "wipe"
            }
            5 | 6 => {
                let m = &mut self.machines[node];
                if m.frozen || m.store.is_none() {
                    return;
                }
                m.frozen = true;
                self.at(self.now + span * 2, Event::Undo(Undo::Thaw(node)));
                "freeze"
            }
            7 => {
                // Cut off from all, and told so or not.
                let told = self.dice.one_in(2);
                for peer in (0..n).filter(|p| *p != node) {
                    for (a, b) in [(node, peer), (peer, node)] {
                        self.cut_one(a, b, span, told);
                    }
                }
                "cut"
            }
            _ => {
                let peer = self.dice.below(n as u64) as usize;
                if peer == node {
                    return;
                }
                let told = self.dice.one_in(4);
                self.cut_one(node, peer, span, told);
                "one way"
            }
        };
        self.report.met += met;
        *self.report.faults.entry(name).or_default() += 1;
    }

    /// A disk has no room for a while, in which its machine may crash and start again.
    fn strike_full(&mut self) {
        let node = self.dice.below(self.machines.len() as u64) as usize;
        let span = 20_000 + self.dice.below(3_000_000) as Micros;
        let met = u64::from(!self.open.is_empty());
        self.machines[node].full = true;
        self.at(self.now + span, Event::Undo(Undo::Room(node)));
        self.report.met += met;
        *self.report.faults.entry("full").or_default() += 1;
    }

    /// The last replica set that anybody knows of.
    fn replica_set(&self) -> Option<ReplicaSet> {
        let known = |m: &Machine| {
            let disk = m.disk.metadata.as_ref().map(|metadata| metadata.replica_set.clone());
            disk.into_iter()
                .chain(m.store.as_ref().map(|l| l.replica_set().clone()))
                .max_by_key(|r| r.version)
        };
        self.machines.iter().filter_map(known).max_by_key(|r| r.version)
    }

    /// Whether the loss of this disk is one of those that are to be borne: with those that are lost already and not repaired
    /// or replaced yet it is under half, in the last replica set that is in force (more than half of its replicas have it on
    /// disk) and in each that anybody knows of beyond it.
    fn bearable(&self, node: usize) -> bool {
        let mut known: Vec<ReplicaSet> = Vec::new();
        for m in &self.machines {
            known.extend(m.disk.metadata.as_ref().map(|metadata| metadata.replica_set.clone()));
            known.extend(m.store.as_ref().map(|l| l.replica_set().clone()));
        }
        let since = |node: usize, version: u64| {
            let m = &self.machines[node];
            !m.destroyed && m.disk.metadata.as_ref().is_some_and(|k| k.replica_set.version >= version)
        };
        let heartbeat = |r: &&ReplicaSet| {
            r.members.iter().filter(|m| since(m.0 .0 as usize, r.version)).count() * 2 > r.members.len()
        };
        let force = known.iter().filter(heartbeat).map(|r| r.version).max().unwrap_or(0);
        known.retain(|r| r.version >= force.max(1));
        let all = self.machines[..self.replicas].iter().all(|m| m.formatted || m.destroyed);
        let bears = |replica_set: &ReplicaSet| {
            let lost = replica_set.members.iter().filter(|(n, s)| !since(n.0 as usize, *s)).count();
            let target = replica_set.members.iter().find(|(n, _)| n.0 as usize == node);
            lost < (self.replicas - 1) / 2 && target.is_none_or(|(_, s)| since(node, *s))
        };
        all && !known.is_empty() && known.iter().all(bears)
    }

    /// A replica lost for good, or away for longer than is borne.
    fn strike_long(&mut self) {
        let n = self.machines.len();
        let node = self.dice.below(n as u64) as usize;
        let span = 2_000_000 + self.dice.below(6_000_000) as Micros;
        let met = u64::from(!self.open.is_empty());
        let name = match self.dice.below(6) {
            4 | 5 => {
                let m = &mut self.machines[node];
                let (at, incarnation) = (self.now + m.offset, m.incarnation);
                let Some(store) = m.store.as_mut().filter(|_| !m.leaving && !m.frozen) else { return };
                m.leaving = true;
                store.begin_graceful_stop(at);
                self.drain(node);
                self.at(self.now, Event::Undo(Undo::Stops(node, incarnation, self.now + span)));
                "leaves in plan"
            }
            0 | 1 => {
                let replica = |n: usize| self.replica_set().is_none_or(|r| r.contains(Node(n as u32)));
                let lost = (0..n).filter(|n| replica(*n) && self.machines[*n].destroyed).count();
                let spare = (0..n).filter(|n| !replica(*n) && !self.machines[*n].destroyed).count();
                if !replica(node) || spare <= lost || !self.bearable(node) {
                    return;
                }
                self.crash(node, true);
                self.machines[node].destroyed = true;
                "lost for good"
            }
            2 => {
                self.crash(node, false);
                self.at(self.now + span, Event::Undo(Undo::Restart(node, false)));
                "long crash"
            }
            _ => {
                let told = !self.dice.one_in(3);
                let some = self.dice.one_in(3);
                for peer in (0..n).filter(|p| *p != node) {
                    if some && self.dice.one_in(3) {
                        continue;
                    }
                    for (a, b) in [(node, peer), (peer, node)] {
                        self.cut_one(a, b, span, told);
                    }
                }
                "long cut"
            }
        };
        self.report.met += met;
        *self.report.faults.entry(name).or_default() += 1;
    }

    /// It ends as soon as it is needed no more, or its grace is over; then it may be gone for good, if it was replaced.
    fn stops(&mut self, node: usize, incarnation: u64, until: Micros) {
        let m = &self.machines[node];
        let Some(store) = m.store.as_ref().filter(|_| m.incarnation == incarnation) else { return };
        let (still_needed, outside) = (store.still_needed(), store.is_outside());
        if (still_needed || m.frozen) && self.now < until && !self.healing {
            self.at(self.now + 50_000, Event::Undo(Undo::Stops(node, incarnation, until)));
            return;
        }
        let replica = |n: usize| self.replica_set().is_none_or(|r| r.contains(Node(n as u32)));
        let n = self.machines.len();
        let lost = (0..n).filter(|n| replica(*n) && self.machines[*n].destroyed).count();
        let spare = (0..n).filter(|n| !replica(*n) && !self.machines[*n].destroyed).count();
        let ends = !still_needed && outside && !replica(node) && spare > lost + 1;
        self.crash(node, false);
        if ends && self.dice.one_in(2) {
            *self.report.faults.entry("left for good").or_default() += 1;
            self.machines[node].disk = StoredState::default();
            self.machines[node].destroyed = true;
        } else {
            let span = 200_000 + self.dice.below(5_000_000) as Micros;
            self.at(self.now + span, Event::Undo(Undo::Restart(node, false)));
        }
    }

    fn cut_one(&mut self, from: usize, to: usize, span: Micros, told: bool) {
        self.cut[from][to] = true;
        if told {
            self.tell(from, to, false);
            self.tell(to, from, false);
        }
        self.at(self.now + span, Event::Undo(Undo::Heal(from, to)));
    }

    fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Restart(node, _) => self.start(node),
            Undo::Stops(node, incarnation, until) => self.stops(node, incarnation, until),
            Undo::Heal(from, to) => {
                self.cut[from][to] = false;
                if !self.cut[to][from]
                    && self.machines[from].store.is_some()
                    && self.machines[to].store.is_some()
                {
                    self.tell(from, to, true);
                    self.tell(to, from, true);
                }
            }
            Undo::Room(node) => {
                let m = &mut self.machines[node];
                m.full = false;
                let mut last = None;
                for (write, metadata, keys) in std::mem::take(&mut m.writes) {
                    persist(m, metadata, keys);
                    last = Some(write);
                }
                self.input(node, Held::Room(true));
                if let Some(write) = last {
                    self.input(node, Held::StoredKey(write));
                }
            }
            Undo::Thaw(node) => {
                let m = &mut self.machines[node];
                if !std::mem::take(&mut m.frozen) {
                    return;
                }
                m.last_frozen = self.now;
                m.wake = Micros::MAX;
                let held = std::mem::take(&mut m.held);
                if self.dice.one_in(2) {
                    self.tick(node);
                }
                for what in held {
                    self.input(node, what);
                }
                self.tick(node);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        let m = &mut self.machines[node];
        m.wake = Micros::MAX;
        if m.frozen {
            return;
        }
        if let Some(store) = &mut m.store {
            store.tick(self.now + m.offset);
        }
        self.drain(node);
        self.tell_candidates(node);
    }

    /// What nodes say of themselves: whether they are no replicas and could be.
    fn tell_candidates(&mut self, node: usize) {
        let n = self.machines.len();
        if n == self.replicas {
            return;
        }
        for peer in (0..n).filter(|p| *p != node) {
            let leaves = self.machines[peer].leaving;
            let outside = self.machines[peer].store.as_ref().is_some_and(|l| l.is_outside());
            let m = &mut self.machines[node];
            if let Some(store) = &mut m.store {
                store.set_candidate(self.now + m.offset, Node(peer as u32), outside && !leaves);
                store.set_stopping(self.now + m.offset, Node(peer as u32), leaves);
            }
        }
        self.drain(node);
    }

    /// Plays until then.
    pub fn play(&mut self, until: Micros) {
        while let Some(Reverse(Entry(when, ..))) = self.queue.peek() {
            if *when > until || self.failure.is_some() {
                break;
            }
            let Some(Reverse(Entry(when, _, event))) = self.queue.pop() else { break };
            self.now = when;
            match event {
                Event::Arrive { from, to, version, message } => {
                    if !self.cut[from][to] {
                        self.input(to, Held::Message(from, version, message));
                    }
                }
                Event::Synced { node, incarnation, write } => {
                    let m = &mut self.machines[node];
                    if m.incarnation == incarnation && m.full {
                        self.input(node, Held::Room(false));
                    } else if m.incarnation == incarnation {
                        while m.writes.front().is_some_and(|w| w.0 <= write) {
                            if let Some((_, metadata, keys)) = m.writes.pop_front() {
                                persist(m, metadata, keys);
                            }
                        }
                        self.input(node, Held::StoredKey(write));
                    }
                }
                Event::Wake { node, incarnation } => {
                    if self.machines[node].incarnation == incarnation && self.machines[node].wake <= self.now
                    {
                        self.tick(node);
                    }
                }
                Event::Told { node, incarnation, peer, up } => {
                    let m = &self.machines[node];
                    let dead = self.machines[peer].store.is_none();
                    if m.incarnation == incarnation && !(up && dead) && !(self.healing && !up && !dead) {
                        self.input(node, Held::Told(peer, up));
                    }
                }
                Event::Operator { hand } => self.operate(hand),
                Event::Fault => {
                    if self.now < self.stop {
                        self.strike();
                        let most = if self.dice.one_in(3) { 20_000 } else { 900_000 };
                        let next = self.dice.below(most) as Micros;
                        self.at(self.now + next, Event::Fault);
                    }
                }
                Event::Undo(undo) => self.undo(undo),
            }
        }
        self.now = self.now.max(until);
    }

    /// Whether every key is owned by exactly one, and all replicas have its content.
    fn calm(&self) -> bool {
        let Some(replica_set) = self.replica_set() else { return false };
        let replicas: Vec<&Machine> =
            replica_set.members.iter().map(|m| &self.machines[m.0 .0 as usize]).collect();
        let agree =
            |m: &&Machine| m.store.as_ref().is_some_and(|l| l.is_voter() && *l.replica_set() == replica_set);
        !replica_set.joint()
            && replicas.iter().all(agree)
            && self.keys.iter().all(|key| {
                let owners: Vec<Revision> = self
                    .machines
                    .iter()
                    .filter_map(|m| m.store.as_ref())
                    .flat_map(|l| l.owned_keys())
                    .filter(|(k, ..)| k == key)
                    .map(|(_, _, revision)| revision)
                    .collect();
                owners.len() == 1
                    && replicas.iter().all(|m| {
                        m.store.as_ref().is_some_and(|l| {
                            l.is_voter()
                                && l.key_states().iter().any(|s| s.key == *key && s.accepted == owners[0])
                        })
                    })
            })
    }

    /// One whole schedule: faults, then all healed, then the judge.
    pub fn run(mut self) -> Result<Report, String> {
        self.play(self.stop);
        self.healing = true;
        self.loss = 0;
        self.double = 0;
        self.slow = u64::MAX;
        let n = self.machines.len();
        for node in 0..n {
            self.undo(Undo::Room(node));
            if self.machines[node].leaving {
                self.crash(node, false);
            }
            self.start(node);
            self.undo(Undo::Thaw(node));
            for peer in 0..n {
                self.cut[node][peer] = false;
            }
        }
        for node in 0..n {
            for peer in (0..n).filter(|p| *p != node) {
                self.tell(node, peer, true);
            }
        }
        let healed = self.now;
        while !self.calm() && self.failure.is_none() {
            let long = if n > self.replicas { replaces() } else { 0 };
            if self.now > healed + settles(n) + long {
                let states: Vec<_> = self
                    .machines
                    .iter()
                    .filter_map(|m| m.store.as_ref().map(|l| (l.is_voter(), l.replica_set(), l.key_states())))
                    .collect();
                self.fail(format!("not settled after the heal: {states:?}"));
            }
            self.play(self.now + 10_000);
        }
        self.report.replica_sets = self.replica_set().map_or(0, |r| r.version - 1);
        self.report.settled_in = self.now - healed;
        for key in self.keys.clone() {
            for node in 0..n {
                self.contents += 1;
                let content = self.contents;
                let change = vec![(9, u64::from(node as u32) + 1, content)];
                for ask in [Some(change), None] {
                    let Some(token) = self.begin(node, &key, ask) else { continue };
                    let asked = self.now;
                    while self.history.ops[token as usize].answered.is_none() && self.now < asked + 900_000 {
                        self.play(self.now + 1_000);
                    }
                    match self.history.ops[token as usize].said {
                        Said::Done(_) | Said::State(_) => {}
                        _ => {
                            let states: Vec<_> = self
                                .machines
                                .iter()
                                .filter_map(|m| m.store.as_ref().map(|l| l.key_states()))
                                .collect();
                            let op = self.history.ops[token as usize].clone();
                            self.fail(format!("a call after the heal failed: {op:?} at {node}: {states:#?}"));
                        }
                    }
                }
            }
        }
        self.play(self.now + 1_000_000);
        if let Some(token) = self.open.keys().next() {
            self.fail(format!("call {token} was never answered"));
        }
        for m in &self.machines {
            if let Some(store) = &m.store {
                self.report.taken += store.metrics().taken;
                self.report.outlived += store.metrics().outlived;
                if store.metrics().went_back > 0 {
                    self.failure.get_or_insert("a disk that is good was found to have gone back".into());
                }
            }
        }
        if let Some(why) = self.failure {
            return Err(why);
        }
        judge::judge(&self.history)?;
        Ok(self.report)
    }
}

/// After everything is whole again every key is owned and copied everywhere within this: a silent owner is given up, the
/// last in line claims, and one second for what was under way on slow links and disks.
pub fn settles(machines: usize) -> Micros {
    2_500_000 + 400_000 * machines as Micros + 1_000_000
}

/// And where one was lost for good, until it is replaced: it is gone for `GONE`, two steps are proposed, each tried again, and
/// the newcomer is repaired.
pub fn replaces() -> Micros {
    4_000_000 + 6_000_000
}

fn persist(m: &mut Machine, metadata: Option<Metadata>, keys: Vec<StoredKey<Notes>>) {
    if metadata.is_some() {
        m.disk.metadata = metadata;
        m.formatted = true;
    }
    for stored in keys {
        m.disk.keys.retain(|k| k.key != stored.key);
        m.disk.keys.push(stored);
    }
}

/// How many machines a seed's schedule has.
pub fn machines(seed: u64) -> usize {
    match seed % 10 {
        0 => 1,
        1 | 2 => 5,
        _ => 3,
    }
}
