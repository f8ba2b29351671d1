//! Disk writes: what is written, what waits for it, and what is withheld while the disk has no space.
//!
//! The invariant: nothing is sent to another node, or counted as this node's own answer, before the state it
//! depends on is durable.

use crate::effect::Effect;
use crate::limits::MAX_WRITES_IN_FLIGHT;
use crate::message::Message;
use crate::mutation::Mutation;
use crate::store::{ControlStore, Phase};
use crate::stored::{Metadata, StoredKey};
use crate::types::Node;
use crate::value::State;
use crate::write_queue::{AfterWrite, WriteInFlight};
use silvercross_time::Instant;

impl<V: State> ControlStore<V> {
    /// Returns the pending effects. To be called after every other call; [`ControlStore::write_completed`]
    /// may allow the next write.
    pub fn take_effects(&mut self) -> Vec<Effect<V>> {
        if self.has_unwritten() && self.writes_in_flight.len() < MAX_WRITES_IN_FLIGHT {
            self.last_write += 1;
            let write = self.last_write;
            let metadata = std::mem::take(&mut self.has_unwritten_metadata).then(|| self.metadata());
            let unwritten = std::mem::take(&mut self.unwritten_keys);
            let keys = unwritten.into_iter().filter_map(|key| self.stored_key(key)).collect();
            self.effects.push(Effect::Store { write, metadata, keys });
            let actions = std::mem::take(&mut self.after_next_write);
            self.writes_in_flight.push_back(WriteInFlight { write, actions });
        }
        std::mem::take(&mut self.effects)
    }

    /// This write and all earlier ones are durable.
    pub fn write_completed(&mut self, now: Instant, write: u64) {
        while self.writes_in_flight.front().is_some_and(|in_flight| in_flight.write <= write) {
            if let Some(done) = self.writes_in_flight.pop_front() {
                for action in done.actions {
                    self.run_after_write(now, action);
                }
            }
        }
    }

    /// Reports whether the disk has space; initially it has. Without space, nothing that depends on a write
    /// is sent, nothing is claimed, and owned keys are released; what needs no write continues. Writes in
    /// flight stay in flight.
    pub fn set_disk_has_space(&mut self, now: Instant, has_space: bool) {
        if self.disk_has_space == has_space {
            return;
        }
        self.disk_has_space = has_space;
        if has_space {
            self.reroute_calls(now);
            self.tick(now);
            return;
        }
        self.metrics.disk_full += 1;
        if !self.has_mutation(Mutation::ConfirmsFailedWrites) {
            self.withhold_replies();
        }
        self.release_all_keys(now);
    }

    /// Drops the messages that wait for writes: the nodes that expect them ask again.
    fn withhold_replies(&mut self) {
        let in_flight = self.writes_in_flight.iter_mut().map(|in_flight| &mut in_flight.actions);
        for actions in in_flight.chain([&mut self.after_next_write]) {
            let before = actions.len();
            actions.retain(|action| !matches!(action, AfterWrite::Send { .. }));
            self.metrics.replies_withheld += (before - actions.len()) as u64;
        }
    }

    /// Whether the disk has space, as last reported.
    pub fn disk_has_space(&self) -> bool {
        self.disk_has_space
    }

    /// Whether this node may claim keys: it is a voter and its disk has space.
    pub(crate) fn can_claim(&self) -> bool {
        self.is_voter() && self.disk_has_space
    }

    /// Includes the key in the next write.
    pub(crate) fn persist_key(&mut self, key: &str) {
        self.unwritten_keys.insert(key.to_owned());
    }

    /// Includes the metadata in the next write.
    pub(crate) fn persist_metadata(&mut self) {
        self.has_unwritten_metadata = true;
    }

    fn has_unwritten(&self) -> bool {
        self.has_unwritten_metadata || !self.unwritten_keys.is_empty()
    }

    /// Discards everything that is not yet part of a write in flight.
    pub(crate) fn discard_unwritten(&mut self) {
        self.unwritten_keys.clear();
        self.has_unwritten_metadata = false;
    }

    /// Sends a message once all pending writes are durable, if the replica set is still the same.
    pub(crate) fn send_after_write(&mut self, now: Instant, to: Node, message: Message<V, V::Change>) {
        let version = self.replica_set.version;
        self.after_write(now, AfterWrite::Send { version, to, message });
    }

    /// Runs an action once all pending writes are durable. While the disk has no space, a message that would
    /// have to wait is withheld: the node that expects it asks again.
    pub(crate) fn after_write(&mut self, now: Instant, action: AfterWrite<V>) {
        let must_wait = self.has_unwritten() || !self.writes_in_flight.is_empty();
        if must_wait && !self.disk_has_space && matches!(action, AfterWrite::Send { .. }) {
            if self.has_mutation(Mutation::ConfirmsFailedWrites) {
                return self.run_after_write(now, action);
            }
            self.metrics.replies_withheld += 1;
        } else if self.has_unwritten() {
            self.after_next_write.push(action);
        } else if let Some(last) = self.writes_in_flight.back_mut() {
            last.actions.push(action);
        } else {
            self.run_after_write(now, action);
        }
    }

    /// Runs an action that waited for a write.
    fn run_after_write(&mut self, now: Instant, action: AfterWrite<V>) {
        match action {
            AfterWrite::Send { version, .. } if version != self.replica_set.version => {}
            AfterWrite::Send { to, message, .. } if to == self.node => self.handle(now, to, message),
            AfterWrite::Send { to, message, .. } => self.send(to, message),
            AfterWrite::OwnPromise { key, epoch } => self.on_own_promise(now, key, epoch),
            AfterWrite::OwnAppend { key, epoch, sequence } => {
                self.on_appended(now, self.node, self.incarnation, key, epoch, sequence);
            }
            AfterWrite::Vote { version } if version != self.replica_set.version => {}
            AfterWrite::Vote { .. } => {
                self.phase = Phase::Voter;
                self.reroute_calls(now);
                self.tick(now);
            }
        }
    }

    fn metadata(&self) -> Metadata {
        Metadata {
            replica_set: self.replica_set.clone(),
            vote: self.vote.clone(),
            incarnation: self.incarnation,
            incarnations: self.incarnations().others,
        }
    }

    fn stored_key(&self, key: String) -> Option<StoredKey<V>> {
        let slot = self.keys.get(&key)?;
        let (promised, accepted, value) = (slot.promised, slot.accepted, slot.value.clone());
        Some(StoredKey { key, promised, accepted, value })
    }
}
