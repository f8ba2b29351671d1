//! Calls and reads: where they are served, forwarded, and answered in time.

use crate::limits::{CALL_LIMIT, FORWARDS, FORWARD_LIMIT, OPEN, QUEUE};
use crate::message::{CallOutcome, Effect, ForwardReply, Message, Request};
use crate::state::{After, Ownership};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, Rejection, Revision, State};
use std::collections::{BTreeSet, VecDeque};

/// Who waits for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Who {
    /// A call of this node.
    Local(u64),
    /// One that was forwarded here, under which epoch.
    Remote(Node, u64, Epoch),
}

/// A call at the place that serves it.
#[derive(Clone, Debug)]
pub(crate) struct Job<C> {
    pub who: Who,
    pub ask: Request<C>,
    pub until: Micros,
}

/// The calls that were forwarded here under one epoch, the last `FORWARDS` of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forwards {
    known: BTreeSet<(Node, u64)>,
    order: VecDeque<(Node, u64)>,
}

impl Forwards {
    fn first_time(&mut self, from: Node, id: u64) -> bool {
        if !self.known.insert((from, id)) {
            return false;
        }
        self.order.push_back((from, id));
        if self.order.len() > FORWARDS {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        true
    }
}

#[derive(Clone, Debug)]
enum At {
    /// In its key's queue, copy or question.
    Here,
    /// To whom, under which epoch, when.
    Forwarded(Node, Epoch, Micros),
    /// Nobody to turn to until then.
    Parked(Micros),
    /// What is read stands at this revision; the copy here doesn't yet.
    Behind(Revision),
}

/// A call of this node's caller.
#[derive(Clone, Debug)]
pub(crate) struct Call<C> {
    token: u64,
    key: String,
    ask: Request<C>,
    until: Micros,
    /// To whom it was forwarded, as owner of which epoch. At most `TRIES`.
    tried: Vec<(Node, Epoch)>,
    at: At,
}

/// A call is forwarded this often at most; then this node claims the key.
const TRIES: usize = 6;

impl<C> Call<C> {
    pub(crate) fn due(&self) -> Micros {
        match self.at {
            At::Here | At::Behind(_) => self.until,
            At::Forwarded(_, _, since) => self.until.min(since + FORWARD_LIMIT),
            At::Parked(until) => self.until.min(until),
        }
    }
}

impl<P: State> ControlStore<P> {
    /// A change. Its answer comes within `CALL_LIMIT`.
    pub fn call(&mut self, now: Micros, token: u64, key: &str, change: P::Change) {
        self.begin(now, token, key, Request::Change(change));
    }

    /// A read of all that was acknowledged before it.
    pub fn read(&mut self, now: Micros, token: u64, key: &str) {
        self.begin(now, token, key, Request::Read);
    }

    fn begin(&mut self, now: Micros, token: u64, key: &str, ask: Request<P::Change>) {
        if self.slot(now, key).is_none() {
            let refusal = Rejection {
                conflict: false,
                reason: format!("no room for a further key ({} bytes)", key.len()),
            };
            self.effect(Effect::Answer { token, verdict: CallOutcome::Rejected(refusal) });
            return;
        }
        if self.open.len() >= OPEN {
            self.figures.unsettled += 1;
            self.effect(Effect::Answer { token, verdict: CallOutcome::Unknown });
            return;
        }
        self.next_call = self.next_call.wrapping_add(1);
        let call = Call {
            token,
            key: key.to_owned(),
            ask,
            until: now + CALL_LIMIT,
            tried: Vec::new(),
            at: At::Here,
        };
        self.open.insert(self.next_call, call);
        self.route(now, self.next_call);
    }

