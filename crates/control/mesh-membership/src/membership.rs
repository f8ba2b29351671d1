//! The state of one node, news and how it is kept in step.
use crate::freshness::Check;
use crate::places::{Candidates, Places};
use crate::table::{Put, Table, PARTS};
use crate::tree::{Bad, Link};
use crate::watch::Watch;
use crate::{
    mix, ControlEntry, Datagram, Effect, MembershipConfig, MembershipMessage, Micros, Node, NodeRecord,
    RecordVersion, Revision,
};
use crate::{GONE_RECORD_RETENTION, HEARTBEAT_INTERVAL, LINK_TIMEOUT, MAX_NODES, STALL_THRESHOLD};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Records in one letter of a snapshot or of news.
const LETTER_RECORDS: usize = 1_024;
/// Bytes of pages after which a further letter is begun.
const LETTER_BYTES: usize = 256 << 10;
/// What a record counts for when it wasn't needed.
const RECORD_BYTES: u64 = 64;
/// Between two looks for records to be forgotten.
const FORGET: Micros = GONE_RECORD_RETENTION / 12;
/// Core nodes remembered after their records are forgotten.
const MOST_FURTHER: usize = 16;

/// Counters since the start.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Metrics {
    /// Letters sent.
    pub messages_sent: u64,
    /// Bytes of pages, and of records at 64 each, that came and were known already.
    pub redundant_bytes: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Nodes that other watchers were asked about.
    pub nodes_suspected: u64,
    /// Nodes that were found gone here.
    pub nodes_declared_gone: u64,
    /// Times that a record of this node, not written by it, was overruled.
    pub records_refuted: u64,
    /// Changes of parent.
    pub parent_changes: u64,
    /// Indexes sent.
    pub indexes_sent: u64,
    /// Requests for what a majority has, sent up; at a core node, reads of the control store.
    pub freshness_requests: u64,
    /// Records, pages and names beyond a bound, dropped.
    pub rejected_items: u64,
}

/// What news is about.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Subject {
    NodeRecord(Node),
    ControlEntry(String),
}

/// One node's part in the mesh.
///
/// Bounded: [`crate::MAX_NODES`] records, [`crate::MAX_CONTROL_ENTRIES`] pages, links to nodes that could be in the mesh (4,096;
/// further ones are dropped at once), news not yet taken up to one item for each record and page.
pub struct Membership<T> {
    pub(crate) start: MembershipConfig,
    pub(crate) table: Table<T>,
    pub(crate) places: Places,
    /// The places changed since the parents to choose from were listed.
    pub(crate) moved: bool,
    pub(crate) candidates: Candidates,
    pub(crate) links: BTreeMap<Node, Link>,
    pub(crate) dials: BTreeMap<Node, Micros>,
    pub(crate) bad: BTreeMap<Node, Bad>,
    /// Core nodes that were known at some time, at most 16, the latest first.
    pub(crate) further: Vec<Node>,
    pub(crate) parent: Option<Node>,
    pub(crate) last_dial: Micros,
    pub(crate) unfit_since: Option<Micros>,
    pub(crate) unrooted_since: Option<Micros>,
    /// Its neighbours were told that it has a way to the core.
    pub(crate) told_rooted: bool,
    pub(crate) steer_at: Micros,
    pub(crate) began: Micros,
    pub(crate) last: Micros,
    pub(crate) tended: Micros,
    pub(crate) beat_at: Micros,
    forget_at: Micros,
    pub(crate) watches: BTreeMap<Node, Watch>,
    pub(crate) successors: Vec<Node>,
    pub(crate) ring_moved: bool,
    pub(crate) confirmed: Option<Micros>,
    pub(crate) check: Check,
    pending: BTreeMap<Subject, Option<Node>>,
    pub(crate) out: Vec<Effect<T>>,
    pub(crate) metrics: Metrics,
}

