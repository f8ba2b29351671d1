//! The attempt ids that are here, and those that were begun here and may not run again.
use crate::limits::{ID_RETENTION, MAX_REMEMBERED_IDS};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How many with one id are pending or in flight.
#[derive(Debug, Default)]
struct Present {
    count: u32,
    /// One of them may run only once.
    is_exclusive: bool,
}

/// Ids known here.
#[derive(Debug, Default)]
pub(crate) struct AttemptIds {
    /// Those pending or in flight; bounded by these.
    present: BTreeMap<Arc<str>, Present>,
    /// When each that may run only once and was begun here ended. Together with those present at most
    /// [`MAX_REMEMBERED_IDS`] as long as [`AttemptIds::has_room`] is asked before one comes in.
    ended: BTreeMap<Arc<str>, Instant>,
    by_end: BTreeSet<(Instant, Arc<str>)>,
}

impl AttemptIds {
    /// Whether the id is present or was begun here, and may run only once by the word of the one or the other.
    pub(crate) fn is_duplicate(&self, id: &str, is_idempotent: bool) -> bool {
        self.present.get(id).is_some_and(|present| present.is_exclusive || !is_idempotent)
            || self.ended.contains_key(id)
    }

    /// Whether one more can be remembered beside the `present` that are pending or in flight.
    pub(crate) fn has_room(&self, present: usize) -> bool {
        self.ended.len() + present < MAX_REMEMBERED_IDS
    }

    /// When the oldest will be forgotten.
    pub(crate) fn next_forget_at(&self) -> Option<Instant> {
        self.by_end.first().map(|(ended_at, _)| ended_at.saturating_add(ID_RETENTION))
    }

    /// One comes in.
    pub(crate) fn enter(&mut self, id: &str, is_idempotent: bool) -> Arc<str> {
        let id: Arc<str> = id.into();
        let present = self.present.entry(id.clone()).or_default();
        present.count += 1;
        present.is_exclusive |= !is_idempotent;
        id
    }

    /// One leaves; `may_have_run`: it is remembered.
    pub(crate) fn leave(&mut self, now: Instant, id: &Arc<str>, may_have_run: bool) {
        if let Some(present) = self.present.get_mut(id) {
            present.count -= 1;
            if present.count == 0 {
                self.present.remove(id);
            }
        }
        if may_have_run {
            if let Some(before) = self.ended.insert(id.clone(), now) {
                self.by_end.remove(&(before, id.clone()));
            }
            self.by_end.insert((now, id.clone()));
        }
    }

    /// Forgets what ended long enough ago.
    pub(crate) fn forget(&mut self, now: Instant) {
        while self.next_forget_at().is_some_and(|at| at <= now) {
            if let Some((_, id)) = self.by_end.pop_first() {
                self.ended.remove(&id);
            }
        }
    }
}
