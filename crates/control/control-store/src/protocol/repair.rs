//! Repair of a disk that was lost or rolled back to an older state: its replica fetches everything from the
//! others before it votes again.
//!
//! The invariant: what a replica said with the lost disk no longer counts once others know its new
//! incarnation, and it votes only with everything that a majority of the others knew by then.

use crate::limits::{MAX_KEYS, MAX_KEY_BYTES};
use crate::message::{KeySummary, Message};
use crate::mutation::Mutation;
use crate::replica_set::Vote;
use crate::store::{ControlStore, Phase};
use crate::stored::StoredKey;
use crate::types::{node_incarnations, Epoch, Incarnation, Incarnations, KeyPosition, Node, Revision};
use crate::value::State;
use crate::write_queue::AfterWrite;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Compares the state here with what this replica has confirmed to another node under its current
    /// incarnation. If any of it is missing, the disk was rolled back to an older state: it is treated as
    /// empty from then on, also after a restart, and repaired.
    pub(crate) fn on_confirmed_positions(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        keys: &[KeyPosition],
    ) {
        let lacks = |position: &KeyPosition| {
            self.keys.get(&position.key).is_none_or(|slot| slot.accepted < position.revision())
        };
        let counts = matches!(self.phase, Phase::Voter | Phase::PersistingMetadata)
            && incarnation == self.incarnation
            && !self.has_mutation(Mutation::VotesAfterDiskRollback);
        if counts && keys.iter().any(lacks) {
            self.metrics.disk_rollbacks += 1;
            self.reset_to_outside(now);
        }
    }

    /// The next incarnation for a disk that is to be repaired.
    pub(crate) fn next_incarnation(&mut self, after: Incarnation) -> Incarnation {
        Incarnation { count: after.count.saturating_add(1), nonce: self.random() }
    }

    /// Requests the state of all other replicas.
    pub(crate) fn request_repair(&mut self, now: Instant) {
        self.repair.last_sent = now;
        for to in self.reachable_replicas() {
            let reply = self.repair.replies.get(&to);
            if !reply.is_some_and(|incarnation| self.is_current(to, *incarnation)) {
                self.send(to, Message::RepairRequest { incarnation: self.incarnation });
            }
        }
    }

    /// Replies with this node's durable state once the sender's new incarnation is durable here too: from
    /// then on nothing that this node says counts together with what the sender said before.
    pub(crate) fn on_repair_request(&mut self, now: Instant, from: Node, incarnation: Incarnation) {
        let known = self.known_incarnation(from);
        if incarnation < known {
            self.send(from, Message::StaleIncarnation { incarnation: known });
            return;
        }
        if incarnation > known {
            self.incarnations.insert(from, incarnation);
            self.persist_metadata();
            self.metrics.repairs_answered += 1;
        }
        let summaries = self.keys.iter().map(|(key, slot)| KeySummary {
            key: key.clone(),
            promised: slot.promised,
            accepted: slot.accepted,
        });
        let keys = summaries.collect();
        let (vote, incarnations) = (self.vote.clone(), self.incarnations());
        self.send_after_write(now, from, Message::RepairReply { incarnation, keys, vote, incarnations });
    }

    /// Another node knows a higher incarnation of this node's disk.
    pub(crate) fn on_stale_incarnation(&mut self, now: Instant, incarnation: Incarnation) {
        if incarnation <= self.incarnation {
            return;
        }
        self.raise_own_incarnation(incarnation);
        if self.phase == Phase::Repairing {
            self.incarnation = self.next_incarnation(incarnation);
            self.repair.clear_replies();
            self.request_repair(now);
        }
    }

    /// Whether a reply belongs to the repair in progress and its sender still has its disk.
    fn is_expected_reply(
        &mut self,
        from: Node,
        incarnation: Incarnation,
        incarnations: &Incarnations,
    ) -> bool {
        if self.phase != Phase::Repairing || incarnation != self.incarnation {
            return false;
        }
        self.merge_incarnations(incarnations);
        self.check_incarnation(from, incarnations.own)
    }

    /// Merges the state of another replica.
    pub(crate) fn on_repair_reply(
        &mut self,
        now: Instant,
        from: Node,
        incarnation: Incarnation,
        incarnations: &Incarnations,
        keys: Vec<KeySummary>,
        vote: Vote,
    ) {
        if !self.is_expected_reply(from, incarnation, incarnations) {
            return;
        }
        self.repair.replies.insert(from, incarnations.own);
        self.repair.vote.merge(vote);
        for summary in keys.into_iter().filter(|summary| summary.key.len() <= MAX_KEY_BYTES) {
            self.repair.merge(from, summary, MAX_KEYS);
        }
        self.continue_repair(now);
    }

    /// Whether the replacement in progress may already be complete, according to the repair replies. The
    /// joining replica may then have replaced one of the replicas that replied and hold values that none of
    /// them has, so the repair has to use the replica set without the leaving replica. The replicas that
    /// replied decide on that one without this node.
    fn replacement_may_be_complete(&self) -> bool {
        let next = self.repair.vote.accepted.as_ref().map(|accepted| &accepted.replica_set);
        let is_complete = |joining| next.is_some_and(|next| next.contains(joining));
        self.replica_set.joining.is_some_and(is_complete)
            && !self.has_mutation(Mutation::RepairsUnderOvertakenReplicaSet)
    }

    /// Fetches the values once a majority has replied, and becomes a voter once they are complete.
    pub(crate) fn continue_repair(&mut self, now: Instant) {
        // Only others reply, yet they have to be a majority of the whole replica set.
        let is_enough = self.have_base_majority(node_incarnations(&self.repair.replies));
        if self.phase != Phase::Repairing || !is_enough || self.replacement_may_be_complete() {
            return;
        }
        let missing = self.repair.keys.iter().filter_map(|(key, known)| {
            let sources = || known.sources.iter();
            let from = sources().find(|node| self.reachable.contains(node)).or(sources().next())?;
            self.repair.missing(key).map(|_| (key.clone(), known.summary.accepted, *from))
        });
        let missing: Vec<(String, Revision, Node)> = missing.collect();
        if missing.is_empty() {
            return self.finish_repair(now);
        }
        for (key, revision, from) in missing {
            self.begin_snapshot(now, from, &key, revision);
        }
    }

    /// Writes all fetched values, and votes once they are durable.
    fn finish_repair(&mut self, now: Instant) {
        for (key, known) in std::mem::take(&mut self.repair.keys) {
            let fetched = self.repair.values.remove(&key).unwrap_or_default();
            let accepted = fetched.revision;
            let promised = known.summary.promised.max(accepted.epoch);
            self.restore_key(now, StoredKey { key, promised, accepted, value: fetched.value });
        }
        self.incoming_snapshots.clear();
        self.repair.values.clear();
        // Owners could not be heard until now: restarts their silence timeout.
        for slot in self.keys.values_mut().filter(|slot| slot.highest_epoch != Epoch::default()) {
            slot.owner_last_heard = now;
            slot.ownerless_since = None;
        }
        // All keys, to overwrite what an earlier membership left on disk.
        for key in self.keys_matching(|_| true) {
            self.persist_key(&key);
        }
        self.vote = std::mem::take(&mut self.repair.vote);
        self.repair.replies.clear();
        self.persist_metadata();
        self.phase = Phase::PersistingMetadata;
        self.after_write(now, AfterWrite::Vote { version: self.replica_set.version });
    }
}
