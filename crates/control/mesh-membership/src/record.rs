//! What is known of a node, and what records are ordered by. Knows nothing of how records travel; go on with `message`
//! and `version_table`.
use crate::node::Node;
use bitcode::{Decode, Encode};

/// What is known of a node. The highest (incarnation, sequence, gone) wins everywhere.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct NodeRecord<T> {
    /// Whose record it is.
    pub node: Node,
    /// Rises with each start of the node.
    pub incarnation: u64,
    /// Rises within an incarnation, with each change, from a drawn beginning.
    pub sequence: u64,
    /// The node's zone.
    pub zone: String,
    /// Whether the node holds the control state.
    pub is_control: bool,
    /// Signed off, or declared gone by its watchers.
    pub gone: bool,
    /// What the node publishes about itself.
    pub body: T,
}

impl<T> NodeRecord<T> {
    /// What records are ordered by.
    pub fn version(&self) -> RecordVersion {
        RecordVersion {
            node: self.node,
            incarnation: self.incarnation,
            sequence: self.sequence,
            gone: self.gone,
        }
    }
}

/// The version of a record. Compared only with versions of the same node.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub struct RecordVersion {
    /// Whose record it is.
    pub node: Node,
    /// The node's incarnation.
    pub incarnation: u64,
    /// The sequence within the incarnation.
    pub sequence: u64,
    /// Whether the node is gone.
    pub gone: bool,
}
