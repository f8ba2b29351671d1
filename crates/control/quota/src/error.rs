//! What is wrong with an operator's call.

use std::fmt;

/// What is wrong with a call: where, why, and what mends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowanceError {
    /// The item's name, its position where it has none, or `body`.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong.
    pub reason: String,
    /// What mends it.
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
