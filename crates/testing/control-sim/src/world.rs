//! Machines in simulated time, and what their deciders want done.

use crate::dice::Dice;
use crate::event::{Entry, Event};
use crate::items::Items;
use crate::judge::{History, Life};
use crate::machine::Machine;
use crate::network::{Connection, Parcel};
use crate::operators::Operators;
use crate::schedule::Report;
use silvercross_control_store as control;
use silvercross_control_store::{ControlStore, Mutation};
use silvercross_mesh_membership::{Membership, Node};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds of the world's time.
pub type Micros = i64;

/// What a machine tells all others of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Body {
    /// Of a control machine: the replicas, as it knows them.
    pub roster: Vec<u32>,
    /// It stops.
    pub leaving: bool,
}

/// Between two looks at whether what a machine tells of itself is still so.
pub(crate) const LOOK: Micros = 300_000;

/// What there is in a world.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control machines that are replicas from the start.
    pub replicas: usize,
    /// Control machines that are none yet.
    pub spares: usize,
    /// Sidecars.
    pub sidecars: usize,
    /// Keys.
    pub keys: usize,
    /// Datagrams lost, of 1,000.
    pub loss: u64,
    /// One parcel in so many is late.
    pub slow: u64,
    /// Bytes of a value that go in one piece.
    pub piece: usize,
    /// Which rule of the control stores is broken on purpose.
    pub broken: Option<Mutation>,
    /// Which rule of readiness is broken on purpose.
    pub unready: Option<silvercross_mesh_membership::Mutation>,
}

impl Plan {
    /// A quiet world: three replicas, and so many spare machines and sidecars.
    pub fn quiet(spares: usize, sidecars: usize) -> Plan {
        let (loss, slow, piece) = (0, u64::MAX, 100_000);
        let (broken, unready) = (None, None);
        Plan { replicas: 3, spares, sidecars, keys: 1, loss, slow, piece, broken, unready }
    }
}

/// All of it.
pub struct World {
    /// The time.
    pub now: Micros,
    /// Control machines first, then sidecars.
    pub machines: Vec<Machine>,
    /// What there is.
    pub plan: Plan,
    /// From where nothing gets where.
    pub cut: Vec<Vec<bool>>,
    /// What was seen.
    pub history: History,
    /// Counters.
    pub report: Report,
    /// The first thing that went wrong.
    pub failure: Option<String>,
    pub(crate) dice: Dice,
    pub(crate) connections: BTreeMap<u64, Connection>,
    pub(crate) operators: Operators,
    pub(crate) number: u64,
    pub(crate) loss: u64,
    pub(crate) slow: u64,
    pub(crate) stop: Micros,
    pub(crate) healed: bool,
    /// Faults and their ends, starts, replica sets and owners are printed.
    pub trace: bool,
    queue: BinaryHeap<Reverse<Entry>>,
}

impl World {
    /// Nothing runs yet.
    pub fn new(seed: u64, plan: Plan) -> World {
        let mut dice = Dice(seed);
        let cores = plan.replicas + plan.spares;
        let all = cores + plan.sidecars;
        let mut machines = Vec::new();
        for node in 0..all {
            let core = node < cores;
            let (id, zone) = if core { (1 + node, node) } else { (101 + node - cores, node - cores) };
            let mut machine = Machine::new(id as u32, zone % 3, core, dice.between(0, 1_000_000_000));
            machine.seeds = (0..plan.replicas).collect();
            machines.push(machine);
        }
        World {
            now: 0,
            machines,
            cut: vec![vec![false; all]; all],
            history: History::default(),
            report: Report::default(),
            failure: None,
            connections: BTreeMap::new(),
            operators: Operators::default(),
            number: 0,
            loss: plan.loss,
            slow: plan.slow,
            stop: Micros::MAX,
            healed: false,
            trace: false,
            queue: BinaryHeap::new(),
            dice,
            plan,
        }
    }

    /// Control machines.
    pub fn cores(&self) -> usize {
        self.plan.replicas + self.plan.spares
    }

