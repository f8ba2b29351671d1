//! What operators remember: open calls, calls to send again, the versions they know.

use crate::content::Change;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// One sending of a call: its place in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallToken(pub u64);

impl CallToken {
    /// The index of its operation in the history.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// A call, or a read if it changes nothing.
#[derive(Clone, Debug)]
pub struct Call {
    /// The same for each sending.
    pub id: u64,
    /// Of which key, by its index.
    pub key: usize,
    /// What is to be changed.
    pub change: Change,
}

/// A sending that was not answered yet.
pub(crate) struct OpenCall {
    /// The drawn operator who sent it; none for a directed schedule's own.
    pub(crate) operator: Option<usize>,
    /// The node it was sent to, by its index.
    pub(crate) node: usize,
    /// What was sent.
    pub(crate) call: Call,
    /// How many sendings came before it.
    pub(crate) retries: u32,
    /// When it was sent last: it is sent again to the same node if that asks for it.
    pub(crate) sent_at: Instant,
    /// When it reaches the machine of the node.
    pub(crate) arrives_at: Instant,
    /// When the node's process took it.
    pub(crate) taken_at: Option<Instant>,
}

/// What all operators remember.
#[derive(Default)]
pub(crate) struct OperatorState {
    /// Calls without an answer.
    pub(crate) open: BTreeMap<CallToken, OpenCall>,
    /// Calls to be sent again at some time.
    pub(crate) remembered: Vec<Call>,
    /// The highest version that was asked for, by key and item.
    pub(crate) versions: BTreeMap<(usize, u8), u64>,
    contents: u64,
    calls: u64,
}

impl OperatorState {
    /// A content that no call has had.
    pub(crate) fn next_content(&mut self) -> u64 {
        self.contents += 1;
        self.contents
    }

    /// A call that was never sent.
    pub(crate) fn next_call(&mut self, key: usize, change: Change) -> Call {
        self.calls += 1;
        Call { id: self.calls, key, change }
    }
}
