//! Replicas on links of limited bandwidth, in simulated time, with all bytes counted.

use crate::items::{Items, ITEM_COUNT};
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const KEY: &str = "configuration";
/// Bandwidth of each link, in each direction.
pub const LINK_BITS_PER_SECOND: i64 = 7_000_000;
const LINK_DELAY: Duration = Duration::from_millis(1);
const SYNC_TIME: Duration = Duration::from_millis(2);
const TICK_MICROS: i64 = 10_000;
/// Bytes on the wire that each message has in addition to its encoding.
const FRAME_BYTES: usize = 12;

type ItemsMessage = Message<Items, (u32, u64)>;

struct PendingWrite {
    metadata: Option<Metadata>,
    keys: Vec<StoredKey<Items>>,
}

enum Event {
    Arrive { link: (usize, usize), version: u64, message: ItemsMessage },
    Synced { node: usize, run: u64, write: u64 },
}

pub struct Network {
    pub now: Instant,
    /// `None` while the process is down.
    pub stores: Vec<Option<ControlStore<Items>>>,
    disks: Vec<StoredState<Items>>,
    /// Incremented at every start and end of a process.
    runs: Vec<u64>,
    writes: BTreeMap<(usize, u64), PendingWrite>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    event_count: u64,
    /// When a link will have sent everything queued on it.
    idle_from: BTreeMap<(usize, usize), Instant>,
    cut_links: BTreeSet<(usize, usize)>,
    /// Bytes of all messages, by link.
    bytes: BTreeMap<(usize, usize), usize>,
    pub largest_message: usize,
    committed: u64,
    pub values: u64,
    pub unknown: u64,
    pub tokens: u64,
    open_calls: usize,
    /// Chunks that arrived, by receiver, revision and offset.
    pub arrived_chunks: BTreeSet<(usize, Revision, u64)>,
    pub chunks_arrived: usize,
    /// The sender of the last chunk that arrived.
    pub last_sender: usize,
    /// Chunks sent although they had already arrived.
    pub resent_chunks: usize,
    chunk_bytes: usize,
}

/// The state on disk of three replicas at the start.
fn stored_state(value: Items) -> StoredState<Items> {
    let members = (0..3).map(|node| Member { node: Node(node), joined_in: 1 }).collect();
    let replica_set = ReplicaSet { version: 1, members, leaving: None, joining: None };
    let epoch = Epoch { round: 1, owner: 0 };
    let accepted = Revision { epoch, sequence: 1 };
    let stored = StoredKey { key: KEY.into(), promised: epoch, accepted, value };
    let metadata = Metadata { replica_set, ..Metadata::default() };
    StoredState { metadata: Some(metadata), keys: vec![stored] }
}

impl Network {
    /// Three replicas with the same state on disk, and `spares` further nodes.
    pub fn new(value: Items, spares: usize, chunk_bytes: usize) -> Network {
        let n = 3 + spares;
        let disk = stored_state(value);
        let disks = (0..n).map(|node| if node < 3 { disk.clone() } else { StoredState::default() });
        let mut network = Network {
            now: Instant::ZERO,
            stores: (0..n).map(|_| None).collect(),
            disks: disks.collect(),
            runs: vec![0; n],
            writes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            idle_from: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            bytes: BTreeMap::new(),
            largest_message: 0,
            committed: 0,
            values: 0,
            unknown: 0,
            tokens: 0,
            open_calls: 0,
            arrived_chunks: BTreeSet::new(),
            chunks_arrived: 0,
            last_sender: 0,
            resent_chunks: 0,
            chunk_bytes,
        };
        for node in 0..n {
            network.start(node);
        }
        network.advance(Duration::from_secs(3));
        network
    }

    pub fn start(&mut self, node: usize) {
        self.runs[node] += 1;
        let config = StartConfig {
            node: Node(node as u32),
            replica_set: (0..3).map(Node).collect(),
            keys: vec![KEY.into()],
            is_first_start: false,
            seed: self.runs[node] * 100 + node as u64,
        };
        let mut store = ControlStore::new(self.now, config, self.disks[node].clone());
        store.set_snapshot_chunk_bytes(self.chunk_bytes);
        self.stores[node] = Some(store);
        for other in 0..self.stores.len() {
            self.link(node, other);
        }
    }

    pub fn link(&mut self, a: usize, b: usize) {
        if a == b || self.stores[a].is_none() || self.stores[b].is_none() {
            return;
        }
        for (a, b) in [(a, b), (b, a)] {
            self.cut_links.remove(&(a, b));
            self.idle_from.remove(&(a, b));
            if let Some(store) = &mut self.stores[a] {
                store.set_reachable(self.now, Node(b as u32), true);
            }
        }
        self.do_effects(a);
        self.do_effects(b);
    }

    pub fn unlink(&mut self, a: usize, b: usize) {
        for (a, b) in [(a, b), (b, a)] {
            self.cut_links.insert((a, b));
            if let Some(store) = &mut self.stores[a] {
                store.set_reachable(self.now, Node(b as u32), false);
            }
            self.do_effects(a);
        }
        let is_on_link =
            |e: &Event| matches!(e, Event::Arrive { link, .. } if *link == (a, b) || *link == (b, a));
        self.events.retain(|_, event| !is_on_link(event));
    }

