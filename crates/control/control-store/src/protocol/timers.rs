//! Timers of keys: claims of keys without an owner, resends, and the heartbeat.

use crate::key_slot::{KeySlot, Ownership};
use crate::limits::{HEARTBEAT_INTERVAL, OWNER_SILENCE_TIMEOUT, RESEND_INTERVAL};
use crate::message::Message;
use crate::store::ControlStore;
use crate::types::{Incarnation, KeyPosition, Node};
use crate::value::State;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// Whether no later incarnation of the node's disk is known.
fn is_latest(known: &BTreeMap<Node, Incarnation>, node: Node, incarnation: Incarnation) -> bool {
    known.get(&node).is_none_or(|known| incarnation >= *known)
}

impl<V: State> ControlStore<V> {
    /// When the key's next timer expires.
    pub(crate) fn key_deadline(&self, key: &str, slot: &KeySlot<V>) -> Option<Instant> {
        match &slot.ownership {
            Ownership::Replica if !slot.queue.is_empty() => Some(slot.claim_not_before),
            Ownership::Replica => Some(match slot.ownerless_since {
                Some(since) => (since + self.claim_delay(key)).max(slot.claim_not_before),
                None => slot.owner_last_heard + OWNER_SILENCE_TIMEOUT,
            }),
            Ownership::Claiming(claim) => Some(claim.last_sent + RESEND_INTERVAL),
            Ownership::Owner(owner) => {
                let append = owner.in_flight.as_ref().map(|append| append.last_sent + RESEND_INTERVAL);
                let confirmation = owner.confirmation.as_ref().map(|c| c.last_sent + RESEND_INTERVAL);
                let heartbeat = self.last_heartbeat + HEARTBEAT_INTERVAL;
                append.into_iter().chain(confirmation).chain([heartbeat]).min()
            }
        }
    }

    /// Runs the expired timers of keys, and sends the heartbeat.
    pub(crate) fn tick_keys(&mut self, now: Instant) {
        let is_due = |(key, slot): &(&String, &KeySlot<V>)| {
            let owner_changed =
                slot.is_replica() && slot.ownerless_since.is_some() == self.has_lasting_owner(now, key);
            owner_changed || self.key_deadline(key, slot).is_some_and(|deadline| deadline <= now)
        };
        let due: Vec<String> = self.keys.iter().filter(is_due).map(|(key, _)| key.clone()).collect();
        for key in due {
            self.tick_key(now, &key);
        }
        if now >= self.last_heartbeat + HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            self.drop_idle_snapshots(now);
            self.send_heartbeat();
        }
    }

    fn send_heartbeat(&mut self) {
        let owned = self.owned_keys().into_iter();
        let keys: Vec<KeyPosition> = owned
            .map(|owned| KeyPosition {
                key: owned.key,
                epoch: owned.epoch,
                sequence: owned.revision.sequence,
            })
            .collect();
        if !keys.is_empty() {
            self.broadcast(&Message::Heartbeat { keys });
        }
    }

    /// Runs the timers of one key.
    fn tick_key(&mut self, now: Instant, key: &str) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        slot.queue.retain(|call| now < call.deadline);
        match &slot.ownership {
            Ownership::Replica => self.tick_replica(now, key),
            Ownership::Claiming(_) => self.tick_claim(now, key),
            Ownership::Owner(_) => self.tick_owner(now, key),
        }
    }

    /// Claims a key that has waiting calls or has been without an owner for long enough.
    fn tick_replica(&mut self, now: Instant, key: &str) {
        let has_owner = self.has_lasting_owner(now, key);
        let delay = self.claim_delay(key);
        let Some(slot) = self.keys.get_mut(key) else { return };
        if has_owner {
            slot.ownerless_since = None;
        } else {
            slot.ownerless_since.get_or_insert(now);
        }
        if !slot.queue.is_empty() || slot.ownerless_since.is_some_and(|since| now >= since + delay) {
            self.claim(now, key);
        }
    }

    /// Sends the claim again to replicas that have not promised.
    fn tick_claim(&mut self, now: Instant, key: &str) {
        let mut missing = self.reachable_replicas();
        let ControlStore { node, keys, incarnations, .. } = self;
        let Some(claim) = keys.get_mut(key).and_then(|slot| slot.claim_mut()) else { return };
        if now < claim.last_sent + RESEND_INTERVAL {
            return;
        }
        claim.last_sent = now;
        let epoch = claim.epoch;
        if !claim.promises.contains_key(node) {
            return;
        }
        let has_promised =
            |node: &Node| claim.promises.get(node).is_some_and(|with| is_latest(incarnations, *node, *with));
        missing.retain(|node| !has_promised(node));
        for to in missing {
            self.send(to, Message::Claim { key: key.to_owned(), epoch });
        }
        self.try_take_ownership(now, key);
    }

    /// Sends the append and the confirmation in flight again to replicas that have not answered.
    fn tick_owner(&mut self, now: Instant, key: &str) {
        let others = self.reachable_replicas();
        let ControlStore { keys, incarnations, .. } = self;
        let Some(owner) = keys.get_mut(key).and_then(|slot| slot.owner_mut()) else { return };
        let mut appends = Vec::new();
        let mut confirmations = Vec::new();
        if let Some(append) = owner.in_flight.as_mut().filter(|a| now >= a.last_sent + RESEND_INTERVAL) {
            append.last_sent = now;
            let sequence = owner.sequence;
            let has = |node: &Node| {
                let confirmed = owner.confirmed.get(node);
                confirmed
                    .is_some_and(|c| c.sequence >= sequence && is_latest(incarnations, *node, c.incarnation))
            };
            appends.extend(others.iter().copied().filter(|node| !has(node)));
        }
        let confirmation = owner.confirmation.as_mut();
        if let Some(confirmation) = confirmation.filter(|c| now >= c.last_sent + RESEND_INTERVAL) {
            confirmation.last_sent = now;
            confirmation.calls.retain(|waiting| now < waiting.call.deadline);
            let missing = others.iter().copied().filter(|node| !confirmation.confirmed.contains(node));
            confirmations.extend(missing);
        }
        let (epoch, round) = (owner.epoch, owner.confirmation_rounds);
        owner.unconfirmed.retain(|waiting| now < waiting.call.deadline);
        for to in appends {
            self.send_last_append(now, to, key);
        }
        for to in confirmations {
            self.send(to, Message::ConfirmEpoch { key: key.to_owned(), epoch, round });
        }
    }
}
