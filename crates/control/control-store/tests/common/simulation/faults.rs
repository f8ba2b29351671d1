//! Faults of the simulation: crashes, wiped and full disks, pauses, cut links, machines lost permanently or
//! stopped gracefully; and how each ends.

use super::machine::{Input, Machine};
use super::{Event, Simulation};
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};

#[derive(Clone, Copy)]
pub(super) enum Undo {
    Restart(usize),
    Resume(usize),
    Heal {
        from: usize,
        to: usize,
    },
    FreeDisk(usize),
    /// A machine that is stopping gracefully stops, at the latest at this time.
    Stop {
        node: usize,
        run: u64,
        deadline: Instant,
    },
}

impl Simulation {
    fn undo_after(&mut self, span: Duration, undo: Undo) {
        self.schedule(self.now + span, Event::Undo(undo));
    }

    fn count(&mut self, name: &'static str, had_open_calls: bool) {
        self.report.faults_with_open_calls += u64::from(had_open_calls);
        *self.report.faults.entry(name).or_default() += 1;
    }

    pub(super) fn inject_fault(&mut self) {
        let n = self.machines.len();
        let had_open_calls = !self.open_calls.is_empty();
        let name = if n > self.replicas && self.rng.one_in(5) {
            self.inject_long_fault()
        } else if self.full_disks && self.rng.one_in(4) {
            Some(self.fill_disk())
        } else {
            self.inject_short_fault()
        };
        if let Some(name) = name {
            self.count(name, had_open_calls);
        }
    }

