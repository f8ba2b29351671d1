//! Who the replicas are, and how one that is gone is replaced: one at a time, through a joint replica set, each step decided by
//! more than half of the replica set before it.

use crate::limits::{GONE, GONE_AS_ONE_LEAVES, RESEND, STAGGER};
use crate::message::{Incarnation, Incarnations, Message};
use crate::mutation::Mutation;
use crate::recent::Recent;
use crate::state::{After, Ownership, Phase};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, Revision, State};
use bitcode::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};

/// Replicas of one replica set at most; one that is larger is dropped.
const MEMBERS: usize = 64;
/// Machines that could become replicas, remembered at a time; a further one waits until one goes.
const CANDIDATES: usize = 64;
/// Core machines remembered to have said that they stop; a further one is replaced only when it is long gone.
const LEAVERS: usize = MEMBERS + CANDIDATES;
/// Links of which the state is remembered; a further one counts as down.
pub(crate) const LINKS: usize = 4096;

/// All replicas as of one version. While one is being replaced both it and the newcomer belong, and a quorum is more than
/// half without the newcomer and more than half without the one that leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaSet {
    /// Rises with every change; 1 was formatted on the first start, 0 is not known yet and `members` a hint where to ask.
    pub version: u64,
    /// Each with the version in which it came, in order.
    pub members: Vec<(Node, u64)>,
    /// Who is being replaced.
    pub leaving: Option<Node>,
    /// By whom.
    pub joining: Option<Node>,
}

impl ReplicaSet {
    pub(crate) fn first(version: u64, nodes: Vec<Node>) -> ReplicaSet {
        let mut members: Vec<(Node, u64)> = nodes.into_iter().map(|n| (n, version)).collect();
        members.sort();
        members.dedup();
        ReplicaSet { version, members, leaving: None, joining: None }
    }

    /// Whether it belongs.
    pub fn contains(&self, node: Node) -> bool {
        self.since(node).is_some()
    }

    pub(crate) fn since(&self, node: Node) -> Option<u64> {
        self.members.iter().find(|m| m.0 == node).map(|m| m.1)
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = Node> + '_ {
        self.members.iter().map(|m| m.0)
    }

    /// Whether one is being replaced.
    pub fn joint(&self) -> bool {
        self.joining.is_some() || self.leaving.is_some()
    }

    fn more_than_half(&self, said: &[Node], without: Option<Node>) -> bool {
        let all = self.nodes().filter(|n| Some(*n) != without);
        let (mut size, mut have) = (0, 0);
        for node in all {
            size += 1;
            have += usize::from(said.contains(&node));
        }
        have * 2 > size
    }

    /// The next one, in which `new` is to come for `gone`.
    fn swap(&self, gone: Node, new: Node) -> ReplicaSet {
        let version = self.version + 1;
        let mut members = self.members.clone();
        members.push((new, version));
        members.sort();
        ReplicaSet { version, members, leaving: Some(gone), joining: Some(new) }
    }

    /// The next one, without this one: the change is in force if it is the one that leaves, abandoned if the newcomer.
    fn without(&self, node: Node) -> ReplicaSet {
        let members = self.members.iter().copied().filter(|m| m.0 != node).collect();
        ReplicaSet { version: self.version + 1, members, leaving: None, joining: None }
    }
}

/// What a replica has said about the next replica set. Durable before it is said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Vote {
    /// Nothing of a lower epoch is accepted.
    pub promised: Epoch,
    /// The last that was accepted, and under which epoch.
    pub accepted: Option<(Epoch, ReplicaSet)>,
}

impl Vote {
    /// Takes in what another replica has said.
    pub(crate) fn merge(&mut self, other: Vote) {
        self.promised = self.promised.max(other.promised);
        let epoch = |vote: &Option<(Epoch, ReplicaSet)>| vote.as_ref().map(|a| a.0);
        if epoch(&other.accepted) > epoch(&self.accepted) {
            self.accepted = other.accepted;
        }
    }
}

/// A next replica set that this node wants.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    epoch: Epoch,
    next: ReplicaSet,
    promises: BTreeMap<Node, Incarnation>,
    best: Option<(Epoch, ReplicaSet)>,
    /// More than half have promised: `next` may be accepted now.
    asked: bool,
    accepted: BTreeMap<Node, Incarnation>,
}

