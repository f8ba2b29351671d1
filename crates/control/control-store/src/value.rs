//! What the control store asks of the values that it keeps.
//!
//! The store must not know more of a value than this. Implementations are in the packages of the values (`mesh-config`,
//! `throttle`, `quota`) and in the daemon, which puts them together.

use bitcode::{Decode, DecodeOwned, Encode};
use std::fmt;

/// Why a change is not taken. Nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Rejection {
    /// It would be valid, but another of the same version came first (HTTP 409); else it is invalid (HTTP 400).
    pub conflict: bool,
    /// Item, key and reason, for the operator.
    pub reason: String,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.conflict { "conflict" } else { "invalid change" };
        write!(f, "{kind}: {}", self.reason)
    }
}

impl std::error::Error for Rejection {}

/// The value of a key and how it changes. It is sent as it is encoded.
pub trait State: Clone + Default + PartialEq + fmt::Debug + Encode + DecodeOwned {
    /// What one call changes.
    type Change: Clone + PartialEq + fmt::Debug + Encode;

    /// Applies a change whole or not at all: `Ok(true)` if something changed, `Ok(false)` if all of it stood already (it is
    /// acknowledged again), `Err` with `self` as it was. Replicas apply the same changes in the same order, so the result
    /// may depend on nothing but `self` and `change`.
    fn apply(&mut self, change: &Self::Change) -> Result<bool, Rejection>;
}
