//! What a replica keeps on disk.
//!
//! The encoding of these types is that of the stored data: their fields may be renamed but neither moved nor retyped.

use crate::replica_set::{ReplicaSet, Vote};
use crate::types::{Epoch, Incarnation, NodeIncarnation, Revision};
use bitcode::{Decode, Encode};

/// What is durable of a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoredKey<V> {
    /// Its name.
    pub key: String,
    /// The highest epoch that was promised: nothing of a lower one is accepted.
    pub promised: Epoch,
    /// Where `value` stands.
    pub accepted: Revision,
    /// Its value.
    pub value: V,
}

/// That this disk is a replica's, and whose.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Metadata {
    /// All replicas, as of the last version under which this one said anything.
    pub replica_set: ReplicaSet,
    /// What was said about the next one.
    pub vote: Vote,
    /// Which disk of its replica this is.
    pub incarnation: Incarnation,
    /// The others' repairs that this replica has answered.
    pub incarnations: Vec<NodeIncarnation>,
}

/// What was found on disk at start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoredState<V> {
    /// `None`: it was never formatted, or wiped.
    pub metadata: Option<Metadata>,
    /// All keys.
    pub keys: Vec<StoredKey<V>>,
}

impl<V> Default for StoredState<V> {
    fn default() -> Self {
        StoredState { metadata: None, keys: Vec::new() }
    }
}
