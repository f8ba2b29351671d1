//! Errors of an operator's call.

use std::fmt;

/// Why a call is invalid: where, why, and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowanceError {
    /// The item's name, its position if it has no name, or `body`.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// How to fix it.
    pub remedy: String,
}

impl AllowanceError {
    pub(crate) fn new(item: &str, key: &str, reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        AllowanceError { item: item.into(), key: key.into(), reason: reason.into(), remedy: remedy.into() }
    }
}

impl fmt::Display for AllowanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "item {}, key {}: {} ({})", self.item, self.key, self.reason, self.remedy)
    }
}

impl std::error::Error for AllowanceError {}
