//! Size and time limits for clients.

use bitcode::{Decode, Encode};
use silvercross_config_item::Versioned;
use silvercross_time::Duration;

/// Size and time limits for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time a connection may stay idle.
    pub idle_timeout: Duration,
    /// The item's version.
    pub version: u64,
}

impl Default for ClientLimits {
    /// The limits in force until an operator sends some: generous, so that no ordinary request is rejected.
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
