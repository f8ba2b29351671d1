//! Records and control entries that are known, with digests over their versions. Decides what is newer; knows nothing of
//! links, and who is notified of a change stands in `updates`.
use crate::control_entry::{ControlEntry, EntryRevision, EntryView, Revision};
use crate::hash::{mix, mix_bytes};
use crate::limits::{MAX_CONTROL_ENTRIES, MAX_CONTROL_ENTRY_BYTES, MAX_NAME_BYTES, MAX_NODES};
use crate::node::Node;
use crate::record::{NodeRecord, RecordVersion};
use crate::timing::GONE_RECORD_RETENTION;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// The buckets that versions are divided into. Part of the protocol: equal at all nodes.
pub(crate) const BUCKETS: usize = 64;
/// Former digests kept, to tell a neighbour that is only a moment behind from one that lacks something.
const MAX_FORMER_DIGESTS: usize = 32;
/// How long a former digest counts as that of a neighbour a moment behind.
const FORMER_DIGEST_RETENTION: Duration = Duration::from_millis(500);

/// A record, and since when it has stood as it is.
struct StoredRecord<T> {
    record: NodeRecord<T>,
    stored_at: Instant,
}

struct StoredEntry {
    revision: Revision,
    bytes: Vec<u8>,
}

/// The digest over all versions, as it was until some moment.
struct FormerDigest {
    replaced_at: Instant,
    digest: u64,
}

/// What came of putting something in.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Outcome {
    /// It is newer and now known.
    Newer,
    /// Known already, or older.
    Known,
    /// Beyond a limit, and dropped.
    Rejected,
}

/// What came of putting a record in.
pub(crate) struct RecordOutcome<T> {
    pub(crate) outcome: Outcome,
    /// The record that was there before.
    pub(crate) former: Option<NodeRecord<T>>,
}

/// The versions in some buckets.
pub(crate) struct BucketVersions {
    pub(crate) records: Vec<RecordVersion>,
    pub(crate) entries: Vec<EntryRevision>,
}

/// All that is known. Invariant: `bucket_sums` and `total` are the wrapping sums over the versions of all records that are
/// not gone and of all entries.
pub(crate) struct VersionTable<T> {
    /// At most [`MAX_NODES`].
    records: BTreeMap<Node, StoredRecord<T>>,
    /// At most [`MAX_CONTROL_ENTRIES`].
    entries: BTreeMap<String, StoredEntry>,
    bucket_sums: [u64; BUCKETS],
    total: u64,
    former: VecDeque<FormerDigest>,
}

fn node_bucket(node: Node) -> usize {
    (mix(u64::from(node.0)) >> 32) as usize % BUCKETS
}

fn entry_bucket(key: &str) -> usize {
    (mix_bytes(key.as_bytes()) >> 32) as usize % BUCKETS
}

/// Records of nodes that are gone don't count: they are forgotten at different times.
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
            former: VecDeque::new(),
        }
    }

    /// Takes the digest `less` out of a bucket and `more` in.
    fn replace_digest(&mut self, now: Instant, bucket: usize, less: u64, more: u64) {
        if less == more {
            return;
        }
        if self.former.len() == MAX_FORMER_DIGESTS {
            self.former.pop_front();
        }
        self.former.push_back(FormerDigest { replaced_at: now, digest: self.total });
        self.bucket_sums[bucket] = self.bucket_sums[bucket].wrapping_sub(less).wrapping_add(more);
        self.total = self.total.wrapping_sub(less).wrapping_add(more);
    }

    /// The digest over all versions.
    pub(crate) fn digest(&self) -> u64 {
        self.total
    }

    /// Whether the digest is the present one, or was a moment ago.
    pub(crate) fn in_sync(&self, now: Instant, digest: u64) -> bool {
        let mut recent =
            self.former.iter().filter(|former| now - former.replaced_at <= FORMER_DIGEST_RETENTION);
        digest == self.total || recent.any(|former| former.digest == digest)
    }

    /// The digest of each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_sums.iter().map(|sum| (mix(*sum) >> 32) as u32).collect()
    }

    /// How many records and entries are known.
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

    /// Whether no entry is known.
    pub(crate) fn has_no_entries(&self) -> bool {
        self.entries.is_empty()
    }

    /// The revisions of all entries.
    pub(crate) fn entry_revisions(&self) -> Vec<EntryRevision> {
        let revisions = self.entries.iter();
        revisions.map(|(key, stored)| EntryRevision { key: key.clone(), revision: stored.revision }).collect()
    }

    /// Puts a record in, if it is newer than the one that is known.
    pub(crate) fn put(&mut self, now: Instant, record: NodeRecord<T>) -> RecordOutcome<T> {
        let unchanged = |outcome| RecordOutcome { outcome, former: None };
        let version = record.version();
        let known = self.version(version.node);
        if known.is_some_and(|known| known >= version) {
            return unchanged(Outcome::Known);
        }
        // One that is gone and was never known is not forwarded: such a record would go round for ever.
        if known.is_none() && version.gone {
            return unchanged(Outcome::Known);
        }
        if record.zone.len() > MAX_NAME_BYTES {
            return unchanged(Outcome::Rejected);
        }
        if known.is_none() && self.records.len() >= MAX_NODES {
            let gone = self.records.values().filter(|stored| stored.record.gone);
            let Some(oldest) = gone.min_by_key(|stored| stored.stored_at).map(|stored| stored.record.node)
            else {
                return unchanged(Outcome::Rejected);
            };
            self.records.remove(&oldest);
        }
        let less = known.map_or(0, record_digest);
        self.replace_digest(now, node_bucket(version.node), less, record_digest(version));
        let former = self.records.insert(version.node, StoredRecord { record, stored_at: now });
        RecordOutcome { outcome: Outcome::Newer, former: former.map(|stored| stored.record) }
    }

    /// Puts an entry in, if it is newer than the one that is known.
    pub(crate) fn put_entry(&mut self, now: Instant, entry: ControlEntry) -> Outcome {
        let ControlEntry { key, revision, bytes } = entry;
        let known = self.entries.get(&key).map(|stored| stored.revision);
        if known.is_some_and(|known| known >= revision) {
            return Outcome::Known;
        }
        let full = known.is_none() && self.entries.len() >= MAX_CONTROL_ENTRIES;
        if full || key.len() > MAX_NAME_BYTES || bytes.len() > MAX_CONTROL_ENTRY_BYTES {
            return Outcome::Rejected;
        }
        let less = known.map_or(0, |known| entry_digest(&key, known));
        self.replace_digest(now, entry_bucket(&key), less, entry_digest(&key, revision));
        self.entries.insert(key, StoredEntry { revision, bytes });
        Outcome::Newer
    }

    /// Forgets nodes that have been gone for long, but not this one itself.
    pub(crate) fn forget_gone(&mut self, now: Instant, local_node: Node) {
        self.records.retain(|node, stored| {
            *node == local_node || !stored.record.gone || now - stored.stored_at < GONE_RECORD_RETENTION
        });
    }

    /// The buckets whose digests differ from these.
    pub(crate) fn differing_buckets(&self, digests: &[u32]) -> Vec<u8> {
        let own = self.bucket_digests().into_iter().enumerate();
        own.filter(|(bucket, digest)| digests.get(*bucket) != Some(digest))
            .map(|(bucket, _)| bucket as u8)
            .collect()
    }

    /// The versions in these buckets; numbers beyond the last bucket are ignored.
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
