//! What holders write to each other, what they keep on disk, and what the caller is told to do.

use crate::{Epoch, Node, Page, Refusal, Revision, Roster, Vote};
use bitcode::{Decode, Encode};

/// Which disk a holder writes on: it rises with every disk that was lost and repaired. What a holder said with an
/// earlier disk no longer counts once it was repaired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Life {
    /// Rises with every repair; 0 for a disk that was formatted on the first start.
    pub count: u64,
    /// Tells two repairs of one count apart.
    pub nonce: u64,
}

/// The sender's life, and those of others that it has helped to repair (none, as a rule).
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Lives {
    /// The sender's own.
    pub mine: Life,
    /// Of the others.
    pub others: Vec<(Node, Life)>,
}

/// What is durable of a key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Stored<P> {
    /// Its name.
    pub key: String,
    /// The highest epoch that was promised: nothing of a lower one is accepted.
    pub promised: Epoch,
    /// Where `page` stands.
    pub accepted: Revision,
    /// Its content.
    pub page: P,
}

/// That this disk is a holder's, and whose.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Marker {
    /// All holders, as of the last version under which this one said anything.
    pub roster: Roster,
    /// What was said about the next one.
    pub vote: Vote,
    /// Which disk of its holder this is.
    pub life: Life,
    /// The others' repairs that this holder has answered.
    pub lives: Vec<(Node, Life)>,
}

/// What was found on disk at start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Disk<P> {
    /// `None`: it was never formatted, or wiped.
    pub marker: Option<Marker>,
    /// All keys.
    pub keys: Vec<Stored<P>>,
}

impl<P> Default for Disk<P> {
    fn default() -> Self {
        Disk { marker: None, keys: Vec::new() }
    }
}

/// What a copy carries.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Body<P, C> {
    /// The content whole.
    Whole(P),
    /// What changed since the revision before.
    Changes(Vec<C>),
}

/// What is asked of a key's owner.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Ask<C> {
    /// To change it.
    Change(C),
    /// To tell its content.
    Read,
}

/// What an owner says to a call that was passed to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Passed<P> {
    /// The answer.
    Given(Verdict<P>),
    /// It doesn't own the key; the highest epoch that it knows of.
    NotOwner(Epoch),
}

/// Between holders. `P` is the page, `C` its change. Fields: `key`, `epoch` and `seq` as in [`Revision`]; `lives` as in
/// [`Lives`]; `round` and `id` name the question that is answered.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Letter<P, C> {
    /// The sender wants to own the key. Its own promise is durable.
    Claim { key: String, epoch: Epoch },
    /// Durable: nothing of a lower epoch is accepted any more, and this is what was until now.
    Promise { key: String, epoch: Epoch, accepted: Revision, page: P, lives: Lives },
    /// The owner's content, to be kept.
    Copy { key: String, epoch: Epoch, seq: u64, body: Body<P, C> },
    /// Durable: this copy of this epoch, or a later one of it.
    Kept { key: String, epoch: Epoch, seq: u64, lives: Lives },
    /// The copy of changes does not fit what the sender has: it needs the content whole.
    Behind { key: String, epoch: Epoch },
    /// What came was of a lower epoch than this.
    Higher { key: String, epoch: Epoch },
    /// Does this epoch still stand?
    Confirm { key: String, epoch: Epoch, round: u64 },
    /// No higher one was promised here until now.
    Confirmed { key: String, epoch: Epoch, round: u64 },
    /// All that the sender owns, and its last sequence numbers.
    Stands { keys: Vec<(String, Epoch, u64)> },
    /// A call of the sender's caller, for the owner under this epoch and no other: a late one can do nothing under a
    /// later ownership, in which the same call may have been refused.
    Pass { id: u64, key: String, under: Epoch, ask: Ask<C> },
    /// What became of it under the epoch that it named.
    Verdict { id: u64, under: Epoch, passed: Passed<P> },
    /// The sender's disk is empty: it asks for everything.
    Recover { life: Life },
    /// Everything a voter has.
    Recovered { life: Life, keys: Vec<Stored<P>>, vote: Vote, lives: Lives },
    /// A higher life of the receiver is known here.
    Outlived { life: Life },
    /// Who are the holders?
    Which,
    /// The holders, as was decided.
    Roster { roster: Roster },
    /// The sender wants the next roster decided, in which this one is replaced, if any.
    Propose { epoch: Epoch, gone: Option<Node> },
    /// Durable: no next roster of a lower epoch is accepted any more, and this one was until now.
    Proposed { epoch: Epoch, accepted: Option<(Epoch, Roster)>, lives: Lives },
    /// The next roster, to be accepted.
    Accept { epoch: Epoch, roster: Roster },
    /// Durable: accepted.
    Accepted { epoch: Epoch, lives: Lives },
    /// A higher epoch was promised for the next roster.
    Overruled { epoch: Epoch },
}

/// What becomes of a call or read.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Verdict<P> {
    /// It is in force and stays so.
    Done {
        /// Where the content stood with it.
        revision: Revision,
        /// Whether it changed anything; else all of it stood already.
        changed: bool,
    },
    /// Nothing of it is in force.
    Refused(Refusal),
    /// The content that a read asked for.
    Page {
        /// Where it stands.
        revision: Revision,
        /// The content.
        page: P,
    },
    /// No answer in time: it may be in force or not.
    Unsettled,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed<P: Page> {
    /// Send a letter. It may get lost, doubled or overtaken.
    Send {
        /// To whom.
        to: Node,
        /// The version of the roster under which it is said, to be handed over with it.
        version: u64,
        /// What.
        letter: Letter<P, P::Change>,
    },
    /// Make durable as one transaction, then call `stored`. Writes complete in order. If one fails the process ends.
    Store {
        /// Its number.
        write: u64,
        /// To be put in place of the one there.
        marker: Option<Marker>,
        /// To be put in place of what is there under these keys.
        keys: Vec<Stored<P>>,
    },
    /// A call's or read's answer, one for each token.
    Answer {
        /// As it was given.
        token: u64,
        /// The answer.
        verdict: Verdict<P>,
    },
    /// Committed content, told by its owner.
    News {
        /// The key.
        key: String,
        /// Where it stands.
        revision: Revision,
        /// The content.
        page: P,
    },
}
