//! Who the replicas are, and how one that is gone is replaced: one at a time, through a joint replica set, each step decided by
//! more than half of the replica set before it.

use crate::message::{Incarnation, Incarnations, Message};
use crate::store::{After, Broken, ControlStore, Ownership, Phase, GONE, RESEND, STAGGER};
use crate::{Epoch, Micros, Node, Revision, State};
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Replicas of one replica set at most; one that is larger is dropped.
const MEMBERS: usize = 64;
/// Machines that could become replicas, remembered at a time; a further one waits until one goes.
const CANDIDATES: usize = 64;
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
    pub coming: Option<Node>,
}

impl ReplicaSet {
    pub(crate) fn first(version: u64, nodes: Vec<Node>) -> ReplicaSet {
        let mut members: Vec<(Node, u64)> = nodes.into_iter().map(|n| (n, version)).collect();
        members.sort();
        members.dedup();
        ReplicaSet { version, members, leaving: None, coming: None }
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
        self.coming.is_some() || self.leaving.is_some()
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
        ReplicaSet { version, members, leaving: Some(gone), coming: Some(new) }
    }

    /// The next one, without this one: the change is in force if it is the one that leaves, abandoned if the newcomer.
    fn without(&self, node: Node) -> ReplicaSet {
        let members = self.members.iter().copied().filter(|m| m.0 != node).collect();
        ReplicaSet { version: self.version + 1, members, leaving: None, coming: None }
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
        self.replica_set.more_than_half(&said, self.replica_set.coming)
    }

    fn still<'a>(&self, said: impl Iterator<Item = (&'a Node, &'a Incarnation)>) -> Vec<Node> {
        said.filter(|(node, incarnation)| self.current(**node, **incarnation))
            .map(|(node, _)| *node)
            .collect()
    }

    pub(crate) fn enough_of(&self, said: &[Node]) -> bool {
        if self.is(Broken::RemovedVotes) {
            let coming = usize::from(self.replica_set.coming.is_some());
            return said.len() * 2 > self.replica_set.members.len() - coming;
        }
        let replica_set = &self.replica_set;
        replica_set.more_than_half(said, replica_set.coming)
            && (self.is(Broken::OldQuorumOnly) || replica_set.more_than_half(said, replica_set.leaving))
    }

    /// A core machine with a disk that is in no replica set that it knows of: it may come in the place of a replica that is gone.
    /// `up` is whether it can still be reached and says so.
    pub fn candidate(&mut self, now: Micros, node: Node, up: bool) {
        if !up {
            self.candidates.remove(&node);
        } else if node != self.me && self.candidates.len() < CANDIDATES && self.candidates.insert(node) {
            if self.replica_set.version == 0 {
                self.send(node, Message::AskReplicaSet);
            }
            self.tick(now);
        }
    }

    /// Whether this node is no replica.
    pub fn outside(&self) -> bool {
        !self.replica_set.contains(self.me)
    }

    /// The replica set as this node knows it.
    pub fn replicas(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// Asks all that are linked who the replicas are.
    pub(crate) fn ask_replica_set(&mut self, now: Micros) {
        self.repair.sent = now;
        for to in self.up.clone() {
            self.send(to, Message::AskReplicaSet);
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
        let new = came.is_some_and(|since| since > self.replica_set.version);
        let trusted = self.is(Broken::WipedVotes)
            || (self.is(Broken::NewcomerVotes) && replica_set.coming == Some(self.me));
        self.figures.replica_sets += 1;
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
            None if self.is(Broken::RemovedVotes) && was == Phase::Voter => Phase::Formatting,
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
            }
        }
        let held = |slot: &crate::store::Slot<P>| {
            !matches!(slot.ownership, Ownership::Replica) || !slot.queue.is_empty()
        };
        let keys: Vec<String> = self.keys.iter().filter(|(_, s)| held(s)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.step_down(now, &key);
        }
        self.reroute(now);
        if self.phase == Phase::Repairing {
            self.ask_repair(now);
        }
    }

    /// Which of the replicas that can be reached this one is: the first proposes first.
    fn place(&self) -> Micros {
        self.replica_set.nodes().filter(|n| *n < self.me && self.up.contains(n)).count() as Micros
    }

    /// Whom to replace, if anybody is long gone, and since when.
    fn long_gone(&self) -> Option<(Micros, Node)> {
        self.gone.iter().filter(|(n, _)| self.replica_set.contains(**n)).map(|(n, since)| (*since, *n)).min()
    }

    fn spare(&self) -> Option<Node> {
        let free = |n: &&Node| self.up.contains(n) && !self.replica_set.contains(**n);
        self.candidates.iter().find(free).copied()
    }

    /// When a change of the replica set is due.
    pub(crate) fn replica_set_due(&self) -> Option<Micros> {
        if self.replica_set.joint() {
            return Some(self.next_try);
        }
        self.spare()?;
        let (since, _) = self.long_gone()?;
        Some((since + GONE + self.place() * STAGGER).max(self.next_try))
    }

    /// What this node would have the next replica set be.
    fn plan(&self, now: Micros) -> Option<ReplicaSet> {
        let gone = |node: Node| self.gone.get(&node).is_some_and(|since| now >= since + GONE);
        match (self.replica_set.leaving, self.replica_set.coming) {
            (Some(old), Some(new)) => {
                let back = old == self.me || self.up.contains(&old);
                Some(self.replica_set.without(if back || gone(new) { new } else { old }))
            }
            _ => {
                let (_, node) = self.long_gone().filter(|(_, node)| gone(*node))?;
                Some(self.replica_set.swap(node, self.spare()?))
            }
        }
    }

    pub(crate) fn tick_replica_set(&mut self, now: Micros) {
        if self.replica_set_due().is_none_or(|at| at > now) {
            return;
        }
        let Some(next) = self.plan(now) else { return };
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
        if let Some(new) = self.replica_set.coming.filter(|n| *n != self.me) {
            // It doesn't ask, for it doesn't know yet.
            self.send(new, Message::ReplicaSet { replica_set: self.replica_set.clone() });
        }
        for to in self.others() {
            self.send(to, Message::Propose { epoch, gone });
        }
        self.on_propose(now, self.me, epoch, gone);
    }

    /// Refuses what is of a lower epoch than promised for the next replica set.
    fn overruled(&mut self, from: Node, epoch: Epoch) -> bool {
        let promised = self.vote.promised;
        if epoch < promised && from != self.me {
            self.send(from, Message::Overruled { epoch: promised });
        }
        epoch < promised
    }

    /// Promises, if this node finds as well that who is to be replaced is gone.
    pub(crate) fn on_propose(&mut self, now: Micros, from: Node, epoch: Epoch, gone: Option<Node>) {
        if epoch.owner != from.0 || self.overruled(from, epoch) {
            return;
        }
        let agrees = |node: Node| self.gone.get(&node).is_some_and(|since| now >= since + GONE);
        if !gone.is_none_or(agrees) {
            return;
        }
        self.vote.promised = epoch;
        self.write_metadata();
        let message = Message::Proposed {
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
            || self
                .replica_set
                .coming
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
            self.send(to, Message::Accept { epoch, replica_set: replica_set.clone() });
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
        let message = Message::Accepted { epoch, incarnations: self.incarnations() };
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
