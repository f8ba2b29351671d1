//! Sender side of the exchange of control entries with one neighbour.
//!
//! Entries are sent whole, and entries may change faster than a link can carry them. Therefore a newer
//! version is only announced by its revision, and the neighbour requests the entry after it has received
//! what it requested before (`entry_requests`): data accepted by the operating system has not yet arrived,
//! and cannot be withdrawn from its buffers. The value is read when the message is built.
//!
//! Invariants: an entry is sent only on request, and one message at a time; no superseded version is
//! queued; after the last change the newest version is announced.
use crate::control_entry::{ControlEntry, EntryRevision, Revision};
use std::collections::BTreeSet;
use std::ops::Bound;

/// Size of control entries at which a message is complete.
const MESSAGE_ENTRY_BYTES: usize = 256 << 10;

/// Control entries queued for one neighbour. Each set is bounded by the number of known entries.
#[derive(Default)]
pub(crate) struct EntryOutbox {
    /// Entries with a newer version not yet announced to the neighbour.
    unannounced: BTreeSet<String>,
    /// Entries announced, but neither requested nor found to be known to the neighbour since.
    announced: BTreeSet<String>,
    /// Entries requested by the neighbour.
    requested: BTreeSet<String>,
    /// Entries in the message not yet accepted by the network; empty if there is none.
    in_flight: Vec<String>,
    /// The last entry sent. The next message starts after it, so that an entry which changes constantly
    /// doesn't starve the others.
    last_key: String,
}

impl EntryOutbox {
    /// Queues an entry of which the neighbour lacks the newest version. Returns whether this supersedes a
    /// version not yet sent.
    pub(crate) fn enqueue(&mut self, key: &str) -> bool {
        let is_superseded = self.announced.contains(key) || self.requested.contains(key);
        !self.unannounced.insert(key.to_string()) || is_superseded
    }

    /// Handles a request for the newest version of an entry.
    pub(crate) fn request(&mut self, key: &str) {
        self.announced.remove(key);
        self.requested.insert(key.to_string());
    }

    /// Records that the neighbour has this revision of an entry; `newest` is the newest known here.
    pub(crate) fn record_remote(&mut self, key: &str, revision: Revision, newest: Revision) {
        if revision >= newest {
            self.unannounced.remove(key);
            self.announced.remove(key);
            self.requested.remove(key);
        }
    }

    /// The announcements to send now. A requested entry needs none, as it is sent in its newest version.
    pub(crate) fn next_announcement(
        &mut self,
        newest: impl Fn(&str) -> Option<Revision>,
    ) -> Vec<EntryRevision> {
        let mut entries = Vec::new();
        for key in std::mem::take(&mut self.unannounced) {
            let Some(revision) = newest(&key) else { continue };
            if !self.requested.contains(&key) {
                self.announced.insert(key.clone());
                entries.push(EntryRevision { key, revision });
            }
        }
        entries
    }

    /// The entries of the next message in their current versions; `None` while a message is in flight or if
    /// nothing is requested.
    pub(crate) fn next_message(
        &mut self,
        newest: impl Fn(&str) -> Option<ControlEntry>,
    ) -> Option<Vec<ControlEntry>> {
        if !self.in_flight.is_empty() {
            return None;
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        while bytes < MESSAGE_ENTRY_BYTES {
            let Some(key) = self.next_requested() else { break };
            self.requested.remove(&key);
            let Some(entry) = newest(&key) else { continue };
            bytes += entry.bytes.len();
            self.unannounced.remove(&key);
            self.last_key.clone_from(&key);
            self.in_flight.push(key);
            entries.push(entry);
        }
        (!entries.is_empty()).then_some(entries)
    }

    /// The next requested entry after the last one sent, wrapping around.
    fn next_requested(&self) -> Option<String> {
        let behind = (Bound::Excluded(self.last_key.as_str()), Bound::Unbounded);
        self.requested.range::<str, _>(behind).next().or_else(|| self.requested.first()).cloned()
    }

    /// Handles the replacement of the connection. Anything sent on the old one may be lost, possibly
    /// without notice: everything that the neighbour may lack is announced again.
    pub(crate) fn connection_changed(&mut self) {
        self.unannounced.extend(std::mem::take(&mut self.in_flight));
        self.unannounced.append(&mut self.announced);
        self.unannounced.append(&mut self.requested);
    }

    /// Records that the network has accepted the message in flight.
    pub(crate) fn message_sent(&mut self) {
        self.in_flight.clear();
    }
}
