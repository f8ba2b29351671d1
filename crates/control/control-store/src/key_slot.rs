//! The state of one key in a control store: its value, and this node's role in its ownership.

use crate::call::{QueuedCall, RecentForwards, UncommittedCall, UnconfirmedCall};
use crate::change_log::ChangeLog;
use crate::types::{Epoch, Incarnation, Node, Revision};
use crate::value::State;
use silvercross_time::Instant;
use std::collections::{BTreeMap, VecDeque};

/// A key at this node. `promised`, `accepted` and `value` are as of the last issued write: messages that
/// depend on them wait for that write.
#[derive(Clone, Debug)]
pub(crate) struct KeySlot<V: State> {
    pub(crate) promised: Epoch,
    pub(crate) accepted: Revision,
    pub(crate) value: V,
    /// When the value was last changed here, or the same change was made again: not by a new owner that repeats it.
    pub(crate) changed_at: Instant,
    /// The changes that led to the value.
    pub(crate) change_log: ChangeLog<V::Change>,
    /// The highest known epoch.
    pub(crate) highest_epoch: Epoch,
    /// When its owner was last heard from.
    pub(crate) owner_last_heard: Instant,
    /// Since when the key has had no reachable owner.
    pub(crate) ownerless_since: Option<Instant>,
    /// No claim before this time, after one was lost.
    pub(crate) claim_not_before: Instant,
    pub(crate) ownership: Ownership<V>,
    /// Calls that wait for this node to own the key, or for the append in flight. At most `MAX_QUEUED_CALLS`.
    pub(crate) queue: VecDeque<QueuedCall<V::Change>>,
}

impl<V: State> KeySlot<V> {
    /// A key without a value.
    pub(crate) fn new(now: Instant) -> KeySlot<V> {
        KeySlot {
            promised: Epoch::default(),
            accepted: Revision::default(),
            value: V::default(),
            changed_at: now,
            change_log: ChangeLog::starting_at(Revision::default()),
            highest_epoch: Epoch::default(),
            owner_last_heard: now,
            ownerless_since: Some(now),
            claim_not_before: now,
            ownership: Ownership::Replica,
            queue: VecDeque::new(),
        }
    }

    /// Replaces value and promise. The changes that led to the value are not known.
    pub(crate) fn replace(&mut self, now: Instant, promised: Epoch, accepted: Revision, value: V) {
        self.promised = promised;
        self.accepted = accepted;
        self.value = value;
        self.changed_at = now;
        self.change_log = ChangeLog::starting_at(accepted);
    }

    /// This node's ownership of the key, if it owns it.
    pub(crate) fn owner(&self) -> Option<&Owner<V>> {
        match &self.ownership {
            Ownership::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// Mutable access to that ownership.
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

    /// Whether this node neither owns nor claims the key.
    pub(crate) fn is_replica(&self) -> bool {
        matches!(self.ownership, Ownership::Replica)
    }
}

/// This node's role for a key.
#[derive(Clone, Debug)]
pub(crate) enum Ownership<V: State> {
    /// Accepts the owner's appends.
    Replica,
    /// Claims the key.
    Claiming(Claim),
    /// Owns the key.
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
    /// The highest known epoch before this claim.
    pub(crate) previous_epoch: Epoch,
    /// The replicas that have promised, with their incarnations.
    pub(crate) promises: BTreeMap<Node, Incarnation>,
    /// The revisions that they had accepted.
    pub(crate) accepted: BTreeMap<Node, Revision>,
    /// When a replica with a later value was last asked to claim the key instead.
    pub(crate) delegated_at: Option<Instant>,
    pub(crate) last_sent: Instant,
    pub(crate) forwards: RecentForwards,
}

impl Claim {
    /// A claim without promises.
    pub(crate) fn new(now: Instant, epoch: Epoch, previous_epoch: Epoch) -> Claim {
        Claim {
            epoch,
            previous_epoch,
            promises: BTreeMap::new(),
            accepted: BTreeMap::new(),
            delegated_at: None,
            last_sent: now,
            forwards: RecentForwards::default(),
        }
    }
}

/// A value that a quorum has.
#[derive(Clone, Debug)]
pub(crate) struct CommittedValue<V> {
    pub(crate) revision: Revision,
    pub(crate) value: V,
}

/// The last append that a replica has confirmed, and its incarnation then. Ordered by incarnation first: only
/// what was confirmed with the latest disk counts, even if it is less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConfirmedAppend {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
}

/// An ownership of this node. The slot's value includes the last append.
#[derive(Clone, Debug)]
pub(crate) struct Owner<V: State> {
    pub(crate) epoch: Epoch,
    /// The number of the last append.
    pub(crate) sequence: u64,
    /// `None` until a quorum has the value under this epoch.
    pub(crate) committed: Option<CommittedValue<V>>,
    /// The last append confirmed by each replica.
    pub(crate) confirmed: BTreeMap<Node, ConfirmedAppend>,
    /// The append in flight, one at a time.
    pub(crate) in_flight: Option<InFlightAppend<V>>,
    /// The confirmation of the epoch in progress, one at a time.
    pub(crate) confirmation: Option<EpochConfirmation<V::Change>>,
    pub(crate) confirmation_rounds: u64,
    /// Calls for the next confirmation; together with the queue at most `MAX_QUEUED_CALLS`. Rejections wait
    /// for it too: a superseded owner must not reject what has become valid.
    pub(crate) unconfirmed: Vec<UnconfirmedCall<V::Change>>,
    pub(crate) forwards: RecentForwards,
}

impl<V: State> Owner<V> {
    /// A new ownership. Its first append, which rewrites the value under the new epoch, is in flight.
    pub(crate) fn new(now: Instant, epoch: Epoch, forwards: RecentForwards) -> Owner<V> {
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

    /// The revision of the last append.
    pub(crate) fn last_revision(&self) -> Revision {
        Revision { epoch: self.epoch, sequence: self.sequence }
    }

    /// All calls that wait at this ownership, to be routed again.
    pub(crate) fn into_calls(self) -> Vec<QueuedCall<V::Change>> {
        let in_flight =
            self.in_flight.into_iter().flat_map(|append| append.calls).map(|waiting| waiting.call);
        let confirming = self.confirmation.into_iter().flat_map(|confirmation| confirmation.calls);
        let unconfirmed = confirming.chain(self.unconfirmed).map(|waiting| waiting.call);
        in_flight.chain(unconfirmed).collect()
    }
}

/// An append in flight, and the calls to answer when it is committed.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAppend<V: State> {
    pub(crate) last_sent: Instant,
    pub(crate) calls: Vec<UncommittedCall<V::Change>>,
}

/// A confirmation that the epoch is still in force: the nodes that confirmed it, and the calls that wait for
/// it (as with Raft's ReadIndex).
#[derive(Clone, Debug)]
pub(crate) struct EpochConfirmation<C> {
    pub(crate) round: u64,
    pub(crate) last_sent: Instant,
    pub(crate) confirmed: Vec<Node>,
    pub(crate) calls: Vec<UnconfirmedCall<C>>,
}
