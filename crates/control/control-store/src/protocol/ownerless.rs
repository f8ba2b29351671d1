//! Who owns a key as far as is known, and how long this node waits before it claims one that nobody owns.

use crate::call::ForwardTarget;
use crate::limits::{CLAIM_STAGGER, OWNER_SILENCE_TIMEOUT};
use crate::store::ControlStore;
use crate::types::{Epoch, Node};
use crate::value::State;
use silvercross_time::{Duration, Instant};

impl<V: State> ControlStore<V> {
    /// Who owns the key as far as is known, if it is another that can be reached and was heard of late.
    pub(crate) fn known_owner(&self, now: Instant, key: &str) -> Option<ForwardTarget> {
        let slot = self.keys.get(key)?;
        let epoch = slot.highest_epoch;
        let node = Node(epoch.owner);
        // Who is no replica any more owns nothing, whatever is still said of it.
        let is_owned = epoch != Epoch::default() && node != self.node && self.replica_set.contains(node);
        let is_heard = self.reachable.contains(&node) && now < slot.owner_heard + OWNER_SILENCE_TIMEOUT;
        (is_owned && is_heard).then_some(ForwardTarget { node, epoch })
    }

    /// Whether the key's owner has said that it stops, and this node does not: it may claim at once.
    fn takes_over(&self, key: &str) -> bool {
        let stops = |node| self.stopping.contains_key(&node);
        let epoch = self.keys.get(key).map(|slot| slot.highest_epoch).unwrap_or_default();
        epoch != Epoch::default() && stops(Node(epoch.owner)) && !stops(self.node)
    }

    /// Whether another owns the key and does not stop.
    pub(crate) fn has_lasting_owner(&self, now: Instant, key: &str) -> bool {
        self.known_owner(now, key).is_some() && !self.takes_over(key)
    }

    /// How long a key is to be ownerless before this node claims it: longer for each that comes before it in claim order.
    pub(crate) fn claim_delay(&self, key: &str) -> Duration {
        let rank = self.claim_order(key).iter().position(|node| *node == self.node).unwrap_or(0);
        CLAIM_STAGGER * (rank as i64 + i64::from(!self.takes_over(key)))
    }
}
