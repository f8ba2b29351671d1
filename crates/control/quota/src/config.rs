//! The spans that nodes and owners must agree on.

use silvercross_time::Duration;

/// The spans that nodes and owners must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuotaConfig {
    /// How long a lease may be used, by the node's clock from the moment it asked.
    pub lease_duration: Duration,
    /// How much longer than that an owner waits before it holds a lease for lost. Covers clocks of differing rate.
    pub expiry_margin: Duration,
    /// A node that was not stepped for longer does not use its leases any more; an owner counts no more than this of the
    /// time between two steps.
    pub max_step: Duration,
    /// A call without an answer is sent again after this.
    pub retry_interval: Duration,
    /// A request that waits for the owner is decided without it after this.
    pub decision_timeout: Duration,
    /// For this long after the owner's answer that nothing is left, requests without an order number are rejected unasked.
    pub exhausted_backoff: Duration,
    /// What a lease is at least even near the end, in units. 0 in service: near the end each request is asked for.
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
