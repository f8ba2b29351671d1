//! The ids of attempts that are pending or in flight, and of ended ones that may not run again.
use crate::limits::{ID_RETENTION, MAX_REMEMBERED_IDS};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The attempts with one id that are pending or in flight.
#[derive(Debug, Default)]
struct ActiveAttempts {
    count: u32,
    /// Whether one of them is not idempotent.
    has_non_idempotent: bool,
}

/// The attempt ids by which duplicates are detected.
#[derive(Debug, Default)]
pub(crate) struct AttemptIds {
    /// Attempts that are pending or in flight; bounded by the queue and the concurrency limits.
    active: BTreeMap<Arc<str>, ActiveAttempts>,
    /// When each non-idempotent attempt that was begun here ended. Together with the active ones at most
    /// [`MAX_REMEMBERED_IDS`], provided that [`AttemptIds::has_room`] is checked before one is added.
    ended: BTreeMap<Arc<str>, Instant>,
    by_end_time: BTreeSet<(Instant, Arc<str>)>,
}

impl AttemptIds {
    /// Whether an active attempt has this id and one of the two is not idempotent, or an ended one with it is remembered.
    pub(crate) fn is_duplicate(&self, id: &str, is_idempotent: bool) -> bool {
        self.active.get(id).is_some_and(|active| active.has_non_idempotent || !is_idempotent)
            || self.ended.contains_key(id)
    }

    /// Whether one more id can be remembered, with `active` attempts pending or in flight.
    pub(crate) fn has_room(&self, active: usize) -> bool {
        self.ended.len() + active < MAX_REMEMBERED_IDS
    }

    /// When the oldest ended id is forgotten.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.by_end_time.first().map(|(ended_at, _)| ended_at.saturating_add(ID_RETENTION))
    }

    /// Adds an attempt that becomes pending or in flight.
    pub(crate) fn insert_active(&mut self, id: &str, is_idempotent: bool) -> Arc<str> {
        let id: Arc<str> = id.into();
        let active = self.active.entry(id.clone()).or_default();
        active.count += 1;
        active.has_non_idempotent |= !is_idempotent;
        id
    }

    /// Removes an attempt that is no longer pending or in flight. If it `may_have_run`, its id is remembered.
    pub(crate) fn remove_active(&mut self, now: Instant, id: &Arc<str>, may_have_run: bool) {
        if let Some(active) = self.active.get_mut(id) {
            active.count -= 1;
            if active.count == 0 {
                self.active.remove(id);
            }
        }
        if may_have_run {
            if let Some(previous_end) = self.ended.insert(id.clone(), now) {
                self.by_end_time.remove(&(previous_end, id.clone()));
            }
            self.by_end_time.insert((now, id.clone()));
        }
    }

    /// Forgets the ids that ended [`ID_RETENTION`] ago.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            if let Some((_, id)) = self.by_end_time.pop_first() {
                self.ended.remove(&id);
            }
        }
    }
}
