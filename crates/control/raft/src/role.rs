//! A replica's role and what it keeps while it has that role (RP 5.1, figure 4). Data alone: what is done with it is in
//! [`crate::election`], [`crate::follower`], [`crate::leader`], [`crate::proposal`] and [`crate::replication`].
use crate::log::Index;
use crate::Node;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks for votes; `pre_vote`: only whether it would be elected (D 9.6).
    Candidate {
        votes: BTreeSet<Node>,
        pre_vote: bool,
    },
    Leader(Leadership),
}

/// How far a follower is.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Durably the same up to here.
    pub matched: Index,
    /// When it last answered.
    pub heard_at: Instant,
    /// Voters that it considers lost for good.
    pub gone: Vec<Node>,
    pub(crate) next: Index,
    pub(crate) in_flight: usize,
    /// Its matching index is being searched for: one message at a time.
    pub(crate) probing: bool,
    pub(crate) round: u64,
    /// The snapshot being sent to it: its index, the next offset, whether a chunk is in flight.
    pub(crate) snapshot: Option<(Index, u64, bool)>,
    /// Whether it has answered since the last heartbeat.
    pub(crate) fresh: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    pub(crate) peers: BTreeMap<Node, Progress>,
    /// The first place of its own term.
    pub(crate) first: Index,
    pub(crate) round: u64,
    pub(crate) heartbeat_at: Instant,
    pub(crate) reads: VecDeque<(u64, u64, Index)>,
    pub(crate) next_read: u64,
    /// The log's time when it became leader, and when that was by its own clock.
    pub(crate) clock: (u64, Instant),
    /// The voter that leadership is being transferred to, and when the attempt is given up.
    pub(crate) transfer: Option<(Node, Instant)>,
}

impl Leadership {
    pub(crate) fn next_deadline(&self) -> Instant {
        self.heartbeat_at
    }
}
