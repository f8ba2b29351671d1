//! What a replica reports to its caller: entries to apply, why it stopped, and why a request was rejected.
use crate::log::{Entry, Index, Snapshot};
use crate::Node;

/// A step for the state machine; steps are to be applied in the order in which they are polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Apply {
    /// Apply a committed entry.
    Entry(Index, Entry),
    /// Replace the state by that of a snapshot.
    Restore(Snapshot),
}

/// Why a replica stopped for good. Its process may continue as a different node with empty storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A write failed, so the content of the storage is unknown.
    WriteFailed,
    /// Another node has seen more writes than the storage holds: the storage is an older copy.
    Older {
        /// The number of writes that the other node has seen.
        seen: u64,
        /// The number of writes that the storage holds.
        held: u64,
    },
    /// This invariant of Raft would have been violated.
    Rule(&'static str),
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftError {
    /// This replica isn't the leader; the leader, if known.
    NotLeader(Option<Node>),
    /// It leads, but has not committed an entry in its term yet, or is transferring its leadership.
    NotReady,
    /// Too many entries are uncommitted or too many reads pending.
    Full,
    /// An earlier change of the group is not committed yet.
    ChangeInProgress,
    /// The change adds or removes more than one voter, or leaves none.
    NotSingleServerChange,
    /// The replica has stopped.
    Ended,
}
