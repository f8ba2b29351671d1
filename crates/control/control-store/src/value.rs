//! The interface of the values that the control store keeps.
//!
//! The store must not depend on anything else of a value. Implementations are in the packages of the values
//! (`mesh-config`, `throttle`, `quota`) and in the daemon, which combines them.

use bitcode::{Decode, DecodeOwned, Encode};
use std::fmt;

/// Why a change was not applied. No part of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Rejection {
    /// The change would be valid, but another one of the same version came first (HTTP 409). Otherwise it is
    /// invalid (HTTP 400).
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

/// The value of a key and how it changes. Sent and stored in this encoding.
pub trait State: Clone + Default + PartialEq + fmt::Debug + Encode + DecodeOwned {
    /// The change made by one call.
    type Change: Clone + PartialEq + fmt::Debug + Encode;

    /// Applies a change as a whole or not at all: `Ok(true)` if something changed, `Ok(false)` if the value
    /// already contained it (it is acknowledged again), `Err` with `self` unchanged. Replicas apply the same
    /// changes in the same order, so the result may depend on nothing but `self` and `change`.
    fn apply(&mut self, change: &Self::Change) -> Result<bool, Rejection>;

    /// Whether a change carries no version by which a later one is told from an earlier one. Such a change is
    /// committed alone and ends the epoch of its key's owner, so that calls of that epoch which are still on
    /// their way come too late (see [`ControlStore::call_under`](crate::ControlStore::call_under)).
    fn is_unversioned(_change: &Self::Change) -> bool {
        false
    }
}
