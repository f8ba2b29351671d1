//! The queue of membership updates for gossip piggyback: each is sent a bounded number of times, the least sent first (SWIM, 4.1).
//! It must not know to whom a datagram goes; go on reading at `members/gossip.rs`.
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::limits::{MAX_QUEUED_UPDATES, RETRANSMIT_MULTIPLIER};
use crate::table::MemberRecord;
use serde::{Deserialize, Serialize};

/// A membership update, piggybacked on other messages (SWIM, 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipUpdate {
    /// A member's record, as it announces it.
    Alive(MemberRecord),
    /// Somebody got no answer from it.
    Suspect {
        /// Whom.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
        /// Who got none.
        by: Identity,
    },
    /// It did not refute in time (SWIM's confirm).
    Confirm {
        /// Who.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
        /// By whose clock.
        by: Identity,
    },
    /// It says that it leaves.
    Left {
        /// Who.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
    },
    /// An upstream drains.
    Drain(Drain),
}

impl MembershipUpdate {
    /// Whether this replaces an older update.
    fn replaces(&self, old: &MembershipUpdate) -> bool {
        match (self.about(), old.about()) {
            (Some(a), Some(b)) => a == b,
            (None, None) => {
                matches!((self, old), (MembershipUpdate::Drain(a), MembershipUpdate::Drain(b)) if a.host == b.host)
            }
            _ => false,
        }
    }

    /// Which member it is about.
    pub fn about(&self) -> Option<Identity> {
        match self {
            MembershipUpdate::Alive(record) => Some(record.id),
            MembershipUpdate::Suspect { id, .. }
            | MembershipUpdate::Confirm { id, .. }
            | MembershipUpdate::Left { id, .. } => Some(*id),
            MembershipUpdate::Drain(_) => None,
        }
    }
}

#[derive(Debug)]
struct QueuedUpdate {
    update: MembershipUpdate,
    sent_count: u32,
    bytes: usize,
}

/// The updates that are still sent.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    queued: Vec<QueuedUpdate>,
}

/// How often an update is sent in a fleet of so many members.
pub fn retransmit_limit(fleet: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (usize::BITS - fleet.max(1).leading_zeros())
}

impl UpdateQueue {
    /// Send this from now on, in place of what it replaces.
    pub fn add(&mut self, update: MembershipUpdate) {
        self.queued.retain(|h| !update.replaces(&h.update));
        if self.queued.len() >= MAX_QUEUED_UPDATES {
            let most = self.queued.iter().enumerate().max_by_key(|(_, h)| h.sent_count).map(|(i, _)| i);
            most.into_iter().for_each(|i| drop(self.queued.swap_remove(i)));
        }
        let bytes = postcard::to_stdvec(&update).map_or(usize::MAX, |b| b.len());
        self.queued.push(QueuedUpdate { update, sent_count: 0, bytes });
    }

    /// Drop all updates about a member.
    pub fn drop_about(&mut self, id: Identity) {
        self.queued.retain(|h| h.update.about() != Some(id));
    }

    /// Whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// The least sent ones that fit into so many bytes; each counts as sent once more. `first` goes first if it is there.
    pub fn take(&mut self, mut room: usize, fleet: usize, first: Option<Identity>) -> Vec<MembershipUpdate> {
        if self.queued.is_empty() {
            return Vec::new();
        }
        self.queued.sort_by_key(|h| (first.is_none() || h.update.about() != first, h.sent_count));
        let mut taken = Vec::new();
        for h in &mut self.queued {
            if h.bytes <= room {
                room -= h.bytes;
                h.sent_count += 1;
                taken.push(h.update.clone());
            }
        }
        let most = retransmit_limit(fleet);
        self.queued.retain(|h| h.sent_count < most);
        taken
    }
}

#[cfg(test)]
mod tests;
