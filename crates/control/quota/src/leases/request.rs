//! What the caller of a node's leases hands in and gets back.

use crate::allowance::RequestKind;
use crate::protocol::{Change, OrderId, RejectionReason};
use silvercross_time::Duration;

/// A request at its head.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The caller's name for it, handed back with a later decision.
    pub id: u64,
    /// The member.
    pub member: &'a str,
    /// Its kind.
    pub kind: RequestKind,
    /// Its order's number, if it came with one.
    pub order: Option<OrderId>,
    /// The length of its body, as the head gives it.
    pub body_bytes: u64,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is counted: it goes on.
    Uncounted,
    /// It goes on, and its end is to be handed to [`crate::QuotaLeases::finish`].
    Accepted {
        /// What its end is reported by.
        attempt: u64,
        /// Another attempt of its order was accepted before, as far as is known here.
        is_repeat: bool,
        /// In which window it is counted.
        window: u64,
        /// Units free, by the owner's last answer.
        free: u64,
    },
    /// Nothing is left, and by the operator's choice it goes on uncounted, slowed as for a lapsed trial.
    Slowed {
        /// The window.
        window: u64,
    },
    /// It waits, its body untouched, until [`crate::QuotaLeases::handle_answer`] or [`crate::QuotaLeases::tick`] decides.
    AwaitOwner,
    /// It is answered 429 (503 where the owner is out of reach), before its body is taken.
    Rejected {
        /// Why.
        reason: RejectionReason,
        /// When to come back at most.
        retry_after: Duration,
        /// Units free, by the owner's last answer.
        free: u64,
        /// The window, by the owner's last answer.
        window: u64,
    },
}

/// The decision on a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateDecision {
    /// The caller's name for the request.
    pub request: u64,
    /// What is to be done with it.
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

/// A change for the owner of a member's count. Its outcome goes to [`crate::QuotaLeases::handle_answer`] by its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCall {
    /// Its number.
    pub number: u64,
    /// Whose count.
    pub member: String,
    /// What to change.
    pub change: Change,
}

/// Plain counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests accepted from a lease, without an exchange.
    pub accepted_locally: u64,
    /// Requests accepted after an exchange.
    pub accepted_by_owner: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests that went on uncounted because nothing was left.
    pub slowed: u64,
    /// Calls sent, those sent again included.
    pub calls: u64,
    /// Calls given up without an answer.
    pub given_up: u64,
    /// Units that were not used and could no more be given back.
    pub forfeited: u64,
    /// Times that this node was not stepped for too long and put its leases away.
    pub missed_steps: u64,
}

impl std::hash::Hash for Metrics {
    /// States that differ in counters only are searched once.
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}
