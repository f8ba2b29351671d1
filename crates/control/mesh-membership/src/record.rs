//! Node records and their versions.
use crate::node::Node;
use bitcode::{Decode, Encode};

/// What is known about a node. The highest (incarnation, sequence, gone) wins everywhere.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct NodeRecord<T> {
    /// The node that the record describes.
    pub node: Node,
    /// Increases with each start of the node.
    pub incarnation: u64,
    /// Increases with each change within an incarnation, from a random initial value.
    pub sequence: u64,
    /// The node's zone.
    pub zone: String,
    /// Whether the node holds the control state.
    pub is_control: bool,
    /// The node signed off, or its watchers declared it gone.
    pub gone: bool,
    /// What the node publishes about itself.
    pub body: T,
}

impl<T> NodeRecord<T> {
    /// The version by which records of a node are ordered.
    pub fn version(&self) -> RecordVersion {
        RecordVersion {
            node: self.node,
            incarnation: self.incarnation,
            sequence: self.sequence,
            gone: self.gone,
        }
    }
}

/// The version of a record. Comparable only with versions of the same node.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub struct RecordVersion {
    /// The node that the record describes.
    pub node: Node,
    /// The node's incarnation.
    pub incarnation: u64,
    /// The sequence within the incarnation.
    pub sequence: u64,
    /// Whether the node is gone.
    pub gone: bool,
}
