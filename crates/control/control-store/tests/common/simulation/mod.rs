//! A simulation: control stores on links that lose, duplicate and reorder messages, on disks that lose
//! unsynced writes, with callers and faults drawn from a seed, all in simulated time.
//!
//! This file has its state and events, `machine` a single machine, `calls` the callers, `faults` the faults,
//! and `outcome` the end of a run and its checks.

mod calls;
mod faults;
mod machine;
mod outcome;

// Not every test target uses both.
#[allow(unused_imports)]
pub use outcome::{machine_count, Report};

use super::history::History;
use super::notes::{Change, Notes};
use faults::Undo;
use machine::{Input, Machine};
use silvercross_control_store::*;
use silvercross_test_rng::Rng;
use silvercross_time::{Duration, Instant};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub(super) type NotesMessage = Message<Notes, Change>;

enum Event {
    Arrive { from: usize, to: usize, version: u64, message: Box<NotesMessage> },
    Synced { node: usize, run: u64, write: u64 },
    Deadline { node: usize, run: u64 },
    LinkChanged { node: usize, run: u64, peer: usize, is_up: bool },
    Caller { number: usize },
    Fault,
    Undo(Undo),
}

/// An event at its time. Events at the same time are in the order in which they were scheduled.
struct Scheduled {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub struct Simulation {
    now: Instant,
    rng: Rng,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    machines: Vec<Machine>,
    /// The number of initial replicas.
    replicas: usize,
    /// Whether messages from one machine to another are lost.
    cut: Vec<Vec<bool>>,
    /// Lost messages per thousand.
    loss: u64,
    /// Duplicated messages per thousand.
    duplication: u64,
    /// One in this many messages and writes is slow.
    slow_one_in: u64,
    keys: Vec<String>,
    history: History,
    /// The machine of each open call, by token.
    open_calls: BTreeMap<u64, usize>,
    next_token: u64,
    last_content: u64,
    versions: BTreeMap<(String, u8), u64>,
    recent: Vec<(String, Change)>,
    faults_until: Instant,
    is_healing: bool,
    mutation: Option<Mutation>,
    /// Whether faults include full disks.
    pub full_disks: bool,
    report: Report,
    failure: Option<String>,
}

impl Simulation {
    pub fn new(seed: u64, machines: usize, mutation: Option<Mutation>) -> Simulation {
        Simulation::with_spares(seed, machines, 0, mutation)
    }

    /// With machines outside the initial replica set. Replicas may be lost permanently or be away for long.
    pub fn with_spares(seed: u64, replicas: usize, spares: usize, mutation: Option<Mutation>) -> Simulation {
        let machines = replicas + spares;
        let mut rng = Rng::new(seed);
        let keys = (0..1 + rng.below(3)).map(|k| format!("key-{k}")).collect();
        let (loss, duplication, slow_one_in) = (rng.below(100), rng.below(100), 1 + rng.below(200));
        let (shortest, varies) = if spares == 0 { (2, 5_000_000) } else { (6, 24_000_000) };
        let faults_until = Instant::ZERO + Duration::from_secs(shortest) + rng.micros_below(varies);
        let mut simulation = Simulation {
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            scheduled: 0,
            machines: Vec::new(),
            replicas,
            cut: vec![vec![false; machines]; machines],
            loss,
            duplication,
            slow_one_in,
            keys,
            history: History::default(),
            open_calls: BTreeMap::new(),
            next_token: 0,
            last_content: 0,
            versions: BTreeMap::new(),
            recent: Vec::new(),
            faults_until,
            is_healing: false,
            mutation,
            full_disks: false,
            report: Report::default(),
            failure: None,
            rng,
        };
        simulation.start_all();
        simulation
    }

    /// Starts all machines, callers and faults.
    fn start_all(&mut self) {
        for _ in 0..self.cut.len() {
            let clock_offset = self.rng.micros_below(1_000_000_000);
            self.machines.push(Machine::new(clock_offset));
        }
        for node in 0..self.machines.len() {
            self.start(node);
        }
        for number in 0..1 + self.rng.index(4) {
            self.schedule(self.now + Duration::from_micros(1), Event::Caller { number });
        }
        let first = Duration::from_millis(200) + self.rng.micros_below(1_500_000);
        self.schedule(self.now + first, Event::Fault);
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at: at.max(self.now), number: self.scheduled, event }));
    }

    fn fail(&mut self, why: String) {
        self.failure.get_or_insert(why);
    }

    /// Runs until the given time, or until a failure.
    fn run_until(&mut self, until: Instant) {
        while self.failure.is_none() && self.queue.peek().is_some_and(|Reverse(next)| next.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.handle_event(next.event);
        }
        self.now = self.now.max(until);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive { from, to, version, message } => {
                if !self.cut[from][to] {
                    self.input(to, Input::Message { from, version, message });
                }
            }
            Event::Synced { node, run, write } => self.complete_sync(node, run, write),
            Event::Deadline { node, run } => {
                let machine = &self.machines[node];
                if machine.run == run && machine.next_tick <= self.now {
                    self.tick(node);
                }
            }
            Event::LinkChanged { node, run, peer, is_up } => {
                let is_peer_down = self.machines[peer].store.is_none();
                let is_over = if is_up { is_peer_down } else { self.is_healing && !is_peer_down };
                if self.machines[node].run == run && !is_over {
                    self.input(node, Input::LinkChanged { peer, is_up });
                }
            }
            Event::Caller { number } => self.call_at_random(number),
            Event::Fault => {
                if self.now < self.faults_until {
                    self.inject_fault();
                    let at_most = if self.rng.one_in(3) { 20_000 } else { 900_000 };
                    let next = self.now + self.rng.micros_below(at_most);
                    self.schedule(next, Event::Fault);
                }
            }
            Event::Undo(undo) => self.undo(undo),
        }
    }
}
