//! The state of a replica on disk.
//!
//! The encoding of these types is that of the stored data: fields may be renamed but neither moved nor
//! retyped.

use crate::replica_set::{ReplicaSet, Vote};
use crate::types::{Epoch, Incarnation, NodeIncarnation, Revision};
use bitcode::{Decode, Encode};

/// The durable state of a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoredKey<V> {
    /// The key.
    pub key: String,
    /// The highest promised epoch: nothing of a lower one is accepted.
    pub promised: Epoch,
    /// The revision of `value`.
    pub accepted: Revision,
    /// The value.
    pub value: V,
}

/// Marks the disk as that of a replica, and identifies it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Metadata {
    /// The replica set of the last version under which this replica said anything.
    pub replica_set: ReplicaSet,
    /// This replica's promise and acceptance for the next replica set.
    pub vote: Vote,
    /// The incarnation of this disk.
    pub incarnation: Incarnation,
    /// Known incarnations of the other replicas.
    pub incarnations: Vec<NodeIncarnation>,
}

/// The state found on disk at start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoredState<V> {
    /// `None` if the disk was never formatted, or was wiped.
    pub metadata: Option<Metadata>,
    /// All keys.
    pub keys: Vec<StoredKey<V>>,
}

impl<V> Default for StoredState<V> {
    fn default() -> Self {
        StoredState { metadata: None, keys: Vec::new() }
    }
}
