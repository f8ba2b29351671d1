//! What is known: records and pages, with sums over their versions.
use crate::{mix, mix_bytes, Micros, Node, NodeRecord, RecordVersion, Revision};
use crate::{GONE_RECORD_RETENTION, MAX_CONTROL_ENTRIES, MAX_CONTROL_ENTRY_BYTES, MAX_NAME_BYTES, MAX_NODES};
use std::collections::{BTreeMap, VecDeque};

/// The parts that versions are divided into.
pub(crate) const PARTS: usize = 64;
/// Former digests kept, to tell one that is only a moment behind from one that misses something.
const FORMER: usize = 32;
const FORMER_KEPT: Micros = 500_000;

pub(crate) struct Entry<T> {
    pub record: NodeRecord<T>,
    pub gone_at: Micros,
}

/// What came of putting something in.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Put {
    Newer,
    /// Known already, or older.
    Known,
    /// No place, or beyond a bound.
    Stranger,
}

pub(crate) struct Table<T> {
    /// At most [`MAX_NODES`].
    pub records: BTreeMap<Node, Entry<T>>,
    /// At most [`MAX_CONTROL_ENTRIES`].
    pub entries: BTreeMap<String, (Revision, Vec<u8>)>,
    sums: [u64; PARTS],
    total: u64,
    former: VecDeque<(Micros, u64)>,
}

fn node_part(node: Node) -> usize {
    (mix(u64::from(node.0)) >> 32) as usize % PARTS
}

fn page_part(key: &str) -> usize {
    (mix_bytes(key.as_bytes()) >> 32) as usize % PARTS
}

/// Records of those gone don't count: they are forgotten at different times.
fn record_sum(version: RecordVersion) -> u64 {
    if version.gone {
        return 0;
    }
    mix(mix(mix(u64::from(version.node.0)) ^ version.incarnation) ^ version.sequence)
}

fn page_sum(key: &str, revision: Revision) -> u64 {
    mix(mix(mix(mix_bytes(key.as_bytes()) ^ revision.0) ^ revision.1) ^ revision.2)
}

impl<T> Table<T> {
    pub fn new() -> Self {
        Table {
            records: BTreeMap::new(),
            entries: BTreeMap::new(),
            sums: [0; PARTS],
            total: 0,
            former: VecDeque::new(),
        }
    }

    fn shift(&mut self, now: Micros, part: usize, less: u64, more: u64) {
        if less == more {
            return;
        }
        if self.former.len() == FORMER {
            self.former.pop_front();
        }
        self.former.push_back((now, self.total));
        self.sums[part] = self.sums[part].wrapping_sub(less).wrapping_add(more);
        self.total = self.total.wrapping_sub(less).wrapping_add(more);
    }

    pub fn digest(&self) -> u64 {
        self.total
    }

    /// Whether the digest is that of now, or was a moment ago.
    pub fn in_step(&self, now: Micros, digest: u64) -> bool {
        let mut recent = self.former.iter().filter(|former| now - former.0 <= FORMER_KEPT);
        digest == self.total || recent.any(|former| former.1 == digest)
    }

    pub fn sums(&self) -> Vec<u32> {
        self.sums.iter().map(|sum| (mix(*sum) >> 32) as u32).collect()
    }

    pub fn known(&self) -> usize {
        self.records.len() + self.entries.len()
    }

    pub fn version(&self, node: Node) -> Option<RecordVersion> {
        self.records.get(&node).map(|entry| entry.record.version())
    }

    /// The record that was there before is given back as well.
    pub fn put(&mut self, now: Micros, record: NodeRecord<T>) -> (Put, Option<NodeRecord<T>>) {
        let version = record.version();
        let known = self.version(version.node);
        if known.is_some_and(|known| known >= version) {
            return (Put::Known, None);
        }
        // One that is gone and was never known is not passed on: such a record would go round for ever.
        if known.is_none() && version.gone {
            return (Put::Known, None);
        }
        if record.zone.len() > MAX_NAME_BYTES {
            return (Put::Stranger, None);
        }
        if known.is_none() && self.records.len() >= MAX_NODES {
            let gone = self.records.values().filter(|entry| entry.record.gone);
            let Some(oldest) = gone.min_by_key(|entry| entry.gone_at).map(|entry| entry.record.node) else {
                return (Put::Stranger, None);
            };
            self.records.remove(&oldest);
        }
        self.shift(now, node_part(version.node), known.map_or(0, record_sum), record_sum(version));
        let former = self.records.insert(version.node, Entry { record, gone_at: now });
        (Put::Newer, former.map(|entry| entry.record))
    }

    pub fn put_page(&mut self, now: Micros, key: &str, revision: Revision, bytes: Vec<u8>) -> Put {
        let known = self.entries.get(key).map(|page| page.0);
        if known.is_some_and(|known| known >= revision) {
            return Put::Known;
        }
        let full = known.is_none() && self.entries.len() >= MAX_CONTROL_ENTRIES;
        if full || key.len() > MAX_NAME_BYTES || bytes.len() > MAX_CONTROL_ENTRY_BYTES {
            return Put::Stranger;
        }
        let less = known.map_or(0, |known| page_sum(key, known));
        self.shift(now, page_part(key), less, page_sum(key, revision));
        self.entries.insert(key.to_string(), (revision, bytes));
        Put::Newer
    }

    /// Forgets those that have been gone for long.
    pub fn forget(&mut self, now: Micros, local_node: Node) {
        self.records.retain(|node, entry| {
            *node == local_node || !entry.record.gone || now - entry.gone_at < GONE_RECORD_RETENTION
        });
    }

    /// The parts whose sums differ.
    pub fn differing(&self, sums: &[u32]) -> Vec<u8> {
        let own = self.sums().into_iter().enumerate();
        own.filter(|(part, sum)| sums.get(*part) != Some(sum)).map(|(part, _)| part as u8).collect()
    }

    pub fn in_parts(&self, parts: &[u8]) -> (Vec<RecordVersion>, Vec<(String, Revision)>) {
        let mut chosen = [false; PARTS];
        for part in parts {
            if let Some(part) = chosen.get_mut(usize::from(*part)) {
                *part = true;
            }
        }
        let records = self.records.values().map(|entry| entry.record.version());
        let records = records.filter(|version| chosen[node_part(version.node)]).collect();
        let entries = self.entries.iter().filter(|(key, _)| chosen[page_part(key)]);
        (records, entries.map(|(key, page)| (key.clone(), page.0)).collect())
    }
}
