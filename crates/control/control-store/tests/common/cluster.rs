//! Replicas under manual control: messages and writes are processed in order, immediately or after being held
//! back.

use super::notes::{Change, Notes};
use silvercross_control_store::*;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub type NotesMessage = Message<Notes, Change>;
pub const KEY: &str = "configuration";
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// A write that is not synced yet.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub write: u64,
    pub metadata: Option<Metadata>,
    pub keys: Vec<StoredKey<Notes>>,
}

impl PendingWrite {
    /// Applies the write to a disk.
    pub fn persist(self, disk: &mut StoredState<Notes>) {
        disk.metadata = self.metadata.or(disk.metadata.take());
        for stored in self.keys {
            disk.keys.retain(|known| known.key != stored.key);
            disk.keys.push(stored);
        }
    }
}

/// A message in flight.
pub struct MessageInFlight {
    pub from: usize,
    pub to: usize,
    pub version: u64,
    pub message: NotesMessage,
}

pub struct Cluster {
    pub now: Instant,
    pub stores: Vec<ControlStore<Notes>>,
    pub disks: Vec<StoredState<Notes>>,
    pub messages: VecDeque<MessageInFlight>,
    /// Writes not synced yet, on stalled disks.
    pub writes: Vec<VecDeque<PendingWrite>>,
    pub stalled_disks: BTreeSet<usize>,
    /// Messages on these links are lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Messages on these links wait.
    pub held_links: BTreeSet<(usize, usize)>,
    pub answers: BTreeMap<u64, CallOutcome<Notes>>,
    /// The incarnation of each node's last repair request.
    pub repairing_as: BTreeMap<usize, Incarnation>,
    pub starts: u64,
    /// The number of initial replicas.
    pub replicas: usize,
    /// Messages and writes left to process before everything stops, if limited.
    pub steps_left: Option<usize>,
    /// These nodes receive and sync nothing, and their clocks stand still.
    pub paused: BTreeSet<usize>,
    /// These nodes have announced that they are stopping.
    pub stopping: BTreeSet<usize>,
}

/// The start configuration of a node.
pub fn start_config(node: usize, replicas: usize, is_first_start: bool, seed: u64) -> StartConfig {
    StartConfig {
        node: Node(node as u32),
        replica_set: (0..replicas as u32).map(Node).collect(),
        keys: vec![KEY.into()],
        is_first_start,
        seed,
    }
}

impl Cluster {
    pub fn new(n: usize) -> Cluster {
        Cluster::with_spares(n, 0)
    }

    /// The spares start with empty disks, not as a first start.
    pub fn with_spares(replicas: usize, spares: usize) -> Cluster {
        let n = replicas + spares;
        let store = |node| {
            let config = start_config(node, replicas, node < replicas, node as u64);
            ControlStore::new(Instant::ZERO, config, StoredState::default())
        };
        let mut cluster = Cluster {
            now: Instant::ZERO,
            stores: (0..n).map(store).collect(),
            disks: (0..n).map(|_| StoredState::default()).collect(),
            messages: VecDeque::new(),
            writes: (0..n).map(|_| VecDeque::new()).collect(),
            stalled_disks: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            held_links: BTreeSet::new(),
            answers: BTreeMap::new(),
            repairing_as: BTreeMap::new(),
            starts: 100,
            replicas,
            steps_left: None,
            paused: BTreeSet::new(),
            stopping: BTreeSet::new(),
        };
        cluster.link_all();
        cluster
    }

    /// Three replicas, and the index of the owner.
    pub fn settled() -> (Cluster, usize) {
        let mut cluster = Cluster::new(3);
        cluster.advance(Duration::from_secs(1));
        let owner = cluster.owner().expect("an owner");
        (cluster, owner)
    }

    pub fn owner(&self) -> Option<usize> {
        (0..self.stores.len()).find(|node| !self.stores[*node].owned_keys().is_empty())
    }

    /// The key's state at its owner.
    pub fn owned(&self, owner: usize) -> OwnedKey {
        self.stores[owner].owned_keys()[0].clone()
    }

    /// The key's state at a node.
    pub fn key_state(&self, node: usize) -> KeyState {
        self.stores[node].key_states()[0].clone()
    }

    /// Links all nodes, except pairs that are cut off in both directions.
    pub fn link_all(&mut self) {
        for (a, b) in self.pairs() {
            if !self.cut_links.contains(&(a, b)) || !self.cut_links.contains(&(b, a)) {
                self.stores[a].set_reachable(self.now, Node(b as u32), true);
            }
        }
        self.run();
    }

