//! Messages between control nodes.
//!
//! These types are encoded as they are: the order of variants and of fields, and the fields' types, are the
//! wire format (`tests/wire_bytes.rs` checks them). Names may change.

use crate::replica_set::{AcceptedReplicaSet, ReplicaSet, Vote};
use crate::snapshot::SnapshotDigest;
use crate::types::{Epoch, Incarnation, Incarnations, KeyPosition, Node, Revision};
use crate::value::Rejection;
use bitcode::{Decode, Encode};

/// A voter's state of a key, without the value.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeySummary {
    /// The key.
    pub key: String,
    /// The highest promised epoch.
    pub promised: Epoch,
    /// The revision of the value.
    pub accepted: Revision,
}

/// A request to a key's owner.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request<C> {
    /// Change the value.
    Change(C),
    /// Read the value. Where it is replicated anyway, its revision is enough.
    Read,
    /// Send the value to a node that doesn't have it at that revision.
    ReadValue,
}

/// An owner's reply to a forwarded call.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardReply<V> {
    /// The outcome.
    Answered(CallOutcome<V>),
    /// The read returns the value at this revision, which the requesting node has or will receive.
    ReadAt(Revision),
    /// The node doesn't own the key. Contains the highest epoch that it knows.
    NotOwner(Epoch),
}

/// The outcome of a change or read.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CallOutcome<V> {
    /// The change is in force, and durable.
    Committed {
        /// The revision of the value that contains it.
        revision: Revision,
        /// Whether the value changed; `false` if it already contained the change.
        changed: bool,
    },
    /// No part of the change is in force.
    Rejected(Rejection),
    /// The value that was read.
    Value {
        /// Its revision.
        revision: Revision,
        /// The value.
        value: V,
    },
    /// No answer in time, or no space in a table: the change may be in force or not. The caller may repeat
    /// it.
    Unknown,
}

/// A message between control nodes. `V` is the value, `C` its change. Common fields: `key`, `epoch` and
/// `sequence` as in [`KeyPosition`]; `incarnations` as in [`Incarnations`]; `round` and `id` identify the
/// request that is answered.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message<V, C> {
    /// Prepare: the sender claims the key. Its own promise is durable.
    Claim { key: String, epoch: Epoch },
    /// Durable: nothing of a lower epoch is accepted from now on; `accepted` is the last that was.
    Promise { key: String, epoch: Epoch, accepted: Revision, incarnations: Incarnations },
    /// The receiver's value is later than that of the node that claims under this epoch: the receiver is to
    /// claim the key itself.
    ClaimRequest { key: String, epoch: Epoch },
    /// Accept: the owner under `epoch` appends `changes`, which lead from `base` to `revision`. `more`:
    /// further appends follow.
    Append { key: String, epoch: Epoch, revision: Revision, base: Revision, changes: Vec<C>, more: bool },
    /// Durable: this append of this epoch, or a later one of it.
    Appended { key: String, epoch: Epoch, sequence: u64, incarnations: Incarnations },
    /// The sender has only `accepted` and lacks what follows. `needs_snapshot`: it can't use changes.
    Lagging { key: String, epoch: Epoch, accepted: Revision, needs_snapshot: bool },
    /// Requests the snapshot at this revision, from this byte of its encoding on.
    SnapshotRequest { key: String, revision: Revision, offset: u64 },
    /// A chunk of a snapshot, with the size and the digest of the whole snapshot.
    SnapshotChunk {
        key: String,
        revision: Revision,
        offset: u64,
        total_bytes: u64,
        digest: SnapshotDigest,
        bytes: Vec<u8>,
    },
    /// A message was rejected because its epoch is lower than this one.
    HigherEpoch { key: String, epoch: Epoch },
    /// Asks whether this epoch is still in force.
    ConfirmEpoch { key: String, epoch: Epoch, round: u64 },
    /// No higher epoch was promised here by now.
    EpochConfirmed { key: String, epoch: Epoch, round: u64 },
    /// The sender no longer owns or claims the key under this epoch because its disk has no space: another
    /// node may claim it at once.
    OwnershipReleased { key: String, epoch: Epoch },
    /// All keys that the sender owns, with their last appends.
    Heartbeat { keys: Vec<KeyPosition> },
    /// A call for the owner under this epoch and no other: if it arrives late, it has no effect under a later
    /// ownership, under which the same call may have been rejected.
    Forward { id: u64, key: String, epoch: Epoch, request: Request<C> },
    /// The reply to a forwarded call, under the epoch that the call named.
    ForwardReply { id: u64, epoch: Epoch, reply: ForwardReply<V> },
    /// The sender's disk is empty: requests everything.
    RepairRequest { incarnation: Incarnation },
    /// A voter's whole state except for the values, which are fetched as snapshots.
    RepairReply { incarnation: Incarnation, keys: Vec<KeySummary>, vote: Vote, incarnations: Incarnations },
    /// The sender knows a higher incarnation of the receiver.
    StaleIncarnation { incarnation: Incarnation },
    /// Asks for the current replica set.
    ReplicaSetRequest,
    /// A replica set that was decided.
    ReplicaSet { replica_set: ReplicaSet },
    /// Durable: the sender votes under the replica set of this version.
    ReplicaSetInForce,
    /// What the receiver has confirmed to the sender as durable under this incarnation. If the receiver lacks
    /// any of it, its disk was rolled back to an older state.
    ConfirmedPositions { incarnation: Incarnation, keys: Vec<KeyPosition> },
    /// Prepare for the next replica set, in which `replaced` (if any) is to leave.
    PrepareReplicaSet { epoch: Epoch, replaced: Option<Node> },
    /// Durable: no next replica set of a lower epoch is accepted from now on; `accepted` is the last that
    /// was.
    ReplicaSetPromise { epoch: Epoch, accepted: Option<AcceptedReplicaSet>, incarnations: Incarnations },
    /// Accept: the next replica set.
    AcceptReplicaSet { epoch: Epoch, replica_set: ReplicaSet },
    /// Durable: the next replica set of this epoch is accepted.
    ReplicaSetAccepted { epoch: Epoch, incarnations: Incarnations },
    /// A higher epoch was promised for the next replica set.
    HigherReplicaSetEpoch { epoch: Epoch },
}
