//! Progress of the repair of an empty disk.
//!
//! The rules of a repair are in `protocol::repair`.

use crate::message::KeySummary;
use crate::replica_set::Vote;
use crate::types::{Incarnation, Node, Revision};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A key that other replicas have.
#[derive(Clone, Debug)]
pub(crate) struct KeyToRepair {
    /// The highest promise and revision of all replies.
    pub(crate) summary: KeySummary,
    /// The replicas that have the value at that revision.
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
    /// The replicas that have replied, with their incarnations. At most one entry for each replica.
    pub(crate) replies: BTreeMap<Node, Incarnation>,
    /// At most `MAX_KEYS`.
    pub(crate) keys: BTreeMap<String, KeyToRepair>,
    /// Fetched values. At most one for each key.
    pub(crate) values: BTreeMap<String, FetchedValue<V>>,
    /// The merged votes of the replies on the next replica set.
    pub(crate) vote: Vote,
    /// When the other replicas were last asked.
    pub(crate) last_sent: Instant,
}

impl<V> Repair<V> {
    /// A repair without replies.
    pub(crate) fn new(now: Instant) -> Self {
        Repair {
            replies: BTreeMap::new(),
            keys: BTreeMap::new(),
            values: BTreeMap::new(),
            vote: Vote::default(),
            last_sent: now,
        }
    }

    /// Drops the replies. Values that were fetched are kept, since they are valid at their revisions.
    pub(crate) fn clear_replies(&mut self) {
        self.replies.clear();
        self.keys.clear();
        self.vote = Vote::default();
    }

    /// Merges what `from` has of a key.
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

    /// The replicas known to have the key's value.
    pub(crate) fn sources(&self, key: &str) -> impl Iterator<Item = Node> + '_ {
        self.keys.get(key).into_iter().flat_map(|known| known.sources.iter().copied())
    }

    /// The revision of the key that still has to be fetched, if any. A later one is as good.
    pub(crate) fn missing(&self, key: &str) -> Option<Revision> {
        let needed = self.keys.get(key).map(|known| known.summary.accepted)?;
        let fetched = self.values.get(key).map_or(Revision::default(), |fetched| fetched.revision);
        (fetched < needed).then_some(needed)
    }
}
