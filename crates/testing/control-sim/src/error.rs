//! How a schedule fails.

use crate::history::Answer;
use crate::operator_state::CallToken;
use crate::violation::Violation;
use silvercross_control_store::ReplicaSet;
use silvercross_time::Duration;
use std::fmt;

/// What has not come to rest.
#[derive(Clone, Debug)]
pub enum Unrest {
    /// A replica is being replaced.
    ReplicaSetChanges,
    /// A replica of the newest set doesn't vote under it.
    ReplicaOutsideSet {
        /// The replica, by its node's index.
        node: usize,
        /// The set.
        replica_set: ReplicaSet,
    },
    /// A key is owned by none, or by several.
    OwnerCount {
        /// The key.
        key: String,
        /// How many own it.
        owners: usize,
    },
    /// A replica has not accepted the newest revision.
    ReplicaBehind {
        /// The replica's node id.
        node_id: u32,
        /// The key.
        key: String,
    },
    /// Nodes have not put the newest revision into force.
    NodesBehind {
        /// Their node ids.
        node_ids: Vec<u32>,
        /// The key.
        key: String,
    },
}

impl fmt::Display for Unrest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unrest::ReplicaSetChanges => write!(f, "a replica is being replaced"),
            Unrest::ReplicaOutsideSet { node, replica_set } => {
                write!(f, "replica {node} is not one of {replica_set:?}")
            }
            Unrest::OwnerCount { key, owners } => write!(f, "{key} is owned by {owners}"),
            Unrest::ReplicaBehind { node_id, key } => {
                write!(f, "replica {node_id} has not the newest of {key}")
            }
            Unrest::NodesBehind { node_ids, key } => {
                write!(f, "nodes {node_ids:?} have not the newest of {key}")
            }
        }
    }
}

/// Why a schedule failed.
#[derive(Clone, Debug)]
pub enum ScheduleError {
    /// What was seen breaks a rule.
    RuleBroken(Box<Violation>),
    /// A node answers a call that was sent to another one.
    AnsweredByAnotherNode {
        /// The node that answers, by its index.
        node: usize,
        /// The call.
        token: CallToken,
    },
    /// A node that ran all the time answers later than the control store's call timeout allows.
    AnsweredLate {
        /// The call.
        token: CallToken,
        /// How long it took.
        after: Duration,
    },
    /// The first call of a quiet world was not acknowledged.
    FirstCallFailed(Answer),
    /// Not all came to rest after the heal.
    NotAtRest {
        /// How long it was waited for.
        after: Duration,
        /// What is not at rest.
        unrest: Unrest,
    },
    /// A call after the heal was not acknowledged.
    CallAfterHealFailed {
        /// Through which node, by its index.
        node: usize,
        /// Its answer.
        answer: Answer,
    },
    /// A read after the heal was not answered.
    ReadAfterHealFailed {
        /// Through which node, by its index.
        node: usize,
        /// Its answer.
        answer: Answer,
    },
}

impl ScheduleError {
    /// Whether something good didn't happen in time, as against something bad that happened.
    pub fn is_liveness(&self) -> bool {
        matches!(
            self,
            ScheduleError::NotAtRest { .. }
                | ScheduleError::CallAfterHealFailed { .. }
                | ScheduleError::ReadAfterHealFailed { .. }
        )
    }

    /// The rule that was broken, if what was seen breaks one.
    pub fn violation(&self) -> Option<&Violation> {
        match self {
            ScheduleError::RuleBroken(violation) => Some(violation),
            _ => None,
        }
    }
}

impl From<Box<Violation>> for ScheduleError {
    fn from(violation: Box<Violation>) -> ScheduleError {
        ScheduleError::RuleBroken(violation)
    }
}

impl fmt::Display for ScheduleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScheduleError::RuleBroken(violation) => violation.fmt(f),
            ScheduleError::AnsweredByAnotherNode { node, token } => {
                write!(f, "node {node} answers call {} of another", token.0)
            }
            ScheduleError::AnsweredLate { token, after } => {
                write!(f, "call {} answered after {} us", token.0, after.as_micros())
            }
            ScheduleError::FirstCallFailed(answer) => write!(f, "the first call: {answer:?}"),
            ScheduleError::NotAtRest { after, unrest } => {
                write!(f, "not at rest {} s after the heal: {unrest}", after.as_secs_f64())
            }
            ScheduleError::CallAfterHealFailed { node, answer } => {
                write!(f, "a call after the heal through node {node}: {answer:?}")
            }
            ScheduleError::ReadAfterHealFailed { node, answer } => {
                write!(f, "a read after the heal through node {node}: {answer:?}")
            }
        }
    }
}

impl std::error::Error for ScheduleError {}
