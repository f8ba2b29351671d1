//! One machine of the simulation: its process, its disk, and the execution of its store's effects.

use super::{Event, NotesMessage, Simulation};
use crate::common::cluster::PendingWrite;
use crate::common::history::{Answer, Commit, Position};
use crate::common::notes::{Change, Notes};
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};
use std::collections::VecDeque;

/// An input to a store.
pub(super) enum Input {
    Message {
        from: usize,
        version: u64,
        message: Box<NotesMessage>,
    },
    WriteCompleted(u64),
    LinkChanged {
        peer: usize,
        is_up: bool,
    },
    DiskHasSpace(bool),
    /// A change, or a read if there is none.
    Call {
        token: u64,
        key: String,
        change: Option<Change>,
    },
}

pub(super) struct Machine {
    /// `None` while the process is down.
    pub(super) store: Option<ControlStore<Notes>>,
    pub(super) disk: StoredState<Notes>,
    pub(super) is_formatted: bool,
    pub(super) writes: VecDeque<PendingWrite>,
    /// Incremented at every start and end of the process.
    pub(super) run: u64,
    pub(super) is_paused: bool,
    /// Inputs received while it was paused.
    pub(super) held_inputs: Vec<Input>,
    pub(super) last_sync: Instant,
    /// Offset of its clock from the simulation's.
    pub(super) clock_offset: Duration,
    pub(super) next_tick: Instant,
    pub(super) last_resumed: Instant,
    /// Lost permanently.
    pub(super) is_destroyed: bool,
    /// The disk has no space: writes stay in flight.
    pub(super) is_disk_full: bool,
    /// It has announced that it is stopping.
    pub(super) is_stopping: bool,
}

impl Machine {
    pub(super) fn new(clock_offset: Duration) -> Machine {
        Machine {
            store: None,
            disk: StoredState::default(),
            is_formatted: false,
            writes: VecDeque::new(),
            run: 0,
            is_paused: false,
            held_inputs: Vec::new(),
            last_sync: Instant::ZERO,
            clock_offset,
            next_tick: Instant::MAX,
            last_resumed: Instant::MIN,
            is_destroyed: false,
            is_disk_full: false,
            is_stopping: false,
        }
    }

    /// Applies the oldest write to the disk, and returns its number.
    pub(super) fn persist_next(&mut self) -> Option<u64> {
        let pending = self.writes.pop_front()?;
        let write = pending.write;
        self.is_formatted |= pending.metadata.is_some();
        pending.persist(&mut self.disk);
        Some(write)
    }
}

impl Simulation {
    pub(super) fn start(&mut self, node: usize) {
        let seed = self.rng.next_u64();
        let machine = &mut self.machines[node];
        if machine.store.is_some() || machine.is_destroyed {
            return;
        }
        machine.run += 1;
        machine.next_tick = Instant::MAX;
        machine.is_paused = false;
        machine.is_stopping = false;
        let config = StartConfig {
            node: Node(node as u32),
            replica_set: (0..self.replicas as u32).map(Node).collect(),
            keys: self.keys.clone(),
            is_first_start: !machine.is_formatted && node < self.replicas,
            seed,
        };
        let now = self.now + machine.clock_offset;
        let mut store = ControlStore::new(now, config, machine.disk.clone());
        #[cfg(feature = "mutants")]
        if let Some(mutation) = self.mutation {
            store.set_mutation(mutation);
        }
        if machine.is_disk_full {
            store.set_disk_has_space(now, false);
        }
        // Values take between one and ten chunks.
        store.set_snapshot_chunk_bytes([10, 33, 100_000][self.loss as usize % 3]);
        machine.store = Some(store);
        self.do_effects(node);
        for peer in 0..self.machines.len() {
            if peer != node && self.machines[peer].store.is_some() {
                self.change_link(node, peer, true);
                self.change_link(peer, node, true);
            }
        }
    }

    /// Reports a link change to a machine after a delay.
    pub(super) fn change_link(&mut self, node: usize, peer: usize, is_up: bool) {
        let delay = Duration::from_millis(1) + self.rng.micros_below(50_000);
        let run = self.machines[node].run;
        self.schedule(self.now + delay, Event::LinkChanged { node, run, peer, is_up });
    }

    pub(super) fn crash(&mut self, node: usize, wipe: bool) {
        let unsynced = self.rng.below(3);
        let machine = &mut self.machines[node];
        if machine.store.take().is_none() && !wipe {
            return;
        }
        machine.run += 1;
        machine.held_inputs.clear();
        machine.is_paused = false;
        // Writes not reported as synced may still be on disk, in order.
        if unsynced == 0 {
            while machine.persist_next().is_some() {}
        }
        machine.writes.clear();
        machine.last_sync = Instant::ZERO;
        if wipe {
            machine.disk = StoredState::default();
        }
        self.open_calls.retain(|_, at| *at != node);
        for peer in 0..self.machines.len() {
            if peer != node {
                self.change_link(peer, node, false);
            }
        }
    }

    /// Passes an input to a store, or holds it while the machine is paused.
    pub(super) fn input(&mut self, node: usize, input: Input) {
        let machine = &mut self.machines[node];
        if machine.is_paused {
            machine.held_inputs.push(input);
            return;
        }
        let now = self.now + machine.clock_offset;
        let Some(store) = &mut machine.store else { return };
        match input {
            Input::Message { from, version, message } => {
                store.receive(now, Node(from as u32), version, *message);
            }
            Input::WriteCompleted(write) => store.write_completed(now, write),
            Input::DiskHasSpace(has_space) => store.set_disk_has_space(now, has_space),
            Input::LinkChanged { peer, is_up } => store.set_reachable(now, Node(peer as u32), is_up),
            Input::Call { token, key, change: Some(change) } => store.call(now, token, &key, change),
            Input::Call { token, key, change: None } => store.read(now, token, &key),
        }
        self.do_effects(node);
    }

