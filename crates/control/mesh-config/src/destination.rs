//! Destinations: the services that requests go to.

use bitcode::{Decode, Encode};
use silvercross_config_item::Versioned;
use silvercross_time::Duration;

/// A service that requests go to.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Destination {
    /// Its identity.
    pub name: String,
    /// Where a health check asks an upstream. `/health` where none was sent.
    pub health_path: String,
    /// How many connections an upstream accepts from all callers together; at least 1. `u32::MAX` where none was sent.
    pub max_connections: u32,
    /// How long an upstream is warming up after a start; none where none was sent.
    pub slow_start: Duration,
    /// Requests a second that an upstream bears while it is warming up. Infinite where none was sent.
    pub slow_start_rate: f64,
    /// The item's version.
    pub version: u64,
    /// What its upstreams speak; `h1` where none was sent.
    pub protocol: String,
    /// Whether its upstreams want TLS.
    pub tls: bool,
}

impl Versioned for Destination {
    fn version(&self) -> u64 {
        self.version
    }
}
