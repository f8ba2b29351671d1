//! An owner's side: claims, copies, commits, and whether its epoch still stands.

use crate::calls::{Forwards, Job, Who};
use crate::message::{Effect, Forwarded, Incarnation, Message, Request, Verdict};
use crate::store::{After, Broken, ControlStore, Ownership, Slot, BATCH, CALM, OWNERLESS, RESEND, SILENT};
use crate::{Epoch, Micros, Node, Refusal, Revision, State};
use std::collections::BTreeMap;

/// A claim under way.
pub(crate) struct Claim {
    pub epoch: Epoch,
    /// The highest epoch heard of before.
    pub before: Epoch,
    /// Who has promised, with which incarnation.
    pub promises: BTreeMap<Node, Incarnation>,
    /// What those have accepted.
    pub accepted: BTreeMap<Node, Revision>,
    /// When it was left to one that has more.
    pub yielded: Option<Micros>,
    pub sent: Micros,
    pub forwards: Forwards,
}

/// A key that this node has taken. The slot's value is what the last copy makes of it.
pub(crate) struct Owner<P: State> {
    pub epoch: Epoch,
    /// The last copy's number.
    pub seq: u64,
    /// What more than half have; `None` until the key was written anew.
    pub committed: Option<(Revision, P)>,
    /// Who has which copy, with which incarnation.
    pub kept: BTreeMap<Node, (Incarnation, u64)>,
    /// The copy under way, one at a time.
    pub flight: Option<Flight<P>>,
    /// The question under way whether the epoch still stands, one at a time.
    pub round: Option<Round<P::Change>>,
    pub rounds: u64,
    /// What the next question is for, with the queue at most `QUEUE`. A refusal waits for it too: an owner that was
    /// overtaken may not refuse what has become valid.
    pub asked: Vec<Asked<P::Change>>,
    pub forwards: Forwards,
}

/// A job that waits for the question, and why it is refused if it is.
type Asked<C> = (Job<C>, Option<Refusal>);

/// What `State::apply` said.
type Outcome = Result<bool, Refusal>;

pub(crate) struct Flight<P: State> {
    pub sent: Micros,
    pub jobs: Vec<(Job<P::Change>, Outcome)>,
}

pub(crate) struct Round<C> {
    pub number: u64,
    pub sent: Micros,
    pub confirmed: Vec<Node>,
    pub jobs: Vec<Asked<C>>,
}

impl<P: State> ControlStore<P> {
    /// The other replicas that can be reached.
    pub(crate) fn others(&self) -> Vec<Node> {
        self.replica_set.nodes().filter(|n| *n != self.me && self.up.contains(n)).collect()
    }

    /// Wants to own the key. The epoch is durable here before anybody hears of it, so that no later start uses it again.
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

    /// Whether it was said with a disk that the replica still has; else it is told so.
    pub(crate) fn alive(&mut self, from: Node, incarnation: Incarnation) -> bool {
        let current = self.current(from, incarnation);
        if !current {
            self.figures.outlived += 1;
            let known = self.incarnations.get(&from).copied().unwrap_or_default();
            self.send(from, Message::Outlived { incarnation: known });
        }
        current
    }

