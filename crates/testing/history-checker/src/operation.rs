//! What clients ask of a key of the idempotency store, and what they are answered. The names in JSON are those of recorded
//! histories and stay.

use serde::{Deserialize, Serialize};

/// What is asked of a key. Values are numbers that clients never use twice; 0: none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invocation {
    /// A document's value is to be this.
    Put(u64),
    /// The same, if it is the first now.
    Cas(u64, u64),
    /// What is its value?
    Get,
    /// This client claims a keyed request.
    #[serde(rename = "take")]
    Claim(u64),
    /// The client that claimed it completes it with this answer.
    #[serde(rename = "hold")]
    Complete(u64, u64),
    /// The client that claimed it releases it: it never ran.
    #[serde(rename = "give")]
    Release(u64),
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Done.
    Done,
    /// Not done: the value, or who claimed it, was not the expected one.
    #[serde(rename = "other")]
    Mismatch,
    /// The value.
    Value(u64),
    /// Nobody had claimed it: the claim is the client's.
    #[serde(rename = "yours")]
    Claimed,
    /// Somebody has claimed it, and there is no answer yet.
    #[serde(rename = "busy")]
    InProgress,
}
