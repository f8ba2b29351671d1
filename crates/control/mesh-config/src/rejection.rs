//! Rejections of calls by the control store.

use silvercross_config_item::{ItemError, ItemProblem};
use silvercross_control_store::Rejection;

use crate::error::{ConfigurationError, ConfigurationProblem};
use crate::wire::VERSION;

/// The resulting configuration would be invalid.
pub(crate) fn invalid(error: ConfigurationError) -> Rejection {
    Rejection { conflict: false, reason: error.to_string() }
}

/// The version of an item exists, or may exist, with different content.
pub(crate) fn version_conflict(name: &str, problem: impl Into<ConfigurationProblem>) -> Rejection {
    let error: ConfigurationError = ItemError::new(name, VERSION, problem);
    Rejection { conflict: true, reason: error.to_string() }
}

/// The version of an item exists with different content.
pub(crate) fn version_taken(name: &str, version: u64) -> Rejection {
    version_conflict(name, ItemProblem::VersionTaken { version })
}
