//! Calls of this node's callers, and calls queued at a key, including those that other nodes forwarded.

use crate::limits::{FORWARD_TIMEOUT, MAX_RECENT_FORWARDS};
use crate::message::Request;
use crate::types::{Epoch, Node, Revision};
use crate::value::Rejection;
use silvercross_time::Instant;
use std::collections::{BTreeSet, VecDeque};

/// The result of [`State::apply`](crate::value::State::apply).
pub(crate) type ApplyResult = Result<bool, Rejection>;

/// Who receives the outcome of a queued call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Caller {
    /// A caller of this node; the call's id in the table of open calls.
    Local(u64),
    /// The node that forwarded the call.
    Remote {
        node: Node,
        /// The call's id there.
        id: u64,
        /// The epoch under which it was forwarded.
        epoch: Epoch,
    },
}

/// A call at the node that serves it.
#[derive(Clone, Debug)]
pub(crate) struct QueuedCall<C> {
    pub(crate) caller: Caller,
    pub(crate) request: Request<C>,
    pub(crate) deadline: Instant,
}

/// A call that is answered once the epoch is confirmed.
#[derive(Clone, Debug)]
pub(crate) struct UnconfirmedCall<C> {
    pub(crate) call: QueuedCall<C>,
    /// Set if the call is to be rejected.
    pub(crate) rejection: Option<Rejection>,
}

/// A call that is answered once an append is committed.
#[derive(Clone, Debug)]
pub(crate) struct UncommittedCall<C> {
    pub(crate) call: QueuedCall<C>,
    pub(crate) applied: ApplyResult,
}

/// The last `MAX_RECENT_FORWARDS` calls that were forwarded here under one epoch, to recognize duplicates.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentForwards {
    seen: BTreeSet<(Node, u64)>,
    order: VecDeque<(Node, u64)>,
}

impl RecentForwards {
    /// Whether this call is new.
    pub(crate) fn insert(&mut self, from: Node, id: u64) -> bool {
        if !self.seen.insert((from, id)) {
            return false;
        }
        self.order.push_back((from, id));
        if self.order.len() > MAX_RECENT_FORWARDS {
            if let Some(oldest) = self.order.pop_front() {
                self.seen.remove(&oldest);
            }
        }
        true
    }
}

/// The node that a call is forwarded to, and the epoch under which that node owns the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwardTarget {
    pub(crate) node: Node,
    pub(crate) epoch: Epoch,
}

/// Where an open call is served.
#[derive(Clone, Debug)]
pub(crate) enum CallRoute {
    /// Here: in its key's queue, or waiting for an append or a confirmation.
    Local,
    /// At another node.
    Forwarded {
        target: ForwardTarget,
        /// When it was forwarded.
        since: Instant,
    },
    /// Nowhere: it is routed again at this time.
    Parked(Instant),
    /// The read returns the value at this revision, which has not arrived here yet.
    AwaitingRevision(Revision),
}

/// The epoch that a read has returned, for a change that may be made under it alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadEpoch {
    /// The epoch.
    pub epoch: Epoch,
    /// When the caller called, before the read.
    pub called_at: Instant,
}

/// What a call begins with.
pub(crate) struct CallStart<C> {
    pub(crate) request: Request<C>,
    /// When the caller called.
    pub(crate) called_at: Instant,
    /// The only epoch under which it may be served.
    pub(crate) under: Option<Epoch>,
}

impl<C> CallStart<C> {
    /// A call that is made now and may be served under any epoch.
    pub(crate) fn at(now: Instant, request: Request<C>) -> Self {
        CallStart { request, called_at: now, under: None }
    }
}

/// A call of this node's caller.
#[derive(Clone, Debug)]
pub(crate) struct Call<C> {
    pub(crate) token: u64,
    pub(crate) key: String,
    pub(crate) request: Request<C>,
    pub(crate) deadline: Instant,
    /// The only epoch under which it may be served.
    pub(crate) under: Option<Epoch>,
    /// The targets tried so far. At most `MAX_FORWARDS_PER_CALL`.
    pub(crate) tried_targets: Vec<ForwardTarget>,
    pub(crate) route: CallRoute,
}

impl<C> Call<C> {
    /// When the call has to be answered or routed again at the latest.
    pub(crate) fn next_deadline(&self) -> Instant {
        match self.route {
            CallRoute::Local | CallRoute::AwaitingRevision(_) => self.deadline,
            CallRoute::Forwarded { .. } if self.under.is_some() => self.deadline,
            CallRoute::Forwarded { since, .. } => self.deadline.min(since + FORWARD_TIMEOUT),
            CallRoute::Parked(until) => self.deadline.min(until),
        }
    }

    /// The node that it is currently forwarded to.
    pub(crate) fn forwarded_to(&self) -> Option<ForwardTarget> {
        match self.route {
            CallRoute::Forwarded { target, .. } => Some(target),
            _ => None,
        }
    }
}
