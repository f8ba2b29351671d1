//! A node's process starts, stops gracefully, crashes, freezes and goes on; its disk gets space again.

use crate::event::{Event, FaultEnd};
use crate::history::Incarnation;
use crate::link::{Frame, NodeStatus};
use crate::plan::key_name;
use crate::world::World;
use silvercross_control_store as control;
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership as membership;
use silvercross_mesh_membership::Membership;
use silvercross_time::{Duration, Instant};

/// A process that stops gracefully looks so often whether it is still needed as a replica.
pub(crate) const SIGN_OFF_INTERVAL: Duration = Duration::from_millis(20);
/// It leaves membership so long before it ends at the latest.
const SIGN_OFF_MARGIN: Duration = Duration::from_millis(100);
/// What the zones are called.
const ZONE_NAMES: [&str; 3] = ["a", "b", "c"];

impl World {
    /// A node's process starts, unless it runs or the node is lost for good.
    pub fn start(&mut self, node: usize) {
        let (now, seed) = (self.local_now(node), self.rng.next_u64());
        let machine = &mut self.nodes[node];
        if machine.is_running() || machine.is_destroyed {
            return;
        }
        machine.generation += 1;
        machine.is_powered = true;
        machine.is_frozen = false;
        machine.is_stopping = false;
        machine.next_wakeup = Instant::MAX;
        machine.announced_at = now;
        machine.revisions.clear();
        machine.majority_reads.clear();
        machine.reads_before_orders.clear();
        machine.abandoned_calls.clear();
        machine.incarnation = self.history.incarnations.len();
        let (is_control, has_metadata) = (machine.is_control, machine.storage.stored.metadata.is_some());
        self.start_membership(node, now, seed);
        if is_control {
            self.start_store(node, now, seed);
            self.report.control_starts += 1;
        } else {
            self.report.sidecar_starts += 1;
        }
        self.note(|| format!("start {node}, disk {has_metadata}"));
        let started_at = self.now;
        self.history.incarnations.push(Incarnation {
            node,
            is_control,
            started_at,
            applied: Vec::new(),
            ready: None,
        });
        self.run_effects(node);
    }

    fn start_membership(&mut self, node: usize, now: Instant, seed: u64) {
        let machine = &self.nodes[node];
        let seeds = machine.seeds.iter().map(|seed_node| membership::Node(self.nodes[*seed_node].id));
        let start = membership::MembershipConfig {
            local_node: membership::Node(machine.id),
            zone: ZONE_NAMES[machine.zone].to_string(),
            is_control: machine.is_control,
            seeds: seeds.collect(),
            incarnation: now.as_micros() as u64,
            random_seed: seed,
        };
        let status = NodeStatus { replica_ids: Vec::new(), is_stopping: false };
        let membership = Membership::new(now, start, status);
        self.nodes[node].membership = Some(mutated_membership(membership, self.plan.membership_mutation));
    }

    fn start_store(&mut self, node: usize, now: Instant, seed: u64) {
        let replicas = self.nodes[..self.plan.replicas].iter().map(|replica| control::Node(replica.id));
        let is_replica = node < self.plan.replicas;
        let machine = &self.nodes[node];
        let start = control::StartConfig {
            node: control::Node(machine.id),
            replica_set: replicas.collect(),
            keys: (0..self.plan.keys).map(key_name).collect(),
            is_first_start: is_replica && !machine.storage.is_formatted,
            seed,
        };
        let mut store = ControlStore::new(now, start, machine.storage.stored.clone());
        store.set_snapshot_chunk_bytes(self.plan.snapshot_chunk_bytes);
        if machine.storage.is_full {
            store.set_disk_has_space(now, false);
        }
        self.nodes[node].store = Some(mutated_store(store, self.plan.store_mutation));
    }

    /// A process ends; its connections are closed unless `power_lost`.
    pub fn crash(&mut self, node: usize, power_lost: bool) {
        self.note(|| format!("crash {node}, power {power_lost}"));
        if self.nodes[node].is_running() {
            let connections = std::mem::take(&mut self.nodes[node].connections);
            for connection in connections.into_values().flatten().filter(|_| !power_lost) {
                self.send_on(connection, node, Frame::Closed);
            }
        }
        let machine = &mut self.nodes[node];
        machine.is_powered = !power_lost;
        if !machine.is_running() {
            return;
        }
        machine.membership = None;
        machine.store = None;
        machine.is_frozen = false;
        machine.deferred_events.clear();
        machine.generation += 1;
        machine.storage.interrupt(power_lost, &mut self.rng);
        self.end_calls_at(node);
    }