    fn inject_short_fault(&mut self) -> Option<&'static str> {
        let n = self.machines.len();
        let node = self.rng.index(n);
        let span = Duration::from_millis(20) + self.rng.micros_below(1_500_000);
        match self.rng.below(10) {
            0 | 1 => {
                self.crash(node, false);
                self.undo_after(span, Undo::Restart(node));
                Some("crash")
            }
            2 => {
                for node in 0..n {
                    self.crash(node, false);
                    let after = self.rng.micros_below(500_000);
                    self.undo_after(after, Undo::Restart(node));
                }
                Some("power")
            }
            3 | 4 => {
                if !self.is_tolerable(node) {
                    return None;
                }
                self.crash(node, true);
                let after = self.rng.micros_below(200_000);
                self.undo_after(after, Undo::Restart(node));
                Some("wipe")
            }
            5 | 6 => {
                let machine = &mut self.machines[node];
                if machine.is_paused || machine.store.is_none() {
                    return None;
                }
                machine.is_paused = true;
                self.undo_after(span * 2, Undo::Resume(node));
                Some("pause")
            }
            7 => {
                // Cut off from all others, with or without being told.
                let is_known = self.rng.one_in(2);
                for peer in (0..n).filter(|peer| *peer != node) {
                    self.cut_link(node, peer, span, is_known);
                    self.cut_link(peer, node, span, is_known);
                }
                Some("cut")
            }
            _ => {
                let peer = self.rng.index(n);
                if peer == node {
                    return None;
                }
                let is_known = self.rng.one_in(4);
                self.cut_link(node, peer, span, is_known);
                Some("one way")
            }
        }
    }

    /// A disk has no space for a while, during which its machine may crash and restart.
    fn fill_disk(&mut self) -> &'static str {
        let node = self.rng.index(self.machines.len());
        let span = Duration::from_millis(20) + self.rng.micros_below(3_000_000);
        self.machines[node].is_disk_full = true;
        self.undo_after(span, Undo::FreeDisk(node));
        "full"
    }

    /// A replica is lost permanently, or is away long enough to be replaced.
    fn inject_long_fault(&mut self) -> Option<&'static str> {
        let n = self.machines.len();
        let node = self.rng.index(n);
        let span = Duration::from_secs(2) + self.rng.micros_below(6_000_000);
        match self.rng.below(6) {
            4 | 5 => {
                let run = self.machines[node].run;
                if !self.begin_graceful_stop(node) {
                    return None;
                }
                let stop = Undo::Stop { node, run, deadline: self.now + span };
                self.undo_after(Duration::ZERO, stop);
                Some("graceful stop")
            }
            0 | 1 => {
                let (lost, spare) = self.lost_and_spare();
                if !self.is_replica(node) || spare <= lost || !self.is_tolerable(node) {
                    return None;
                }
                self.crash(node, true);
                self.machines[node].is_destroyed = true;
                Some("permanent loss")
            }
            2 => {
                self.crash(node, false);
                self.undo_after(span, Undo::Restart(node));
                Some("long crash")
            }
            _ => {
                let is_known = !self.rng.one_in(3);
                let keeps_some_links = self.rng.one_in(3);
                for peer in (0..n).filter(|peer| *peer != node) {
                    if keeps_some_links && self.rng.one_in(3) {
                        continue;
                    }
                    self.cut_link(node, peer, span, is_known);
                    self.cut_link(peer, node, span, is_known);
                }
                Some("long cut")
            }
        }
    }

    fn cut_link(&mut self, from: usize, to: usize, span: Duration, is_known: bool) {
        self.cut[from][to] = true;
        if is_known {
            self.change_link(from, to, false);
            self.change_link(to, from, false);
        }
        self.undo_after(span, Undo::Heal { from, to });
    }

    /// The latest replica set known to any machine.
    pub(super) fn replica_set(&self) -> Option<ReplicaSet> {
        self.machines.iter().flat_map(known_replica_sets).max_by_key(|set| set.version)
    }

    fn is_replica(&self, node: usize) -> bool {
        self.replica_set().is_none_or(|set| set.contains(Node(node as u32)))
    }

    /// The numbers of permanently lost replicas and of usable machines outside the replica set.
    fn lost_and_spare(&self) -> (usize, usize) {
        let n = self.machines.len();
        let lost = (0..n).filter(|node| self.is_replica(*node) && self.machines[*node].is_destroyed).count();
        let spare =
            (0..n).filter(|node| !self.is_replica(*node) && !self.machines[*node].is_destroyed).count();
        (lost, spare)
    }

    /// Whether a machine's disk holds a replica set of this version or later.
    fn is_replica_on_disk_since(&self, node: usize, version: u64) -> bool {
        let machine = &self.machines[node];
        let metadata = machine.disk.metadata.as_ref().filter(|_| !machine.is_destroyed);
        metadata.is_some_and(|metadata| metadata.replica_set.version >= version)
    }

    /// Whether the loss of this disk has to be tolerated: together with disks already lost and not yet
    /// repaired or replaced it is a minority, both of the latest replica set in force (one that a majority of
    /// its replicas has on disk) and of each later one that is known to any machine.
    fn is_tolerable(&self, node: usize) -> bool {
        let mut known: Vec<ReplicaSet> = self.machines.iter().flat_map(known_replica_sets).collect();
        let is_in_force = |set: &&ReplicaSet| {
            let on_disk = |m: &&Member| self.is_replica_on_disk_since(m.node.0 as usize, set.version);
            set.members.iter().filter(on_disk).count() * 2 > set.members.len()
        };
        let in_force = known.iter().filter(is_in_force).map(|set| set.version).max().unwrap_or(0);
        known.retain(|set| set.version >= in_force.max(1));
        let all_started = self.machines[..self.replicas].iter().all(|m| m.is_formatted || m.is_destroyed);
        let is_tolerated = |set: &ReplicaSet| {
            let has_disk = |m: &Member| self.is_replica_on_disk_since(m.node.0 as usize, m.joined_in);
            let lost = set.members.iter().filter(|member| !has_disk(member)).count();
            let target = set.members.iter().find(|member| member.node.0 as usize == node);
            lost < (self.replicas - 1) / 2 && target.is_none_or(has_disk)
        };
        all_started && !known.is_empty() && known.iter().all(is_tolerated)
    }

    pub(super) fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Restart(node) => self.start(node),
            Undo::Stop { node, run, deadline } => self.stop(node, run, deadline),
            Undo::Heal { from, to } => {
                self.cut[from][to] = false;
                let are_up = self.machines[from].store.is_some() && self.machines[to].store.is_some();
                if !self.cut[to][from] && are_up {
                    self.change_link(from, to, true);
                    self.change_link(to, from, true);
                }
            }
            Undo::FreeDisk(node) => self.free_disk(node),
            Undo::Resume(node) => self.resume(node),
        }
    }

    fn free_disk(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        machine.is_disk_full = false;
        let mut last = None;
        while let Some(write) = machine.persist_next() {
            last = Some(write);
        }
        self.input(node, Input::DiskHasSpace(true));
        if let Some(write) = last {
            self.input(node, Input::WriteCompleted(write));
        }
    }

    fn resume(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        if !std::mem::take(&mut machine.is_paused) {
            return;
        }
        machine.last_resumed = self.now;
        machine.next_tick = Instant::MAX;
        let held_inputs = std::mem::take(&mut machine.held_inputs);
        if self.rng.one_in(2) {
            self.tick(node);
        }
        for input in held_inputs {
            self.input(node, input);
        }
        self.tick(node);
    }

    /// The machine stops when it is no longer needed, or at the deadline. It may then be lost permanently, if
    /// it was replaced.
    fn stop(&mut self, node: usize, run: u64, deadline: Instant) {
        let machine = &self.machines[node];
        let Some(store) = machine.store.as_ref().filter(|_| machine.run == run) else { return };
        let (is_needed, is_outside) = (store.is_still_needed(), store.is_outside());
        if (is_needed || machine.is_paused) && self.now < deadline && !self.is_healing {
            return self.undo_after(Duration::from_millis(50), Undo::Stop { node, run, deadline });
        }
        let (lost, spare) = self.lost_and_spare();
        let may_be_destroyed = !is_needed && is_outside && !self.is_replica(node) && spare > lost + 1;
        self.crash(node, false);
        if may_be_destroyed && self.rng.one_in(2) {
            *self.report.faults.entry("permanent departure").or_default() += 1;
            self.machines[node].disk = StoredState::default();
            self.machines[node].is_destroyed = true;
        } else {
            let span = Duration::from_millis(200) + self.rng.micros_below(5_000_000);
            self.undo_after(span, Undo::Restart(node));
        }
    }
}

/// The replica sets that a machine knows, on its disk and in memory.
fn known_replica_sets(machine: &Machine) -> impl Iterator<Item = ReplicaSet> {
    let on_disk = machine.disk.metadata.as_ref().map(|metadata| metadata.replica_set.clone());
    let in_memory = machine.store.as_ref().map(|store| store.replica_set().clone());
    on_disk.into_iter().chain(in_memory)
}
