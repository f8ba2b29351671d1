//! Time passes: leases come to their end, calls are sent again or given up, and a node that was not stepped for too long puts
//! its leases away.

use super::quota_leases::QuotaLeases;
use super::request::LateDecision;
use crate::allowance::RequestKind;
use crate::protocol::{Change, RejectionReason};
use silvercross_time::Instant;

impl QuotaLeases {
    /// To be called more often than the configuration's `max_step` while anything is held. Leases near their end are settled,
    /// calls without an answer sent again, and requests that waited too long decided without the owner.
    pub fn tick(&mut self, now: Instant) -> Vec<LateDecision> {
        self.step(now);
        for member in self.busy.clone() {
            let mut is_idle = true;
            for kind in RequestKind::ALL {
                let Some(leases) = self.kind_leases(&member, kind) else { continue };
                is_idle &= leases.held.is_empty() && leases.asking.is_none();
                let numbers: Vec<u64> = leases.held.keys().copied().collect();
                for number in numbers {
                    self.settle_if_due(now, &member, kind, number);
                }
            }
            if is_idle {
                self.busy.remove(&member);
            }
        }
        let mut decisions = Vec::new();
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        for number in numbers {
            decisions.extend(self.tend_call(now, number));
        }
        decisions
    }

    /// Sends a call again, or gives it up.
    fn tend_call(&mut self, now: Instant, number: u64) -> Vec<LateDecision> {
        let Some(call) = self.pending.get_mut(&number) else { return Vec::new() };
        let is_late = now - call.since >= self.config.decision_timeout;
        if is_late {
            if let Some(leases) = self.members.get_mut(&call.member) {
                leases.is_owner_unreachable = true;
            }
        }
        if is_late && !call.waiting.is_empty() {
            return self.give_up(now, number);
        }
        if now - call.sent_at >= self.config.retry_interval {
            (call.sent_at, call.is_resent) = (now, true);
            self.to_send.push(number);
        }
        Vec::new()
    }

    /// No answer came in time: the requests are rejected. Whether the owner accepted the call is not known: a charge is
    /// refunded, a lease is asked for on, so that it is known and settled.
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
