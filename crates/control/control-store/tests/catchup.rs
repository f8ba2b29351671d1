//! How a member that was away catches up, over links as thin as 7 Mbit/s: in what time, with how many bytes, in what pieces.

use bitcode::{Decode, Encode};
use silvercross_control_store::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

const KEY: &str = "configuration";
/// Bits a second of each link, each way.
const THIN: i64 = 7_000_000;
const ONE_WAY: Micros = 1_000;
const SYNC: Micros = 2_000;
/// A message besides its piece or changes.
const SMALL: usize = 512;
/// Items that stand from the start, as many as a configuration remembers of dropped ones.
const ITEMS: u32 = 65_536;

/// Item to version and bytes.
type Part = BTreeMap<u32, (u64, [u64; 5])>;

/// Numbered items, each with a version and some bytes; parts of them are shared until they are changed.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
struct Items(BTreeMap<u32, Rc<Part>>);

impl Items {
    fn filled(items_there: u32) -> Items {
        let mut items = Items::default();
        for item in 0..items_there {
            let part = Rc::make_mut(items.0.entry(item / 256).or_default());
            part.insert(item, (1, [u64::from(item).wrapping_mul(0x9e37_79b9_7f4a_7c15); 5]));
        }
        items
    }
}

impl State for Items {
    /// Item, version.
    type Change = (u32, u64);

    fn apply(&mut self, change: &(u32, u64)) -> Result<bool, Rejection> {
        let part = Rc::make_mut(self.0.entry(change.0 / 256).or_default());
        let known = part.entry(change.0).or_default();
        let changed = change.1 > known.0;
        if changed {
            *known = (change.1, [change.1.wrapping_mul(0x9e37_79b9_7f4a_7c15); 5]);
        }
        Ok(changed)
    }
}

type M = Message<Items, (u32, u64)>;
type Write = (Option<Metadata>, Vec<StoredKey<Items>>);

enum Event {
    Arrive { way: (usize, usize), version: u64, message: M },
    StoredKey { node: usize, life: u64, write: u64 },
}

struct Net {
    now: Micros,
    stores: Vec<Option<ControlStore<Items>>>,
    disks: Vec<StoredState<Items>>,
    lives: Vec<u64>,
    writes: BTreeMap<(usize, u64), Write>,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Event>,
    numbers: u64,
    /// When a link has sent all that it was given.
    free: BTreeMap<(usize, usize), Micros>,
    cut: BTreeSet<(usize, usize)>,
    /// Bytes of all messages, by link.
    bytes: BTreeMap<(usize, usize), usize>,
    largest: usize,
    done: u64,
    values: u64,
    unsettled: u64,
    tokens: u64,
    open: usize,
    /// Offsets of pieces that arrived, and those sent after that.
    arrived: BTreeSet<(usize, Revision, u64)>,
    arrivals: usize,
    /// Who sent the last piece that arrived.
    sender: usize,
    again: usize,
    piece: usize,
}

impl Net {
    /// Three replicas with the same on disk, and as many spare machines as `spares`.
    fn new(value: Items, spares: usize, piece: usize) -> Net {
        let n = 3 + spares;
        let members = (0..3).map(|n| (Node(n), 1)).collect();
        let replica_set = ReplicaSet { version: 1, members, leaving: None, joining: None };
        let epoch = Epoch { round: 1, owner: 0 };
        let stored =
            StoredKey { key: KEY.into(), promised: epoch, accepted: Revision { epoch, sequence: 1 }, value };
        let disk = StoredState {
            metadata: Some(Metadata { replica_set, ..Metadata::default() }),
            keys: vec![stored],
        };
        let mut net = Net {
            now: 0,
            stores: (0..n).map(|_| None).collect(),
            disks: (0..n).map(|n| if n < 3 { disk.clone() } else { StoredState::default() }).collect(),
            lives: vec![0; n],
            writes: BTreeMap::new(),
            events: BinaryHeap::new(),
            due: BTreeMap::new(),
            numbers: 0,
            free: BTreeMap::new(),
            cut: BTreeSet::new(),
            bytes: BTreeMap::new(),
            largest: 0,
            done: 0,
            values: 0,
            unsettled: 0,
            tokens: 0,
            open: 0,
            arrived: BTreeSet::new(),
            arrivals: 0,
            sender: 0,
            again: 0,
            piece,
        };
        for node in 0..n {
            net.start(node);
        }
        net.pass(3_000_000);
        net
    }

