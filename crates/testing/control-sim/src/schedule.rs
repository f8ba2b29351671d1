//! One drawn schedule: a world, operators and faults in it, then all is healed, comes to rest, and is judged.

use crate::dice::Dice;
use crate::event::Event;
use crate::faults::Undo;
use crate::judge::{judge, At, Said, Why};
use crate::machine::Machine;
use crate::world::{key_name, Micros, Plan, World};
use silvercross_control_store::{Mutation, Node, Revision};
use std::collections::BTreeMap;

/// After everything is whole again all is at rest within this: links and parents are found anew, a silent owner is given up
/// (2.5 s), one that is lost for good is replaced (it is gone for 4 s, two steps are proposed, each tried again), the
/// newcomer is repaired, and the newest pages are everywhere.
pub const RESTS: Micros = 16_000_000;

/// What happened in a schedule.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Calls and reads sent.
    pub calls: u64,
    /// Of these, calls that were sent before.
    pub repeats: u64,
    /// Acknowledged.
    pub done: u64,
    /// Acknowledged again.
    pub repeats_after_done: u64,
    /// Refused as conflicts.
    pub conflicts: u64,
    /// Refused as invalid.
    pub invalid: u64,
    /// Answered that it is not known.
    pub unsettled: u64,
    /// Not answered.
    pub unanswered: u64,
    /// Reads answered.
    pub reads: u64,
    /// Faults by name.
    pub faults: BTreeMap<&'static str, u64>,
    /// Faults that struck while a call was under way.
    pub met: u64,
    /// Faults that struck while a replica was being replaced.
    pub met_joint: u64,
    /// Processes started: on control machines, and sidecars.
    pub starts: [u64; 2],
    /// Processes that said ready as fresh, by the bound, as configured.
    pub ready: [u64; 3],
    /// Calls acknowledged while a control machine was cut off from the others and ran.
    pub acknowledged_past_a_cut: u64,
    /// Replica sets beyond the first.
    pub replica_sets: u64,
    /// From the heal until all was at rest.
    pub rested_in: Micros,
    /// Until sidecars had the newest, where that came last.
    pub simulated: Micros,
}

/// The world that a seed draws.
pub fn drawn_plan(seed: u64, broken: Option<Mutation>) -> Plan {
    let mut dice = Dice(seed ^ 0x5eed);
    Plan {
        replicas: if dice.one_in(5) { 5 } else { 3 },
        spares: dice.index(3),
        sidecars: 2 + dice.index(7),
        keys: 1 + dice.index(2),
        loss: dice.below(80),
        slow: 2 + dice.below(200),
        // Values of some bytes go in one to ten pieces.
        piece: [10, 33, 100_000][dice.index(3)],
        broken,
        unready: None,
    }
}

/// Plays a drawn schedule as a whole.
pub fn run(seed: u64, broken: Option<Mutation>) -> Result<Report, String> {
    play(seed, drawn_plan(seed, broken), false)
}

/// The same with a rule of readiness broken on purpose.
pub fn run_unready(seed: u64, unready: silvercross_mesh_membership::Mutation) -> Result<Report, String> {
    play(seed, Plan { unready: Some(unready), ..drawn_plan(seed, None) }, false)
}

/// The same, printed.
pub fn trace(seed: u64) -> Result<Report, String> {
    play(seed, drawn_plan(seed, None), true)
}

fn play(seed: u64, plan: Plan, trace: bool) -> Result<Report, String> {
    let mut world = World::new(seed, plan);
    world.trace = trace;
    world.begin_drawn();
    let stop = world.stop;
    world.play(stop);
    world.heal();
    world.rest()?;
    world.last_orders()?;
    world.finish()
}

impl World {
    /// All start at drawn times; operators and faults begin.
    fn begin_drawn(&mut self) {
        self.stop = match self.dice.below(4) {
            0 => self.dice.between(8_000_000, 22_000_000),
            _ => self.dice.between(3_000_000, 9_000_000),
        };
        for node in 0..self.machines.len() {
            let core = node < self.cores();
            let late = if core || self.dice.one_in(2) { 300_000 } else { self.stop };
            let when = self.dice.between(0, late);
            self.at(when, Event::Undo(Undo::Start(node)));
        }
        for hand in 0..2 + self.dice.index(2) {
            let when = self.dice.between(300_000, 1_500_000);
            self.at(when, Event::Operator(hand));
        }
        let first = self.dice.between(300_000, 2_500_000);
        self.at(first, Event::Fault);
    }

    /// All start, as replicas, spare machines and sidecars, and come to rest.
    pub fn begin_quietly(&mut self) -> Result<(), String> {
        (0..self.machines.len()).for_each(|node| self.start(node));
        self.run(300_000);
        let order = self.order(0, 1, 1);
        let said = self.ask(0, order, 1_000_000);
        if !matches!(said, Said::Done(..)) {
            return Err(format!("the first call: {said:?}"));
        }
        self.rest()
    }

