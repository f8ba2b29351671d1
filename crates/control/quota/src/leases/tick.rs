//! Periodic work: settles expiring leases, resends calls or gives them up, and decides requests that have waited too
//! long.

use super::quota_leases::QuotaLeases;
use super::request::LateDecision;
use crate::allowance::RequestKind;
use crate::protocol::{Change, RejectionReason};
use silvercross_time::Instant;

impl QuotaLeases {
    /// To be called more often than the configuration's `max_step` while any lease is held. Settles leases near their
    /// end, sends unanswered calls again, and rejects requests that have waited too long for the owner.
    pub fn tick(&mut self, now: Instant) -> Vec<LateDecision> {
        self.step(now);
        for member in self.active.clone() {
            let mut is_idle = true;
            for kind in RequestKind::ALL {
                let Some(leases) = self.kind_leases(&member, kind) else { continue };
                is_idle &= leases.held.is_empty() && leases.pending_lease.is_none();
                let numbers: Vec<u64> = leases.held.keys().copied().collect();
                for number in numbers {
                    self.settle_if_due(now, &member, kind, number);
                }
            }
            if is_idle {
                self.active.remove(&member);
            }
        }
        let mut decisions = Vec::new();
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        for number in numbers {
            decisions.extend(self.resend_or_give_up(now, number));
        }
        decisions
    }

    /// Sends an unanswered call again, or gives it up.
    fn resend_or_give_up(&mut self, now: Instant, number: u64) -> Vec<LateDecision> {
        let Some(call) = self.pending.get_mut(&number) else { return Vec::new() };
        let has_timed_out = now - call.since >= self.config.decision_timeout;
        if has_timed_out {
            if let Some(leases) = self.members.get_mut(&call.member) {
                leases.is_owner_unreachable = true;
            }
        }
        if has_timed_out && !call.waiting.is_empty() {
            return self.give_up(now, number);
        }
        if now - call.sent_at >= self.config.retry_interval {
            (call.sent_at, call.is_resent) = (now, true);
            self.to_send.push(number);
        }
        Vec::new()
    }

    /// Rejects the requests that waited for a call. Whether the owner accepted the call is unknown: a charge is
    /// refunded, and a lease is requested again so that it becomes known and can be settled.
    fn give_up(&mut self, now: Instant, number: u64) -> Vec<LateDecision> {
        let Some(mut call) = self.pending.remove(&number) else { return Vec::new() };
        self.metrics.given_up += 1;
        let (member, waiting) = (call.member.clone(), std::mem::take(&mut call.waiting));
        match call.change {
            Change::ChargeOrder { .. } => self.cancel_call(now, &member, &call.change),
            _ => {
                (call.sent_at, call.is_resent) = (now, true);
                self.pending.insert(number, call);
                self.to_send.push(number);
            }
        }
        let retry_after = self.config.decision_timeout;
        let mut decisions = Vec::new();
        for request in waiting {
            let reason = RejectionReason::OwnerUnreachable;
            let decision = self.reject(&member, request.kind, reason, retry_after);
            decisions.push(LateDecision { request: request.id, decision });
        }
        decisions
    }
}
