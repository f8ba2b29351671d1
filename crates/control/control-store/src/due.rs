//! What is due for each key: when an ownerless key is claimed, what is sent again, and the heartbeat.

use crate::limits::{CALM, OWNERLESS, RESEND, SILENT};
use crate::message::{Incarnation, Message};
use crate::state::{Ownership, Slot};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, State};
use std::collections::BTreeMap;

impl<P: State> ControlStore<P> {
    /// Who owns the key as far as is known, if it is another that can be reached and was heard of late.
    pub(crate) fn known_owner(&self, now: Micros, key: &str) -> Option<(Node, Epoch)> {
        let slot = self.keys.get(key)?;
        let owner = Node(slot.seen.owner);
        // Who is no replica any more owns nothing, whatever is still said of it.
        let owned = slot.seen != Epoch::default() && owner != self.me && self.replica_set.contains(owner);
        (owned && self.up.contains(&owner) && now < slot.heard + SILENT).then_some((owner, slot.seen))
    }

    /// Whether the key's owner has said that it stops, and this node does not: it may claim at once.
    fn handed_on(&self, key: &str) -> bool {
        let leaves = |node| self.leavers.contains_key(&node);
        let seen = self.keys.get(key).map(|slot| slot.seen).unwrap_or_default();
        seen != Epoch::default() && leaves(Node(seen.owner)) && !leaves(self.me)
    }

    /// Whether another owns the key and does not hand it on.
    fn owned(&self, now: Micros, key: &str) -> bool {
        self.known_owner(now, key).is_some() && !self.handed_on(key)
    }

    /// How long a key is to be ownerless before this node claims it: longer for each that comes before it.
    pub(crate) fn patience(&self, key: &str) -> Micros {
        let place = self.order(key).iter().position(|n| *n == self.me).unwrap_or(0);
        OWNERLESS * (place as Micros + Micros::from(!self.handed_on(key)))
    }

    /// When something is due for the key.
    pub(crate) fn due(&self, key: &str, slot: &Slot<P>) -> Option<Micros> {
        match &slot.ownership {
            Ownership::Replica if !slot.queue.is_empty() => Some(slot.not_before),
            Ownership::Replica => Some(match slot.ownerless {
                Some(since) => (since + self.patience(key)).max(slot.not_before),
                None => slot.heard + SILENT,
            }),
            Ownership::Claiming(claim) => Some(claim.sent + RESEND),
            Ownership::Owner(owner) => {
                let flight = owner.flight.as_ref().map(|f| f.sent + RESEND);
                let round = owner.round.as_ref().map(|r| r.sent + RESEND);
                flight.into_iter().chain(round).chain([self.calm + CALM]).min()
            }
        }
    }

    /// Does what is due for keys, and sends the heartbeat.
    pub(crate) fn tick_keys(&mut self, now: Micros) {
        let due: Vec<String> = self
            .keys
            .iter()
            .filter(|(key, slot)| {
                let gone = matches!(slot.ownership, Ownership::Replica)
                    && slot.ownerless.is_some() == self.owned(now, key);
                gone || self.due(key, slot).is_some_and(|at| at <= now)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.tick_key(now, &key);
        }
        if now >= self.calm + CALM {
            self.calm = now;
            self.forget_served(now);
            let keys: Vec<(String, Epoch, u64)> =
                self.owned_keys().into_iter().map(|(key, epoch, at)| (key, epoch, at.sequence)).collect();
            if !keys.is_empty() {
                for to in self.others() {
                    self.send(to, Message::Heartbeat { keys: keys.clone() });
                }
            }
        }
    }

    /// Does what is due for one key.
    fn tick_key(&mut self, now: Micros, key: &str) {
        let Some(slot) = self.keys.get_mut(key) else { return };
        slot.queue.retain(|job| now < job.until);
        match &slot.ownership {
            Ownership::Replica => self.tick_replica(now, key),
            Ownership::Claiming(_) => self.tick_claim(now, key),
            Ownership::Owner(_) => self.tick_owner(now, key),
        }
    }

    /// Claims a key for which calls wait, or which was without an owner for long enough.
    fn tick_replica(&mut self, now: Micros, key: &str) {
        let known = self.owned(now, key);
        let patience = self.patience(key);
        let Some(slot) = self.keys.get_mut(key) else { return };
        if known {
            slot.ownerless = None;
        } else {
            slot.ownerless.get_or_insert(now);
        }
        if !slot.queue.is_empty() || slot.ownerless.is_some_and(|since| now >= since + patience) {
            self.claim(now, key);
        }
    }

    /// Asks those again that have not promised.
    fn tick_claim(&mut self, now: Micros, key: &str) {
        let mut missing = self.others();
        let ControlStore { me, keys, incarnations, .. } = self;
        let Some(Ownership::Claiming(claim)) = keys.get_mut(key).map(|slot| &mut slot.ownership) else {
            return;
        };
        if now < claim.sent + RESEND {
            return;
        }
        claim.sent = now;
        let epoch = claim.epoch;
        if !claim.promises.contains_key(me) {
            return;
        }
        missing.retain(|n| !claim.promises.get(n).is_some_and(|with| latest(incarnations, n, with)));
        for to in missing {
            self.send(to, Message::Claim { key: key.to_owned(), epoch });
        }
        self.take(now, key);
    }

    /// Sends the copy and the question under way again to those that have not answered.
    fn tick_owner(&mut self, now: Micros, key: &str) {
        let others = self.others();
        let ControlStore { keys, incarnations, .. } = self;
        let Some(Ownership::Owner(owner)) = keys.get_mut(key).map(|slot| &mut slot.ownership) else {
            return;
        };
        let mut copies = Vec::new();
        let mut asks = Vec::new();
        if let Some(flight) = owner.flight.as_mut().filter(|f| now >= f.sent + RESEND) {
            flight.sent = now;
            let sequence = owner.sequence;
            let has = |n: &Node| {
                owner.kept.get(n).is_some_and(|k| k.1 >= sequence && latest(incarnations, n, &k.0))
            };
            copies.extend(others.iter().copied().filter(|n| !has(n)));
        }
        if let Some(round) = owner.round.as_mut().filter(|r| now >= r.sent + RESEND) {
            round.sent = now;
            round.jobs.retain(|(job, _)| now < job.until);
            asks.extend(others.iter().copied().filter(|n| !round.confirmed.contains(n)));
        }
        let (epoch, round) = (owner.epoch, owner.rounds);
        owner.asked.retain(|(job, _)| now < job.until);
        for to in copies {
            self.send_last(now, to, key);
        }
        for to in asks {
            self.send(to, Message::ConfirmEpoch { key: key.to_owned(), epoch, round });
        }
    }
}

/// Whether no later incarnation of the node's disk is known than this one.
fn latest(incarnations: &BTreeMap<Node, Incarnation>, node: &Node, with: &Incarnation) -> bool {
    incarnations.get(node).is_none_or(|known| with >= known)
}
