//! A replica's side: promises, copies, and the repair of an empty disk.

use crate::limits::{KEYS, NAME};
use crate::message::{Incarnation, Incarnations, KeySummary, Message, StoredKey};
use crate::mutation::Mutation;
use crate::state::{After, Ownership, Phase, Slot};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, Revision, State, Vote};
use std::collections::BTreeSet;

/// What a copy brings.
pub(crate) struct Changes<C> {
    pub base: Revision,
    pub to: Revision,
    pub changes: Vec<C>,
    pub more: bool,
}

impl<P: State> ControlStore<P> {
    /// Refuses what is of a lower epoch than promised.
    fn refuses(&mut self, from: Node, key: &str, epoch: Epoch) -> bool {
        let Some(promised) = self.keys.get(key).map(|slot| slot.promised) else { return true };
        if epoch < promised {
            self.figures.rejected_lower_epoch += 1;
            self.send(from, Message::HigherEpoch { key: key.to_owned(), epoch: promised });
        }
        epoch < promised
    }

    pub(crate) fn on_claim(&mut self, now: Micros, from: Node, key: String, epoch: Epoch) {
        if epoch.owner != from.0 || self.slot(now, &key).is_none() || self.refuses(from, &key, epoch) {
            return;
        }
        self.learn(now, &key, epoch);
        let durable = !self.is(Mutation::PromiseNotDurable);
        let incarnations = self.incarnations();
        let Some(slot) = self.keys.get_mut(&key) else { return };
        slot.heard = now;
        let raised = epoch > slot.promised;
        slot.promised = epoch;
        let accepted = slot.accepted;
        if raised && durable {
            self.write_key(&key);
        }
        let message = Message::Promise { key, epoch, accepted, incarnations };
        self.later(now, After::Send(self.replica_set.version, from, message));
    }

    /// Changes, of which the last may come to a revision before the owner's epoch: one who is behind goes the way of the others.
    pub(crate) fn on_copy(
        &mut self,
        now: Micros,
        from: Node,
        key: String,
        epoch: Epoch,
        copy: Changes<P::Change>,
    ) {
        if epoch.owner != from.0 || copy.to.epoch > epoch || self.slot(now, &key).is_none() {
            return;
        }
        if !self.is(Mutation::AcceptsLowerEpochAppends) && self.refuses(from, &key, epoch) {
            return;
        }
        self.learn(now, &key, epoch);
        let keys = self.keys.len();
        let Some(slot) = self.keys.get_mut(&key) else { return };
        slot.heard = now;
        slot.promised = slot.promised.max(epoch);
        let kept = slot.accepted.epoch == epoch && slot.accepted >= copy.to;
        if !kept {
            let fits = slot.accepted == copy.base;
            let mut value = slot.value.clone();
            if !fits || !copy.changes.iter().all(|change| value.apply(change).is_ok()) {
                self.say_behind(from, key, epoch, fits);
                return;
            }
            slot.value = value;
            slot.accepted = copy.to;
            slot.recent.push(copy.to, copy.changes, keys);
            self.write_key(&key);
            self.reads_go_on(now, &key);
        }
        let Some(accepted) = self.keys.get(&key).map(|slot| slot.accepted) else { return };
        // Also if it stood here already: the copy that brought it may have been the last one then.
        if copy.more && accepted == copy.to {
            self.say_behind(from, key.clone(), epoch, false);
        }
        if accepted.epoch == epoch {
            let incarnations = self.incarnations();
            let kept = Message::Appended { key, epoch, sequence: accepted.sequence, incarnations };
            self.later(now, After::Send(self.replica_set.version, from, kept));
        }
    }

    /// Tells the owner what this replica has, unless a later value is on its way already.
    fn say_behind(&mut self, owner: Node, key: String, epoch: Epoch, whole: bool) {
        let Some(accepted) = self.keys.get(&key).map(|slot| slot.accepted) else { return };
        if self.pulls.get(&key).is_none_or(|pull| pull.at <= accepted) {
            self.send(owner, Message::Behind { key, epoch, accepted, whole });
        }
    }

