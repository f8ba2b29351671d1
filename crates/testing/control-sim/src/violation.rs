//! The rules that a history can break, each with the shortest piece of history that shows it.

use crate::history::{AppliedValue, Incarnation, ObservedItems, ObservedRevision, Operation};
use std::fmt;

/// A rule that was broken.
#[derive(Clone, Debug)]
pub enum Violation {
    /// A revision has one value.
    TwoValuesOfOneRevision {
        /// A process put this into force.
        first: AppliedValue,
        /// And another one, or the same, this.
        second: AppliedValue,
    },
    /// A later revision has all that is in the one before.
    LostBetweenRevisions {
        /// The revision before.
        earlier: ObservedRevision,
        /// Its value.
        earlier_value: ObservedItems,
        /// The later revision.
        later: ObservedRevision,
        /// Its value.
        later_value: ObservedItems,
    },
    /// A read sees whatever was acknowledged or read before it was sent.
    StaleRead {
        /// What was acknowledged or read before.
        known: Operation,
        /// The read.
        read: Operation,
    },
    /// A version of an item has one content.
    TwoContentsOfOneVersion {
        /// The item.
        name: u8,
        /// The version.
        version: u64,
    },
    /// What is in force was asked for.
    NeverRequested {
        /// The item.
        name: u8,
        /// Its version.
        version: u64,
        /// Its content.
        content: u64,
    },
    /// Nothing of a rejected call is in force.
    RejectedInForce {
        /// The call.
        operation: Operation,
        /// The value that holds some of it.
        value: ObservedItems,
    },
    /// A call is in force as a whole or not at all.
    PartOfCallInForce {
        /// The call.
        operation: Operation,
        /// The value that holds a part of it.
        value: ObservedItems,
    },
    /// What was acknowledged is in force from there on.
    AcknowledgedNotInForce {
        /// The call.
        operation: Operation,
        /// The first revision that has to hold it.
        revision: ObservedRevision,
        /// The value of that revision.
        value: ObservedItems,
    },
    /// A version of an item changes the state once.
    ChangedTwice {
        /// One call that did.
        first: Operation,
        /// The other.
        second: Operation,
    },
    /// Two contents of one version are not both acknowledged, unless a later version came between.
    BothAcknowledged {
        /// One call.
        first: Operation,
        /// The other.
        second: Operation,
    },
    /// An acknowledged call is not rejected when it is sent again.
    RepeatRejected(Operation),
    /// A conflict needs another content under the same version.
    ConflictWithoutRival(Operation),
    /// A call is valid if what it needs was acknowledged before and nobody drops it.
    ValidCallRejected(Operation),
    /// An acknowledged order is in the value of its revision.
    OrderNotInForce(Operation),
    /// An order that its operator had given up before another one was sent is not carried out after that one.
    OrderAfterLater {
        /// The order that was acknowledged.
        acknowledged: Operation,
        /// The later revision with the order that was given up.
        revision: ObservedRevision,
        /// That order's content.
        content: u64,
    },
    /// A process never goes back to an older revision.
    WentBack {
        /// The node, by its index.
        node: usize,
        /// What it had.
        before: AppliedValue,
        /// What it put into force then.
        after: AppliedValue,
    },
    /// Nobody reports itself ready without proof before the wait limit.
    ReadyTooEarly(Incarnation),
    /// Whoever reports itself ready as current has all that was acknowledged before its start.
    ReadyWithoutAcknowledged {
        /// The process.
        incarnation: Incarnation,
        /// What was acknowledged.
        operation: Operation,
        /// What the process has.
        value: ObservedItems,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TwoValuesOfOneRevision { first, second } => {
                write!(f, "two contents of one revision: {second:?} and {first:?}")
            }
            Violation::LostBetweenRevisions { earlier, earlier_value, later, later_value } => write!(
                f,
                "lost between revisions: {earlier:?} has {earlier_value:?}, {later:?} has {later_value:?}"
            ),
            Violation::StaleRead { known, read } => {
                write!(f, "a read misses what stood before it: {known:?} then {read:?}")
            }
            Violation::TwoContentsOfOneVersion { name, version } => {
                write!(f, "item {name} version {version} has two contents")
            }
            Violation::NeverRequested { name, version, content } => {
                write!(f, "nobody asked for item {name} {version} {content}")
            }
            Violation::RejectedInForce { operation, value } => {
                write!(f, "rejected and in force: {operation:?} in {value:?}")
            }
            Violation::PartOfCallInForce { operation, value } => {
                write!(f, "part of a call in force: {operation:?} in {value:?}")
            }
            Violation::AcknowledgedNotInForce { operation, revision, value } => {
                write!(f, "acknowledged and not in force: {operation:?} in {revision:?} {value:?}")
            }
            Violation::ChangedTwice { first, second } => {
                write!(f, "in force twice under one number: {first:?} and {second:?}")
            }
            Violation::BothAcknowledged { first, second } => {
                write!(f, "both confirmed under one number: {first:?} and {second:?}")
            }
            Violation::RepeatRejected(operation) => {
                write!(f, "a repeat of an acknowledged call is rejected: {operation:?}")
            }
            Violation::ConflictWithoutRival(operation) => {
                write!(f, "a conflict without a rival: {operation:?}")
            }
            Violation::ValidCallRejected(operation) => write!(f, "a valid call is rejected: {operation:?}"),
            Violation::OrderNotInForce(operation) => {
                write!(f, "an acknowledged order is not in its revision: {operation:?}")
            }
            Violation::OrderAfterLater { acknowledged, revision, content } => write!(
                f,
                "order {content}, given up before, is in force at {revision:?} after a later one: {acknowledged:?}"
            ),
            Violation::WentBack { node, before, after } => {
                write!(f, "node {node} went back: {before:?} then {after:?}")
            }
            Violation::ReadyTooEarly(incarnation) => {
                write!(f, "node {} says ready too early: {incarnation:?}", incarnation.node)
            }
            Violation::ReadyWithoutAcknowledged { incarnation, operation, value } => write!(
                f,
                "node {} says ready without what was acknowledged before its start at {}: {operation:?}, \
                 it has {value:?}",
                incarnation.node, incarnation.started_at
            ),
        }
    }
}

impl std::error::Error for Violation {}
