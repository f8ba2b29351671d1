//! The persistent state of a replica (RP 5.1, figure 2) and the writes that change it. The caller performs the writes.
//! See [`crate::log`] for the entries.
use crate::log::{Entry, HardState, Index, Snapshot};
use std::collections::BTreeMap;

/// The content of a replica's storage.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The number of the last write.
    pub writes: u64,
}

impl PersistentState {
    /// Applies a write.
    pub fn apply(&mut self, write: Write) {
        let Write { number, hard_state, snapshot, truncate_from, entries } = write;
        self.writes = number;
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        if let Some(truncate_from) = truncate_from {
            self.entries.truncate(truncate_from.saturating_sub(self.snapshot.index + 1) as usize);
        }
        if let Some(new) = snapshot {
            let compacted = (new.index - self.snapshot.index.min(new.index)) as usize;
            self.entries.drain(..compacted.min(self.entries.len()));
            self.snapshot = new;
        }
        for (index, entry) in entries {
            let position = index.saturating_sub(self.snapshot.index + 1) as usize;
            self.entries.truncate(position);
            self.entries.push(entry);
        }
    }
}

/// A change of the persistent state, to be made durable atomically and in the order of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// The number of the write, counted over the lifetime of the storage, across restarts.
    pub number: u64,
    /// Term and vote.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the one before it and all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are removed before the new ones are added.
    pub truncate_from: Option<Index>,
    /// New entries by index; a later entry at the same index replaces the earlier one.
    pub entries: BTreeMap<Index, Entry>,
}

impl Write {
    pub(crate) fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
    }
}