    /// Once more than half have promised: writes the key anew if nobody among them has a later copy, else leaves it to who has.
    /// Who can't be reached any more is not counted, unless its copy is no later.
    fn take(&mut self, now: Micros, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        let Ownership::Claiming(claim) = &slot.ownership else { return };
        let leads = self.is(Broken::LeadsWithOldCopy);
        let later = |node: &Node| claim.accepted.get(node).is_some_and(|at| *at > slot.accepted) && !leads;
        let counted = |(node, _): &(&Node, &Incarnation)| !later(node) || self.up.contains(*node);
        let enough = self.is(Broken::ReadsTooFew) || self.enough(claim.promises.iter().filter(counted));
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
        slot.accepted = Revision { epoch, seq: 1 };
        slot.recent.push(slot.accepted, Vec::new(), keys);
        slot.ownership = Ownership::Owner(Box::new(Owner {
            epoch,
            seq: 1,
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
        self.later(now, After::Kept { key: key.to_owned(), epoch, seq: 1 });
    }

    /// Tells the one that has more to claim, and waits whether it does.
    fn leave_to(&mut self, now: Micros, to: Node, key: &str) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Claiming(claim) = &mut slot.ownership else { return };
        if claim.yielded.is_none_or(|at| now >= at + RESEND) {
            claim.yielded = Some(now);
            let epoch = claim.epoch;
            self.figures.yielded += 1;
            self.send(to, Message::Yield { key: key.to_owned(), epoch });
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

    /// The last copy, committed or not: it is the owner's alone to write under its epoch. Who lacks what was before it says so.
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
                self.send(to, Message::Copy { key, epoch, to: at, base: has, changes, more });
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

    pub(crate) fn on_kept(
        &mut self,
        now: Micros,
        from: Node,
        key: String,
        epoch: Epoch,
        seq: u64,
        incarnation: Incarnation,
    ) {
        if from != self.me && !self.alive(from, incarnation) {
            return;
        }
        let Some(slot) = self.keys.get_mut(&key) else { return };
        let Ownership::Owner(owner) = &mut slot.ownership else { return };
        if owner.epoch != epoch || seq > owner.seq {
            return;
        }
        let known = owner.kept.entry(from).or_default();
        *known = (*known).max((incarnation, seq));
        self.commit(now, &key);
    }

    /// Acknowledges the copy under way once more than half have it.
    fn commit(&mut self, now: Micros, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        let Ownership::Owner(owner) = &slot.ownership else { return };
        if owner.flight.is_none() {
            return;
        }
        let mut having =
            owner.kept.iter().filter(|(_, kept)| kept.1 >= owner.seq).map(|(node, kept)| (node, &kept.0));
        let enough =
            if self.is(Broken::AnswersEarly) { having.next().is_some() } else { self.enough(having) };
        if !enough {
            return;
        }
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Owner(owner) = &mut slot.ownership else { return };
        let revision = Revision { epoch: owner.epoch, seq: owner.seq };
        let first = owner.committed.is_none();
        owner.committed = Some((revision, slot.value.clone()));
        let jobs = owner.flight.take().map(|flight| flight.jobs).unwrap_or_default();
        let value = slot.value.clone();
        self.figures.taken += u64::from(first);
        self.effect(Effect::Committed { key: key.to_owned(), revision, value });
        for (job, outcome) in jobs {
            let verdict = match outcome {
                Ok(changed) => Verdict::Done { revision, changed },
                Err(refusal) => Verdict::Refused(refusal),
            };
            self.finish(job.who, verdict);
        }
        self.pump(now, key);
    }

    /// Brings what waits at a settled key under way: reads and what stands already with the next question, changes with
    /// the next copy.
    pub(crate) fn pump(&mut self, now: Micros, key: &str) {
        let unasked = self.is(Broken::ReadsUnasked);
        let part = self.is(Broken::KeepsPart);
        let keys = self.keys.len();
        let mut answers = Vec::new();
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Owner(owner) = &mut slot.ownership else { return };
        let Some((revision, committed)) = &owner.committed else { return };
        let mut value = None;
        let mut jobs = Vec::new();
        let (mut changes, mut bytes) = (Vec::new(), 0);
        let mut waiting = std::collections::VecDeque::new();
        for job in std::mem::take(&mut slot.queue) {
            let open = match job.who {
                Who::Local(id) => self.open.contains_key(&id),
                Who::Remote(..) => now < job.until,
            };
            let Request::Change(change) = &job.ask else {
                if open && unasked {
                    answers.push((job.who, Verdict::Value { revision: *revision, value: committed.clone() }));
                } else if open {
                    owner.asked.push((job, None));
                }
                continue;
            };
            if !open {
                continue;
            }
            if owner.flight.is_some() || changes.len() >= BATCH || bytes >= self.piece {
                waiting.push_back(job);
                continue;
            }
            // A value is tried on a copy: what is refused may leave nothing behind.
            let mut tried = value.as_ref().unwrap_or(committed).clone();
            match (tried.apply(change), value.is_some()) {
                (Ok(true), _) => {
                    value = Some(tried);
                    bytes += bitcode::encode(change).len();
                    changes.push(change.clone());
                    jobs.push((job, Ok(true)));
                }
                (Ok(false), false) => owner.asked.push((job, None)),
                (Err(refusal), _) if part && tried != *committed => {
                    value = Some(tried);
                    bytes += bitcode::encode(change).len();
                    changes.push(change.clone());
                    jobs.push((job, Err(refusal)));
                }
                (Err(refusal), false) => owner.asked.push((job, Some(refusal))),
                // Rests on a change that is not yet committed: told when that is.
                (outcome, true) => jobs.push((job, outcome)),
            }
        }
        slot.queue = waiting;
        let copy = value.map(|value| {
            owner.seq += 1;
            owner.flight = Some(Flight { sent: now, jobs });
            slot.accepted = Revision { epoch: owner.epoch, seq: owner.seq };
            slot.value = value;
            slot.recent.push(slot.accepted, changes, keys);
            (owner.epoch, owner.seq)
        });
        for (who, verdict) in answers {
            self.finish(who, verdict);
        }
        if let Some((epoch, seq)) = copy {
            self.write_key(key);
            for to in self.others() {
                self.send_last(now, to, key);
            }
            self.later(now, After::Kept { key: key.to_owned(), epoch, seq });
        }
        self.ask(now, key);
    }

    /// Asks the others whether the epoch still stands, for all that waits for it.
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
            self.send(to, Message::Confirm { key: key.to_owned(), epoch, round });
        }
        self.on_confirmed(now, self.me, key.to_owned(), epoch, round);
    }

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
                self.send(to, Message::Verdict { id, under, forwarded: Forwarded::At(revision) });
                continue;
            }
            let verdict = match (job.ask, refusal) {
                (_, Some(refusal)) => Verdict::Refused(refusal),
                (Request::Read | Request::Whole, None) => Verdict::Value { revision, value: value.clone() },
                (Request::Change(_), None) => Verdict::Done { revision, changed: false },
            };
            self.finish(job.who, verdict);
        }
        self.ask(now, &key);
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
                Who::Remote(to, id, under) => {
                    self.send(to, Message::Verdict { id, under, forwarded: Forwarded::NotOwner(seen) })
                }
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
                self.send(to, Message::Resigned { key: key.clone(), epoch });
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

