//! The faults that are drawn, and their end.

use crate::event::Event;
use crate::machine::Machine;
use crate::world::{Micros, World};
use silvercross_control_store::{Node, ReplicaSet};
use silvercross_mesh_membership as membership;

/// How a fault ends.
#[derive(Clone, Debug)]
pub enum Undo {
    /// The process starts (again).
    Start(usize),
    /// It no longer stands still.
    Thaw(usize),
    /// These directions are open again.
    Heal(Vec<(usize, usize)>),
    /// The process that was told to stop signs off; no sooner than at the last while it is still wanted as a replica.
    #[allow(missing_docs)]
    SignOff { node: usize, incarnation: u64, last: Micros },
    /// The process that was told to stop ends, and if so the machine is lost for good.
    #[allow(missing_docs)]
    End { node: usize, incarnation: u64, for_good: bool },
    /// It may ask all control machines again.
    Seeds(usize),
    /// Its disk has room again.
    Room(usize),
}

impl World {
    fn later(&mut self, span: Micros, undo: Undo) {
        self.at(self.now + span, Event::Undo(undo));
    }

    /// A fault ends. After the heal all have ended.
    pub(crate) fn undo(&mut self, undo: Undo) {
        if self.healed {
            return;
        }
        match undo {
            Undo::Start(node) => self.start(node),
            Undo::Thaw(node) => self.thaw(node),
            Undo::Heal(pairs) => pairs.into_iter().for_each(|(from, to)| self.set_cut(from, to, false)),
            Undo::SignOff { node, incarnation, last } => self.sign_off(node, incarnation, last),
            Undo::End { node, incarnation, for_good } if self.machines[node].incarnation == incarnation => {
                // Another disk may have been lost since it was told to go.
                let bears = for_good && self.replaceable(node) && self.bearable(node);
                self.crash(node, false);
                if for_good && !bears {
                    self.start(node);
                }
                if bears {
                    self.machines[node].storage.wiped();
                    self.machines[node].destroyed = true;
                }
            }
            Undo::End { .. } => {}
            // Not while it stands still: it hears of it when it goes on.
            Undo::Room(node) if self.machines[node].frozen => self.later(50_000, Undo::Room(node)),
            Undo::Room(node) => self.make_room(node),
            Undo::Seeds(node) => {
                let all = (0..self.cores()).collect();
                self.reseed(node, all);
            }
        }
    }

    fn sign_off(&mut self, node: usize, incarnation: u64, last: Micros) {
        let now = self.local(node);
        let machine = &mut self.machines[node];
        if machine.incarnation != incarnation {
            return;
        }
        let wanted = machine.store.as_ref().is_some_and(|store| store.still_needed());
        if (machine.frozen || wanted) && self.now < last {
            return self.later(20_000, Undo::SignOff { node, incarnation, last });
        }
        if let Some(membership) = machine.membership.as_mut().filter(|_| !machine.frozen) {
            membership.leave(now);
            self.pump(node);
        }
    }

    /// A machine's configuration names other control machines to ask.
    pub fn reseed(&mut self, node: usize, seeds: Vec<usize>) {
        let now = self.local(node);
        let ids: Vec<membership::Node> =
            seeds.iter().map(|core| membership::Node(self.machines[*core].id)).collect();
        self.machines[node].seeds = seeds;
        if self.machines[node].frozen {
            return;
        }
        if let Some(membership) = &mut self.machines[node].membership {
            membership.set_seeds(now, &ids);
            self.pump(node);
        }
    }

    /// A machine is told to stop in plan: it says so, stays while it is wanted, signs off, and ends when the grace is over.
    pub fn leave(&mut self, node: usize, grace: Micros, for_good: bool) {
        if self.machines[node].frozen || !self.machines[node].runs() {
            return;
        }
        self.note(|| format!("{node} is told to stop"));
        self.machines[node].leaving = true;
        self.tell(node);
        let now = self.local(node);
        if let Some(store) = &mut self.machines[node].store {
            store.begin_graceful_stop(now);
        }
        self.pump(node);
        let last = self.now + grace - 100_000;
        let incarnation = self.machines[node].incarnation;
        self.later(20_000, Undo::SignOff { node, incarnation, last });
        self.later(grace, Undo::End { node, incarnation, for_good });
    }

    /// Nothing gets from any of these to any of those, and back if so.
    pub fn cut_between(&mut self, these: &[usize], those: &[usize], both: bool) -> Vec<(usize, usize)> {
        let mut pairs = Vec::new();
        for a in these {
            for b in those.iter().filter(|b| *b != a) {
                pairs.push((*a, *b));
                if both {
                    pairs.push((*b, *a));
                }
            }
        }
        pairs.iter().for_each(|(from, to)| self.set_cut(*from, *to, true));
        pairs
    }

