//! Settings of this process and the configured limits of the upstream's service.
use silvercross_time::Duration;

/// Admission settings of this process.
///
/// While the upstream warms up, it is sent at most `warmup_rate * warmup_overrun + warmup_slack` requests in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// How long requests may still be sent to a draining upstream after its drain was acknowledged.
    pub drain_timeout: Duration,
    /// The factor on the service's warm-up rate.
    pub warmup_overrun: f64,
    /// Requests per second that are allowed on top of that.
    pub warmup_slack: f64,
}

/// The limits that the operator configured for the upstream's service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// The connections that the upstream accepts; 0: unknown, no limit.
    pub max_connections: u32,
    /// Requests per second while it warms up; 0: unknown, no limit.
    pub warmup_rate: f64,
    /// How long it warms up after an evacuation ends, unless its heartbeats say otherwise.
    pub warmup_span: Duration,
}
