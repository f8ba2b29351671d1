//! The last changes of a key, for replicas that lack only these.
//!
//! The log is kept only in memory and is bounded: a replica that lacks more gets a snapshot. It is
//! independent of owners and messages.

use crate::limits::{CHANGE_LOG_ENTRY_OVERHEAD_BYTES, MAX_CHANGE_LOG_BYTES, MAX_TOTAL_CHANGE_LOG_BYTES};
use crate::types::Revision;
use std::collections::VecDeque;

/// Changes that lead from one revision to another: the content of an append.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRun<C> {
    pub(crate) base: Revision,
    pub(crate) revision: Revision,
    pub(crate) changes: Vec<C>,
    /// Whether further known changes follow.
    pub(crate) more: bool,
}

#[derive(Clone, Debug)]
struct Entry<C> {
    revision: Revision,
    changes: Vec<C>,
    bytes: usize,
}

/// The changes since `base`, append by append, of any owner. The oldest are dropped at the limits.
#[derive(Clone, Debug)]
pub(crate) struct ChangeLog<C> {
    /// The revision before the first entry.
    base: Revision,
    entries: VecDeque<Entry<C>>,
    bytes: usize,
}

impl<C: Clone + bitcode::Encode> ChangeLog<C> {
    /// An empty log.
    pub(crate) fn starting_at(base: Revision) -> Self {
        ChangeLog { base, entries: VecDeque::new(), bytes: 0 }
    }

    /// Adds an append, in a store of `key_count` keys.
    pub(crate) fn push(&mut self, revision: Revision, changes: Vec<C>, key_count: usize) {
        let encoded = changes.iter().map(|change| bitcode::encode(change).len());
        let bytes = CHANGE_LOG_ENTRY_OVERHEAD_BYTES + encoded.sum::<usize>();
        let limit = MAX_CHANGE_LOG_BYTES.min(MAX_TOTAL_CHANGE_LOG_BYTES / key_count.max(1));
        self.entries.push_back(Entry { revision, changes, bytes });
        self.bytes += bytes;
        while self.bytes > MAX_CHANGE_LOG_BYTES || (self.bytes > limit && self.entries.len() > 1) {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.bytes;
            self.base = oldest.revision;
        }
    }

    /// Whether the log contains everything after `revision`.
    pub(crate) fn covers(&self, revision: Revision) -> bool {
        self.index_after(revision).is_some()
    }

    /// The index of the first entry after `revision`.
    fn index_after(&self, revision: Revision) -> Option<usize> {
        if revision == self.base {
            return Some(0);
        }
        self.entries.binary_search_by_key(&revision, |entry| entry.revision).ok().map(|index| index + 1)
    }

    /// The changes that follow `base`, about `max_bytes` of them; `None` if they are not in the log, or there
    /// are none.
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

    /// The revision before the last append, if that append is in the log.
    pub(crate) fn base_of_last_append(&self) -> Option<Revision> {
        match self.entries.len() {
            0 => None,
            1 => Some(self.base),
            count => self.entries.get(count - 2).map(|entry| entry.revision),
        }
    }
}
