//! What replicas write to each other, what they keep on disk, and what the caller is told to do.

use crate::pieces::Digest;
use crate::{Epoch, Node, Rejection, ReplicaSet, Revision, State, Vote};
use bitcode::{Decode, Encode};

/// Which disk a replica writes on: it rises with every disk that was lost and repaired. What a replica said with an
/// earlier disk no longer counts once it was repaired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Incarnation {
    /// Rises with every repair; 0 for a disk that was formatted on the first start.
    pub count: u64,
    /// Tells two repairs of one count apart.
    pub nonce: u64,
}

/// the sender's incarnation, and those of others that it has helped to repair (none, as a rule).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Incarnations {
    /// The sender's own.
    pub mine: Incarnation,
    /// Of the others.
    pub others: Vec<(Node, Incarnation)>,
}

/// What is durable of a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoredKey<P> {
    /// Its name.
    pub key: String,
    /// The highest epoch that was promised: nothing of a lower one is accepted.
    pub promised: Epoch,
    /// Where `value` stands.
    pub accepted: Revision,
    /// Its content.
    pub value: P,
}

/// That this disk is a replica's, and whose.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Metadata {
    /// All replicas, as of the last version under which this one said anything.
    pub replica_set: ReplicaSet,
    /// What was said about the next one.
    pub vote: Vote,
    /// Which disk of its replica this is.
    pub incarnation: Incarnation,
    /// The others' repairs that this replica has answered.
    pub incarnations: Vec<(Node, Incarnation)>,
}

/// What was found on disk at start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoredState<P> {
    /// `None`: it was never formatted, or wiped.
    pub metadata: Option<Metadata>,
    /// All keys.
    pub keys: Vec<StoredKey<P>>,
}

impl<P> Default for StoredState<P> {
    fn default() -> Self {
        StoredState { metadata: None, keys: Vec::new() }
    }
}

/// What a voter has of a key, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KeySummary {
    /// Its name.
    pub key: String,
    /// The highest epoch that was promised.
    pub promised: Epoch,
    /// Where its content stands.
    pub accepted: Revision,
}

/// What is asked of a key's owner.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Request<C> {
    /// To change it.
    Change(C),
    /// To tell its content; where that is kept anyway, its revision does.
    Read,
    /// To tell its content to who doesn't have it at that revision.
    ReadValue,
}

/// What an owner says to a call that was forwarded to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ForwardReply<P> {
    /// The answer.
    Answered(CallOutcome<P>),
    /// What is read is the content at this revision, of which the asker has or gets a copy.
    ReadAt(Revision),
    /// It doesn't own the key; the highest epoch that it knows of.
    NotOwner(Epoch),
}

