//! The messages between replicas. Each is one-way and may be lost, duplicated, delayed or reordered.
use crate::log::{Entry, Group, Index, Term};
use crate::Node;
use serde::{Deserialize, Serialize};

/// A message with its group, epoch, sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The number of the Raft group.
    pub group: u32,
    /// The epoch: which bootstrap or recovery of the group this belongs to. A replica only handles messages of its own epoch.
    pub epoch: u64,
    /// The sender.
    pub from: Node,
    /// The receiver: a process that took over the address of another node ignores messages to that node.
    pub to: Node,
    /// How many writes the sender's storage had made durable when the message was sent. Fewer than in an earlier message means
    /// that this one is late or that the storage is an older copy.
    pub writes: u64,
    /// The message.
    pub message: Message,
}

/// A message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks, after a start with used storage, for the greatest number of writes that the receiver has seen from the sender.
    Hello,
    /// The response to `Hello`.
    HelloBack {
        /// The greatest number seen; 0 if there was no message.
        seen: u64,
    },
    /// RequestVote (RP 5.2), also for the pre-vote, which changes no state (D 9.6).
    RequestVote {
        /// The candidate's term; in a pre-vote the term it would have.
        term: Term,
        /// The index of its last entry.
        last: Index,
        /// The term of that entry.
        last_term: Term,
        /// Whether this is a pre-vote.
        pre_vote: bool,
        /// Whether a leadership transfer caused it: voters then respond even while they hear from a leader (D 3.10, 4.2.3).
        transfer: bool,
    },
    /// The response to `RequestVote`.
    RequestVoteResponse {
        /// The voter's term; in a granted pre-vote the requested term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
        /// Whether this is a pre-vote.
        pre_vote: bool,
    },
    /// AppendEntries (RP 5.3), also used as heartbeat.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The index of the entry before these.
        prev: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries after it.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's round of heartbeats, by which it confirms its leadership for reads (D 6.4).
        round: u64,
    },
    /// The response to `AppendEntries`, and to `InstallSnapshot` once the follower has the whole snapshot or if the
    /// term is stale.
    AppendEntriesResponse {
        /// The follower's term.
        term: Term,
        /// The follower's log durably matches the leader's up to this index; `None` if the request was rejected.
        matched: Option<Index>,
        /// After a rejection, the last index that could match.
        last: Index,
        /// The round that it responds to.
        round: u64,
        /// Voters that the follower itself considers permanently lost.
        gone: Vec<Node>,
    },
    /// InstallSnapshot (RP 7), in chunks (D 5.1).
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The index of the last entry that the snapshot covers.
        index: Index,
        /// The term of that entry.
        index_term: Term,
        /// The log time of that entry, in milliseconds.
        at_ms: u64,
        /// The group in force at that entry.
        group: Group,
        /// The offset of this chunk, in bytes.
        offset: u64,
        /// The chunk.
        data: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
        /// As in `AppendEntries`.
        round: u64,
    },
    /// The response to a chunk that doesn't complete the snapshot.
    InstallSnapshotResponse {
        /// The follower's term.
        term: Term,
        /// The index of the last entry that the snapshot covers.
        index: Index,
        /// The offset of the next chunk that the follower expects, in bytes.
        next: u64,
        /// The round that it responds to.
        round: u64,
    },
    /// TimeoutNow: a leader that transfers its leadership asks the receiver to start an election at once (D 3.10).
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// The receiver's message was late, or its storage is an older copy: the sender has seen more writes from it.
    Older {
        /// The greatest number of writes seen.
        seen: u64,
    },
}

impl Message {
    /// Its approximate encoded size, in bytes.
    pub fn bytes(&self) -> usize {
        64 + match self {
            Message::AppendEntries { entries, .. } => entries.iter().map(Entry::bytes).sum(),
            Message::InstallSnapshot { data, .. } => data.len(),
            _ => 0,
        }
    }
}
