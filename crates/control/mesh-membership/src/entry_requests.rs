//! Receiver side of the exchange of control entries with one neighbour.
//!
//! One request is in flight at a time, and the next one is made when everything requested has arrived. So
//! at most one version of an entry is on a link, however much the operating system buffers, and the newest
//! one follows.
use crate::control_entry::Revision;
use crate::timing::ENTRY_REQUEST_TIMEOUT;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Entries announced by a neighbour, and those requested from it. Bounded by the number of entries that it
/// announces.
#[derive(Default)]
pub(crate) struct EntryRequests {
    /// The newest announced revision of each entry that is older here.
    wanted: BTreeMap<String, Revision>,
    /// Entries requested but not yet received.
    requested: BTreeSet<String>,
    /// Time of the request, or of the last progress of the reply.
    last_progress_at: Instant,
}

impl EntryRequests {
    /// Records a revision of the neighbour that is newer than the one here.
    pub(crate) fn want(&mut self, key: &str, revision: Revision) {
        let wanted = self.wanted.entry(key.to_string()).or_insert(revision);
        *wanted = (*wanted).max(revision);
    }

    /// Records a revision sent by the neighbour.
    pub(crate) fn received(&mut self, key: &str, revision: Revision) {
        self.requested.remove(key);
        if self.wanted.get(key).is_some_and(|wanted| *wanted <= revision) {
            self.wanted.remove(key);
        }
    }

    /// Records that part of a message arrived, which may belong to the reply.
    pub(crate) fn record_progress(&mut self, now: Instant) {
        self.last_progress_at = now;
    }

    /// The keys to request now; none while a reply is pending. `known` returns the newest revision here.
    pub(crate) fn next_request(
        &mut self,
        now: Instant,
        known: impl Fn(&str) -> Option<Revision>,
    ) -> Vec<String> {
        let is_in_progress =
            !self.requested.is_empty() && now - self.last_progress_at <= ENTRY_REQUEST_TIMEOUT;
        if is_in_progress || self.wanted.is_empty() {
            return Vec::new();
        }
        self.wanted.retain(|key, wanted| known(key).is_none_or(|known| known < *wanted));
        self.requested = self.wanted.keys().cloned().collect();
        self.last_progress_at = now;
        self.requested.iter().cloned().collect()
    }

    /// Handles the replacement of the connection: a request in flight may be lost.
    pub(crate) fn connection_changed(&mut self) {
        self.requested.clear();
    }
}
