//! The state of a control store, and the few operations on it that all of `protocol` shares.
//!
//! The rules of the protocol are in the files below `protocol`, one `impl` block for each role. This file and
//! the types it consists of import nothing from there.

use crate::call::Call;
use crate::effect::Effect;
use crate::key_slot::KeySlot;
use crate::limits::{MAX_KEYS, MAX_KEY_BYTES, SNAPSHOT_CHUNK_BYTES};
use crate::message::Message;
use crate::metrics::Metrics;
use crate::mutation::{is_active, Mutation};
use crate::proposal::Proposal;
use crate::repair::Repair;
use crate::replica_set::{ReplicaSet, Vote};
use crate::snapshot::{IncomingSnapshot, OutgoingSnapshot};
use crate::stored::{Metadata, StoredKey, StoredState};
use crate::types::{Epoch, Incarnation, Node};
use crate::value::State;
use crate::write_queue::{AfterWrite, WriteInFlight};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a control store starts.
#[derive(Clone, Debug)]
pub struct StartConfig {
    /// This node.
    pub node: Node,
    /// All replicas at the first start; later, the nodes to ask for the replica set. A replica set on disk
    /// takes precedence.
    pub replica_set: Vec<Node>,
    /// Keys that exist from the start.
    pub keys: Vec<String>,
    /// Whether this is the first start of this node: only then is an empty disk new and not lost.
    pub is_first_start: bool,
    /// Seed of random delays, which also depend on the node. Has to differ between starts, because call ids
    /// start at a number drawn from it.
    pub seed: u64,
}

/// This node's status in the replica set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// A replica whose metadata is being written: it votes once that is durable.
    PersistingMetadata,
    /// A replica whose disk was empty and is being repaired.
    Repairing,
    /// A replica whose promises and appends count.
    Voter,
    /// Not a replica, or the replica set is not known yet.
    Outside,
}

/// One control node's part of the control state.
///
/// After each call, the caller has to execute the effects that [`ControlStore::take_effects`] returns.
#[derive(Clone, Debug)]
pub struct ControlStore<V: State> {
    pub(crate) node: Node,
    pub(crate) replica_set: ReplicaSet,
    pub(crate) vote: Vote,
    pub(crate) proposal: Option<Proposal>,
    /// The highest known epoch of a proposal.
    pub(crate) highest_proposal: Epoch,
    pub(crate) next_proposal: Instant,
    /// Linked nodes, replicas or not. At most `MAX_LINKS`, not counting replicas.
    pub(crate) reachable: BTreeSet<Node>,
    /// Since when each unreachable replica has been so.
    pub(crate) unreachable_since: BTreeMap<Node, Instant>,
    /// Nodes that could become replicas. At most `MAX_CANDIDATES`.
    pub(crate) candidates: BTreeSet<Node>,
    /// Control nodes, this one included, that have announced that they are stopping, and since when. At most
    /// `MAX_STOPPING_NODES`.
    pub(crate) stopping: BTreeMap<Node, Instant>,
    /// The joining replica of the last replacement, if it was abandoned.
    pub(crate) abandoned_joining: Option<Node>,
    /// Set if this node was removed from the replica set: the nodes that vote under one without it.
    pub(crate) voters_without_this: Option<BTreeSet<Node>>,
    pub(crate) phase: Phase,
    pub(crate) incarnation: Incarnation,
    pub(crate) incarnations: BTreeMap<Node, Incarnation>,
    pub(crate) repair: Repair<V>,
    /// At most `MAX_INCOMING_SNAPSHOTS`.
    pub(crate) incoming_snapshots: BTreeMap<String, IncomingSnapshot>,
    /// At most `MAX_OUTGOING_SNAPSHOTS`.
    pub(crate) outgoing_snapshots: Vec<OutgoingSnapshot>,
    pub(crate) snapshot_chunk_bytes: usize,
    /// At most `MAX_KEYS`.
    pub(crate) keys: BTreeMap<String, KeySlot<V>>,
    /// At most `MAX_OPEN_CALLS`.
    pub(crate) open_calls: BTreeMap<u64, Call<V::Change>>,
    pub(crate) last_call_id: u64,
    pub(crate) rng_state: u64,
    pub(crate) last_heartbeat: Instant,
    pub(crate) metrics: Metrics,
    pub(crate) effects: Vec<Effect<V>>,
    pub(crate) unwritten_keys: BTreeSet<String>,
    pub(crate) has_unwritten_metadata: bool,
    pub(crate) after_next_write: Vec<AfterWrite<V>>,
    /// At most `MAX_WRITES_IN_FLIGHT`.
    pub(crate) writes_in_flight: VecDeque<WriteInFlight<V>>,
    pub(crate) last_write: u64,
    pub(crate) disk_has_space: bool,
    pub(crate) mutation: Option<Mutation>,
}

/// The phase in which a node starts.
fn initial_phase(config: &StartConfig, metadata: Option<&Metadata>) -> Phase {
    match metadata {
        // The disk was found rolled back to an older state before: it is treated as empty.
        Some(metadata) if metadata.replica_set.version == 0 => Phase::Outside,
        Some(_) => Phase::Voter,
        None if config.is_first_start && config.replica_set.contains(&config.node) => {
            Phase::PersistingMetadata
        }
        None => Phase::Outside,
    }
}

