//! Calls from nodes to the owner of a member's quota state, and the owner's answers. Encoded on the wire and in
//! stored data.

use crate::allowance::{Allowance, RequestKind};
use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};
use silvercross_control_store::Rejection;
use silvercross_time::Duration;

/// An order number, as the first 128 bits of the SHA-256 of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct OrderId(pub u128);

impl OrderId {
    /// The id of an order number as a client sent it.
    pub fn of(text: &[u8]) -> OrderId {
        let hash: [u8; 32] = Sha256::digest(text).into();
        OrderId(hash.iter().take(16).fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}

/// Identifies a lease or an attempt; chosen by the node and never reused: a node's incarnation rises with each start,
/// and numbers rise within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct OperationId {
    /// The node.
    pub node: u32,
    /// The node's incarnation.
    pub incarnation: u64,
    /// The number within the incarnation.
    pub number: u64,
}

/// Units reserved for one node. They are not granted to others until the node has settled the lease or the window has
/// ended. This, and not a clock, keeps usage within the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Lease {
    /// The kind of requests that the lease is for.
    pub kind: RequestKind,
    /// The window in which its units count.
    pub window: u64,
    /// Number of units.
    pub amount: u64,
    /// Maximum number of orders that may be charged to it.
    pub max_orders: u64,
    /// Number of the change that granted it, counted per quota state. It stays the same when a new owner restarts the
    /// time until the lease expires.
    pub change_number: u64,
    /// Whether it expired without being settled. Its units count as used until the node settles it.
    pub is_lost: bool,
}

/// An order charged to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LeasedOrder {
    /// The order.
    pub order: OrderId,
    /// The attempt.
    pub attempt: OperationId,
    /// Its units.
    pub units: u64,
}

/// A change of a [`crate::QuotaState`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Change {
    /// Puts an allowance in force.
    SetAllowance(Allowance),
    /// Withdraws the allowance: nothing is counted any more.
    RemoveAllowance {
        /// Version of the withdrawal.
        version: u64,
    },
    /// Grants a lease to a node. Asking for the same lease again has no effect.
    GrantLease {
        /// The lease's id, chosen by the node.
        lease: OperationId,
        /// The kind of requests that the lease is for.
        kind: RequestKind,
        /// Maximum number of units.
        wanted: u64,
        /// Minimum number of units: what is granted when the quota is nearly exhausted. With 0, the call is rejected
        /// then.
        minimum: u64,
    },
    /// Ends a lease with the usage that its node reports.
    SettleLease {
        /// The lease.
        lease: OperationId,
        /// Units used, including those of the orders.
        used: u64,
        /// The orders charged to the lease.
        orders: Vec<LeasedOrder>,
    },
    /// Charges an attempt of an order without a lease.
    ChargeOrder {
        /// The order.
        order: OrderId,
        /// The attempt.
        attempt: OperationId,
        /// The kind of the request.
        kind: RequestKind,
        /// Its units.
        units: u64,
    },
    /// Refunds an attempt of an order that certainly did not run.
    RefundOrder {
        /// The order.
        order: OrderId,
        /// The attempt.
        attempt: OperationId,
    },
    /// Records how much of the window has elapsed.
    RecordElapsed {
        /// The window that the time was measured in.
        window: u64,
        /// Time elapsed in the window.
        elapsed: Duration,
    },
    /// Ends the window and starts the next.
    EndWindow {
        /// The window to end.
        window: u64,
    },
    /// Marks a lease as lost because it was not settled in time.
    ExpireLease {
        /// The lease.
        lease: OperationId,
    },
}

/// Why a call of a node is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum RejectionReason {
    /// The window's units are used up; a single central counter would reject the request as well.
    Exhausted,
    /// The remaining units are leased to other nodes; these leases are to be recalled.
    LeasedElsewhere,
    /// Too few units are left for a lease; each request must be sent to the owner.
    NearlyExhausted,
    /// A limit on tracked leases, nodes or orders is reached.
    LimitReached,
    /// The kind has no quota, or the member has no allowance; the request is then served uncounted.
    NoQuota,
    /// The node has made a later call or has a later incarnation, or another allowance has the same version.
    Superseded,
    /// The change is not valid for this quota state.
    Invalid,
    /// The owner could not be reached.
    OwnerUnreachable,
    /// This node has too many pending calls, open requests or leases.
    Overloaded,
}

/// Names on the wire; they must not change.
const WIRE_NAMES: [(RejectionReason, &str); 9] = [
    (RejectionReason::Exhausted, "spent"),
    (RejectionReason::LeasedElsewhere, "busy"),
    (RejectionReason::NearlyExhausted, "near"),
    (RejectionReason::LimitReached, "full"),
    (RejectionReason::NoQuota, "unset"),
    (RejectionReason::Superseded, "stale"),
    (RejectionReason::Invalid, "invalid"),
    (RejectionReason::OwnerUnreachable, "away"),
    (RejectionReason::Overloaded, "crowded"),
];

impl RejectionReason {
    /// Its name on the wire, which is also the reason of the control store's [`Rejection`].
    pub fn wire_name(self) -> &'static str {
        WIRE_NAMES.iter().find(|(reason, _)| *reason == self).map_or("invalid", |(_, name)| name)
    }

    /// The reason for the control store's rejection of a change.
    pub fn of(rejection: &Rejection) -> RejectionReason {
        let entry = WIRE_NAMES.iter().find(|(_, name)| *name == rejection.reason);
        entry.map_or(RejectionReason::Invalid, |(reason, _)| *reason)
    }

    /// The control store's rejection for this reason.
    pub(crate) fn into_rejection(self) -> Rejection {
        let conflict = matches!(self, RejectionReason::LeasedElsewhere | RejectionReason::Superseded);
        Rejection { conflict, reason: self.wire_name().to_string() }
    }
}

/// The owner's answer to a node's call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum OwnerAnswer {
    /// The lease is granted.
    Granted {
        /// The lease.
        lease: Lease,
        /// Units that remain free.
        free: u64,
    },
    /// The order is charged.
    Charged {
        /// Whether another attempt of the order was charged before.
        is_repeat: bool,
        /// The window in which the order is charged.
        window: u64,
        /// Units free.
        free: u64,
    },
    /// The change is applied, or had been before.
    Done,
    /// The call is rejected.
    Rejected {
        /// The reason.
        reason: RejectionReason,
        /// The current window.
        window: u64,
        /// Upper bound on the rest of the window, from the elapsed time last recorded.
        ends_in: Duration,
        /// Units free.
        free: u64,
    },
}