impl<P: State> ControlStore<P> {
    /// Whether more than half have said it, with disks that they still have; while one replica is being replaced more than
    /// half of the replica set before and of the one after.
    pub(crate) fn enough<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Incarnation)>) -> bool {
        self.enough_of(&self.still(said))
    }

    /// Whether more than half of the replica set, without one that is coming, have said it. This does for a repair and for the
    /// next replica set, of which only one another must know: every quorum has more than half of these.
    pub(crate) fn enough_before<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Incarnation)>) -> bool {
        let said = self.still(said);
        self.replica_set.more_than_half(&said, self.replica_set.joining)
    }

    /// Whether the change that is under way may be in force already, as far as those know who answered a repair. Then it may
    /// stand with the newcomer in the place of one of them, and with values that none of them has: the repair is to be of the
    /// replica set without who leaves. Those who answered decide on that without this node.
    pub(crate) fn overtaken(&self) -> bool {
        let next = self.repair.vote.accepted.as_ref().map(|accepted| &accepted.1);
        let in_force = |new| next.is_some_and(|next| next.contains(new));
        self.replica_set.joining.is_some_and(in_force) && !self.is(Mutation::RepairsUnderOvertakenReplicaSet)
    }

    fn still<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Incarnation)>) -> Vec<Node> {
        said.filter(|(node, incarnation)| self.current(**node, **incarnation))
            .map(|(node, _)| *node)
            .collect()
    }

    pub(crate) fn enough_of(&self, said: &[Node]) -> bool {
        if self.is(Mutation::RemovedReplicaVotes) {
            let joining = usize::from(self.replica_set.joining.is_some());
            return said.len() * 2 > self.replica_set.members.len() - joining;
        }
        let replica_set = &self.replica_set;
        replica_set.more_than_half(said, replica_set.joining)
            && (self.is(Mutation::OldQuorumOnly) || replica_set.more_than_half(said, replica_set.leaving))
    }

    /// A core machine with a disk that is in no replica set that it knows of: it may come in the place of a replica that is gone.
    /// `up` is whether it can still be reached and says so.
    pub fn set_candidate(&mut self, now: Micros, node: Node, up: bool) {
        if !up {
            self.candidates.remove(&node);
        } else if node != self.me && self.candidates.len() < CANDIDATES && self.candidates.insert(node) {
            if self.replica_set.version == 0 {
                self.send(node, Message::ReplicaSetRequest);
            }
            self.tick(now);
        }
    }

    /// This node is told to stop: as long as it is still there the others replace it, if there is a candidate, and take over
    /// what it owns. [`ControlStore::still_needed`] tells how long it is to stay for that.
    pub fn begin_graceful_stop(&mut self, now: Micros) {
        self.set_stopping(now, self.me, true);
    }

    /// Whether a core machine has said that it stops. Holds until its next start says otherwise, also when it is gone.
    pub fn set_stopping(&mut self, now: Micros, node: Node, leaves: bool) {
        let room = self.leavers.len() < LEAVERS;
        if !leaves && self.leavers.remove(&node).is_some() {
            self.tick(now);
        } else if leaves && room && !self.leavers.contains_key(&node) {
            self.leavers.insert(node, now);
            self.tick(now);
        }
    }

    /// Whether this node, which leaves, is still wanted as a replica: it is being replaced or could be, or the replica set
    /// without it does not stand yet.
    pub fn still_needed(&self) -> bool {
        match &self.in_force {
            Some(voters) => {
                let voters: Vec<Node> = voters.iter().copied().collect();
                !self.is(Mutation::StopsBeforeReplicaSetInForce)
                    && !self.replica_set.more_than_half(&voters, None)
            }
            None => {
                let wanted = self.replica_set.joint() || self.spare().is_some() || self.awaits_spare();
                !self.is_outside() && wanted
            }
        }
    }

    /// Whether the others that can be reached are no majority, and one may come that can't at this moment: the link to it is down,
    /// or it hasn't heard yet that the change in which it came was given up.
    fn awaits_spare(&self) -> bool {
        let others: Vec<Node> = self.up.iter().copied().collect();
        let free = |n: &Node| !self.replica_set.contains(*n) && !self.leavers.contains_key(n);
        let known = self.candidates.iter().chain(&self.failed).any(free);
        known && !self.replica_set.more_than_half(&others, None)
    }

    pub(crate) fn on_in_force(&mut self, from: Node) {
        if let Some(voters) = &mut self.in_force {
            voters.insert(from);
        }
    }

    /// Whether it has to ask the replicas who they are, or whether they stand without this one.
    pub(crate) fn asks(&self) -> bool {
        let leaves = self.leavers.contains_key(&self.me) && self.in_force.is_some();
        self.lost_touch() || (leaves && self.still_needed())
    }

    /// Whether this node is no replica.
    pub fn is_outside(&self) -> bool {
        !self.replica_set.contains(self.me)
    }

    /// The replica set as this node knows it.
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// Asks all that are linked who the replicas are; where this one has left in plan, the replicas whether they stand.
    pub(crate) fn ask_replica_set(&mut self, now: Micros) {
        self.repair.sent = now;
        let replicas = self.replica_set.version > 0 && !self.lost_touch();
        let to = if replicas { self.others() } else { self.up.iter().copied().collect() };
        for to in to {
            self.send(to, Message::ReplicaSetRequest);
        }
    }

    /// Whether it has to ask who the replicas are: it doesn't know, or none that it knows can be reached.
    pub(crate) fn lost_touch(&self) -> bool {
        self.phase == Phase::Outside
            && (self.replica_set.version == 0 || !self.replica_set.nodes().any(|n| self.up.contains(&n)))
    }

    /// Takes a later replica set, which was decided: from here on this node does nothing under the one before.
    pub(crate) fn take_replica_set(&mut self, now: Micros, replica_set: ReplicaSet) {
        if replica_set.version <= self.replica_set.version || replica_set.members.len() > MEMBERS {
            return;
        }
        let came = replica_set.since(self.me);
        let removed = came.is_none() && (self.replica_set.contains(self.me) || self.in_force.is_some());
        self.in_force = removed.then(BTreeSet::new);
        if removed {
            self.repair.sent = now;
        }
        let new = came.is_some_and(|since| since > self.replica_set.version);
        let trusted = self.is(Mutation::VotesWithEmptyDisk)
            || (self.is(Mutation::JoiningReplicaVotesUnrepaired) && replica_set.joining == Some(self.me));
        self.figures.replica_sets += 1;
        self.failed = self.replica_set.joining.filter(|new| !replica_set.contains(*new));
        self.replica_set = replica_set;
        self.vote = Vote::default();
        self.proposal = None;
        // What waits for a write was said under the replica set before.
        self.after.clear();
        self.repair.replies.clear();
        self.repair.keys.clear();
        self.repair.vote = Vote::default();
        self.incarnations.retain(|node, _| self.replica_set.contains(*node));
        self.gone.retain(|node, _| self.replica_set.contains(*node));
        for node in self.replica_set.members.iter().map(|m| m.0) {
            if node != self.me && !self.up.contains(&node) {
                self.gone.entry(node).or_insert(now);
            }
        }
        self.next_try = now + RESEND + self.place() * STAGGER;
        let was = self.phase;
        self.phase = match came {
            None if self.is(Mutation::RemovedReplicaVotes) && was == Phase::Voter => Phase::Formatting,
            None => Phase::Outside,
            Some(_) if trusted => Phase::Formatting,
            Some(_) if new || matches!(was, Phase::Repairing | Phase::Outside) => Phase::Repairing,
            Some(_) => Phase::Formatting,
        };
        if self.phase == Phase::Formatting {
            self.write_metadata();
            self.after.push(After::Voter(self.replica_set.version));
        } else {
            // On disk it stays what it was under the replica set before: it has said nothing under this one.
            self.forget_writes();
        }
        if self.phase == Phase::Repairing && was != Phase::Repairing {
            self.incarnation =
                Incarnation { count: self.incarnation.count.saturating_add(1), nonce: self.draw() };
            for slot in self.keys.values_mut() {
                slot.promised = Epoch::default();
                slot.accepted = Revision::default();
                slot.value = P::default();
                slot.recent = Recent::begin(Revision::default());
            }
        }
        self.give_up_keys(now);
        // No duel was lost: who is first in line needn't wait.
        let first: Vec<String> =
            self.keys.keys().filter(|key| self.order(key).first() == Some(&self.me)).cloned().collect();
        for key in first {
            if let Some(slot) = self.keys.get_mut(&key) {
                slot.not_before = now;
            }
        }
        if self.phase == Phase::Repairing {
            self.ask_repair(now);
        }
    }

    fn give_up_keys(&mut self, now: Micros) {
        let held = |slot: &crate::state::Slot<P>| {
            !matches!(slot.ownership, Ownership::Replica) || !slot.queue.is_empty()
        };
        let keys: Vec<String> = self.keys.iter().filter(|(_, s)| held(s)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.step_down(now, &key);
        }
        self.reroute(now);
    }

    /// What is on disk is no good: from here on, and after a start too, this node is one that was wiped, but keeps its incarnation.
    pub(crate) fn lose_replica_set(&mut self, now: Micros) {
        self.replica_set.version = 0;
        self.vote = Vote::default();
        self.proposal = None;
        self.after.clear();
        self.forget_writes();
        self.phase = Phase::Outside;
        self.write_metadata();
        self.give_up_keys(now);
        self.ask_replica_set(now);
    }

    /// Which of the replicas that can be reached this one is: the first proposes first.
    fn place(&self) -> Micros {
        self.replica_set.nodes().filter(|n| *n < self.me && self.up.contains(n)).count() as Micros
    }

    /// From when on a replica that can't be reached counts as gone for long.
    fn gone_from(&self, node: Node) -> Option<Micros> {
        let leaves = |n: Node| n != node && self.there(n) && self.leavers.contains_key(&n);
        let span = if self.replica_set.nodes().any(leaves) { GONE_AS_ONE_LEAVES } else { GONE };
        self.gone.get(&node).map(|since| since + span)
    }

    fn gone_long(&self, now: Micros, node: Node) -> bool {
        self.gone_from(node).is_some_and(|at| now >= at)
    }

    /// From when on this replica is to be replaced: if it is gone for long, or has said that it stops. Then it wants that first
    /// itself, for its own word needs no other that knows of it.
    fn replace_from(&self, node: Node) -> Option<Micros> {
        let Some(said) = self.leavers.get(&node) else { return self.gone_from(node) };
        Some(if node == self.me { *said } else { *said + STAGGER })
    }

    /// Whom to replace first, and from when on: of those of whom it is time one that is gone goes before one that is still there.
    fn to_replace(&self, now: Option<Micros>) -> Option<(Micros, Node)> {
        let due = self.replica_set.nodes().filter_map(|n| Some((self.replace_from(n)?, n)));
        let due = due.filter(|(at, _)| now.is_none_or(|now| *at <= now));
        match now {
            Some(_) => due.min_by_key(|(at, n)| (!self.gone.contains_key(n), *at, *n)),
            None => due.min(),
        }
    }

    fn spare(&self) -> Option<Node> {
        let free = |n: &&Node| self.up.contains(n) && !self.replica_set.contains(**n);
        self.candidates.iter().filter(free).min_by_key(|n| (Some(**n) == self.failed, **n)).copied()
    }

    /// When a change of the replica set is due.
    pub(crate) fn replica_set_due(&self) -> Option<Micros> {
        if self.replica_set.joint() {
            return Some(self.next_try);
        }
        self.spare()?;
        let (from, node) = self.to_replace(None)?;
        let place = if node == self.me { 0 } else { self.place() };
        Some((from + place * STAGGER).max(self.next_try))
    }

    fn there(&self, node: Node) -> bool {
        node == self.me || self.up.contains(&node)
    }

    /// Whether a replica other than these can't be reached.
    fn another_gone(&self, but: &[Node]) -> bool {
        self.replica_set.nodes().any(|n| !but.contains(&n) && self.gone.contains_key(&n))
    }

    /// What this node would have the next replica set be.
    fn plan(&self, now: Micros) -> Option<ReplicaSet> {
        match (self.replica_set.leaving, self.replica_set.joining) {
            (Some(old), Some(new)) => {
                // Who stops in plan is there as long as it can be.
                let stays = !self.leavers.contains_key(&old);
                let back = stays && self.there(old);
                // Another one is gone, so without the newcomer's vote there is no quorum, and it was asked in vain.
                let asked = self.proposal.as_ref().is_some_and(|p| !p.promises.contains_key(&new));
                let slow = asked && self.there(old) && self.another_gone(&[old, new]);
                let fails = self.gone_long(now, new) || self.leavers.contains_key(&new) || slow;
                Some(self.replica_set.without(if back || fails { new } else { old }))
            }
            _ => {
                let (_, node) = self.to_replace(Some(now))?;
                let new = self.spare()?;
                let again = self.failed == Some(new) && self.there(node) && self.another_gone(&[node]);
                (!again).then(|| self.replica_set.swap(node, new))
            }
        }
    }

    pub(crate) fn tick_replica_set(&mut self, now: Micros) {
        if self.replica_set_due().is_none_or(|at| at > now) {
            return;
        }
        let Some(next) = self.plan(now) else {
            self.next_try = now + STAGGER;
            return;
        };
        self.next_try = now + STAGGER + (self.draw() % STAGGER as u64) as Micros;
        let round = self.vote.promised.max(self.ballot).round.saturating_add(1);
        let epoch = Epoch { round, owner: self.me.0 };
        self.ballot = epoch;
        let gone = next.leaving;
        self.proposal = Some(Proposal {
            epoch,
            next,
            promises: BTreeMap::new(),
            best: None,
            asked: false,
            accepted: BTreeMap::new(),
        });
        if let Some(new) = self.replica_set.joining.filter(|n| *n != self.me) {
            // It doesn't ask, for it doesn't know yet.
            self.send(new, Message::ReplicaSet { replica_set: self.replica_set.clone() });
        }
        for to in self.others() {
            self.send(to, Message::PrepareReplicaSet { epoch, gone });
        }
        self.on_propose(now, self.me, epoch, gone);
    }

    /// Refuses what is of a lower epoch than promised for the next replica set.
    fn overruled(&mut self, from: Node, epoch: Epoch) -> bool {
        let promised = self.vote.promised;
        if epoch < promised && from != self.me {
            self.send(from, Message::HigherReplicaSetEpoch { epoch: promised });
        }
        epoch < promised
    }

    /// Promises, if this node finds as well that who is to be replaced is gone, or knows that it stops.
    pub(crate) fn on_propose(&mut self, now: Micros, from: Node, epoch: Epoch, gone: Option<Node>) {
        if epoch.owner != from.0 || self.overruled(from, epoch) {
            return;
        }
        let agrees = |node| node == from || self.leavers.contains_key(&node) || self.gone_long(now, node);
        if !gone.is_none_or(agrees) {
            return;
        }
        self.vote.promised = epoch;
        self.write_metadata();
        let message = Message::ReplicaSetPromise {
            epoch,
            accepted: self.vote.accepted.clone(),
            incarnations: self.incarnations(),
        };
        self.reply(now, from, message);
    }

    pub(crate) fn on_proposed(
        &mut self,
        now: Micros,
        from: Node,
        epoch: Epoch,
        accepted: Option<(Epoch, ReplicaSet)>,
        incarnations: Incarnations,
    ) {
        if from != self.me && !self.alive(from, incarnations.mine) {
            return;
        }
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.epoch == epoch && !p.asked) else { return };
        proposal.promises.insert(from, incarnations.mine);
        if accepted.as_ref().map(|a| a.0) > proposal.best.as_ref().map(|b| b.0) {
            proposal.best = accepted;
        }
        let Some(proposal) = &self.proposal else { return };
        // A change comes into force only once the newcomer votes.
        let ready = proposal.best.is_some()
            || self.is(Mutation::RemovesLeavingReplicaEarly)
            || self
                .replica_set
                .joining
                .is_none_or(|new| !proposal.next.contains(new) || proposal.promises.contains_key(&new));
        if !ready || !self.enough_before(proposal.promises.iter()) {
            return;
        }
        let Some(proposal) = &mut self.proposal else { return };
        proposal.asked = true;
        if let Some((_, replica_set)) = proposal.best.take() {
            proposal.next = replica_set;
        }
        let replica_set = proposal.next.clone();
        for to in self.others() {
            self.send(to, Message::AcceptReplicaSet { epoch, replica_set: replica_set.clone() });
        }
        self.on_accept(now, self.me, epoch, replica_set);
    }

    pub(crate) fn on_accept(&mut self, now: Micros, from: Node, epoch: Epoch, replica_set: ReplicaSet) {
        let next =
            replica_set.version == self.replica_set.version + 1 && replica_set.members.len() <= MEMBERS;
        if epoch.owner != from.0 || !next || self.overruled(from, epoch) {
            return;
        }
        self.vote = Vote { promised: epoch, accepted: Some((epoch, replica_set)) };
        self.write_metadata();
        let message = Message::ReplicaSetAccepted { epoch, incarnations: self.incarnations() };
        self.reply(now, from, message);
    }

    pub(crate) fn on_accepted(&mut self, now: Micros, from: Node, epoch: Epoch, incarnations: Incarnations) {
        if from != self.me && !self.alive(from, incarnations.mine) {
            return;
        }
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.epoch == epoch && p.asked) else { return };
        proposal.accepted.insert(from, incarnations.mine);
        let Some(proposal) = &self.proposal else { return };
        if !self.enough_before(proposal.accepted.iter()) {
            return;
        }
        let next = proposal.next.clone();
        let mut all: Vec<Node> = self.replica_set.nodes().chain(next.nodes()).collect();
        all.sort();
        all.dedup();
        self.take_replica_set(now, next.clone());
        for to in all {
            if to != self.me && self.up.contains(&to) {
                self.send(to, Message::ReplicaSet { replica_set: next.clone() });
            }
        }
    }

    /// Another proposes under a higher epoch.
    pub(crate) fn on_overruled(&mut self, epoch: Epoch) {
        self.ballot = self.ballot.max(epoch);
    }

    fn reply(&mut self, now: Micros, to: Node, message: Message<P, P::Change>) {
        let version = self.replica_set.version;
        self.later(now, After::Send(version, to, message));
    }
}
