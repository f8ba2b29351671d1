//! Charges and refunds orders: an order is charged once for all its attempts, and refunded when none ran.

use super::order_entry::{Attempt, OrderEntry, MAX_ATTEMPTS_PER_ORDER};
use super::quota_state::QuotaState;
use crate::allowance::RequestKind;
use crate::mutation::{is_active, Mutation};
use crate::protocol::{OperationId, OrderId, RejectionReason};

/// The order to which an attempt is charged.
pub(super) fn charged_order(order: OrderId, attempt: OperationId) -> OrderId {
    if !is_active(Mutation::ChargesEachAttempt) {
        return order;
    }
    let (node, incarnation) = (u128::from(attempt.node), u128::from(attempt.incarnation));
    OrderId(node << 96 ^ incarnation << 48 ^ u128::from(attempt.number))
}

impl QuotaState {
    /// Charges an attempt of an order; further attempts of a charged order cost nothing.
    pub(super) fn charge(
        &mut self,
        order: OrderId,
        attempt: OperationId,
        kind: RequestKind,
        units: u64,
    ) -> Result<bool, RejectionReason> {
        let order = charged_order(order, attempt);
        if let Some(entry) = self.orders.get_mut(&order) {
            if entry.has_attempt(attempt) {
                return Ok(false);
            }
            if entry.is_charged() {
                entry.charge(attempt);
                return Ok(true);
            }
        }
        if units == 0 {
            return Err(RejectionReason::Invalid);
        }
        if let Some(reason) = self.shortage(kind, units) {
            return Err(reason);
        }
        let window = self.window;
        let old_window = self.orders.get(&order).map(|entry| entry.window);
        if old_window != Some(window) {
            if self.free_orders() == 0 {
                return Err(RejectionReason::LimitReached);
            }
            if let Some(totals) = old_window.and_then(|old| self.totals_mut(old)) {
                totals.orders = totals.orders.saturating_sub(1);
            }
            self.current.orders += 1;
        }
        let new_entry = OrderEntry { window, kind, units, attempts: Vec::new(), is_pinned: false };
        let entry = self.orders.entry(order).or_insert(new_entry);
        (entry.window, entry.kind, entry.units) = (window, kind, units);
        entry.charge(attempt);
        if !entry.is_charged() {
            entry.is_pinned = true;
        }
        self.current.charged[kind.index()] += units;
        Ok(true)
    }

    /// Refunds an attempt that certainly did not run. One that was not charged yet is remembered, so that its charge,
    /// when it arrives late, has no effect.
    pub(super) fn refund(&mut self, order: OrderId, attempt: OperationId) -> bool {
        let order = charged_order(order, attempt);
        let Some(entry) = self.orders.get_mut(&order) else {
            let has_room = self.free_orders() > 0;
            if has_room {
                self.current.orders += 1;
                let refunded = Attempt { id: attempt, is_charged: false };
                let entry = OrderEntry::with_attempt(self.window, RequestKind::Read, 0, refunded);
                self.orders.insert(order, entry);
            }
            return has_room;
        };
        let was_charged = entry.is_charged();
        let attempt_count = entry.attempts.len();
        match entry.attempts.iter_mut().find(|known| known.id == attempt) {
            Some(known) if known.is_charged => known.is_charged = false,
            None if attempt_count < MAX_ATTEMPTS_PER_ORDER => {
                entry.attempts.push(Attempt { id: attempt, is_charged: false });
            }
            _ => return false,
        }
        if was_charged && !entry.is_charged() {
            let (window, kind, units) = (entry.window, entry.kind, entry.units);
            if let Some(totals) = self.totals_mut(window) {
                let charged = &mut totals.charged[kind.index()];
                *charged = charged.saturating_sub(units);
            }
        }
        true
    }
}
