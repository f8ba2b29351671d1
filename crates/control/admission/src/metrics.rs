//! Counters of the controller, and how busy it is.
use crate::rejection::Rejection;
use silvercross_time::Duration;

/// Counters since the start, and what was learned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests that asked.
    pub arrived: u64,
    /// Requests that were admitted, at once or later.
    pub admitted: u64,
    /// Of these, those that were not the first attempt of their request.
    pub admitted_retries: u64,
    /// Requests admitted while the upstream counted as warming up.
    pub admitted_warming_up: u64,
    /// Requests that were pending.
    pub pending: u64,
    /// Requests that the caller abandoned while they were pending.
    pub abandoned: u64,
    /// Requests rejected, in the order of [`Rejection`].
    pub rejected: [u64; Rejection::COUNT],
    /// Requests that the upstream itself rejected.
    pub rejected_by_upstream: u64,
    /// The smoothed time that a request is in flight; 0: none known.
    pub service_time: Duration,
    /// The most in flight at a time, as of the last call.
    pub concurrency_limit: u32,
}

/// How busy the upstream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight at its present incarnation.
    pub in_flight: usize,
    /// Requests pending here.
    pub pending: usize,
}