impl MembershipConfig {
    /// Seeds but itself, in an order of its own.
    fn in_order(&self, seeds: &[Node]) -> Vec<Node> {
        let mut seeds: Vec<Node> = seeds.iter().copied().filter(|node| *node != self.local_node).collect();
        seeds.sort_unstable_by_key(|node| (mix(self.random_seed ^ u64::from(node.0)), *node));
        seeds.dedup();
        seeds
    }
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// A node that knows itself and its seeds.
    pub fn new(now: Micros, start: MembershipConfig, body: T) -> Self {
        let local_node = start.local_node;
        let seeds = start.in_order(&start.seeds);
        let phase = (mix(start.random_seed) % HEARTBEAT_INTERVAL as u64) as Micros;
        let mut membership = Membership {
            table: Table::new(),
            places: Places::default(),
            moved: true,
            candidates: Candidates::default(),
            links: BTreeMap::new(),
            dials: BTreeMap::new(),
            bad: BTreeMap::new(),
            further: Vec::new(),
            parent: None,
            last_dial: now.saturating_sub(LINK_TIMEOUT),
            unfit_since: None,
            unrooted_since: None,
            told_rooted: false,
            steer_at: now,
            began: now,
            last: now,
            tended: now,
            beat_at: now + phase,
            forget_at: now + FORGET,
            watches: BTreeMap::new(),
            successors: Vec::new(),
            ring_moved: true,
            confirmed: None,
            check: Check::new(now, start.is_control, mix(start.random_seed ^ mix(start.incarnation))),
            pending: BTreeMap::new(),
            out: Vec::new(),
            metrics: Metrics::default(),
            start: MembershipConfig { seeds, ..start },
        };
        let record = NodeRecord {
            node: local_node,
            incarnation: membership.start.incarnation,
            // Drawn, so that two starts with the same life can be told apart.
            sequence: mix(membership.start.random_seed) >> 44,
            zone: membership.start.zone.clone(),
            is_control: membership.start.is_control,
            gone: false,
            body,
        };
        membership.put(now, record);
        membership.pending.clear();
        membership
    }

    /// Other seeds than at the start; nodes met meanwhile stay known.
    pub fn set_seeds(&mut self, now: Micros, seeds: &[Node]) {
        self.start.seeds = self.start.in_order(seeds);
        self.moved = true;
        self.tick(now);
    }

    /// The node says something else of itself from now on.
    pub fn update_body(&mut self, now: Micros, body: T) {
        self.at(now);
        let Some(own) = self.own() else { return };
        if own.gone || own.body == body {
            return;
        }
        let record = NodeRecord { sequence: own.sequence + 1, body, ..own.clone() };
        self.put(now, record);
    }

    /// A page in its newest version, by its owner. An older one than is known changes nothing.
    pub fn publish(&mut self, now: Micros, key: &str, revision: Revision, bytes: Vec<u8>) {
        self.at(now);
        match self.table.put_page(now, key, revision, bytes) {
            Put::Newer => drop(self.pending.insert(Subject::ControlEntry(key.to_string()), None)),
            Put::Stranger => self.metrics.rejected_items += 1,
            Put::Known => (),
        }
    }

