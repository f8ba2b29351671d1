//! The mesh's control state, decided without I/O: each key has one owner at a time, which copies a change to others
//! before it answers and hands the key over under a rising epoch. No common log, no leader for all.
//! The argument why nothing acknowledged is lost: `docs/design/control-store.md`.
#![forbid(unsafe_code)]

mod batch;
mod calls;
mod claim;
mod due;
mod durable;
mod limits;
mod links;
mod message;
mod metrics;
mod mutation;
mod owner;
mod pieces;
mod recent;
mod replica;
mod replica_set;
mod state;
mod store;

pub use message::{
    CallOutcome, Effect, ForwardReply, Incarnation, Incarnations, KeySummary, Message, Metadata, Request,
    StoredKey, StoredState,
};
pub use metrics::{KeyState, Metrics, Role};
pub use mutation::Mutation;
pub use pieces::{Digest, SNAPSHOT_CHUNK_BYTES};
pub use replica_set::{ReplicaSet, Vote};
pub use store::{ControlStore, Start};

use bitcode::{Decode, DecodeOwned, Encode};

/// Microseconds on the caller's monotonic clock.
pub type Micros = i64;

/// A machine that holds the state: its IPv4 address as a number, which it keeps across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Node(pub u32);

/// One term of ownership of a key. Ordered by round, then by owner; no two owners share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Epoch {
    /// Rises with every taking.
    pub round: u64,
    /// Who owns the key in it.
    pub owner: u32,
}

/// Where a key's content stands: all committed contents of a key are ordered by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Revision {
    /// Under which ownership it was written.
    pub epoch: Epoch,
    /// Which change within that ownership.
    pub sequence: u64,
}

/// Why a change is not taken. Nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Rejection {
    /// It would be valid but another of the same version came first (409); else it is invalid (400).
    pub conflict: bool,
    /// Item, key and reason, for the operator.
    pub reason: String,
}

/// The content of a key and how it changes. It is sent as it is encoded.
pub trait State: Clone + Default + PartialEq + std::fmt::Debug + Encode + DecodeOwned {
    /// One call's change.
    type Change: Clone + PartialEq + std::fmt::Debug + Encode;

    /// Apply a change whole or not at all: `Ok(true)` if something changed, `Ok(false)` if all of it stood already (it is
    /// acknowledged again), `Err` with `self` as it was.
    fn apply(&mut self, change: &Self::Change) -> Result<bool, Rejection>;
}