    /// Finds a place for an open call: here, at the owner, or at who should be.
    pub(crate) fn route(&mut self, now: Micros, id: u64) {
        let Some(call) = self.open.get(&id) else { return };
        let key = call.key.clone();
        let Some(slot) = self.keys.get(&key) else { return };
        let replica = matches!(slot.ownership, Ownership::Replica);
        if replica {
            let seen = slot.seen;
            let order = self.order(&key);
            let mut to = self.known_owner(now, &key).or_else(|| order.first().map(|first| (*first, seen)));
            if !self.able() {
                let others = order.iter().filter(|n| **n != self.me).map(|n| (*n, seen));
                to = to.into_iter().chain(others).find(|to| to.0 != self.me && !call.tried.contains(to));
            }
            let to = to.filter(|to| to.0 != self.me && !call.tried.contains(to) && call.tried.len() < TRIES);
            if let Some(to) = to {
                let ask = match &call.ask {
                    Request::Read if !self.is_voter() => Request::ReadValue,
                    ask => ask.clone(),
                };
                let message = Message::Forward { id, key, under: to.1, ask };
                if let Some(call) = self.open.get_mut(&id) {
                    call.tried.push(to);
                    call.at = At::Forwarded(to.0, to.1, now);
                }
                self.figures.forwarded += 1;
                self.send(to.0, message);
                return;
            }
        }
        let able = self.able();
        let Some(call) = self.open.get_mut(&id) else { return };
        if !able {
            call.tried.clear();
            call.at = At::Parked(now + FORWARD_LIMIT);
            return;
        }
        call.at = At::Here;
        let job = Job { who: Who::Local(id), ask: call.ask.clone(), until: call.until };
        self.enqueue(now, &key, job);
    }

    /// Puts a job where the key is owned or claimed, and claims it if need be.
    fn enqueue(&mut self, now: Micros, key: &str, job: Job<P::Change>) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let asked = match &slot.ownership {
            Ownership::Owner(owner) => owner.asked.len(),
            _ => 0,
        };
        if slot.queue.len() + asked >= QUEUE {
            self.finish(job.who, CallOutcome::Unknown);
            return;
        }
        slot.queue.push_back(job);
        match slot.ownership {
            Ownership::Replica => self.claim(now, key),
            Ownership::Claiming(_) => {}
            Ownership::Owner(_) => self.pump(now, key),
        }
    }

    /// A call of another's caller. It is never forwarded further, and served only under the epoch it names: who claims the
    /// key for it says under which, and it comes again.
    pub(crate) fn on_forward(
        &mut self,
        now: Micros,
        from: Node,
        id: u64,
        key: String,
        under: Epoch,
        ask: Request<P::Change>,
    ) {
        self.learn(now, &key, under);
        let able = self.able();
        // Who is believed to own it and does not, or is first in line: all others would turn to it.
        let believed = self.keys.get(&key).is_some_and(|slot| slot.seen.owner == self.me.0);
        let first = believed || self.order(&key).first() == Some(&self.me);
        let unowned = self.known_owner(now, &key).is_none() && first;
        if able && unowned {
            self.claim(now, &key);
        }
        let Some(slot) = self.keys.get_mut(&key) else {
            self.send(from, Message::ForwardReply { id, under, forwarded: ForwardReply::NotOwner(under) });
            return;
        };
        let own = match &mut slot.ownership {
            Ownership::Replica => None,
            Ownership::Claiming(claim) => Some((claim.epoch, &mut claim.forwards)),
            Ownership::Owner(owner) => Some((owner.epoch, &mut owner.forwards)),
        };
        match own {
            Some((epoch, forwards)) if epoch == under => {
                if forwards.first_time(from, id) {
                    self.enqueue(
                        now,
                        &key,
                        Job { who: Who::Remote(from, id, under), ask, until: now + CALL_LIMIT },
                    );
                }
            }
            _ => {
                let forwarded = ForwardReply::NotOwner(slot.seen);
                let message = Message::ForwardReply { id, under, forwarded };
                // Without room there is no claim of its own that is not durable yet.
                if self.disk_has_space() {
                    self.later(now, After::Send(self.replica_set.version, from, message));
                } else {
                    self.send(from, message);
                }
            }
        }
    }

