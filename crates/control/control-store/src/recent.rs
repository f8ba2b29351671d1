//! The last changes of a key, for replicas that lack only these.

use crate::Revision;
use std::collections::VecDeque;

/// Bytes of changes remembered at most of one key, as they are encoded. A copy that is larger alone is not remembered: who lacks
/// it gets the content whole.
pub const RECENT: usize = 1 << 20;
/// Of all keys together; each has an even part, and its last copy whatever that part.
const RECENT_ALL: usize = 16 << 20;
/// What a copy counts for besides its changes.
const ENTRY: usize = 64;

#[derive(Clone, Debug)]
struct Entry<C> {
    to: Revision,
    changes: Vec<C>,
    bytes: usize,
}

/// What changed from `base` until now, copy by copy, under whichever owners; the oldest are forgotten at the bounds.
#[derive(Clone, Debug)]
pub(crate) struct Recent<C> {
    /// The revision before the first one remembered.
    base: Revision,
    entries: VecDeque<Entry<C>>,
    bytes: usize,
}

/// A copy for one that is behind: the revision it comes to, the changes, and whether there are more.
pub(crate) type Since<C> = (Revision, Vec<C>, bool);

impl<C: Clone + bitcode::Encode> Recent<C> {
    /// Nothing is known of what was before.
    pub(crate) fn begin(base: Revision) -> Self {
        Recent { base, entries: VecDeque::new(), bytes: 0 }
    }

    /// The next copy, where there are so many keys.
    pub(crate) fn push(&mut self, to: Revision, changes: Vec<C>, keys: usize) {
        let bytes = ENTRY + changes.iter().map(|c| bitcode::encode(c).len()).sum::<usize>();
        let part = RECENT.min(RECENT_ALL / keys.max(1));
        self.entries.push_back(Entry { to, changes, bytes });
        self.bytes += bytes;
        while self.bytes > RECENT || (self.bytes > part && self.entries.len() > 1) {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.bytes;
            self.base = oldest.to;
        }
    }

    /// Whether one who has `have` lacks only what is remembered.
    pub(crate) fn reaches(&self, have: Revision) -> bool {
        self.place(have).is_some()
    }

    /// Where the changes after `have` begin.
    fn place(&self, have: Revision) -> Option<usize> {
        if have == self.base {
            return Some(0);
        }
        self.entries.binary_search_by_key(&have, |entry| entry.to).ok().map(|at| at + 1)
    }

    /// What one who has `have` lacks, about `most` bytes of it; `None` if that is not known.
    pub(crate) fn since(&self, have: Revision, most: usize) -> Option<Since<C>> {
        let at = self.place(have)?;
        let (mut changes, mut bytes, mut end) = (Vec::new(), 0, at);
        for entry in self.entries.iter().skip(at) {
            if end > at && bytes + entry.bytes > most {
                break;
            }
            bytes += entry.bytes;
            changes.extend(entry.changes.iter().cloned());
            end += 1;
        }
        let to = self.entries.get(end.checked_sub(1)?)?.to;
        (end > at).then_some((to, changes, end < self.entries.len()))
    }

    /// The revision before the last copy, if that copy is remembered.
    pub(crate) fn before_last(&self) -> Option<Revision> {
        match self.entries.len() {
            0 => None,
            1 => Some(self.base),
            n => self.entries.get(n - 2).map(|entry| entry.to),
        }
    }
}