    pub(crate) fn on_confirm(&mut self, now: Micros, from: Node, key: String, epoch: Epoch, round: u64) {
        if self.slot(now, &key).is_some() && !self.refuses(from, &key, epoch) {
            self.send(from, Message::EpochConfirmed { key, epoch, round });
        }
    }

    pub(crate) fn on_heartbeat(&mut self, now: Micros, from: Node, keys: Vec<(String, Epoch, u64)>) {
        for (key, epoch, sequence) in keys {
            if epoch.owner != from.0 || self.slot(now, &key).is_none() || self.refuses(from, &key, epoch) {
                continue;
            }
            self.learn(now, &key, epoch);
            let Some(slot) = self.keys.get_mut(&key) else { continue };
            slot.heard = now;
            if slot.accepted < (Revision { epoch, sequence }) {
                self.say_behind(from, key, epoch, false);
            }
        }
    }

    /// Heard of an epoch: whoever owns or claims under a lower one steps down.
    pub(crate) fn learn(&mut self, now: Micros, key: &str, epoch: Epoch) {
        let Some(slot) = self.slot(now, key) else { return };
        if epoch <= slot.seen {
            return;
        }
        slot.seen = epoch;
        slot.heard = now;
        slot.ownerless = None;
        let own = match &slot.ownership {
            Ownership::Replica => return,
            Ownership::Claiming(claim) => claim.epoch,
            Ownership::Owner(owner) => owner.epoch,
        };
        if own < epoch {
            self.step_down(now, key);
        }
    }

    /// Takes in what another says of incarnations. A replica of which a higher one is known takes it for its own: what it said
    /// under the lower one counts no more, which is always safe.
    pub(crate) fn merge(&mut self, incarnations: &Incarnations) {
        for (node, incarnation) in &incarnations.others {
            if *node == self.me {
                self.outlive(*incarnation);
            } else if self.replica_set.contains(*node) {
                let known = self.incarnations.entry(*node).or_default();
                *known = (*known).max(*incarnation);
            }
        }
    }

    fn outlive(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation && self.phase == Phase::Voter {
            self.incarnation = incarnation;
            self.write_metadata();
        }
    }

    /// What this replica was told to have confirmed, with the disk that it has: if it lacks any of it that disk went back to an
    /// older state. It is as good as empty then, on disk too, and is repaired.
    pub(crate) fn on_had_kept(
        &mut self,
        now: Micros,
        incarnation: Incarnation,
        keys: &[(String, Epoch, u64)],
    ) {
        let lacks = |(key, epoch, sequence): &(String, Epoch, u64)| {
            let told = Revision { epoch: *epoch, sequence: *sequence };
            self.keys.get(key).is_none_or(|slot| slot.accepted < told)
        };
        let holds = matches!(self.phase, Phase::Voter | Phase::Formatting) && incarnation == self.incarnation;
        if !holds || self.is(Mutation::VotesAfterDiskRollback) || !keys.iter().any(lacks) {
            return;
        }
        self.figures.went_back += 1;
        self.lose_replica_set(now);
    }

    /// Asks all others for everything.
    pub(crate) fn ask_repair(&mut self, now: Micros) {
        self.repair.sent = now;
        for to in self.replica_nodes() {
            let has = self.repair.replies.get(&to).is_some_and(|incarnation| self.current(to, *incarnation));
            if to != self.me && self.up.contains(&to) && !has {
                self.send(to, Message::RepairRequest { incarnation: self.incarnation });
            }
        }
    }

