//! The ids that are here, and those that were begun here and may not run again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::{Micros, IDS_MOST, IDS_SPAN};

/// Ids known here.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// How many with each id wait or are out, and whether one of them may run once; bounded by these.
    here: BTreeMap<Arc<str>, (u32, bool)>,
    /// When each that may run once and was begun here ended. Together with those here at most [`IDS_MOST`] as long
    /// as [`Seen::room`] is asked before one comes in.
    ended: BTreeMap<Arc<str>, Micros>,
    by_time: BTreeSet<(Micros, Arc<str>)>,
}

impl Seen {
    /// Whether the id is here or was begun here, and may run once by the word of the one or the other.
    pub(crate) fn knows(&self, id: &str, repeatable: bool) -> bool {
        self.here.get(id).is_some_and(|&(_, once)| once || !repeatable) || self.ended.contains_key(id)
    }

    /// Whether one more can be remembered beside the `here` that wait or are out.
    pub(crate) fn room(&self, here: usize) -> bool {
        self.ended.len() + here < IDS_MOST
    }

    /// When the oldest will be forgotten.
    pub(crate) fn forgets_at(&self) -> Option<Micros> {
        self.by_time.first().map(|(t, _)| t.saturating_add(IDS_SPAN))
    }

    /// One comes in.
    pub(crate) fn enter(&mut self, id: &str, repeatable: bool) -> Arc<str> {
        let id: Arc<str> = id.into();
        let here = self.here.entry(id.clone()).or_insert((0, false));
        *here = (here.0 + 1, !repeatable || here.1);
        id
    }

    /// One leaves, having run, or perhaps, if `ran`.
    pub(crate) fn leave(&mut self, now: Micros, id: &Arc<str>, ran: bool) {
        if let Some((n, _)) = self.here.get_mut(id) {
            *n -= 1;
            if *n == 0 {
                self.here.remove(id);
            }
        }
        if ran {
            if let Some(before) = self.ended.insert(id.clone(), now) {
                self.by_time.remove(&(before, id.clone()));
            }
            self.by_time.insert((now, id.clone()));
        }
    }

    /// Forgets what ended long enough ago.
    pub(crate) fn forget(&mut self, now: Micros) {
        while let Some((t, _)) = self.by_time.first() {
            if t.saturating_add(IDS_SPAN) > now {
                break;
            }
            if let Some((_, id)) = self.by_time.pop_first() {
                self.ended.remove(&id);
            }
        }
    }
}
