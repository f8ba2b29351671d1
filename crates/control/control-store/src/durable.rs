//! Writes to disk: what is to be written, what waits for it, and what is left out while the disk has no room.

use crate::limits::WRITES;
use crate::message::{Effect, Metadata, StoredKey};
use crate::mutation::Mutation;
use crate::state::{After, Phase};
use crate::store::ControlStore;
use crate::{Micros, State};

impl<P: State> ControlStore<P> {
    /// Takes what is to be done. To be called after every other call; `stored` may make room for the next write.
    pub fn take_effects(&mut self) -> Vec<Effect<P>> {
        if self.unwritten() && self.writes.len() < WRITES {
            self.write += 1;
            let metadata = std::mem::take(&mut self.dirty_metadata).then(|| self.metadata());
            let keys =
                std::mem::take(&mut self.dirty).into_iter().filter_map(|key| self.stored_key(&key)).collect();
            self.effects.push(Effect::Store { write: self.write, metadata, keys });
            self.writes.push_back((self.write, std::mem::take(&mut self.after)));
        }
        std::mem::take(&mut self.effects)
    }

    /// This write and all before it are durable.
    pub fn write_completed(&mut self, now: Micros, write: u64) {
        while self.writes.front().is_some_and(|w| w.0 <= write) {
            if let Some((_, after)) = self.writes.pop_front() {
                for one in after {
                    self.run(now, one);
                }
            }
        }
    }

    /// Whether the disk takes writes; until told otherwise it does. Without room nothing is said that rests on a write,
    /// nothing is claimed, and what this node owns goes to others; what rests on no write goes on. Writes under way
    /// stay so.
    pub fn set_disk_has_space(&mut self, now: Micros, room: bool) {
        if self.room == room {
            return;
        }
        self.room = room;
        if room {
            self.reroute(now);
            self.tick(now);
            return;
        }
        self.figures.no_room += 1;
        if !self.is(Mutation::ConfirmsFailedWrites) {
            let all = self.writes.iter_mut().map(|(_, after)| after).chain([&mut self.after]);
            for after in all {
                let waited = after.len();
                after.retain(|one| !matches!(one, After::Send(..)));
                self.figures.unsaid += (waited - after.len()) as u64;
            }
        }
        self.resign(now);
    }

    /// Whether the disk takes writes, as far as was told.
    pub fn disk_has_space(&self) -> bool {
        self.room
    }

    /// Whether it may claim: it is a voter and its disk takes writes.
    pub(crate) fn able(&self) -> bool {
        self.is_voter() && self.room
    }

    /// The key goes into the next write.
    pub(crate) fn write_key(&mut self, key: &str) {
        self.dirty.insert(key.to_owned());
    }

    /// The metadata goes into the next write.
    pub(crate) fn write_metadata(&mut self) {
        self.dirty_metadata = true;
    }

    /// Whether anything is to go into the next write.
    fn unwritten(&self) -> bool {
        self.dirty_metadata || !self.dirty.is_empty()
    }

    /// Nothing that is not yet under way is written any more.
    pub(crate) fn forget_writes(&mut self) {
        self.dirty.clear();
        self.dirty_metadata = false;
    }

    /// Does it once all that was to be written until now is durable. While the disk has no room a message that would
    /// wait for that is left unsaid: who asked asks again.
    pub(crate) fn later(&mut self, now: Micros, one: After<P>) {
        let waits = self.unwritten() || !self.writes.is_empty();
        if waits && !self.room && matches!(one, After::Send(..)) {
            if self.is(Mutation::ConfirmsFailedWrites) {
                return self.run(now, one);
            }
            self.figures.unsaid += 1;
        } else if self.unwritten() {
            self.after.push(one);
        } else if let Some((_, after)) = self.writes.back_mut() {
            after.push(one);
        } else {
            self.run(now, one);
        }
    }

    /// Does what waited for a write.
    fn run(&mut self, now: Micros, one: After<P>) {
        match one {
            After::Send(version, ..) if version != self.replica_set.version => {}
            After::Send(_, to, message) if to == self.me => self.heed(now, to, message),
            After::Send(_, to, message) => self.send(to, message),
            After::Promised { key, epoch } => self.own_promise(now, key, epoch),
            After::Kept { key, epoch, sequence } => {
                self.on_kept(now, self.me, key, epoch, sequence, self.incarnation)
            }
            After::Voter(version) if version != self.replica_set.version => {}
            After::Voter(_) => {
                self.phase = Phase::Voter;
                self.reroute(now);
                self.tick(now);
            }
        }
    }

    /// The metadata as it is to be written.
    pub(crate) fn metadata(&self) -> Metadata {
        Metadata {
            replica_set: self.replica_set.clone(),
            vote: self.vote.clone(),
            incarnation: self.incarnation,
            incarnations: self.incarnations().others,
        }
    }

    /// The key as it is to be written.
    pub(crate) fn stored_key(&self, key: &str) -> Option<StoredKey<P>> {
        let slot = self.keys.get(key)?;
        let (promised, accepted, value) = (slot.promised, slot.accepted, slot.value.clone());
        Some(StoredKey { key: key.to_owned(), promised, accepted, value })
    }
}
