//! The requests that were admitted and have not ended, with counts for the upstream's present incarnation.
use crate::limits::MAX_PENDING_TIME;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A request that was admitted and has not ended.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) attempt_id: Arc<str>,
    pub(crate) is_idempotent: bool,
    /// Its first byte was written.
    pub(crate) is_begun: bool,
    pub(crate) admitted_at: Instant,
    /// The number of the incarnation that it went to.
    pub(crate) incarnation: u64,
}

/// All requests in flight. Invariant: `at_present` and `sum_of_starts` count exactly those of the present incarnation.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    requests: BTreeMap<u64, InFlightRequest>,
    /// Counts the incarnations seen.
    incarnation: u64,
    at_present: u32,
    /// In microseconds.
    sum_of_starts: i128,
}

impl InFlight {
    /// A new incarnation: nothing is in flight at it.
    pub(crate) fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.at_present = 0;
        self.sum_of_starts = 0;
    }

    /// How many are in flight at the present incarnation.
    pub(crate) fn at_present(&self) -> u32 {
        self.at_present
    }

    /// How many are in flight at any incarnation.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn contains(&self, number: u64) -> bool {
        self.requests.contains_key(&number)
    }

    /// Whether the request went to the present incarnation.
    pub(crate) fn is_of_present(&self, request: &InFlightRequest) -> bool {
        request.incarnation == self.incarnation
    }

    /// Whether this request is in flight at the present incarnation.
    pub(crate) fn is_at_present(&self, number: u64) -> bool {
        self.requests.get(&number).is_some_and(|request| self.is_of_present(request))
    }

    /// How long those at the present incarnation have been in flight on average, held to [`MAX_PENDING_TIME`]; 0: none is.
    pub(crate) fn mean_age(&self, now: Instant) -> Duration {
        if self.at_present == 0 {
            return Duration::ZERO;
        }
        let mean_start = self.sum_of_starts / i128::from(self.at_present);
        let age = i128::from(now.as_micros()) - mean_start;
        Duration::from_micros(age.clamp(0, i128::from(MAX_PENDING_TIME.as_micros())) as i64)
    }

    /// One is admitted.
    pub(crate) fn add(&mut self, now: Instant, number: u64, attempt_id: Arc<str>, is_idempotent: bool) {
        self.at_present += 1;
        self.sum_of_starts += i128::from(now.as_micros());
        let request = InFlightRequest {
            attempt_id,
            is_idempotent,
            is_begun: false,
            admitted_at: now,
            incarnation: self.incarnation,
        };
        self.requests.insert(number, request);
    }

    /// Its first byte is written: when it was admitted, if it is the first byte of one at the present incarnation.
    pub(crate) fn begin(&mut self, number: u64) -> Option<Instant> {
        let request = self.requests.get_mut(&number)?;
        let was_begun = std::mem::replace(&mut request.is_begun, true);
        (!was_begun && request.incarnation == self.incarnation).then_some(request.admitted_at)
    }

    /// One has ended.
    pub(crate) fn remove(&mut self, number: u64) -> Option<InFlightRequest> {
        let request = self.requests.remove(&number)?;
        if self.is_of_present(&request) {
            self.at_present = self.at_present.saturating_sub(1);
            self.sum_of_starts -= i128::from(request.admitted_at.as_micros());
        }
        Some(request)
    }
}
