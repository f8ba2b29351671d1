//! The last changes of a key, for replicas that lack only these.
//!
//! The log is in memory alone and bounded: who lacks more gets a snapshot. It knows nothing of owners or messages.

use crate::limits::{CHANGE_LOG_ENTRY_BYTES, MAX_ALL_CHANGE_LOGS_BYTES, MAX_CHANGE_LOG_BYTES};
use crate::types::Revision;
use std::collections::VecDeque;

/// Changes that lead from one revision to another: what an append brings.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRun<C> {
    pub(crate) base: Revision,
    pub(crate) revision: Revision,
    pub(crate) changes: Vec<C>,
    /// Whether others follow that are known already.
    pub(crate) more: bool,
}

#[derive(Clone, Debug)]
struct Entry<C> {
    revision: Revision,
    changes: Vec<C>,
    bytes: usize,
}

/// What changed from `base` until now, append by append, under whichever owners; the oldest are forgotten at the bounds.
#[derive(Clone, Debug)]
pub(crate) struct ChangeLog<C> {
    /// The revision before the first one remembered.
    base: Revision,
    entries: VecDeque<Entry<C>>,
    bytes: usize,
}

impl<C: Clone + bitcode::Encode> ChangeLog<C> {
    /// Nothing is known of what was before.
    pub(crate) fn starting_at(base: Revision) -> Self {
        ChangeLog { base, entries: VecDeque::new(), bytes: 0 }
    }

    /// The next append, in a store of `key_count` keys.
    pub(crate) fn push(&mut self, revision: Revision, changes: Vec<C>, key_count: usize) {
        let encoded = changes.iter().map(|change| bitcode::encode(change).len());
        let bytes = CHANGE_LOG_ENTRY_BYTES + encoded.sum::<usize>();
        let share = MAX_CHANGE_LOG_BYTES.min(MAX_ALL_CHANGE_LOGS_BYTES / key_count.max(1));
        self.entries.push_back(Entry { revision, changes, bytes });
        self.bytes += bytes;
        while self.bytes > MAX_CHANGE_LOG_BYTES || (self.bytes > share && self.entries.len() > 1) {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.bytes;
            self.base = oldest.revision;
        }
    }

    /// Whether one who has `revision` lacks only what is remembered.
    pub(crate) fn covers(&self, revision: Revision) -> bool {
        self.index_after(revision).is_some()
    }

    /// Where the changes after `revision` begin.
    fn index_after(&self, revision: Revision) -> Option<usize> {
        if revision == self.base {
            return Some(0);
        }
        self.entries.binary_search_by_key(&revision, |entry| entry.revision).ok().map(|index| index + 1)
    }

    /// What one who has `base` lacks, about `max_bytes` of it; `None` if that is not known, or it lacks nothing.
    pub(crate) fn since(&self, base: Revision, max_bytes: usize) -> Option<ChangeRun<C>> {
        let first = self.index_after(base)?;
        let (mut changes, mut bytes, mut end) = (Vec::new(), 0, first);
        for entry in self.entries.iter().skip(first) {
            if end > first && bytes + entry.bytes > max_bytes {
                break;
            }
            bytes += entry.bytes;
            changes.extend(entry.changes.iter().cloned());
            end += 1;
        }
        let revision = self.entries.get(end.checked_sub(1)?)?.revision;
        let more = end < self.entries.len();
        (end > first).then_some(ChangeRun { base, revision, changes, more })
    }

    /// The revision before the last append, if that append is remembered.
    pub(crate) fn before_last(&self) -> Option<Revision> {
        match self.entries.len() {
            0 => None,
            1 => Some(self.base),
            count => self.entries.get(count - 2).map(|entry| entry.revision),
        }
    }
}
