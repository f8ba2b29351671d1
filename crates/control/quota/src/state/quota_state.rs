//! A member's quota state and its queries.

use super::order_entry::{OrderEntry, WindowTotals};
use crate::allowance::{Allowance, RequestKind};
use crate::protocol::{Lease, OperationId, OrderId, RejectionReason};
use bitcode::{Decode, Encode};
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// Maximum number of orders remembered per window, including those that unsettled leases may still report; orders of
/// the previous window are kept in addition. A further order is rejected as [`RejectionReason::LimitReached`], never
/// charged unremembered.
pub const MAX_ORDERS: usize = 16_384;

/// A node that has asked for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(super) struct KnownNode {
    /// Its incarnation.
    pub(super) incarnation: u64,
    /// The number of its last lease.
    pub(super) last_lease: u64,
    /// The window in which it last asked for a lease; the entry is removed two windows later.
    pub(super) window: u64,
}

/// One incarnation of a node that has a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseNode {
    /// The node.
    pub node: u32,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A member's usage in the current and the previous window. Bounds: [`MAX_ORDERS`] per window, [`crate::MAX_LEASES`],
/// [`crate::MAX_LEASE_NODES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct QuotaState {
    pub(super) allowance: Option<Allowance>,
    /// The highest version that set or removed the allowance.
    pub(super) version: u64,
    pub(super) window: u64,
    pub(super) elapsed: Duration,
    pub(super) change_count: u64,
    pub(super) current: WindowTotals,
    pub(super) previous: WindowTotals,
    pub(super) leases: BTreeMap<OperationId, Lease>,
    pub(super) orders: BTreeMap<OrderId, OrderEntry>,
    pub(super) nodes: BTreeMap<u32, KnownNode>,
}

impl QuotaState {
    /// The allowance in force.
    pub fn allowance(&self) -> Option<&Allowance> {
        self.allowance.as_ref()
    }

    /// The current window.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Time elapsed in the current window, as last recorded.
    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }

    /// Units charged in the current or the previous window. An order is charged once for all its attempts.
    pub fn charged_units(&self, window: u64, kind: RequestKind) -> u64 {
        self.totals(window).map_or(0, |totals| totals.charged[kind.index()])
    }

    /// Units in leases that nodes may still use.
    pub fn leased_units(&self, window: u64, kind: RequestKind) -> u64 {
        self.units_in_leases(window, kind, false)
    }

    /// Units in lost leases, which count as used until their nodes settle them.
    pub fn lost_units(&self, window: u64, kind: RequestKind) -> u64 {
        self.units_in_leases(window, kind, true)
    }

    /// Units that can still be granted in the current window.
    pub fn free_units(&self, kind: RequestKind) -> u64 {
        let quota = self.allowance.as_ref().and_then(|allowance| allowance.quota(kind));
        let amount = quota.map_or(0, |quota| quota.amount);
        let used = self.current.charged[kind.index()]
            .saturating_add(self.leased_units(self.window, kind))
            .saturating_add(self.lost_units(self.window, kind));
        amount.saturating_sub(used)
    }

    /// Open and lost leases, with their ids.
    pub fn leases(&self) -> impl Iterator<Item = (OperationId, &Lease)> {
        self.leases.iter().map(|(id, lease)| (*id, lease))
    }

    /// Nodes with open leases of a kind, to recall them when a change was rejected as
    /// [`RejectionReason::LeasedElsewhere`].
    pub fn lease_nodes(&self, kind: RequestKind) -> Vec<LeaseNode> {
        let open = self.leases.iter().filter(|(_, lease)| lease.kind == kind && !lease.is_lost);
        let mut nodes: Vec<LeaseNode> =
            open.map(|(id, _)| LeaseNode { node: id.node, incarnation: id.incarnation }).collect();
        nodes.dedup();
        nodes
    }

    /// The window in which the order is charged, if it is.
    pub fn order_window(&self, order: OrderId) -> Option<u64> {
        self.orders.get(&order).filter(|entry| entry.is_charged()).map(|entry| entry.window)
    }

    /// Whether the current window has any usage; an unused window need not end.
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

    /// The totals of the current or the previous window.
    pub(super) fn totals_mut(&mut self, window: u64) -> Option<&mut WindowTotals> {
        if window == self.window {
            Some(&mut self.current)
        } else if window.checked_add(1) == Some(self.window) {
            Some(&mut self.previous)
        } else {
            None
        }
    }

    fn units_in_leases(&self, window: u64, kind: RequestKind, is_lost: bool) -> u64 {
        let is_selected =
            |lease: &&Lease| lease.window == window && lease.kind == kind && lease.is_lost == is_lost;
        self.leases.values().filter(is_selected).map(|lease| lease.amount).sum()
    }

    /// Orders that the current window can still take, besides those that unsettled leases may report.
    pub(super) fn free_orders(&self) -> u64 {
        let current = self.leases.values().filter(|lease| lease.window == self.window);
        let reserved: u64 = current.map(|lease| lease.max_orders).sum();
        (MAX_ORDERS as u64).saturating_sub(self.current.orders + reserved)
    }

    /// The reason why `units` more cannot be granted, if they cannot.
    pub(super) fn shortage(&self, kind: RequestKind, units: u64) -> Option<RejectionReason> {
        if self.allowance.as_ref().and_then(|allowance| allowance.quota(kind)).is_none() {
            return Some(RejectionReason::NoQuota);
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
