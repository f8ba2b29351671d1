//! Invariants checked in every run, and the time until all nodes agree.
use super::ms;
use super::world::{Body, World};
use silvercross_mesh_membership::*;
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// A difference between nodes that should agree.
#[derive(Clone, PartialEq, Debug)]
pub enum Disagreement {
    Records { at: Node, missing: Vec<u32>, extra: Vec<u32> },
    OldEntries { at: Node },
}

/// A node that calls itself current although it lacks something acknowledged before it started.
#[derive(Clone, PartialEq, Debug)]
pub struct StaleEntry {
    pub node: Node,
    pub key: String,
    pub has: Option<Revision>,
    pub acknowledged: Revision,
}

impl World {
    /// A node that calls itself current has everything that a majority had acknowledged before it started,
    /// and stays current; one whose check timed out has waited for the whole time-out.
    pub(super) fn check_freshness(&mut self, node: Node) {
        let Some(machine) = self.machines.get(&node) else { return };
        let Some(membership) = &machine.membership else { return };
        let (before, after) = (machine.freshness, membership.freshness());
        if before == after {
            return;
        }
        assert_eq!(before, Freshness::Waiting, "{node:?} was ready and is now {after:?}");
        match after {
            Freshness::Current { .. } => {
                let has = |key: &str| membership.control_entry(key).map(|entry| entry.revision);
                let expected = machine.acknowledged_before.iter();
                let stale: Vec<StaleEntry> = expected
                    .filter(|(key, revision)| has(key) < Some(**revision))
                    .map(|(key, revision)| {
                        let (key, has, acknowledged) = (key.clone(), has(key), *revision);
                        StaleEntry { node, key, has, acknowledged }
                    })
                    .collect();
                self.checked_starts.current += u64::from(!machine.acknowledged_before.is_empty());
                assert!(stale.is_empty() || self.mutation.is_some(), "{stale:?}");
                self.stale_entries.extend(stale);
            }
            _ => {
                self.checked_starts.timed_out += 1;
                let waited = self.now - machine.started_at;
                assert!(waited >= READINESS_TIMEOUT, "{node:?} timed out too early: {after:?}");
            }
        }
        self.machine_mut(node).freshness = after;
    }

    /// The first difference found: every running node must know exactly the running nodes with their
    /// current records, and the newest control entries.
    pub fn disagreement(&self) -> Option<Disagreement> {
        let running = self.running();
        let own = running.iter().map(|node| self.membership(*node).record(*node).expect("own").clone());
        let truth: Vec<NodeRecord<Body>> = own.filter(|record| !record.gone).collect();
        let mut newest: BTreeMap<&str, Revision> = BTreeMap::new();
        for node in &running {
            for entry in self.membership(*node).control_entries() {
                let revision = newest.entry(entry.key).or_insert(entry.revision);
                *revision = (*revision).max(entry.revision);
            }
        }
        for node in running {
            let membership = self.membership(node);
            let known: Vec<NodeRecord<Body>> =
                membership.records().filter(|record| !record.gone).cloned().collect();
            if known != truth {
                let differing = |from: &[NodeRecord<Body>], other: &[NodeRecord<Body>]| {
                    from.iter().filter(|record| !other.contains(record)).map(|record| record.node.0).collect()
                };
                let (missing, extra) = (differing(&truth, &known), differing(&known, &truth));
                return Some(Disagreement::Records { at: node, missing, extra });
            }
            let entries = membership.control_entries().map(|entry| (entry.key, entry.revision));
            if entries.collect::<BTreeMap<_, _>>() != newest {
                return Some(Disagreement::OldEntries { at: node });
            }
        }
        None
    }

    /// Runs until all nodes agree, at most for `timeout`; returns how long that took.
    pub fn run_until_agreed(&mut self, timeout: Duration) -> Result<Duration, Disagreement> {
        let begin = self.now;
        loop {
            match self.disagreement() {
                None => return Ok(self.now - begin),
                Some(what) if self.now - begin >= timeout => return Err(what),
                Some(_) => self.run(ms(1)),
            }
        }
    }

    /// Runs until all running nodes have the entry, at most for `timeout`; returns how long that took, or
    /// the nodes that lack it.
    pub fn run_until_entry(
        &mut self,
        key: &str,
        revision: Revision,
        timeout: Duration,
    ) -> Result<Duration, Vec<Node>> {
        let begin = self.now;
        loop {
            let lacks = |node: &Node| {
                self.membership(*node).control_entry(key).is_none_or(|entry| entry.revision < revision)
            };
            let lacking: Vec<Node> = self.running().into_iter().filter(lacks).collect();
            if lacking.is_empty() {
                return Ok(self.now - begin);
            }
            if self.now - begin >= timeout {
                return Err(lacking);
            }
            self.run(ms(1));
        }
    }
}
