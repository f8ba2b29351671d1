//! How the next replica set is decided: single-decree Paxos among the replicas of the current one.
//!
//! One replica is replaced at a time, through a joint replica set. Each of the two steps is decided by a
//! majority of the replica set before it, the second only with the vote of the joining replica.

use crate::limits::{MAX_REPLICAS, PROPOSAL_STAGGER};
use crate::message::Message;
use crate::mutation::Mutation;
use crate::proposal::Proposal;
use crate::replica_set::{AcceptedReplicaSet, ReplicaSet, Vote};
use crate::store::ControlStore;
use crate::types::{node_incarnations, Epoch, Incarnation, Node};
use crate::value::State;
use silvercross_time::{Duration, Instant};

impl<V: State> ControlStore<V> {
    /// How long this node leaves it to other replicas to propose: the first reachable replica proposes first.
    pub(crate) fn proposal_delay(&self) -> Duration {
        let before = |node: &Node| *node < self.node && self.reachable.contains(node);
        PROPOSAL_STAGGER * self.replica_set.nodes().filter(before).count() as i64
    }

    /// When a change of the replica set is due.
    pub(crate) fn replica_set_deadline(&self) -> Option<Instant> {
        if self.replica_set.is_joint() {
            return Some(self.next_proposal);
        }
        self.replacement_candidate()?;
        let due = self.first_replacement()?;
        let delay = if due.node == self.node { Duration::ZERO } else { self.proposal_delay() };
        Some((due.due_at + delay).max(self.next_proposal))
    }

    /// The replica set that this node would propose next.
    fn planned_replica_set(&self, now: Instant) -> Option<ReplicaSet> {
        if let (Some(leaving), Some(joining)) = (self.replica_set.leaving, self.replica_set.joining) {
            return Some(self.replica_set.without(self.replica_to_drop(now, leaving, joining)));
        }
        let node = self.replica_to_replace(now)?;
        let joining = self.replacement_candidate()?;
        // A second attempt with the candidate that failed before would again leave no quorum.
        let would_fail_again = self.abandoned_joining == Some(joining)
            && self.is_present(node)
            && self.is_another_unreachable(&[node]);
        (!would_fail_again).then(|| self.replica_set.joint(node, joining))
    }

    /// The replica to remove from a joint replica set: the leaving one, or the joining one if the replacement
    /// has to be abandoned.
    fn replica_to_drop(&self, now: Instant, leaving: Node, joining: Node) -> Node {
        // A stopping replica is reachable while it waits for its replacement.
        let has_recovered = !self.stopping.contains_key(&leaving) && self.is_present(leaving);
        // The joining replica was asked without success, and as another one is unreachable there is no quorum
        // without its vote.
        let was_asked =
            self.proposal.as_ref().is_some_and(|proposal| !proposal.promises.contains_key(&joining));
        let is_stuck =
            was_asked && self.is_present(leaving) && self.is_another_unreachable(&[leaving, joining]);
        let has_failed = self.is_lost(now, joining) || self.stopping.contains_key(&joining) || is_stuck;
        if has_recovered || has_failed {
            joining
        } else {
            leaving
        }
    }

    /// Proposes a change of the replica set if one is due.
    pub(crate) fn tick_replica_set(&mut self, now: Instant) {
        if self.replica_set_deadline().is_none_or(|deadline| deadline > now) {
            return;
        }
        let Some(next) = self.planned_replica_set(now) else {
            self.next_proposal = now + PROPOSAL_STAGGER;
            return;
        };
        let jitter = (self.random() % PROPOSAL_STAGGER.as_micros() as u64) as i64;
        self.next_proposal = now + PROPOSAL_STAGGER + Duration::from_micros(jitter);
        let round = self.vote.promised.max(self.highest_proposal).round.saturating_add(1);
        let epoch = Epoch { round, owner: self.node.0 };
        self.highest_proposal = epoch;
        let replaced = next.leaving;
        self.proposal = Some(Proposal::new(epoch, next));
        if let Some(joining) = self.replica_set.joining.filter(|node| *node != self.node) {
            // The joining replica doesn't know the replica set yet, so it doesn't ask for it.
            self.send_replica_set(joining);
        }
        self.broadcast(&Message::PrepareReplicaSet { epoch, replaced });
        self.on_prepare_replica_set(now, self.node, epoch, replaced);
    }

    /// Rejects a proposal for the next replica set below the promised epoch.
    fn rejects_lower_proposal(&mut self, from: Node, epoch: Epoch) -> bool {
        let promised = self.vote.promised;
        if epoch < promised && from != self.node {
            self.send(from, Message::HigherReplicaSetEpoch { epoch: promised });
        }
        epoch < promised
    }

