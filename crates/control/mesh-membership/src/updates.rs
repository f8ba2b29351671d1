//! Dissemination: newer records and control entries are stored and flooded over all links except those
//! whose other side has them. What neighbours still lack is found by `anti_entropy`.
use crate::control_entry::{ControlEntry, EntryRevision, EntryView, Revision};
use crate::effect::Effect;
use crate::freshness::Mutation;
use crate::limits::MAX_FORMER_CONTROL_NODES;
use crate::link::Link;
use crate::membership::{Membership, UpdateKey};
use crate::message::MembershipMessage;
use crate::node::Node;
use crate::record::NodeRecord;
use crate::version_table::PutOutcome;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Maximum number of records in a snapshot or update message.
const MAX_MESSAGE_RECORDS: usize = 1_024;
/// Size of a record as counted in `redundant_bytes`.
const RECORD_BYTES: u64 = 64;

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Publishes the newest version of a control entry, called by its owner. Has no effect if that version
    /// or a newer one is known.
    pub fn publish(&mut self, now: Instant, key: &str, revision: Revision, bytes: Vec<u8>) {
        self.note_time(now);
        match self.table.put_entry(now, ControlEntry { key: key.to_string(), revision, bytes }) {
            PutOutcome::Newer => drop(self.pending.insert(UpdateKey::Entry(key.to_string()), None)),
            PutOutcome::Rejected => self.metrics.rejected_items += 1,
            PutOutcome::Known => (),
        }
    }

    /// Stores a record for dissemination and updates the placement; returns whether it was newer.
    pub(crate) fn put(&mut self, now: Instant, record: NodeRecord<T>) -> bool {
        let (node, zone, is_control, gone) =
            (record.node, record.zone.clone(), record.is_control, record.gone);
        let put = self.table.put(now, record);
        if put.outcome == PutOutcome::Rejected {
            self.metrics.rejected_items += 1;
        }
        if put.outcome != PutOutcome::Newer {
            return false;
        }
        let former = put.previous;
        let same_placement = former.as_ref().is_some_and(|former| {
            former.gone == gone && former.is_control == is_control && former.zone == zone
        });
        if !same_placement {
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
        self.pending.insert(UpdateKey::Record(node), None);
        true
    }

    /// Remembers a control node beyond the lifetime of its record, as the latest one.
    fn remember_control_node(&mut self, node: Node) {
        let former = &mut self.links.former_control_nodes;
        former.retain(|other| *other != node);
        former.insert(0, node);
        former.truncate(MAX_FORMER_CONTROL_NODES);
    }

    pub(crate) fn receive_record(&mut self, now: Instant, from: Node, record: NodeRecord<T>) {
        let node = record.node;
        if node == self.config.local_node {
            return self.receive_own_record(now, record);
        }
        if self.put(now, record.clone()) {
            self.pending.insert(UpdateKey::Record(node), Some(from));
            self.effects.push(Effect::RecordChanged(record));
        } else {
            self.metrics.redundant_bytes += RECORD_BYTES;
        }
    }

    pub(crate) fn receive_entry(&mut self, now: Instant, from: Node, entry: ControlEntry) {
        self.record_remote_entry(from, &entry.key, entry.revision);
        if let Some(link) = self.links.up.get_mut(&from) {
            link.requests.received(&entry.key, entry.revision);
        }
        match self.table.put_entry(now, entry.clone()) {
            PutOutcome::Newer => {
                self.pending.insert(UpdateKey::Entry(entry.key.clone()), Some(from));
                self.effects.push(Effect::EntryChanged(entry));
            }
            PutOutcome::Known => self.metrics.redundant_bytes += entry.bytes.len() as u64,
            PutOutcome::Rejected => self.metrics.rejected_items += 1,
        }
    }

    /// Records that a neighbour has this revision: if it is the newest one, nothing has to be sent to it.
    pub(crate) fn record_remote_entry(&mut self, from: Node, key: &str, revision: Revision) {
        let newest = self.table.entry(key).map_or(revision, |known| known.revision);
        if let Some(link) = self.links.up.get_mut(&from) {
            link.outbox.record_remote(key, revision, newest);
        }
    }

    /// Sends all known items to a node that knows nothing yet.
    pub(crate) fn send_snapshot(&mut self, to: Node) {
        let present = self.table.records().filter(|record| !record.gone && record.node != to);
        let nodes = present.map(|record| record.node).collect();
        for records in self.record_chunks(nodes) {
            self.send(to, MembershipMessage::Snapshot { records, entries: Vec::new() });
        }
        let keys = self.table.entries().map(|entry| entry.key.to_string()).collect();
        self.offer_entries(to, keys);
    }

    /// Sends the current records of the given nodes.
    pub(crate) fn send_records(&mut self, to: Node, nodes: BTreeSet<Node>) {
        for records in self.record_chunks(nodes) {
            self.send(to, MembershipMessage::Update { records, entries: Vec::new() });
        }
    }

    /// Queues control entries that the neighbour lacks.
    pub(crate) fn offer_entries(&mut self, to: Node, keys: BTreeSet<String>) {
        let Some(link) = self.links.up.get_mut(&to) else { return };
        for key in keys {
            link.outbox.enqueue(&key);
        }
    }

    /// Handles a request for control entries. Each is sent in its current version at the time of sending.
    pub(crate) fn receive_entry_request(&mut self, from: Node, keys: Vec<String>) {
        let Some(link) = self.links.up.get_mut(&from) else { return };
        for key in keys.iter().filter(|key| self.table.entry(key).is_some()) {
            link.outbox.request(key);
        }
    }

    /// Records which newer revisions the neighbour has.
    pub(crate) fn want_entries(&mut self, from: Node, entries: Vec<EntryRevision>) {
        let Some(link) = self.links.up.get_mut(&from) else { return };
        for entry in entries {
            link.requests.want(&entry.key, entry.revision);
        }
    }

    /// Reports that the network has accepted the message of the last [`Effect::SendEntries`] for this link.
    pub fn entries_sent(&mut self, now: Instant, to: Node) {
        self.note_time(now);
        if let Some(link) = self.links.up.get_mut(&to) {
            link.outbox.message_sent();
        }
    }

    /// Reports that the connection to this node has been replaced by another one.
    pub fn connection_changed(&mut self, now: Instant, to: Node) {
        self.note_time(now);
        if let Some(link) = self.links.up.get_mut(&to) {
            link.connection_changed();
        }
    }

    /// The current records of the given nodes, in chunks of limited size.
    fn record_chunks(&self, nodes: BTreeSet<Node>) -> Vec<Vec<NodeRecord<T>>> {
        let records: Vec<NodeRecord<T>> =
            nodes.into_iter().filter_map(|node| self.table.record(node).cloned()).collect();
        records.chunks(MAX_MESSAGE_RECORDS).map(<[_]>::to_vec).collect()
    }

    /// Sends pending updates as far as the links accept them, so that digests sent afterwards cover them.
    pub(crate) fn flush_updates(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for to in self.linked_nodes() {
            if !pending.is_empty() {
                self.enqueue_updates(to, &pending);
            }
            self.announce_entries(to);
            self.send_next_entries(to);
            self.send_next_request(to);
        }
    }

    /// Sends the pending records, and queues the pending control entries.
    fn enqueue_updates(&mut self, to: Node, pending: &BTreeMap<UpdateKey, Option<Node>>) {
        let mut nodes = BTreeSet::new();
        for (subject, from) in pending {
            if self.has_update_from(to, *from) {
                continue;
            }
            match subject {
                UpdateKey::Record(node) => drop(nodes.insert(*node)),
                UpdateKey::Entry(key) => self.enqueue_entry(to, key),
            }
        }
        self.send_records(to, nodes);
    }

    fn enqueue_entry(&mut self, to: Node, key: &str) {
        if let Some(link) = self.links.up.get_mut(&to) {
            self.metrics.entries_superseded += u64::from(link.outbox.enqueue(key));
        }
    }

    /// Announces newer control entries with a version index without buckets.
    fn announce_entries(&mut self, to: Node) {
        let table = &self.table;
        let Some(link) = self.links.up.get_mut(&to) else { return };
        let entries = link.outbox.next_announcement(|key| table.entry(key).map(|entry| entry.revision));
        if self.check.has_mutation(Mutation::SendsEveryVersion) {
            entries.iter().for_each(|entry| link.outbox.request(&entry.key));
            return;
        }
        if !entries.is_empty() {
            let (buckets, records) = (Vec::new(), Vec::new());
            self.send(to, MembershipMessage::VersionIndex { buckets, records, entries });
        }
    }

    /// Sends requested control entries unless a message with some is in flight.
    fn send_next_entries(&mut self, to: Node) {
        let table = &self.table;
        let newest = |key: &str| {
            table.entry(key).map(|EntryView { revision, bytes, .. }| ControlEntry {
                key: key.to_string(),
                revision,
                bytes: bytes.to_vec(),
            })
        };
        let Some(link) = self.links.up.get_mut(&to) else { return };
        if self.check.has_mutation(Mutation::SendsEveryVersion) {
            link.outbox.message_sent();
        }
        if let Some(entries) = link.outbox.next_message(newest) {
            self.metrics.messages_sent += 1;
            let message = MembershipMessage::Update { records: Vec::new(), entries };
            self.effects.push(Effect::SendEntries { to, message });
        }
    }

    /// Requests announced control entries unless a reply is pending.
    fn send_next_request(&mut self, to: Node) {
        let (table, now) = (&self.table, self.last_call_at);
        let Some(link) = self.links.up.get_mut(&to) else { return };
        if self.check.has_mutation(Mutation::AsksForEveryVersion) {
            link.requests.connection_changed();
        }
        let keys = link.requests.next_request(now, |key| table.entry(key).map(|entry| entry.revision));
        if !keys.is_empty() {
            self.send(to, MembershipMessage::Fetch { nodes: Vec::new(), keys });
        }
    }

    /// Whether `to` has what `from` sent: it is the same node, or both are control nodes linked with each
    /// other.
    fn has_update_from(&self, to: Node, from: Option<Node>) -> bool {
        let Some(from) = from else { return false };
        let linked =
            |from: &Link| self.config.is_control && self.placement.is_control(to) && from.is_linked_with(to);
        to == from || self.links.up.get(&from).is_some_and(linked)
    }
}