    pub(crate) fn at(&mut self, when: Micros, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Entry(when.max(self.now), self.number, event)));
    }

    /// What a machine's monotonic clock says.
    pub(crate) fn local(&self, node: usize) -> Micros {
        self.now + self.machines[node].offset
    }

    pub(crate) fn note(&self, what: impl FnOnce() -> String) {
        if self.trace {
            println!("{:>10.6} {}", self.now as f64 / 1e6, what());
        }
    }

    pub(crate) fn fail(&mut self, why: String) {
        self.failure.get_or_insert(why);
    }

    pub(crate) fn index(&self, id: u32) -> Option<usize> {
        let place = if id > 100 { self.cores() + id as usize - 101 } else { (id as usize).checked_sub(1)? };
        (place < self.machines.len()).then_some(place)
    }

    /// A process starts.
    pub fn start(&mut self, node: usize) {
        let (now, seed) = (self.local(node), self.dice.draw());
        let replicas: Vec<u32> = (0..self.plan.replicas).map(|core| 1 + core as u32).collect();
        let seeds: Vec<u32> = self.machines[node].seeds.iter().map(|core| 1 + *core as u32).collect();
        let keys = (0..self.plan.keys).map(key_name).collect();
        let holds = node < self.plan.replicas;
        let (broken, unready, piece) = (self.plan.broken, self.plan.unready, self.plan.piece);
        let machine = &mut self.machines[node];
        if machine.runs() || machine.destroyed {
            return;
        }
        machine.incarnation += 1;
        let formatted = machine.storage.disk.metadata.is_some();
        machine.on = true;
        machine.frozen = false;
        machine.leaving = false;
        machine.wake = Micros::MAX;
        machine.looked = now;
        machine.revisions.clear();
        machine.life = self.history.lives.len();
        let start = silvercross_mesh_membership::MembershipConfig {
            local_node: Node(machine.id),
            zone: ["a", "b", "c"][machine.zone].to_string(),
            is_control: machine.core,
            seeds: seeds.into_iter().map(Node).collect(),
            incarnation: now as u64,
            random_seed: seed,
        };
        machine.confirms.clear();
        let membership = Membership::new(now, start, Body { roster: Vec::new(), leaving: false });
        machine.membership = Some(unready_on_purpose(membership, unready));
        if machine.core {
            let start = control::Start {
                me: control::Node(machine.id),
                replica_set: replicas.into_iter().map(control::Node).collect(),
                keys,
                fresh: holds && !machine.storage.formatted,
                seed,
            };
            let mut store = ControlStore::new(now, start, machine.storage.disk.clone());
            store.set_snapshot_chunk_bytes(piece);
            if machine.storage.full {
                store.set_disk_has_space(now, false);
            }
            machine.store = Some(broken_on_purpose(store, broken));
        }
        let (core, start) = (machine.core, self.now);
        self.report.starts[usize::from(!core)] += 1;
        self.note(|| format!("start {node}, disk {formatted}"));
        self.history.lives.push(Life { node, core, start, took: Vec::new(), ready: None });
        self.pump(node);
    }

    /// A process ends; `power`: without a word to anybody.
    pub fn crash(&mut self, node: usize, power: bool) {
        self.note(|| format!("crash {node}, power {power}"));
        if self.machines[node].runs() {
            let links = std::mem::take(&mut self.machines[node].links);
            for (_, connections) in links.into_iter().filter(|_| !power) {
                for connection in connections {
                    self.post(connection, node, Parcel::End);
                }
            }
        }
        let machine = &mut self.machines[node];
        machine.on = !power;
        if !machine.runs() {
            return;
        }
        machine.membership = None;
        machine.store = None;
        machine.frozen = false;
        machine.held.clear();
        machine.incarnation += 1;
        machine.storage.interrupted(power, &mut self.dice);
        self.operators_lose(node);
    }

    /// A machine stands still.
    pub fn freeze(&mut self, node: usize) {
        self.note(|| format!("freeze {node}"));
        self.machines[node].frozen = self.machines[node].runs();
    }

    /// It goes on, with all that came meanwhile.
    pub fn thaw(&mut self, node: usize) {
        self.note(|| format!("thaw {node}"));
        let machine = &mut self.machines[node];
        if !std::mem::take(&mut machine.frozen) {
            return;
        }
        machine.woken = self.now;
        machine.wake = Micros::MAX;
        let held = std::mem::take(&mut machine.held);
        // Its clock or what came is looked at first.
        if self.dice.one_in(2) {
            self.tick(node);
        }
        for event in held {
            self.handle(event);
        }
        self.tick(node);
    }

    /// A control machine's disk has room again: what was under way is synced.
    pub fn make_room(&mut self, node: usize) {
        let now = self.local(node);
        let machine = &mut self.machines[node];
        if !std::mem::take(&mut machine.storage.full) {
            return;
        }
        let last = machine.storage.pending.back().map(|write| write.number);
        machine.storage.synced(last.unwrap_or(0));
        let Some(store) = &mut machine.store else { return };
        store.set_disk_has_space(now, true);
        if let Some(last) = last {
            store.write_completed(now, last);
        }
        self.pump(node);
    }

    /// Nothing gets from one to the other any more, or does again.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if from.max(to) < self.cores() && from != to && self.cut[from][to] != cut {
            self.note(|| format!("{} {from} to {to}", if cut { "cut" } else { "heal" }));
        }
        if from != to && std::mem::replace(&mut self.cut[from][to], cut) && !cut {
            self.released(from, to);
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.local(node);
        let machine = &mut self.machines[node];
        machine.wake = Micros::MAX;
        if let Some(membership) = &mut machine.membership {
            membership.tick(now);
        }
        if let Some(store) = &mut machine.store {
            store.tick(now);
        }
        if now - machine.looked >= LOOK {
            machine.looked = now;
            self.tell(node);
        }
        self.pump(node);
    }

    /// Plays until then.
    pub fn play(&mut self, until: Micros) {
        while self.queue.peek().is_some_and(|first| first.0 .0 <= until) && self.failure.is_none() {
            let Some(Reverse(Entry(when, _, event))) = self.queue.pop() else { break };
            self.now = when;
            self.handle(event);
        }
        self.now = self.now.max(until);
    }

    /// Plays for so long.
    pub fn run(&mut self, span: Micros) {
        self.play(self.now + span);
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = event.at_machine().filter(|node| self.machines[*node].frozen) {
            return self.machines[node].held.push(event);
        }
        let same = |world: &World, node: usize, incarnation| world.machines[node].incarnation == incarnation;
        match event {
            Event::Dial { from, incarnation, to } => self.dialled(from, incarnation, to),
            Event::Failed { node, incarnation, peer }
                if same(self, node, incarnation) && !self.machines[node].links.contains_key(&peer) =>
            {
                self.down(node, peer);
                self.pump(node);
            }
            Event::Up { node, incarnation, peer, connection } => {
                if same(self, node, incarnation) {
                    self.up(node, peer, connection);
                    self.pump(node);
                } else if self.machines[node].on {
                    self.post(connection, node, Parcel::End);
                }
            }
            Event::Arrive { from, to, connection, parcel } => self.arrived(from, to, connection, *parcel),
            Event::Datagram { from, to, datagram } => {
                let (now, from) = (self.local(to), Node(self.machines[from].id));
                if let Some(membership) = &mut self.machines[to].membership {
                    membership.receive_datagram(now, from, datagram);
                    self.pump(to);
                }
            }
            Event::Tried { node, incarnation, about, ok } if same(self, node, incarnation) => {
                let (now, about) = (self.local(node), Node(self.machines[about].id));
                if let Some(membership) = &mut self.machines[node].membership {
                    membership.probe_finished(now, about, ok);
                    self.pump(node);
                }
            }
            Event::Synced { node, incarnation, write } if same(self, node, incarnation) => {
                let now = self.local(node);
                let machine = &mut self.machines[node];
                let Some(store) = &mut machine.store else { return };
                if machine.storage.full {
                    store.set_disk_has_space(now, false);
                } else {
                    machine.storage.synced(write);
                    store.write_completed(now, write);
                }
                self.pump(node);
            }
            Event::Wake { node, incarnation }
                if same(self, node, incarnation) && self.machines[node].wake <= self.now =>
            {
                self.tick(node);
            }
            Event::Call { node, incarnation, token } if same(self, node, incarnation) => {
                self.call_arrives(node, token);
            }
            Event::Operator(hand) => self.operate(hand),
            Event::Patience(token) => self.give_up(token),
            Event::Fault => self.strike(),
            Event::Undo(undo) => self.undo(undo),
            _ => {}
        }
    }

    fn arrived(&mut self, from: usize, to: usize, connection: u64, parcel: Parcel) {
        let known = self.machines[to].links.get(&from).is_some_and(|all| all.contains(&connection));
        if !known {
            if self.machines[to].on && !matches!(parcel, Parcel::End) {
                self.post(connection, to, Parcel::End);
            }
            return;
        }
        let (now, id) = (self.local(to), self.machines[from].id);
        let machine = &mut self.machines[to];
        match parcel {
            Parcel::Round(letter) => {
                if let Some(membership) = &mut machine.membership {
                    membership.receive(now, Node(id), letter);
                }
            }
            Parcel::Store(version, message) => {
                if let Some(store) = &mut machine.store {
                    store.receive(now, control::Node(id), version, message);
                }
            }
            Parcel::End => self.ended(to, from, connection),
        }
        self.pump(to);
    }
}

/// What a key is called.
pub fn key_name(key: usize) -> String {
    format!("key-{key}")
}

#[allow(unused_mut, unused_variables)]
fn broken_on_purpose(mut store: ControlStore<Items>, broken: Option<Mutation>) -> ControlStore<Items> {
    #[cfg(feature = "mutants")]
    if let Some(broken) = broken {
        store.set_mutation(broken);
    }
    store
}

#[allow(unused_mut, unused_variables)]
fn unready_on_purpose(
    mut membership: Membership<Body>,
    broken: Option<silvercross_mesh_membership::Mutation>,
) -> Membership<Body> {
    #[cfg(feature = "mutants")]
    if let Some(broken) = broken {
        membership.set_mutation(broken);
    }
    membership
}
