//! Control entries that one neighbour has announced, at the side that lacks them.
//!
//! One request is on its way at a time, and the next one is made when all that was asked for has arrived: so of an entry no more
//! than one version is on a link, whatever the system buffers, and the newest one follows. Knows nothing of links, messages and the content.
use crate::control_entry::Revision;
use crate::timing::ENTRY_REQUEST_TIMEOUT;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// What a neighbour has announced and what was asked of it. Bounded by the entries that it announces.
#[derive(Default)]
pub(crate) struct EntryRequests {
    /// The newest revisions that the neighbour announced of entries that were older here.
    wanted: BTreeMap<String, Revision>,
    /// Entries that were asked for and have not arrived.
    requested: BTreeSet<String>,
    /// When they were asked for, or part of the answer came last.
    progress_at: Instant,
}

impl EntryRequests {
    /// The neighbour has this revision, which is newer than the one here.
    pub(crate) fn want(&mut self, key: &str, revision: Revision) {
        let wanted = self.wanted.entry(key.to_string()).or_insert(revision);
        *wanted = (*wanted).max(revision);
    }

    /// The neighbour sent this revision.
    pub(crate) fn received(&mut self, key: &str, revision: Revision) {
        self.requested.remove(key);
        if self.wanted.get(key).is_some_and(|wanted| *wanted <= revision) {
            self.wanted.remove(key);
        }
    }

    /// Part of a message came: the answer may be on its way.
    pub(crate) fn progressed(&mut self, now: Instant) {
        self.progress_at = now;
    }

    /// What to ask for now; nothing while an answer is on its way. `known`: the newest revision here.
    pub(crate) fn next_request(
        &mut self,
        now: Instant,
        known: impl Fn(&str) -> Option<Revision>,
    ) -> Vec<String> {
        let is_under_way = !self.requested.is_empty() && now - self.progress_at <= ENTRY_REQUEST_TIMEOUT;
        if is_under_way || self.wanted.is_empty() {
            return Vec::new();
        }
        self.wanted.retain(|key, wanted| known(key).is_none_or(|known| known < *wanted));
        self.requested = self.wanted.keys().cloned().collect();
        self.progress_at = now;
        self.requested.iter().cloned().collect()
    }

    /// Another connection is used from here on: what was on its way may be lost.
    pub(crate) fn connection_changed(&mut self) {
        self.requested.clear();
    }
}
