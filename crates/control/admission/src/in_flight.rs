//! Requests that were admitted and have not ended, with totals for the upstream's current incarnation.
use crate::limits::MAX_PENDING_TIME;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request that was admitted and has not ended.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) attempt_id: Arc<str>,
    pub(crate) is_idempotent: bool,
    /// Whether its first byte was written.
    pub(crate) is_begun: bool,
    pub(crate) admitted_at: Instant,
    /// The number of the incarnation that it was admitted to.
    pub(crate) incarnation: u64,
}

/// All requests in flight. Invariant: `current_count` and `start_sum_us` cover exactly those of the current incarnation.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    requests: BTreeMap<u64, InFlightRequest>,
    /// The number of the current incarnation, counted from the start.
    incarnation: u64,
    current_count: u32,
    /// The sum of the admission times.
    start_sum_us: i128,
}

impl InFlight {
    /// Starts a new incarnation, with nothing in flight.
    pub(crate) fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.current_count = 0;
        self.start_sum_us = 0;
    }

    /// How many are in flight at the current incarnation.
    pub(crate) fn current_count(&self) -> u32 {
        self.current_count
    }

    /// How many are in flight at any incarnation.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn contains(&self, number: u64) -> bool {
        self.requests.contains_key(&number)
    }

    /// Whether the request was admitted to the current incarnation.
    pub(crate) fn is_current(&self, request: &InFlightRequest) -> bool {
        request.incarnation == self.incarnation
    }

    /// Whether a request with this number is in flight at the current incarnation.
    pub(crate) fn contains_current(&self, number: u64) -> bool {
        self.requests.get(&number).is_some_and(|request| self.is_current(request))
    }

    /// The mean time since admission of those at the current incarnation, at most [`MAX_PENDING_TIME`]; 0: there are none.
    pub(crate) fn mean_age(&self, now: Instant) -> Duration {
        if self.current_count == 0 {
            return Duration::ZERO;
        }
        let mean_start = self.start_sum_us / i128::from(self.current_count);
        let age = i128::from(now.as_micros()) - mean_start;
        Duration::from_micros(age.clamp(0, i128::from(MAX_PENDING_TIME.as_micros())) as i64)
    }

    /// Adds an admitted request.
    pub(crate) fn add(&mut self, now: Instant, number: u64, attempt_id: Arc<str>, is_idempotent: bool) {
        self.current_count += 1;
        self.start_sum_us += i128::from(now.as_micros());
        let request = InFlightRequest {
            attempt_id,
            is_idempotent,
            is_begun: false,
            admitted_at: now,
            incarnation: self.incarnation,
        };
        self.requests.insert(number, request);
    }

    /// Marks a request as begun. Returns when it was admitted if it was not begun before and is at the current incarnation.
    pub(crate) fn begin(&mut self, number: u64) -> Option<Instant> {
        let request = self.requests.get_mut(&number)?;
        let was_begun = std::mem::replace(&mut request.is_begun, true);
        (!was_begun && request.incarnation == self.incarnation).then_some(request.admitted_at)
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, number: u64) -> Option<InFlightRequest> {
        let request = self.requests.remove(&number)?;
        if self.is_current(&request) {
            self.current_count = self.current_count.saturating_sub(1);
            self.start_sum_us -= i128::from(request.admitted_at.as_micros());
        }
        Some(request)
    }
}