    /// A letter came over a link.
    pub fn receive(&mut self, now: Micros, from: Node, message: MembershipMessage<T>) {
        self.at(now);
        let Some(link) = self.links.get_mut(&from) else { return };
        link.heard = now;
        match message {
            MembershipMessage::Hello { record, digest, known, position } => {
                let first = self.table.known() <= 1;
                link.position(position);
                link.greeted = true;
                self.hello(now, from, record);
                if known <= 1 {
                    self.snapshot(from);
                } else if !first && self.start.local_node < from && !self.table.in_step(now, digest) {
                    self.send_sums(from);
                }
                self.steer(now);
            }
            MembershipMessage::KeepAlive { digest, ask, position } => {
                let changed = link.position(position);
                let equal = self.table.in_step(now, digest);
                let is_core = self.start.is_control && self.places.control_nodes.contains_key(&from);
                if equal && (is_core || self.parent == Some(from)) {
                    self.confirmed = Some(now);
                }
                if ask {
                    self.send_pulse(from, false);
                    if !equal {
                        self.send_sums(from);
                    }
                }
                if changed {
                    self.steer(now);
                }
            }
            MembershipMessage::PartDigests { digests: sums } => {
                let parts = self.table.differing(&sums);
                if !parts.is_empty() {
                    self.flush();
                    let (records, entries) = self.table.in_parts(&parts);
                    self.metrics.indexes_sent += 1;
                    self.send(from, MembershipMessage::VersionIndex { parts, records, entries });
                }
            }
            MembershipMessage::VersionIndex { parts, records, entries } => {
                self.index(now, from, &parts, records, entries)
            }
            MembershipMessage::Fetch { records, entries } => {
                let wanted: BTreeSet<Node> = records.into_iter().collect();
                let entries: BTreeSet<String> = entries.into_iter().collect();
                self.send_news(from, wanted, entries, false);
            }
            MembershipMessage::Update { records, entries }
            | MembershipMessage::Snapshot { records, entries } => {
                for record in records {
                    self.take_record(now, Some(from), record);
                }
                for page in entries {
                    self.take_page(now, from, page);
                }
            }
            MembershipMessage::FreshnessRequest { number } => self.freshness_asked(from, number),
            MembershipMessage::FreshnessReply { number, revisions } => {
                self.freshness_answered(now, number, revisions)
            }
        }
        self.settle(now);
    }

    /// A datagram came.
    pub fn receive_datagram(&mut self, now: Micros, from: Node, datagram: Datagram) {
        self.at(now);
        self.watch_datagram(now, from, datagram);
        self.settle(now);
    }

    /// A link is up, by either side's making.
    pub fn link_up(&mut self, now: Micros, node: Node) {
        self.at(now);
        if node == self.start.local_node || (self.links.len() >= MAX_NODES && !self.links.contains_key(&node))
        {
            self.out.push(Effect::CloseLink { to: node });
            return;
        }
        self.tree_link_up(now, node);
        self.flush();
        if let Some(own) = self.own().cloned() {
            let (digest, known) = (self.table.digest(), self.table.known() as u32);
            let position = self.position();
            self.send(node, MembershipMessage::Hello { record: own, digest, known, position });
        }
        self.settle(now);
    }

    /// A link went down, or could not be made.
    pub fn link_down(&mut self, now: Micros, node: Node) {
        self.at(now);
        self.lose(now, node);
        self.settle(now);
    }

    /// Whether the machine of the node took a connection.
    pub fn probe_finished(&mut self, now: Micros, node: Node, ok: bool) {
        self.at(now);
        self.watch_tried(now, node, ok);
        self.settle(now);
    }

    /// Signs off, and tells it. Links are kept until the process ends.
    pub fn leave(&mut self, now: Micros) {
        self.at(now);
        let Some(own) = self.own() else { return };
        if !own.gone {
            let record = NodeRecord { sequence: own.sequence + 1, gone: true, ..own.clone() };
            self.put(now, record);
        }
    }

    /// Time went on.
    pub fn tick(&mut self, now: Micros) {
        self.at(now);
        self.tend_links(now);
        self.tend_watches(now);
        if now >= self.forget_at {
            self.forget_at = now + FORGET;
            self.table.forget(now, self.start.local_node);
            self.bad.retain(|_, bad| bad.until + GONE_RECORD_RETENTION > now);
        }
        if now >= self.steer_at {
            self.steer(now);
        }
        self.settle(now);
    }

    /// When the next tick is due.
    pub fn next_deadline(&self) -> Micros {
        let soonest = self.beat_at.min(self.forget_at).min(self.steer_at);
        soonest.min(self.links_due()).min(self.watches_due()).min(self.freshness_due())
    }

    /// What is to be done since the last take. News is gathered into one letter for each link.
    pub fn take_effects(&mut self) -> Vec<Effect<T>> {
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// All records, this node's own as well, and of those lately gone.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord<T>> {
        self.table.records.values().map(|entry| &entry.record)
    }

