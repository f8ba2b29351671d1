//! Store of known records and control entries, with digests over their versions. Dissemination of changes
//! is in `updates`.
use crate::control_entry::{ControlEntry, EntryRevision, EntryView, Revision};
use crate::hash::{mix, mix_bytes};
use crate::limits::{MAX_CONTROL_ENTRIES, MAX_CONTROL_ENTRY_BYTES, MAX_NAME_BYTES, MAX_NODES};
use crate::node::Node;
use crate::record::{NodeRecord, RecordVersion};
use crate::timing::GONE_RECORD_RETENTION;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// Number of buckets that versions are divided into. Part of the protocol: the same at all nodes.
pub(crate) const BUCKETS: usize = 64;
/// Recent digests kept, to distinguish a neighbour that lags slightly from one that lacks something.
const MAX_RECENT_DIGESTS: usize = 32;
/// How long a replaced digest still counts as in sync.
const RECENT_DIGEST_RETENTION: Duration = Duration::from_millis(500);

/// A record and the time when it was stored.
struct StoredRecord<T> {
    record: NodeRecord<T>,
    stored_at: Instant,
}

struct StoredEntry {
    revision: Revision,
    bytes: Vec<u8>,
}

/// A replaced digest over all versions.
struct RecentDigest {
    replaced_at: Instant,
    digest: u64,
}

/// Result of storing an item.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum PutOutcome {
    /// It was newer and has been stored.
    Newer,
    /// It is already known, or older.
    Known,
    /// It exceeds a limit and was dropped.
    Rejected,
}

/// Result of storing a record.
pub(crate) struct RecordPutOutcome<T> {
    pub(crate) outcome: PutOutcome,
    /// The record that was replaced.
    pub(crate) previous: Option<NodeRecord<T>>,
}

pub(crate) struct BucketVersions {
    pub(crate) records: Vec<RecordVersion>,
    pub(crate) entries: Vec<EntryRevision>,
}

/// All known records and entries. Invariant: `bucket_sums` and `total` are the wrapping sums of the digests
/// of all records that are not gone and of all entries.
pub(crate) struct VersionTable<T> {
    /// At most [`MAX_NODES`].
    records: BTreeMap<Node, StoredRecord<T>>,
    /// At most [`MAX_CONTROL_ENTRIES`].
    entries: BTreeMap<String, StoredEntry>,
    bucket_sums: [u64; BUCKETS],
    total: u64,
    recent_digests: VecDeque<RecentDigest>,
}

fn node_bucket(node: Node) -> usize {
    (mix(u64::from(node.0)) >> 32) as usize % BUCKETS
}

fn entry_bucket(key: &str) -> usize {
    (mix_bytes(key.as_bytes()) >> 32) as usize % BUCKETS
}

/// Gone records have no digest, since nodes remove them at different times.
fn record_digest(version: RecordVersion) -> u64 {
    if version.gone {
        return 0;
    }
    mix(mix(mix(u64::from(version.node.0)) ^ version.incarnation) ^ version.sequence)
}

fn entry_digest(key: &str, revision: Revision) -> u64 {
    mix(mix(mix(mix_bytes(key.as_bytes()) ^ revision.epoch) ^ revision.owner) ^ revision.sequence)
}

impl<T> VersionTable<T> {
    pub(crate) fn new() -> Self {
        VersionTable {
            records: BTreeMap::new(),
            entries: BTreeMap::new(),
            bucket_sums: [0; BUCKETS],
            total: 0,
            recent_digests: VecDeque::new(),
        }
    }

    /// Replaces the digest `removed` in a bucket by `added`.
    fn replace_digest(&mut self, now: Instant, bucket: usize, removed: u64, added: u64) {
        if removed == added {
            return;
        }
        if self.recent_digests.len() == MAX_RECENT_DIGESTS {
            self.recent_digests.pop_front();
        }
        self.recent_digests.push_back(RecentDigest { replaced_at: now, digest: self.total });
        self.bucket_sums[bucket] = self.bucket_sums[bucket].wrapping_sub(removed).wrapping_add(added);
        self.total = self.total.wrapping_sub(removed).wrapping_add(added);
    }

    /// The digest over all versions.
    pub(crate) fn digest(&self) -> u64 {
        self.total
    }

