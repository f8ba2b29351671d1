//! The queue of membership updates for infection-style dissemination: each update is piggybacked a bounded number of times, the
//! least sent first (SWIM, 4.1). Recipients are selected in `members/gossip.rs`.
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::limits::{MAX_QUEUED_UPDATES, RETRANSMIT_MULTIPLIER};
use crate::table::MemberRecord;
use serde::{Deserialize, Serialize};

/// A membership update, piggybacked on other messages (SWIM, 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipUpdate {
    /// A member is alive, with its record.
    Alive(MemberRecord),
    /// A member did not answer a probe.
    Suspect {
        /// The suspected member.
        id: Identity,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The member that suspects it.
        by: Identity,
    },
    /// A member did not refute a suspicion in time (SWIM's confirm).
    Confirm {
        /// The failed member.
        id: Identity,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The member whose suspicion timed out.
        by: Identity,
    },
    /// A member announced that it leaves.
    Left {
        /// The leaving member.
        id: Identity,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An upstream is draining.
    Drain(Drain),
}

impl MembershipUpdate {
    /// Whether this update supersedes a queued one: both are about the same member, or the same upstream.
    fn replaces(&self, old: &MembershipUpdate) -> bool {
        match (self.about(), old.about()) {
            (Some(a), Some(b)) => a == b,
            (None, None) => {
                matches!((self, old), (MembershipUpdate::Drain(a), MembershipUpdate::Drain(b)) if a.host == b.host)
            }
            _ => false,
        }
    }

    /// The member that the update is about.
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

/// Updates that have not reached their transmission limit.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    queued: Vec<QueuedUpdate>,
}

/// Number of transmissions of an update in a fleet of `fleet` members.
pub fn retransmit_limit(fleet: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (usize::BITS - fleet.max(1).leading_zeros())
}

impl UpdateQueue {
    /// Queues an update in place of those that it supersedes.
    pub fn add(&mut self, update: MembershipUpdate) {
        self.queued.retain(|q| !update.replaces(&q.update));
        if self.queued.len() >= MAX_QUEUED_UPDATES {
            let most_sent = self.queued.iter().enumerate().max_by_key(|(_, q)| q.sent_count).map(|(i, _)| i);
            most_sent.into_iter().for_each(|i| drop(self.queued.swap_remove(i)));
        }
        let bytes = postcard::to_stdvec(&update).map_or(usize::MAX, |b| b.len());
        self.queued.push(QueuedUpdate { update, sent_count: 0, bytes });
    }

    /// Removes all updates about a member.
    pub fn drop_about(&mut self, id: Identity) {
        self.queued.retain(|q| q.update.about() != Some(id));
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the least sent updates that fit into `room` bytes and counts each as sent. Updates about `first` take precedence.
    pub fn take(&mut self, mut room: usize, fleet: usize, first: Option<Identity>) -> Vec<MembershipUpdate> {
        if self.queued.is_empty() {
            return Vec::new();
        }
        self.queued.sort_by_key(|q| (first.is_none() || q.update.about() != first, q.sent_count));
        let mut taken = Vec::new();
        for q in &mut self.queued {
            if q.bytes <= room {
                room -= q.bytes;
                q.sent_count += 1;
                taken.push(q.update.clone());
            }
        }
        let limit = retransmit_limit(fleet);
        self.queued.retain(|q| q.sent_count < limit);
        taken
    }
}

#[cfg(test)]
mod tests;