    /// A link came up: claims and copies that it missed.
    pub(crate) fn greet(&mut self, now: Micros, to: Node) {
        if !self.voter() {
            if self.replica_set.version == 0 {
                self.send(to, Message::AskReplicaSet);
            } else if self.phase == crate::store::Phase::Repairing {
                self.repair.sent = now;
                self.send(to, Message::Recover { incarnation: self.incarnation });
            }
            return;
        }
        let mut claims = Vec::new();
        let mut copies = Vec::new();
        let mut had: Vec<(String, Epoch, u64)> = Vec::new();
        let mut with = Incarnation::default();
        for (key, slot) in &self.keys {
            match &slot.ownership {
                Ownership::Claiming(claim) if claim.promises.contains_key(&self.me) => {
                    claims.push((key.clone(), claim.epoch));
                }
                Ownership::Owner(owner) => {
                    let kept = owner.kept.get(&to).filter(|k| self.current(to, k.0));
                    if let Some((incarnation, seq)) = kept {
                        with = with.max(*incarnation);
                        had.push((key.clone(), owner.epoch, *seq));
                    }
                    if kept.is_none_or(|k| k.1 < owner.seq) {
                        copies.push(key.clone());
                    }
                }
                _ => {}
            }
        }
        if !had.is_empty() {
            self.send(to, Message::HadKept { incarnation: with, keys: had });
        }
        for (key, epoch) in claims {
            self.send(to, Message::Claim { key, epoch });
        }
        for key in copies {
            self.send_last(now, to, &key);
        }
    }

    /// Who owns the key as far as is known, if it is another that can be reached and was heard of late.
    pub(crate) fn known_owner(&self, now: Micros, key: &str) -> Option<(Node, Epoch)> {
        let slot = self.keys.get(key)?;
        let owner = Node(slot.seen.owner);
        // Who is no replica any more owns nothing, whatever is still said of it.
        let owned = slot.seen != Epoch::default() && owner != self.me && self.replica_set.contains(owner);
        (owned && self.up.contains(&owner) && now < slot.heard + SILENT).then_some((owner, slot.seen))
    }

    /// Whether the key's owner has said that it stops, and this node does not: it may claim at once.
    fn handed_on(&self, key: &str) -> bool {
        let leaves = |node| self.leavers.contains_key(&node);
        let seen = self.keys.get(key).map(|slot| slot.seen).unwrap_or_default();
        seen != Epoch::default() && leaves(Node(seen.owner)) && !leaves(self.me)
    }