    /// How long a fault lasts.
    fn span(&mut self) -> Micros {
        match self.dice.below(6) {
            0 => self.dice.between(2_000_000, 9_000_000),
            1 => self.dice.between(10_000, 100_000),
            _ => self.dice.between(100_000, 2_500_000),
        }
    }

    /// The next fault, and the one after it.
    pub(crate) fn strike(&mut self) {
        if self.now >= self.stop {
            return;
        }
        let met = self.any_open();
        let name = match self.dice.below(21) {
            20 => self.strike_full(),
            0..=2 => self.strike_crash(),
            3 => self.strike_power(),
            4 | 5 => self.strike_wipe(),
            6 | 7 => self.strike_freeze(),
            8..=12 => self.strike_cut(),
            13 => self.strike_for_good(),
            14 => self.strike_leave(),
            15 => self.strike_seeds(),
            _ => self.strike_sidecar(),
        };
        if let Some(name) = name {
            self.note(|| format!("that was: {name}"));
            *self.report.faults.entry(name).or_default() += 1;
            self.report.met += u64::from(met);
            let joint = self.newest_replica_set().is_some_and(|set| set.joint());
            self.report.met_joint += u64::from(joint);
        }
        let most = if self.dice.one_in(3) { 50_000 } else { 1_200_000 };
        let next = self.dice.between(0, most);
        self.at(self.now + next, Event::Fault);
    }

