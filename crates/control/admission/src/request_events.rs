//! A request asks to be admitted, begins and ends.
use crate::controller::{AdmissionController, LoweredLimit};
use crate::decision::Decision;
use crate::in_flight::InFlightRequest;
use crate::limits::{MAX_PENDING_TIME, MAX_RETRY_AFTER, MAX_SPAN, MIN_RETRY_AFTER};
use crate::pending_queue::PendingRequest;
use crate::rejection::Rejection;
use crate::request::AdmissionRequest;
use silvercross_time::{Duration, Instant};
use std::sync::Arc;

/// How long a lower concurrency limit holds once the upstream was full sooner than thought.
const LOWERED_LIMIT_SPAN: Duration = Duration::from_secs(5);
/// The part of a new service time in the smoothed one is one over this.
const SERVICE_TIME_SMOOTHING: i64 = 8;

/// What may have become of a request that ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// If it was begun, it may have run.
    MayHaveRun,
    /// The upstream said that it did not run.
    DidNotRun,
}

impl AdmissionController {
    /// A request asks to be admitted.
    pub fn admit(&mut self, now: Instant, request: &AdmissionRequest) -> Decision {
        let now = self.note_time(now);
        self.tick(now);
        self.metrics.arrived += 1;
        let decision = self.decide(now, request);
        match decision {
            Decision::Rejected { reason, .. } => self.metrics.rejected[reason as usize] += 1,
            Decision::Pending => self.metrics.pending += 1,
            Decision::Admitted => {}
        }
        decision
    }

    /// Whether one that was admitted may still be sent: to be asked just before its first byte when time has passed since,
    /// as the upstream may have gone, drained or been evacuated.
    pub fn may_begin(&self, now: Instant, number: u64) -> bool {
        let now = now.max(self.now);
        self.in_flight.is_at_present(number) && self.shut(now).is_none()
    }

    /// The first byte is written: from now on it may have run.
    pub fn begin(&mut self, now: Instant, number: u64) {
        let now = self.note_time(now);
        if let Some(admitted_at) = self.in_flight.begin(number) {
            self.pacer.written(admitted_at, now);
        }
        self.tick(now);
    }

    /// It ended: answered, broken off, or never begun. Its capacity is free.
    pub fn finish(&mut self, now: Instant, number: u64) {
        let now = self.note_time(now);
        if let Some(request) = self.end(now, number, Outcome::MayHaveRun) {
            if request.is_begun && self.in_flight.is_of_present(&request) {
                let took = now - request.admitted_at;
                let smoothed =
                    self.service_time.map_or(took, |known| known + (took - known) / SERVICE_TIME_SMOOTHING);
                self.service_time = Some(smoothed.max(Duration::from_micros(1)));
            }
        }
        self.tick(now);
    }

    /// It ended with the upstream's word that it did not run, for another reason than being at capacity: its capacity is free
    /// and its id is not held against it.
    pub fn finish_not_run(&mut self, now: Instant, number: u64) {
        let now = self.note_time(now);
        self.end(now, number, Outcome::DidNotRun);
        self.tick(now);
    }

    /// The upstream itself said that it did not run it, being full sooner than thought. Its capacity is free, its id is not
    /// held against it, and for a while fewer are in flight at a time, though never fewer than the slots.
    pub fn finish_rejected_by_upstream(&mut self, now: Instant, number: u64) {
        let now = self.note_time(now);
        let in_flight = self.in_flight.at_present();
        if let Some(request) = self.end(now, number, Outcome::DidNotRun) {
            self.metrics.rejected_by_upstream += 1;
            if self.in_flight.is_of_present(&request) {
                let before = self.lowered_limit.map_or(u32::MAX, |lowered| lowered.limit);
                let limit = in_flight.saturating_sub(1).min(before).max(self.slots());
                self.lowered_limit = Some(LoweredLimit { limit, until: now + LOWERED_LIMIT_SPAN });
            }
        }
        self.tick(now);
    }

    /// The caller gave it up while it was pending.
    pub fn abandon(&mut self, now: Instant, number: u64) {
        let now = self.note_time(now);
        if let Some(request) = self.pending.take_number(number) {
            self.ids.leave(now, &request.attempt_id, false);
            self.metrics.abandoned += 1;
        }
        self.tick(now);
    }

