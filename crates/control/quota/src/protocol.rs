//! What nodes ask of the owner of a count, and what it answers. Encoded on the wire and in stored data.

use crate::allowance::{Allowance, RequestKind};
use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};
use silvercross_control_store::Rejection;
use silvercross_time::Duration;

/// An order's number, as 128 bits of SHA-256 over its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct OrderId(pub u128);

impl OrderId {
    /// The order of a number as a client sent it.
    pub fn of(text: &[u8]) -> OrderId {
        let hash: [u8; 32] = Sha256::digest(text).into();
        OrderId(hash.iter().take(16).fold(0, |all, byte| all << 8 | u128::from(*byte)))
    }
}

/// A node's own name for a lease or an attempt. Never used twice: incarnations of a node rise with its starts, numbers within
/// an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct OperationId {
    /// The node.
    pub node: u32,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its number in the incarnation.
    pub number: u64,
}

/// Units set aside for one node. Nobody else gets them before the node has settled, or the window has ended: that, and no
/// clock, keeps the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Lease {
    /// What it is for.
    pub kind: RequestKind,
    /// In which window.
    pub window: u64,
    /// How many units.
    pub amount: u64,
    /// How many orders it may take.
    pub max_orders: u64,
    /// Which change of the count gave it: an owner counts its time anew, but the lease is the same.
    pub change_number: u64,
    /// Whether its time is over and it was not settled. Its units count as used until the node settles.
    pub is_lost: bool,
}

/// One order that was charged to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LeasedOrder {
    /// The order.
    pub order: OrderId,
    /// The attempt.
    pub attempt: OperationId,
    /// Its units.
    pub units: u64,
}

/// A change of a count.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Change {
    /// The allowance that holds.
    SetAllowance(Allowance),
    /// The allowance holds no more: nothing is counted.
    RemoveAllowance {
        /// The item's version.
        version: u64,
    },
    /// A node asks for a lease. The same lease asked for twice is one.
    GrantLease {
        /// Its name.
        lease: OperationId,
        /// What it is for.
        kind: RequestKind,
        /// How many units at most.
        wanted: u64,
        /// How many it must be, if near the end no more are given; 0 if such a lease is not wanted.
        minimum: u64,
    },
    /// A node is done with a lease.
    SettleLease {
        /// Which.
        lease: OperationId,
        /// Units used, those of the orders included.
        used: u64,
        /// The orders among them.
        orders: Vec<LeasedOrder>,
    },
    /// One attempt of an order, counted directly.
    ChargeOrder {
        /// The order.
        order: OrderId,
        /// The attempt.
        attempt: OperationId,
        /// Its kind.
        kind: RequestKind,
        /// Its units.
        units: u64,
    },
    /// An attempt of an order certainly did not run.
    RefundOrder {
        /// The order.
        order: OrderId,
        /// The attempt.
        attempt: OperationId,
    },
    /// So much of the window has gone by.
    RecordElapsed {
        /// Of which window.
        window: u64,
        /// How much.
        elapsed: Duration,
    },
    /// The window ends and the next begins.
    EndWindow {
        /// The one that ends.
        window: u64,
    },
    /// A lease's time is over.
    ExpireLease {
        /// Which.
        lease: OperationId,
    },
}

/// Why units are not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum RejectionReason {
    /// The window's units are used up. A plain counter would reject as well.
    Exhausted,
    /// What is left is in leases of other nodes: they are to be recalled.
    LeasedElsewhere,
    /// Too little is left for a lease: each request is to be asked for.
    NearlyExhausted,
    /// A bound is reached.
    LimitReached,
    /// Nothing is allowed for this kind, or no allowance stands.
    NotAllowed,
    /// The node has asked for something later, or has a later incarnation.
    Superseded,
    /// It can't be read as a change of this count.
    Invalid,
    /// The owner could not be reached.
    OwnerUnreachable,
    /// This node waits for too many answers, or holds too much.
    Overloaded,
}

/// The words on the wire, which stay.
const WIRE_WORDS: [(RejectionReason, &str); 9] = [
    (RejectionReason::Exhausted, "spent"),
    (RejectionReason::LeasedElsewhere, "busy"),
    (RejectionReason::NearlyExhausted, "near"),
    (RejectionReason::LimitReached, "full"),
    (RejectionReason::NotAllowed, "unset"),
    (RejectionReason::Superseded, "stale"),
    (RejectionReason::Invalid, "invalid"),
    (RejectionReason::OwnerUnreachable, "away"),
    (RejectionReason::Overloaded, "crowded"),
];

impl RejectionReason {
    /// The word for it on the wire, which is also the reason in a control store's rejection.
    pub fn wire_name(self) -> &'static str {
        WIRE_WORDS.iter().find(|(reason, _)| *reason == self).map_or("invalid", |(_, word)| word)
    }

    /// Why a change of a count was rejected.
    pub fn of(rejection: &Rejection) -> RejectionReason {
        let known = WIRE_WORDS.iter().find(|(_, word)| *word == rejection.reason);
        known.map_or(RejectionReason::Invalid, |(reason, _)| *reason)
    }

    /// The control store's rejection for it.
    pub(crate) fn into_rejection(self) -> Rejection {
        let conflict = matches!(self, RejectionReason::LeasedElsewhere | RejectionReason::Superseded);
        Rejection { conflict, reason: self.wire_name().to_string() }
    }
}

/// What the owner answers the node that asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum OwnerAnswer {
    /// The lease is the node's.
    Granted {
        /// It.
        lease: Lease,
        /// Units free beside it.
        free: u64,
    },
    /// The order is charged.
    Charged {
        /// Another attempt of it was charged before.
        is_repeat: bool,
        /// In which window it was charged.
        window: u64,
        /// Units free.
        free: u64,
    },
    /// It is done, or stood already.
    Done,
    /// It is rejected.
    Rejected {
        /// Why.
        reason: RejectionReason,
        /// The window.
        window: u64,
        /// How long it goes on at most, by what was recorded of it.
        ends_in: Duration,
        /// Units free.
        free: u64,
    },
}
