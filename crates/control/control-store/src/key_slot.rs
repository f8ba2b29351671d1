//! What a control store knows of one key: the value, and this node's part in its ownership.

use crate::call::{QueuedCall, RememberedForwards, UncommittedCall, UnconfirmedCall};
use crate::change_log::ChangeLog;
use crate::types::{Epoch, Incarnation, Node, Revision};
use crate::value::State;
use silvercross_time::Instant;
use std::collections::{BTreeMap, VecDeque};

/// A key here. `promised`, `accepted` and `value` are as the last write that was issued leaves them: what says others
/// of them waits for that write.
#[derive(Clone, Debug)]
pub(crate) struct KeySlot<V: State> {
    pub(crate) promised: Epoch,
    pub(crate) accepted: Revision,
    pub(crate) value: V,
    /// How the value came from earlier ones.
    pub(crate) change_log: ChangeLog<V::Change>,
    /// The highest epoch heard of.
    pub(crate) highest_epoch: Epoch,
    /// When its owner was heard last.
    pub(crate) owner_heard: Instant,
    /// Since when nobody reachable owns it.
    pub(crate) ownerless_since: Option<Instant>,
    /// No claim before this, after a lost one.
    pub(crate) claim_not_before: Instant,
    pub(crate) ownership: Ownership<V>,
    /// Calls that wait for this node to own the key, or for the append in flight. At most `MAX_QUEUED_CALLS`.
    pub(crate) queue: VecDeque<QueuedCall<V::Change>>,
}

impl<V: State> KeySlot<V> {
    /// A key of which nothing is known.
    pub(crate) fn new(now: Instant) -> KeySlot<V> {
        KeySlot {
            promised: Epoch::default(),
            accepted: Revision::default(),
            value: V::default(),
            change_log: ChangeLog::starting_at(Revision::default()),
            highest_epoch: Epoch::default(),
            owner_heard: now,
            ownerless_since: Some(now),
            claim_not_before: now,
            ownership: Ownership::Replica,
            queue: VecDeque::new(),
        }
    }

    /// Puts a value with its promise in the place of what is here; how it came about is not known.
    pub(crate) fn replace(&mut self, promised: Epoch, accepted: Revision, value: V) {
        self.promised = promised;
        self.accepted = accepted;
        self.value = value;
        self.change_log = ChangeLog::starting_at(accepted);
    }

    /// This node's ownership of the key, if it owns it.
    pub(crate) fn owner(&self) -> Option<&Owner<V>> {
        match &self.ownership {
            Ownership::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// The same, to be changed.
    pub(crate) fn owner_mut(&mut self) -> Option<&mut Owner<V>> {
        match &mut self.ownership {
            Ownership::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// This node's claim of the key, if it claims it.
    pub(crate) fn claim_mut(&mut self) -> Option<&mut Claim> {
        match &mut self.ownership {
            Ownership::Claiming(claim) => Some(claim),
            _ => None,
        }
    }

    /// Whether this node neither owns nor claims it.
    pub(crate) fn is_replica(&self) -> bool {
        matches!(self.ownership, Ownership::Replica)
    }
}

/// What this node is to a key.
#[derive(Clone, Debug)]
pub(crate) enum Ownership<V: State> {
    /// It accepts what the owner appends.
    Replica,
    /// It wants to own it.
    Claiming(Claim),
    /// It owns it.
    Owner(Box<Owner<V>>),
}

impl<V: State> Ownership<V> {
    /// The epoch under which this node owns or claims the key.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        match self {
            Ownership::Replica => None,
            Ownership::Claiming(claim) => Some(claim.epoch),
            Ownership::Owner(owner) => Some(owner.epoch),
        }
    }
}

/// A claim in progress.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) epoch: Epoch,
    /// The highest epoch heard of before.
    pub(crate) previous_epoch: Epoch,
    /// Who has promised, with which incarnation.
    pub(crate) promises: BTreeMap<Node, Incarnation>,
    /// What those have accepted.
    pub(crate) accepted: BTreeMap<Node, Revision>,
    /// When a node with a later value was last asked to claim in this one's place.
    pub(crate) delegated: Option<Instant>,
    pub(crate) last_sent: Instant,
    pub(crate) forwards: RememberedForwards,
}

impl Claim {
    /// One that nobody has promised yet.
    pub(crate) fn new(now: Instant, epoch: Epoch, previous_epoch: Epoch) -> Claim {
        Claim {
            epoch,
            previous_epoch,
            promises: BTreeMap::new(),
            accepted: BTreeMap::new(),
            delegated: None,
            last_sent: now,
            forwards: RememberedForwards::default(),
        }
    }
}

/// A value that a quorum has.
#[derive(Clone, Debug)]
pub(crate) struct CommittedValue<V> {
    pub(crate) revision: Revision,
    pub(crate) value: V,
}

/// The last append that a replica has confirmed, with which incarnation. Ordered by incarnation first: what was confirmed
/// with a later disk counts, however little it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConfirmedAppend {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
}

