//! Timer: admits pending requests as capacity becomes free, and rejects them when their time is over.
use crate::controller::AdmissionController;
use crate::decision::Effect;
use crate::pending_queue::QueuePosition;
use crate::rejection::Rejection;
use crate::upstream::UpstreamState;
use silvercross_time::{Duration, Instant};

impl AdmissionController {
    /// Admits and rejects pending requests as of `now`.
    pub fn tick(&mut self, now: Instant) {
        let now = self.advance_time(now);
        self.attempt_ids.remove_expired(now);
        if self.lowered_limit.is_some_and(|lowered| lowered.until <= now) {
            self.lowered_limit = None;
        }
        if let Some(reason) = self.closed_reason(now) {
            self.reject_all(reason);
        }
        while let Some(expiry) = self.pending.next_expiry().filter(|expiry| expiry.at <= now) {
            let deadline_passed =
                self.pending.get(expiry.position).is_some_and(|request| request.deadline <= now);
            let reason = if deadline_passed { Rejection::DeadlinePassed } else { self.bottleneck(now) };
            self.reject(expiry.position, reason);
        }
        self.metrics.concurrency_limit = self.concurrency_limit(now);
        self.metrics.service_time = self.service_time.unwrap_or(Duration::ZERO);
        while !self.pending.is_empty() && self.has_capacity(now) {
            let Some(request) = self.pending.first().and_then(|first| self.pending.take(first)) else {
                break;
            };
            self.effects.push(Effect::Admitted(request.number));
            self.record_admission(
                now,
                request.number,
                request.attempt_id,
                request.is_idempotent,
                request.is_retry,
            );
        }
    }

    /// When [`AdmissionController::tick`] is to be called next if nothing else is called before; `None`: nothing is pending.
    pub fn next_deadline(&self) -> Option<Instant> {
        let mut next = self.pending.next_expiry()?.at;
        let now = self.now;
        if let UpstreamState::Draining(until) = self.state {
            next = next.min(until);
        }
        if self.is_warming_up(now) {
            next = next.min(self.warmup_ends.latest());
            if self.in_flight.current_count() < self.concurrency_limit(now) {
                next = next.min(self.pacer.ready_at(now, 0).unwrap_or(Instant::MAX));
            }
        }
        if let Some(lowered) = self.lowered_limit {
            next = next.min(lowered.until);
        }
        Some(next)
    }

    /// Rejects the pending request at a position.
    pub(crate) fn reject(&mut self, position: QueuePosition, reason: Rejection) {
        let Some(request) = self.pending.take(position) else { return };
        self.attempt_ids.remove_active(self.now, &request.attempt_id, false);
        let retry_after = self.retry_after(self.now, reason);
        self.metrics.rejected[reason as usize] += 1;
        self.effects.push(Effect::Rejected { number: request.number, reason, retry_after });
    }

    /// Rejects all pending requests.
    pub(crate) fn reject_all(&mut self, reason: Rejection) {
        while let Some(position) = self.pending.first() {
            self.reject(position, reason);
        }
    }
}
