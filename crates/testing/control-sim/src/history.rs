//! What operators and processes saw, in plain values. The only input of the checker, so it must know no type of the deciders.
//!
//! Go on reading at [`crate::Violation`] and the checker. Instants are those of the world's one clock.

use bitcode::{Decode, Encode};
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// Items from this name on are orders: they have no versions, and the last one holds.
pub const FIRST_ORDER_NAME: u8 = 250;

/// The state of one item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ItemState {
    /// Its version; 0: it was never there. Of an order: how often it has changed.
    pub version: u64,
    /// Its content; 0: the item is dropped.
    pub content: u64,
}

/// The items of a key by name, dropped ones too.
pub type ObservedItems = BTreeMap<u8, ItemState>;

/// A revision of a key, ordered as the control store orders them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservedRevision {
    /// The round of the owner's epoch.
    pub round: u64,
    /// The owner.
    pub owner: u64,
    /// The sequence within the epoch.
    pub sequence: u64,
}

/// Why a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Another content has the same version.
    Conflict,
    /// It is not valid in the state that it met.
    Invalid,
}

/// What an operator has heard of one sending of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Nothing, yet or for good.
    Missing,
    /// That the outcome is not known.
    OutcomeUnknown,
    /// That nothing of it is in force.
    Rejected(RejectionReason),
    /// That it is in force.
    Committed {
        /// As of which revision.
        revision: ObservedRevision,
        /// Whether it changed anything; a repeat doesn't.
        changed: bool,
    },
    /// What a read found.
    Value(ObservedItems),
}

/// One item as a call asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedItem {
    /// Its name.
    pub name: u8,
    /// Its version; 0 of an order.
    pub version: u64,
    /// Its content; 0: the item is to be dropped.
    pub content: u64,
    /// The name of an item that has to be there when this one changes something; 0: none.
    pub needs: u8,
}

/// One sending of a call to one control node: a change, or a read if it has no items.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The same for each sending of one call.
    pub call_id: u64,
    /// Which key, by its index.
    pub key: usize,
    /// Through which node, by its index.
    pub node: usize,
    /// When it was sent.
    pub invoked_at: Instant,
    /// When its answer came.
    pub answered_at: Option<Instant>,
    /// When its operator stopped waiting for it, with an answer or without.
    pub ended_at: Option<Instant>,
    /// What is to be changed.
    pub items: Vec<RequestedItem>,
    /// The answer.
    pub answer: Answer,
}

impl Operation {
    /// Whether it was acknowledged as being in force.
    pub fn is_committed(&self) -> bool {
        matches!(self.answer, Answer::Committed { .. })
    }
}

/// Why a process reported itself ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyReason {
    /// It has what a majority had acknowledged before its start.
    Current,
    /// It waited as long as it has to and serves what it has.
    WaitLimit,
    /// It has some configuration. A control node has its state from its control store and needs no other proof.
    Configured,
}

/// When a process reported itself ready, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// When.
    pub at: Instant,
    /// Why.
    pub reason: ReadyReason,
}

/// A value of a key that a process put into force.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedValue {
    /// When.
    pub at: Instant,
    /// Of which key, by its index.
    pub key: usize,
    /// Its revision.
    pub revision: ObservedRevision,
    /// The value.
    pub value: ObservedItems,
}

/// One process of a node, from its start to its end.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// On which node, by its index.
    pub node: usize,
    /// Whether that is a control node.
    pub is_control: bool,
    /// When it started.
    pub started_at: Instant,
    /// What it put into force, in order.
    pub applied: Vec<AppliedValue>,
    /// When it first reported itself ready.
    pub ready: Option<Readiness>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Operators' calls and reads, in order of their sending.
    pub operations: Vec<Operation>,
    /// Processes, in order of their start.
    pub incarnations: Vec<Incarnation>,
}