    fn do_effects(&mut self, node: usize) {
        let Some(store) = &mut self.machines[node].store else { return };
        for effect in store.take_effects() {
            match effect {
                Effect::Send { to, version, message } => self.send(node, to.0 as usize, version, &message),
                Effect::Store { write, metadata, keys } => {
                    self.store(node, PendingWrite { write, metadata, keys });
                }
                Effect::Answer { token, outcome } => self.record_answer(node, token, outcome),
                Effect::Committed { key, revision, value } => {
                    let publisher = (node, self.machines[node].run);
                    let commit = Commit { key, at: at(revision), publisher, value: value.0 };
                    self.history.commits.push(commit);
                }
            }
        }
        let machine = &mut self.machines[node];
        let deadline = machine.store.as_ref().and_then(|store| store.next_deadline());
        if let Some(deadline) = deadline.map(|deadline| deadline - machine.clock_offset) {
            if deadline < machine.next_tick {
                machine.next_tick = deadline;
                let run = machine.run;
                self.schedule(deadline, Event::Deadline { node, run });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, version: u64, message: &NotesMessage) {
        self.report.messages += 1;
        let is_lost = self.rng.below(1000) < self.loss;
        let copies = if is_lost { 0 } else { 1 + usize::from(self.rng.below(1000) < self.duplication) };
        for _ in 0..copies {
            let mut delay = Duration::from_micros(200) + self.rng.micros_below(2_000);
            if self.rng.one_in(self.slow_one_in) {
                delay += self.rng.micros_below(400_000);
            }
            let message = Box::new(message.clone());
            self.schedule(self.now + delay, Event::Arrive { from, to, version, message });
        }
    }

    fn store(&mut self, node: usize, pending: PendingWrite) {
        let mut delay = Duration::from_micros(300) + self.rng.micros_below(5_000);
        if self.rng.one_in(self.slow_one_in) {
            delay += self.rng.micros_below(300_000);
        }
        let machine = &mut self.machines[node];
        let write = pending.write;
        machine.writes.push_back(pending);
        machine.last_sync = self.now.max(machine.last_sync) + delay;
        let (synced, run) = (machine.last_sync, machine.run);
        self.schedule(synced, Event::Synced { node, run, write });
    }

    /// A sync has completed, or found no space.
    pub(super) fn complete_sync(&mut self, node: usize, run: u64, write: u64) {
        let machine = &mut self.machines[node];
        if machine.run != run {
            return;
        }
        if machine.is_disk_full {
            return self.input(node, Input::DiskHasSpace(false));
        }
        while machine.writes.front().is_some_and(|pending| pending.write <= write) {
            machine.persist_next();
        }
        self.input(node, Input::WriteCompleted(write));
    }

    fn record_answer(&mut self, node: usize, token: u64, outcome: CallOutcome<Notes>) {
        if self.open_calls.remove(&token).is_none() {
            return self.fail(format!("call {token} answered twice"));
        }
        let call = &mut self.history.calls[token as usize];
        call.answered = Some(self.now);
        let took = self.now - call.started;
        let was_paused = self.machines[node].last_resumed >= call.started;
        if !was_paused && took > Duration::from_millis(801) {
            self.failure.get_or_insert(format!("call {token} answered after {took}"));
        }
        call.answer = match outcome {
            CallOutcome::Committed { revision, .. } => {
                self.report.committed += 1;
                Answer::Committed(at(revision))
            }
            CallOutcome::Rejected(_) => {
                self.report.rejected += 1;
                Answer::Rejected
            }
            CallOutcome::Value { value, .. } => {
                self.report.reads += 1;
                Answer::Value(value.0)
            }
            CallOutcome::Unknown => {
                self.report.unknown += 1;
                Answer::Unknown
            }
        };
    }

    pub(super) fn tick(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        machine.next_tick = Instant::MAX;
        if machine.is_paused {
            return;
        }
        if let Some(store) = &mut machine.store {
            store.tick(self.now + machine.clock_offset);
        }
        self.do_effects(node);
        self.announce_membership(node);
    }

    /// Informs a machine which of the others could become replicas and which are stopping.
    fn announce_membership(&mut self, node: usize) {
        let n = self.machines.len();
        if n == self.replicas {
            return;
        }
        for peer in (0..n).filter(|peer| *peer != node) {
            let is_stopping = self.machines[peer].is_stopping;
            let is_outside = self.machines[peer].store.as_ref().is_some_and(|store| store.is_outside());
            let machine = &mut self.machines[node];
            let now = self.now + machine.clock_offset;
            if let Some(store) = &mut machine.store {
                store.set_candidate(now, Node(peer as u32), is_outside && !is_stopping);
                store.set_stopping(now, Node(peer as u32), is_stopping);
            }
        }
        self.do_effects(node);
    }

    /// Starts a graceful stop of the process.
    pub(super) fn begin_graceful_stop(&mut self, node: usize) -> bool {
        let machine = &mut self.machines[node];
        let now = self.now + machine.clock_offset;
        let may_stop = !machine.is_stopping && !machine.is_paused;
        let Some(store) = machine.store.as_mut().filter(|_| may_stop) else { return false };
        machine.is_stopping = true;
        store.begin_graceful_stop(now);
        self.do_effects(node);
        true
    }
}

fn at(revision: Revision) -> Position {
    Position { round: revision.epoch.round, owner: revision.epoch.owner, sequence: revision.sequence }
}
