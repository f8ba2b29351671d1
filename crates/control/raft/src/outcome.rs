//! What a replica reports to its caller: entries to apply, why it stopped, why a request was rejected. It holds no state.
use crate::log::{Entry, Index, Snapshot};
use crate::Node;

/// Something for the state machine, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Apply {
    /// A committed entry.
    Entry(Index, Entry),
    /// The state is this one from now on.
    Restore(Snapshot),
}

/// Why a replica does nothing any more. Its process may go on as another node, with an empty folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A write failed: what the disk holds is not known.
    WriteFailed,
    /// Others heard of more writes than the folder holds.
    Older {
        /// So many.
        seen: u64,
        /// And held.
        held: u64,
    },
    /// A rule was about to be broken.
    Rule(&'static str),
}

/// Why something asked for is not done here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftError {
    /// Another leads, as far as is known.
    NotLeader(Option<Node>),
    /// It leads, and can't yet: its first entry is not committed.
    NotReady,
    /// Too much is open.
    Full,
    /// A change of the group is not committed yet.
    ChangeInProgress,
    /// The change is more than one step.
    NotSingleServerChange,
    /// It does nothing any more.
    Ended,
}