    fn strike_crash(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.cores());
        let power = self.dice.one_in(3);
        let span = self.span();
        self.crash(node, power);
        self.later(span, Undo::Start(node));
        Some(if power { "power lost" } else { "crash" })
    }

    fn strike_power(&mut self) -> Option<&'static str> {
        // Of all, or of all but one.
        let spared = self.dice.one_in(2).then(|| self.dice.index(self.cores()));
        for node in (0..self.cores()).filter(|node| Some(*node) != spared) {
            self.crash(node, true);
            let span = self.dice.between(0, 1_000_000);
            self.later(span, Undo::Start(node));
        }
        Some(if spared.is_some() { "power of all others" } else { "power of all" })
    }

    fn strike_wipe(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.cores());
        if !self.bearable(node) {
            return None;
        }
        self.crash(node, true);
        self.note(|| format!("wipe {node}"));
        self.machines[node].storage.wiped();
        let span = self.dice.between(0, 300_000);
        self.later(span, Undo::Start(node));
        Some("wipe")
    }

    fn strike_freeze(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.machines.len());
        if self.machines[node].frozen || !self.machines[node].runs() {
            return None;
        }
        let span = self.span();
        self.freeze(node);
        self.later(span, Undo::Thaw(node));
        Some("freeze")
    }

    fn strike_cut(&mut self) -> Option<&'static str> {
        let (cores, all) = (self.cores(), self.machines.len());
        let both = !self.dice.one_in(3);
        let (span, node) = (self.span(), self.dice.index(cores));
        let (these, those, name): (Vec<usize>, Vec<usize>, _) = match self.dice.below(5) {
            0 => (vec![node], (0..cores).collect(), "cut from the control machines"),
            1 => (vec![node], (0..all).collect(), "cut from all"),
            2 => {
                // With some sidecars on its side.
                let mut side = vec![node];
                side.extend((cores..all).filter(|_| self.dice.one_in(2)));
                let rest = (0..all).filter(|other| !side.contains(other)).collect();
                (side, rest, "cut off together with sidecars")
            }
            3 => (vec![node], vec![self.dice.index(all)], "cut of a pair"),
            _ => {
                let sidecar = self.dice.between(cores as i64, all as i64) as usize;
                (vec![sidecar], (0..cores).filter(|_| self.dice.one_in(2)).collect(), "sidecar cut")
            }
        };
        let (these, those) = if self.dice.one_in(2) { (these, those) } else { (those, these) };
        let pairs = self.cut_between(&these, &those, both);
        if self.dice.one_in(6) {
            self.freeze(node);
            self.later(span, Undo::Thaw(node));
        }
        self.later(span, Undo::Heal(pairs));
        Some(name)
    }

    fn strike_full(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.cores());
        let span = self.span();
        self.note(|| format!("the disk of {node} is full"));
        self.machines[node].storage.full = true;
        self.later(span, Undo::Room(node));
        Some("disk full")
    }

    fn strike_for_good(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.cores());
        if !self.replaceable(node) || !self.bearable(node) {
            return None;
        }
        self.crash(node, true);
        self.machines[node].storage.wiped();
        self.machines[node].destroyed = true;
        Some("lost for good")
    }

    fn strike_leave(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.cores());
        let grace = self.dice.between(200_000, 3_500_000);
        let for_good = self.dice.one_in(2) && self.replaceable(node) && self.bearable(node);
        self.leave(node, grace, for_good);
        if !for_good {
            let span = self.span();
            self.later(grace + 100_000 + span, Undo::Start(node));
        }
        Some("planned leave")
    }

    fn strike_seeds(&mut self) -> Option<&'static str> {
        let node = self.dice.index(self.machines.len());
        let cut: Vec<usize> = (0..self.cores())
            .filter(|core| self.cut[*core].contains(&true) || self.machines[*core].frozen)
            .collect();
        if cut.is_empty() {
            return None;
        }
        let seeds = vec![cut[self.dice.index(cut.len())]];
        self.reseed(node, seeds);
        let span = self.span();
        self.later(span, Undo::Seeds(node));
        Some("seeds that are cut off")
    }

    fn strike_sidecar(&mut self) -> Option<&'static str> {
        let (cores, all) = (self.cores(), self.machines.len());
        let node = self.dice.between(cores as i64, all as i64) as usize;
        let seeds = 1 + self.dice.index(2);
        let span = self.span();
        let drawn = (0..seeds).map(|_| self.dice.index(cores)).collect();
        self.machines[node].seeds = drawn;
        if self.dice.one_in(4) {
            self.leave(node, 500_000, false);
            self.later(700_000 + span, Undo::Start(node));
            return Some("sidecar leaves");
        }
        let power = self.dice.one_in(4);
        self.crash(node, power);
        self.later(span, Undo::Start(node));
        Some("sidecar restart")
    }

    /// The last replica set that anybody knows of.
    pub fn newest_replica_set(&self) -> Option<ReplicaSet> {
        self.known_replica_sets().into_iter().max_by_key(|set| set.version)
    }

    fn known_replica_sets(&self) -> Vec<ReplicaSet> {
        let known = |machine: &Machine| {
            let disk = machine.storage.disk.metadata.as_ref().map(|metadata| metadata.replica_set.clone());
            disk.into_iter().chain(machine.store.as_ref().map(|store| store.replica_set().clone()))
        };
        self.machines[..self.cores()].iter().flat_map(known).collect()
    }

    /// Whether another machine may come in its place.
    fn replaceable(&self, node: usize) -> bool {
        let replica = |core: usize| {
            self.newest_replica_set().is_none_or(|set| set.contains(Node(self.machines[core].id)))
        };
        let lost = (0..self.cores()).filter(|core| replica(*core) && self.machines[*core].destroyed).count();
        let spare =
            (0..self.cores()).filter(|core| !replica(*core) && !self.machines[*core].destroyed).count();
        replica(node) && spare > lost
    }

    /// Whether the loss of this disk is one of those that are to be borne: with those that are lost already and not
    /// repaired or replaced yet it is under half, in the last replica set that is in force (more than half of its replicas
    /// have it on disk) and in each that anybody knows of beyond it.
    fn bearable(&self, node: usize) -> bool {
        let mut known = self.known_replica_sets();
        let since = |id: u32, version: u64| {
            let machine = &self.machines[id as usize - 1];
            let metadata = machine.storage.disk.metadata.as_ref();
            !machine.destroyed && metadata.is_some_and(|metadata| metadata.replica_set.version >= version)
        };
        let in_force = |set: &&ReplicaSet| {
            set.members.iter().filter(|member| since(member.0 .0, set.version)).count() * 2
                > set.members.len()
        };
        let force = known.iter().filter(in_force).map(|set| set.version).max().unwrap_or(0);
        known.retain(|set| set.version >= force.max(1));
        let first = &self.machines[..self.plan.replicas];
        let all = first.iter().all(|machine| machine.storage.formatted || machine.destroyed);
        let id = self.machines[node].id;
        let bears = |set: &ReplicaSet| {
            let lost = set.members.iter().filter(|(member, version)| !since(member.0, *version)).count();
            let target = set.members.iter().find(|(member, _)| member.0 == id);
            lost < (self.plan.replicas - 1) / 2 && target.is_none_or(|(_, version)| since(id, *version))
        };
        all && !known.is_empty() && known.iter().all(bears)
    }
}
