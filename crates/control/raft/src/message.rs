//! What replicas say to each other. Each message is one way and may be lost, doubled, late or out of order.
use crate::log::{Entry, Group, Index, Term};
use crate::Node;
use serde::{Deserialize, Serialize};

/// A message with what it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which group's log.
    pub group: u32,
    /// Which founding or recovery of it; others are not listened to.
    pub epoch: u64,
    /// Who says it.
    pub from: Node,
    /// To whom: a process that took over an address does not heed what was said to another.
    pub to: Node,
    /// How many writes its folder had made durable when it was said: less than once heard is an older folder.
    pub writes: u64,
    /// What it says.
    pub message: Message,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Started with a folder that was used before: what was the greatest number of writes that you heard from me?
    Hello,
    /// So many.
    HelloBack {
        /// The greatest number heard; 0: none.
        seen: u64,
    },
    /// RequestVote (RP 5.2), and the pre-vote without effect (D 9.6).
    RequestVote {
        /// The candidate's term; in a pre-vote the one it would have.
        term: Term,
        /// Its last entry.
        last: Index,
        /// The term of that.
        last_term: Term,
        /// Whether this is a pre-vote.
        pre_vote: bool,
        /// Asked for by the leader itself: voters that hear a leader answer all the same (D 3.10, 4.2.3).
        transfer: bool,
    },
    /// The response.
    RequestVoteResponse {
        /// The voter's term; granted in a pre-vote: the term asked about.
        term: Term,
        /// Yes.
        granted: bool,
        /// Whether this is a pre-vote.
        pre_vote: bool,
    },
    /// AppendEntries (RP 5.3), heartbeats too.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The entry before these.
        prev: Index,
        /// The term of that.
        prev_term: Term,
        /// What comes behind it.
        entries: Vec<Entry>,
        /// Committed up to here.
        commit: Index,
        /// The leader's round of asking who follows (D 6.4).
        round: u64,
    },
    /// The response.
    AppendEntriesResponse {
        /// The follower's term.
        term: Term,
        /// It has the same as the leader up to here, durably; or `None`, and `last` says where to look.
        matched: Option<Index>,
        /// The last place that could match.
        last: Index,
        /// The round it answers.
        round: u64,
        /// Voters that it holds to be gone for good, by what it sees itself.
        gone: Vec<Node>,
    },
    /// InstallSnapshot (RP 7), in chunks (D 5.1).
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The snapshot's last entry.
        index: Index,
        /// The term of that.
        index_term: Term,
        /// Its time.
        at_ms: u64,
        /// The group at it.
        group: Group,
        /// The offset of this chunk, in bytes.
        offset: u64,
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The last one.
        done: bool,
        /// As in `AppendEntries`.
        round: u64,
    },
    /// The response to a chunk that was not the last.
    InstallSnapshotResponse {
        /// The follower's term.
        term: Term,
        /// The snapshot's last entry.
        index: Index,
        /// Where the next one begins.
        next: u64,
        /// The round it answers.
        round: u64,
    },
    /// A leader that transfers its leadership asks this voter to start an election at once (D 3.10).
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// Your folder is older than what you have promised: more writes were heard of.
    Older {
        /// So many.
        seen: u64,
    },
}

impl Message {
    /// Its length, about.
    pub fn bytes(&self) -> usize {
        64 + match self {
            Message::AppendEntries { entries, .. } => entries.iter().map(Entry::bytes).sum(),
            Message::InstallSnapshot { data, .. } => data.len(),
            _ => 0,
        }
    }
}
