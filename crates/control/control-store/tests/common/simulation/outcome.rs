//! The end of a simulation run: all faults are healed, then the checks.

use super::faults::Undo;
use super::machine::Machine;
use super::Simulation;
use crate::common::history::{self, Answer};
use silvercross_control_store::*;
use silvercross_time::Duration;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub calls: u64,
    pub committed: u64,
    pub rejected: u64,
    pub unknown: u64,
    pub reads: u64,
    /// Faults injected while a call was open.
    pub faults_with_open_calls: u64,
    pub faults: BTreeMap<&'static str, u64>,
    /// Time from the last heal until every key was settled.
    pub settled_in: Duration,
    pub messages: u64,
    pub ownerships_taken: u64,
    pub stale_incarnations: u64,
    /// Versions of the replica set after the first.
    pub replica_sets: u64,
}

/// Time within which every key is owned and replicated everywhere after all faults are healed: the timeout of
/// a silent owner, the claim delay of the last node in claim order, and one second for slow links and disks.
fn max_settling_time(machines: usize) -> Duration {
    Duration::from_millis(2_500) + Duration::from_millis(400) * machines as i64 + Duration::from_secs(1)
}

/// Additional time if a replica was lost permanently and has to be replaced: it has to be unreachable for
/// four seconds, then two changes of the replica set are proposed, possibly more than once, and the joining
/// replica is repaired.
const MAX_REPLACEMENT_TIME: Duration = Duration::from_secs(4 + 6);

/// The number of machines in a seed's schedule.
pub fn machine_count(seed: u64) -> usize {
    match seed % 10 {
        0 => 1,
        1 | 2 => 5,
        _ => 3,
    }
}

impl Simulation {
    /// Runs a whole schedule: faults, then the heal, then the checker.
    pub fn run(mut self) -> Result<Report, String> {
        self.run_until(self.faults_until);
        self.heal();
        self.settle();
        self.check_calls_after_heal();
        self.run_until(self.now + Duration::from_secs(1));
        if let Some(token) = self.open_calls.keys().next() {
            self.fail(format!("call {token} was never answered"));
        }
        for machine in &self.machines {
            if let Some(metrics) = machine.store.as_ref().map(|store| store.metrics()) {
                self.report.ownerships_taken += metrics.ownerships_taken;
                self.report.stale_incarnations += metrics.stale_incarnations;
                if metrics.disk_rollbacks > 0 {
                    self.failure.get_or_insert("an intact disk was found rolled back".into());
                }
            }
        }
        if let Some(why) = self.failure {
            return Err(why);
        }
        history::check(&self.history)?;
        Ok(self.report)
    }

    /// Heals all links, disks and machines except those lost permanently.
    fn heal(&mut self) {
        self.is_healing = true;
        self.loss = 0;
        self.duplication = 0;
        self.slow_one_in = u64::MAX;
        let n = self.machines.len();
        for node in 0..n {
            self.undo(Undo::FreeDisk(node));
            if self.machines[node].is_stopping {
                self.crash(node, false);
            }
            self.start(node);
            self.undo(Undo::Resume(node));
            self.cut[node].fill(false);
        }
        for node in 0..n {
            for peer in (0..n).filter(|peer| *peer != node) {
                self.change_link(node, peer, true);
            }
        }
    }

    fn settle(&mut self) {
        let healed = self.now;
        let n = self.machines.len();
        let replacement = if n > self.replicas { MAX_REPLACEMENT_TIME } else { Duration::ZERO };
        while !self.is_settled() && self.failure.is_none() {
            if self.now > healed + max_settling_time(n) + replacement {
                let stores = self.machines.iter().filter_map(|machine| machine.store.as_ref());
                let states: Vec<_> =
                    stores.map(|store| (store.is_voter(), store.replica_set(), store.key_states())).collect();
                self.fail(format!("not settled after the heal: {states:?}"));
            }
            self.run_until(self.now + Duration::from_millis(10));
        }
        self.report.replica_sets = self.replica_set().map_or(0, |set| set.version - 1);
        self.report.settled_in = self.now - healed;
    }

    /// Whether every key has exactly one owner, and all replicas have its value.
    fn is_settled(&self) -> bool {
        let Some(set) = self.replica_set() else { return false };
        let replicas: Vec<&Machine> =
            set.members.iter().map(|member| &self.machines[member.node.0 as usize]).collect();
        let agrees = |machine: &&Machine| {
            machine.store.as_ref().is_some_and(|store| store.is_voter() && *store.replica_set() == set)
        };
        !set.is_joint()
            && replicas.iter().all(agrees)
            && self.keys.iter().all(|key| self.is_key_settled(key, &replicas))
    }

    fn is_key_settled(&self, key: &str, replicas: &[&Machine]) -> bool {
        let stores = self.machines.iter().filter_map(|machine| machine.store.as_ref());
        let owned = stores.flat_map(|store| store.owned_keys()).filter(|owned| owned.key == key);
        let owners: Vec<Revision> = owned.map(|owned| owned.revision).collect();
        let has_it = |store: &ControlStore<_>| {
            store.key_states().iter().any(|state| state.key == key && state.accepted == owners[0])
        };
        owners.len() == 1 && replicas.iter().all(|machine| machine.store.as_ref().is_some_and(has_it))
    }

    /// Makes a change and a read of every key through every machine, one after another. Each has to succeed.
    fn check_calls_after_heal(&mut self) {
        for key in self.keys.clone() {
            for node in 0..self.machines.len() {
                self.last_content += 1;
                let change = vec![(9, node as u64 + 1, self.last_content)];
                self.check_call_after_heal(node, &key, Some(change));
                self.check_call_after_heal(node, &key, None);
            }
        }
    }

    fn check_call_after_heal(&mut self, node: usize, key: &str, change: Option<super::Change>) {
        let Some(token) = self.begin_call(node, key, change) else { return };
        let started = self.now;
        let is_pending = |s: &Simulation| s.history.calls[token as usize].answered.is_none();
        while is_pending(self) && self.now < started + Duration::from_millis(900) {
            self.run_until(self.now + Duration::from_millis(1));
        }
        let call = self.history.calls[token as usize].clone();
        if !matches!(call.answer, Answer::Committed(_) | Answer::Value(_)) {
            let stores = self.machines.iter().filter_map(|machine| machine.store.as_ref());
            let states: Vec<_> = stores.map(|store| store.key_states()).collect();
            self.fail(format!("a call after the heal failed: {call:?} at {node}: {states:#?}"));
        }
    }
}