/// Mixes the bits of a number (the finalizer of SplitMix64). Random numbers and the claim order are based on
/// it.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl<V: State> ControlStore<V> {
    /// A control store with the state found on disk.
    pub fn new(now: Instant, config: StartConfig, stored: StoredState<V>) -> Self {
        let phase = initial_phase(&config, stored.metadata.as_ref());
        let metadata = stored.metadata.unwrap_or_else(|| Metadata {
            replica_set: ReplicaSet::initial(u64::from(config.is_first_start), config.replica_set),
            ..Metadata::default()
        });
        let others = metadata.replica_set.nodes().filter(|node| *node != config.node);
        let incarnations = metadata.incarnations.iter().map(|known| (known.node, known.incarnation));
        let mut store = ControlStore {
            node: config.node,
            unreachable_since: others.map(|node| (node, now)).collect(),
            incarnations: incarnations.collect(),
            replica_set: metadata.replica_set,
            vote: metadata.vote,
            proposal: None,
            highest_proposal: Epoch::default(),
            next_proposal: now,
            reachable: BTreeSet::new(),
            candidates: BTreeSet::new(),
            stopping: BTreeMap::new(),
            abandoned_joining: None,
            voters_without_this: None,
            phase,
            incarnation: metadata.incarnation,
            repair: Repair::new(now),
            incoming_snapshots: BTreeMap::new(),
            outgoing_snapshots: Vec::new(),
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            keys: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            last_call_id: 0,
            rng_state: mix(config.seed ^ mix(now.as_micros() as u64 ^ (u64::from(config.node.0) << 32))),
            last_heartbeat: now,
            metrics: Metrics::default(),
            effects: Vec::new(),
            unwritten_keys: BTreeSet::new(),
            has_unwritten_metadata: false,
            after_next_write: Vec::new(),
            writes_in_flight: VecDeque::new(),
            last_write: 0,
            disk_has_space: true,
            mutation: None,
        };
        store.last_call_id = store.random();
        store.load(now, config.keys, stored.keys);
        store
    }

    /// Creates the keys that exist from the start, and loads the stored ones if they count.
    fn load(&mut self, now: Instant, keys: Vec<String>, stored: Vec<StoredKey<V>>) {
        for key in keys {
            self.slot_or_insert(now, &key);
        }
        if self.phase == Phase::Voter {
            for key in stored {
                self.restore_key(now, key);
            }
        }
        if self.phase == Phase::PersistingMetadata {
            self.has_unwritten_metadata = true;
            self.after_next_write.push(AfterWrite::Vote { version: self.replica_set.version });
        }
    }

    /// Replaces a key's state with one from disk or from other replicas.
    pub(crate) fn restore_key(&mut self, now: Instant, stored: StoredKey<V>) {
        if let Some(slot) = self.slot_or_insert(now, &stored.key) {
            slot.replace(now, stored.promised, stored.accepted, stored.value);
            slot.highest_epoch = slot.highest_epoch.max(stored.promised);
        }
    }

    /// The key's slot, created if the limits allow it.
    pub(crate) fn slot_or_insert(&mut self, now: Instant, key: &str) -> Option<&mut KeySlot<V>> {
        if !self.keys.contains_key(key) {
            if self.keys.len() >= MAX_KEYS || key.len() > MAX_KEY_BYTES {
                return None;
            }
            self.keys.insert(key.to_owned(), KeySlot::new(now));
        }
        self.keys.get_mut(key)
    }

    /// The keys whose slots match the predicate.
    pub(crate) fn keys_matching(&self, predicate: impl Fn(&KeySlot<V>) -> bool) -> Vec<String> {
        self.keys.iter().filter(|(_, slot)| predicate(slot)).map(|(key, _)| key.clone()).collect()
    }

    /// Sends a message under the replica set in force here.
    pub(crate) fn send(&mut self, to: Node, message: Message<V, V::Change>) {
        self.effects.push(Effect::Send { to, version: self.replica_set.version, message });
    }

    /// Adds an effect for the caller to execute.
    pub(crate) fn push_effect(&mut self, effect: Effect<V>) {
        self.effects.push(effect);
    }

    /// The next random number.
    pub(crate) fn random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.rng_state)
    }

    /// Whether this node's promises and appends count: not while its metadata is being written or its disk
    /// repaired.
    pub fn is_voter(&self) -> bool {
        self.phase == Phase::Voter
    }

    /// Whether this mutation is active.
    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        is_active(self.mutation, mutation)
    }

    /// Activates a mutation, to test that the checkers detect it.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        let unread = mutation == Mutation::StartsWithoutStoredState;
        for slot in self.keys.values_mut() {
            if unread || mutation == Mutation::ForgetsStoredPromises {
                (slot.promised, slot.highest_epoch) = Default::default();
            }
            if unread {
                (slot.accepted, slot.value) = Default::default();
            }
        }
        self.mutation = Some(mutation);
    }

    /// Replaces [`SNAPSHOT_CHUNK_BYTES`], so that small values too are sent in several chunks. For tests.
    #[doc(hidden)]
    pub fn set_snapshot_chunk_bytes(&mut self, bytes: usize) {
        self.snapshot_chunk_bytes = bytes.max(1);
    }

    /// Equal for two stores that behave the same, apart from random numbers still to be drawn. For tests.
    #[doc(hidden)]
    pub fn fingerprint(&self) -> u64 {
        let alike = ControlStore { metrics: Metrics::default(), rng_state: 0, ..self.clone() };
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        std::hash::Hash::hash(&format!("{alike:?}"), &mut hasher);
        std::hash::Hasher::finish(&hasher)
    }
}
