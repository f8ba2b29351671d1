//! Control entries on their way to one neighbour.
//!
//! An entry is sent whole, and a link may carry fewer bytes than entries change: what waits is therefore the key alone, and its
//! content is read when the link takes it. Invariants: of an entry at most one version is on its way, none that was superseded
//! waits, and after the last change the newest version follows. Knows nothing of links, messages and the content.
use crate::control_entry::{ControlEntry, Revision};
use crate::timing::LINK_TIMEOUT;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Bytes of control entries after which a further message is begun.
const MESSAGE_ENTRY_BYTES: usize = 256 << 10;

/// What was sent of an entry last.
struct SentEntry {
    revision: Revision,
    /// When the network had taken it, or when it was handed over if it hasn't yet.
    at: Instant,
}

/// The control entries for one neighbour.
#[derive(Default)]
pub(crate) struct EntryOutbox {
    /// Entries that the neighbour lacks, as far as is known here. Bounded by the entries that are known.
    pending: BTreeSet<String>,
    /// Entries in the message that the network has not taken yet; empty if there is none.
    in_flight: Vec<String>,
    /// The last entry that was put in a message: the next message begins behind it, so that one which changes all the time keeps no
    /// other one back.
    last_key: String,
    /// Bounded by the entries that are known.
    sent: BTreeMap<String, SentEntry>,
}

impl EntryOutbox {
    /// The neighbour lacks the newest version of this entry. Whether an older one was still waiting.
    pub(crate) fn enqueue(&mut self, key: &str) -> bool {
        !self.pending.insert(key.to_string())
    }

    /// The neighbour said that it lacks this revision. One that is on its way to it, or was sent a moment ago, is not sent
    /// again: a neighbour that is silent for [`LINK_TIMEOUT`] is given up, and with it what was on the way.
    pub(crate) fn offer(&mut self, now: Instant, key: &str, revision: Revision) {
        let is_under_way = self.sent.get(key).is_some_and(|sent| {
            let is_recent = self.in_flight.iter().any(|other| other == key) || now - sent.at <= LINK_TIMEOUT;
            sent.revision >= revision && is_recent
        });
        if !is_under_way {
            self.enqueue(key);
        }
    }

    /// The neighbour has this revision of an entry, of which `newest` is known here.
    pub(crate) fn note_remote(&mut self, key: &str, revision: Revision, newest: Revision) {
        if revision >= newest {
            self.pending.remove(key);
        }
    }

    /// The next message's entries, as they are now; `None` while one is on its way, or if nothing waits.
    pub(crate) fn next_message(
        &mut self,
        now: Instant,
        newest: impl Fn(&str) -> Option<ControlEntry>,
    ) -> Option<Vec<ControlEntry>> {
        if !self.in_flight.is_empty() {
            return None;
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        while bytes < MESSAGE_ENTRY_BYTES {
            let Some(key) = self.next_pending() else { break };
            self.pending.remove(&key);
            let Some(entry) = newest(&key) else { continue };
            bytes += entry.bytes.len();
            self.sent.insert(key.clone(), SentEntry { revision: entry.revision, at: now });
            self.last_key.clone_from(&key);
            self.in_flight.push(key);
            entries.push(entry);
        }
        (!entries.is_empty()).then_some(entries)
    }

    /// The pending entry behind the last one that was sent, or else the first.
    fn next_pending(&self) -> Option<String> {
        let behind = (Bound::Excluded(self.last_key.as_str()), Bound::Unbounded);
        self.pending.range::<str, _>(behind).next().or_else(|| self.pending.first()).cloned()
    }

    /// Another connection is used from here on. What was sent on the one before may be lost, and its end may not even be known: what
    /// was on its way goes again, and nothing counts as sent a moment ago.
    pub(crate) fn connection_changed(&mut self) {
        self.pending.extend(std::mem::take(&mut self.in_flight));
        self.sent.clear();
    }

    /// The network has taken the message that was on its way.
    pub(crate) fn message_left(&mut self, now: Instant) {
        for key in std::mem::take(&mut self.in_flight) {
            if let Some(sent) = self.sent.get_mut(&key) {
                sent.at = now;
            }
        }
    }
}