    pub fn stop(&mut self, node: usize, wipe: bool) {
        for other in (0..self.stores.len()).filter(|other| *other != node) {
            self.unlink(node, other);
        }
        self.stores[node] = None;
        self.runs[node] += 1;
        if wipe {
            self.disks[node] = StoredState::default();
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn do_effects(&mut self, node: usize) {
        let Some(store) = &mut self.stores[node] else { return };
        for effect in store.take_effects() {
            match effect {
                Effect::Send { to, version, message } => self.send(node, to.0 as usize, version, message),
                Effect::Store { write, metadata, keys } => {
                    let run = self.runs[node];
                    self.writes.insert((node, write), PendingWrite { metadata, keys });
                    self.schedule(self.now + SYNC_TIME, Event::Synced { node, run, write });
                }
                Effect::Answer { outcome, .. } => {
                    self.open_calls -= 1;
                    match outcome {
                        CallOutcome::Committed { .. } => self.committed += 1,
                        CallOutcome::Value { .. } => self.values += 1,
                        _ => self.unknown += 1,
                    }
                }
                Effect::Committed { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, version: u64, message: ItemsMessage) {
        let link = (from, to);
        if self.cut_links.contains(&link) || self.stores[to].is_none() {
            return;
        }
        let size = bitcode::encode(&message).len() + FRAME_BYTES;
        if let Message::SnapshotChunk { revision, offset, .. } = &message {
            self.resent_chunks += usize::from(self.arrived_chunks.contains(&(to, *revision, *offset)));
        }
        self.largest_message = self.largest_message.max(size);
        *self.bytes.entry(link).or_default() += size;
        let begins = self.idle_from.get(&link).copied().unwrap_or(Instant::ZERO).max(self.now);
        let ends = begins + Duration::from_micros(size as i64 * 8 * 1_000_000 / LINK_BITS_PER_SECOND);
        self.idle_from.insert(link, ends);
        self.schedule(ends + LINK_DELAY, Event::Arrive { link, version, message });
    }

    /// Runs until the given time, or until the next chunk arrives.
    pub fn run_to_next_chunk(&mut self, until: Instant) {
        let before = self.chunks_arrived;
        while self.now < until && self.chunks_arrived == before {
            self.step(until);
        }
    }

    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step(until);
        }
    }

    /// Runs to the next event or tick, at most to `until`.
    fn step(&mut self, until: Instant) {
        let next = self.queue.peek().map_or(until, |Reverse((at, _))| *at).min(until);
        let tick = Instant::from_micros((self.now.as_micros() / TICK_MICROS + 1) * TICK_MICROS);
        if tick <= next {
            self.now = tick;
            for node in 0..self.stores.len() {
                if let Some(store) = &mut self.stores[node] {
                    store.tick(tick);
                }
                self.do_effects(node);
            }
            return;
        }
        self.now = next;
        if self.queue.peek().is_some_and(|Reverse((at, _))| *at <= next) {
            let Some(Reverse((_, number))) = self.queue.pop() else { return };
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive { link: (from, to), version, message } => {
                if let Message::SnapshotChunk { revision, offset, .. } = &message {
                    self.arrived_chunks.insert((to, *revision, *offset));
                    self.chunks_arrived += 1;
                    self.last_sender = from;
                }
                if let Some(store) = &mut self.stores[to] {
                    store.receive(self.now, Node(from as u32), version, message);
                }
                self.do_effects(to);
            }
            Event::Synced { node, run, write } => self.synced(node, run, write),
        }
    }

    fn synced(&mut self, node: usize, run: u64, write: u64) {
        if self.runs[node] != run {
            return;
        }
        let Some(pending) = self.writes.remove(&(node, write)) else { return };
        let disk = &mut self.disks[node];
        disk.metadata = pending.metadata.or(disk.metadata.take());
        for stored in pending.keys {
            disk.keys.retain(|known| known.key != stored.key);
            disk.keys.push(stored);
        }
        if let Some(store) = &mut self.stores[node] {
            store.write_completed(self.now, write);
        }
        self.do_effects(node);
    }

    pub fn owner(&self) -> Option<usize> {
        let owns = |store: &ControlStore<Items>| store.owned_keys().iter().any(|owned| owned.key == KEY);
        (0..self.stores.len()).find(|node| self.stores[*node].as_ref().is_some_and(owns))
    }

    /// The revision that a voter has accepted.
    pub fn accepted(&self, node: usize) -> Option<Revision> {
        let store = self.stores[node].as_ref().filter(|store| store.is_voter())?;
        store.key_states().iter().find(|state| state.key == KEY).map(|state| state.accepted)
    }

    pub fn call(&mut self, node: usize, change: (u32, u64)) {
        self.tokens += 1;
        self.open_calls += 1;
        if let Some(store) = &mut self.stores[node] {
            store.call(self.now, self.tokens, KEY, change);
        }
        self.do_effects(node);
    }

    pub fn read(&mut self, node: usize) {
        self.tokens += 1;
        self.open_calls += 1;
        if let Some(store) = &mut self.stores[node] {
            store.read(self.now, self.tokens, KEY);
        }
        self.do_effects(node);
    }

    /// Makes this many changes at the owner, 32 at a time.
    pub fn change(&mut self, changes: u64) {
        let before = self.committed;
        let mut requested = 0;
        while requested < changes {
            let Some(owner) = self.owner() else {
                self.advance(Duration::from_millis(10));
                continue;
            };
            for _ in 0..(changes - requested).min(32) {
                requested += 1;
                let item = (requested.wrapping_mul(0x9e37_79b9) % u64::from(ITEM_COUNT)) as u32;
                self.call(owner, (item, 1 + self.tokens));
            }
            while self.open_calls > 0 {
                self.advance(Duration::from_millis(1));
            }
        }
        assert_eq!(self.committed - before, changes, "each acknowledged");
    }

    /// Bytes to and from a node.
    pub fn traffic(&self, node: usize) -> usize {
        let links = self.bytes.iter().filter(|((from, to), _)| *from == node || *to == node);
        links.map(|(_, bytes)| bytes).sum()
    }
}
