//! Calls and reads: where they are served, passed, and answered in time.

use crate::ledger::{After, Ledger, Stand, CALL_LIMIT, OPEN, PASSES, PASS_LIMIT, QUEUE};
use crate::letter::{Ask, Deed, Letter, Passed, Verdict};
use crate::{Epoch, Micros, Node, Page, Refusal};
use std::collections::{BTreeSet, VecDeque};

/// Who waits for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Who {
    /// A call of this node.
    Local(u64),
    /// One that was passed here, under which epoch.
    Remote(Node, u64, Epoch),
}

/// A call at the place that serves it.
pub(crate) struct Job<C> {
    pub who: Who,
    pub ask: Ask<C>,
    pub until: Micros,
}

/// The calls that were passed here under one epoch, the last `PASSES` of them.
#[derive(Default)]
pub(crate) struct Passes {
    known: BTreeSet<(Node, u64)>,
    order: VecDeque<(Node, u64)>,
}

impl Passes {
    fn first_time(&mut self, from: Node, id: u64) -> bool {
        if !self.known.insert((from, id)) {
            return false;
        }
        self.order.push_back((from, id));
        if self.order.len() > PASSES {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        true
    }
}

enum At {
    /// In its key's queue, copy or question.
    Here,
    /// To whom, under which epoch, when.
    Passed(Node, Epoch, Micros),
    /// Nobody to turn to until then.
    Parked(Micros),
}

/// A call of this node's caller.
pub(crate) struct Call<C> {
    token: u64,
    key: String,
    ask: Ask<C>,
    until: Micros,
    /// To whom it was passed, as owner of which epoch. At most `TRIES`.
    tried: Vec<(Node, Epoch)>,
    at: At,
}

/// A call is passed this often at most; then this node claims the key.
const TRIES: usize = 6;

impl<C> Call<C> {
    pub(crate) fn due(&self) -> Micros {
        match self.at {
            At::Here => self.until,
            At::Passed(_, _, since) => self.until.min(since + PASS_LIMIT),
            At::Parked(until) => self.until.min(until),
        }
    }
}

impl<P: Page> Ledger<P> {
    /// A change. Its answer comes within `CALL_LIMIT`.
    pub fn call(&mut self, now: Micros, token: u64, key: &str, change: P::Change) {
        self.begin(now, token, key, Ask::Change(change));
    }

    /// A read of all that was acknowledged before it.
    pub fn read(&mut self, now: Micros, token: u64, key: &str) {
        self.begin(now, token, key, Ask::Read);
    }

    fn begin(&mut self, now: Micros, token: u64, key: &str, ask: Ask<P::Change>) {
        if self.slot(now, key).is_none() {
            let refusal = Refusal {
                conflict: false,
                reason: format!("no room for a further key ({} bytes)", key.len()),
            };
            self.deed(Deed::Answer { token, verdict: Verdict::Refused(refusal) });
            return;
        }
        if self.open.len() >= OPEN {
            self.figures.unsettled += 1;
            self.deed(Deed::Answer { token, verdict: Verdict::Unsettled });
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
        let holder = matches!(slot.stand, Stand::Holder);
        if holder {
            let seen = slot.seen;
            let order = self.order(&key);
            let mut to = self.known_owner(now, &key).or_else(|| order.first().map(|first| (*first, seen)));
            if !self.voter() {
                let others = order.iter().filter(|n| **n != self.me).map(|n| (*n, seen));
                to = to.into_iter().chain(others).find(|to| to.0 != self.me && !call.tried.contains(to));
            }
            let to = to.filter(|to| to.0 != self.me && !call.tried.contains(to) && call.tried.len() < TRIES);
            if let Some(to) = to {
                let letter = Letter::Pass { id, key, under: to.1, ask: call.ask.clone() };
                if let Some(call) = self.open.get_mut(&id) {
                    call.tried.push(to);
                    call.at = At::Passed(to.0, to.1, now);
                }
                self.figures.passed += 1;
                self.send(to.0, letter);
                return;
            }
        }
        let voter = self.voter();
        let Some(call) = self.open.get_mut(&id) else { return };
        if !voter {
            call.tried.clear();
            call.at = At::Parked(now + PASS_LIMIT);
            return;
        }
        call.at = At::Here;
        let job = Job { who: Who::Local(id), ask: call.ask.clone(), until: call.until };
        self.enqueue(now, &key, job);
    }

    /// Puts a job where the key is owned or claimed, and claims it if need be.
    fn enqueue(&mut self, now: Micros, key: &str, job: Job<P::Change>) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let asked = match &slot.stand {
            Stand::Owner(owner) => owner.asked.len(),
            _ => 0,
        };
        if slot.queue.len() + asked >= QUEUE {
            self.finish(job.who, Verdict::Unsettled);
            return;
        }
        slot.queue.push_back(job);
        match slot.stand {
            Stand::Holder => self.claim(now, key),
            Stand::Claiming(_) => {}
            Stand::Owner(_) => self.pump(now, key),
        }
    }