    fn start(&mut self, node: usize) {
        self.lives[node] += 1;
        let start = Start {
            me: Node(node as u32),
            replica_set: (0..3).map(Node).collect(),
            keys: vec![KEY.into()],
            fresh: false,
            seed: self.lives[node] * 100 + node as u64,
        };
        let mut store = ControlStore::new(self.now, start, self.disks[node].clone());
        store.set_snapshot_chunk_bytes(self.piece);
        self.stores[node] = Some(store);
        for other in 0..self.stores.len() {
            self.link(node, other);
        }
    }

    fn link(&mut self, a: usize, b: usize) {
        if a == b || self.stores[a].is_none() || self.stores[b].is_none() {
            return;
        }
        for (a, b) in [(a, b), (b, a)] {
            self.cut.remove(&(a, b));
            self.free.remove(&(a, b));
            if let Some(store) = &mut self.stores[a] {
                store.set_reachable(self.now, Node(b as u32), true);
            }
        }
        self.drain(a);
        self.drain(b);
    }

    fn unlink(&mut self, a: usize, b: usize) {
        for (a, b) in [(a, b), (b, a)] {
            self.cut.insert((a, b));
            if let Some(store) = &mut self.stores[a] {
                store.set_reachable(self.now, Node(b as u32), false);
            }
            self.drain(a);
        }
        let lost = |e: &Event| matches!(e, Event::Arrive { way, .. } if *way == (a, b) || *way == (b, a));
        self.due.retain(|_, e| !lost(e));
    }

    fn stop(&mut self, node: usize, wipe: bool) {
        for other in (0..self.stores.len()).filter(|o| *o != node) {
            self.unlink(node, other);
        }
        self.stores[node] = None;
        self.lives[node] += 1;
        if wipe {
            self.disks[node] = StoredState::default();
        }
    }

