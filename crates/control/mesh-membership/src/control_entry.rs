//! Entries of the control state as they are distributed: a key, a revision and opaque bytes. Agreement on
//! them is the task of the control store.
use bitcode::{Decode, Encode};

/// The version of a control entry, ordered lexicographically by its fields.
///
/// Encoded between nodes: order and types of the fields are part of the wire format, the same as of a tuple of three `u64`.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct Revision {
    /// The number of the ownership epoch in which the entry was written.
    pub epoch: u64,
    /// The owner in that epoch, as the bits of its address.
    pub owner: u64,
    /// Counts the owner's writes within the epoch.
    pub sequence: u64,
}

impl Revision {
    /// Creates a revision from its parts.
    pub const fn new(epoch: u64, owner: u64, sequence: u64) -> Self {
        Revision { epoch, owner, sequence }
    }
}

impl From<(u64, u64, u64)> for Revision {
    /// From (epoch, owner, sequence).
    fn from((epoch, owner, sequence): (u64, u64, u64)) -> Self {
        Revision { epoch, owner, sequence }
    }
}

impl From<Revision> for (u64, u64, u64) {
    /// To (epoch, owner, sequence).
    fn from(revision: Revision) -> Self {
        (revision.epoch, revision.owner, revision.sequence)
    }
}

/// The revision of one key, without its value.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub struct EntryRevision {
    /// The entry's key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
}

/// An entry of the control state.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ControlEntry {
    /// The entry's key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
    /// Its value.
    pub bytes: Vec<u8>,
}

/// A borrowed view of a known entry.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EntryView<'a> {
    /// The entry's key.
    pub key: &'a str,
    /// Its revision.
    pub revision: Revision,
    /// Its value.
    pub bytes: &'a [u8],
}
