//! Leases of a count: given, settled, expired.

use super::order_entry::{Attempt, OrderEntry};
use super::orders::charged_order;
use super::quota_state::{KnownNode, QuotaState};
use crate::allowance::RequestKind;
use crate::mutation::{is_active, Mutation};
use crate::protocol::{Lease, LeasedOrder, OperationId, RejectionReason};

/// Leases at most, lost ones included; a further one is rejected as [`RejectionReason::LimitReached`].
pub const MAX_LEASES: usize = 4_096;
/// Nodes known at a member at most; leases for a further one are rejected as [`RejectionReason::LimitReached`].
pub const MAX_LEASE_NODES: usize = 2_048;
/// A lease is at most what is free, divided by this and by the number of nodes known.
pub const LEASE_FRACTION: u64 = 8;
/// At least so many nodes are counted there.
pub const MIN_NODES_COUNTED: u64 = 4;
/// A lease of fewer units is not given: then each request is asked for.
pub const MIN_LEASE_UNITS: u64 = 4;
/// A lease is at most this.
pub const MAX_LEASE_UNITS: u64 = 4_096;
/// Orders that one lease may take at most.
pub const MAX_ORDERS_PER_LEASE: u64 = 256;

impl QuotaState {
    /// Gives a lease of at most `wanted` units. The same lease asked for twice is one.
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
        self.check_new(id)?;
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
        let (window, change_number) = (self.window, self.changes + 1);
        self.leases.insert(id, Lease { kind, window, amount, max_orders, change_number, is_lost: false });
        self.remember_node(id);
        Ok(true)
    }

    /// How many units a lease has: a fair part of what is free, the minimum near the end; 0: none is given.
    fn lease_amount(&self, node: u32, kind: RequestKind, wanted: u64, minimum: u64) -> u64 {
        let nodes = self.nodes.len() as u64 + u64::from(!self.nodes.contains_key(&node));
        let fair = self.free_units(kind) / (LEASE_FRACTION * nodes.max(MIN_NODES_COUNTED));
        let fair = wanted.min(fair).min(MAX_LEASE_UNITS);
        if fair >= MIN_LEASE_UNITS.min(wanted).max(1) {
            fair.max(minimum)
        } else {
            minimum
        }
    }

    /// Whether the node may ask for this lease: not if it or a later incarnation has asked for a later one, or given this one
    /// up unseen. So a call that was held up on its way makes no lease that nobody knows.
    fn check_new(&self, id: OperationId) -> Result<(), RejectionReason> {
        match self.nodes.get(&id.node) {
            Some(known) if (id.incarnation, id.number) <= (known.incarnation, known.last_lease) => {
                Err(RejectionReason::Superseded)
            }
            None if self.nodes.len() >= MAX_LEASE_NODES => Err(RejectionReason::LimitReached),
            _ => Ok(()),
        }
    }

    fn remember_node(&mut self, id: OperationId) {
        let (incarnation, last_lease, window) = (id.incarnation, id.number, self.window);
        self.nodes.insert(id.node, KnownNode { incarnation, last_lease, window });
    }

    /// A node is done with a lease. One that was never given is remembered, so that it is not given later.
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
            let is_new = self.check_new(id).is_ok();
            if is_new {
                self.remember_node(id);
            }
            return Ok(is_new);
        };
        let by_order = orders.iter().fold(0u64, |sum, order| sum.saturating_add(order.units));
        if used > lease.amount || by_order > used || orders.len() as u64 > lease.max_orders {
            return Err(RejectionReason::Invalid);
        }
        self.leases.remove(&id);
        let (mut charged, mut added) = (used, 0);
        for order in orders {
            let settled = self.settle_order(&lease, order);
            charged -= settled.units_known;
            added += settled.orders_added;
        }
        if let Some(totals) = self.totals_mut(lease.window) {
            totals.charged[lease.kind.index()] += charged;
            totals.orders += added;
        }
        Ok(true)
    }

    /// Counts one order that a lease took.
    fn settle_order(&mut self, lease: &Lease, leased: &LeasedOrder) -> SettledOrder {
        let order = charged_order(leased.order, leased.attempt);
        let Some(entry) = self.orders.get_mut(&order) else {
            let attempt = Attempt { id: leased.attempt, is_charged: true };
            let entry = OrderEntry::with_attempt(lease.window, lease.kind, leased.units, attempt);
            self.orders.insert(order, entry);
            return SettledOrder { units_known: 0, orders_added: 1 };
        };
        if entry.knows(leased.attempt) {
            return SettledOrder { units_known: leased.units, orders_added: 0 };
        }
        if entry.is_charged() {
            entry.charge(leased.attempt);
            return SettledOrder { units_known: leased.units, orders_added: 0 };
        }
        (entry.kind, entry.units) = (lease.kind, leased.units);
        let old_window = std::mem::replace(&mut entry.window, lease.window);
        entry.charge(leased.attempt);
        if old_window == lease.window {
            return SettledOrder { units_known: 0, orders_added: 0 };
        }
        if let Some(totals) = self.totals_mut(old_window) {
            totals.orders = totals.orders.saturating_sub(1);
        }
        SettledOrder { units_known: 0, orders_added: 1 }
    }

    /// A lease's time is over: it is lost until its node settles.
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

/// What an order of a settled lease adds to the window's sums.
struct SettledOrder {
    /// Units that were charged already.
    units_known: u64,
    /// Orders that the window did not count before.
    orders_added: u64,
}