    /// Promises, if the replica to be replaced is the sender, or this node also considers it lost or
    /// stopping.
    pub(crate) fn on_prepare_replica_set(
        &mut self,
        now: Instant,
        from: Node,
        epoch: Epoch,
        replaced: Option<Node>,
    ) {
        if epoch.owner != from.0 || self.rejects_lower_proposal(from, epoch) {
            return;
        }
        let agrees = |node| node == from || self.stopping.contains_key(&node) || self.is_lost(now, node);
        if !replaced.is_none_or(agrees) {
            return;
        }
        self.vote.promised = epoch;
        self.persist_metadata();
        let (accepted, incarnations) = (self.vote.accepted.clone(), self.incarnations());
        self.send_after_write(now, from, Message::ReplicaSetPromise { epoch, accepted, incarnations });
    }

    /// A replica has promised. Once a majority has, proposes for acceptance what was accepted earlier, or
    /// else this node's own plan.
    pub(crate) fn on_replica_set_promise(
        &mut self,
        now: Instant,
        from: Node,
        incarnation: Incarnation,
        epoch: Epoch,
        accepted: Option<AcceptedReplicaSet>,
    ) {
        if from != self.node && !self.check_incarnation(from, incarnation) {
            return;
        }
        let proposal = self.proposal.as_mut().filter(|p| p.epoch == epoch && !p.is_accepting);
        let Some(proposal) = proposal else { return };
        proposal.promise(from, incarnation, accepted);
        let Some(proposal) = &self.proposal else { return };
        let is_ready = self.has_vote_of_joining(proposal);
        if !is_ready || !self.have_base_majority(node_incarnations(&proposal.promises)) {
            return;
        }
        let Some(proposal) = &mut self.proposal else { return };
        proposal.is_accepting = true;
        if let Some(accepted) = proposal.latest_accepted.take() {
            proposal.next = accepted.replica_set;
        }
        let replica_set = proposal.next.clone();
        self.broadcast(&Message::AcceptReplicaSet { epoch, replica_set: replica_set.clone() });
        self.on_accept_replica_set(now, self.node, epoch, replica_set);
    }

    /// A replacement is completed only once the joining replica votes, unless a replica set was accepted
    /// earlier: that one may already be in force.
    fn has_vote_of_joining(&self, proposal: &Proposal) -> bool {
        let votes = |joining| !proposal.next.contains(joining) || proposal.promises.contains_key(&joining);
        proposal.latest_accepted.is_some()
            || self.has_mutation(Mutation::RemovesLeavingReplicaEarly)
            || self.replica_set.joining.is_none_or(votes)
    }

    /// Accepts the next replica set.
    pub(crate) fn on_accept_replica_set(
        &mut self,
        now: Instant,
        from: Node,
        epoch: Epoch,
        replica_set: ReplicaSet,
    ) {
        let is_next =
            replica_set.version == self.replica_set.version + 1 && replica_set.members.len() <= MAX_REPLICAS;
        if epoch.owner != from.0 || !is_next || self.rejects_lower_proposal(from, epoch) {
            return;
        }
        self.vote = Vote { promised: epoch, accepted: Some(AcceptedReplicaSet { epoch, replica_set }) };
        self.persist_metadata();
        let incarnations = self.incarnations();
        self.send_after_write(now, from, Message::ReplicaSetAccepted { epoch, incarnations });
    }

    /// A replica has accepted. Once a majority has, the next replica set is decided and sent to the members
    /// of both.
    pub(crate) fn on_replica_set_accepted(
        &mut self,
        now: Instant,
        from: Node,
        incarnation: Incarnation,
        epoch: Epoch,
    ) {
        if from != self.node && !self.check_incarnation(from, incarnation) {
            return;
        }
        let proposal = self.proposal.as_mut().filter(|p| p.epoch == epoch && p.is_accepting);
        let Some(proposal) = proposal else { return };
        proposal.accepted.insert(from, incarnation);
        let Some(proposal) = &self.proposal else { return };
        if !self.have_base_majority(node_incarnations(&proposal.accepted)) {
            return;
        }
        let next = proposal.next.clone();
        let mut all: Vec<Node> = self.replica_set.nodes().chain(next.nodes()).collect();
        all.sort();
        all.dedup();
        self.adopt_replica_set(now, next.clone());
        for to in all {
            if to != self.node && self.reachable.contains(&to) {
                self.send(to, Message::ReplicaSet { replica_set: next.clone() });
            }
        }
    }

    /// Another node proposes under a higher epoch.
    pub(crate) fn on_higher_replica_set_epoch(&mut self, epoch: Epoch) {
        self.highest_proposal = self.highest_proposal.max(epoch);
    }
}
