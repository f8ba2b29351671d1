//! Destinations: the services that requests are sent to.

use bitcode::{Decode, Encode};
use silvercross_config_item::Versioned;
use silvercross_time::Duration;

/// A service that requests are sent to.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Destination {
    /// The name, which identifies the item.
    pub name: String,
    /// Path of health checks. Default: `/health`.
    pub health_path: String,
    /// Maximum number of connections that an upstream accepts from all callers together; at least 1. Default:
    /// `u32::MAX`.
    pub max_connections: u32,
    /// How long an upstream warms up after a start. Default: 0.
    pub slow_start: Duration,
    /// Requests per second that an upstream can handle while it warms up. Default: infinite.
    pub slow_start_rate: f64,
    /// The item's version.
    pub version: u64,
    /// Protocol of the upstreams. Default: `h1`.
    pub protocol: String,
    /// Whether the upstreams require TLS.
    pub tls: bool,
}

impl Versioned for Destination {
    fn version(&self) -> u64 {
        self.version
    }
}
