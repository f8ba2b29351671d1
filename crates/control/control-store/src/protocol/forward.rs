//! Calls that other nodes forward to this one, and the owners' replies to calls that this node forwarded.

use crate::call::{Caller, ForwardTarget, QueuedCall};
use crate::key_slot::Ownership;
use crate::limits::CALL_TIMEOUT;
use crate::message::{CallOutcome, ForwardReply, Message, Request};
use crate::store::ControlStore;
use crate::types::{Epoch, Node};
use crate::value::State;
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Handles a call forwarded by another node. It is never forwarded further, and is served only under the
    /// epoch that it names. If this node claims the key because of it, the reply carries the new epoch and
    /// the sender forwards the call again.
    pub(crate) fn on_forward(
        &mut self,
        now: Instant,
        from: Node,
        id: u64,
        key: String,
        epoch: Epoch,
        request: Request<V::Change>,
    ) {
        self.observe_epoch(now, &key, epoch);
        // Other nodes forward to the owner that they know, or else to the first in claim order: these claim.
        let is_known_owner = self.keys.get(&key).is_some_and(|slot| slot.highest_epoch.owner == self.node.0);
        let is_first = is_known_owner || self.claim_order(&key).first() == Some(&self.node);
        if self.can_claim() && is_first && self.known_owner(now, &key).is_none() {
            self.claim(now, &key);
        }
        let Some(slot) = self.keys.get_mut(&key) else {
            let reply = ForwardReply::NotOwner(epoch);
            return self.send(from, Message::ForwardReply { id, epoch, reply });
        };
        let forwards = match &mut slot.ownership {
            Ownership::Claiming(claim) if claim.epoch == epoch => &mut claim.forwards,
            Ownership::Owner(owner) if owner.epoch == epoch => &mut owner.forwards,
            _ => {
                let reply = ForwardReply::NotOwner(slot.highest_epoch);
                return self.send_not_owner(now, from, Message::ForwardReply { id, epoch, reply });
            }
        };
        if forwards.insert(from, id) {
            let caller = Caller::Remote { node: from, id, epoch };
            self.enqueue(now, &key, QueuedCall { caller, request, deadline: now + CALL_TIMEOUT });
        }
    }

    /// Sent after the write: the epoch in the reply may be that of a claim here that is not durable yet.
    fn send_not_owner(&mut self, now: Instant, to: Node, message: Message<V, V::Change>) {
        if self.disk_has_space {
            self.send_after_write(now, to, message);
        } else {
            // Without space this node has no claim that is not durable yet.
            self.send(to, message);
        }
    }

    /// Handles the reply of an owner. Commits and values are valid whenever they arrive. A rejection counts
    /// only while the call is still forwarded to the node that rejects it: a later owner may yet commit the
    /// change.
    pub(crate) fn on_forward_reply(
        &mut self,
        now: Instant,
        from: Node,
        id: u64,
        epoch: Epoch,
        reply: ForwardReply<V>,
    ) {
        let Some(call) = self.open_calls.get(&id) else { return };
        let is_current_target = call.forwarded_to() == Some(ForwardTarget { node: from, epoch });
        match reply {
            ForwardReply::Answered(outcome @ (CallOutcome::Committed { .. } | CallOutcome::Value { .. })) => {
                self.answer(Caller::Local(id), outcome)
            }
            ForwardReply::Answered(outcome) if is_current_target => self.answer(Caller::Local(id), outcome),
            ForwardReply::Answered(_) => {}
            ForwardReply::ReadAt(revision) => {
                if call.request == Request::Read {
                    self.answer_read(now, id, revision);
                }
            }
            ForwardReply::NotOwner(highest_epoch) => {
                let key = call.key.clone();
                self.observe_epoch(now, &key, highest_epoch);
                if is_current_target {
                    self.route(now, id);
                }
            }
        }
    }
}
