//! How a decided replica set comes into force here, and how a node that doesn't know it requests it.
//!
//! The invariant: a node says nothing under an older replica set once it has adopted a later one, and a
//! replica that joins, or comes back, votes only once it is repaired.

use crate::limits::{MAX_REPLICAS, RESEND_INTERVAL};
use crate::message::Message;
use crate::mutation::Mutation;
use crate::replica_set::{ReplicaSet, Vote};
use crate::store::{ControlStore, Phase};
use crate::types::{Epoch, Node, Revision};
use crate::value::State;
use crate::write_queue::AfterWrite;
use silvercross_time::Instant;
use std::collections::BTreeSet;

impl<V: State> ControlStore<V> {
    /// Adopts a later replica set that was decided. From then on this node does nothing under the previous
    /// one.
    pub(crate) fn adopt_replica_set(&mut self, now: Instant, replica_set: ReplicaSet) {
        if replica_set.version <= self.replica_set.version || replica_set.members.len() > MAX_REPLICAS {
            return;
        }
        let was_replica = self.replica_set.contains(self.node) || self.voters_without_this.is_some();
        let is_removed = !replica_set.contains(self.node) && was_replica;
        self.voters_without_this = is_removed.then(BTreeSet::new);
        if is_removed {
            self.repair.last_sent = now;
        }
        let previous = self.phase;
        self.phase = self.phase_under(&replica_set);
        self.metrics.replica_sets_adopted += 1;
        self.replace_replica_set(now, replica_set);
        if self.phase == Phase::PersistingMetadata {
            self.persist_metadata();
            self.after_next_write.push(AfterWrite::Vote { version: self.replica_set.version });
        } else {
            // The stored state stays that of the previous replica set: this node has said nothing under the
            // new one.
            self.discard_unwritten();
        }
        if self.phase == Phase::Repairing && previous != Phase::Repairing {
            self.incarnation = self.next_incarnation(self.incarnation);
            for slot in self.keys.values_mut() {
                slot.replace(now, Epoch::default(), Revision::default(), V::default());
            }
        }
        self.step_down_from_all_keys(now);
        self.clear_claim_backoff_where_first(now);
        if self.phase == Phase::Repairing {
            self.request_repair(now);
        }
    }

    /// This node's phase under a later replica set.
    fn phase_under(&self, replica_set: &ReplicaSet) -> Phase {
        let Some(joined_in) = replica_set.joined_in(self.node) else {
            let keeps_voting = self.has_mutation(Mutation::RemovedReplicaVotes) && self.phase == Phase::Voter;
            return if keeps_voting { Phase::PersistingMetadata } else { Phase::Outside };
        };
        let skips_repair = self.has_mutation(Mutation::VotesWithEmptyDisk)
            || (self.has_mutation(Mutation::JoiningReplicaVotesUnrepaired)
                && replica_set.joining == Some(self.node));
        let is_new = joined_in > self.replica_set.version;
        let lacks_state = is_new || matches!(self.phase, Phase::Repairing | Phase::Outside);
        if lacks_state && !skips_repair {
            Phase::Repairing
        } else {
            Phase::PersistingMetadata
        }
    }

    /// Replaces the replica set, and discards everything that was said under the previous one.
    fn replace_replica_set(&mut self, now: Instant, replica_set: ReplicaSet) {
        self.abandoned_joining = self.replica_set.joining.filter(|node| !replica_set.contains(*node));
        self.replica_set = replica_set;
        self.vote = Vote::default();
        self.proposal = None;
        // Messages that wait for a write belong to the previous replica set.
        self.after_next_write.clear();
        self.repair.clear_replies();
        self.incarnations.retain(|node, _| self.replica_set.contains(*node));
        self.unreachable_since.retain(|node, _| self.replica_set.contains(*node));
        for node in self.replica_set.nodes() {
            if node != self.node && !self.reachable.contains(&node) {
                self.unreachable_since.entry(node).or_insert(now);
            }
        }
        self.next_proposal = now + RESEND_INTERVAL + self.proposal_delay();
    }

    /// Gives up all owned and claimed keys, and reroutes all calls.
    fn step_down_from_all_keys(&mut self, now: Instant) {
        for key in self.keys_matching(|slot| !slot.is_replica() || !slot.queue.is_empty()) {
            self.step_down(now, &key);
        }
        self.reroute_calls(now);
    }

    /// No claim was lost to another node, so the first node in claim order doesn't have to back off.
    fn clear_claim_backoff_where_first(&mut self, now: Instant) {
        let first = |key: &&String| self.claim_order(key).first() == Some(&self.node);
        let keys: Vec<String> = self.keys.keys().filter(first).cloned().collect();
        for key in keys {
            if let Some(slot) = self.keys.get_mut(&key) {
                slot.claim_not_before = now;
            }
        }
    }

    /// The state on disk is unusable: from now on, also after a restart, this node acts as if its disk were
    /// wiped, but keeps its incarnation.
    pub(crate) fn reset_to_outside(&mut self, now: Instant) {
        self.replica_set.version = 0;
        self.vote = Vote::default();
        self.proposal = None;
        self.after_next_write.clear();
        self.discard_unwritten();
        self.phase = Phase::Outside;
        self.persist_metadata();
        self.step_down_from_all_keys(now);
        self.request_replica_set(now);
    }

    /// Sends the replica set known to this node.
    pub(crate) fn send_replica_set(&mut self, to: Node) {
        self.send(to, Message::ReplicaSet { replica_set: self.replica_set.clone() });
    }

    /// Another node votes under the replica set without this node.
    pub(crate) fn on_replica_set_in_force(&mut self, from: Node) {
        if let Some(voters) = &mut self.voters_without_this {
            voters.insert(from);
        }
    }

    /// Whether this node has to find out who the replicas are: it doesn't know any replica set, or can reach
    /// none of its replicas.
    fn has_lost_replicas(&self) -> bool {
        let is_known = self.replica_set.version > 0
            && self.replica_set.nodes().any(|node| self.reachable.contains(&node));
        self.phase == Phase::Outside && !is_known
    }

    /// Whether this node has to send replica set requests: to find the replicas, or to learn whether the
    /// replica set without it is in force.
    pub(crate) fn must_ask_replica_set(&self) -> bool {
        let is_leaving = self.stopping.contains_key(&self.node) && self.voters_without_this.is_some();
        self.has_lost_replicas() || (is_leaving && self.is_still_needed())
    }

    /// Asks all linked nodes who the replicas are. After a planned removal, asks the replicas whether their
    /// replica set is in force.
    pub(crate) fn request_replica_set(&mut self, now: Instant) {
        self.repair.last_sent = now;
        if self.replica_set.version > 0 && !self.has_lost_replicas() {
            return self.broadcast(&Message::ReplicaSetRequest);
        }
        for to in self.reachable.clone() {
            self.send(to, Message::ReplicaSetRequest);
        }
    }
}
