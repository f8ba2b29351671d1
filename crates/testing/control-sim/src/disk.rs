//! A control machine's disk: writes complete in order; what was not told to be synced may be there after a crash or not.

use crate::dice::Dice;
use crate::items::Items;
use silvercross_control_store::{Metadata, StoredKey, StoredState};
use std::collections::VecDeque;

/// One transaction that is under way.
pub struct Write {
    /// Its number.
    pub number: u64,
    /// What is put in place of the metadata there.
    pub metadata: Option<Metadata>,
    /// What is put in place of what is there under these keys.
    pub keys: Vec<StoredKey<Items>>,
}

/// What is on the disk, and what is on its way to it.
#[derive(Default)]
pub struct Storage {
    /// What a start finds.
    pub disk: StoredState<Items>,
    /// Whether it was formatted at some time: the machine's first start is over.
    pub formatted: bool,
    /// Not synced yet, in order.
    pub pending: VecDeque<Write>,
    /// When the last of these is.
    pub free: i64,
    /// It has no room: what is on its way to it stays so.
    pub full: bool,
}

impl Storage {
    fn persist(&mut self, write: Write) {
        if write.metadata.is_some() {
            self.disk.metadata = write.metadata;
            self.formatted = true;
        }
        for stored in write.keys {
            self.disk.keys.retain(|known| known.key != stored.key);
            self.disk.keys.push(stored);
        }
    }

    /// This write is synced, and all before it.
    pub fn synced(&mut self, number: u64) {
        while self.pending.front().is_some_and(|write| write.number <= number) {
            if let Some(write) = self.pending.pop_front() {
                self.persist(write);
            }
        }
    }

    /// The process ends: some of what was under way, in order, is kept. Without power each is kept or lost by itself.
    pub fn interrupted(&mut self, power: bool, dice: &mut Dice) {
        let pending = std::mem::take(&mut self.pending);
        let prefix = dice.index(pending.len() + 1);
        for (place, write) in pending.into_iter().enumerate() {
            let kept = if power { dice.one_in(2) } else { place < prefix };
            if kept {
                self.persist(write);
            }
        }
        self.free = 0;
    }

    /// All is lost.
    pub fn wiped(&mut self) {
        self.disk = StoredState::default();
        self.pending.clear();
    }
}
