//! Who is known to own a key, and how long this node waits before it claims a key without an owner.

use crate::call::ForwardTarget;
use crate::limits::{CLAIM_STAGGER, OWNER_SILENCE_TIMEOUT};
use crate::store::ControlStore;
use crate::types::{Epoch, Node};
use crate::value::State;
use silvercross_time::{Duration, Instant};

impl<V: State> ControlStore<V> {
    /// The key's owner, if it is another node that is reachable and was heard from recently.
    pub(crate) fn known_owner(&self, now: Instant, key: &str) -> Option<ForwardTarget> {
        let slot = self.keys.get(key)?;
        let epoch = slot.highest_epoch;
        let node = Node(epoch.owner);
        // A node outside the replica set owns nothing, even if the highest known epoch is still its own.
        let is_owned = epoch != Epoch::default() && node != self.node && self.replica_set.contains(node);
        let is_heard = self.reachable.contains(&node) && now < slot.owner_last_heard + OWNER_SILENCE_TIMEOUT;
        (is_owned && is_heard).then_some(ForwardTarget { node, epoch })
    }

    /// Whether the key's owner is stopping and this node is not, so that this node may claim it without
    /// waiting for the owner to become unreachable.
    fn may_take_over(&self, key: &str) -> bool {
        let is_stopping = |node| self.stopping.contains_key(&node);
        let epoch = self.keys.get(key).map(|slot| slot.highest_epoch).unwrap_or_default();
        epoch != Epoch::default() && is_stopping(Node(epoch.owner)) && !is_stopping(self.node)
    }

    /// Whether another node owns the key and this one must not take over from it.
    pub(crate) fn has_lasting_owner(&self, now: Instant, key: &str) -> bool {
        self.known_owner(now, key).is_some() && !self.may_take_over(key)
    }

    /// How long a key has to be without an owner before this node claims it. Grows with this node's position
    /// in the claim order.
    pub(crate) fn claim_delay(&self, key: &str) -> Duration {
        let rank = self.claim_order(key).iter().position(|node| *node == self.node).unwrap_or(0);
        CLAIM_STAGGER * (rank as i64 + i64::from(!self.may_take_over(key)))
    }
}
