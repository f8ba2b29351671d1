//! Inputs and results of [`crate::QuotaLeases`].

use crate::allowance::RequestKind;
use crate::protocol::{Change, OrderId, RejectionReason};
use silvercross_time::Duration;

/// A request whose head has arrived and whose body has not been read.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The caller's id for the request, returned with a deferred decision.
    pub id: u64,
    /// The member.
    pub member: &'a str,
    /// The kind of request.
    pub kind: RequestKind,
    /// The id of its order number, if it has one.
    pub order: Option<OrderId>,
    /// The length of its body according to the head.
    pub body_bytes: u64,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Serve it; it is not counted.
    Uncounted,
    /// Serve it, and report its outcome to [`crate::QuotaLeases::finish`].
    Accepted {
        /// The number to report its outcome with.
        attempt: u64,
        /// Whether another attempt of its order is known to have been accepted before.
        is_repeat: bool,
        /// The window in which it is counted.
        window: u64,
        /// Units free, according to the owner's last answer.
        free: u64,
    },
    /// The quota is exhausted, and by the operator's configuration the request is served uncounted, with the delay
    /// that `silvercross-throttle` gives the reads of a member whose trial period has ended.
    Slowed {
        /// The current window.
        window: u64,
    },
    /// Let it wait, without reading its body, until [`crate::QuotaLeases::handle_answer`] or
    /// [`crate::QuotaLeases::tick`] decides.
    AwaitOwner,
    /// Answer 429 (503 if the owner is unreachable) without reading its body.
    Rejected {
        /// The reason.
        reason: RejectionReason,
        /// How long to wait before a retry, at most.
        retry_after: Duration,
        /// Units free, according to the owner's last answer.
        free: u64,
        /// The window, according to the owner's last answer.
        window: u64,
    },
}

/// The decision on a request that waited for the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateDecision {
    /// The caller's id for the request.
    pub request: u64,
    /// What to do with it.
    pub decision: Decision,
}

/// How an accepted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It ran.
    Ran,
    /// It may have run.
    MayHaveRun,
    /// It certainly did not run.
    NotRun,
}

/// A change to send to the owner of a member's quota state. The answer goes to [`crate::QuotaLeases::handle_answer`]
/// with the number of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCall {
    /// The number of the call.
    pub number: u64,
    /// The member whose quota state changes.
    pub member: String,
    /// The change.
    pub change: Change,
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests accepted from a held lease, without waiting for the owner.
    pub accepted_locally: u64,
    /// Requests accepted after they waited for the owner.
    pub accepted_by_owner: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests served uncounted because the quota was exhausted.
    pub slowed: u64,
    /// Calls sent, including those sent again.
    pub calls: u64,
    /// Calls whose waiting requests were rejected because no answer came in time.
    pub given_up: u64,
    /// Units that were not used but could not be given back because their lease was settled.
    pub forfeited: u64,
    /// Gaps longer than [`crate::QuotaConfig::max_step`], after which this node stopped using its leases.
    pub missed_steps: u64,
}

impl std::hash::Hash for Metrics {
    /// Ignores the counters, so that the exhaustive search of states (tests/exhaustive.rs) treats states that differ
    /// only in them as one.
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}
