//! A request that asks to be admitted.
use silvercross_time::Duration;

/// A request that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The caller's handle; not in use by another that is pending or in flight.
    pub number: u64,
    /// The id of the attempt. Its length is the caller's to bound.
    pub attempt_id: String,
    /// The id of the upstream that it is meant for, if it names one.
    pub expected_upstream: Option<String>,
    /// The service that it is meant for.
    pub service: String,
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// It may run more than once.
    pub is_idempotent: bool,
    /// It is not the first attempt of its request.
    pub is_retry: bool,
    /// The time left until its latency target; may be negative.
    pub latency_target: Duration,
    /// How long it may be pending here at most.
    pub max_pending: Duration,
    /// The time left until its deadline.
    pub timeout: Duration,
}
