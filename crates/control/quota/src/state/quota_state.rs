//! One member's count, and what can be asked of it.

use super::order_entry::{OrderEntry, WindowTotals};
use crate::allowance::{Allowance, RequestKind};
use crate::protocol::{Lease, OperationId, OrderId, RejectionReason};
use bitcode::{Decode, Encode};
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// Orders remembered of one window at most, those that open leases may still bring included; those of the window before are
/// kept as well. A further order is rejected as [`RejectionReason::LimitReached`], never charged unremembered.
pub const MAX_ORDERS: usize = 16_384;

/// A node that has asked for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(super) struct KnownNode {
    /// Its incarnation.
    pub(super) incarnation: u64,
    /// Its last lease's number.
    pub(super) last_lease: u64,
    /// In which window it asked last; it is forgotten two windows later.
    pub(super) window: u64,
}

/// A process of a node that holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseNode {
    /// The node.
    pub node: u32,
    /// Its incarnation.
    pub incarnation: u64,
}

/// One member's count: this window and the one before it. Bounds: [`MAX_ORDERS`] a window, [`crate::MAX_LEASES`],
/// [`crate::MAX_LEASE_NODES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct QuotaState {
    pub(super) allowance: Option<Allowance>,
    /// The highest version that set or removed it.
    pub(super) version: u64,
    pub(super) window: u64,
    pub(super) elapsed: Duration,
    pub(super) changes: u64,
    pub(super) current: WindowTotals,
    pub(super) previous: WindowTotals,
    pub(super) leases: BTreeMap<OperationId, Lease>,
    pub(super) orders: BTreeMap<OrderId, OrderEntry>,
    pub(super) nodes: BTreeMap<u32, KnownNode>,
}

impl QuotaState {
    /// The allowance that holds.
    pub fn allowance(&self) -> Option<&Allowance> {
        self.allowance.as_ref()
    }

    /// The window that runs.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// How much of it has gone by, as last recorded.
    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }

    /// Units charged in a window: this one or the one before. An order is charged once among all its attempts.
    pub fn charged_units(&self, window: u64, kind: RequestKind) -> u64 {
        self.totals(window).map_or(0, |totals| totals.charged[kind.index()])
    }

    /// Units in leases that nodes may still use.
    pub fn leased_units(&self, window: u64, kind: RequestKind) -> u64 {
        self.units_aside(window, kind, false)
    }

    /// Units in leases whose nodes did not settle in time. They count as used until settled.
    pub fn lost_units(&self, window: u64, kind: RequestKind) -> u64 {
        self.units_aside(window, kind, true)
    }

    /// Units that can still be given in this window.
    pub fn free_units(&self, kind: RequestKind) -> u64 {
        let quota = self.allowance.as_ref().and_then(|allowance| allowance.quota(kind));
        let amount = quota.map_or(0, |quota| quota.amount);
        let used = self.current.charged[kind.index()]
            .saturating_add(self.leased_units(self.window, kind))
            .saturating_add(self.lost_units(self.window, kind));
        amount.saturating_sub(used)
    }

    /// Leases that are open or lost, with their names.
    pub fn leases(&self) -> impl Iterator<Item = (OperationId, &Lease)> {
        self.leases.iter().map(|(id, lease)| (*id, lease))
    }

    /// Who has open leases of a kind: whom to recall when a change was rejected as [`RejectionReason::LeasedElsewhere`].
    pub fn lease_nodes(&self, kind: RequestKind) -> Vec<LeaseNode> {
        let open = self.leases.iter().filter(|(_, lease)| lease.kind == kind && !lease.is_lost);
        let mut nodes: Vec<LeaseNode> =
            open.map(|(id, _)| LeaseNode { node: id.node, incarnation: id.incarnation }).collect();
        nodes.dedup();
        nodes
    }

    /// In which window the order is charged, if it is.
    pub fn order_window(&self, order: OrderId) -> Option<u64> {
        self.orders.get(&order).filter(|entry| entry.is_charged()).map(|entry| entry.window)
    }

    /// Whether anything stands in this window: a window that nobody uses need not end.
    pub fn is_used(&self) -> bool {
        self.elapsed > Duration::ZERO
            || self.current != WindowTotals::default()
            || self.leases.values().any(|lease| lease.window == self.window)
    }

    fn totals(&self, window: u64) -> Option<&WindowTotals> {
        if window == self.window {
            Some(&self.current)
        } else if window.checked_add(1) == Some(self.window) {
            Some(&self.previous)
        } else {
            None
        }
    }

    /// The sums of this window or the one before.
    pub(super) fn totals_mut(&mut self, window: u64) -> Option<&mut WindowTotals> {
        if window == self.window {
            Some(&mut self.current)
        } else if window.checked_add(1) == Some(self.window) {
            Some(&mut self.previous)
        } else {
            None
        }
    }

    fn units_aside(&self, window: u64, kind: RequestKind, is_lost: bool) -> u64 {
        let is_meant =
            |lease: &&Lease| lease.window == window && lease.kind == kind && lease.is_lost == is_lost;
        self.leases.values().filter(is_meant).map(|lease| lease.amount).sum()
    }

    /// Orders that this window can still take, beside those that open leases may bring.
    pub(super) fn free_orders(&self) -> u64 {
        let current = self.leases.values().filter(|lease| lease.window == self.window);
        let reserved: u64 = current.map(|lease| lease.max_orders).sum();
        (MAX_ORDERS as u64).saturating_sub(self.current.orders + reserved)
    }

    /// Why `units` more can't be given.
    pub(super) fn shortage(&self, kind: RequestKind, units: u64) -> Option<RejectionReason> {
        if self.allowance.as_ref().and_then(|allowance| allowance.quota(kind)).is_none() {
            return Some(RejectionReason::NotAllowed);
        }
        let free = self.free_units(kind);
        if units <= free {
            None
        } else if units <= free.saturating_add(self.leased_units(self.window, kind)) {
            Some(RejectionReason::LeasedElsewhere)
        } else {
            Some(RejectionReason::Exhausted)
        }
    }
}