    /// The record of one node.
    pub fn record(&self, node: Node) -> Option<&NodeRecord<T>> {
        self.table.records.get(&node).map(|entry| &entry.record)
    }

    /// The newest known version of a page.
    pub fn control_entry(&self, key: &str) -> Option<(&Revision, &[u8])> {
        self.table.entries.get(key).map(|page| (&page.0, page.1.as_slice()))
    }

    /// All pages.
    pub fn control_entries(&self) -> impl Iterator<Item = (&str, &Revision, &[u8])> {
        self.table.entries.iter().map(|(key, page)| (key.as_str(), &page.0, page.1.as_slice()))
    }

    /// Where news comes from; none for core nodes.
    pub fn parent(&self) -> Option<Node> {
        self.parent
    }

    /// Those with a link that is up.
    pub fn linked_nodes(&self) -> Vec<Node> {
        self.links.keys().copied().collect()
    }

    /// Whether there is a link on which something came lately: of a core node any, of others the parent's.
    pub fn is_connected(&self, now: Micros) -> bool {
        let fresh = |link: &Link| now - link.heard <= LINK_TIMEOUT;
        match self.parent {
            Some(parent) => self.links.get(&parent).is_some_and(fresh),
            None => self.start.is_control && self.links.values().any(fresh),
        }
    }

    /// This node's life.
    pub fn incarnation(&self) -> u64 {
        self.own().map_or(self.start.incarnation, |own| own.incarnation)
    }

    /// Time since the parent, or for a core node any other, was last found to know the same.
    pub fn last_sync_age(&self, now: Micros) -> Option<Micros> {
        self.confirmed.map(|at| now - at)
    }

