//! An owner's work: copies to the replicas, commits, and the question whether its epoch is still in force.

use crate::batch::Batch;
use crate::calls::Who;
use crate::message::{CallOutcome, Effect, ForwardReply, Incarnation, Message, Request};
use crate::mutation::Mutation;
use crate::state::{After, Flight, Ownership, Round};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, Revision, State};

impl<P: State> ControlStore<P> {
    /// The last copy, committed or not: it is the owner's alone to write under its epoch. Who lacks what was before it
    /// says so.
    pub(crate) fn send_last(&mut self, now: Micros, to: Node, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        match slot.recent.before_last() {
            Some(base) => self.send_since(now, to, key, base),
            None => self.send_first_piece(now, to, key, None),
        }
    }

    /// What came after `has`: the changes if they are remembered, else the content whole, of which the first piece.
    fn send_since(&mut self, now: Micros, to: Node, key: &str, has: Revision) {
        let Some(slot) = self.keys.get(key) else { return };
        let Ownership::Owner(owner) = &slot.ownership else { return };
        match slot.recent.since(has, self.piece) {
            Some((at, changes, more)) => {
                let (key, epoch) = (key.to_owned(), owner.epoch);
                self.figures.copies_sent += 1;
                self.send(to, Message::Append { key, epoch, to: at, base: has, changes, more });
            }
            None => self.send_first_piece(now, to, key, Some(has)),
        }
    }

    /// One has only this; `None`: it can do nothing with changes.
    pub(crate) fn on_behind(
        &mut self,
        now: Micros,
        from: Node,
        key: String,
        epoch: Epoch,
        has: Option<Revision>,
    ) {
        self.figures.behind += 1;
        let Some(slot) = self.keys.get(&key) else { return };
        let Ownership::Owner(owner) = &slot.ownership else { return };
        if owner.epoch != epoch || has == Some(slot.accepted) {
            return;
        }
        match has {
            Some(has) => self.send_since(now, from, &key, has),
            None => self.send_first_piece(now, from, &key, None),
        }
    }

    /// A replica has the copy of this number on disk.
    pub(crate) fn on_kept(
        &mut self,
        now: Micros,
        from: Node,
        key: String,
        epoch: Epoch,
        sequence: u64,
        incarnation: Incarnation,
    ) {
        if from != self.me && !self.alive(from, incarnation) {
            return;
        }
        let Some(slot) = self.keys.get_mut(&key) else { return };
        let Ownership::Owner(owner) = &mut slot.ownership else { return };
        if owner.epoch != epoch || sequence > owner.sequence {
            return;
        }
        let known = owner.kept.entry(from).or_default();
        *known = (*known).max((incarnation, sequence));
        self.commit(now, &key);
    }

    /// Acknowledges the copy under way once more than half have it.
    fn commit(&mut self, now: Micros, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        let Ownership::Owner(owner) = &slot.ownership else { return };
        if owner.flight.is_none() {
            return;
        }
        let mut having = owner
            .kept
            .iter()
            .filter(|(_, kept)| kept.1 >= owner.sequence)
            .map(|(node, kept)| (node, &kept.0));
        let enough = if self.is(Mutation::AnswersBeforeQuorum) {
            having.next().is_some()
        } else {
            self.enough(having)
        };
        if !enough {
            return;
        }
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Owner(owner) = &mut slot.ownership else { return };
        let revision = Revision { epoch: owner.epoch, sequence: owner.sequence };
        let first = owner.committed.is_none();
        owner.committed = Some((revision, slot.value.clone()));
        let jobs = owner.flight.take().map(|flight| flight.jobs).unwrap_or_default();
        let value = slot.value.clone();
        self.figures.taken += u64::from(first);
        self.effect(Effect::Committed { key: key.to_owned(), revision, value });
        for (job, outcome) in jobs {
            let verdict = match outcome {
                Ok(changed) => CallOutcome::Committed { revision, changed },
                Err(refusal) => CallOutcome::Rejected(refusal),
            };
            self.finish(job.who, verdict);
        }
        self.pump(now, key);
    }

