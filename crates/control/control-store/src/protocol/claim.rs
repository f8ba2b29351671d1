//! Claims: how this node takes ownership of a key, delegates a claim to a node with a later value, and
//! releases ownership.

use crate::call::{Caller, QueuedCall};
use crate::key_slot::{Claim, Owner, Ownership};
use crate::limits::{
    CLAIM_BACKOFF_JITTER, CLAIM_STAGGER, MIN_CLAIM_BACKOFF, OWNER_SILENCE_TIMEOUT, RESEND_INTERVAL,
};
use crate::message::{ForwardReply, Message};
use crate::mutation::Mutation;
use crate::store::ControlStore;
use crate::types::{node_incarnations, Epoch, Incarnation, Node, NodeIncarnation, Revision};
use crate::value::State;
use crate::write_queue::AfterWrite;
use silvercross_time::{Duration, Instant};

impl<V: State> ControlStore<V> {
    /// Claims the key. The epoch is durable here before it is sent to anyone, so that it is not used again
    /// after a restart.
    pub(crate) fn claim(&mut self, now: Instant, key: &str) {
        if !self.can_claim() {
            return;
        }
        let owner = self.node.0;
        let Some(slot) = self.keys.get_mut(key) else { return };
        if !slot.is_replica() || now < slot.claim_not_before {
            return;
        }
        let previous = slot.highest_epoch;
        let epoch = Epoch { round: previous.max(slot.promised).round.saturating_add(1), owner };
        slot.promised = epoch;
        slot.highest_epoch = epoch;
        slot.ownerless_since = None;
        slot.ownership = Ownership::Claiming(Claim::new(now, epoch, previous));
        self.metrics.claims += 1;
        self.persist_key(key);
        self.after_write(now, AfterWrite::OwnPromise { key: key.to_owned(), epoch });
    }

    /// The claim is durable here: sends it to the other replicas.
    pub(crate) fn on_own_promise(&mut self, now: Instant, key: String, epoch: Epoch) {
        let (node, incarnation) = (self.node, self.incarnation);
        let Some(claim) = self.claim_with_epoch(&key, epoch) else { return };
        claim.promises.insert(node, incarnation);
        claim.last_sent = now;
        self.broadcast(&Message::Claim { key: key.clone(), epoch });
        self.try_take_ownership(now, &key);
    }

    /// A replica has promised the claimed epoch.
    pub(crate) fn on_promise(
        &mut self,
        now: Instant,
        from: Node,
        incarnation: Incarnation,
        key: String,
        epoch: Epoch,
        accepted: Revision,
    ) {
        if !self.check_incarnation(from, incarnation) {
            return;
        }
        let Some(claim) = self.claim_with_epoch(&key, epoch) else { return };
        claim.promises.insert(from, incarnation);
        claim.accepted.insert(from, accepted);
        self.try_take_ownership(now, &key);
    }

    /// This node's claim of the key, if it has this epoch.
    fn claim_with_epoch(&mut self, key: &str, epoch: Epoch) -> Option<&mut Claim> {
        self.keys.get_mut(key)?.claim_mut().filter(|claim| claim.epoch == epoch)
    }

    /// Once a quorum has promised: takes ownership if no reachable replica among them has a later value, else
    /// delegates the claim to the one with the latest. The promise of an unreachable replica counts only if
    /// its value is not later than the one here.
    pub(crate) fn try_take_ownership(&mut self, now: Instant, key: &str) {
        let Some(slot) = self.keys.get(key) else { return };
        let Ownership::Claiming(claim) = &slot.ownership else { return };
        let ignores_later = self.has_mutation(Mutation::ClaimsWithOlderValue);
        let has_later_value = |node: Node| {
            claim.accepted.get(&node).is_some_and(|accepted| *accepted > slot.accepted) && !ignores_later
        };
        let counts = |a: &NodeIncarnation| !has_later_value(a.node) || self.reachable.contains(&a.node);
        let has_quorum = self.has_mutation(Mutation::ClaimsWithoutQuorum)
            || self.have_quorum(node_incarnations(&claim.promises).filter(counts));
        if !has_quorum || !claim.promises.contains_key(&self.node) {
            return;
        }
        let later =
            claim.accepted.iter().filter(|(n, _)| has_later_value(**n) && self.reachable.contains(*n));
        if let Some(to) = later.max_by_key(|(_, accepted)| **accepted).map(|(node, _)| *node) {
            return self.delegate_claim(now, to, key);
        }
        self.take_ownership(now, key);
    }

    /// Takes ownership: rewrites the value under the claimed epoch.
    fn take_ownership(&mut self, now: Instant, key: &str) {
        let key_count = self.keys.len();
        let Some(slot) = self.keys.get_mut(key) else { return };
        let Ownership::Claiming(claim) = std::mem::replace(&mut slot.ownership, Ownership::Replica) else {
            return;
        };
        let owner = Owner::new(now, claim.epoch, claim.forwards);
        let (epoch, sequence) = (owner.epoch, owner.sequence);
        slot.accepted = owner.last_revision();
        slot.change_log.push(slot.accepted, Vec::new(), key_count);
        slot.ownership = Ownership::Owner(Box::new(owner));
        self.replicate_last_append(now, key, epoch, sequence);
    }

