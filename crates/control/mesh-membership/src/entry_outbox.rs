//! Control entries for one neighbour, at the side that has them.
//!
//! An entry is sent whole, and a link may carry fewer bytes than entries change. So a newer version is announced, by its revision
//! alone, and the neighbour asks for the entry when it has received what it asked for before (`entry_requests`): what the system has
//! taken of a connection has not arrived, and what waits in its buffers can't be taken back. The content is read when the message is made.
//!
//! Invariants: an entry is sent only where it was asked for, and one message at a time; none that was superseded waits; after the last
//! change the newest version is announced. Knows nothing of links, messages and the content.
use crate::control_entry::{ControlEntry, EntryRevision, Revision};
use std::collections::BTreeSet;
use std::ops::Bound;

/// Bytes of control entries after which a further message is begun.
const MESSAGE_ENTRY_BYTES: usize = 256 << 10;

/// The control entries for one neighbour. Each set is bounded by the entries that are known.
#[derive(Default)]
pub(crate) struct EntryOutbox {
    /// Entries of which the neighbour has not heard that there is a newer version.
    unannounced: BTreeSet<String>,
    /// Entries that were announced, and neither asked for nor found to be there since.
    announced: BTreeSet<String>,
    /// Entries that the neighbour asked for.
    requested: BTreeSet<String>,
    /// Entries in the message that the network has not taken yet; empty if there is none.
    in_flight: Vec<String>,
    /// The last entry that was put in a message: the next message begins behind it, so that one which changes all the time keeps no
    /// other one back.
    last_key: String,
}

impl EntryOutbox {
    /// The neighbour lacks the newest version of this entry. Whether it had not asked for an older one yet, or not got it.
    pub(crate) fn enqueue(&mut self, key: &str) -> bool {
        let is_superseded = self.announced.contains(key) || self.requested.contains(key);
        !self.unannounced.insert(key.to_string()) || is_superseded
    }

    /// The neighbour asks for the newest version of this entry.
    pub(crate) fn request(&mut self, key: &str) {
        self.announced.remove(key);
        self.requested.insert(key.to_string());
    }

    /// The neighbour has this revision of an entry, of which `newest` is known here.
    pub(crate) fn note_remote(&mut self, key: &str, revision: Revision, newest: Revision) {
        if revision >= newest {
            self.unannounced.remove(key);
            self.announced.remove(key);
            self.requested.remove(key);
        }
    }

    /// What is to be announced now. An entry that was asked for follows as it is then, so it needs no announcement.
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

    /// The next message's entries, as they are now; `None` while one is on its way, or if none was asked for.
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

    /// The requested entry behind the last one that was sent, or else the first.
    fn next_requested(&self) -> Option<String> {
        let behind = (Bound::Excluded(self.last_key.as_str()), Bound::Unbounded);
        self.requested.range::<str, _>(behind).next().or_else(|| self.requested.first()).cloned()
    }

    /// Another connection is used from here on. What was sent on the one before may be lost, and its end may not even be known: all
    /// that the neighbour may lack is announced again.
    pub(crate) fn connection_changed(&mut self) {
        self.unannounced.extend(std::mem::take(&mut self.in_flight));
        self.unannounced.append(&mut self.announced);
        self.unannounced.append(&mut self.requested);
    }

    /// The network has taken the message that was on its way.
    pub(crate) fn message_left(&mut self) {
        self.in_flight.clear();
    }
}
