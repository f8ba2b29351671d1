//! Nodes, epochs, revisions and incarnations. All of them are part of messages and of stored data.
//!
//! Nothing here depends on the values of keys or on how they are replicated. Continue reading with `message`.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// A control node, identified by its IPv4 address as a number. It keeps the address across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Node(pub u32);

/// One term of ownership of a key, or of a proposal for the replica set. Ordered by round, then by owner; no
/// two owners share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Epoch {
    /// Increases with every claim.
    pub round: u64,
    /// The number of the [`Node`] that owns the key in this epoch.
    pub owner: u32,
}

/// Position of a value in a key's history: all committed values of a key are ordered by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Revision {
    /// The ownership under which the value was written.
    pub epoch: Epoch,
    /// The number of the append within that ownership, from 1 on.
    pub sequence: u64,
}

/// The generation of a replica's disk: a new one for every disk that was lost and repaired. What a replica
/// said under an earlier incarnation no longer counts after the repair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Incarnation {
    /// Increases with every repair; 0 for a disk formatted at the first start.
    pub count: u64,
    /// Distinguishes two repairs with the same count.
    pub nonce: u64,
}

/// The incarnation under which a node sent something, or the latest one known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeIncarnation {
    /// The node.
    pub node: Node,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
}

/// The entries of a table of incarnations.
pub(crate) fn node_incarnations(
    table: &BTreeMap<Node, Incarnation>,
) -> impl Iterator<Item = NodeIncarnation> + '_ {
    table.iter().map(|(node, incarnation)| NodeIncarnation { node: *node, incarnation: *incarnation })
}

/// The sender's incarnation, and the known ones of other nodes whose disks were repaired (usually none).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Incarnations {
    /// The sender's own.
    pub own: Incarnation,
    /// Those of other nodes.
    pub others: Vec<NodeIncarnation>,
}

/// The position of a key under one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyPosition {
    /// The key.
    pub key: String,
    /// The epoch of its owner.
    pub epoch: Epoch,
    /// The last append within that epoch.
    pub sequence: u64,
}

impl KeyPosition {
    /// The position as a revision.
    pub(crate) fn revision(&self) -> Revision {
        Revision { epoch: self.epoch, sequence: self.sequence }
    }
}
