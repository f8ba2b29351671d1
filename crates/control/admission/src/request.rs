//! The request to be admitted.
use silvercross_time::Duration;

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The caller's number for it, unique among the requests that are pending or in flight.
    pub number: u64,
    /// The id of the attempt. The caller limits its length.
    pub attempt_id: String,
    /// The id of the upstream incarnation that it is for, if it names one.
    pub expected_upstream: Option<String>,
    /// The service that it is for.
    pub service: String,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Whether it may safely run more than once.
    pub is_idempotent: bool,
    /// Whether it is a further attempt of a request.
    pub is_retry: bool,
    /// The time left until its latency target; may be negative.
    pub latency_target: Duration,
    /// The longest time that it may be pending.
    pub max_pending: Duration,
    /// The time left until its deadline.
    pub timeout: Duration,
}