    fn decide(&mut self, now: Instant, request: &AdmissionRequest) -> Decision {
        if let Some(reason) = self.refusal(now, request) {
            return Decision::Rejected { reason, retry_after: None };
        }
        if !request.is_idempotent && !self.ids.has_room(self.in_flight.len() + self.pending.len()) {
            let forget_at = self.ids.next_forget_at();
            let retry_after =
                forget_at.map_or(MAX_RETRY_AFTER, |at| (at - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            return Decision::Rejected { reason: Rejection::AtCapacity, retry_after: Some(retry_after) };
        }
        if self.pending.is_empty() && self.has_capacity(now) {
            let id = self.ids.enter(&request.attempt_id, request.is_idempotent);
            self.send(now, request.number, id, request.is_idempotent, request.is_retry);
            return Decision::Admitted;
        }
        self.queue(now, request)
    }

    /// Why the request is rejected whatever the load is.
    fn refusal(&self, now: Instant, request: &AdmissionRequest) -> Option<Rejection> {
        // First of all: every other rejection promises that it was not begun here.
        let is_present = self.in_flight.contains(request.number) || self.pending.contains(request.number);
        if is_present || self.ids.is_duplicate(&request.attempt_id, request.is_idempotent) {
            return Some(Rejection::Duplicate);
        }
        if request.timeout <= Duration::ZERO {
            return Some(Rejection::DeadlinePassed);
        }
        let Some(report) = self.report.as_ref() else { return Some(Rejection::NoUpstream) };
        let expects_other = request.expected_upstream.as_ref().is_some_and(|id| *id != report.id);
        if report.service != request.service || expects_other {
            return Some(Rejection::WrongUpstream);
        }
        self.shut(now)
    }

    /// It can't be sent now: it is pending, or is rejected if that would be in vain.
    fn queue(&mut self, now: Instant, request: &AdmissionRequest) -> Decision {
        let ahead = self.pending.count_ahead_of(request.priority);
        let rejected = |controller: &Self, reason| {
            let retry_after = controller.retry_after_behind(now, ahead);
            Decision::Rejected { reason, retry_after }
        };
        let service_time = self.expected_service_time(now);
        let mut patience = request.max_pending.min(MAX_PENDING_TIME).min(request.timeout);
        if request.max_pending <= request.latency_target {
            // It is to be served within its latency target: it is given back while that can still be met elsewhere.
            patience = patience.min(request.latency_target.saturating_add(-service_time));
        }
        if patience <= Duration::ZERO || self.expected_wait(now, ahead, service_time) > patience {
            return rejected(self, self.bottleneck(now));
        }
        if self.pending.len() >= self.pending_capacity() {
            match self.pending.last() {
                Some(worst) if worst.priority > request.priority => {
                    self.reject(worst, Rejection::AtCapacity);
                }
                _ => return rejected(self, Rejection::AtCapacity),
            }
        }
        let pending = PendingRequest {
            number: request.number,
            attempt_id: self.ids.enter(&request.attempt_id, request.is_idempotent),
            is_idempotent: request.is_idempotent,
            is_retry: request.is_retry,
            until: now + patience,
            deadline: now + request.timeout.min(MAX_SPAN),
        };
        self.pending.push(request.priority, pending);
        Decision::Pending
    }

    /// A request is admitted.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        number: u64,
        attempt_id: Arc<str>,
        is_idempotent: bool,
        is_retry: bool,
    ) {
        let is_warming_up = self.is_warming_up(now);
        self.pacer.sent(now, is_warming_up);
        self.in_flight.add(now, number, attempt_id, is_idempotent);
        self.metrics.admitted += 1;
        self.metrics.admitted_retries += u64::from(is_retry);
        self.metrics.admitted_warming_up += u64::from(is_warming_up);
    }

    /// A request in flight has ended.
    fn end(&mut self, now: Instant, number: u64, outcome: Outcome) -> Option<InFlightRequest> {
        let request = self.in_flight.remove(number)?;
        let may_have_run = outcome == Outcome::MayHaveRun && request.is_begun && !request.is_idempotent;
        self.ids.leave(now, &request.attempt_id, may_have_run);
        Some(request)
    }
}