    /// Counters.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    pub(crate) fn own(&self) -> Option<&NodeRecord<T>> {
        self.table.records.get(&self.start.local_node).map(|entry| &entry.record)
    }

    /// Notes the time. After standing still what was not heard says nothing of others.
    pub(crate) fn at(&mut self, now: Micros) {
        if now - self.last > STALL_THRESHOLD {
            self.check.stood_still(now, now - self.last);
            self.links.values_mut().for_each(|link| link.heard = now);
            self.watches.values_mut().for_each(|watch| *watch = Watch::new(now));
        }
        self.last = self.last.max(now);
    }

    pub(crate) fn settle(&mut self, now: Micros) {
        if self.moved {
            self.steer(now);
        }
        self.tell_standing();
        self.tend_freshness(now);
    }

    pub(crate) fn send(&mut self, to: Node, message: MembershipMessage<T>) {
        self.metrics.messages_sent += 1;
        self.out.push(Effect::SendMessage { to, message });
    }

    /// Puts in a record that is to be told, and keeps the places.
    pub(crate) fn put(&mut self, now: Micros, record: NodeRecord<T>) -> bool {
        let (node, zone, is_control, gone) =
            (record.node, record.zone.clone(), record.is_control, record.gone);
        let (put, former) = self.table.put(now, record);
        if put == Put::Stranger {
            self.metrics.rejected_items += 1;
        }
        if put != Put::Newer {
            return false;
        }
        let same = former.as_ref().is_some_and(|former| {
            former.gone == gone && former.is_control == is_control && former.zone == zone
        });
        if !same {
            if let Some(former) = former.filter(|former| !former.gone) {
                self.places.remove(node, &former.zone, former.is_control);
            }
            if !gone {
                self.places.add(node, &zone, is_control);
            }
            self.moved = true;
            self.ring_moved = true;
        }
        if is_control && node != self.start.local_node && self.further.first() != Some(&node) && !same {
            self.further.retain(|other| *other != node);
            self.further.insert(0, node);
            self.further.truncate(MOST_FURTHER);
        }
        self.pending.insert(Subject::NodeRecord(node), None);
        true
    }

    /// A record that others told.
    fn take_record(&mut self, now: Micros, from: Option<Node>, record: NodeRecord<T>) {
        let node = record.node;
        if node == self.start.local_node {
            return self.own_told(now, record);
        }
        if self.put(now, record.clone()) {
            self.pending.insert(Subject::NodeRecord(node), from);
            self.out.push(Effect::RecordChanged(record));
        } else {
            self.metrics.redundant_bytes += RECORD_BYTES;
        }
    }

    /// A record of this node: one that it didn't write is overruled.
    fn own_told(&mut self, now: Micros, record: NodeRecord<T>) {
        let Some(own) = self.own() else { return };
        if own.gone {
            return;
        }
        let other_life = record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && record.sequence > own.sequence)
            || (record.version() == own.version() && record.body != own.body);
        let called_gone =
            record.gone && record.incarnation == own.incarnation && record.sequence == own.sequence;
        let refuted = if other_life {
            NodeRecord { incarnation: record.incarnation.saturating_add(1), sequence: 0, ..own.clone() }
        } else if called_gone {
            NodeRecord { sequence: own.sequence + 1, ..own.clone() }
        } else {
            return;
        };
        self.refute(now, refuted);
    }

    pub(crate) fn refute(&mut self, now: Micros, record: NodeRecord<T>) {
        self.metrics.records_refuted += 1;
        self.put(now, record);
    }

    fn take_page(&mut self, now: Micros, from: Node, page: ControlEntry) {
        let size = page.bytes.len() as u64;
        match self.table.put_page(now, &page.key, page.revision, page.bytes.clone()) {
            Put::Newer => {
                self.pending.insert(Subject::ControlEntry(page.key.clone()), Some(from));
                self.out.push(Effect::EntryChanged {
                    key: page.key,
                    revision: page.revision,
                    bytes: page.bytes,
                });
            }
            Put::Known => self.metrics.redundant_bytes += size,
            Put::Stranger => self.metrics.rejected_items += 1,
        }
    }

    /// The record that a neighbour told of itself. It is shown a newer one of it, if that is known here.
    fn hello(&mut self, now: Micros, from: Node, record: NodeRecord<T>) {
        let told = record.version();
        if record.node != from {
            self.metrics.rejected_items += 1;
            return;
        }
        let body = record.body.clone();
        self.take_record(now, Some(from), record);
        let newer = self.table.records.get(&from).is_some_and(|entry| {
            entry.record.version() > told || (entry.record.version() == told && entry.record.body != body)
        });
        if newer {
            self.send_news(from, BTreeSet::from([from]), BTreeSet::new(), false);
        }
    }

    /// Compares what the other listed: sends what is newer here and asks for what is newer there.
    fn index(
        &mut self,
        now: Micros,
        from: Node,
        parts: &[u8],
        records: Vec<RecordVersion>,
        entries: Vec<(String, Revision)>,
    ) {
        let (mine, my_pages) = self.table.in_parts(parts);
        let theirs: BTreeMap<Node, RecordVersion> =
            records.into_iter().map(|version| (version.node, version)).collect();
        let their_pages: BTreeMap<String, Revision> = entries.into_iter().collect();
        let newer_here = mine.iter().filter(|version| match theirs.get(&version.node) {
            Some(other) => other < version,
            None => !version.gone,
        });
        let send: BTreeSet<Node> = newer_here.map(|version| version.node).collect();
        let newer = my_pages.iter().filter(|(key, at)| their_pages.get(key).is_none_or(|other| other < at));
        let send_pages: BTreeSet<String> = newer.map(|(key, _)| key.clone()).collect();
        let want: Vec<Node> = theirs
            .values()
            .filter(|other| self.table.version(other.node).map_or(!other.gone, |own| own < **other))
            .map(|other| other.node)
            .collect();
        let newer_there = their_pages
            .iter()
            .filter(|(key, at)| self.table.entries.get(*key).is_none_or(|page| page.0 < **at));
        let want_pages: Vec<String> = newer_there.map(|(key, _)| key.clone()).collect();
        self.send_news(from, send, send_pages, false);
        if let Some(own) = theirs.get(&self.start.local_node).copied() {
            self.version_told(now, own);
        }
        if !want.is_empty() || !want_pages.is_empty() {
            self.send(from, MembershipMessage::Fetch { records: want, entries: want_pages });
        }
    }

    /// Others know a version of this node that it didn't write.
    pub(crate) fn version_told(&mut self, now: Micros, version: RecordVersion) {
        if let Some(own) = self.own() {
            // Only versions are compared; a record of the same version is taken for its own.
            let record = NodeRecord {
                incarnation: version.incarnation,
                sequence: version.sequence,
                gone: version.gone,
                ..own.clone()
            };
            self.own_told(now, record);
        }
    }

    fn snapshot(&mut self, to: Node) {
        let live = self.table.records.values().filter(|entry| !entry.record.gone && entry.record.node != to);
        let records = live.map(|entry| entry.record.node).collect();
        let entries = self.table.entries.keys().cloned().collect();
        self.send_news(to, records, entries, true);
    }

    /// Sends records and pages as they are now, in letters of a bounded size (one page may be longer).
    fn send_news(&mut self, to: Node, nodes: BTreeSet<Node>, keys: BTreeSet<String>, snapshot: bool) {
        let mut records = Vec::new();
        let mut entries = Vec::new();
        let mut bytes = 0;
        let wrap = |records: &mut Vec<NodeRecord<T>>, entries: &mut Vec<ControlEntry>| {
            let (records, entries) = (std::mem::take(records), std::mem::take(entries));
            if snapshot {
                MembershipMessage::Snapshot { records, entries }
            } else {
                MembershipMessage::Update { records, entries }
            }
        };
        let mut messages = Vec::new();
        for node in nodes {
            records.extend(self.table.records.get(&node).map(|entry| entry.record.clone()));
            if records.len() >= LETTER_RECORDS {
                messages.push(wrap(&mut records, &mut entries));
            }
        }
        for key in keys {
            let Some((revision, content)) = self.table.entries.get(&key) else { continue };
            bytes += content.len();
            entries.push(ControlEntry { key, revision: *revision, bytes: content.clone() });
            if bytes >= LETTER_BYTES {
                bytes = 0;
                messages.push(wrap(&mut records, &mut entries));
            }
        }
        if !records.is_empty() || !entries.is_empty() {
            messages.push(wrap(&mut records, &mut entries));
        }
        messages.into_iter().for_each(|message| self.send(to, message));
    }

    pub(crate) fn send_pulse(&mut self, to: Node, ask: bool) {
        self.flush();
        let position = self.position();
        self.send(to, MembershipMessage::KeepAlive { digest: self.table.digest(), ask, position });
    }

    fn send_sums(&mut self, to: Node) {
        self.flush();
        let sums = self.table.sums();
        debug_assert_eq!(sums.len(), PARTS);
        self.send(to, MembershipMessage::PartDigests { digests: sums });
    }

    /// Sends gathered news, so that digests sent after it cover it.
    fn flush(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.pending);
        let neighbours: Vec<Node> = self.links.keys().copied().collect();
        for to in neighbours {
            let mut nodes = BTreeSet::new();
            let mut keys = BTreeSet::new();
            for (subject, from) in &pending {
                if self.has_it(to, *from) {
                    continue;
                }
                match subject {
                    Subject::NodeRecord(node) => drop(nodes.insert(*node)),
                    Subject::ControlEntry(key) => drop(keys.insert(key.clone())),
                }
            }
            self.send_news(to, nodes, keys, false);
        }
    }

    /// Whether `to` has what `from` told: the same node, or core nodes that are linked with each other.
    fn has_it(&self, to: Node, from: Option<Node>) -> bool {
        let Some(from) = from else { return false };
        let linked = |from: &Link| {
            self.start.is_control && self.places.control_nodes.contains_key(&to) && from.tells(to)
        };
        to == from || self.links.get(&from).is_some_and(linked)
    }
}
