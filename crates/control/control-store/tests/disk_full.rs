//! Three replicas of which one has a full disk: it sends nothing that depends on a write, releases what it
//! owns, and recovers once there is space.

mod common;

use common::cluster::{start_config, NotesMessage, PendingWrite, KEY};
use common::notes::{Change, Notes};
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

const STEP: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct SentMessage {
    from: usize,
    to: usize,
    version: u64,
    message: NotesMessage,
}

/// Three replicas whose disks may be full.
struct ThreeReplicas {
    now: Instant,
    stores: Vec<ControlStore<Notes>>,
    disks: Vec<StoredState<Notes>>,
    /// Writes in flight.
    writes: Vec<VecDeque<PendingWrite>>,
    full_disks: [bool; 3],
    /// The highest number of writes in flight at one node.
    max_writes_in_flight: usize,
    answers: BTreeMap<u64, CallOutcome<Notes>>,
    /// All messages ever sent.
    sent: Vec<SentMessage>,
}

impl ThreeReplicas {
    /// Three replicas with an owner; the indices of the owner and the two others.
    fn settled() -> (ThreeReplicas, usize, usize, usize) {
        let mut cluster = ThreeReplicas {
            now: Instant::ZERO,
            stores: Vec::new(),
            disks: vec![StoredState::default(); 3],
            writes: (0..3).map(|_| VecDeque::new()).collect(),
            full_disks: [false; 3],
            max_writes_in_flight: 0,
            answers: BTreeMap::new(),
            sent: Vec::new(),
        };
        cluster.stores = (0..3).map(|node| cluster.store(node, true)).collect();
        cluster.link_all();
        cluster.advance(Duration::from_secs(1));
        let owner = cluster.owner().expect("an owner");
        (cluster, owner, (owner + 1) % 3, (owner + 2) % 3)
    }

    fn store(&self, node: usize, is_first_start: bool) -> ControlStore<Notes> {
        let seed = self.now.as_micros() as u64 + node as u64;
        let config = start_config(node, 3, is_first_start, seed);
        ControlStore::new(self.now, config, self.disks[node].clone())
    }

    fn link_all(&mut self) {
        for (a, b) in (0..9).map(|i| (i / 3, i % 3)).filter(|(a, b)| a != b) {
            self.set_reachable(a, b, true);
        }
        self.run();
    }

    fn set_reachable(&mut self, node: usize, other: usize, is_reachable: bool) {
        self.stores[node].set_reachable(self.now, Node(other as u32), is_reachable);
    }

    fn owner(&self) -> Option<usize> {
        (0..3).find(|node| !self.stores[*node].owned_keys().is_empty())
    }

    /// The promised epoch on disk.
    fn promised(&self, node: usize) -> Epoch {
        let stored = self.disks[node].keys.iter().find(|stored| stored.key == KEY);
        stored.map(|stored| stored.promised).unwrap_or_default()
    }

    /// Runs until nothing is in flight.
    fn run(&mut self) {
        loop {
            let mut out = Vec::new();
            for node in 0..3 {
                self.sync(node);
                for effect in self.stores[node].take_effects() {
                    match effect {
                        Effect::Send { to, version, message } => {
                            out.push(SentMessage { from: node, to: to.0 as usize, version, message });
                        }
                        Effect::Store { write, metadata, keys } => {
                            self.writes[node].push_back(PendingWrite { write, metadata, keys });
                        }
                        Effect::Answer { token, outcome } => {
                            self.answers.insert(token, outcome);
                        }
                        Effect::Committed { .. } => {}
                    }
                }
                self.max_writes_in_flight = self.max_writes_in_flight.max(self.writes[node].len());
            }
            let is_known_full = |node: usize| self.full_disks[node] && !self.stores[node].disk_has_space();
            let has_pending = (0..3).any(|node| !self.writes[node].is_empty() && !is_known_full(node));
            if out.is_empty() && !has_pending {
                return;
            }
            for sent in out {
                self.receive(sent.to, sent.from, sent.version, sent.message.clone());
                self.sent.push(sent);
            }
        }
    }

    fn receive(&mut self, to: usize, from: usize, version: u64, message: NotesMessage) {
        self.stores[to].receive(self.now, Node(from as u32), version, message);
    }

    /// Syncs the writes in flight, or reports that there is no space.
    fn sync(&mut self, node: usize) {
        if self.writes[node].is_empty() {
            return;
        }
        if self.full_disks[node] {
            return self.stores[node].set_disk_has_space(self.now, false);
        }
        while let Some(pending) = self.writes[node].pop_front() {
            let write = pending.write;
            pending.persist(&mut self.disks[node]);
            self.stores[node].write_completed(self.now, write);
        }
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.stores.iter_mut().for_each(|store| store.tick(self.now));
            self.run();
        }
    }

    fn free_disk(&mut self, node: usize) {
        self.full_disks[node] = false;
        self.sync(node);
        self.stores[node].set_disk_has_space(self.now, true);
        self.run();
    }

    fn call(&mut self, node: usize, token: u64, change: Change) {
        self.stores[node].call(self.now, token, KEY, change);
        self.run();
    }

    /// Sends a claim with an epoch far above all others.
    fn claim(&mut self, from: usize, to: usize) -> Epoch {
        let epoch = Epoch { round: 99, owner: from as u32 };
        self.receive(to, from, 1, Message::Claim { key: KEY.into(), epoch });
        self.run();
        epoch
    }

    /// How many promises for this epoch a node has sent.
    fn promises(&self, from: usize, of: Epoch) -> usize {
        let is_promise = |m: &NotesMessage| matches!(m, Message::Promise { epoch, .. } if *epoch == of);
        self.sent.iter().filter(|sent| sent.from == from && is_promise(&sent.message)).count()
    }
}