/// An ownership of this node. The slot's value is what the last append makes of it.
#[derive(Clone, Debug)]
pub(crate) struct Owner<V: State> {
    pub(crate) epoch: Epoch,
    /// The last append's number.
    pub(crate) sequence: u64,
    /// `None` until a quorum has the value under this epoch.
    pub(crate) committed: Option<CommittedValue<V>>,
    /// Who has which append.
    pub(crate) confirmed: BTreeMap<Node, ConfirmedAppend>,
    /// The append in flight, one at a time.
    pub(crate) in_flight: Option<InFlightAppend<V>>,
    /// The confirmation of the epoch in progress, one at a time.
    pub(crate) confirmation: Option<EpochConfirmation<V::Change>>,
    pub(crate) confirmation_rounds: u64,
    /// What the next confirmation is for, with the queue at most `MAX_QUEUED_CALLS`. A rejection waits for it too: an owner
    /// that was overtaken may not reject what has become valid.
    pub(crate) unconfirmed: Vec<UnconfirmedCall<V::Change>>,
    pub(crate) forwards: RememberedForwards,
}

impl<V: State> Owner<V> {
    /// A new ownership with its first append in flight, which rewrites the value under the new epoch.
    pub(crate) fn new(now: Instant, epoch: Epoch, forwards: RememberedForwards) -> Owner<V> {
        Owner {
            epoch,
            sequence: 1,
            committed: None,
            confirmed: BTreeMap::new(),
            in_flight: Some(InFlightAppend { last_sent: now, calls: Vec::new() }),
            confirmation: None,
            confirmation_rounds: 0,
            unconfirmed: Vec::new(),
            forwards,
        }
    }

    /// Where the last append leads.
    pub(crate) fn last_revision(&self) -> Revision {
        Revision { epoch: self.epoch, sequence: self.sequence }
    }

    /// All calls that wait for it, to be routed anew.
    pub(crate) fn into_calls(self) -> Vec<QueuedCall<V::Change>> {
        let in_flight =
            self.in_flight.into_iter().flat_map(|append| append.calls).map(|waiting| waiting.call);
        let confirming = self.confirmation.into_iter().flat_map(|confirmation| confirmation.calls);
        let unconfirmed = confirming.chain(self.unconfirmed).map(|waiting| waiting.call);
        in_flight.chain(unconfirmed).collect()
    }
}

/// An append in flight, and the calls answered with its commit.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAppend<V: State> {
    pub(crate) last_sent: Instant,
    pub(crate) calls: Vec<UncommittedCall<V::Change>>,
}

/// The question whether the epoch is still in force, who has confirmed it, and the calls that wait for it (as with Raft's
/// ReadIndex).
#[derive(Clone, Debug)]
pub(crate) struct EpochConfirmation<C> {
    pub(crate) round: u64,
    pub(crate) last_sent: Instant,
    pub(crate) confirmed: Vec<Node>,
    pub(crate) calls: Vec<UnconfirmedCall<C>>,
}
