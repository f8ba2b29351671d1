//! The owner's role: replicates appends and commits them.
//!
//! Each key has at most one append in flight. It is committed once a quorum has confirmed it, and calls are
//! answered only then.

use crate::batch::{is_unversioned, Batch, ImmediateAnswer};
use crate::call::Caller;
use crate::effect::Effect;
use crate::key_slot::{CommittedValue, ConfirmedAppend, InFlightAppend};
use crate::message::{CallOutcome, ForwardReply, Message, Request};
use crate::mutation::Mutation;
use crate::store::ControlStore;
use crate::types::{Epoch, Incarnation, Node, NodeIncarnation, Revision};
use crate::value::State;
use crate::write_queue::AfterWrite;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Writes the last append here and sends it to the other replicas.
    pub(crate) fn replicate_last_append(&mut self, now: Instant, key: &str, epoch: Epoch, sequence: u64) {
        self.persist_key(key);
        for to in self.reachable_replicas() {
            self.send_last_append(now, to, key);
        }
        self.after_write(now, AfterWrite::OwnAppend { key: key.to_owned(), epoch, sequence });
    }

    /// Sends the last append, committed or not: only this owner can write under its epoch. A replica that
    /// lacks the appends before it reports that.
    pub(crate) fn send_last_append(&mut self, now: Instant, to: Node, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        match slot.change_log.base_of_last_append() {
            Some(base) => self.send_changes_since(now, to, key, base),
            None => self.send_first_chunk(now, to, key, None),
        }
    }

    /// Sends what follows `base`: the changes if the change log still has them, else the first chunk of a
    /// snapshot.
    fn send_changes_since(&mut self, now: Instant, to: Node, key: &str, base: Revision) {
        let Some(slot) = self.keys.get(key) else { return };
        let Some(epoch) = slot.owner().map(|owner| owner.epoch) else { return };
        match slot.change_log.since(base, self.snapshot_chunk_bytes) {
            Some(run) => {
                self.metrics.appends_sent += 1;
                let message = Message::Append {
                    key: key.to_owned(),
                    epoch,
                    revision: run.revision,
                    base: run.base,
                    changes: run.changes,
                    more: run.more,
                };
                self.send(to, message);
            }
            None => self.send_first_chunk(now, to, key, Some(base)),
        }
    }

    /// A replica has reported the revision that it has; `None` if it needs a snapshot.
    pub(crate) fn on_lagging(
        &mut self,
        now: Instant,
        from: Node,
        key: String,
        epoch: Epoch,
        accepted: Option<Revision>,
    ) {
        self.metrics.lagging_replicas += 1;
        let Some(slot) = self.keys.get(&key) else { return };
        if slot.owner().is_none_or(|owner| owner.epoch != epoch) || accepted == Some(slot.accepted) {
            return;
        }
        match accepted {
            Some(accepted) => self.send_changes_since(now, from, &key, accepted),
            None => self.send_first_chunk(now, from, &key, None),
        }
    }

    /// A replica has this append on disk.
    pub(crate) fn on_appended(
        &mut self,
        now: Instant,
        from: Node,
        incarnation: Incarnation,
        key: String,
        epoch: Epoch,
        sequence: u64,
    ) {
        if from != self.node && !self.check_incarnation(from, incarnation) {
            return;
        }
        let Some(owner) = self.keys.get_mut(&key).and_then(|slot| slot.owner_mut()) else { return };
        if owner.epoch != epoch || sequence > owner.sequence {
            return;
        }
        let known = owner.confirmed.entry(from).or_default();
        *known = (*known).max(ConfirmedAppend { incarnation, sequence });
        if self.is_append_committed(&key) {
            self.commit(now, &key);
        }
    }

    /// Whether an append is in flight that a quorum has confirmed.
    fn is_append_committed(&self, key: &str) -> bool {
        let Some(owner) = self.keys.get(key).and_then(|slot| slot.owner()) else { return false };
        if owner.in_flight.is_none() {
            return false;
        }
        let confirmed = owner.confirmed.iter().filter(|(_, append)| append.sequence >= owner.sequence);
        let mut answers =
            confirmed.map(|(node, append)| NodeIncarnation { node: *node, incarnation: append.incarnation });
        if self.has_mutation(Mutation::AnswersBeforeQuorum) {
            return answers.next().is_some();
        }
        self.have_quorum(answers)
    }

    /// Commits the append in flight and answers its calls.
    fn commit(&mut self, now: Instant, key: &str) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let value = slot.value.clone();
        let Some(owner) = slot.owner_mut() else { return };
        let revision = owner.last_revision();
        let is_first = owner.committed.is_none();
        owner.committed = Some(CommittedValue { revision, value: value.clone() });
        let calls = owner.in_flight.take().map(|append| append.calls).unwrap_or_default();
        self.metrics.ownerships_taken += u64::from(is_first);
        self.push_effect(Effect::Committed { key: key.to_owned(), revision, value });
        let ends_epoch = calls.iter().any(|waiting| is_unversioned::<V>(&waiting.call.request))
            && !self.has_mutation(Mutation::KeepsEpochAfterUnversionedChange);
        for waiting in calls {
            let outcome = match waiting.applied {
                Ok(changed) => CallOutcome::Committed { revision, changed },
                Err(rejection) => CallOutcome::Rejected(rejection),
            };
            self.answer(waiting.call.caller, outcome);
        }
        match ends_epoch {
            true => self.renew_epoch(now, key),
            false => self.process_queue(now, key),
        }
    }

    /// Processes the queue of a key with a committed value: reads and calls that leave that value as it is
    /// wait for the next confirmation of the epoch, changes go into the next append.
    pub(crate) fn process_queue(&mut self, now: Instant, key: &str) {
        let Some(batch) = self.next_batch(now, key) else { return };
        let key_count = self.keys.len();
        let Some(slot) = self.keys.get_mut(key) else { return };
        slot.queue = batch.queue;
        let Some(owner) = slot.owner_mut() else { return };
        owner.unconfirmed.extend(batch.unconfirmed);
        let mut append = None;
        if let Some(value) = batch.value {
            owner.sequence += 1;
            owner.in_flight = Some(InFlightAppend { last_sent: now, calls: batch.uncommitted });
            let revision = owner.last_revision();
            slot.accepted = revision;
            slot.value = value;
            slot.changed_at = now;
            slot.change_log.push(revision, batch.changes, key_count);
            append = Some(revision);
        }
        for ImmediateAnswer { caller, outcome } in batch.answers {
            self.answer(caller, outcome);
        }
        if let Some(revision) = append {
            self.replicate_last_append(now, key, revision.epoch, revision.sequence);
        }
        self.confirm_epoch(now, key);
    }

    /// Returns a change that was read or forwarded under an epoch before this one.
    fn reject_too_late(&mut self, caller: Caller, highest_epoch: Epoch) {
        match caller {
            Caller::Local(_) => self.answer(caller, CallOutcome::Unknown),
            Caller::Remote { node, id, epoch } => {
                let reply = ForwardReply::NotOwner(highest_epoch);
                self.send(node, Message::ForwardReply { id, epoch, reply });
            }
        }
    }

    /// Sorts the calls in a key's queue; `None` if this node has not committed a value as its owner.
    fn next_batch(&mut self, now: Instant, key: &str) -> Option<Batch<V>> {
        let slot = self.keys.get_mut(key)?;
        let queue = std::mem::take(&mut slot.queue);
        let owner = match slot.owner() {
            Some(owner) if owner.committed.is_some() => owner,
            _ => {
                slot.queue = queue;
                return None;
            }
        };
        let epoch = owner.epoch;
        let committed = owner.committed.as_ref()?;
        let mut too_late = Vec::new();
        let mut batch = Batch::new(self.snapshot_chunk_bytes, owner.in_flight.is_some(), self.mutation);
        for call in queue {
            let local = match call.caller {
                Caller::Local(id) => self.open_calls.get(&id),
                Caller::Remote { .. } => None,
            };
            let (is_open, under) = match call.caller {
                Caller::Local(_) => (local.is_some(), local.and_then(|open| open.under)),
                Caller::Remote { epoch, .. } => (now < call.deadline, Some(epoch)),
            };
            let is_too_late = matches!(call.request, Request::Change(_)) && under.is_some_and(|e| e != epoch);
            if is_open && is_too_late {
                too_late.push(call.caller);
            } else if is_open {
                batch.add(call, committed);
            }
        }
        too_late.into_iter().for_each(|caller| self.reject_too_late(caller, epoch));
        Some(batch)
    }
}
