//! The reported state of a control store: counters, and each key as an operator sees it.
//!
//! They are filled in by `protocol::status`.

use crate::types::{Epoch, Node, Revision};

/// The role of a node for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It owns the key.
    Owner,
    /// It claims the key, or owns it and has not yet committed the value under its epoch.
    Claiming,
    /// It accepts the owner's appends.
    Replica,
    /// It is no voter: its disk was empty and is being repaired, or it is outside the replica set.
    Repairing,
}

/// A key as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyState {
    /// The key.
    pub key: String,
    /// The highest epoch promised here.
    pub promised: Epoch,
    /// The revision of the value here.
    pub accepted: Revision,
    /// The owner known to this node.
    pub owner: Option<Node>,
    /// This node's role.
    pub role: Role,
}

/// A key that this node owns, with a value committed under its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedKey {
    /// The key.
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
    /// Ownerships taken, up to a first commit.
    pub ownerships_taken: u64,
    /// Ownerships and claims given up, mostly because of a higher epoch.
    pub stepped_down: u64,
    /// Appends sent.
    pub appends_sent: u64,
    /// Snapshots of which the first chunk was sent unasked, or in place of a revision no longer available.
    pub snapshots_sent: u64,
    /// Snapshot chunks sent.
    pub snapshot_chunks_sent: u64,
    /// Received snapshots with a wrong digest or encoding, which were not installed.
    pub corrupt_snapshots: u64,
    /// Claims delegated to a replica with a later value.
    pub claims_delegated: u64,
    /// Reports of replicas that they lack appends.
    pub lagging_replicas: u64,
    /// Claims, appends and other messages rejected for a lower epoch.
    pub rejected_lower_epoch: u64,
    /// Messages from nodes outside the replica set.
    pub unknown_senders: u64,
    /// Calls answered [`CallOutcome::Unknown`](crate::CallOutcome::Unknown).
    pub unknown_outcomes: u64,
    /// Calls forwarded.
    pub forwarded: u64,
    /// Repairs of other replicas' disks answered.
    pub repairs_answered: u64,
    /// Messages that a replica sent before it lost its disk.
    pub stale_incarnations: u64,
    /// Messages under an older replica set.
    pub older_replica_set: u64,
    /// Later replica sets adopted.
    pub replica_sets_adopted: u64,
    /// How often this replica's own disk was found rolled back to an older state.
    pub disk_rollbacks: u64,
    /// How often the disk ran out of space.
    pub disk_full: u64,
    /// Messages not sent because they depended on a write and the disk had no space.
    pub replies_withheld: u64,
}
