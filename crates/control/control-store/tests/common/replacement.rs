//! Three replicas and a spare node in the middle of a replacement, with a fault injected.

use super::cluster::{others, Cluster, KEY};
use super::notes::Notes;
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Nothing,
    /// The node is lost permanently.
    Lost,
    /// The node restarts at once with an empty disk.
    Wiped,
    /// The node is paused, with its links up.
    Paused,
    /// All nodes lose power at once, with unsynced writes.
    PowerLoss,
    /// The node is lost permanently, and all others lose power with unsynced writes.
    LostAndPowerLoss,
    /// The leaving replica has just stopped because it is no longer needed, and this node is lost
    /// permanently.
    LostAsLeavingStops,
    /// The node stops. If it is the leaving replica, it restarts with its disk after the others continued
    /// without it.
    Stops,
}

/// Three replicas and a spare node. Only the leaving replica and one other have the last change.
pub struct Replacement {
    pub cluster: Cluster,
    pub leaving: usize,
    /// The item changed by each call, by token.
    pub changed_items: BTreeMap<u64, u8>,
    pub reads: u64,
}

impl Replacement {
    pub fn new(owner_leaves: bool, mutation: Option<Mutation>) -> Replacement {
        let mut cluster = Cluster::with_spares(3, 1);
        cluster.set_mutation(mutation);
        cluster.advance(Duration::from_secs(1));
        let owner = cluster.owner().expect("an owner");
        let (x, y) = others(owner);
        let leaving = if owner_leaves { owner } else { x };
        let mut replacement = Replacement { cluster, leaving, changed_items: BTreeMap::new(), reads: 0 };
        replacement.call(owner, 1);
        replacement.cluster.cut_links.insert((owner, y));
        replacement.call(owner, 2);
        assert!(replacement.cluster.is_committed(1) && replacement.cluster.is_committed(2));
        replacement.cluster.cut_links.remove(&(owner, y));
        replacement
    }

    pub fn call(&mut self, node: usize, token: u64) {
        self.changed_items.insert(token, token as u8);
        self.cluster.call(node, token, &[(token as u8, 1, token)]);
    }

    /// Stops the leaving replica gracefully, with calls in flight, until it is no longer needed or no step is
    /// left.
    pub fn stop_gracefully(&mut self) {
        self.cluster.begin_graceful_stop(self.leaving);
        let other = (0..3).find(|node| *node != self.leaving).expect("another");
        self.call(other, 3);
        for token in 4..40 {
            if !self.is_leaving_needed() || self.cluster.steps_left == Some(0) {
                return;
            }
            self.cluster.advance_by_deadlines(Duration::from_millis(100));
            if token < 8 {
                self.call(self.leaving, token);
            }
        }
        panic!("still needed: {:?}", self.cluster.stores[self.leaving].replica_set());
    }

    /// Whether the leaving replica is still needed.
    pub fn is_leaving_needed(&self) -> bool {
        self.cluster.stores[self.leaving].is_still_needed()
    }

    /// Lets time pass while the leaving replica is needed, at most until the given time.
    pub fn wait_while_leaving_needed(&mut self, until: Instant) {
        while self.is_leaving_needed() && self.cluster.now < until {
            self.cluster.advance_by_deadlines(Duration::from_millis(20));
        }
    }

    pub fn inject(&mut self, fault: Fault, target: usize) {
        match fault {
            Fault::Nothing => {}
            Fault::Lost | Fault::Stops => self.cluster.isolate(target),
            Fault::LostAsLeavingStops => {
                self.cluster.isolate(self.leaving);
                self.cluster.isolate(target);
            }
            Fault::Wiped => self.cluster.wipe(target),
            Fault::Paused => {
                self.cluster.paused.insert(target);
            }
            Fault::PowerLoss => {
                for node in 0..4 {
                    self.cluster.restart(node);
                }
            }
            Fault::LostAndPowerLoss => {
                self.cluster.isolate(target);
                for node in (0..4).filter(|node| *node != target) {
                    self.cluster.restart(node);
                }
            }
        }
        self.cluster.run();
        self.cluster.announce_membership();
    }

    /// Calls these nodes in turn until one acknowledges a change. Returns the time that took.
    pub fn time_to_answer(&mut self, nodes: &[usize]) -> Option<Duration> {
        let from = self.cluster.now;
        for token in 100..200 {
            let node = nodes[token as usize % nodes.len()];
            self.call(node, token);
            for _ in 0..8 {
                if self.cluster.is_committed(token) {
                    return Some(self.cluster.now - from);
                }
                self.cluster.advance_by_deadlines(Duration::from_millis(25));
            }
        }
        None
    }

    pub fn read(&mut self, node: usize) -> Notes {
        for _ in 0..20 {
            self.reads += 1;
            let token = 1_000 + self.reads;
            self.cluster.stores[node].read(self.cluster.now, token, KEY);
            self.cluster.run();
            for _ in 0..50 {
                if let Some(CallOutcome::Value { value, .. }) = self.cluster.answers.get(&token) {
                    return value.clone();
                }
                self.cluster.advance_by_deadlines(Duration::from_millis(20));
            }
        }
        panic!("no value at {node}");
    }

    /// Checks that everything acknowledged is in force at all of these nodes.
    pub fn assert_nothing_lost(&mut self, nodes: &[usize]) {
        let committed = self.changed_items.iter().filter(|(token, _)| self.cluster.is_committed(**token));
        let committed: Vec<u8> = committed.map(|(_, item)| *item).collect();
        assert!(committed.contains(&1) && committed.contains(&2));
        for node in nodes {
            let value = self.read(*node);
            for item in &committed {
                assert!(value.0.contains_key(item), "{item} was acknowledged and is not in {value:?}");
            }
        }
    }
}
