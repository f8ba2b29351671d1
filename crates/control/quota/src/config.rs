//! Durations that nodes and owners must agree on.

use silvercross_time::Duration;

/// Durations that nodes and owners must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuotaConfig {
    /// How long a node may use a lease, by its own clock, from the moment it sent the request.
    pub lease_duration: Duration,
    /// How much longer than that the owner waits before it marks a lease as lost. Covers differences in clock rate.
    pub expiry_margin: Duration,
    /// Maximum time between two calls that pass the time to [`crate::QuotaLeases`] or [`crate::WindowTimer`], such as
    /// `tick`. After a longer gap a node stops using its leases; an owner counts only this much of the gap.
    pub max_step: Duration,
    /// Time after which an unanswered call is sent again.
    pub retry_interval: Duration,
    /// Time after which a request that waits for the owner is decided without it.
    pub decision_timeout: Duration,
    /// For this long after the owner reports exhaustion, requests without an order number are rejected without asking
    /// it.
    pub exhausted_backoff: Duration,
    /// Minimum size of a lease requested ahead of use, in units. With 0, as in production, each request is sent to
    /// the owner once the quota is nearly exhausted.
    pub min_lease: u64,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        QuotaConfig {
            lease_duration: Duration::from_secs(5),
            expiry_margin: Duration::from_secs(1),
            max_step: Duration::from_secs(1),
            retry_interval: Duration::from_millis(300),
            decision_timeout: Duration::from_millis(800),
            exhausted_backoff: Duration::from_millis(250),
            min_lease: 0,
        }
    }
}
