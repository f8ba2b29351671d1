//! What a node holds of one member, and what it waits for.

use crate::allowance::{Allowance, RequestKind};
use crate::protocol::{Change, Lease, OrderId};
use crate::state::{LEASE_FRACTION, MIN_LEASE_UNITS, MIN_NODES_COUNTED};
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// Leases held of one member's kind at most; a further request waits for the owner's answer on its order, or is rejected as
/// [`crate::RejectionReason::Overloaded`].
pub const MAX_HELD_LEASES: usize = 64;

/// An order that was taken from a lease.
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
    /// When it was asked for: its time counts from there.
    pub(super) asked_at: Instant,
    /// Units taken.
    pub(super) used: u64,
    /// Orders taken, at most the lease's `max_orders`.
    pub(super) orders: BTreeMap<OrderId, HeldOrder>,
    /// Accepted requests that have not ended.
    pub(super) open: u64,
    /// No more is taken from it; it is settled once its requests have ended.
    pub(super) is_closed: bool,
}

impl HeldLease {
    /// Nothing is taken yet.
    pub(super) fn new(lease: Lease, asked_at: Instant) -> HeldLease {
        HeldLease { lease, asked_at, used: 0, orders: BTreeMap::new(), open: 0, is_closed: false }
    }

    /// Units that are not taken.
    pub(super) fn free(&self) -> u64 {
        self.lease.amount - self.used
    }

    /// Whether units may be taken from it.
    pub(super) fn is_usable(&self, now: Instant, lease_duration: Duration) -> bool {
        !self.is_closed && now - self.asked_at < lease_duration
    }

    /// Whether it has room for a request.
    pub(super) fn fits(&self, order: Option<OrderId>, units: u64) -> bool {
        let has_slot = order.is_none() || (self.orders.len() as u64) < self.lease.max_orders;
        self.free() >= units && has_slot
    }
}

/// The owner's answer that nothing is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Exhaustion {
    /// Requests are rejected unasked until then.
    pub(super) until: Instant,
    /// When the window ends at most.
    pub(super) window_ends: Instant,
}

/// What is open of one member's kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct KindLeases {
    /// At most [`MAX_HELD_LEASES`], by number.
    pub(super) held: BTreeMap<u64, HeldLease>,
    /// The call for the next lease.
    pub(super) asking: Option<u64>,
    /// How many units to ask for.
    pub(super) wanted: u64,
    pub(super) window: u64,
    /// Units free, by the owner's last answer.
    pub(super) free: Option<u64>,
    /// With fewer units free no leases are asked for.
    pub(super) nearly_exhausted_below: u64,
    pub(super) exhaustion: Option<Exhaustion>,
}

impl KindLeases {
    /// Whether so little is left that each request is asked for.
    pub(super) fn is_nearly_exhausted(&self, min_lease: u64) -> bool {
        let least = LEASE_FRACTION * MIN_NODES_COUNTED * MIN_LEASE_UNITS;
        min_lease == 0 && self.free.is_some_and(|free| free < self.nearly_exhausted_below.max(least))
    }

    /// What an owner's answer shows of the count.
    pub(super) fn learn(&mut self, window: u64, free: u64) {
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

/// One member here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberLeases {
    pub(super) allowance: Allowance,
    pub(super) kinds: [KindLeases; 3],
    /// An answer of its owner did not come in time.
    pub(super) is_owner_unreachable: bool,
}

/// An accepted order or request whose end is not known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OpenRequest {
    pub(super) member: String,
    pub(super) kind: RequestKind,
    pub(super) order: Option<OrderId>,
    pub(super) units: u64,
    /// The lease it was taken from, settled by now or not.
    pub(super) lease: Option<u64>,
    /// Attempts that have not ended.
    pub(super) attempts: u64,
    /// Whether one that has ended may have run.
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

/// A call to an owner without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCall {
    pub(super) member: String,
    pub(super) change: Change,
    pub(super) since: Instant,
    pub(super) sent_at: Instant,
    /// It was sent more than once: a rejection is the answer to one of them, and another may still be accepted.
    pub(super) is_resent: bool,
    pub(super) waiting: Vec<WaitingRequest>,
}
