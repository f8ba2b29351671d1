//! Claims: how this node takes a key, leaves it to one that has more, and gives it up.

use crate::calls::{Forwards, Job, Who};
use crate::limits::{OWNERLESS, RESEND, SILENT};
use crate::message::{ForwardReply, Incarnation, Message};
use crate::mutation::Mutation;
use crate::state::{After, Claim, Flight, Owner, Ownership, Slot};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, Revision, State};
use std::collections::BTreeMap;

impl<P: State> ControlStore<P> {
    /// Wants to own the key. The epoch is durable here before anybody hears of it, so that no later start uses it
    /// again.
    pub(crate) fn claim(&mut self, now: Micros, key: &str) {
        if !self.able() {
            return;
        }
        let me = self.me.0;
        let Some(slot) = self.keys.get_mut(key) else { return };
        if !matches!(slot.ownership, Ownership::Replica) || now < slot.not_before {
            return;
        }
        let epoch = Epoch { round: slot.seen.max(slot.promised).round.saturating_add(1), owner: me };
        let before = slot.seen;
        slot.promised = epoch;
        slot.seen = epoch;
        slot.ownerless = None;
        slot.ownership = Ownership::Claiming(Claim {
            epoch,
            before,
            promises: BTreeMap::new(),
            accepted: BTreeMap::new(),
            yielded: None,
            sent: now,
            forwards: Forwards::default(),
        });
        self.figures.claims += 1;
        self.write_key(key);
        self.later(now, After::Promised { key: key.to_owned(), epoch });
    }

    /// The claim is durable here: the others hear of it.
    pub(crate) fn own_promise(&mut self, now: Micros, key: String, epoch: Epoch) {
        let (me, incarnation) = (self.me, self.incarnation);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        let Ownership::Claiming(claim) = &mut slot.ownership else { return };
        if claim.epoch != epoch {
            return;
        }
        claim.promises.insert(me, incarnation);
        claim.sent = now;
        for to in self.others() {
            self.send(to, Message::Claim { key: key.clone(), epoch });
        }
        self.take(now, &key);
    }

    /// A replica has promised the epoch claimed.
    pub(crate) fn on_promise(
        &mut self,
        now: Micros,
        from: Node,
        key: String,
        epoch: Epoch,
        accepted: Revision,
        incarnation: Incarnation,
    ) {
        if !self.alive(from, incarnation) {
            return;
        }
        let Some(slot) = self.keys.get_mut(&key) else { return };
        let Ownership::Claiming(claim) = &mut slot.ownership else { return };
        if claim.epoch != epoch {
            return;
        }
        claim.promises.insert(from, incarnation);
        claim.accepted.insert(from, accepted);
        self.take(now, &key);
    }

    /// Once more than half have promised: writes the key anew if nobody among them has a later copy, else leaves it to
    /// who has. Who can't be reached any more is not counted, unless its copy is no later.
    pub(crate) fn take(&mut self, now: Micros, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        let Ownership::Claiming(claim) = &slot.ownership else { return };
        let leads = self.is(Mutation::ClaimsWithOlderValue);
        let later = |node: &Node| claim.accepted.get(node).is_some_and(|at| *at > slot.accepted) && !leads;
        let counted = |(node, _): &(&Node, &Incarnation)| !later(node) || self.up.contains(*node);
        let enough =
            self.is(Mutation::ClaimsWithoutQuorum) || self.enough(claim.promises.iter().filter(counted));
        if !enough || !claim.promises.contains_key(&self.me) {
            return;
        }
        let best = claim.accepted.iter().filter(|(n, _)| later(n) && self.up.contains(*n));
        if let Some(to) = best.max_by_key(|(_, at)| **at).map(|(node, _)| *node) {
            return self.leave_to(now, to, key);
        }
        let keys = self.keys.len();
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Claiming(claim) = std::mem::replace(&mut slot.ownership, Ownership::Replica) else {
            return;
        };
        let epoch = claim.epoch;
        slot.accepted = Revision { epoch, sequence: 1 };
        slot.recent.push(slot.accepted, Vec::new(), keys);
        slot.ownership = Ownership::Owner(Box::new(Owner {
            epoch,
            sequence: 1,
            committed: None,
            kept: BTreeMap::new(),
            flight: Some(Flight { sent: now, jobs: Vec::new() }),
            round: None,
            rounds: 0,
            asked: Vec::new(),
            forwards: claim.forwards,
        }));
        self.write_key(key);
        for to in self.others() {
            self.send_last(now, to, key);
        }
        self.later(now, After::Kept { key: key.to_owned(), epoch, sequence: 1 });
    }

