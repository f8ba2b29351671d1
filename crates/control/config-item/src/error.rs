//! What is wrong with an item of an operator's call.

use std::fmt;

use thiserror::Error;

/// What is wrong with a call: where, why, and what mends it. Operators read its text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("item {item}, key {key}: {problem}")]
pub struct ItemError<P: fmt::Display> {
    /// The item's name, its position where it has none, or the part of the call it stands in.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong and what mends it; boxed so that results stay small.
    pub problem: Box<P>,
}

impl<P: fmt::Display> ItemError<P> {
    /// A problem at a key of an item.
    pub fn new(item: impl Into<String>, key: impl Into<String>, problem: impl Into<P>) -> Self {
        ItemError { item: item.into(), key: key.into(), problem: Box::new(problem.into()) }
    }

    /// The same place, with the problem as another package puts it.
    pub fn map<Q: fmt::Display>(self, problem: impl FnOnce(P) -> Q) -> ItemError<Q> {
        ItemError { item: self.item, key: self.key, problem: Box::new(problem(*self.problem)) }
    }
}

/// What may be wrong with any kind of item; in brackets what mends it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ItemProblem {
    /// A key that must be there is not.
    #[error("is missing (give it)")]
    Missing,
    /// An item is something else than an object.
    #[error("is not an object (send each item as an object)")]
    ItemIsNoObject,
    /// An optional object is something else.
    #[error("is not an object (send an object or leave it out)")]
    NoObject,
    /// An optional list is something else.
    #[error("is not a list (send a list or leave it out)")]
    NoList,
    /// The name has no characters.
    #[error("is empty (give the item a name)")]
    EmptyName,
    /// The name is too long.
    #[error("is above {max_bytes} bytes (give a shorter one)")]
    NameTooLong {
        /// The longest name that is taken.
        max_bytes: usize,
    },
    /// One call sets a name to two contents.
    #[error("stands twice with different content (keep one)")]
    TwoContents,
    /// One call sets and withdraws a name at one version.
    #[error("is set and dropped at the same edition (raise the edition that is to hold)")]
    SetAndWithdrawn,
    /// A time must be longer than none.
    #[error("must be above 0 (give the seconds, fractions may be used)")]
    NoTime,
    /// Another content has this version.
    #[error("{version} stands already with other content (read the configuration, raise the edition)")]
    VersionTaken {
        /// The version.
        version: u64,
    },
    /// The call would lead above a limit.
    #[error("would be {count}, above {max} (withdraw some first)")]
    TooMany {
        /// How many there would be.
        count: usize,
        /// How many there may be.
        max: usize,
    },
}