    /// Everything is whole again, but what is lost for good.
    pub fn heal(&mut self) {
        self.healed = true;
        self.loss = 0;
        self.slow = u64::MAX;
        let all = self.machines.len();
        for node in 0..all {
            for peer in 0..all {
                self.set_cut(node, peer, false);
            }
        }
        for node in 0..all {
            self.thaw(node);
            self.make_room(node);
            if self.machines[node].leaving {
                self.crash(node, false);
            }
            self.start(node);
            let seeds = (0..self.cores()).collect();
            self.reseed(node, seeds);
        }
    }

    /// Plays until all is at rest.
    pub fn rest(&mut self) -> Result<(), String> {
        let healed = self.now;
        while let Some(unrest) = self.unrest() {
            if let Some(why) = self.failure.take() {
                return Err(why);
            }
            if self.now > healed + RESTS {
                return Err(format!("not at rest {} s after the heal: {unrest}", RESTS / 1_000_000));
            }
            self.run(50_000);
        }
        self.report.rested_in = self.report.rested_in.max(self.now - healed);
        Ok(())
    }

    /// What is not at rest: each key is owned by one, all replicas have its content, and so has each process.
    pub fn unrest(&self) -> Option<String> {
        let Some(set) = self.newest_replica_set().filter(|set| !set.joint()) else {
            return Some("a replica is being replaced".to_owned());
        };
        for member in set.members.iter().map(|member| member.0 .0 as usize - 1) {
            let agrees = |store: &silvercross_control_store::ControlStore<crate::items::Items>| {
                store.is_voter() && *store.replica_set() == set
            };
            if !self.machines[member].store.as_ref().is_some_and(agrees) {
                return Some(format!("replica {member} is not one of {set:?}"));
            }
        }
        (0..self.plan.keys).find_map(|key| self.unrest_of(key, &set))
    }

    fn unrest_of(&self, key: usize, set: &silvercross_control_store::ReplicaSet) -> Option<String> {
        let name = key_name(key);
        let stores = || self.machines.iter().filter_map(|machine| machine.store.as_ref());
        let owned: Vec<Revision> = stores()
            .flat_map(|store| store.owned_keys())
            .filter(|settled| settled.0 == name)
            .map(|settled| settled.2)
            .collect();
        let [newest] = owned[..] else { return Some(format!("{name} is owned by {}", owned.len())) };
        for member in &set.members {
            let store = self.machines[member.0 .0 as usize - 1].store.as_ref();
            let has = |store: &silvercross_control_store::ControlStore<crate::items::Items>| {
                store.key_states().iter().any(|state| state.key == name && state.accepted == newest)
            };
            if !store.is_some_and(has) {
                return Some(format!("replica {member:?} has not the newest of {name}"));
            }
        }
        let at: At = (newest.epoch.round, u64::from(newest.epoch.owner), newest.sequence);
        let lacks = |machine: &&Machine| {
            machine.runs() && machine.revisions.get(&key).is_none_or(|known| *known < at)
        };
        let lacking: Vec<u32> = self.machines.iter().filter(lacks).map(|machine| machine.id).collect();
        (!lacking.is_empty()).then(|| format!("machines {lacking:?} have not the newest of {name}"))
    }

    /// An order and a read through each control machine that is a replica.
    pub fn last_orders(&mut self) -> Result<(), String> {
        let set = self.newest_replica_set().unwrap_or_default();
        for node in 0..self.cores() {
            if !set.contains(Node(self.machines[node].id)) {
                continue;
            }
            for key in 0..self.plan.keys {
                let order = self.order(key, 100, 1 + node as u64);
                let said = self.ask(node, order, 1_000_000);
                if !matches!(said, Said::Done(..)) {
                    return Err(format!("an order after the heal through machine {node}: {said:?}"));
                }
                let said = self.read(node, key);
                if !matches!(said, Said::State(_)) {
                    return Err(format!("a read after the heal through machine {node}: {said:?}"));
                }
            }
        }
        self.rest()
    }

    /// Everything that was seen is judged.
    pub fn finish(mut self) -> Result<Report, String> {
        if let Some(why) = self.failure {
            return Err(why);
        }
        judge(&self.history)?;
        for life in &self.history.lives {
            let place = life.ready.map(|ready| match ready.1 {
                Why::Fresh => 0,
                Why::Bound => 1,
                Why::Configured => 2,
            });
            place.into_iter().for_each(|place: usize| self.report.ready[place] += 1);
        }
        let version =
            self.machines.iter().filter_map(|m| m.store.as_ref()).map(|s| s.replica_set().version).max();
        self.report.replica_sets = version.unwrap_or(1).saturating_sub(1);
        self.report.simulated = self.now;
        Ok(self.report)
    }
}