/// Between replicas. `P` is the value, `C` its change. Fields: `key`, `epoch` and `sequence` as in [`Revision`]; `incarnations` as in
/// [`Incarnations`]; `round` and `id` name the question that is answered.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message<P, C> {
    /// The sender wants to own the key. Its own promise is durable.
    Claim { key: String, epoch: Epoch },
    /// Durable: nothing of a lower epoch is accepted any more, and this was until now.
    Promise { key: String, epoch: Epoch, accepted: Revision, incarnations: Incarnations },
    /// The receiver's copy is later than what the claimer of this epoch has: it is to claim the key.
    ClaimRequest { key: String, epoch: Epoch },
    /// The owner under `epoch` says what changed from `base` to the revision `to`, to be kept; `more`: it goes on after that.
    Append { key: String, epoch: Epoch, to: Revision, base: Revision, changes: Vec<C>, more: bool },
    /// Durable: this copy of this epoch, or a later one of it.
    Appended { key: String, epoch: Epoch, sequence: u64, incarnations: Incarnations },
    /// The sender has only this and lacks what came since; `whole`: changes would not do.
    Behind { key: String, epoch: Epoch, accepted: Revision, whole: bool },
    /// The content at this revision is wanted, from this byte of its encoding on.
    SnapshotRequest { key: String, at: Revision, offset: u64 },
    /// A piece of it, of so many bytes in all, with a digest of all.
    SnapshotChunk { key: String, at: Revision, offset: u64, total: u64, digest: Digest, bytes: Vec<u8> },
    /// What came was of a lower epoch than this.
    HigherEpoch { key: String, epoch: Epoch },
    /// Does this epoch still stand?
    ConfirmEpoch { key: String, epoch: Epoch, round: u64 },
    /// No higher one was promised here until now.
    EpochConfirmed { key: String, epoch: Epoch, round: u64 },
    /// The sender no longer owns or claims the key under this epoch, for its disk has no room: another may claim it at once.
    OwnershipReleased { key: String, epoch: Epoch },
    /// All that the sender owns, and its last sequence numbers.
    Heartbeat { keys: Vec<(String, Epoch, u64)> },
    /// A call of the sender's caller, for the owner under this epoch and no other: a late one can do nothing under a
    /// later ownership, in which the same call may have been refused.
    Forward { id: u64, key: String, under: Epoch, ask: Request<C> },
    /// What became of it under the epoch that it named.
    ForwardReply { id: u64, under: Epoch, forwarded: ForwardReply<P> },
    /// The sender's disk is empty: it asks for everything.
    RepairRequest { incarnation: Incarnation },
    /// Everything a voter has, but for the contents: those are fetched.
    RepairReply { incarnation: Incarnation, keys: Vec<KeySummary>, vote: Vote, incarnations: Incarnations },
    /// A higher incarnation of the receiver is known here.
    StaleIncarnation { incarnation: Incarnation },
    /// Who are the replicas?
    ReplicaSetRequest,
    /// The replicas, as was decided.
    ReplicaSet { replica_set: ReplicaSet },
    /// Durable: the sender votes under the replica set of this version.
    ReplicaSetInForce,
    /// What the sender was told to be durable at the receiver, with this incarnation: the receiver's disk went back to an older state
    /// if it lacks any of it.
    AcknowledgedPositions { incarnation: Incarnation, keys: Vec<(String, Epoch, u64)> },
    /// The sender wants the next replica set decided, in which this one is replaced, if any.
    PrepareReplicaSet { epoch: Epoch, gone: Option<Node> },
    /// Durable: no next replica set of a lower epoch is accepted any more, and this one was until now.
    ReplicaSetPromise { epoch: Epoch, accepted: Option<(Epoch, ReplicaSet)>, incarnations: Incarnations },
    /// The next replica set, to be accepted.
    AcceptReplicaSet { epoch: Epoch, replica_set: ReplicaSet },
    /// Durable: accepted.
    ReplicaSetAccepted { epoch: Epoch, incarnations: Incarnations },
    /// A higher epoch was promised for the next replica set.
    HigherReplicaSetEpoch { epoch: Epoch },
}

/// What becomes of a call or read.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CallOutcome<P> {
    /// It is in force and stays so.
    Committed {
        /// Where the content stood with it.
        revision: Revision,
        /// Whether it changed anything; else all of it stood already.
        changed: bool,
    },
    /// Nothing of it is in force.
    Rejected(Rejection),
    /// The content that a read asked for.
    Value {
        /// Where it stands.
        revision: Revision,
        /// The content.
        value: P,
    },
    /// No answer in time: it may be in force or not.
    Unknown,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<P: State> {
    /// Send a message. It may get lost, doubled or overtaken.
    Send {
        /// To whom.
        to: Node,
        /// The version of the replica set under which it is said, to be handed over with it.
        version: u64,
        /// What.
        message: Message<P, P::Change>,
    },
    /// Make durable as one transaction, then call `stored`. Writes complete in order. For one that finds no room on the disk
    /// call `room`, and try it again, before all later ones, until it succeeds; if a sync fails the process ends.
    Store {
        /// Its number.
        write: u64,
        /// To be put in place of the one there.
        metadata: Option<Metadata>,
        /// To be put in place of what is there under these keys.
        keys: Vec<StoredKey<P>>,
    },
    /// A call's or read's answer, one for each token.
    Answer {
        /// As it was given.
        token: u64,
        /// The answer.
        verdict: CallOutcome<P>,
    },
    /// Committed content, told by its owner.
    Committed {
        /// The key.
        key: String,
        /// Where it stands.
        revision: Revision,
        /// The content.
        value: P,
    },
}
