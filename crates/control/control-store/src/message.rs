//! What control nodes say to each other.
//!
//! These types are encoded as they stand: the order of variants and of fields, and the fields' types, are the wire format
//! (`tests/wire_bytes.rs` holds them). Names may change.

use crate::replica_set::{AcceptedReplicaSet, ReplicaSet, Vote};
use crate::snapshot::SnapshotDigest;
use crate::types::{Epoch, Incarnation, Incarnations, KeyPosition, Node, Revision};
use crate::value::Rejection;
use bitcode::{Decode, Encode};

/// What a voter has of a key, without its value.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeySummary {
    /// Its name.
    pub key: String,
    /// The highest epoch that was promised.
    pub promised: Epoch,
    /// Where its value stands.
    pub accepted: Revision,
}

/// What is asked of a key's owner.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request<C> {
    /// To change it.
    Change(C),
    /// To read it; where the value is replicated anyway, its revision is enough.
    Read,
    /// To send its value to a node that doesn't have it at that revision.
    ReadValue,
}

/// What an owner says to a call that was forwarded to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardReply<V> {
    /// The outcome.
    Answered(CallOutcome<V>),
    /// What is read is the value at this revision, which the asker has or will be sent.
    ReadAt(Revision),
    /// It doesn't own the key; the highest epoch that it knows of.
    NotOwner(Epoch),
}

/// The outcome of a call or read.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CallOutcome<V> {
    /// It is in force and stays so.
    Committed {
        /// Where the value stood with it.
        revision: Revision,
        /// Whether it changed anything; else all of it stood already.
        changed: bool,
    },
    /// Nothing of it is in force.
    Rejected(Rejection),
    /// The value that a read asked for.
    Value {
        /// Where it stands.
        revision: Revision,
        /// The value.
        value: V,
    },
    /// No answer in time, or no space in a table: it may be in force or not. The caller may repeat it.
    Unknown,
}

/// Between control nodes. `V` is the value, `C` its change. Fields that recur: `key`, `epoch` and `sequence` as in
/// [`KeyPosition`]; `incarnations` as in [`Incarnations`]; `round` and `id` name the question that is answered.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message<V, C> {
    /// Prepare: the sender wants to own the key. Its own promise is durable.
    Claim { key: String, epoch: Epoch },
    /// Durable: nothing of a lower epoch is accepted any more; `accepted` was until now.
    Promise { key: String, epoch: Epoch, accepted: Revision, incarnations: Incarnations },
    /// The receiver's value is later than what the claimer of this epoch has: it is to claim the key itself.
    ClaimRequest { key: String, epoch: Epoch },
    /// Accept: the owner under `epoch` appends `changes`, which lead from `base` to `revision`; `more`: others follow.
    Append { key: String, epoch: Epoch, revision: Revision, base: Revision, changes: Vec<C>, more: bool },
    /// Durable: this append of this epoch, or a later one of it.
    Appended { key: String, epoch: Epoch, sequence: u64, incarnations: Incarnations },
    /// The sender has only `accepted` and lacks what came since; `needs_snapshot`: changes would not do.
    Lagging { key: String, epoch: Epoch, accepted: Revision, needs_snapshot: bool },
    /// The snapshot at this revision is wanted, from this byte of its encoding on.
    SnapshotRequest { key: String, revision: Revision, offset: u64 },
    /// A chunk of it, of so many bytes in all, with a digest of all of them.
    SnapshotChunk {
        key: String,
        revision: Revision,
        offset: u64,
        total_bytes: u64,
        digest: SnapshotDigest,
        bytes: Vec<u8>,
    },
    /// What came was of a lower epoch than this.
    HigherEpoch { key: String, epoch: Epoch },
    /// Is this epoch still in force?
    ConfirmEpoch { key: String, epoch: Epoch, round: u64 },
    /// No higher one was promised here until now.
    EpochConfirmed { key: String, epoch: Epoch, round: u64 },
    /// The sender no longer owns or claims the key under this epoch, for its disk has no space: another may claim it at once.
    OwnershipReleased { key: String, epoch: Epoch },
    /// All that the sender owns, and its last appends.
    Heartbeat { keys: Vec<KeyPosition> },
    /// A call of the sender's caller, for the owner under this epoch and no other: a late one can do nothing under a
    /// later ownership, in which the same call may have been rejected.
    Forward { id: u64, key: String, epoch: Epoch, request: Request<C> },
    /// What became of it under the epoch that it named.
    ForwardReply { id: u64, epoch: Epoch, reply: ForwardReply<V> },
    /// The sender's disk is empty: it asks for everything.
    RepairRequest { incarnation: Incarnation },
    /// Everything a voter has, but for the values: those are fetched as snapshots.
    RepairReply { incarnation: Incarnation, keys: Vec<KeySummary>, vote: Vote, incarnations: Incarnations },
    /// A higher incarnation of the receiver is known here.
    StaleIncarnation { incarnation: Incarnation },
    /// Who are the replicas?
    ReplicaSetRequest,
    /// The replicas, as was decided.
    ReplicaSet { replica_set: ReplicaSet },
    /// Durable: the sender votes under the replica set of this version.
    ReplicaSetInForce,
    /// What the receiver has confirmed to the sender as durable, with this incarnation: the receiver's disk went back to an
    /// older state if it lacks any of it.
    ConfirmedPositions { incarnation: Incarnation, keys: Vec<KeyPosition> },
    /// Prepare for the next replica set, in which `replaced` is to leave, if any.
    PrepareReplicaSet { epoch: Epoch, replaced: Option<Node> },
    /// Durable: no next replica set of a lower epoch is accepted any more; `accepted` was until now.
    ReplicaSetPromise { epoch: Epoch, accepted: Option<AcceptedReplicaSet>, incarnations: Incarnations },
    /// The next replica set, to be accepted.
    AcceptReplicaSet { epoch: Epoch, replica_set: ReplicaSet },
    /// Durable: accepted.
    ReplicaSetAccepted { epoch: Epoch, incarnations: Incarnations },
    /// A higher epoch was promised for the next replica set.
    HigherReplicaSetEpoch { epoch: Epoch },
}
