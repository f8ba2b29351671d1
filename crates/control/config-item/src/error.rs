//! Errors of items in an operator's call.

use std::fmt;

use thiserror::Error;

/// Why a call is invalid: where, why, and how to fix it. Operators read its text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("item {item}, key {key}: {problem}")]
pub struct ItemError<P: fmt::Display> {
    /// The item's name, its position if it has no name, or the section of the call.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong and how to fix it; boxed so that results stay small.
    pub problem: Box<P>,
}

impl<P: fmt::Display> ItemError<P> {
    /// A problem at a key of an item.
    pub fn new(item: impl Into<String>, key: impl Into<String>, problem: impl Into<P>) -> Self {
        ItemError { item: item.into(), key: key.into(), problem: Box::new(problem.into()) }
    }

    /// Converts the problem to another package's type and keeps the location.
    pub fn map<Q: fmt::Display>(self, problem: impl FnOnce(P) -> Q) -> ItemError<Q> {
        ItemError { item: self.item, key: self.key, problem: Box::new(problem(*self.problem)) }
    }
}

/// Problems that items of any kind can have; the text says in parentheses how to fix them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ItemProblem {
    /// A required key is missing.
    #[error("is missing (give it)")]
    Missing,
    /// An item is not an object.
    #[error("is not an object (send each item as an object)")]
    ItemIsNoObject,
    /// The value of an optional object is of another type.
    #[error("is not an object (send an object or leave it out)")]
    NoObject,
    /// The value of an optional list is of another type.
    #[error("is not a list (send a list or leave it out)")]
    NoList,
    /// The name is empty.
    #[error("is empty (give the item a name)")]
    EmptyName,
    /// The name is too long.
    #[error("is above {max_bytes} bytes (give a shorter one)")]
    NameTooLong {
        /// Maximum length of a name.
        max_bytes: usize,
    },
    /// One call sets a name twice with different content.
    #[error("stands twice with different content (keep one)")]
    ConflictingContent,
    /// One call sets and withdraws a name at the same version.
    #[error("is set and dropped at the same edition (raise the edition that is to hold)")]
    SetAndWithdrawn,
    /// A duration is not above 0.
    #[error("must be above 0 (give the seconds, fractions may be used)")]
    DurationNotPositive,
    /// This version exists with different content.
    #[error("{version} stands already with other content (read the configuration, raise the edition)")]
    VersionTaken {
        /// The version.
        version: u64,
    },
    /// The call would exceed a limit on the number of items.
    #[error("would be {count}, above {max} (withdraw some first)")]
    TooMany {
        /// The resulting number.
        count: usize,
        /// The limit.
        max: usize,
    },
}
