//! What the operator sets: for this process, and for the upstream's service.
use silvercross_time::Duration;

/// Rules that come from the settings of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// How long a draining upstream may still be sent requests after the acknowledgement.
    pub drain_timeout: Duration,
    /// The factor on the warm-up rate that the rule allows.
    pub warmup_overrun: f64,
    /// Requests a second that the rule allows on top of that.
    pub warmup_slack: f64,
}

/// The operator's item of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// The connections that the upstream accepts; 0: none known.
    pub max_connections: u32,
    /// The requests a second that it bears while it warms up; 0: none known.
    pub warmup_rate: f64,
    /// How long it warms up.
    pub warmup_span: Duration,
}