    /// Whether another owns the key and goes on with it.
    fn owned(&self, now: Micros, key: &str) -> bool {
        self.known_owner(now, key).is_some() && !self.handed_on(key)
    }

    fn patience(&self, key: &str) -> Micros {
        let place = self.order(key).iter().position(|n| *n == self.me).unwrap_or(0);
        OWNERLESS * (place as Micros + Micros::from(!self.handed_on(key)))
    }

    /// When something is due for the key.
    pub(crate) fn due(&self, key: &str, slot: &Slot<P>) -> Option<Micros> {
        match &slot.ownership {
            Ownership::Replica if !slot.queue.is_empty() => Some(slot.not_before),
            Ownership::Replica => Some(match slot.ownerless {
                Some(since) => (since + self.patience(key)).max(slot.not_before),
                None => slot.heard + SILENT,
            }),
            Ownership::Claiming(claim) => Some(claim.sent + RESEND),
            Ownership::Owner(owner) => {
                let flight = owner.flight.as_ref().map(|f| f.sent + RESEND);
                let round = owner.round.as_ref().map(|r| r.sent + RESEND);
                flight.into_iter().chain(round).chain([self.calm + CALM]).min()
            }
        }
    }

    pub(crate) fn tick_keys(&mut self, now: Micros) {
        let due: Vec<String> = self
            .keys
            .iter()
            .filter(|(key, slot)| {
                let gone = matches!(slot.ownership, Ownership::Replica)
                    && slot.ownerless.is_some() == self.owned(now, key);
                gone || self.due(key, slot).is_some_and(|at| at <= now)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.tick_key(now, &key);
        }
        if now >= self.calm + CALM {
            self.calm = now;
            self.forget_served(now);
            let keys: Vec<(String, Epoch, u64)> =
                self.settled().into_iter().map(|(key, epoch, at)| (key, epoch, at.seq)).collect();
            if !keys.is_empty() {
                for to in self.others() {
                    self.send(to, Message::Heartbeat { keys: keys.clone() });
                }
            }
        }
    }

    fn tick_key(&mut self, now: Micros, key: &str) {
        let known = self.owned(now, key);
        let patience = self.patience(key);
        let others = self.others();
        let incarnations = self.incarnations.clone();
        let current = |node: &Node, incarnation: &Incarnation| {
            incarnations.get(node).is_none_or(|known| incarnation >= known)
        };
        let Some(slot) = self.keys.get_mut(key) else { return };
        slot.queue.retain(|job| now < job.until);
        match &mut slot.ownership {
            Ownership::Replica => {
                if known {
                    slot.ownerless = None;
                } else {
                    slot.ownerless.get_or_insert(now);
                }
                if !slot.queue.is_empty() || slot.ownerless.is_some_and(|since| now >= since + patience) {
                    self.claim(now, key);
                }
            }
            Ownership::Claiming(claim) => {
                if now < claim.sent + RESEND {
                    return;
                }
                claim.sent = now;
                let epoch = claim.epoch;
                if !claim.promises.contains_key(&self.me) {
                    return;
                }
                let missing: Vec<Node> = others
                    .into_iter()
                    .filter(|n| !claim.promises.get(n).is_some_and(|l| current(n, l)))
                    .collect();
                for to in missing {
                    self.send(to, Message::Claim { key: key.to_owned(), epoch });
                }
                self.take(now, key);
            }
            Ownership::Owner(owner) => {
                let mut copies = Vec::new();
                let mut asks = Vec::new();
                if let Some(flight) = owner.flight.as_mut().filter(|f| now >= f.sent + RESEND) {
                    flight.sent = now;
                    let seq = owner.seq;
                    let has = |n: &Node| owner.kept.get(n).is_some_and(|k| k.1 >= seq && current(n, &k.0));
                    copies.extend(others.iter().copied().filter(|n| !has(n)));
                }
                if let Some(round) = owner.round.as_mut().filter(|r| now >= r.sent + RESEND) {
                    round.sent = now;
                    round.jobs.retain(|(job, _)| now < job.until);
                    asks.extend(others.iter().copied().filter(|n| !round.confirmed.contains(n)));
                }
                let (epoch, round) = (owner.epoch, owner.rounds);
                owner.asked.retain(|(job, _)| now < job.until);
                for to in copies {
                    self.send_last(now, to, key);
                }
                for to in asks {
                    self.send(to, Message::Confirm { key: key.to_owned(), epoch, round });
                }
            }
        }
    }
}