    fn pairs(&self) -> impl Iterator<Item = (usize, usize)> {
        let n = self.stores.len();
        (0..n).flat_map(move |a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b)
    }

    /// Activates a mutation at all nodes.
    pub fn set_mutation(&mut self, mutation: Option<Mutation>) {
        for node in 0..self.stores.len() {
            self.set_mutation_at(node, mutation);
        }
    }

    /// Activates a mutation at one node.
    pub fn set_mutation_at(&mut self, node: usize, mutation: Option<Mutation>) {
        #[cfg(feature = "mutants")]
        if let Some(mutation) = mutation {
            self.stores[node].set_mutation(mutation);
        }
        assert!(node < self.stores.len() && (mutation.is_none() || cfg!(feature = "mutants")));
    }

    /// Informs all nodes which of them could become replicas.
    pub fn announce_candidates(&mut self) {
        let n = self.stores.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))) {
            let is_outside = self.stores[b].is_outside();
            self.stores[a].set_candidate(self.now, Node(b as u32), is_outside);
        }
        self.run();
    }

    /// Cuts a node off from all others, and reports the lost links on both sides.
    pub fn isolate(&mut self, node: usize) {
        for other in (0..self.stores.len()).filter(|other| *other != node) {
            self.stores[other].set_reachable(self.now, Node(node as u32), false);
            self.stores[node].set_reachable(self.now, Node(other as u32), false);
            self.cut_links.extend([(node, other), (other, node)]);
        }
    }

    /// Links a node to all others again.
    pub fn rejoin(&mut self, node: usize) {
        self.cut_links.retain(|(a, b)| *a != node && *b != node);
        self.link_all();
    }

    /// Starts the graceful stop of a node, and announces it to all others.
    pub fn begin_graceful_stop(&mut self, node: usize) {
        self.stopping.insert(node);
        self.stores[node].begin_graceful_stop(self.now);
        self.run();
        self.announce_membership();
    }

    /// Announces to all reachable nodes which nodes could become replicas and which are stopping.
    pub fn announce_membership(&mut self) {
        for (a, b) in self.pairs() {
            let is_paused = self.paused.contains(&a) || self.paused.contains(&b);
            if !self.cut_links.contains(&(b, a)) && !is_paused {
                let is_stopping = self.stopping.contains(&b);
                let is_free = self.stores[b].is_outside() && !is_stopping;
                self.stores[a].set_candidate(self.now, Node(b as u32), is_free);
                self.stores[a].set_stopping(self.now, Node(b as u32), is_stopping);
            }
        }
        self.run();
    }

    /// Syncs all pending writes of a node.
    pub fn sync(&mut self, node: usize) {
        while self.sync_one(node) {}
    }

    fn sync_one(&mut self, node: usize) -> bool {
        let Some(pending) = self.writes[node].pop_front() else { return false };
        let write = pending.write;
        pending.persist(&mut self.disks[node]);
        self.stores[node].write_completed(self.now, write);
        true
    }

    /// Uses up one step; `false` if none is left.
    fn take_step(&mut self) -> bool {
        let Some(left) = &mut self.steps_left else { return true };
        let may = *left > 0;
        *left = left.saturating_sub(1);
        may
    }

    /// Runs until nothing is in flight or no step is left.
    pub fn run(&mut self) {
        loop {
            let mut moved = false;
            for node in 0..self.stores.len() {
                moved |= self.take_effects(node);
                let is_stalled = self.stalled_disks.contains(&node) || self.paused.contains(&node);
                if !is_stalled && !self.writes[node].is_empty() {
                    moved = true;
                    if self.steps_left.is_none() {
                        self.sync(node);
                    } else if !self.take_step() || !self.sync_one(node) {
                        return;
                    }
                }
            }
            match self.deliver() {
                Some(delivered) => moved |= delivered,
                None => return,
            }
            if !moved {
                break;
            }
        }
    }

    /// Whether there were any effects.
    fn take_effects(&mut self, node: usize) -> bool {
        let effects = self.stores[node].take_effects();
        let any = !effects.is_empty();
        for effect in effects {
            match effect {
                Effect::Send { to, version, message } => {
                    if let Message::RepairRequest { incarnation } = message {
                        self.repairing_as.insert(node, incarnation);
                    }
                    let to = to.0 as usize;
                    self.messages.push_back(MessageInFlight { from: node, to, version, message });
                }
                Effect::Store { write, metadata, keys } => {
                    self.writes[node].push_back(PendingWrite { write, metadata, keys });
                }
                Effect::Answer { token, outcome } => {
                    assert!(self.answers.insert(token, outcome).is_none(), "answered twice");
                }
                Effect::Committed { .. } => {}
            }
        }
        any
    }

    /// Delivers the messages in flight. Whether there were any; `None` if no step is left.
    fn deliver(&mut self) -> Option<bool> {
        let mut moved = false;
        for _ in 0..self.messages.len() {
            let Some(in_flight) = self.messages.pop_front() else { break };
            let (from, to) = (in_flight.from, in_flight.to);
            if self.held_links.contains(&(from, to)) || self.paused.contains(&to) {
                self.messages.push_back(in_flight);
            } else if self.cut_links.contains(&(from, to)) {
                continue;
            } else if !self.take_step() {
                self.messages.push_front(in_flight);
                return None;
            } else {
                moved = true;
                let MessageInFlight { version, message, .. } = in_flight;
                self.receive(to, from, version, message);
            }
        }
        Some(moved)
    }

    /// Delivers a message directly.
    pub fn receive(&mut self, to: usize, from: usize, version: u64, message: NotesMessage) {
        self.stores[to].receive(self.now, Node(from as u32), version, message);
    }

    /// Delivers a replica set directly, under its own version.
    pub fn receive_replica_set(&mut self, to: usize, from: usize, replica_set: &ReplicaSet) {
        let replica_set = replica_set.clone();
        self.receive(to, from, replica_set.version, Message::ReplicaSet { replica_set });
    }

    /// Lets simulated time pass.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for store in &mut self.stores {
                store.tick(self.now);
            }
            self.run();
        }
    }

    /// Lets simulated time pass from one deadline to the next, until no step is left if steps are limited.
    pub fn advance_by_deadlines(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && self.steps_left != Some(0) {
            let awake = || (0..self.stores.len()).filter(|node| !self.paused.contains(node));
            let deadline = awake().filter_map(|node| self.stores[node].next_deadline()).min();
            let next = self.now + Duration::from_micros(1);
            self.now = deadline.unwrap_or(until).clamp(next, until);
            for node in awake().collect::<Vec<_>>() {
                self.stores[node].tick(self.now);
            }
            self.run();
            self.announce_membership();
        }
    }

    /// Restarts a node on its disk. Unsynced writes are lost.
    pub fn restart(&mut self, node: usize) {
        self.starts += 1;
        self.writes[node].clear();
        self.stopping.remove(&node);
        let config = start_config(node, self.replicas, false, self.starts);
        self.stores[node] = ControlStore::new(self.now, config, self.disks[node].clone());
        for other in (0..self.stores.len()).filter(|other| *other != node) {
            self.stores[other].set_reachable(self.now, Node(node as u32), false);
        }
        self.link_all();
    }

    /// Restarts a node, and activates the mutation again before it is linked.
    pub fn restart_with_mutation(&mut self, node: usize, mutation: Option<Mutation>) {
        let others = (0..self.stores.len()).filter(|other| *other != node);
        let links: Vec<(usize, usize)> = others.flat_map(|other| [(node, other), (other, node)]).collect();
        let cut_links = self.cut_links.clone();
        self.cut_links.extend(links);
        self.restart(node);
        self.cut_links = cut_links;
        self.set_mutation(mutation);
        self.link_all();
    }

    /// Restarts a node with an empty disk.
    pub fn wipe(&mut self, node: usize) {
        self.disks[node] = StoredState::default();
        self.restart(node);
    }

    pub fn call(&mut self, node: usize, token: u64, change: &[(u8, u64, u64)]) {
        self.stores[node].call(self.now, token, KEY, change.to_vec());
        self.run();
    }

    pub fn read(&mut self, node: usize, token: u64) -> Notes {
        self.stores[node].read(self.now, token, KEY);
        self.run();
        self.advance(Duration::from_millis(700));
        match self.answers.get(&token) {
            Some(CallOutcome::Value { value, .. }) => value.clone(),
            other => panic!("no value: {other:?}"),
        }
    }

    pub fn is_committed(&self, token: u64) -> bool {
        matches!(self.answers.get(&token), Some(CallOutcome::Committed { .. }))
    }

    /// The members of the replica set known to a node.
    pub fn members(&self, node: usize) -> Vec<u32> {
        self.stores[node].replica_nodes().into_iter().map(|member| member.0).collect()
    }
}

/// The two other nodes of three.
pub fn others(owner: usize) -> (usize, usize) {
    ((owner + 1) % 3, (owner + 2) % 3)
}