    /// A link ended: a claim that waited for the replica behind it may do without.
    pub(crate) fn go_on_with_claims(&mut self, now: Micros) {
        let claimed = |slot: &Slot<P>| matches!(slot.ownership, Ownership::Claiming(_));
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, slot)| claimed(slot)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.take(now, &key);
        }
    }

    /// Tells the one that has more to claim, and waits whether it does.
    fn leave_to(&mut self, now: Micros, to: Node, key: &str) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Claiming(claim) = &mut slot.ownership else { return };
        if claim.yielded.is_none_or(|at| now >= at + RESEND) {
            claim.yielded = Some(now);
            let epoch = claim.epoch;
            self.figures.yielded += 1;
            self.send(to, Message::ClaimRequest { key: key.to_owned(), epoch });
        }
    }

    /// Another that claims has less than this node: it claims in its place.
    pub(crate) fn on_yield(&mut self, now: Micros, key: String, epoch: Epoch) {
        let Some(slot) = self.keys.get_mut(&key) else { return };
        if matches!(slot.ownership, Ownership::Replica) && slot.promised == epoch {
            slot.not_before = now;
            self.claim(now, &key);
        }
    }

    /// Gives up the key or the claim, for a higher epoch was heard of. Open calls go to its owner; those that others
    /// forwarded here go back.
    pub(crate) fn step_down(&mut self, now: Micros, key: &str) {
        let wait = 20_000 + (self.draw() % 120_000) as Micros;
        let Some(slot) = self.keys.get_mut(key) else { return };
        let ownership = std::mem::replace(&mut slot.ownership, Ownership::Replica);
        let mut jobs: Vec<Job<P::Change>> = std::mem::take(&mut slot.queue).into();
        slot.not_before = now + wait;
        slot.heard = now;
        slot.ownerless = None;
        let seen = slot.seen;
        self.figures.stepped_down += 1;
        if let Ownership::Owner(owner) = ownership {
            jobs.extend(owner.flight.into_iter().flat_map(|f| f.jobs).map(|(job, _)| job));
            jobs.extend(owner.round.into_iter().flat_map(|r| r.jobs).map(|(job, _)| job));
            jobs.extend(owner.asked.into_iter().map(|(job, _)| job));
        }
        for job in jobs {
            match job.who {
                Who::Local(id) => self.route(now, id),
                Who::Remote(to, id, under) => self
                    .send(to, Message::ForwardReply { id, under, forwarded: ForwardReply::NotOwner(seen) }),
            }
        }
    }

    /// Gives up all that this node owns or claims, for its disk has no room, and tells the others so.
    pub(crate) fn resign(&mut self, now: Micros) {
        let mut resigned = Vec::new();
        let mut held = Vec::new();
        for (key, slot) in &mut self.keys {
            match &slot.ownership {
                Ownership::Owner(owner) => resigned.push((key.clone(), owner.epoch)),
                Ownership::Claiming(claim) if claim.promises.contains_key(&self.me) => {
                    resigned.push((key.clone(), claim.epoch));
                }
                // Not durable: nobody has heard of it, nor may anybody.
                Ownership::Claiming(claim) => slot.seen = claim.before,
                Ownership::Replica if slot.queue.is_empty() => continue,
                Ownership::Replica => {}
            }
            held.push(key.clone());
        }
        // Told first: calls that go on to others find them ready to claim.
        for (key, epoch) in resigned {
            for to in self.others() {
                self.send(to, Message::OwnershipReleased { key: key.clone(), epoch });
            }
        }
        for key in held {
            self.step_down(now, &key);
        }
    }

    /// The key's owner has given it up: the first in line without it claims at once, the others one after the other.
    pub(crate) fn on_resigned(&mut self, now: Micros, from: Node, key: String, epoch: Epoch) {
        let place = self.order(&key).into_iter().filter(|n| *n != from).position(|n| n == self.me);
        let due = now + OWNERLESS * place.unwrap_or(0) as Micros;
        let since = due - self.patience(&key);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        if epoch.owner != from.0 || slot.seen != epoch {
            return;
        }
        slot.heard = now - SILENT;
        slot.ownerless = Some(since);
    }
}