/// How many promises are sent while there is no space to store them.
#[cfg_attr(not(feature = "mutants"), allow(unused_mut, unused_variables))]
fn promises_without_space(mutation: Option<Mutation>) -> usize {
    let (mut cluster, _, x, y) = ThreeReplicas::settled();
    #[cfg(feature = "mutants")]
    if let Some(mutation) = mutation {
        cluster.stores[y].set_mutation(mutation);
    }
    cluster.full_disks[y] = true;
    let epoch = cluster.claim(x, y);
    cluster.claim(x, y);
    assert!(cluster.promised(y) < epoch);
    let promises = cluster.promises(y, epoch);
    cluster.free_disk(y);
    assert_eq!(cluster.promised(y), epoch, "the write succeeds once there is space");
    cluster.claim(x, y);
    assert!(cluster.promises(y, epoch) > promises, "sent when asked again");
    promises
}

#[test]
fn no_promise_is_sent_without_space() {
    assert_eq!(promises_without_space(None), 0);
    #[cfg(feature = "mutants")]
    assert!(promises_without_space(Some(Mutation::ConfirmsFailedWrites)) > 0, "the mutation is detected");
}

#[test]
fn an_owner_without_space_hands_over_and_no_call_waits_for_it() {
    let (mut cluster, owner, x, y) = ThreeReplicas::settled();
    cluster.full_disks[owner] = true;
    cluster.call(owner, 1, vec![(1, 1, 7)]);
    cluster.advance(Duration::from_millis(300));
    assert!(matches!(cluster.answers[&1], CallOutcome::Committed { .. }), "{:?}", cluster.answers);
    assert!(cluster.owner().is_some_and(|now| now != owner), "another owns it");
    // Changes and reads through all three, including the one with a full disk. Each is answered at once.
    for round in 0..200 {
        for node in [owner, x, y] {
            let token = 10 + 10 * round + node as u64;
            cluster.call(node, token, vec![(2, 3 * round + 1 + node as u64, token)]);
            cluster.stores[node].read(cluster.now, 5_000 + token, KEY);
            cluster.run();
            for token in [token, 5_000 + token] {
                let outcome = cluster.answers.get(&token);
                assert!(
                    outcome.is_some_and(|outcome| *outcome != CallOutcome::Unknown),
                    "{token} through {node}: {outcome:?}"
                );
            }
        }
        cluster.advance(Duration::from_millis(20));
    }
    assert!(cluster.max_writes_in_flight <= 2, "{} writes in flight", cluster.max_writes_in_flight);
    assert_eq!(cluster.stores[owner].metrics().disk_full, 1);
    cluster.free_disk(owner);
    cluster.advance(Duration::from_secs(1));
    let stored: Vec<&StoredKey<Notes>> = cluster.disks.iter().flat_map(|disk| &disk.keys).collect();
    assert!(stored.len() == 3 && stored.iter().all(|s| s.value == stored[0].value), "all have caught up");
}

#[test]
fn an_epoch_that_was_never_durable_is_sent_to_nobody() {
    let (mut cluster, owner, x, y) = ThreeReplicas::settled();
    let before = cluster.promised(x).max(cluster.promised(y));
    cluster.full_disks[x] = true;
    // The owner becomes unreachable: `x` claims, and has no space to store its epoch.
    for other in [x, y] {
        cluster.set_reachable(other, owner, false);
    }
    cluster.call(x, 1, vec![(1, 1, 7)]);
    cluster.advance(Duration::from_secs(2));
    let is_own = |epoch: &Epoch| epoch.owner == x as u32 && *epoch > before;
    let names_own = |message: &NotesMessage| match message {
        Message::Claim { epoch, .. } | Message::OwnershipReleased { epoch, .. } => is_own(epoch),
        Message::Forward { epoch, .. } => is_own(epoch),
        Message::ForwardReply { reply: ForwardReply::NotOwner(epoch), .. } => is_own(epoch),
        _ => false,
    };
    let sent: Vec<&SentMessage> =
        cluster.sent.iter().filter(|sent| sent.from == x && names_own(&sent.message)).collect();
    assert!(sent.is_empty(), "{sent:?}");
    assert!(cluster.stores[x].metrics().claims <= 1, "it claims nothing more");
}

#[test]
fn a_start_without_space_reads_answers_and_claims_only_with_space() {
    let (mut cluster, owner, x, y) = ThreeReplicas::settled();
    let epoch = cluster.claim(x, y);
    cluster.stores[y] = cluster.store(y, false);
    cluster.stores[y].set_disk_has_space(cluster.now, false);
    cluster.full_disks[y] = true;
    cluster.link_all();
    assert!(cluster.stores[y].is_voter() && !cluster.stores[y].disk_has_space());
    // A promise made earlier is durable, and is sent again without a write.
    let before = cluster.promises(y, epoch);
    cluster.claim(x, y);
    assert_eq!(cluster.promises(y, epoch), before + 1);
    for other in [owner, x] {
        cluster.set_reachable(y, other, false);
    }
    cluster.advance(Duration::from_secs(5));
    assert_eq!(cluster.stores[y].metrics().claims, 0);
    cluster.free_disk(y);
    cluster.advance(Duration::from_millis(1_500));
    let claimed = cluster.stores[y].key_states()[0].promised;
    assert!(claimed > epoch && claimed.owner == y as u32, "{claimed:?}: above its earlier promise");
}