    /// What an owner says. That a change is done, and a read's value, hold whenever they come. A refusal counts only
    /// while the call rests with who refuses: in the hands of a later owner it may come into force.
    pub(crate) fn on_verdict(
        &mut self,
        now: Micros,
        from: Node,
        id: u64,
        under: Epoch,
        forwarded: ForwardReply<P>,
    ) {
        let Some(call) = self.open.get(&id) else { return };
        let here = matches!(call.at, At::Forwarded(to, epoch, _) if (to, epoch) == (from, under));
        match forwarded {
            ForwardReply::Answered(verdict @ (CallOutcome::Committed { .. } | CallOutcome::Value { .. })) => {
                self.finish(Who::Local(id), verdict);
            }
            ForwardReply::Answered(verdict) if here => self.finish(Who::Local(id), verdict),
            ForwardReply::Answered(_) => {}
            ForwardReply::ReadAt(revision) => {
                if call.ask == Request::Read {
                    self.read_here(now, id, revision);
                }
            }
            ForwardReply::NotOwner(epoch) => {
                let key = call.key.clone();
                self.learn(now, &key, epoch);
                if here {
                    self.route(now, id);
                }
            }
        }
    }

    /// What is read stands at this revision: answered with the copy here, once that is there; if it has gone on already, to what
    /// nobody may know to be committed, it is asked for whole.
    fn read_here(&mut self, now: Micros, id: u64, revision: Revision) {
        let Some(call) = self.open.get_mut(&id) else { return };
        let Some(slot) = self.keys.get(&call.key) else { return };
        if slot.accepted == revision {
            let value = slot.value.clone();
            self.finish(Who::Local(id), CallOutcome::Value { revision, value });
        } else if slot.accepted < revision {
            call.at = At::Behind(revision);
            let key = call.key.clone();
            self.ask_for_more(&key, revision.epoch);
        } else if let Some(mut call) = self.open.remove(&id) {
            call.ask = Request::ReadValue;
            call.tried.clear();
            // Under another number: this one was served.
            self.next_call = self.next_call.wrapping_add(1);
            self.open.insert(self.next_call, call);
            self.route(now, self.next_call);
        }
    }

    /// The copy here has gone on: answers what waited for it.
    pub(crate) fn reads_go_on(&mut self, now: Micros, key: &str) {
        let waits = |(id, call): (&u64, &Call<P::Change>)| match call.at {
            At::Behind(revision) if call.key == key => Some((*id, revision)),
            _ => None,
        };
        let waiting: Vec<(u64, Revision)> = self.open.iter().filter_map(waits).collect();
        for (id, revision) in waiting {
            self.read_here(now, id, revision);
        }
    }

    /// Answers a job's caller, or who forwarded it.
    pub(crate) fn finish(&mut self, who: Who, verdict: CallOutcome<P>) {
        match who {
            Who::Remote(to, id, under) => {
                self.send(
                    to,
                    Message::ForwardReply { id, under, forwarded: ForwardReply::Answered(verdict) },
                );
            }
            Who::Local(id) => {
                if let Some(call) = self.open.remove(&id) {
                    self.figures.unsettled += u64::from(verdict == CallOutcome::Unknown);
                    self.effect(Effect::Answer { token: call.token, verdict });
                }
            }
        }
    }

    /// Calls forwarded to these get another place.
    pub(crate) fn forwards_failed(&mut self, now: Micros, gone: impl Fn(Node) -> bool) {
        let failed = |call: &Call<P::Change>| matches!(call.at, At::Forwarded(to, ..) if gone(to));
        let ids: Vec<u64> = self.open.iter().filter(|(_, call)| failed(call)).map(|(id, _)| *id).collect();
        for id in ids {
            self.route(now, id);
        }
    }

    /// All calls that are not at home here get another place: the replicas are others now, or this node is one.
    pub(crate) fn reroute(&mut self, now: Micros) {
        let mut ids = Vec::new();
        for (id, call) in &mut self.open {
            if !matches!(call.at, At::Here) {
                call.tried.clear();
                ids.push(*id);
            }
        }
        for id in ids {
            self.route(now, id);
        }
    }

    pub(crate) fn tick_calls(&mut self, now: Micros) {
        let due: Vec<u64> =
            self.open.iter().filter(|(_, call)| call.due() <= now).map(|(id, _)| *id).collect();
        for id in due {
            match self.open.get(&id).map(|call| (call.until, call.due())) {
                Some((until, _)) if until <= now => self.finish(Who::Local(id), CallOutcome::Unknown),
                Some((_, at)) if at <= now => self.route(now, id),
                _ => {}
            }
        }
    }
}
