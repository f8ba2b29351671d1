//! The records a control store consists of: keys, claims, ownerships, repair, and what waits for a write.

use crate::calls::{Forwards, Job};
use crate::message::{Incarnation, KeySummary, Message};
use crate::recent::Recent;
use crate::replica_set::Vote;
use crate::{Epoch, Micros, Node, Rejection, Revision, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What this node is to the replica set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// The metadata is being written.
    Formatting,
    /// The disk was empty.
    Repairing,
    Voter,
    /// No replica, or it doesn't know yet.
    Outside,
}

/// A key here. `promised`, `accepted` and `value` are as the last write that was issued leaves them: what tells others
/// of them waits for that write.
#[derive(Clone, Debug)]
pub(crate) struct Slot<P: State> {
    pub promised: Epoch,
    pub accepted: Revision,
    pub value: P,
    /// How it came from earlier ones.
    pub recent: Recent<P::Change>,
    /// The highest epoch heard of.
    pub seen: Epoch,
    /// When its owner was heard last.
    pub heard: Micros,
    /// Since when nobody reachable owns it.
    pub ownerless: Option<Micros>,
    /// No claim before this, after a lost one.
    pub not_before: Micros,
    pub ownership: Ownership<P>,
    /// Calls that wait for this node to own the key, or for the copy under way. At most `QUEUE`.
    pub queue: VecDeque<Job<P::Change>>,
}

/// What this node is to a key.
#[derive(Clone, Debug)]
pub(crate) enum Ownership<P: State> {
    Replica,
    Claiming(Claim),
    Owner(Box<Owner<P>>),
}

/// A claim under way.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub epoch: Epoch,
    /// The highest epoch heard of before.
    pub before: Epoch,
    /// Who has promised, with which incarnation.
    pub promises: BTreeMap<Node, Incarnation>,
    /// What those have accepted.
    pub accepted: BTreeMap<Node, Revision>,
    /// When it was left to one that has more.
    pub yielded: Option<Micros>,
    pub sent: Micros,
    pub forwards: Forwards,
}

/// A key that this node has taken. The slot's value is what the last copy makes of it.
#[derive(Clone, Debug)]
pub(crate) struct Owner<P: State> {
    pub epoch: Epoch,
    /// The last copy's number.
    pub sequence: u64,
    /// What more than half have; `None` until the key was written anew.
    pub committed: Option<(Revision, P)>,
    /// Who has which copy, with which incarnation.
    pub kept: BTreeMap<Node, (Incarnation, u64)>,
    /// The copy under way, one at a time.
    pub flight: Option<Flight<P>>,
    /// The question under way whether the epoch is still in force, one at a time.
    pub round: Option<Round<P::Change>>,
    pub rounds: u64,
    /// What the next question is for, with the queue at most `QUEUE`. A refusal waits for it too: an owner that was
    /// overtaken may not refuse what has become valid.
    pub asked: Vec<Asked<P::Change>>,
    pub forwards: Forwards,
}

/// A copy under way, and the calls answered with its commit.
#[derive(Clone, Debug)]
pub(crate) struct Flight<P: State> {
    pub sent: Micros,
    pub jobs: Vec<(Job<P::Change>, Outcome)>,
}

/// A question under way whether the epoch is still in force, who has confirmed it, and the calls that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct Round<C> {
    pub number: u64,
    pub sent: Micros,
    pub confirmed: Vec<Node>,
    pub jobs: Vec<Asked<C>>,
}

/// A job that waits for the question, and why it is refused if it is.
pub(crate) type Asked<C> = (Job<C>, Option<Rejection>);

/// What `State::apply` said.
pub(crate) type Outcome = Result<bool, Rejection>;

/// What waits for a write.
#[derive(Clone, Debug)]
pub(crate) enum After<P: State> {
    /// Under which version: of an older one it is not sent any more.
    Send(u64, Node, Message<P, P::Change>),
    Promised {
        key: String,
        epoch: Epoch,
    },
    Kept {
        key: String,
        epoch: Epoch,
        sequence: u64,
    },
    Voter(u64),
}

/// How far repair has come.
#[derive(Clone, Debug)]
pub(crate) struct Repair<P> {
    /// Who has answered, with which incarnation. At most one of each replica.
    pub replies: BTreeMap<Node, Incarnation>,
    /// The highest of all answers, and all who have the content. At most `KEYS`.
    pub keys: BTreeMap<String, (KeySummary, BTreeSet<Node>)>,
    /// Contents that are there. At most one of each key.
    pub values: BTreeMap<String, (Revision, P)>,
    pub vote: Vote,
    pub sent: Micros,
}

impl<P> Repair<P> {
    /// Nothing asked yet.
    pub(crate) fn new(now: Micros) -> Self {
        let (replies, keys, values) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Repair { replies, keys, values, vote: Vote::default(), sent: now }
    }

    /// Which revision of the key, or a later one, is still to be fetched.
    pub(crate) fn lacks(&self, key: &str) -> Option<Revision> {
        let still_needed = self.keys.get(key).map(|(held, _)| held.accepted)?;
        let has = self.values.get(key).map_or(Revision::default(), |(at, _)| *at);
        (has < still_needed).then_some(still_needed)
    }
}
