//! Handles owners' answers to calls.

use super::held::{Exhaustion, HeldLease, OpenRequest, PendingCall, WaitingRequest};
use super::quota_leases::QuotaLeases;
use super::request::{Decision, LateDecision};
use super::waiting::OwnerRejection;
use crate::allowance::RequestKind;
use crate::protocol::{Change, Lease, OwnerAnswer, RejectionReason};
use silvercross_time::{Duration, Instant};

/// A lease granted by the owner.
struct GrantedLease {
    kind: RequestKind,
    number: u64,
    lease: Lease,
    free: u64,
    requested_at: Instant,
}

impl QuotaLeases {
    /// Handles the owner's answer to a call and returns decisions on the requests that waited for it. An answer to a
    /// call that was already answered or given up has no effect.
    pub fn handle_answer(&mut self, now: Instant, number: u64, answer: &OwnerAnswer) -> Vec<LateDecision> {
        self.step(now);
        let Some(call) = self.pending.remove(&number) else { return Vec::new() };
        let PendingCall { member, change, since, waiting, is_resent, .. } = call;
        let rejection = match *answer {
            OwnerAnswer::Rejected { reason, window, ends_in, free } => {
                Some(OwnerRejection { reason, window, ends_in, free })
            }
            _ => None,
        };
        if is_resent && rejection.is_some() {
            self.cancel_call(now, &member, &change);
        }
        if let Some(leases) = self.members.get_mut(&member) {
            leases.is_owner_unreachable = false;
        }
        match (change, answer, rejection) {
            (Change::GrantLease { kind, lease: id, .. }, OwnerAnswer::Granted { lease, free }, _) => {
                let (lease, free) = (*lease, *free);
                let granted = GrantedLease { kind, number: id.number, lease, free, requested_at: since };
                self.accept_grant(now, &member, granted, waiting)
            }
            (Change::GrantLease { kind, lease, minimum, .. }, _, Some(rejection)) => {
                self.clear_pending_lease(&member, kind, lease.number);
                self.update_from_rejection(now, &member, kind, rejection);
                self.retry_or_reject(now, &member, rejection, minimum, waiting)
            }
            (
                Change::ChargeOrder { kind, order, units, .. },
                OwnerAnswer::Charged { is_repeat, window, free },
                _,
            ) => {
                let (is_repeat, window, free) = (*is_repeat, *window, *free);
                if let Some(leases) = self.kind_leases(&member, kind) {
                    leases.update_from_owner(leases.window.max(window), free);
                }
                let Some(request) = waiting.first() else { return Vec::new() };
                let (order, lease, may_have_run) = (Some(order), None, false);
                let open = OpenRequest { member, kind, order, units, lease, attempts: 1, may_have_run };
                self.open_requests.insert(number, open);
                self.metrics.accepted_by_owner += 1;
                let decision = Decision::Accepted { attempt: number, is_repeat, window, free };
                vec![LateDecision { request: request.id, decision }]
            }
            (Change::ChargeOrder { kind, .. }, _, Some(rejection)) => {
                self.update_from_rejection(now, &member, kind, rejection);
                self.reject_waiting(&member, rejection, waiting)
            }
            // The answer does not match the call.
            (Change::GrantLease { .. } | Change::ChargeOrder { .. }, _, None) => {
                let (reason, ends_in) = (RejectionReason::Invalid, Duration::ZERO);
                let rejection = OwnerRejection { reason, window: 0, ends_in, free: 0 };
                self.reject_waiting(&member, rejection, waiting)
            }
            _ => Vec::new(),
        }
    }

    fn clear_pending_lease(&mut self, member: &str, kind: RequestKind, number: u64) {
        if let Some(leases) = self.kind_leases(member, kind) {
            if leases.pending_lease == Some(number) {
                leases.pending_lease = None;
            }
        }
    }

    /// Handles waiting requests whose lease was rejected. Those smaller than the rejected minimum are retried one by
    /// one, and all are if the quota is nearly exhausted or the call was superseded.
    fn retry_or_reject(
        &mut self,
        now: Instant,
        member: &str,
        rejection: OwnerRejection,
        minimum: u64,
        waiting: Vec<WaitingRequest>,
    ) -> Vec<LateDecision> {
        let is_retried =
            matches!(rejection.reason, RejectionReason::Superseded | RejectionReason::NearlyExhausted);
        let (rejected, retried): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|request| !is_retried && request.units >= minimum);
        let mut decisions = self.reject_waiting(member, rejection, rejected);
        decisions.extend(self.serve_or_request_each(now, member, retried));
        decisions
    }

    /// Holds a granted lease and serves waiting requests from it. A lease that arrives too late, is lost, has another
    /// kind or belongs to a member that is no longer counted is settled immediately.
    fn accept_grant(
        &mut self,
        now: Instant,
        member: &str,
        granted: GrantedLease,
        waiting: Vec<WaitingRequest>,
    ) -> Vec<LateDecision> {
        let GrantedLease { kind, number, lease, free, requested_at } = granted;
        self.clear_pending_lease(member, kind, number);
        let has_expired = now - requested_at >= self.config.lease_duration;
        let is_valid = !has_expired && !lease.is_lost && lease.kind == kind;
        if let Some(leases) = self.kind_leases(member, kind) {
            leases.update_from_owner(lease.window, free);
        }
        let Some(leases) = self.kind_leases(member, kind).filter(|_| is_valid) else {
            let lease = self.operation_id(number);
            let change = Change::SettleLease { lease, used: 0, orders: Vec::new() };
            self.send_call(now, member, change, Vec::new());
            return self.serve_or_request_each(now, member, waiting);
        };
        leases.held.insert(number, HeldLease::new(lease, requested_at));
        self.active.insert(member.to_string());
        let decisions = self.serve_or_request_each(now, member, waiting);
        self.settle_if_due(now, member, kind, number);
        decisions
    }

    /// Updates what is known of the quota from a rejection.
    fn update_from_rejection(
        &mut self,
        now: Instant,
        member: &str,
        kind: RequestKind,
        rejection: OwnerRejection,
    ) {
        let OwnerRejection { reason, window, ends_in, free } = rejection;
        let until = now + self.config.exhausted_backoff;
        let Some(leases) = self.kind_leases(member, kind) else { return };
        leases.update_from_owner(window, free);
        match reason {
            RejectionReason::NearlyExhausted | RejectionReason::LimitReached => {
                leases.nearly_exhausted_below = free.saturating_add(free / 4 + 1);
            }
            RejectionReason::Exhausted if window == leases.window => {
                leases.exhaustion = Some(Exhaustion { until, window_ends: now + ends_in });
            }
            _ => {}
        }
    }
}
