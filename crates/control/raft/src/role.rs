//! A replica's role and the state that belongs to it (RP 5.1, figure 4). The behaviour is in [`crate::election`],
//! [`crate::follower`], [`crate::leader`], [`crate::proposal`] and [`crate::replication`].
use crate::log::Index;
use crate::Node;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Collects votes; with `pre_vote` only asks whether it would be elected (D 9.6).
    Candidate {
        votes: BTreeSet<Node>,
        pre_vote: bool,
    },
    Leader(LeaderState),
}

/// A follower's replication progress, as the leader sees it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// The follower's log durably matches the leader's up to this index.
    pub matched: Index,
    /// When it last responded.
    pub heard_at: Instant,
    /// Voters that it considers permanently lost.
    pub gone: Vec<Node>,
    pub(crate) next: Index,
    pub(crate) in_flight: usize,
    /// Whether its matching index is still being searched for; only one message with entries is then in flight.
    pub(crate) probing: bool,
    /// The latest of the leader's rounds that it has responded to; it confirms the reads up to that round.
    pub(crate) confirmed_round: u64,
    /// The snapshot being sent to it: its index, the next offset in bytes, and whether a chunk is in flight.
    pub(crate) snapshot: Option<(Index, u64, bool)>,
    /// Whether it has responded since the last heartbeat.
    pub(crate) responded: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: BTreeMap<Node, Progress>,
    /// The index of the first entry of its term.
    pub(crate) first_index: Index,
    /// Incremented by each read and returned in responses, which show by it which reads they confirm (D 6.4).
    pub(crate) round: u64,
    pub(crate) heartbeat_at: Instant,
    /// Pending reads: number, round that confirms it, commit index when it was requested.
    pub(crate) reads: VecDeque<(u64, u64, Index)>,
    pub(crate) last_read_number: u64,
    /// The log time in milliseconds when it became leader, and its local time then.
    pub(crate) clock_base: (u64, Instant),
    /// The target of a leadership transfer, and when the transfer is aborted.
    pub(crate) transfer: Option<(Node, Instant)>,
}

impl LeaderState {
    pub(crate) fn next_deadline(&self) -> Instant {
        self.heartbeat_at
    }
}
