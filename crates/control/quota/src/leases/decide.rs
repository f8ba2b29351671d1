//! Decides on arriving requests and records the outcomes of accepted ones.

use super::held::{Exhaustion, WaitingRequest, MAX_HELD_LEASES};
use super::owner_calls::{LeaseRequest, FIRST_LEASE_UNITS};
use super::quota_leases::{QuotaLeases, MAX_OPEN_REQUESTS, MAX_PENDING_CALLS};
use super::request::{Decision, Request, RequestOutcome};
use crate::allowance::WhenUnreachable;
use crate::mutation::{is_active, Mutation};
use crate::protocol::{Change, OrderId, RejectionReason};
use silvercross_time::Instant;

/// Maximum number of requests that wait for one lease; further ones request their own.
const MAX_WAITING_PER_LEASE: usize = 64;

impl QuotaLeases {
    /// Decides on a request when its head has arrived, before its body is read.
    pub fn decide(&mut self, now: Instant, request: Request) -> Decision {
        self.step(now);
        let (member, kind) = (request.member, request.kind);
        let Some(leases) = self.members.get(member) else { return Decision::Uncounted };
        let Some(quota) = leases.allowance.quota(kind).copied() else { return Decision::Uncounted };
        let order = request.order.filter(|_| leases.allowance.counts_orders(kind));
        let units = quota.unit.units(request.body_bytes);
        let is_unreachable = leases.is_owner_unreachable;
        let serves_from_leases =
            !is_unreachable || leases.allowance.when_unreachable == WhenUnreachable::ServeFromLeases;
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            return self.reject(member, kind, RejectionReason::Overloaded, self.config.retry_interval);
        }
        if serves_from_leases && !(quota.strict && order.is_some()) {
            if let Some(decision) = self.take_units(now, member, kind, order, units) {
                self.metrics.accepted_locally += 1;
                return decision;
            }
        }
        if is_unreachable {
            self.probe_owner(now, member, kind);
            let retry_after = self.config.decision_timeout;
            return self.reject(member, kind, RejectionReason::OwnerUnreachable, retry_after);
        }
        if self.pending.len() >= MAX_PENDING_CALLS {
            return self.reject(member, kind, RejectionReason::Overloaded, self.config.retry_interval);
        }
        let waiting = WaitingRequest { id: request.id, kind, units, since: now };
        match order {
            Some(order) => self.request_order_charge(now, member, order, waiting, quota.strict),
            None => self.request_units(now, member, waiting),
        }
    }

    /// Sends an order to the owner to be charged.
    fn request_order_charge(
        &mut self,
        now: Instant,
        member: &str,
        order: OrderId,
        waiting: WaitingRequest,
        strict: bool,
    ) -> Decision {
        let (kind, units) = (waiting.kind, waiting.units);
        let attempt = self.operation_id(self.last_number + 1);
        self.send_call(now, member, Change::ChargeOrder { order, attempt, kind, units }, vec![waiting]);
        if !strict {
            self.refill(now, member, kind);
        }
        Decision::AwaitOwner
    }

    /// Requests a lease or waits for the pending one, unless the owner has recently reported that the quota is
    /// exhausted.
    fn request_units(&mut self, now: Instant, member: &str, waiting: WaitingRequest) -> Decision {
        let (kind, units) = (waiting.kind, waiting.units);
        let (config, slows) = (self.config, self.slows_when_exhausted(member, kind));
        let Some(leases) = self.kind_leases(member, kind) else { return Decision::Uncounted };
        if let Some(Exhaustion { until, window_ends }) = leases.exhaustion {
            if now < until && leases.free.is_some_and(|free| free < units) {
                let window = leases.window;
                if slows {
                    self.metrics.slowed += 1;
                    return Decision::Slowed { window };
                }
                let retry_after = (window_ends - now).max(config.retry_interval);
                return self.reject(member, kind, RejectionReason::Exhausted, retry_after);
            }
        }
        let is_nearly_exhausted = leases.is_nearly_exhausted(config.min_lease);
        let (pending_lease, wanted) = (leases.pending_lease, leases.wanted.max(FIRST_LEASE_UNITS).max(units));
        if leases.held.len() >= MAX_HELD_LEASES {
            return self.reject(member, kind, RejectionReason::Overloaded, config.retry_interval);
        }
        if is_nearly_exhausted {
            self.serve_or_request_each(now, member, vec![waiting]);
            return Decision::AwaitOwner;
        }
        let call = pending_lease.and_then(|number| self.pending.get_mut(&number)).filter(|call| {
            call.waiting.len() < MAX_WAITING_PER_LEASE && now - call.since < config.retry_interval
        });
        match call {
            Some(call) => call.waiting.push(waiting),
            None if pending_lease.is_none() => {
                let request = LeaseRequest { member, kind, wanted, minimum: units };
                self.request_lease(now, request, vec![waiting]);
            }
            None => {
                self.serve_or_request_each(now, member, vec![waiting]);
            }
        }
        Decision::AwaitOwner
    }

    /// Records the outcome of an accepted request; to be called once for each [`Decision::Accepted`].
    pub fn finish(&mut self, now: Instant, attempt: u64, outcome: RequestOutcome) {
        let refunds_unknown = is_active(Mutation::RefundsUnknown);
        let is_refunded =
            outcome == RequestOutcome::NotRun || (outcome == RequestOutcome::MayHaveRun && refunds_unknown);
        let Some(open) = self.open_requests.get_mut(&attempt) else { return };
        open.attempts = open.attempts.saturating_sub(1);
        open.may_have_run |= !is_refunded;
        if open.attempts > 0 {
            return;
        }
        let Some(open) = self.open_requests.remove(&attempt) else { return };
        let held = open.lease.and_then(|number| {
            let leases = self.members.get_mut(&open.member)?;
            leases.kinds[open.kind.index()].held.get_mut(&number)
        });
        let Some(held) = held else {
            match open.order {
                _ if open.may_have_run => {}
                Some(order) => {
                    let attempt = self.operation_id(attempt);
                    self.send_call(now, &open.member, Change::RefundOrder { order, attempt }, Vec::new());
                }
                None => self.metrics.forfeited += open.units,
            }
            return;
        };
        held.open = held.open.saturating_sub(1);
        if open.may_have_run {
            if let Some(order) = open.order.and_then(|order| held.orders.get_mut(&order)) {
                order.may_have_run = true;
            }
        } else {
            held.used = held.used.saturating_sub(open.units);
            if let Some(order) = open.order {
                held.orders.remove(&order);
            }
        }
        if let Some(number) = open.lease {
            self.settle_if_due(now, &open.member, open.kind, number);
        }
    }
}
