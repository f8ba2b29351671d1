//! Limits of what a client may send, and how long it may take.

use bitcode::{Decode, Encode};
use silvercross_config_item::Versioned;
use silvercross_time::Duration;

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head to come in.
    pub head_timeout: Duration,
    /// Time a connection may stay idle.
    pub idle_timeout: Duration,
    /// The item's version.
    pub version: u64,
}

impl Default for ClientLimits {
    /// What is in force until an operator sends limits: wide, so that nothing proper is rejected.
    fn default() -> Self {
        ClientLimits {
            max_head_bytes: 64 << 10,
            max_body_bytes: 256 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            version: 0,
        }
    }
}

impl Versioned for ClientLimits {
    fn version(&self) -> u64 {
        self.version
    }
}