    /// A process freezes.
    pub fn freeze(&mut self, node: usize) {
        self.note(|| format!("freeze {node}"));
        self.nodes[node].is_frozen = self.nodes[node].is_running();
    }

    /// A frozen process goes on, with all that came meanwhile.
    pub fn unfreeze(&mut self, node: usize) {
        self.note(|| format!("thaw {node}"));
        let machine = &mut self.nodes[node];
        if !std::mem::take(&mut machine.is_frozen) {
            return;
        }
        machine.resumed_at = self.now;
        machine.next_wakeup = Instant::MAX;
        let deferred_events = std::mem::take(&mut machine.deferred_events);
        // Its clock or what came is looked at first.
        if self.rng.one_in(2) {
            self.tick(node);
        }
        for event in deferred_events {
            self.handle_node_event(event);
        }
        self.tick(node);
    }

    /// A control node's disk has space again: what was pending is synced.
    pub fn free_disk(&mut self, node: usize) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        if !std::mem::take(&mut machine.storage.is_full) {
            return;
        }
        let last = machine.storage.pending.back().map(|write| write.number);
        machine.storage.sync_up_to(last.unwrap_or(0));
        let Some(store) = &mut machine.store else { return };
        store.set_disk_has_space(now, true);
        if let Some(last) = last {
            store.write_completed(now, last);
        }
        self.run_effects(node);
    }

    /// A node's configuration names other control nodes to ask.
    pub fn set_seeds(&mut self, node: usize, seeds: Vec<usize>) {
        let now = self.local_now(node);
        let ids: Vec<membership::Node> =
            seeds.iter().map(|seed_node| membership::Node(self.nodes[*seed_node].id)).collect();
        self.nodes[node].seeds = seeds;
        if self.nodes[node].is_frozen {
            return;
        }
        if let Some(membership) = &mut self.nodes[node].membership {
            membership.set_seeds(now, &ids);
            self.run_effects(node);
        }
    }

    /// A process stops gracefully: it says so, stays while it is needed as a replica, leaves membership, and ends when the
    /// grace period is over; the node is then lost if `for_good`.
    pub fn stop_gracefully(&mut self, node: usize, grace: Duration, for_good: bool) {
        if self.nodes[node].is_frozen || !self.nodes[node].is_running() {
            return;
        }
        self.note(|| format!("{node} is told to stop"));
        self.nodes[node].is_stopping = true;
        self.announce_status(node);
        let now = self.local_now(node);
        if let Some(store) = &mut self.nodes[node].store {
            store.begin_graceful_stop(now);
        }
        self.run_effects(node);
        let deadline = self.now + grace - SIGN_OFF_MARGIN;
        let generation = self.nodes[node].generation;
        let sign_off = FaultEnd::SignOff { node, generation, deadline };
        self.after(SIGN_OFF_INTERVAL, Event::FaultEnds(sign_off));
        self.after(grace, Event::FaultEnds(FaultEnd::Exit { node, generation, for_good }));
    }
}

#[allow(unused_mut, unused_variables, reason = "without the feature `mutants` nothing is changed")]
fn mutated_store<S: control::State>(
    mut store: ControlStore<S>,
    mutation: Option<control::Mutation>,
) -> ControlStore<S> {
    #[cfg(feature = "mutants")]
    if let Some(mutation) = mutation {
        store.set_mutation(mutation);
    }
    store
}

#[allow(unused_mut, unused_variables, reason = "without the feature `mutants` nothing is changed")]
fn mutated_membership(
    mut membership: Membership<NodeStatus>,
    mutation: Option<membership::Mutation>,
) -> Membership<NodeStatus> {
    #[cfg(feature = "mutants")]
    if let Some(mutation) = mutation {
        membership.set_mutation(mutation);
    }
    membership
}
