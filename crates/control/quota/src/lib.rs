//! The shared allowance, decided without I/O: what a member may use in a window ([`Allowance`], merged in a [`Book`]),
//! the one count of it under a key of the ledger ([`Count`]), what a node holds of it ([`Purse`]) and what the key's
//! owner has to do ([`Clerk`]). The argument: `docs/design/quota.md`.
#![forbid(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod broken;
mod clerk;
mod count;
mod items;
mod purse;
mod read;

#[cfg(feature = "mutants")]
pub use broken::set as break_on_purpose;
pub use broken::Broken;
pub use clerk::{Clerk, AGAIN, STEPS};
pub use count::{
    Answer, Change, Count, Mark, Order, Part, Slip, Why, CLAIMS, FEW, FLOOR, HOLDERS, MAX_PART, ORDERS,
    PARTS, SHARE, SLOTS,
};
pub use items::{
    Allowance, Away, Book, BookChange, Fault, Kind, Share, Spent, Unit, MAX_AMOUNT, MAX_ITEMS, MAX_NAME,
    MAX_WINDOW_US, MIN_WINDOW_US,
};
pub use purse::{Call, Charge, Figures, Outcome, Purse, Request, CALLS, CLAIMS_OPEN, HELD, MEMBERS};
pub use read::{read, MAX_BODY};

pub use silvercross_control_store::Micros;

/// Before a member's name: the key of its count.
pub const ALLOWANCE: &str = "allowance/";

/// The spans that nodes and owners must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a part may be used, by the node's clock from the moment it asked.
    pub term: Micros,
    /// How much longer than the term an owner waits before it holds a part for lost. Covers clocks of differing rate.
    pub margin: Micros,
    /// A node that was not stepped for longer does not use its parts any more; an owner counts no more than this of
    /// the time between two steps.
    pub gap: Micros,
    /// A call without an answer is sent again after this.
    pub again: Micros,
    /// A request that waits for the owner is decided without it after this.
    pub patience: Micros,
    /// For this long after the owner's word that nothing is left, requests without an order number are refused unasked.
    pub hush: Micros,
    /// What a part is at least even near the end. 0 in service: near the end each request is asked for.
    pub least: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            term: 5_000_000,
            margin: 1_000_000,
            gap: 1_000_000,
            again: 300_000,
            patience: 800_000,
            hush: 250_000,
            least: 0,
        }
    }
}