    fn at(&mut self, when: Micros, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((when, self.numbers)));
        self.due.insert(self.numbers, event);
    }

    fn drain(&mut self, node: usize) {
        let Some(store) = &mut self.stores[node] else { return };
        for effect in store.take_effects() {
            match effect {
                Effect::Send { to, version, message } => self.send(node, to.0 as usize, version, message),
                Effect::Store { write, metadata, keys } => {
                    let life = self.lives[node];
                    self.writes.insert((node, write), (metadata, keys));
                    self.at(self.now + SYNC, Event::StoredKey { node, life, write });
                }
                Effect::Answer { verdict, .. } => {
                    self.open -= 1;
                    match verdict {
                        CallOutcome::Committed { .. } => self.done += 1,
                        CallOutcome::Value { .. } => self.values += 1,
                        _ => self.unsettled += 1,
                    }
                }
                Effect::Committed { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, version: u64, message: M) {
        let way = (from, to);
        if self.cut.contains(&way) || self.stores[to].is_none() {
            return;
        }
        let size = bitcode::encode(&message).len() + 12;
        if let Message::SnapshotChunk { at, offset, .. } = &message {
            self.again += usize::from(self.arrived.contains(&(to, *at, *offset)));
        }
        self.largest = self.largest.max(size);
        *self.bytes.entry(way).or_default() += size;
        let begins = self.free.get(&way).copied().unwrap_or(0).max(self.now);
        let ends = begins + size as i64 * 8 * 1_000_000 / THIN;
        self.free.insert(way, ends);
        self.at(ends + ONE_WAY, Event::Arrive { way, version, message });
    }

    /// Plays until then, or until the first piece arrives if that is wanted.
    fn play(&mut self, until: Micros, to_a_piece: bool) {
        let pieces = self.arrivals;
        while self.now < until && !(to_a_piece && self.arrivals > pieces) {
            let next = self.events.peek().map_or(until, |Reverse((at, _))| *at).min(until);
            let tick = (self.now / 10_000 + 1) * 10_000;
            if tick <= next {
                self.now = tick;
                for node in 0..self.stores.len() {
                    if let Some(store) = &mut self.stores[node] {
                        store.tick(tick);
                    }
                    self.drain(node);
                }
                continue;
            }
            self.now = next;
            if self.events.peek().is_some_and(|Reverse((at, _))| *at <= next) {
                let Some(Reverse((_, number))) = self.events.pop() else { continue };
                if let Some(event) = self.due.remove(&number) {
                    self.happen(event);
                }
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive { way: (from, to), version, message } => {
                if let Message::SnapshotChunk { at, offset, .. } = &message {
                    self.arrived.insert((to, *at, *offset));
                    self.arrivals += 1;
                    self.sender = from;
                }
                if let Some(store) = &mut self.stores[to] {
                    store.receive(self.now, Node(from as u32), version, message);
                }
                self.drain(to);
            }
            Event::StoredKey { node, life, write } => {
                if self.lives[node] != life {
                    return;
                }
                let Some((metadata, keys)) = self.writes.remove(&(node, write)) else { return };
                let disk = &mut self.disks[node];
                disk.metadata = metadata.or(disk.metadata.take());
                for stored in keys {
                    disk.keys.retain(|k| k.key != stored.key);
                    disk.keys.push(stored);
                }
                if let Some(store) = &mut self.stores[node] {
                    store.write_completed(self.now, write);
                }
                self.drain(node);
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        self.play(self.now + span, false);
    }

    fn owner(&self) -> Option<usize> {
        (0..self.stores.len())
            .find(|n| self.stores[*n].as_ref().is_some_and(|s| s.owned_keys().iter().any(|k| k.0 == KEY)))
    }

    fn accepted(&self, node: usize) -> Option<Revision> {
        let store = self.stores[node].as_ref().filter(|s| s.is_voter())?;
        store.key_states().iter().find(|k| k.key == KEY).map(|k| k.accepted)
    }

    fn call(&mut self, node: usize, change: (u32, u64)) {
        self.tokens += 1;
        self.open += 1;
        if let Some(store) = &mut self.stores[node] {
            store.call(self.now, self.tokens, KEY, change);
        }
        self.drain(node);
    }

    /// So many changes at the owner, 32 at a time.
    fn change(&mut self, changes: u64) {
        let before = self.done;
        let mut asked = 0;
        while asked < changes {
            let Some(owner) = self.owner() else {
                self.pass(10_000);
                continue;
            };
            for _ in 0..(changes - asked).min(32) {
                asked += 1;
                let item = (asked.wrapping_mul(0x9e37_79b9) % u64::from(ITEMS)) as u32;
                self.call(owner, (item, 1 + self.tokens));
            }
            while self.open > 0 {
                self.pass(1_000);
            }
        }
        assert_eq!(self.done - before, changes, "each acknowledged");
    }

    fn traffic(&self, node: usize) -> usize {
        self.bytes.iter().filter(|((a, b), _)| *a == node || *b == node).map(|(_, bytes)| bytes).sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum How {
    /// Stopped, and started on its disk.
    Restart,
    /// The owner, so; another owns meanwhile.
    RestartOfTheOwner,
    /// Its disk lost.
    Wipe,
    /// All its links cut.
    Cut,
    /// A spare machine comes for a replica that is lost.
    Join,
}

struct Row {
    took: Micros,
    bytes: usize,
    largest: usize,
    unsettled: u64,
}

/// A member is away during so many changes; `load`: one more every 50 ms while it catches up.
fn away(how: How, changes: u64, load: bool) -> Row {
    let mut net = Net::new(Items::filled(ITEMS), 1, SNAPSHOT_CHUNK_BYTES);
    let owner = net.owner().expect("an owner");
    let member = match how {
        How::RestartOfTheOwner => owner,
        _ => (owner + 1) % 3,
    };
    match how {
        How::Restart | How::RestartOfTheOwner => net.stop(member, false),
        How::Wipe => net.stop(member, true),
        How::Cut => {
            for other in (0..4).filter(|o| *o != member) {
                net.unlink(member, other);
            }
        }
        How::Join => {}
    }
    net.change(changes);
    let (before, begun, unsettled) = (net.traffic(member), net.now, net.unsettled);
    net.largest = 0;
    let member = match how {
        How::Join => {
            net.stop(member, true);
            for node in 0..3 {
                if let Some(store) = &mut net.stores[node] {
                    store.set_candidate(net.now, Node(3), true);
                }
            }
            3
        }
        How::Cut => {
            for other in 0..4 {
                net.link(member, other);
            }
            member
        }
        _ => {
            net.start(member);
            member
        }
    };
    let before = if how == How::Join { 0 } else { before };
    let caught_up = |net: &Net| {
        let owner = net.owner().filter(|o| *o != member)?;
        (net.accepted(member)? >= net.accepted(owner)?).then_some(())
    };
    let mut next = 0;
    while caught_up(&net).is_none() {
        assert!(net.now < begun + 60_000_000, "{how:?} after {changes} changes: not caught up");
        assert_ne!(net.owner(), Some(member), "it leads with what it has");
        if load && net.now >= next {
            next = net.now + 50_000;
            let item = (net.tokens % u64::from(ITEMS)) as u32;
            let at = net.owner().unwrap_or((member + 1) % 3);
            net.call(at, (item, 1 + net.tokens));
        }
        net.pass(1_000);
    }
    let took = net.now - begun;
    // What it has it reads out without a word from the others but its revision.
    let (values, bytes) = (net.values, net.traffic(member));
    net.tokens += 1;
    net.open += 1;
    if let Some(store) = &mut net.stores[member] {
        store.read(net.now, net.tokens, KEY);
    }
    net.drain(member);
    net.pass(800_000);
    assert!(net.values == values + 1 && net.traffic(member) < bytes + 4_096, "{how:?}: a read");
    let row = Row { took, bytes: bytes - before, largest: net.largest, unsettled: net.unsettled - unsettled };
    println!(
        "{changes:>7} changes, {how:?}{}: caught up in {} ms, {} KB, largest message {} bytes, {} calls unsettled",
        if load { ", with 20 changes a second" } else { "" },
        row.took / 1_000,
        row.bytes / 1_000,
        row.largest,
        row.unsettled,
    );
    row
}

fn whole() -> usize {
    bitcode::encode(&Items::filled(ITEMS)).len()
}

fn table(changes: &[u64]) {
    let whole = whole();
    println!("the value: {whole} bytes, {} ms of a link", whole as i64 * 8_000 / THIN);
    for changes in changes {
        for (how, load) in [
            (How::Restart, false),
            (How::Restart, true),
            (How::RestartOfTheOwner, false),
            (How::Wipe, false),
            (How::Wipe, true),
            (How::Cut, false),
            (How::Join, false),
        ] {
            let row = away(how, *changes, load);
            let few = *changes <= 3_000 && !matches!(how, How::Wipe | How::Join);
            // What it lacks, and a tenth for what goes besides; a change is well under 64 bytes.
            let lacks = if few { *changes as usize * 64 } else { whole };
            let bytes = lacks + lacks / 10 + 64 * 1024;
            let replaced = if how == How::Join { 5_500_000 } else { 0 };
            let took = bytes as i64 * 8_000_000 / THIN + 1_000_000 + replaced;
            assert!(row.bytes <= bytes, "{how:?} after {changes}: {} bytes, not {bytes}", row.bytes);
            assert!(row.took <= took, "{how:?} after {changes}: {} us, not {took}", row.took);
            assert!(
                row.largest <= SNAPSHOT_CHUNK_BYTES + SMALL,
                "{how:?} after {changes}: {} bytes at once",
                row.largest
            );
            assert_eq!(row.unsettled, 0, "{how:?} after {changes}: calls meanwhile");
        }
    }
}

#[test]
fn who_was_away_catches_up_with_what_it_lacks_in_pieces() {
    table(&[300]);
}

/// `cargo test --release -p silvercross-control-store --test catchup -- --ignored --nocapture`
#[test]
#[ignore = "in release: minutes otherwise"]
fn who_was_away_for_long_catches_up_too() {
    table(&[300, 3_000, 100_000]);
}

/// A wiped replica is sent a value of many pieces, and its link to the sender breaks at each, or it starts anew at one; with a change
/// at each piece too.
#[test]
fn a_break_at_every_piece_sends_nothing_twice() {
    for (breaks, changes, restarts) in
        [(true, false, false), (true, true, false), (false, true, false), (true, true, true)]
    {
        let mut net = Net::new(Items::filled(600), 0, 1024);
        let owner = net.owner().expect("an owner");
        let member = (owner + 1) % 3;
        net.stop(member, true);
        net.start(member);
        let begun = net.now;
        let mut broken = 0;
        while net.accepted(member).is_none() {
            assert!(net.now < begun + 20_000_000, "it ends");
            net.play(net.now + 100_000, true);
            if restarts && net.arrivals == 10 {
                net.stop(member, false);
                net.start(member);
                // What was in memory alone is gone.
                net.arrived.clear();
            } else if breaks {
                let sender = net.sender;
                net.unlink(member, sender);
                net.pass(5_000);
                net.link(member, sender);
                broken += 1;
            }
            if changes {
                net.call(owner, (broken % 600, 2 + net.tokens));
            }
        }
        net.pass(1_100_000);
        let now = net.owner().and_then(|owner| net.accepted(owner));
        assert_eq!(net.accepted(member), now, "and has what came meanwhile");
        assert!(!breaks || broken >= 20, "{broken} breaks");
        assert_eq!(net.again, 0, "pieces sent again that had arrived");
        assert!(net.largest <= 1024 + SMALL, "{} bytes at once", net.largest);
    }
}
