//! The record of an order, and the totals of a window.

use crate::allowance::RequestKind;
use crate::protocol::OperationId;
use bitcode::{Decode, Encode};

/// Maximum number of attempts remembered per order. With more, the order stays charged whatever is refunded.
pub const MAX_ATTEMPTS_PER_ORDER: usize = 8;

/// An attempt of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(super) struct Attempt {
    /// The attempt's id.
    pub(super) id: OperationId,
    /// Whether it may have run, that is, it was not refunded.
    pub(super) is_charged: bool,
}

/// An order and its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(super) struct OrderEntry {
    /// The window in which it is counted.
    pub(super) window: u64,
    /// Its kind.
    pub(super) kind: RequestKind,
    /// Its units.
    pub(super) units: u64,
    /// At most [`MAX_ATTEMPTS_PER_ORDER`].
    pub(super) attempts: Vec<Attempt>,
    /// More attempts were made than are remembered: the order stays charged.
    pub(super) is_pinned: bool,
}

impl OrderEntry {
    /// An order with one attempt.
    pub(super) fn with_attempt(window: u64, kind: RequestKind, units: u64, attempt: Attempt) -> OrderEntry {
        OrderEntry { window, kind, units, attempts: vec![attempt], is_pinned: false }
    }

    /// Whether any attempt may have run.
    pub(super) fn is_charged(&self) -> bool {
        self.is_pinned || self.attempts.iter().any(|attempt| attempt.is_charged)
    }

    /// Whether an attempt is remembered.
    pub(super) fn has_attempt(&self, id: OperationId) -> bool {
        self.attempts.iter().any(|attempt| attempt.id == id)
    }

    /// The first attempt that is charged.
    pub(super) fn first_charged(&self) -> Option<OperationId> {
        self.attempts.iter().find(|attempt| attempt.is_charged).map(|attempt| attempt.id)
    }

    /// Charges one more attempt.
    pub(super) fn charge(&mut self, id: OperationId) {
        if self.attempts.len() < MAX_ATTEMPTS_PER_ORDER {
            self.attempts.push(Attempt { id, is_charged: true });
        } else {
            self.is_pinned = true;
        }
    }
}

/// The totals of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub(super) struct WindowTotals {
    /// Units charged, by kind.
    pub(super) charged: [u64; 3],
    /// Orders remembered.
    pub(super) orders: u64,
}
