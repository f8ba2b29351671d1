//! Entry points for messages and timers: decides which messages are valid and dispatches them.

use crate::change_log::ChangeRun;
use crate::limits::RESEND_INTERVAL;
use crate::message::Message;
use crate::mutation::Mutation;
use crate::snapshot::{ReceivedChunk, SnapshotHeader};
use crate::store::{ControlStore, Phase};
use crate::types::Node;
use crate::value::State;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Handles a message that was sent under this version of the replica set. One of an older version is only
    /// answered with the newer replica set. Messages from nodes outside the replica set are counted and
    /// dropped, except forwarded calls.
    pub fn receive(&mut self, now: Instant, from: Node, version: u64, message: Message<V, V::Change>) {
        if from == self.node {
            self.metrics.unknown_senders += 1;
            return;
        }
        // These two are valid under any version of the replica set.
        match message {
            Message::ConfirmedPositions { incarnation, keys } => {
                self.on_confirmed_positions(now, incarnation, &keys);
            }
            Message::ReplicaSet { replica_set } => {
                if replica_set.version < self.replica_set.version {
                    self.send_replica_set(from);
                }
                self.adopt_replica_set(now, replica_set);
            }
            message => {
                if self.is_same_version(from, version) {
                    self.receive_under_same_version(now, from, message);
                }
            }
        }
    }

    /// Whether a message was sent under the replica set in force here. If not, the newer one is requested or
    /// sent.
    fn is_same_version(&mut self, from: Node, version: u64) -> bool {
        let own = self.replica_set.version;
        if version == own || self.has_mutation(Mutation::AcceptsOlderReplicaSetMessages) {
            return true;
        }
        if version > own {
            self.send(from, Message::ReplicaSetRequest);
        } else {
            self.metrics.older_replica_set += 1;
            self.send_replica_set(from);
        }
        false
    }

    fn receive_under_same_version(&mut self, now: Instant, from: Node, message: Message<V, V::Change>) {
        if matches!(message, Message::ReplicaSetRequest) && self.is_voter() {
            self.send(from, Message::ReplicaSetInForce);
            return;
        }
        let is_known = self.replica_set.contains(from)
            || self.has_mutation(Mutation::RemovedReplicaVotes)
            || self.has_mutation(Mutation::AcceptsOlderReplicaSetMessages);
        if !is_known && !matches!(message, Message::Forward { .. }) {
            self.metrics.unknown_senders += 1;
            return;
        }
        self.handle(now, from, message);
    }

    /// Dispatches a message that passed the checks of version and sender.
    pub(crate) fn handle(&mut self, now: Instant, from: Node, message: Message<V, V::Change>) {
        match message {
            Message::Forward { id, key, epoch, request } => {
                self.on_forward(now, from, id, key, epoch, request);
            }
            Message::ForwardReply { id, epoch, reply } => self.on_forward_reply(now, from, id, epoch, reply),
            Message::RepairReply { incarnation, keys, vote, incarnations } => {
                self.on_repair_reply(now, from, incarnation, &incarnations, keys, vote);
            }
            Message::StaleIncarnation { incarnation } => self.on_stale_incarnation(now, incarnation),
            Message::SnapshotChunk { key, revision, offset, total_bytes, digest, bytes } => {
                let header = SnapshotHeader { total_bytes, digest };
                self.on_snapshot_chunk(now, from, key, ReceivedChunk { revision, offset, header, bytes });
            }
            Message::ReplicaSetInForce => self.on_replica_set_in_force(from),
            Message::ReplicaSetRequest | Message::ReplicaSet { .. } | Message::ConfirmedPositions { .. } => {}
            message if self.is_voter() => self.handle_as_voter(now, from, message),
            _ => {}
        }
    }

    /// Dispatches the messages that only a voter handles.
    fn handle_as_voter(&mut self, now: Instant, from: Node, message: Message<V, V::Change>) {
        match message {
            Message::Claim { key, epoch } => self.on_claim(now, from, key, epoch),
            Message::Promise { key, epoch, accepted, incarnations } => {
                self.merge_incarnations(&incarnations);
                self.on_promise(now, from, incarnations.own, key, epoch, accepted);
            }
            Message::ClaimRequest { key, epoch } => self.on_claim_request(now, key, epoch),
            Message::Append { key, epoch, revision, base, changes, more } => {
                self.on_append(now, from, key, epoch, ChangeRun { base, revision, changes, more });
            }
            Message::Appended { key, epoch, sequence, incarnations } => {
                self.merge_incarnations(&incarnations);
                self.on_appended(now, from, incarnations.own, key, epoch, sequence);
            }
            Message::Lagging { key, epoch, accepted, needs_snapshot } => {
                self.on_lagging(now, from, key, epoch, (!needs_snapshot).then_some(accepted));
            }
            Message::SnapshotRequest { key, revision, offset } => {
                self.on_snapshot_request(now, from, key, revision, offset);
            }
            Message::HigherEpoch { key, epoch } => self.observe_epoch(now, &key, epoch),
            Message::OwnershipReleased { key, epoch } => self.on_ownership_released(now, from, key, epoch),
            Message::ConfirmEpoch { key, epoch, round } => {
                self.on_confirm_epoch(now, from, key, epoch, round);
            }
            Message::EpochConfirmed { key, epoch, round } => {
                self.on_epoch_confirmed(now, from, key, epoch, round);
            }
            Message::Heartbeat { keys } => self.on_heartbeat(now, from, keys),
            Message::RepairRequest { incarnation } => self.on_repair_request(now, from, incarnation),
            message => self.handle_replica_set_proposal(now, from, message),
        }
    }

    /// Dispatches the messages that decide the next replica set.
    fn handle_replica_set_proposal(&mut self, now: Instant, from: Node, message: Message<V, V::Change>) {
        match message {
            Message::PrepareReplicaSet { epoch, replaced } => {
                self.on_prepare_replica_set(now, from, epoch, replaced);
            }
            Message::ReplicaSetPromise { epoch, accepted, incarnations } => {
                self.merge_incarnations(&incarnations);
                self.on_replica_set_promise(now, from, incarnations.own, epoch, accepted);
            }
            Message::AcceptReplicaSet { epoch, replica_set } => {
                self.on_accept_replica_set(now, from, epoch, replica_set);
            }
            Message::ReplicaSetAccepted { epoch, incarnations } => {
                self.merge_incarnations(&incarnations);
                self.on_replica_set_accepted(now, from, incarnations.own, epoch);
            }
            Message::HigherReplicaSetEpoch { epoch } => self.on_higher_replica_set_epoch(epoch),
            _ => {}
        }
    }

    /// Runs all timers that have expired.
    pub fn tick(&mut self, now: Instant) {
        self.tick_calls(now);
        self.tick_snapshots(now);
        match self.phase {
            // The timers of keys and of the replica set all begin with a write.
            Phase::Voter if !self.disk_has_space => {}
            Phase::Voter => {
                self.tick_keys(now);
                self.tick_replica_set(now);
            }
            Phase::Outside if self.must_ask_replica_set() && self.is_repair_due(now) => {
                self.request_replica_set(now);
            }
            Phase::Repairing if self.is_repair_due(now) => {
                self.request_repair(now);
                self.continue_repair(now);
            }
            _ => {}
        }
    }

    fn is_repair_due(&self, now: Instant) -> bool {
        now >= self.repair.last_sent + RESEND_INTERVAL
    }

    /// When [`ControlStore::tick`] has to be called at the latest; `None` if no timer is running.
    pub fn next_deadline(&self) -> Option<Instant> {
        let calls = self.open_calls.values().map(|call| call.next_deadline()).min();
        let rest = match self.phase {
            Phase::Voter if !self.disk_has_space => None,
            Phase::Voter => {
                let keys = self.keys.iter().filter_map(|(key, slot)| self.key_deadline(key, slot)).min();
                keys.into_iter().chain(self.replica_set_deadline()).min()
            }
            Phase::Repairing => Some(self.repair.last_sent + RESEND_INTERVAL),
            Phase::Outside if self.must_ask_replica_set() => Some(self.repair.last_sent + RESEND_INTERVAL),
            Phase::PersistingMetadata | Phase::Outside => None,
        };
        calls.into_iter().chain(rest).chain(self.snapshot_deadline()).min()
    }
}
