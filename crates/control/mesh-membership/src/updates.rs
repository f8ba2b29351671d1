//! Dissemination: records and control entries are taken in, and what is newer floods over all links but those whose other
//! side has it. What neighbours still lack is found in `anti_entropy`.
use crate::control_entry::{ControlEntry, EntryView, Revision};
use crate::effect::Effect;
use crate::limits::MAX_FORMER_CONTROL_NODES;
use crate::link::Link;
use crate::membership::{Membership, Subject};
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::record::NodeRecord;
use crate::version_table::Outcome;
use silvercross_time::Instant;
use std::collections::BTreeSet;
use std::fmt::Debug;

/// Records in one message of a snapshot or an update.
const MAX_MESSAGE_RECORDS: usize = 1_024;
/// Bytes of control entries after which a further message is begun.
const MESSAGE_ENTRY_BYTES: usize = 256 << 10;
/// What a record counts for in `redundant_bytes`.
const RECORD_BYTES: u64 = 64;

/// Records and control entries, chunk by chunk.
struct Chunk<T> {
    records: Vec<NodeRecord<T>>,
    entries: Vec<ControlEntry>,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// A control entry in its newest version, by its owner. An older one than is known changes nothing.
    pub fn publish(&mut self, now: Instant, key: &str, revision: Revision, bytes: Vec<u8>) {
        self.note_time(now);
        match self.table.put_entry(now, ControlEntry { key: key.to_string(), revision, bytes }) {
            Outcome::Newer => drop(self.pending.insert(Subject::Entry(key.to_string()), None)),
            Outcome::Rejected => self.metrics.rejected_items += 1,
            Outcome::Known => (),
        }
    }

    /// Puts in a record that is to be disseminated, and keeps the placement; whether it was newer.
    pub(crate) fn put(&mut self, now: Instant, record: NodeRecord<T>) -> bool {
        let (node, zone, is_control, gone) =
            (record.node, record.zone.clone(), record.is_control, record.gone);
        let put = self.table.put(now, record);
        if put.outcome == Outcome::Rejected {
            self.metrics.rejected_items += 1;
        }
        if put.outcome != Outcome::Newer {
            return false;
        }
        let former = put.former;
        let same = former.as_ref().is_some_and(|former| {
            former.gone == gone && former.is_control == is_control && former.zone == zone
        });
        if !same {
            if let Some(former) = former.filter(|former| !former.gone) {
                self.placement.remove(node, &former.zone, former.is_control);
            }
            if !gone {
                self.placement.add(node, &zone, is_control);
            }
            self.links.placement_changed = true;
            self.watches.ring_changed = true;
            if is_control && node != self.config.local_node {
                self.remember_control_node(node);
            }
        }
        self.pending.insert(Subject::Record(node), None);
        true
    }

    /// Keeps a control node in mind beyond its record, as the latest.
    fn remember_control_node(&mut self, node: Node) {
        let former = &mut self.links.former_control_nodes;
        former.retain(|other| *other != node);
        former.insert(0, node);
        former.truncate(MAX_FORMER_CONTROL_NODES);
    }

    /// A neighbour sent a record.
    pub(crate) fn receive_record(&mut self, now: Instant, from: Node, record: NodeRecord<T>) {
        let node = record.node;
        if node == self.config.local_node {
            return self.receive_own_record(now, record);
        }
        if self.put(now, record.clone()) {
            self.pending.insert(Subject::Record(node), Some(from));
            self.effects.push(Effect::RecordChanged(record));
        } else {
            self.metrics.redundant_bytes += RECORD_BYTES;
        }
    }

    /// A neighbour sent a control entry.
    pub(crate) fn receive_entry(&mut self, now: Instant, from: Node, entry: ControlEntry) {
        match self.table.put_entry(now, entry.clone()) {
            Outcome::Newer => {
                self.pending.insert(Subject::Entry(entry.key.clone()), Some(from));
                self.effects.push(Effect::EntryChanged(entry));
            }
            Outcome::Known => self.metrics.redundant_bytes += entry.bytes.len() as u64,
            Outcome::Rejected => self.metrics.rejected_items += 1,
        }
    }

    /// Sends everything that is there to a node that knows nothing yet.
    pub(crate) fn send_snapshot(&mut self, to: Node) {
        let present = self.table.records().filter(|record| !record.gone && record.node != to);
        let nodes = present.map(|record| record.node).collect();
        let keys = self.table.entries().map(|entry| entry.key.to_string()).collect();
        for Chunk { records, entries } in self.chunks(nodes, keys) {
            self.send(to, MembershipMessage::Snapshot { records, entries });
        }
    }

    /// Sends records and control entries as they are now.
    pub(crate) fn send_update(&mut self, to: Node, nodes: BTreeSet<Node>, keys: BTreeSet<String>) {
        for Chunk { records, entries } in self.chunks(nodes, keys) {
            self.send(to, MembershipMessage::Update { records, entries });
        }
    }

    /// Records and control entries as they are now, in chunks of a bounded size (one entry may be longer).
    fn chunks(&self, nodes: BTreeSet<Node>, keys: BTreeSet<String>) -> Vec<Chunk<T>> {
        let mut chunks = Vec::new();
        let mut records = Vec::new();
        for node in nodes {
            records.extend(self.table.record(node).cloned());
            if records.len() >= MAX_MESSAGE_RECORDS {
                chunks.push(Chunk { records: std::mem::take(&mut records), entries: Vec::new() });
            }
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        for key in keys {
            let Some(EntryView { revision, bytes: content, .. }) = self.table.entry(&key) else { continue };
            bytes += content.len();
            entries.push(ControlEntry { key, revision, bytes: content.to_vec() });
            if bytes >= MESSAGE_ENTRY_BYTES {
                bytes = 0;
                let (records, entries) = (std::mem::take(&mut records), std::mem::take(&mut entries));
                chunks.push(Chunk { records, entries });
            }
        }
        if !records.is_empty() || !entries.is_empty() {
            chunks.push(Chunk { records, entries });
        }
        chunks
    }

    /// Sends gathered updates, so that digests sent after them cover them.
    pub(crate) fn flush_updates(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.pending);
        for to in self.linked_nodes() {
            let mut nodes = BTreeSet::new();
            let mut keys = BTreeSet::new();
            for (subject, from) in &pending {
                if self.has_update_from(to, *from) {
                    continue;
                }
                match subject {
                    Subject::Record(node) => drop(nodes.insert(*node)),
                    Subject::Entry(key) => drop(keys.insert(key.clone())),
                }
            }
            self.send_update(to, nodes, keys);
        }
    }

    /// Whether `to` has what `from` sent: the same node, or control nodes that are linked with each other.
    fn has_update_from(&self, to: Node, from: Option<Node>) -> bool {
        let Some(from) = from else { return false };
        let linked =
            |from: &Link| self.config.is_control && self.placement.is_control(to) && from.updates(to);
        to == from || self.links.up.get(&from).is_some_and(linked)
    }
}
