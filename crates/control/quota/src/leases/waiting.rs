//! Requests that wait for an owner: served from held leases, sent to the owner one by one, or rejected.

use super::held::WaitingRequest;
use super::quota_leases::{QuotaLeases, MAX_PENDING_CALLS};
use super::request::{Decision, LateDecision};
use crate::allowance::{RequestKind, WhenExhausted};
use crate::protocol::{Change, RejectionReason};
use silvercross_time::{Duration, Instant};

/// An owner's rejection of a call.
#[derive(Clone, Copy)]
pub(super) struct OwnerRejection {
    pub(super) reason: RejectionReason,
    pub(super) window: u64,
    pub(super) ends_in: Duration,
    pub(super) free: u64,
}

impl QuotaLeases {
    /// Rejects a request by this node's own decision.
    pub(super) fn reject(
        &mut self,
        member: &str,
        kind: RequestKind,
        reason: RejectionReason,
        retry_after: Duration,
    ) -> Decision {
        self.metrics.rejected += 1;
        let leases = self.kind_leases(member, kind);
        let (window, free) = leases.map_or((0, 0), |leases| (leases.window, leases.free.unwrap_or(0)));
        Decision::Rejected { reason, retry_after, free, window }
    }

    /// Whether requests of a kind are served slowed when the quota is exhausted.
    pub(super) fn slows_when_exhausted(&self, member: &str, kind: RequestKind) -> bool {
        let quota = self.members.get(member).and_then(|leases| leases.allowance.quota(kind));
        quota.is_some_and(|quota| quota.when_exhausted == WhenExhausted::Slow)
    }

    /// Serves each request from a held lease or requests a lease of its own for it; those that have waited too long
    /// are rejected.
    pub(super) fn serve_or_request_each(
        &mut self,
        now: Instant,
        member: &str,
        waiting: Vec<WaitingRequest>,
    ) -> Vec<LateDecision> {
        let mut decisions = Vec::new();
        for request in waiting {
            let WaitingRequest { id, kind, units, since } = request;
            if let Some(decision) = self.take_units(now, member, kind, None, units) {
                self.metrics.accepted_by_owner += 1;
                decisions.push(LateDecision { request: id, decision });
                continue;
            }
            let has_timed_out = now - since >= self.config.decision_timeout;
            if has_timed_out || self.pending.len() >= MAX_PENDING_CALLS {
                let retry_after = self.config.retry_interval;
                let decision = self.reject(member, kind, RejectionReason::Overloaded, retry_after);
                decisions.push(LateDecision { request: id, decision });
                continue;
            }
            let lease = self.operation_id(self.last_number + 1);
            let change = Change::GrantLease { lease, kind, wanted: units, minimum: units };
            self.send_call(now, member, change, vec![request]);
            self.active.insert(member.to_string());
        }
        decisions
    }

    /// Decisions on requests whose call the owner rejected.
    pub(super) fn reject_waiting(
        &mut self,
        member: &str,
        rejection: OwnerRejection,
        waiting: Vec<WaitingRequest>,
    ) -> Vec<LateDecision> {
        let OwnerRejection { reason, window, ends_in, free } = rejection;
        let retry_after = match reason {
            RejectionReason::Exhausted => ends_in,
            RejectionReason::LeasedElsewhere => self.config.lease_duration + self.config.expiry_margin,
            _ => self.config.decision_timeout,
        };
        let mut decisions = Vec::new();
        for request in waiting {
            let decision =
                if reason == RejectionReason::Exhausted && self.slows_when_exhausted(member, request.kind) {
                    self.metrics.slowed += 1;
                    Decision::Slowed { window }
                } else if reason == RejectionReason::NoQuota {
                    Decision::Uncounted
                } else {
                    self.metrics.rejected += 1;
                    Decision::Rejected { reason, retry_after, free, window }
                };
            decisions.push(LateDecision { request: request.id, decision });
        }
        decisions
    }
}
