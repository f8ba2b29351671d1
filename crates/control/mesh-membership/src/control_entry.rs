//! Entries of the control state as membership distributes them: a key, a revision, opaque bytes. Knows nothing of what the
//! bytes mean nor of how the control store agrees on them.
use bitcode::{Decode, Encode};

/// The version of a control entry, compared from the first field on.
///
/// Encoded between nodes: order and types of the fields are part of the wire format, the same as of a tuple of three `u64`.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct Revision {
    /// The number of the ownership epoch in which the entry was written.
    pub epoch: u64,
    /// The owner in that epoch, by the bits of its address.
    pub owner: u64,
    /// Counts the owner's writes within the epoch.
    pub sequence: u64,
}

impl Revision {
    /// A revision of these parts.
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

/// An entry of the control state, as it travels.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ControlEntry {
    /// What it is about.
    pub key: String,
    /// Its version.
    pub revision: Revision,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// A look at an entry that is known here.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EntryView<'a> {
    /// What it is about.
    pub key: &'a str,
    /// Its version.
    pub revision: Revision,
    /// Its content.
    pub bytes: &'a [u8],
}
