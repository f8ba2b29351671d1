//! Calls: of this node's callers, and as they wait at a key, together with those that were forwarded here.

use crate::limits::{FORWARD_TIMEOUT, MAX_REMEMBERED_FORWARDS};
use crate::message::Request;
use crate::types::{Epoch, Node, Revision};
use crate::value::Rejection;
use silvercross_time::Instant;
use std::collections::{BTreeSet, VecDeque};

/// What [`State::apply`](crate::value::State::apply) said.
pub(crate) type Applied = Result<bool, Rejection>;

/// Who waits for a queued call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Caller {
    /// A caller of this node: the call's number in the table of open calls.
    Local(u64),
    /// A call that was forwarded here.
    Remote {
        /// By whom.
        node: Node,
        /// Its number there.
        id: u64,
        /// Under which epoch.
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
    /// Why it is rejected, if it is.
    pub(crate) rejection: Option<Rejection>,
}

/// A call that is answered once an append is committed.
#[derive(Clone, Debug)]
pub(crate) struct UncommittedCall<C> {
    pub(crate) call: QueuedCall<C>,
    pub(crate) applied: Applied,
}

/// The calls that were forwarded here under one epoch, the last `MAX_REMEMBERED_FORWARDS` of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RememberedForwards {
    known: BTreeSet<(Node, u64)>,
    order: VecDeque<(Node, u64)>,
}

impl RememberedForwards {
    /// Whether this one has not come before.
    pub(crate) fn insert(&mut self, from: Node, id: u64) -> bool {
        if !self.known.insert((from, id)) {
            return false;
        }
        self.order.push_back((from, id));
        if self.order.len() > MAX_REMEMBERED_FORWARDS {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        true
    }
}

/// To whom a call is forwarded, as owner of which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwardTarget {
    pub(crate) node: Node,
    pub(crate) epoch: Epoch,
}

/// Where an open call is served.
#[derive(Clone, Debug)]
pub(crate) enum CallPlace {
    /// Here: in its key's queue, or waiting for an append or a confirmation.
    Local,
    /// At another node.
    Forwarded {
        /// Which.
        target: ForwardTarget,
        /// Since when.
        since: Instant,
    },
    /// Nowhere: there is nobody to turn to until then.
    Parked(Instant),
    /// What is read stands at this revision; the value here doesn't yet.
    AwaitingRevision(Revision),
}

/// A call of this node's caller.
#[derive(Clone, Debug)]
pub(crate) struct Call<C> {
    pub(crate) token: u64,
    pub(crate) key: String,
    pub(crate) request: Request<C>,
    pub(crate) deadline: Instant,
    /// At most `MAX_FORWARDS_PER_CALL`.
    pub(crate) tried: Vec<ForwardTarget>,
    pub(crate) place: CallPlace,
}

impl<C> Call<C> {
    /// When it is answered or gets another place at the latest.
    pub(crate) fn next_deadline(&self) -> Instant {
        match self.place {
            CallPlace::Local | CallPlace::AwaitingRevision(_) => self.deadline,
            CallPlace::Forwarded { since, .. } => self.deadline.min(since + FORWARD_TIMEOUT),
            CallPlace::Parked(until) => self.deadline.min(until),
        }
    }

    /// To whom it is forwarded at present.
    pub(crate) fn forwarded_to(&self) -> Option<ForwardTarget> {
        match self.place {
            CallPlace::Forwarded { target, .. } => Some(target),
            _ => None,
        }
    }
}
