//! Confirmation of an owner's epoch, for reads and for calls that change nothing.
//!
//! Without it, an owner that was superseded without noticing could return a stale value or reject a change
//! that has become valid since (as with Raft's ReadIndex, section 6.4 of Ongaro's thesis).

use crate::call::{Caller, UnconfirmedCall};
use crate::key_slot::{CommittedValue, EpochConfirmation};
use crate::message::{CallOutcome, ForwardReply, Message, Request};
use crate::store::ControlStore;
use crate::types::{Epoch, Node};
use crate::value::State;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Asks the other replicas whether the epoch is still in force, on behalf of all calls that wait for
    /// that.
    pub(crate) fn confirm_epoch(&mut self, now: Instant, key: &str) {
        let Some(owner) = self.keys.get_mut(key).and_then(|slot| slot.owner_mut()) else { return };
        if owner.unconfirmed.is_empty() || owner.confirmation.is_some() {
            return;
        }
        owner.confirmation_rounds += 1;
        let (epoch, round) = (owner.epoch, owner.confirmation_rounds);
        let calls = std::mem::take(&mut owner.unconfirmed);
        let confirmed = Vec::new();
        owner.confirmation = Some(EpochConfirmation { round, last_sent: now, confirmed, calls });
        self.broadcast(&Message::ConfirmEpoch { key: key.to_owned(), epoch, round });
        self.on_epoch_confirmed(now, self.node, key.to_owned(), epoch, round);
    }

    /// A node has not promised a higher epoch. Once a quorum has said so, the waiting calls are answered.
    pub(crate) fn on_epoch_confirmed(
        &mut self,
        now: Instant,
        from: Node,
        key: String,
        epoch: Epoch,
        round: u64,
    ) {
        let Some(owner) = self.keys.get_mut(&key).and_then(|slot| slot.owner_mut()) else { return };
        if owner.committed.is_none() || owner.epoch != epoch {
            return;
        }
        let Some(confirmation) = owner.confirmation.as_mut().filter(|c| c.round == round) else { return };
        if !confirmation.confirmed.contains(&from) {
            confirmation.confirmed.push(from);
        }
        let confirmed = confirmation.confirmed.clone();
        if !self.is_quorum(&confirmed) {
            return;
        }
        let Some(owner) = self.keys.get_mut(&key).and_then(|slot| slot.owner_mut()) else { return };
        let Some(committed) = owner.committed.clone() else { return };
        let calls = owner.confirmation.take().map(|confirmation| confirmation.calls).unwrap_or_default();
        for waiting in calls {
            self.answer_confirmed(waiting, &committed);
        }
        self.confirm_epoch(now, &key);
    }

    /// Answers a call that waited for the confirmation, from the value committed by now.
    fn answer_confirmed(&mut self, waiting: UnconfirmedCall<V::Change>, committed: &CommittedValue<V>) {
        let UnconfirmedCall { call, rejection } = waiting;
        let revision = committed.revision;
        if let (Caller::Remote { node, id, epoch }, Request::Read) = (call.caller, &call.request) {
            let reply = ForwardReply::ReadAt(revision);
            self.send(node, Message::ForwardReply { id, epoch, reply });
            return;
        }
        let outcome = match (call.request, rejection) {
            (_, Some(rejection)) => CallOutcome::Rejected(rejection),
            (Request::Read | Request::ReadValue, None) => {
                CallOutcome::Value { revision, value: committed.value.clone() }
            }
            (Request::Change(_), None) => CallOutcome::Committed { revision, changed: false },
        };
        self.answer(call.caller, outcome);
    }
}
