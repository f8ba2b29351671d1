//! Who and when: nodes, epochs, revisions and incarnations. All of them are part of messages and of stored data.
//!
//! Nothing here knows what a key holds or how it is replicated. Go on reading at `message`.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// A control node: its IPv4 address as a number, which it keeps across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Node(pub u32);

/// One term of ownership of a key, or of a proposal for the replica set. Ordered by round, then by owner; no two owners
/// share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Epoch {
    /// Rises with every claim.
    pub round: u64,
    /// The number of the [`Node`] that owns the key in it.
    pub owner: u32,
}

/// Where a key's value stands: all committed values of a key are ordered by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Revision {
    /// Under which ownership it was written.
    pub epoch: Epoch,
    /// Which append within that ownership, from 1 on.
    pub sequence: u64,
}

/// Which disk a replica writes on: it rises with every disk that was lost and repaired. What a replica said with an
/// earlier disk no longer counts once it was repaired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Incarnation {
    /// Rises with every repair; 0 for a disk that was formatted on the first start.
    pub count: u64,
    /// Tells two repairs of one count apart.
    pub nonce: u64,
}

/// The incarnation under which a node said something, or the latest that is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeIncarnation {
    /// The node.
    pub node: Node,
    /// Its disk's incarnation.
    pub incarnation: Incarnation,
}

/// The entries of a table of incarnations.
pub(crate) fn node_incarnations(
    table: &BTreeMap<Node, Incarnation>,
) -> impl Iterator<Item = NodeIncarnation> + '_ {
    table.iter().map(|(node, incarnation)| NodeIncarnation { node: *node, incarnation: *incarnation })
}

/// The sender's incarnation, and those of others that it has helped to repair (none, as a rule).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Incarnations {
    /// The sender's own.
    pub own: Incarnation,
    /// Of the others.
    pub others: Vec<NodeIncarnation>,
}

/// How far a key has come under one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeyPosition {
    /// The key.
    pub key: String,
    /// Its owner's epoch.
    pub epoch: Epoch,
    /// The last append within that epoch.
    pub sequence: u64,
}

impl KeyPosition {
    /// The same as a revision.
    pub(crate) fn revision(&self) -> Revision {
        Revision { epoch: self.epoch, sequence: self.sequence }
    }
}