    /// Whether the digest is the current one or a recent one.
    pub(crate) fn in_sync(&self, now: Instant, digest: u64) -> bool {
        let mut recent =
            self.recent_digests.iter().filter(|recent| now - recent.replaced_at <= RECENT_DIGEST_RETENTION);
        digest == self.total || recent.any(|recent| recent.digest == digest)
    }

    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_sums.iter().map(|sum| (mix(*sum) >> 32) as u32).collect()
    }

    /// Number of known records and entries.
    pub(crate) fn known_items(&self) -> usize {
        self.records.len() + self.entries.len()
    }

    pub(crate) fn record(&self, node: Node) -> Option<&NodeRecord<T>> {
        self.records.get(&node).map(|stored| &stored.record)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &NodeRecord<T>> {
        self.records.values().map(|stored| &stored.record)
    }

    pub(crate) fn version(&self, node: Node) -> Option<RecordVersion> {
        self.record(node).map(NodeRecord::version)
    }

    pub(crate) fn entry(&self, key: &str) -> Option<EntryView<'_>> {
        self.entries.get_key_value(key).map(|(key, stored)| EntryView {
            key,
            revision: stored.revision,
            bytes: &stored.bytes,
        })
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = EntryView<'_>> {
        self.entries.iter().map(|(key, stored)| EntryView {
            key,
            revision: stored.revision,
            bytes: &stored.bytes,
        })
    }

    pub(crate) fn has_no_entries(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn entry_revisions(&self) -> Vec<EntryRevision> {
        let revisions = self.entries.iter();
        revisions.map(|(key, stored)| EntryRevision { key: key.clone(), revision: stored.revision }).collect()
    }

    /// Stores a record if it is newer than the known one.
    pub(crate) fn put(&mut self, now: Instant, record: NodeRecord<T>) -> RecordPutOutcome<T> {
        let unchanged = |outcome| RecordPutOutcome { outcome, previous: None };
        let version = record.version();
        let known = self.version(version.node);
        if known.is_some_and(|known| known >= version) {
            return unchanged(PutOutcome::Known);
        }
        // An unknown gone record is not stored or forwarded: it would circulate forever.
        if known.is_none() && version.gone {
            return unchanged(PutOutcome::Known);
        }
        if record.zone.len() > MAX_NAME_BYTES {
            return unchanged(PutOutcome::Rejected);
        }
        if known.is_none() && self.records.len() >= MAX_NODES {
            let gone = self.records.values().filter(|stored| stored.record.gone);
            let Some(oldest) = gone.min_by_key(|stored| stored.stored_at).map(|stored| stored.record.node)
            else {
                return unchanged(PutOutcome::Rejected);
            };
            self.records.remove(&oldest);
        }
        let removed = known.map_or(0, record_digest);
        self.replace_digest(now, node_bucket(version.node), removed, record_digest(version));
        let previous = self.records.insert(version.node, StoredRecord { record, stored_at: now });
        RecordPutOutcome { outcome: PutOutcome::Newer, previous: previous.map(|stored| stored.record) }
    }

    /// Stores an entry if it is newer than the known one.
    pub(crate) fn put_entry(&mut self, now: Instant, entry: ControlEntry) -> PutOutcome {
        let ControlEntry { key, revision, bytes } = entry;
        let known = self.entries.get(&key).map(|stored| stored.revision);
        if known.is_some_and(|known| known >= revision) {
            return PutOutcome::Known;
        }
        let full = known.is_none() && self.entries.len() >= MAX_CONTROL_ENTRIES;
        if full || key.len() > MAX_NAME_BYTES || bytes.len() > MAX_CONTROL_ENTRY_BYTES {
            return PutOutcome::Rejected;
        }
        let removed = known.map_or(0, |known| entry_digest(&key, known));
        self.replace_digest(now, entry_bucket(&key), removed, entry_digest(&key, revision));
        self.entries.insert(key, StoredEntry { revision, bytes });
        PutOutcome::Newer
    }

    /// Removes nodes that have been gone long enough, except the local one.
    pub(crate) fn forget_gone(&mut self, now: Instant, local_node: Node) {
        self.records.retain(|node, stored| {
            *node == local_node || !stored.record.gone || now - stored.stored_at < GONE_RECORD_RETENTION
        });
    }

    /// The buckets whose digests differ from the given ones.
    pub(crate) fn differing_buckets(&self, digests: &[u32]) -> Vec<u8> {
        let own = self.bucket_digests().into_iter().enumerate();
        own.filter(|(bucket, digest)| digests.get(*bucket) != Some(digest))
            .map(|(bucket, _)| bucket as u8)
            .collect()
    }

    /// The versions in the given buckets; unknown bucket numbers are ignored.
    pub(crate) fn versions_in(&self, buckets: &[u8]) -> BucketVersions {
        let mut chosen = [false; BUCKETS];
        for bucket in buckets {
            if let Some(bucket) = chosen.get_mut(usize::from(*bucket)) {
                *bucket = true;
            }
        }
        let records = self.records.values().map(|stored| stored.record.version());
        let entries = self.entries.iter().filter(|(key, _)| chosen[entry_bucket(key)]);
        BucketVersions {
            records: records.filter(|version| chosen[node_bucket(version.node)]).collect(),
            entries: entries
                .map(|(key, stored)| EntryRevision { key: key.clone(), revision: stored.revision })
                .collect(),
        }
    }
}
