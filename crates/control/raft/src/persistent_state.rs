//! What a replica's disk holds and the writes that change it (RP 5.1, figure 2: "persistent state"). It does not know who
//! writes or when. Go on reading at [`crate::log`].
use crate::log::{Entry, HardState, Index, Snapshot};
use std::collections::BTreeMap;

/// What a folder kept.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The entries behind it.
    pub entries: Vec<Entry>,
    /// The number of the last write.
    pub writes: u64,
}

impl PersistentState {
    /// As it is once a write is done.
    pub fn apply(&mut self, write: Write) {
        let Write { number, hard_state, snapshot, truncate_from, entries } = write;
        self.writes = number;
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        if let Some(truncate_from) = truncate_from {
            self.entries.truncate(truncate_from.saturating_sub(self.snapshot.index + 1) as usize);
        }
        if let Some(new) = snapshot {
            let gone = (new.index - self.snapshot.index.min(new.index)) as usize;
            self.entries.drain(..gone.min(self.entries.len()));
            self.snapshot = new;
        }
        for (index, entry) in entries {
            let at = index.saturating_sub(self.snapshot.index + 1) as usize;
            self.entries.truncate(at);
            self.entries.push(entry);
        }
    }
}

/// Something to make durable, all or nothing and in the order of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Counts a folder's writes, over all starts.
    pub number: u64,
    /// Term and vote.
    pub hard_state: Option<HardState>,
    /// A snapshot in place of what was before it, and of all entries up to it.
    pub snapshot: Option<Snapshot>,
    /// Entries from here on are dropped before the new ones are added.
    pub truncate_from: Option<Index>,
    /// New entries by place; each place once, the later word holds.
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
