//! The replica set as a value: its members, its majorities, and the next one in a replacement.
//!
//! Nothing here sends or waits; how the next replica set is decided is in `protocol::replica_set_change`.

use crate::types::{Epoch, Node};
use bitcode::{Decode, Encode};

/// One replica of a replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Member {
    /// The replica.
    pub node: Node,
    /// The version of the replica set in which it joined.
    pub joined_in: u64,
}

/// All replicas as of one version. During a replacement both the leaving and the joining replica are members,
/// and a quorum is a majority without the joining one and a majority without the leaving one (joint
/// consensus, Raft, section 6).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaSet {
    /// Increases with every change; 1 is the one formatted at the first start. With 0 the replica set is
    /// unknown and `members` are nodes to ask.
    pub version: u64,
    /// In order of their nodes.
    pub members: Vec<Member>,
    /// The replica that is being replaced.
    pub leaving: Option<Node>,
    /// The replica that replaces it.
    pub joining: Option<Node>,
}

impl ReplicaSet {
    /// The replica set of a first start, or with version 0 the nodes to ask for it.
    pub(crate) fn initial(version: u64, nodes: Vec<Node>) -> ReplicaSet {
        let mut members: Vec<Member> =
            nodes.into_iter().map(|node| Member { node, joined_in: version }).collect();
        members.sort();
        members.dedup();
        ReplicaSet { version, members, leaving: None, joining: None }
    }

    /// Whether the node is a member.
    pub fn contains(&self, node: Node) -> bool {
        self.joined_in(node).is_some()
    }

    /// The version in which the node joined, if it is a member.
    pub(crate) fn joined_in(&self, node: Node) -> Option<u64> {
        self.members.iter().find(|member| member.node == node).map(|member| member.joined_in)
    }

    /// All members.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = Node> + '_ {
        self.members.iter().map(|member| member.node)
    }

    /// Whether a replica is being replaced.
    pub fn is_joint(&self) -> bool {
        self.joining.is_some() || self.leaving.is_some()
    }

    /// Whether `nodes` include more than half of all members except `without`.
    pub(crate) fn is_majority(&self, nodes: &[Node], without: Option<Node>) -> bool {
        let counted = self.nodes().filter(|node| Some(*node) != without);
        let (mut size, mut present) = (0, 0);
        for node in counted {
            size += 1;
            present += usize::from(nodes.contains(&node));
        }
        present * 2 > size
    }

    /// The groups of nodes of each of which more than half make a quorum: all members, or during a replacement
    /// those without the joining replica and those without the leaving one.
    pub fn quorum_groups(&self) -> Vec<Vec<Node>> {
        let without = |left_out: Option<Node>| self.nodes().filter(|node| Some(*node) != left_out).collect();
        let mut groups = vec![without(self.joining)];
        if self.is_joint() {
            groups.push(without(self.leaving));
        }
        groups
    }

    /// Whether `nodes` are a quorum.
    pub(crate) fn is_quorum(&self, nodes: &[Node]) -> bool {
        let has_majority =
            |group: &Vec<Node>| 2 * group.iter().filter(|node| nodes.contains(node)).count() > group.len();
        self.quorum_groups().iter().all(has_majority)
    }

    /// The joint replica set that follows this one, in which `joining` is to replace `leaving`.
    pub(crate) fn joint(&self, leaving: Node, joining: Node) -> ReplicaSet {
        let version = self.version + 1;
        let mut members = self.members.clone();
        members.push(Member { node: joining, joined_in: version });
        members.sort();
        ReplicaSet { version, members, leaving: Some(leaving), joining: Some(joining) }
    }

    /// The replica set that follows this joint one, without `node`: the replacement is complete if that is
    /// the leaving replica, abandoned if it is the joining one.
    pub(crate) fn without(&self, node: Node) -> ReplicaSet {
        let members = self.members.iter().copied().filter(|member| member.node != node).collect();
        ReplicaSet { version: self.version + 1, members, leaving: None, joining: None }
    }
}

/// A replica set that was accepted, and the epoch under which it was.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcceptedReplicaSet {
    /// The proposal's epoch.
    pub epoch: Epoch,
    /// The proposed replica set.
    pub replica_set: ReplicaSet,
}

/// A replica's vote on the next replica set: the state of a Paxos acceptor. Durable before it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Vote {
    /// Nothing of a lower epoch is accepted.
    pub promised: Epoch,
    /// The last accepted replica set.
    pub accepted: Option<AcceptedReplicaSet>,
}

impl Vote {
    /// Merges the vote of another replica.
    pub(crate) fn merge(&mut self, other: Vote) {
        self.promised = self.promised.max(other.promised);
        keep_later(&mut self.accepted, other.accepted);
    }
}

/// Keeps the one accepted under the higher epoch.
pub(crate) fn keep_later(known: &mut Option<AcceptedReplicaSet>, other: Option<AcceptedReplicaSet>) {
    if other.as_ref().map(|accepted| accepted.epoch) > known.as_ref().map(|accepted| accepted.epoch) {
        *known = other;
    }
}
