//! Counters of the controller, and its present load.
use crate::rejection::Rejection;
use silvercross_time::Duration;

/// Counters since the start, and learned values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were admitted, immediately or after being pending.
    pub admitted: u64,
    /// Of these, those that were retries.
    pub admitted_retries: u64,
    /// Requests admitted while the upstream was warming up.
    pub admitted_warming_up: u64,
    /// Requests that became pending.
    pub pending: u64,
    /// Requests that the caller abandoned while they were pending.
    pub abandoned: u64,
    /// Requests rejected, by reason, in the order of [`Rejection`].
    pub rejected: [u64; Rejection::COUNT],
    /// Requests that the upstream itself rejected.
    pub rejected_by_upstream: u64,
    /// The smoothed time that a request is in flight; 0: unknown.
    pub service_time: Duration,
    /// The limit on concurrent requests in flight, as of the last call.
    pub concurrency_limit: u32,
}

/// The present load of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight at its current incarnation.
    pub in_flight: usize,
    /// Requests pending here.
    pub pending: usize,
}
