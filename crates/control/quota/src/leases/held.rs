//! The state that a node keeps for a member: leases, open requests and pending calls.

use crate::allowance::{Allowance, RequestKind};
use crate::protocol::{Change, Lease, OrderId};
use crate::state::{LEASE_FRACTION, MIN_LEASE_UNITS, MIN_NODES_COUNTED};
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// Maximum number of leases held for one kind of a member; a further request waits for the owner to charge its order,
/// or is rejected as [`crate::RejectionReason::Overloaded`].
pub const MAX_HELD_LEASES: usize = 64;

/// An order charged to a held lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldOrder {
    /// The number of its first attempt.
    pub(super) attempt: u64,
    /// Its units.
    pub(super) units: u64,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
}

/// A lease that this node holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldLease {
    pub(super) lease: Lease,
    /// When it was requested; its lifetime starts here.
    pub(super) requested_at: Instant,
    /// Units taken.
    pub(super) used: u64,
    /// Orders charged to it, at most the lease's `max_orders`.
    pub(super) orders: BTreeMap<OrderId, HeldOrder>,
    /// Accepted requests that have not ended.
    pub(super) open: u64,
    /// Nothing more is taken from it; it is settled once its requests have ended.
    pub(super) is_closed: bool,
}

impl HeldLease {
    /// A lease from which nothing has been taken.
    pub(super) fn new(lease: Lease, requested_at: Instant) -> HeldLease {
        HeldLease { lease, requested_at, used: 0, orders: BTreeMap::new(), open: 0, is_closed: false }
    }

    /// Units that have not been taken.
    pub(super) fn free(&self) -> u64 {
        self.lease.amount - self.used
    }

    /// Whether units may be taken from it.
    pub(super) fn is_usable(&self, now: Instant, lease_duration: Duration) -> bool {
        !self.is_closed && now - self.requested_at < lease_duration
    }

    /// Whether it has enough units, and a slot for the order, for a request.
    pub(super) fn fits(&self, order: Option<OrderId>, units: u64) -> bool {
        let has_order_slot = order.is_none() || (self.orders.len() as u64) < self.lease.max_orders;
        self.free() >= units && has_order_slot
    }
}

/// An owner's answer that the quota is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Exhaustion {
    /// Until then, requests without an order number are decided without asking the owner.
    pub(super) until: Instant,
    /// The latest time at which the window ends.
    pub(super) window_ends: Instant,
}

/// The leases of one kind of a member, and what is known of its quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct KindLeases {
    /// Held leases by number; at most [`MAX_HELD_LEASES`].
    pub(super) held: BTreeMap<u64, HeldLease>,
    /// Number of the pending call for the next lease.
    pub(super) pending_lease: Option<u64>,
    /// Units to request with the next lease.
    pub(super) wanted: u64,
    pub(super) window: u64,
    /// Units free, according to the owner's last answer.
    pub(super) free: Option<u64>,
    /// With fewer free units, no leases are requested ahead of use.
    pub(super) nearly_exhausted_below: u64,
    pub(super) exhaustion: Option<Exhaustion>,
}

impl KindLeases {
    /// Whether so few units are free that each request must be sent to the owner.
    pub(super) fn is_nearly_exhausted(&self, min_lease: u64) -> bool {
        let default_threshold = LEASE_FRACTION * MIN_NODES_COUNTED * MIN_LEASE_UNITS;
        min_lease == 0
            && self.free.is_some_and(|free| free < self.nearly_exhausted_below.max(default_threshold))
    }

    /// Updates the window and the free units from an owner's answer.
    pub(super) fn update_from_owner(&mut self, window: u64, free: u64) {
        if window > self.window {
            self.window = window;
            self.exhaustion = None;
            self.nearly_exhausted_below = 0;
        }
        if window == self.window {
            self.free = Some(free);
        }
    }
}

/// The state that a node keeps for a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberLeases {
    pub(super) allowance: Allowance,
    pub(super) kinds: [KindLeases; 3],
    /// A call to its owner timed out, and no answer has come since.
    pub(super) is_owner_unreachable: bool,
}

/// An accepted request that has not ended; the attempts of one order that a lease has accepted share an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OpenRequest {
    pub(super) member: String,
    pub(super) kind: RequestKind,
    pub(super) order: Option<OrderId>,
    pub(super) units: u64,
    /// The lease that it was charged to, which may have been settled since.
    pub(super) lease: Option<u64>,
    /// Attempts that have not ended.
    pub(super) attempts: u64,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
}

/// A request that waits for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingRequest {
    pub(super) id: u64,
    pub(super) kind: RequestKind,
    pub(super) units: u64,
    pub(super) since: Instant,
}

/// A call to an owner that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCall {
    pub(super) member: String,
    pub(super) change: Change,
    pub(super) since: Instant,
    pub(super) sent_at: Instant,
    /// It was sent more than once: a rejection answers one copy, and another copy may still be accepted.
    pub(super) is_resent: bool,
    pub(super) waiting: Vec<WaitingRequest>,
}
