//! Does what a node's deciders want done, as the mesh's program does it (`silvercross-mesh`, module `peers::effects`).

use crate::content::Items;
use crate::convert::{control_quorum, observed, observed_update, update};
use crate::disk::PendingWrite;
use crate::event::Event;
use crate::history::{AppliedValue, ObservedRevision, Readiness, ReadyReason};
use crate::link::{Frame, NodeStatus};
use crate::majority_reads::is_majority_read;
use crate::operator_state::CallToken;
use crate::orders::is_read_before_order;
use crate::plan::key_index;
use crate::world::World;
use silvercross_control_store as control;
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership as membership;
use silvercross_mesh_membership::{Freshness, Membership};
use silvercross_time::{Duration, Instant};

/// A control node announces its status as often as this, whether or not it has changed.
pub(crate) const STATUS_INTERVAL: Duration = Duration::from_millis(300);
/// A sidecar is woken as often as this, whatever its decider asks for.
const MAX_SIDECAR_SLEEP: Duration = Duration::from_secs(1);
/// A write is synced after at least this.
const MIN_SYNC_DELAY: Duration = Duration::from_micros(300);
/// And before this, unless it is late.
const MAX_SYNC_DELAY: Duration = Duration::from_micros(5_300);
/// What is drawn on top of that where it is late.
const MAX_EXTRA_SYNC_DELAY: Duration = Duration::from_millis(300);
/// The network has taken a message with control entries after this.
const ENTRIES_WRITE_TIME: Duration = Duration::from_micros(200);

