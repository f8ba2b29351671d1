//! Calls of this node's callers: routes each to the node that serves it, and answers it in time.

use crate::call::{Call, CallRoute, CallStart, Caller, ForwardTarget, QueuedCall, ReadEpoch};
use crate::effect::Effect;
use crate::key_slot::Ownership;
use crate::limits::{CALL_TIMEOUT, FORWARD_TIMEOUT, MAX_FORWARDS_PER_CALL, MAX_OPEN_CALLS, MAX_QUEUED_CALLS};
use crate::message::{CallOutcome, ForwardReply, Message, Request};
use crate::mutation::Mutation;
use crate::store::ControlStore;
use crate::types::{Epoch, Node, Revision};
use crate::value::{Rejection, State};
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Changes the key's value. The outcome is an [`Effect::Answer`] with this token, within 800 ms.
    pub fn call(&mut self, now: Instant, token: u64, key: &str, change: V::Change) {
        self.begin_call(now, token, key, CallStart::at(now, Request::Change(change)));
    }

    /// Changes the key's value only while the key is owned under the epoch that a read has returned: not if an
    /// unversioned change was committed since. The outcome is an [`Effect::Answer`] with this token, within 800 ms
    /// of the caller's call.
    pub fn call_under(&mut self, now: Instant, token: u64, key: &str, change: V::Change, read: ReadEpoch) {
        let ReadEpoch { epoch, called_at } = read;
        let request = Request::Change(change);
        self.begin_call(now, token, key, CallStart { request, called_at, under: Some(epoch) });
    }

    /// Whether a call that was made after `made_after` is newer than every unversioned change up to this revision, which was
    /// read from a majority. A call that was made after this node knew the latest change was made after all of them; any
    /// other one may have lain somewhere, and may be older.
    pub fn is_newer_than_changes(&self, key: &str, read: Revision, made_after: Instant) -> bool {
        let Some(slot) = self.keys.get(key) else { return false };
        let is_known = slot.accepted == read && slot.changed_at <= made_after;
        is_known || self.has_mutation(Mutation::TakesAnyCallForNew)
    }

    /// Gives up the call with this token, if it is open. What was already sent on may still be served.
    pub fn cancel(&mut self, token: u64) {
        self.open_calls.retain(|_, call| call.token != token);
    }

    /// Reads the key's value, including everything acknowledged before the read. The outcome is returned as
    /// for a change.
    pub fn read(&mut self, now: Instant, token: u64, key: &str) {
        self.begin_call(now, token, key, CallStart::at(now, Request::Read));
    }

    fn begin_call(&mut self, now: Instant, token: u64, key: &str, start: CallStart<V::Change>) {
        let CallStart { request, called_at, under } = start;
        if self.slot_or_insert(now, key).is_none() {
            let reason = format!("no room for a further key ({} bytes)", key.len());
            let outcome = CallOutcome::Rejected(Rejection { conflict: false, reason });
            self.push_effect(Effect::Answer { token, outcome });
            return;
        }
        if self.open_calls.len() >= MAX_OPEN_CALLS {
            self.metrics.unknown_outcomes += 1;
            self.push_effect(Effect::Answer { token, outcome: CallOutcome::Unknown });
            return;
        }
        let call = Call {
            token,
            key: key.to_owned(),
            request,
            deadline: called_at + CALL_TIMEOUT,
            under,
            tried_targets: Vec::new(),
            route: CallRoute::Local,
        };
        self.open_call(now, call);
    }

    /// Assigns the next id to a call and routes it.
    fn open_call(&mut self, now: Instant, call: Call<V::Change>) {
        self.last_call_id = self.last_call_id.wrapping_add(1);
        self.open_calls.insert(self.last_call_id, call);
        self.route(now, self.last_call_id);
    }

    /// Routes an open call: to this node, to the owner, or to the node that should become the owner. One whose
    /// deadline has passed goes nowhere.
    pub(crate) fn route(&mut self, now: Instant, id: u64) {
        let Some(call) = self.open_calls.get(&id) else { return };
        if now >= call.deadline {
            return self.answer(Caller::Local(id), CallOutcome::Unknown);
        }
        if let Some(epoch) = call.under {
            return self.route_under(now, id, epoch);
        }
        let Some(slot) = self.keys.get(&call.key) else { return };
        if slot.is_replica() {
            if let Some(target) = self.forward_target(now, call) {
                return self.forward(now, id, target);
            }
        }
        let can_claim = self.can_claim();
        let Some(call) = self.open_calls.get_mut(&id) else { return };
        if !can_claim {
            call.tried_targets.clear();
            call.route = CallRoute::Parked(now + FORWARD_TIMEOUT);
            return;
        }
        call.route = CallRoute::Local;
        let (request, deadline) = (call.request.clone(), call.deadline);
        let key = call.key.clone();
        self.enqueue(now, &key, QueuedCall { caller: Caller::Local(id), request, deadline });
    }

    /// Routes a call to the owner under the only epoch under which it may be served, once.
    fn route_under(&mut self, now: Instant, id: u64, epoch: Epoch) {
        let Some(call) = self.open_calls.get_mut(&id) else { return };
        let (key, target) = (call.key.clone(), ForwardTarget { node: Node(epoch.owner), epoch });
        let owner = self.keys.get(&key).and_then(|slot| slot.owner());
        if owner.is_some_and(|owner| owner.epoch == epoch) {
            call.route = CallRoute::Local;
            let (request, deadline) = (call.request.clone(), call.deadline);
            self.enqueue(now, &key, QueuedCall { caller: Caller::Local(id), request, deadline });
        } else if call.tried_targets.is_empty() && self.reachable.contains(&target.node) {
            self.forward(now, id, target);
        } else {
            self.answer(Caller::Local(id), CallOutcome::Unknown);
        }
    }

    /// The node to forward a call to: the owner, or the one that should claim the key. A node that can't
    /// claim the key itself tries any other.
    fn forward_target(&self, now: Instant, call: &Call<V::Change>) -> Option<ForwardTarget> {
        let epoch = self.keys.get(&call.key)?.highest_epoch;
        let order = self.claim_order(&call.key);
        let is_untried = |t: &ForwardTarget| t.node != self.node && !call.tried_targets.contains(t);
        let first = order.first().map(|node| ForwardTarget { node: *node, epoch });
        let mut target = self.known_owner(now, &call.key).or(first);
        if !self.can_claim() {
            let others = order.iter().map(|node| ForwardTarget { node: *node, epoch });
            target = target.into_iter().chain(others).find(is_untried);
        }
        target.filter(|target| is_untried(target) && call.tried_targets.len() < MAX_FORWARDS_PER_CALL)
    }

    fn forward(&mut self, now: Instant, id: u64, target: ForwardTarget) {
        let is_voter = self.is_voter();
        let Some(call) = self.open_calls.get_mut(&id) else { return };
        let request = match &call.request {
            // This node has no replicated value to read from.
            Request::Read if !is_voter => Request::ReadValue,
            request => request.clone(),
        };
        let message = Message::Forward { id, key: call.key.clone(), epoch: target.epoch, request };
        call.tried_targets.push(target);
        call.route = CallRoute::Forwarded { target, since: now };
        self.metrics.forwarded += 1;
        self.send(target.node, message);
    }

    /// Queues a call at the key, and claims the key if this node neither owns nor claims it.
    pub(crate) fn enqueue(&mut self, now: Instant, key: &str, call: QueuedCall<V::Change>) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let unconfirmed = slot.owner().map_or(0, |owner| owner.unconfirmed.len());
        if slot.queue.len() + unconfirmed >= MAX_QUEUED_CALLS {
            self.answer(call.caller, CallOutcome::Unknown);
            return;
        }
        slot.queue.push_back(call);
        match slot.ownership {
            Ownership::Replica => self.claim(now, key),
            Ownership::Claiming(_) => {}
            Ownership::Owner(_) => self.process_queue(now, key),
        }
    }

    /// Answers a read for which the owner returned this revision, from the local value once it has reached
    /// it. If the local value is already past it, it may not be committed, so the owner is asked for the
    /// value itself.
    pub(crate) fn answer_read(&mut self, now: Instant, id: u64, revision: Revision) {
        let Some(call) = self.open_calls.get_mut(&id) else { return };
        let Some(slot) = self.keys.get(&call.key) else { return };
        if slot.accepted == revision {
            let value = slot.value.clone();
            self.answer(Caller::Local(id), CallOutcome::Value { revision, value });
        } else if slot.accepted < revision {
            call.route = CallRoute::AwaitingRevision(revision);
            let key = call.key.clone();
            self.request_catch_up(&key, revision.epoch);
        } else if let Some(mut call) = self.open_calls.remove(&id) {
            call.request = Request::ReadValue;
            call.tried_targets.clear();
            // Under a new id: the owner ignores one that it has already served.
            self.open_call(now, call);
        }
    }

    /// The local value has changed: answers the reads that waited for it.
    pub(crate) fn resume_reads(&mut self, now: Instant, key: &str) {
        let waiting = |(id, call): (&u64, &Call<V::Change>)| match call.route {
            CallRoute::AwaitingRevision(revision) if call.key == key => Some((*id, revision)),
            _ => None,
        };
        let waiting: Vec<(u64, Revision)> = self.open_calls.iter().filter_map(waiting).collect();
        for (id, revision) in waiting {
            self.answer_read(now, id, revision);
        }
    }

    /// Answers a local caller, or the node that forwarded the call.
    pub(crate) fn answer(&mut self, caller: Caller, outcome: CallOutcome<V>) {
        match caller {
            Caller::Remote { node, id, epoch } => {
                let reply = ForwardReply::Answered(outcome);
                self.send(node, Message::ForwardReply { id, epoch, reply });
            }
            Caller::Local(id) => {
                if let Some(call) = self.open_calls.remove(&id) {
                    self.metrics.unknown_outcomes += u64::from(outcome == CallOutcome::Unknown);
                    self.push_effect(Effect::Answer { token: call.token, outcome });
                }
            }
        }
    }

    /// Reroutes calls that were forwarded to a node that is no longer reachable.
    pub(crate) fn reroute_calls_forwarded_to(&mut self, now: Instant, node: Node) {
        let is_there = |call: &Call<V::Change>| call.forwarded_to().is_some_and(|to| to.node == node);
        let calls = self.open_calls.iter().filter(|(_, call)| is_there(call));
        let ids: Vec<u64> = calls.map(|(id, _)| *id).collect();
        for id in ids {
            self.route(now, id);
        }
    }

    /// Reroutes all calls that are not served here: the replica set has changed, or this node can claim now.
    pub(crate) fn reroute_calls(&mut self, now: Instant) {
        let mut ids = Vec::new();
        for (id, call) in &mut self.open_calls {
            if !matches!(call.route, CallRoute::Local) && call.under.is_none() {
                call.tried_targets.clear();
                ids.push(*id);
            }
        }
        for id in ids {
            self.route(now, id);
        }
    }

    /// Answers calls whose deadline has passed, and reroutes those without a reply.
    pub(crate) fn tick_calls(&mut self, now: Instant) {
        let due = self.open_calls.iter().filter(|(_, call)| call.next_deadline() <= now);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            match self.open_calls.get(&id) {
                Some(call) if call.deadline <= now => self.answer(Caller::Local(id), CallOutcome::Unknown),
                Some(call) if call.next_deadline() <= now => self.route(now, id),
                _ => {}
            }
        }
    }
}
