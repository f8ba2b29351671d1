//! The replica's role: promises in response to claims, and appends from owners.
//!
//! The invariant (of a Paxos acceptor): nothing of an epoch below the highest promised one is accepted, and
//! both promise and value are durable before they are confirmed.

use crate::change_log::ChangeRun;
use crate::message::Message;
use crate::mutation::Mutation;
use crate::store::ControlStore;
use crate::types::{Epoch, KeyPosition, Node, Revision};
use crate::value::State;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Rejects messages of an epoch below the promised one.
    fn rejects_lower_epoch(&mut self, from: Node, key: &str, epoch: Epoch) -> bool {
        let Some(promised) = self.keys.get(key).map(|slot| slot.promised) else { return true };
        if epoch < promised {
            self.metrics.rejected_lower_epoch += 1;
            self.send(from, Message::HigherEpoch { key: key.to_owned(), epoch: promised });
        }
        epoch < promised
    }

    /// Another node claims the key: promises not to accept anything of a lower epoch.
    pub(crate) fn on_claim(&mut self, now: Instant, from: Node, key: String, epoch: Epoch) {
        let is_own = epoch.owner == from.0;
        if !is_own || self.slot_or_insert(now, &key).is_none() || self.rejects_lower_epoch(from, &key, epoch)
        {
            return;
        }
        self.observe_epoch(now, &key, epoch);
        let incarnations = self.incarnations();
        let Some(slot) = self.keys.get_mut(&key) else { return };
        slot.owner_last_heard = now;
        let raised = epoch > slot.promised;
        slot.promised = epoch;
        let accepted = slot.accepted;
        if raised && !self.has_mutation(Mutation::PromiseNotDurable) {
            self.persist_key(&key);
        }
        self.send_after_write(now, from, Message::Promise { key, epoch, accepted, incarnations });
    }

    /// Accepts changes from the owner. A lagging replica goes through the earlier revisions in order, so the
    /// resulting revision may belong to an epoch before the owner's.
    pub(crate) fn on_append(
        &mut self,
        now: Instant,
        from: Node,
        key: String,
        epoch: Epoch,
        append: ChangeRun<V::Change>,
    ) {
        let is_own = epoch.owner == from.0 && append.revision.epoch <= epoch;
        if !is_own || self.slot_or_insert(now, &key).is_none() {
            return;
        }
        let accepts_any = self.has_mutation(Mutation::AcceptsLowerEpochAppends);
        if !accepts_any && self.rejects_lower_epoch(from, &key, epoch) {
            return;
        }
        self.observe_epoch(now, &key, epoch);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        slot.owner_last_heard = now;
        slot.promised = slot.promised.max(epoch);
        let (revision, more) = (append.revision, append.more);
        let is_known = slot.accepted.epoch == epoch && slot.accepted >= revision;
        if !is_known && !self.apply_append(now, from, &key, epoch, append) {
            return;
        }
        let Some(accepted) = self.keys.get(&key).map(|slot| slot.accepted) else { return };
        // Also if the append was already applied: it may have been the last one when it arrived first.
        if more && accepted == revision {
            self.report_lagging(from, key.clone(), epoch, false);
        }
        if accepted.epoch == epoch {
            self.confirm_append(now, from, key, accepted);
        }
    }

    /// Applies an append if it continues the value here; otherwise reports what this replica has.
    fn apply_append(
        &mut self,
        now: Instant,
        owner: Node,
        key: &str,
        epoch: Epoch,
        append: ChangeRun<V::Change>,
    ) -> bool {
        let key_count = self.keys.len();
        let Some(slot) = self.keys.get_mut(key) else { return false };
        let follows = slot.accepted == append.base;
        let mut value = slot.value.clone();
        if !follows || !append.changes.iter().all(|change| value.apply(change).is_ok()) {
            self.report_lagging(owner, key.to_owned(), epoch, follows);
            return false;
        }
        if !append.changes.is_empty() {
            slot.changed_at = now;
        }
        slot.value = value;
        slot.accepted = append.revision;
        slot.change_log.push(append.revision, append.changes, key_count);
        self.persist_key(key);
        self.resume_reads(now, key);
        true
    }

    /// Confirms to the owner that its value at this revision is durable here, once it is.
    pub(crate) fn confirm_append(&mut self, now: Instant, owner: Node, key: String, revision: Revision) {
        let incarnations = self.incarnations();
        let (epoch, sequence) = (revision.epoch, revision.sequence);
        self.send_after_write(now, owner, Message::Appended { key, epoch, sequence, incarnations });
    }

    /// Reports this replica's revision to the owner, unless a snapshot of a later one is already being
    /// received.
    fn report_lagging(&mut self, owner: Node, key: String, epoch: Epoch, needs_snapshot: bool) {
        let Some(accepted) = self.keys.get(&key).map(|slot| slot.accepted) else { return };
        if self.incoming_snapshots.get(&key).is_none_or(|snapshot| snapshot.revision <= accepted) {
            self.send(owner, Message::Lagging { key, epoch, accepted, needs_snapshot });
        }
    }

    /// An owner asks whether its epoch is still in force.
    pub(crate) fn on_confirm_epoch(
        &mut self,
        now: Instant,
        from: Node,
        key: String,
        epoch: Epoch,
        round: u64,
    ) {
        if self.slot_or_insert(now, &key).is_some() && !self.rejects_lower_epoch(from, &key, epoch) {
            self.send(from, Message::EpochConfirmed { key, epoch, round });
        }
    }

    /// An owner announces the keys that it owns.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, from: Node, keys: Vec<KeyPosition>) {
        for position in keys {
            let revision = position.revision();
            let KeyPosition { key, epoch, .. } = position;
            let is_own = epoch.owner == from.0;
            if !is_own
                || self.slot_or_insert(now, &key).is_none()
                || self.rejects_lower_epoch(from, &key, epoch)
            {
                continue;
            }
            self.observe_epoch(now, &key, epoch);
            let Some(slot) = self.keys.get_mut(&key) else { continue };
            slot.owner_last_heard = now;
            if slot.accepted < revision {
                self.report_lagging(from, key, epoch, false);
            }
        }
    }

    /// Records an epoch. If this node owns or claims the key under a lower one, it steps down.
    pub(crate) fn observe_epoch(&mut self, now: Instant, key: &str, epoch: Epoch) {
        let Some(slot) = self.slot_or_insert(now, key) else { return };
        if epoch <= slot.highest_epoch {
            return;
        }
        slot.highest_epoch = epoch;
        slot.owner_last_heard = now;
        slot.ownerless_since = None;
        if slot.ownership.epoch().is_some_and(|own| own < epoch) {
            self.step_down(now, key);
        }
    }
}
