//! A control node's disk: writes complete in order; what was not reported as synced may be there after a crash or not.

use crate::content::Items;
use silvercross_control_store::{Metadata, StoredKey, StoredState};
use silvercross_test_rng::Rng;
use silvercross_time::Instant;
use std::collections::VecDeque;

/// One transaction that is not synced yet.
pub struct PendingWrite {
    /// Its number, rising.
    pub number: u64,
    /// Replaces the metadata there.
    pub metadata: Option<Metadata>,
    /// Replaces what is there under these keys.
    pub keys: Vec<StoredKey<Items>>,
}

/// What is on the disk, and what is on its way to it.
#[derive(Default)]
pub struct Storage {
    /// What a start finds.
    pub stored: StoredState<Items>,
    /// Whether it was formatted at some time: the node's first start is over.
    pub is_formatted: bool,
    /// Not synced yet, in order.
    pub pending: VecDeque<PendingWrite>,
    /// When the last of these will be synced.
    pub idle_at: Instant,
    /// It has no space: what is on its way to it stays so.
    pub is_full: bool,
}

impl Storage {
    fn persist(&mut self, write: PendingWrite) {
        if write.metadata.is_some() {
            self.stored.metadata = write.metadata;
            self.is_formatted = true;
        }
        for stored in write.keys {
            self.stored.keys.retain(|known| known.key != stored.key);
            self.stored.keys.push(stored);
        }
    }

    /// This write is synced, and all before it.
    pub fn sync_up_to(&mut self, number: u64) {
        while self.pending.front().is_some_and(|write| write.number <= number) {
            if let Some(write) = self.pending.pop_front() {
                self.persist(write);
            }
        }
    }

    /// The process ends: a drawn prefix of what was pending is kept. Without power each write is kept or lost by itself.
    pub fn interrupt(&mut self, power_lost: bool, rng: &mut Rng) {
        let pending = std::mem::take(&mut self.pending);
        let prefix = rng.index(pending.len() + 1);
        for (place, write) in pending.into_iter().enumerate() {
            let is_kept = if power_lost { rng.one_in(2) } else { place < prefix };
            if is_kept {
                self.persist(write);
            }
        }
        self.idle_at = Instant::ZERO;
    }

    /// All is lost.
    pub fn wipe(&mut self) {
        self.stored = StoredState::default();
        self.pending.clear();
    }
}
