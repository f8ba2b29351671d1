//! Anti-entropy: neighbours compare digests, list the versions in the buckets that differ, and fetch what
//! they lack. Changes are disseminated by `updates`.
use crate::control_entry::{EntryRevision, Revision};
use crate::membership::Membership;
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::record::{NodeRecord, RecordVersion};
use crate::version_table::BUCKETS;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Records and entries that are newer on this side.
struct NewerLocally {
    nodes: BTreeSet<Node>,
    keys: BTreeSet<String>,
}

/// Records and entries that are newer on the other side of a link.
struct NewerRemotely {
    nodes: Vec<Node>,
    entries: Vec<EntryRevision>,
}

/// Versions listed by the other side of a link.
struct RemoteVersions {
    records: BTreeMap<Node, RecordVersion>,
    entries: BTreeMap<String, Revision>,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Sends the first message on an established link.
    pub(crate) fn send_hello(&mut self, to: Node) {
        self.flush_updates();
        if let Some(record) = self.own_record().cloned() {
            let (digest, known_items) = (self.table.digest(), self.table.known_items() as u32);
            let position = self.position();
            self.send(to, MembershipMessage::Hello { record, digest, known_items, position });
        }
    }

    /// Handles a neighbour's hello. A neighbour that knows nothing is sent a snapshot; otherwise the node
    /// with the lower address starts the comparison.
    pub(crate) fn receive_hello(
        &mut self,
        now: Instant,
        from: Node,
        record: NodeRecord<T>,
        digest: u64,
        known_items: u32,
    ) {
        let was_empty = self.table.known_items() <= 1;
        self.receive_hello_record(now, from, record);
        if known_items <= 1 {
            self.send_snapshot(from);
        } else if !was_empty && self.config.local_node < from && !self.table.in_sync(now, digest) {
            self.send_bucket_digests(from);
        }
    }

    /// Handles the sender's record in its hello, and sends back a newer record of it if one is known here.
    fn receive_hello_record(&mut self, now: Instant, from: Node, record: NodeRecord<T>) {
        let introduced = record.version();
        if record.node != from {
            self.metrics.rejected_items += 1;
            return;
        }
        let body = record.body.clone();
        self.receive_record(now, from, record);
        let has_newer = self.table.record(from).is_some_and(|known| {
            known.version() > introduced || (known.version() == introduced && known.body != body)
        });
        if has_newer {
            self.send_records(from, BTreeSet::from([from]));
        }
    }

    /// Sends a keep-alive with the current digest.
    pub(crate) fn send_keepalive(&mut self, to: Node, wants_reply: bool) {
        self.flush_updates();
        let position = self.position();
        let digest = self.table.digest();
        self.send(to, MembershipMessage::KeepAlive { digest, wants_reply, position });
    }

    /// Handles a keep-alive and compares digests.
    pub(crate) fn receive_keepalive(&mut self, now: Instant, from: Node, digest: u64, wants_reply: bool) {
        let equal = self.table.in_sync(now, digest);
        let between_control_nodes = self.config.is_control && self.placement.is_control(from);
        if equal && (between_control_nodes || self.links.parent == Some(from)) {
            self.synced_at = Some(now);
        }
        if wants_reply {
            self.send_keepalive(from, false);
            if !equal {
                self.send_bucket_digests(from);
            }
        }
    }

    fn send_bucket_digests(&mut self, to: Node) {
        self.flush_updates();
        let digests = self.table.bucket_digests();
        debug_assert_eq!(digests.len(), BUCKETS);
        self.send(to, MembershipMessage::BucketDigests { digests });
    }

    /// Answers with the versions in the buckets that differ.
    pub(crate) fn receive_bucket_digests(&mut self, from: Node, digests: &[u32]) {
        let buckets = self.table.differing_buckets(digests);
        if buckets.is_empty() {
            return;
        }
        self.flush_updates();
        let versions = self.table.versions_in(&buckets);
        self.metrics.indexes_sent += 1;
        let (records, entries) = (versions.records, versions.entries);
        self.send(from, MembershipMessage::VersionIndex { buckets, records, entries });
    }

    /// Compares the listed versions: sends or announces what is newer here, and fetches what is newer
    /// there. Without buckets the index is an announcement of entries.
    pub(crate) fn receive_version_index(
        &mut self,
        now: Instant,
        from: Node,
        buckets: &[u8],
        records: Vec<RecordVersion>,
        entries: Vec<EntryRevision>,
    ) {
        for entry in &entries {
            self.record_remote_entry(from, &entry.key, entry.revision);
        }
        let remote = RemoteVersions {
            records: records.into_iter().map(|version| (version.node, version)).collect(),
            entries: entries.into_iter().map(|entry| (entry.key, entry.revision)).collect(),
        };
        let newer_locally = self.newer_locally(buckets, &remote);
        let newer_remotely = self.newer_remotely(&remote);
        self.send_records(from, newer_locally.nodes);
        self.offer_entries(from, newer_locally.keys);
        if let Some(own) = remote.records.get(&self.config.local_node).copied() {
            self.receive_own_version(now, own);
        }
        if !newer_remotely.nodes.is_empty() {
            self.send(from, MembershipMessage::Fetch { nodes: newer_remotely.nodes, keys: Vec::new() });
        }
        self.want_entries(from, newer_remotely.entries);
    }

    /// What is newer here in these buckets. A gone record is not sent to a node that never knew it.
    fn newer_locally(&self, buckets: &[u8], remote: &RemoteVersions) -> NewerLocally {
        let local = self.table.versions_in(buckets);
        let records = local.records.iter().filter(|version| match remote.records.get(&version.node) {
            Some(other) => other < *version,
            None => !version.gone,
        });
        let entries = local
            .entries
            .into_iter()
            .filter(|entry| remote.entries.get(&entry.key).is_none_or(|other| *other < entry.revision));
        NewerLocally {
            nodes: records.map(|version| version.node).collect(),
            keys: entries.map(|entry| entry.key).collect(),
        }
    }

    fn newer_remotely(&self, remote: &RemoteVersions) -> NewerRemotely {
        let records = remote
            .records
            .values()
            .filter(|other| self.table.version(other.node).map_or(!other.gone, |own| own < **other));
        let entries = remote
            .entries
            .iter()
            .filter(|(key, other)| self.table.entry(key).is_none_or(|own| own.revision < **other));
        NewerRemotely {
            nodes: records.map(|other| other.node).collect(),
            entries: entries
                .map(|(key, revision)| EntryRevision { key: key.clone(), revision: *revision })
                .collect(),
        }
    }
}