    /// Brings what waits at a settled key under way: reads and what is in force already with the next question, changes
    /// with the next copy.
    pub(crate) fn pump(&mut self, now: Micros, key: &str) {
        let (keys, piece, broken) = (self.keys.len(), self.piece, self.broken);
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Owner(owner) = &mut slot.ownership else { return };
        let Some((revision, committed)) = &owner.committed else { return };
        let mut batch = Batch::new(*revision, piece, owner.flight.is_some(), broken);
        for job in std::mem::take(&mut slot.queue) {
            let open = match job.who {
                Who::Local(id) => self.open.contains_key(&id),
                Who::Remote(..) => now < job.until,
            };
            if open {
                batch.add(job, committed);
            }
        }
        let Batch { value, changes, jobs, asked, waiting, answers, .. } = batch;
        owner.asked.extend(asked);
        slot.queue = waiting;
        let copy = value.map(|value| {
            owner.sequence += 1;
            owner.flight = Some(Flight { sent: now, jobs });
            slot.accepted = Revision { epoch: owner.epoch, sequence: owner.sequence };
            slot.value = value;
            slot.recent.push(slot.accepted, changes, keys);
            (owner.epoch, owner.sequence)
        });
        for (who, verdict) in answers {
            self.finish(who, verdict);
        }
        if let Some((epoch, sequence)) = copy {
            self.write_key(key);
            for to in self.others() {
                self.send_last(now, to, key);
            }
            self.later(now, After::Kept { key: key.to_owned(), epoch, sequence });
        }
        self.ask(now, key);
    }

    /// Asks the others whether the epoch is still in force, for all that waits for it.
    fn ask(&mut self, now: Micros, key: &str) {
        let Some(Ownership::Owner(owner)) = self.keys.get_mut(key).map(|slot| &mut slot.ownership) else {
            return;
        };
        if owner.asked.is_empty() || owner.round.is_some() {
            return;
        }
        owner.rounds += 1;
        let jobs = std::mem::take(&mut owner.asked);
        owner.round = Some(Round { number: owner.rounds, sent: now, confirmed: Vec::new(), jobs });
        let (epoch, round) = (owner.epoch, owner.rounds);
        for to in self.others() {
            self.send(to, Message::ConfirmEpoch { key: key.to_owned(), epoch, round });
        }
        self.on_confirmed(now, self.me, key.to_owned(), epoch, round);
    }

    /// A node has promised no higher epoch: once more than half say so, what waited for it is answered.
    pub(crate) fn on_confirmed(&mut self, now: Micros, from: Node, key: String, epoch: Epoch, round: u64) {
        let Some(Ownership::Owner(owner)) = self.keys.get_mut(&key).map(|slot| &mut slot.ownership) else {
            return;
        };
        if owner.committed.is_none() {
            return;
        }
        let Some(asked) = &mut owner.round else { return };
        if owner.epoch != epoch || asked.number != round {
            return;
        }
        if !asked.confirmed.contains(&from) {
            asked.confirmed.push(from);
        }
        let confirmed = asked.confirmed.clone();
        if !self.enough_of(&confirmed) {
            return;
        }
        let Some(Ownership::Owner(owner)) = self.keys.get_mut(&key).map(|slot| &mut slot.ownership) else {
            return;
        };
        let Some((revision, value)) = owner.committed.clone() else { return };
        let jobs = owner.round.take().map(|round| round.jobs).unwrap_or_default();
        for (job, refusal) in jobs {
            if let (Who::Remote(to, id, under), Request::Read) = (job.who, &job.ask) {
                self.send(to, Message::ForwardReply { id, under, forwarded: ForwardReply::ReadAt(revision) });
                continue;
            }
            let verdict = match (job.ask, refusal) {
                (_, Some(refusal)) => CallOutcome::Rejected(refusal),
                (Request::Read | Request::ReadValue, None) => {
                    CallOutcome::Value { revision, value: value.clone() }
                }
                (Request::Change(_), None) => CallOutcome::Committed { revision, changed: false },
            };
            self.finish(job.who, verdict);
        }
        self.ask(now, &key);
    }
}