impl World {
    /// A node announces its status to the others.
    pub(crate) fn announce_status(&mut self, node: usize) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        let known_replicas = |store: &ControlStore<Items>| {
            let is_known = store.is_voter() || (store.is_outside() && store.replica_set().version > 0);
            if is_known {
                store.replica_nodes()
            } else {
                Vec::new()
            }
        };
        let replicas = machine.store.as_ref().map(known_replicas).unwrap_or_default();
        let status = NodeStatus {
            replica_ids: replicas.into_iter().map(|replica| replica.0).collect(),
            is_stopping: machine.is_stopping,
        };
        if let Some(membership) = &mut machine.membership {
            membership.update_body(now, status);
        }
    }

    /// Does what a node's deciders want done, until they want nothing more.
    pub(crate) fn run_effects(&mut self, node: usize) {
        loop {
            self.update_control_quorum(node);
            let machine = &mut self.nodes[node];
            let membership = machine.membership.as_mut().map(Membership::take_effects).unwrap_or_default();
            let store = machine.store.as_mut().map(ControlStore::take_effects).unwrap_or_default();
            if membership.is_empty() && store.is_empty() {
                break;
            }
            membership.into_iter().for_each(|effect| self.run_membership_effect(node, effect));
            store.into_iter().for_each(|effect| self.run_store_effect(node, effect));
        }
        self.note_store(node);
        self.note_readiness(node);
        self.schedule_wakeup(node);
    }

    /// Membership hears of another replica set.
    fn update_control_quorum(&mut self, node: usize) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        let (Some(store), Some(membership)) = (&machine.store, &mut machine.membership) else { return };
        let replica_set = store.replica_set();
        if replica_set.version != membership.control_quorum().version {
            membership.set_control_quorum(now, control_quorum(replica_set));
        }
    }

    fn schedule_wakeup(&mut self, node: usize) {
        let (now, local_now) = (self.now, self.local_now(node));
        let machine = &mut self.nodes[node];
        let Some(membership) = &machine.membership else { return };
        let store_deadline = machine.store.as_ref().and_then(ControlStore::next_deadline);
        let deadline = membership.next_deadline().min(store_deadline.unwrap_or(Instant::MAX));
        let most = if machine.is_control { STATUS_INTERVAL } else { MAX_SIDECAR_SLEEP };
        let sleep = deadline.saturating_since(local_now).clamp(Duration::from_micros(1), most);
        let wakeup = now + sleep;
        if wakeup < machine.next_wakeup {
            machine.next_wakeup = wakeup;
            let generation = machine.generation;
            self.at(wakeup, Event::Wakeup { node, generation });
        }
    }

    fn run_membership_effect(&mut self, node: usize, effect: membership::Effect<NodeStatus>) {
        use membership::Effect;
        match effect {
            Effect::OpenLink { to } => {
                if let Some(to) = self.index(to.0) {
                    self.dial(node, to);
                }
            }
            Effect::CloseLink { to } => {
                if let Some(to) = self.index(to.0) {
                    self.drop_link(node, to);
                }
            }
            Effect::SendMessage { to, message } => {
                if let Some(to) = self.index(to.0) {
                    self.send(node, to, Frame::Membership(message));
                }
            }
            Effect::SendEntries { to, message } => {
                if let Some(to) = self.index(to.0) {
                    self.send(node, to, Frame::Membership(message));
                    let generation = self.nodes[node].generation;
                    self.after(ENTRIES_WRITE_TIME, Event::EntriesLeft { node, generation, to });
                }
            }
            Effect::SendDatagram { to, datagram } => {
                if let Some(to) = self.index(to.0) {
                    self.send_datagram(node, to, datagram);
                }
            }
            Effect::Probe { node: about } => {
                if let Some(about) = self.index(about.0) {
                    self.probe(node, about);
                }
            }
            Effect::ConfirmRevisions { request_id } => self.begin_majority_read(node, request_id),
            Effect::RecordChanged(record) => self.report_candidate(node, record),
            Effect::EntryChanged(membership::ControlEntry { key, revision, bytes }) => {
                if let Ok(items) = bitcode::decode::<Items>(&bytes) {
                    self.apply_value(node, &key, observed_update(revision), items);
                }
            }
        }
    }

    /// The control store hears which other control nodes could be replicas, and which stop.
    fn report_candidate(&mut self, node: usize, record: membership::NodeRecord<NodeStatus>) {
        let now = self.local_now(node);
        let Some(store) = &mut self.nodes[node].store else { return };
        let status = &record.body;
        let is_spare = !status.replica_ids.is_empty() && !status.replica_ids.contains(&record.node.0);
        let is_candidate = record.is_control && !record.gone && !status.is_stopping && is_spare;
        store.set_candidate(now, control::Node(record.node.0), is_candidate);
        if record.is_control {
            store.set_stopping(now, control::Node(record.node.0), status.is_stopping);
        }
    }

    fn run_store_effect(&mut self, node: usize, effect: control::Effect<Items>) {
        use control::Effect;
        match effect {
            Effect::Send { to, version, message } => {
                if let Some(to) = self.index(to.0) {
                    self.send(node, to, Frame::Store { version, message });
                }
            }
            Effect::Store { write, metadata, keys } => {
                self.begin_write(node, PendingWrite { number: write, metadata, keys });
            }
            Effect::Answer { token, outcome } if is_majority_read(token) => {
                self.finish_majority_read(node, token, outcome);
            }
            Effect::Answer { token, outcome } if is_read_before_order(token) => {
                self.carry_out_order(node, token, outcome);
            }
            Effect::Answer { token, outcome } => self.answer_call(node, CallToken(token), outcome),
            Effect::Committed { key, revision, value } => {
                let revision = observed(revision);
                let (now, bytes) = (self.local_now(node), bitcode::encode(&value));
                if let Some(membership) = &mut self.nodes[node].membership {
                    membership.publish(now, &key, update(revision), bytes);
                }
                self.apply_value(node, &key, revision, value);
            }
        }
    }

    fn begin_write(&mut self, node: usize, write: PendingWrite) {
        let mut delay = self.rng.duration(MIN_SYNC_DELAY, MAX_SYNC_DELAY);
        if self.rng.one_in(self.one_in_delayed) {
            delay += self.rng.duration(Duration::ZERO, MAX_EXTRA_SYNC_DELAY);
        }
        let machine = &mut self.nodes[node];
        let (number, generation) = (write.number, machine.generation);
        machine.storage.pending.push_back(write);
        let synced_at = self.now.max(machine.storage.idle_at) + delay;
        machine.storage.idle_at = synced_at;
        self.at(synced_at, Event::WriteSynced { node, generation, write: number });
    }

    /// A value of a key comes; one that is no newer than what is in force changes nothing.
    fn apply_value(&mut self, node: usize, key: &str, revision: ObservedRevision, value: Items) {
        let Some(key) = key_index(key) else { return };
        let machine = &mut self.nodes[node];
        if machine.revisions.get(&key).is_some_and(|known| *known >= revision) {
            return;
        }
        machine.revisions.insert(key, revision);
        let applied = AppliedValue { at: self.now, key, revision, value: value.0 };
        self.history.incarnations[machine.incarnation].applied.push(applied);
    }

    /// Notes when a process first reports itself ready, and why. A control node has its state from its control store.
    fn note_readiness(&mut self, node: usize) {
        let machine = &self.nodes[node];
        let Some(membership) = &machine.membership else { return };
        let incarnation = &mut self.history.incarnations[machine.incarnation];
        if incarnation.ready.is_some() || !machine.revisions.contains_key(&0) {
            return;
        }
        let reason = match membership.freshness() {
            _ if machine.is_control => ReadyReason::Configured,
            Freshness::Waiting => return,
            Freshness::Current { .. } => ReadyReason::Current,
            Freshness::TimedOut { .. } => ReadyReason::WaitLimit,
        };
        incarnation.ready = Some(Readiness { at: self.now, reason });
    }
}
