//! What counts as a quorum, and which earlier answers still count.

use crate::message::Message;
use crate::mutation::Mutation;
use crate::store::{ControlStore, Phase};
use crate::types::{node_incarnations, Incarnation, Incarnations, Node, NodeIncarnation};
use crate::value::State;

impl<V: State> ControlStore<V> {
    /// Whether a quorum has answered, with disks that were not lost since: a majority, and during a
    /// replacement both a majority of the previous replica set and one of the next.
    pub(crate) fn have_quorum(&self, answers: impl Iterator<Item = NodeIncarnation>) -> bool {
        self.is_quorum(&self.with_current_disks(answers))
    }

    /// Whether a majority of the replica set, not counting a joining replica, has answered. That is enough
    /// for a repair and for deciding the next replica set: such majorities intersect each other and every
    /// quorum, since each quorum contains one.
    pub(crate) fn have_base_majority(&self, answers: impl Iterator<Item = NodeIncarnation>) -> bool {
        let nodes = self.with_current_disks(answers);
        self.replica_set.is_majority(&nodes, self.replica_set.joining)
    }

    fn with_current_disks(&self, answers: impl Iterator<Item = NodeIncarnation>) -> Vec<Node> {
        answers
            .filter(|answer| self.is_current(answer.node, answer.incarnation))
            .map(|answer| answer.node)
            .collect()
    }

    /// Whether these nodes are a quorum.
    pub(crate) fn is_quorum(&self, nodes: &[Node]) -> bool {
        let replica_set = &self.replica_set;
        if self.has_mutation(Mutation::RemovedReplicaVotes) {
            let joining = usize::from(replica_set.joining.is_some());
            return nodes.len() * 2 > replica_set.members.len() - joining;
        }
        match self.has_mutation(Mutation::OldQuorumOnly) {
            true => replica_set.is_majority(nodes, replica_set.joining),
            false => replica_set.is_quorum(nodes),
        }
    }

    /// Whether no later incarnation of the node's disk is known.
    pub(crate) fn is_current(&self, node: Node, incarnation: Incarnation) -> bool {
        node == self.node
            || self.has_mutation(Mutation::CountsEarlierIncarnations)
            || incarnation >= self.known_incarnation(node)
    }

    /// The highest known incarnation of a node's disk.
    pub(crate) fn known_incarnation(&self, node: Node) -> Incarnation {
        self.incarnations.get(&node).copied().unwrap_or_default()
    }

    /// Whether a message was sent with the node's current disk. If not, the node is told of its latest known
    /// incarnation.
    pub(crate) fn check_incarnation(&mut self, from: Node, incarnation: Incarnation) -> bool {
        let is_current = self.is_current(from, incarnation);
        if !is_current {
            self.metrics.stale_incarnations += 1;
            let known = self.known_incarnation(from);
            self.send(from, Message::StaleIncarnation { incarnation: known });
        }
        is_current
    }

    /// All disk incarnations known here.
    pub(crate) fn incarnations(&self) -> Incarnations {
        Incarnations { own: self.incarnation, others: node_incarnations(&self.incarnations).collect() }
    }

    /// Merges the incarnations that another node knows. If it knows a higher one of this node, this node
    /// adopts it: what it said under the lower one no longer counts, which is always safe.
    pub(crate) fn merge_incarnations(&mut self, incarnations: &Incarnations) {
        for other in &incarnations.others {
            if other.node == self.node {
                self.raise_own_incarnation(other.incarnation);
            } else if self.replica_set.contains(other.node) {
                let known = self.incarnations.entry(other.node).or_default();
                *known = (*known).max(other.incarnation);
            }
        }
    }

    /// Adopts a higher incarnation.
    pub(crate) fn raise_own_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation && self.phase == Phase::Voter {
            self.incarnation = incarnation;
            self.persist_metadata();
        }
    }
}
