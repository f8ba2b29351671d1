//! How far the repair of an empty disk has come.
//!
//! The rules of a repair are in `protocol::repair`.

use crate::message::KeySummary;
use crate::replica_set::Vote;
use crate::types::{Incarnation, Node, Revision};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A key that others have.
#[derive(Clone, Debug)]
pub(crate) struct KeyToRepair {
    /// The highest promise and revision of all replies.
    pub(crate) summary: KeySummary,
    /// All who have the value at that revision.
    pub(crate) sources: BTreeSet<Node>,
}

/// A value that was fetched.
#[derive(Clone, Debug, Default)]
pub(crate) struct FetchedValue<V> {
    pub(crate) revision: Revision,
    pub(crate) value: V,
}

/// The state of a repair.
#[derive(Clone, Debug)]
pub(crate) struct Repair<V> {
    /// Who has replied, with which incarnation. At most one of each replica.
    pub(crate) replies: BTreeMap<Node, Incarnation>,
    /// At most `MAX_KEYS`.
    pub(crate) keys: BTreeMap<String, KeyToRepair>,
    /// Values that are there. At most one of each key.
    pub(crate) values: BTreeMap<String, FetchedValue<V>>,
    /// What the replies say of the next replica set.
    pub(crate) vote: Vote,
    /// When the others were asked last.
    pub(crate) last_sent: Instant,
}

impl<V> Repair<V> {
    /// Nothing asked yet.
    pub(crate) fn new(now: Instant) -> Self {
        Repair {
            replies: BTreeMap::new(),
            keys: BTreeMap::new(),
            values: BTreeMap::new(),
            vote: Vote::default(),
            last_sent: now,
        }
    }

    /// Forgets what was replied; values that were fetched stay, for they hold at their revisions.
    pub(crate) fn forget_replies(&mut self) {
        self.replies.clear();
        self.keys.clear();
        self.vote = Vote::default();
    }

    /// Takes in what `from` has of a key.
    pub(crate) fn merge(&mut self, from: Node, summary: KeySummary, max_keys: usize) {
        let Some(known) = self.keys.get_mut(&summary.key) else {
            if self.keys.len() < max_keys {
                let sources = BTreeSet::from([from]);
                self.keys.insert(summary.key.clone(), KeyToRepair { summary, sources });
            }
            return;
        };
        known.summary.promised = known.summary.promised.max(summary.promised);
        if summary.accepted > known.summary.accepted {
            known.summary.accepted = summary.accepted;
            known.sources.clear();
        }
        if summary.accepted == known.summary.accepted {
            known.sources.insert(from);
        }
    }

    /// Who is known to have the key's value.
    pub(crate) fn sources(&self, key: &str) -> impl Iterator<Item = Node> + '_ {
        self.keys.get(key).into_iter().flat_map(|known| known.sources.iter().copied())
    }

    /// Which revision of the key, or a later one, is still to be fetched.
    pub(crate) fn missing(&self, key: &str) -> Option<Revision> {
        let needed = self.keys.get(key).map(|known| known.summary.accepted)?;
        let fetched = self.values.get(key).map_or(Revision::default(), |fetched| fetched.revision);
        (fetched < needed).then_some(needed)
    }
}
