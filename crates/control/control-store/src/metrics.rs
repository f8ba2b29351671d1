//! What a control store shows of itself: counters, and each key as an operator sees it.
//!
//! How these are filled in is in `protocol::status`.

use crate::types::{Epoch, Node, Revision};

/// What a node is to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its owner.
    Owner,
    /// Claims ownership, or has it and has not yet committed the value under its epoch.
    Claiming,
    /// Accepts what the owner appends.
    Replica,
    /// No voter: its disk was empty and is being repaired, or it is outside the replica set.
    Repairing,
}

/// A key as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyState {
    /// Its name.
    pub key: String,
    /// The highest epoch promised here.
    pub promised: Epoch,
    /// The revision of the value here.
    pub accepted: Revision,
    /// Who is believed to own it.
    pub owner: Option<Node>,
    /// What this node is to it.
    pub role: Role,
}

/// A key that this node owns, with a value committed under its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedKey {
    /// Its name.
    pub key: String,
    /// The epoch of this ownership.
    pub epoch: Epoch,
    /// The last committed revision.
    pub revision: Revision,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Claims made.
    pub claims: u64,
    /// Ownerships that were taken up to a first commit.
    pub ownerships_taken: u64,
    /// Ownerships and claims given up, mostly for a higher epoch.
    pub stepped_down: u64,
    /// Appends sent.
    pub appends_sent: u64,
    /// Snapshots begun to be sent.
    pub snapshots_sent: u64,
    /// Chunks of snapshots sent.
    pub snapshot_chunks_sent: u64,
    /// Snapshots received whose digest was wrong, and not installed.
    pub corrupt_snapshots: u64,
    /// Claims left to a replica with a later value.
    pub claims_delegated: u64,
    /// Times that a replica said that it lacks appends.
    pub lagging_replicas: u64,
    /// Claims, appends and other messages rejected for a lower epoch.
    pub rejected_lower_epoch: u64,
    /// Messages from nodes outside the replica set.
    pub unknown_senders: u64,
    /// Calls answered [`CallOutcome::Unknown`](crate::CallOutcome::Unknown).
    pub unknown_outcomes: u64,
    /// Calls forwarded.
    pub forwarded: u64,
    /// Repairs of other replicas' empty disks answered.
    pub repairs_answered: u64,
    /// Messages that a replica sent with a disk that it lost since.
    pub stale_incarnations: u64,
    /// Messages under an older replica set.
    pub older_replica_set: u64,
    /// Later replica sets adopted.
    pub replica_sets_adopted: u64,
    /// Times that this replica's own disk was found to have gone back to an older state.
    pub disk_rollbacks: u64,
    /// Times that the disk had no space.
    pub disk_full: u64,
    /// Promises and appends that were not confirmed, for the disk had no space.
    pub replies_withheld: u64,
}
