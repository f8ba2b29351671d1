//! The last changes of an owner, for replicas that lack only these.

use crate::{Epoch, Revision};
use std::collections::VecDeque;

/// Bytes of changes remembered at most of one key, as they are encoded. A copy that is larger alone is not remembered: who lacks
/// it gets the content whole.
pub const RECENT: usize = 1 << 20;
/// Of all keys together; each has an even part, and its last copy whatever that part.
const RECENT_ALL: usize = 16 << 20;
/// What a copy counts for besides its changes.
const ENTRY: usize = 64;

struct Entry<C> {
    changes: Vec<C>,
    bytes: usize,
}

/// What changed from `base` until now, copy by copy; the oldest are forgotten at the bounds.
pub(crate) struct Recent<C> {
    epoch: Epoch,
    /// The revision before the first one remembered.
    base: Revision,
    entries: VecDeque<Entry<C>>,
    bytes: usize,
}

/// A copy for one that is behind: the number it comes to, the changes, and whether there are more.
pub(crate) type Since<C> = (u64, Vec<C>, bool);

impl<C: Clone> Recent<C> {
    /// An ownership begins: number 1 is what stood at `base`, unchanged.
    pub(crate) fn begin(epoch: Epoch, base: Revision) -> Self {
        let first = Entry { changes: Vec::new(), bytes: ENTRY };
        Recent { epoch, base, entries: VecDeque::from([first]), bytes: ENTRY }
    }

    /// The copy `seq`, the one after the last, where there are so many keys.
    pub(crate) fn push(&mut self, seq: u64, changes: Vec<C>, bytes: usize, keys: usize) {
        let bytes = bytes + ENTRY;
        let part = RECENT.min(RECENT_ALL / keys.max(1));
        self.entries.push_back(Entry { changes, bytes });
        self.bytes += bytes;
        while self.bytes > RECENT || (self.bytes > part && self.entries.len() > 1) {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.bytes;
            self.base = Revision { epoch: self.epoch, seq: seq - self.entries.len() as u64 };
        }
    }

    /// Whether one who has `have` lacks only what is remembered.
    pub(crate) fn reaches(&self, have: Revision) -> bool {
        self.place(have).is_some()
    }

    fn first(&self) -> u64 {
        if self.base.epoch == self.epoch {
            self.base.seq + 1
        } else {
            1
        }
    }

    /// Where the changes after `have` begin.
    fn place(&self, have: Revision) -> Option<usize> {
        if have == self.base {
            return Some(0);
        }
        let at = (have.seq + 1).checked_sub(self.first())? as usize;
        (have.epoch == self.epoch && at <= self.entries.len()).then_some(at)
    }

    /// What one who has `have` lacks, about `most` bytes of it; `None` if that is no longer known.
    pub(crate) fn since(&self, have: Revision, most: usize) -> Option<Since<C>> {
        let at = self.place(have).filter(|at| *at < self.entries.len())?;
        let (mut changes, mut bytes, mut end) = (Vec::new(), 0, at);
        for entry in self.entries.iter().skip(at) {
            if end > at && bytes + entry.bytes > most {
                break;
            }
            bytes += entry.bytes;
            changes.extend(entry.changes.iter().cloned());
            end += 1;
        }
        Some((self.first() + end as u64 - 1, changes, end < self.entries.len()))
    }

    /// The revision before the last copy, if that copy is remembered.
    pub(crate) fn before_last(&self) -> Option<Revision> {
        match self.entries.len() {
            0 => None,
            1 => Some(self.base),
            n => Some(Revision { epoch: self.epoch, seq: self.first() + n as u64 - 2 }),
        }
    }
}