    /// A call of another's caller. It is never passed further, and served only under the epoch it names: who claims the
    /// key for it says under which, and it comes again.
    pub(crate) fn on_pass(
        &mut self,
        now: Micros,
        from: Node,
        id: u64,
        key: String,
        under: Epoch,
        ask: Ask<P::Change>,
    ) {
        self.learn(now, &key, under);
        let voter = self.voter();
        let unowned = self.known_owner(now, &key).is_none() && self.order(&key).first() == Some(&self.me);
        if voter && unowned {
            self.claim(now, &key);
        }
        let Some(slot) = self.keys.get_mut(&key) else {
            self.send(from, Letter::Verdict { id, under, passed: Passed::NotOwner(under) });
            return;
        };
        let own = match &mut slot.stand {
            Stand::Holder => None,
            Stand::Claiming(claim) => Some((claim.epoch, &mut claim.passes)),
            Stand::Owner(owner) => Some((owner.epoch, &mut owner.passes)),
        };
        match own {
            Some((epoch, passes)) if epoch == under => {
                if passes.first_time(from, id) {
                    self.enqueue(
                        now,
                        &key,
                        Job { who: Who::Remote(from, id, under), ask, until: now + CALL_LIMIT },
                    );
                }
            }
            _ => {
                let passed = Passed::NotOwner(slot.seen);
                let version = self.roster.version;
                self.later(now, After::Send(version, from, Letter::Verdict { id, under, passed }));
            }
        }
    }

    /// What an owner says. That a change is done, and a read's page, hold whenever they come. A refusal counts only
    /// while the call rests with who refuses: in the hands of a later owner it may come into force.
    pub(crate) fn on_verdict(&mut self, now: Micros, from: Node, id: u64, under: Epoch, passed: Passed<P>) {
        let Some(call) = self.open.get(&id) else { return };
        let here = matches!(call.at, At::Passed(to, epoch, _) if (to, epoch) == (from, under));
        match passed {
            Passed::Given(verdict @ (Verdict::Done { .. } | Verdict::Page { .. })) => {
                self.finish(Who::Local(id), verdict);
            }
            Passed::Given(verdict) if here => self.finish(Who::Local(id), verdict),
            Passed::Given(_) => {}
            Passed::NotOwner(epoch) => {
                let key = call.key.clone();
                self.learn(now, &key, epoch);
                if here {
                    self.route(now, id);
                }
            }
        }
    }

    /// Answers a job's caller, or who passed it.
    pub(crate) fn finish(&mut self, who: Who, verdict: Verdict<P>) {
        match who {
            Who::Remote(to, id, under) => {
                self.send(to, Letter::Verdict { id, under, passed: Passed::Given(verdict) });
            }
            Who::Local(id) => {
                if let Some(call) = self.open.remove(&id) {
                    self.figures.unsettled += u64::from(verdict == Verdict::Unsettled);
                    self.deed(Deed::Answer { token: call.token, verdict });
                }
            }
        }
    }

    /// Calls passed to these get another place.
    pub(crate) fn passes_failed(&mut self, now: Micros, gone: impl Fn(Node) -> bool) {
        let failed = |call: &Call<P::Change>| matches!(call.at, At::Passed(to, ..) if gone(to));
        let ids: Vec<u64> = self.open.iter().filter(|(_, call)| failed(call)).map(|(id, _)| *id).collect();
        for id in ids {
            self.route(now, id);
        }
    }

    /// All calls that are not at home here get another place: the holders are others now, or this node is one.
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
                Some((until, _)) if until <= now => self.finish(Who::Local(id), Verdict::Unsettled),
                Some((_, at)) if at <= now => self.route(now, id),
                _ => {}
            }
        }
    }
}