    /// Answers what is durable once the asker's new incarnation is durable too: from then on nothing that is said here counts
    /// together with what the asker said before.
    pub(crate) fn on_recover(&mut self, from: Node, incarnation: Incarnation) {
        let known = self.incarnations.get(&from).copied().unwrap_or_default();
        if incarnation < known {
            self.send(from, Message::StaleIncarnation { incarnation: known });
            return;
        }
        if incarnation > known {
            self.incarnations.insert(from, incarnation);
            self.write_metadata();
            self.figures.repairs += 1;
        }
        let held = |(key, slot): (&String, &Slot<P>)| KeySummary {
            key: key.clone(),
            promised: slot.promised,
            accepted: slot.accepted,
        };
        let keys = self.keys.iter().map(held).collect();
        let incarnations = self.incarnations();
        let (version, vote) = (self.replica_set.version, self.vote.clone());
        let message = Message::RepairReply { incarnation, keys, vote, incarnations };
        self.later(Micros::MIN, After::Send(version, from, message));
    }

    pub(crate) fn on_outlived(&mut self, now: Micros, incarnation: Incarnation) {
        if incarnation <= self.incarnation {
            return;
        }
        self.outlive(incarnation);
        if self.phase == Phase::Repairing {
            self.incarnation = Incarnation { count: incarnation.count.saturating_add(1), nonce: self.draw() };
            self.repair.replies.clear();
            self.repair.keys.clear();
            self.repair.vote = Vote::default();
            self.ask_repair(now);
        }
    }

    pub(crate) fn on_recovered(
        &mut self,
        now: Micros,
        from: Node,
        incarnation: Incarnation,
        keys: Vec<KeySummary>,
        vote: Vote,
        incarnations: Incarnations,
    ) {
        if self.phase != Phase::Repairing || incarnation != self.incarnation {
            return;
        }
        self.merge(&incarnations);
        if !self.alive(from, incarnations.mine) {
            return;
        }
        self.repair.replies.insert(from, incarnations.mine);
        self.repair.vote.merge(vote);
        for held in keys.into_iter().filter(|held| held.key.len() <= NAME) {
            let Some((known, who)) = self.repair.keys.get_mut(&held.key) else {
                if self.repair.keys.len() < KEYS {
                    self.repair.keys.insert(held.key.clone(), (held, BTreeSet::from([from])));
                }
                continue;
            };
            known.promised = known.promised.max(held.promised);
            if held.accepted > known.accepted {
                known.accepted = held.accepted;
                who.clear();
            }
            if held.accepted == known.accepted {
                who.insert(from);
            }
        }
        self.go_on_with_repair(now);
    }

    /// Once more than half have answered, fetches the contents; once they are there, becomes a voter.
    pub(crate) fn go_on_with_repair(&mut self, now: Micros) {
        // The answers are of others alone, and still more than half of the whole replica set.
        let enough = self.enough_before(self.repair.replies.iter()) && !self.overtaken();
        if self.phase != Phase::Repairing || !enough {
            return;
        }
        let lacks = |(key, (held, who)): (&String, &(KeySummary, BTreeSet<Node>))| {
            let from = who.iter().find(|n| self.up.contains(n)).or(who.first())?;
            self.repair.lacks(key).map(|_| (key.clone(), held.accepted, *from))
        };
        let lacking: Vec<(String, Revision, Node)> = self.repair.keys.iter().filter_map(lacks).collect();
        for (key, at, from) in &lacking {
            self.begin_pull(now, *from, key, *at);
        }
        if !lacking.is_empty() {
            return;
        }
        for (key, (held, _)) in std::mem::take(&mut self.repair.keys) {
            let (accepted, value) = self.repair.values.remove(&key).unwrap_or_default();
            let promised = held.promised.max(accepted.epoch);
            self.adopt(now, StoredKey { key, promised, accepted, value });
        }
        self.pulls.clear();
        self.repair.values.clear();
        // Until now no owner could be heard: each has its time to speak.
        for slot in self.keys.values_mut().filter(|slot| slot.seen != Epoch::default()) {
            slot.heard = now;
            slot.ownerless = None;
        }
        // All of them: what an earlier time as a replica left on disk is overwritten too.
        for key in self.keys.keys().cloned().collect::<Vec<_>>() {
            self.write_key(&key);
        }
        self.vote = std::mem::take(&mut self.repair.vote);
        self.repair.replies.clear();
        self.write_metadata();
        self.phase = Phase::Formatting;
        self.later(now, After::Voter(self.replica_set.version));
    }
}
