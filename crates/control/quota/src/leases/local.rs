//! Takes units from held leases and settles leases.

use super::held::{HeldLease, HeldOrder, OpenRequest};
use super::quota_leases::QuotaLeases;
use super::request::Decision;
use crate::allowance::RequestKind;
use crate::protocol::{Change, LeasedOrder, OrderId};
use silvercross_time::Instant;

impl QuotaLeases {
    /// Takes units for a request from a usable lease that has enough.
    pub(super) fn take_units(
        &mut self,
        now: Instant,
        member: &str,
        kind: RequestKind,
        order: Option<OrderId>,
        units: u64,
    ) -> Option<Decision> {
        if let Some(decision) = order.and_then(|order| self.repeat_order(now, member, kind, order)) {
            return Some(decision);
        }
        let lease_duration = self.config.lease_duration;
        let attempt = self.last_number + 1;
        let leases = self.kind_leases(member, kind)?;
        let free = leases.free.unwrap_or(0);
        let can_serve = |held: &HeldLease| held.is_usable(now, lease_duration) && held.fits(order, units);
        let (number, held) = leases.held.iter_mut().find(|(_, held)| can_serve(held))?;
        let (number, window) = (*number, held.lease.window);
        held.used += units;
        held.open += 1;
        if let Some(order) = order {
            held.orders.insert(order, HeldOrder { attempt, units, may_have_run: false });
        }
        self.last_number = attempt;
        let (member_name, lease) = (member.to_string(), Some(number));
        let open =
            OpenRequest { member: member_name, kind, order, units, lease, attempts: 1, may_have_run: false };
        self.open_requests.insert(attempt, open);
        self.refill(now, member, kind);
        Some(Decision::Accepted { attempt, is_repeat: false, window, free })
    }

    /// Accepts another attempt of an order that is charged to a usable lease; nothing more is counted.
    fn repeat_order(
        &mut self,
        now: Instant,
        member: &str,
        kind: RequestKind,
        order: OrderId,
    ) -> Option<Decision> {
        let lease_duration = self.config.lease_duration;
        let leases = self.members.get_mut(member).map(|leases| &mut leases.kinds[kind.index()])?;
        let free = leases.free.unwrap_or(0);
        let mut usable = leases.held.iter_mut().filter(|(_, held)| held.is_usable(now, lease_duration));
        let repeated = usable.find_map(|(number, held)| Some((*number, *held.orders.get(&order)?, held)));
        let (number, HeldOrder { attempt, units, may_have_run }, held) = repeated?;
        let window = held.lease.window;
        let open = self.open_requests.entry(attempt).or_insert_with(|| {
            held.open += 1;
            let (member, order, lease) = (member.to_string(), Some(order), Some(number));
            OpenRequest { member, kind, order, units, lease, attempts: 0, may_have_run }
        });
        open.attempts += 1;
        Some(Decision::Accepted { attempt, is_repeat: true, window, free })
    }

    /// Settles a lease that is near its end, that is full or closed and whose requests have ended, or that is held
    /// while the quota is nearly exhausted.
    pub(super) fn settle_if_due(&mut self, now: Instant, member: &str, kind: RequestKind, number: u64) {
        let (lease_duration, min_lease) = (self.config.lease_duration, self.config.min_lease);
        let Some(leases) = self.kind_leases(member, kind) else { return };
        let is_nearly_exhausted = leases.is_nearly_exhausted(min_lease);
        let Some(held) = leases.held.get_mut(&number) else { return };
        let is_near_expiry = now - held.requested_at >= lease_duration / 4 * 3;
        let is_full = held.used >= held.lease.amount;
        let is_done = (is_full || held.is_closed) && held.open == 0;
        if is_near_expiry || is_nearly_exhausted || is_done {
            self.settle(now, member, kind, number);
        }
    }

    /// Reports a lease's usage to the owner and gives the lease up. Refunds of its orders are sent to the owner from
    /// then on.
    pub(super) fn settle(&mut self, now: Instant, member: &str, kind: RequestKind, number: u64) {
        let held = self.kind_leases(member, kind).and_then(|leases| leases.held.remove(&number));
        let Some(held) = held else { return };
        let to_leased_order = |(order, held): (&OrderId, &HeldOrder)| LeasedOrder {
            order: *order,
            attempt: self.operation_id(held.attempt),
            units: held.units,
        };
        let orders = held.orders.iter().map(to_leased_order).collect();
        let change = Change::SettleLease { lease: self.operation_id(number), used: held.used, orders };
        self.send_call(now, member, change, Vec::new());
    }
}