    /// Checks the open claims again after a link was lost: a claim delegated to the unreachable
    /// replica may succeed without it.
    pub(crate) fn retry_claims(&mut self, now: Instant) {
        for key in self.keys_matching(|slot| matches!(slot.ownership, Ownership::Claiming(_))) {
            self.try_take_ownership(now, &key);
        }
    }

    /// Asks a replica with a later value to claim the key instead, at most once per resend interval.
    fn delegate_claim(&mut self, now: Instant, to: Node, key: &str) {
        let Some(claim) = self.keys.get_mut(key).and_then(|slot| slot.claim_mut()) else { return };
        if claim.delegated_at.is_none_or(|at| now >= at + RESEND_INTERVAL) {
            claim.delegated_at = Some(now);
            let epoch = claim.epoch;
            self.metrics.claims_delegated += 1;
            self.send(to, Message::ClaimRequest { key: key.to_owned(), epoch });
        }
    }

    /// Another node's claim was delegated to this one, whose value is later.
    pub(crate) fn on_claim_request(&mut self, now: Instant, key: String, epoch: Epoch) {
        let Some(slot) = self.keys.get_mut(&key) else { return };
        if slot.is_replica() && slot.promised == epoch {
            slot.claim_not_before = now;
            self.claim(now, &key);
        }
    }

    /// Claims the key under another epoch as its owner. Calls that were read or forwarded under the present one
    /// come too late from now on; those in the queue stay there until the claim is decided.
    pub(crate) fn renew_epoch(&mut self, now: Instant, key: &str) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        let ownership = std::mem::replace(&mut slot.ownership, Ownership::Replica);
        if let Ownership::Owner(owner) = ownership {
            let queue = std::mem::take(&mut slot.queue);
            slot.queue = owner.into_calls().into_iter().chain(queue).collect();
        }
        slot.claim_not_before = now;
        self.claim(now, key);
    }

    /// Gives up ownership or the claim of a key. Local calls are routed again, those forwarded by other nodes
    /// are returned to them.
    pub(crate) fn step_down(&mut self, now: Instant, key: &str) {
        let jitter = (self.random() % CLAIM_BACKOFF_JITTER.as_micros() as u64) as i64;
        let Some(slot) = self.keys.get_mut(key) else { return };
        let ownership = std::mem::replace(&mut slot.ownership, Ownership::Replica);
        let mut calls: Vec<QueuedCall<V::Change>> = std::mem::take(&mut slot.queue).into();
        slot.claim_not_before = now + MIN_CLAIM_BACKOFF + Duration::from_micros(jitter);
        slot.owner_last_heard = now;
        slot.ownerless_since = None;
        let highest_epoch = slot.highest_epoch;
        self.metrics.stepped_down += 1;
        if let Ownership::Owner(owner) = ownership {
            calls.extend(owner.into_calls());
        }
        for call in calls {
            match call.caller {
                Caller::Local(id) => self.route(now, id),
                Caller::Remote { node, id, epoch } => {
                    let reply = ForwardReply::NotOwner(highest_epoch);
                    self.send(node, Message::ForwardReply { id, epoch, reply });
                }
            }
        }
    }

    /// Gives up all owned and claimed keys because the disk has no space, and notifies the other replicas.
    pub(crate) fn release_all_keys(&mut self, now: Instant) {
        let mut releases = Vec::new();
        let mut given_up = Vec::new();
        for (key, slot) in &mut self.keys {
            match &slot.ownership {
                Ownership::Owner(owner) => {
                    releases.push(Message::OwnershipReleased { key: key.clone(), epoch: owner.epoch });
                }
                Ownership::Claiming(claim) if claim.promises.contains_key(&self.node) => {
                    releases.push(Message::OwnershipReleased { key: key.clone(), epoch: claim.epoch });
                }
                // The claim is not durable and was never sent, so its epoch must not be made known.
                Ownership::Claiming(claim) => slot.highest_epoch = claim.previous_epoch,
                Ownership::Replica if slot.queue.is_empty() => continue,
                Ownership::Replica => {}
            }
            given_up.push(key.clone());
        }
        // Sent before the calls are routed again, so that the nodes that receive those can claim at once.
        for release in releases {
            self.broadcast(&release);
        }
        for key in given_up {
            self.step_down(now, &key);
        }
    }

    /// The key's owner has released it: the first other node in claim order claims it at once, each further
    /// one a stagger interval later.
    pub(crate) fn on_ownership_released(&mut self, now: Instant, from: Node, key: String, epoch: Epoch) {
        let order = self.claim_order(&key);
        let rank = order.into_iter().filter(|node| *node != from).position(|node| node == self.node);
        let deadline = now + CLAIM_STAGGER * rank.unwrap_or(0) as i64;
        let since = deadline - self.claim_delay(&key);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        if epoch.owner != from.0 || slot.highest_epoch != epoch {
            return;
        }
        slot.owner_last_heard = now - OWNER_SILENCE_TIMEOUT;
        slot.ownerless_since = Some(since);
    }
}
