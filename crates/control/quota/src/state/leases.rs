//! Grants, settles and expires leases.

use super::order_entry::{Attempt, OrderEntry};
use super::orders::charged_order;
use super::quota_state::{KnownNode, QuotaState};
use crate::allowance::RequestKind;
use crate::mutation::{is_active, Mutation};
use crate::protocol::{Lease, LeasedOrder, OperationId, RejectionReason};

/// Maximum number of leases, lost ones included; a further one is rejected as [`RejectionReason::LimitReached`].
pub const MAX_LEASES: usize = 4_096;
/// Maximum number of nodes tracked per member; leases for a further one are rejected as
/// [`RejectionReason::LimitReached`].
pub const MAX_LEASE_NODES: usize = 2_048;
/// A lease is at most the free units divided by this and by the number of tracked nodes.
pub const LEASE_FRACTION: u64 = 8;
/// Lower bound on the number of nodes in that division.
pub const MIN_NODES_COUNTED: u64 = 4;
/// Smaller leases are not granted: each request is sent to the owner instead.
pub const MIN_LEASE_UNITS: u64 = 4;
/// Maximum units of a lease, unless a request needs more.
pub const MAX_LEASE_UNITS: u64 = 4_096;
/// Maximum number of orders charged to a lease.
pub const MAX_ORDERS_PER_LEASE: u64 = 256;

impl QuotaState {
    /// Grants a lease of `minimum` to `wanted` units. Asking for the same lease again changes nothing.
    pub(super) fn grant(
        &mut self,
        id: OperationId,
        kind: RequestKind,
        wanted: u64,
        minimum: u64,
    ) -> Result<bool, RejectionReason> {
        if self.leases.contains_key(&id) {
            return Ok(false);
        }
        if let Some(reason) = self.shortage(kind, minimum) {
            return Err(reason);
        }
        self.check_new_lease(id)?;
        if self.leases.len() >= MAX_LEASES {
            return Err(RejectionReason::LimitReached);
        }
        let amount = self.lease_amount(id.node, kind, wanted, minimum);
        if amount == 0 {
            let is_exhausted = self.free_units(kind) == 0;
            let reason = self.shortage(kind, 1).filter(|_| is_exhausted);
            return Err(reason.unwrap_or(RejectionReason::NearlyExhausted));
        }
        let counts_orders = self.allowance.as_ref().is_some_and(|allowance| allowance.counts_orders(kind));
        let max_orders =
            if counts_orders { amount.min(MAX_ORDERS_PER_LEASE).min(self.free_orders()) } else { 0 };
        let (window, change_number) = (self.window, self.change_count + 1);
        self.leases.insert(id, Lease { kind, window, amount, max_orders, change_number, is_lost: false });
        self.record_node(id);
        Ok(true)
    }

    /// Units of a new lease: a fair share of the free units, or `minimum` when the share is too small; 0 if none is
    /// granted.
    fn lease_amount(&self, node: u32, kind: RequestKind, wanted: u64, minimum: u64) -> u64 {
        let nodes = self.nodes.len() as u64 + u64::from(!self.nodes.contains_key(&node));
        let share = self.free_units(kind) / (LEASE_FRACTION * nodes.max(MIN_NODES_COUNTED));
        let share = wanted.min(share).min(MAX_LEASE_UNITS);
        if share >= MIN_LEASE_UNITS.min(wanted).max(1) {
            share.max(minimum)
        } else {
            minimum
        }
    }

    /// Rejects a lease if the node, in this or a later incarnation, has asked for a later one, or has settled this
    /// one before it was granted, or if too many nodes are tracked. A delayed call thus cannot create a lease that
    /// its node does not know of.
    fn check_new_lease(&self, id: OperationId) -> Result<(), RejectionReason> {
        match self.nodes.get(&id.node) {
            Some(node) if (id.incarnation, id.number) <= (node.incarnation, node.last_lease) => {
                Err(RejectionReason::Superseded)
            }
            None if self.nodes.len() >= MAX_LEASE_NODES => Err(RejectionReason::LimitReached),
            _ => Ok(()),
        }
    }

    fn record_node(&mut self, id: OperationId) {
        let (incarnation, last_lease, window) = (id.incarnation, id.number, self.window);
        self.nodes.insert(id.node, KnownNode { incarnation, last_lease, window });
    }

    /// Ends a lease with the reported usage. A lease that was not granted is recorded, so that a delayed call cannot
    /// grant it.
    pub(super) fn settle(
        &mut self,
        id: OperationId,
        used: u64,
        orders: &[LeasedOrder],
    ) -> Result<bool, RejectionReason> {
        let Some(lease) = self.leases.get(&id).copied() else {
            if is_active(Mutation::CountsSettledTwice) {
                let kind = orders.first().map_or(RequestKind::Read, |_| RequestKind::Confirmation);
                self.current.charged[kind.index()] += used;
                return Ok(used > 0);
            }
            let is_new = self.check_new_lease(id).is_ok();
            if is_new {
                self.record_node(id);
            }
            return Ok(is_new);
        };
        let order_units = orders.iter().fold(0u64, |sum, order| sum.saturating_add(order.units));
        if used > lease.amount || order_units > used || orders.len() as u64 > lease.max_orders {
            return Err(RejectionReason::Invalid);
        }
        self.leases.remove(&id);
        let (mut charged, mut new_orders) = (used, 0);
        for order in orders {
            let settled = self.settle_order(&lease, order);
            charged -= settled.units_already_charged;
            new_orders += settled.new_orders;
        }
        if let Some(totals) = self.totals_mut(lease.window) {
            totals.charged[lease.kind.index()] += charged;
            totals.orders += new_orders;
        }
        Ok(true)
    }

    /// Counts an order that was charged to a lease.
    fn settle_order(&mut self, lease: &Lease, leased: &LeasedOrder) -> SettledOrder {
        let order = charged_order(leased.order, leased.attempt);
        let Some(entry) = self.orders.get_mut(&order) else {
            let attempt = Attempt { id: leased.attempt, is_charged: true };
            let entry = OrderEntry::with_attempt(lease.window, lease.kind, leased.units, attempt);
            self.orders.insert(order, entry);
            return SettledOrder { units_already_charged: 0, new_orders: 1 };
        };
        if entry.has_attempt(leased.attempt) {
            return SettledOrder { units_already_charged: leased.units, new_orders: 0 };
        }
        if entry.is_charged() {
            entry.charge(leased.attempt);
            return SettledOrder { units_already_charged: leased.units, new_orders: 0 };
        }
        (entry.kind, entry.units) = (lease.kind, leased.units);
        let old_window = std::mem::replace(&mut entry.window, lease.window);
        entry.charge(leased.attempt);
        if old_window == lease.window {
            return SettledOrder { units_already_charged: 0, new_orders: 0 };
        }
        if let Some(totals) = self.totals_mut(old_window) {
            totals.orders = totals.orders.saturating_sub(1);
        }
        SettledOrder { units_already_charged: 0, new_orders: 1 }
    }

    /// Marks a lease as lost until its node settles it.
    pub(super) fn expire(&mut self, id: OperationId) -> bool {
        if is_active(Mutation::ReusesLostLeases) {
            return self.leases.remove(&id).is_some();
        }
        match self.leases.get_mut(&id) {
            Some(lease) if !lease.is_lost => {
                lease.is_lost = true;
                true
            }
            _ => false,
        }
    }
}

/// What an order of a settled lease adds to the totals of the window.
struct SettledOrder {
    /// Units that had been charged before.
    units_already_charged: u64,
    /// Orders that the window had not counted before.
    new_orders: u64,
}
