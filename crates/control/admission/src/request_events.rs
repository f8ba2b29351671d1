//! Arrival, begin and end of requests.
use crate::controller::{AdmissionController, LoweredLimit};
use crate::decision::Decision;
use crate::in_flight::InFlightRequest;
use crate::limits::{MAX_PENDING_TIME, MAX_RETRY_AFTER, MAX_SPAN, MIN_RETRY_AFTER};
use crate::pending_queue::PendingRequest;
use crate::rejection::Rejection;
use crate::request::AdmissionRequest;
use silvercross_time::{Duration, Instant};
use std::sync::Arc;

/// How long the concurrency limit stays lowered after the upstream rejected a request.
const LOWERED_LIMIT_SPAN: Duration = Duration::from_secs(5);
/// Service times are smoothed exponentially: a new one has a weight of one over this.
const SMOOTHING_DIVISOR: i64 = 8;

/// Whether a request that ended may have run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// It may have run if it was begun.
    MayHaveRun,
    /// The upstream reported that it did not run.
    DidNotRun,
}

impl AdmissionController {
    /// Decides on a request.
    pub fn admit(&mut self, now: Instant, request: &AdmissionRequest) -> Decision {
        let now = self.advance_time(now);
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

    /// Whether an admitted request may still be sent. To be checked right before its first byte is written if time has
    /// passed since the admission: the upstream may have gone, been drained or been evacuated.
    pub fn may_begin(&self, now: Instant, number: u64) -> bool {
        let now = now.max(self.now);
        self.in_flight.contains_current(number) && self.closed_reason(now).is_none()
    }

    /// The first byte of a request is written: from now on it may have run.
    pub fn begin(&mut self, now: Instant, number: u64) {
        let now = self.advance_time(now);
        if let Some(admitted_at) = self.in_flight.begin(number) {
            self.pacer.record_write(admitted_at, now);
        }
        self.tick(now);
    }

    /// A request ended: it was answered, aborted or never begun. Frees its capacity.
    pub fn finish(&mut self, now: Instant, number: u64) {
        let now = self.advance_time(now);
        if let Some(request) = self.end_request(now, number, Outcome::MayHaveRun) {
            if request.is_begun && self.in_flight.is_current(&request) {
                let elapsed = now - request.admitted_at;
                let smoothed =
                    self.service_time.map_or(elapsed, |old| old + (elapsed - old) / SMOOTHING_DIVISOR);
                self.service_time = Some(smoothed.max(Duration::from_micros(1)));
            }
        }
        self.tick(now);
    }

    /// A request ended, and the upstream reported that it did not run, for another reason than lack of capacity. Frees its
    /// capacity; its id may be sent again.
    pub fn finish_not_run(&mut self, now: Instant, number: u64) {
        let now = self.advance_time(now);
        self.end_request(now, number, Outcome::DidNotRun);
        self.tick(now);
    }

    /// A request ended, and the upstream reported that it did not run for lack of capacity. Frees its capacity; its id may
    /// be sent again. Lowers the concurrency limit for a while, but not below the slots.
    pub fn finish_rejected_by_upstream(&mut self, now: Instant, number: u64) {
        let now = self.advance_time(now);
        let in_flight = self.in_flight.current_count();
        if let Some(request) = self.end_request(now, number, Outcome::DidNotRun) {
            self.metrics.rejected_by_upstream += 1;
            if self.in_flight.is_current(&request) {
                let previous_limit = self.lowered_limit.map_or(u32::MAX, |lowered| lowered.limit);
                let limit = in_flight.saturating_sub(1).min(previous_limit).max(self.slots());
                self.lowered_limit = Some(LoweredLimit { limit, until: now + LOWERED_LIMIT_SPAN });
            }
        }
        self.tick(now);
    }

    /// The caller abandons a request while it is pending.
    pub fn abandon(&mut self, now: Instant, number: u64) {
        let now = self.advance_time(now);
        if let Some(request) = self.pending.take_number(number) {
            self.attempt_ids.remove_active(now, &request.attempt_id, false);
            self.metrics.abandoned += 1;
        }
        self.tick(now);
    }

    fn decide(&mut self, now: Instant, request: &AdmissionRequest) -> Decision {
        if let Some(reason) = self.load_independent_rejection(now, request) {
            return Decision::Rejected { reason, retry_after: None };
        }
        if !request.is_idempotent && !self.attempt_ids.has_room(self.in_flight.len() + self.pending.len()) {
            let expires_at = self.attempt_ids.next_expiry();
            let retry_after =
                expires_at.map_or(MAX_RETRY_AFTER, |at| (at - now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            return Decision::Rejected { reason: Rejection::AtCapacity, retry_after: Some(retry_after) };
        }
        if self.pending.is_empty() && self.has_capacity(now) {
            let id = self.attempt_ids.insert_active(&request.attempt_id, request.is_idempotent);
            self.record_admission(now, request.number, id, request.is_idempotent, request.is_retry);
            return Decision::Admitted;
        }
        self.queue_or_reject(now, request)
    }

    /// Why the request is rejected independently of the load, if it is.
    fn load_independent_rejection(&self, now: Instant, request: &AdmissionRequest) -> Option<Rejection> {
        // Checked first: every other rejection guarantees that the request was not begun here.
        let is_number_in_use =
            self.in_flight.contains(request.number) || self.pending.contains(request.number);
        if is_number_in_use || self.attempt_ids.is_duplicate(&request.attempt_id, request.is_idempotent) {
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
        self.closed_reason(now)
    }

    /// Queues a request that can't be sent now, or rejects it if its expected wait is too long or the queue is full.
    fn queue_or_reject(&mut self, now: Instant, request: &AdmissionRequest) -> Decision {
        let ahead = self.pending.count_ahead_of(request.priority);
        let rejected = |controller: &Self, reason| {
            let retry_after = controller.retry_after_behind(now, ahead);
            Decision::Rejected { reason, retry_after }
        };
        let service_time = self.expected_service_time(now);
        let mut max_wait = request.max_pending.min(MAX_PENDING_TIME).min(request.timeout);
        if request.max_pending <= request.latency_target {
            // Reject early enough that the latency target can still be met elsewhere.
            max_wait = max_wait.min(request.latency_target.saturating_add(-service_time));
        }
        if max_wait <= Duration::ZERO || self.expected_wait(now, ahead, service_time) > max_wait {
            return rejected(self, self.bottleneck(now));
        }
        if self.pending.len() >= self.pending_capacity() {
            match self.pending.last() {
                Some(last) if last.priority > request.priority => {
                    self.reject(last, Rejection::AtCapacity);
                }
                _ => return rejected(self, Rejection::AtCapacity),
            }
        }
        let pending = PendingRequest {
            number: request.number,
            attempt_id: self.attempt_ids.insert_active(&request.attempt_id, request.is_idempotent),
            is_idempotent: request.is_idempotent,
            is_retry: request.is_retry,
            until: now + max_wait,
            deadline: now + request.timeout.min(MAX_SPAN),
        };
        self.pending.push(request.priority, pending);
        Decision::Pending
    }

    /// Records the admission of a request.
    pub(crate) fn record_admission(
        &mut self,
        now: Instant,
        number: u64,
        attempt_id: Arc<str>,
        is_idempotent: bool,
        is_retry: bool,
    ) {
        let is_warming_up = self.is_warming_up(now);
        self.pacer.record_send(now, is_warming_up);
        self.in_flight.add(now, number, attempt_id, is_idempotent);
        self.metrics.admitted += 1;
        self.metrics.admitted_retries += u64::from(is_retry);
        self.metrics.admitted_warming_up += u64::from(is_warming_up);
    }

    /// Removes a request in flight that has ended.
    fn end_request(&mut self, now: Instant, number: u64, outcome: Outcome) -> Option<InFlightRequest> {
        let request = self.in_flight.remove(number)?;
        let may_have_run = outcome == Outcome::MayHaveRun && request.is_begun && !request.is_idempotent;
        self.attempt_ids.remove_active(now, &request.attempt_id, may_have_run);
        Some(request)
    }
}
