//! The control store itself: how it starts, the messages it receives, and its clock.

use crate::calls::Call;
use crate::limits::{KEYS, NAME, RESEND};
use crate::message::{Effect, Incarnation, Message, Metadata, StoredKey, StoredState};
use crate::metrics::Metrics;
use crate::mutation::Mutation;
use crate::pieces::{Piece, Pull, Served, SNAPSHOT_CHUNK_BYTES};
use crate::recent::Recent;
use crate::replica::Changes;
use crate::replica_set::{Proposal, ReplicaSet, Vote};
use crate::state::{After, Ownership, Phase, Repair, Slot};
use crate::{Epoch, Micros, Node, Revision, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a control store starts.
#[derive(Clone, Debug)]
pub struct Start {
    /// This node.
    pub me: Node,
    /// All replicas on the first start; later, where to ask who they are. A replica set on disk goes first.
    pub replica_set: Vec<Node>,
    /// Keys that exist from the start.
    pub keys: Vec<String>,
    /// Whether this is the first start of this machine: only then an empty disk is a new one and not a lost one.
    pub fresh: bool,
    /// For waits that differ between nodes. To differ with every start, for calls are numbered from it.
    pub seed: u64,
}

/// One replica's part of the control state.
#[derive(Clone, Debug)]
pub struct ControlStore<P: State> {
    pub(crate) me: Node,
    pub(crate) replica_set: ReplicaSet,
    pub(crate) vote: Vote,
    pub(crate) proposal: Option<Proposal>,
    /// The highest epoch of a proposal that was heard of.
    pub(crate) ballot: Epoch,
    pub(crate) next_try: Micros,
    /// Linked nodes, replicas or not. At most `LINKS`.
    pub(crate) up: BTreeSet<Node>,
    /// Since when replicas can't be reached.
    pub(crate) gone: BTreeMap<Node, Micros>,
    /// At most `CANDIDATES`.
    pub(crate) candidates: BTreeSet<Node>,
    /// Core machines, this one included, that have said that they stop, and since when. At most `LEAVERS`.
    pub(crate) leavers: BTreeMap<Node, Micros>,
    /// The last newcomer with which a change was abandoned.
    pub(crate) failed: Option<Node>,
    /// Where this one was a replica and is none any more: who votes without it.
    pub(crate) in_force: Option<BTreeSet<Node>>,
    pub(crate) phase: Phase,
    pub(crate) incarnation: Incarnation,
    pub(crate) incarnations: BTreeMap<Node, Incarnation>,
    pub(crate) repair: Repair<P>,
    /// Values that are received. At most `PULLS`.
    pub(crate) pulls: BTreeMap<String, Pull>,
    /// Values that are sent. At most `SERVED`.
    pub(crate) served: Vec<Served>,
    pub(crate) piece: usize,
    /// At most `KEYS`.
    pub(crate) keys: BTreeMap<String, Slot<P>>,
    /// At most `OPEN`.
    pub(crate) open: BTreeMap<u64, Call<P::Change>>,
    pub(crate) next_call: u64,
    pub(crate) random: u64,
    pub(crate) calm: Micros,
    pub(crate) figures: Metrics,
    pub(crate) effects: Vec<Effect<P>>,
    pub(crate) dirty: BTreeSet<String>,
    pub(crate) dirty_metadata: bool,
    pub(crate) after: Vec<After<P>>,
    /// Writes under way. At most `WRITES`.
    pub(crate) writes: VecDeque<(u64, Vec<After<P>>)>,
    pub(crate) write: u64,
    /// Whether the disk takes writes.
    pub(crate) room: bool,
    pub(crate) broken: Option<Mutation>,
}

/// What a node is to the replica set at its start, and its metadata.
fn first_phase(start: &Start, metadata: Option<Metadata>) -> (Phase, Metadata) {
    match metadata {
        // It was found to have gone back: as good as empty.
        Some(metadata) if metadata.replica_set.version == 0 => (Phase::Outside, metadata),
        Some(metadata) => (Phase::Voter, metadata),
        None => {
            let replica = start.fresh && start.replica_set.contains(&start.me);
            let phase = if replica { Phase::Formatting } else { Phase::Outside };
            let replica_set = ReplicaSet::first(u64::from(start.fresh), start.replica_set.clone());
            (phase, Metadata { replica_set, ..Metadata::default() })
        }
    }
}

/// Spreads the bits of a number: draws and the order of owners come from it.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl<P: State> ControlStore<P> {
    /// A control store on what was found on disk.
    pub fn new(now: Micros, start: Start, disk: StoredState<P>) -> Self {
        let (phase, metadata) = first_phase(&start, disk.metadata);
        let replica_set = metadata.replica_set;
        let gone = replica_set.nodes().filter(|n| *n != start.me).map(|n| (n, now)).collect();
        let mut store = ControlStore {
            me: start.me,
            replica_set,
            vote: metadata.vote,
            proposal: None,
            ballot: Epoch::default(),
            next_try: now,
            up: BTreeSet::new(),
            gone,
            candidates: BTreeSet::new(),
            leavers: BTreeMap::new(),
            failed: None,
            in_force: None,
            phase,
            incarnation: metadata.incarnation,
            incarnations: metadata.incarnations.into_iter().collect(),
            repair: Repair::new(now),
            pulls: BTreeMap::new(),
            served: Vec::new(),
            piece: SNAPSHOT_CHUNK_BYTES,
            keys: BTreeMap::new(),
            open: BTreeMap::new(),
            next_call: 0,
            random: mix(start.seed ^ mix(now as u64 ^ (u64::from(start.me.0) << 32))),
            calm: now,
            figures: Metrics::default(),
            effects: Vec::new(),
            dirty: BTreeSet::new(),
            dirty_metadata: false,
            after: Vec::new(),
            writes: VecDeque::new(),
            write: 0,
            room: true,
            broken: None,
        };
        store.next_call = store.draw();
        store.load(now, start.keys, disk.keys);
        store
    }

    /// Puts in the keys that exist from the start, and what was found on disk if it counts.
    fn load(&mut self, now: Micros, keys: Vec<String>, found: Vec<StoredKey<P>>) {
        for key in keys {
            self.slot(now, &key);
        }
        if self.phase == Phase::Voter {
            for stored in found {
                self.adopt(now, stored);
            }
        }
        if self.phase == Phase::Formatting {
            self.dirty_metadata = true;
            self.after.push(After::Voter(self.replica_set.version));
        }
    }

    /// Pieces of so many bytes in the place of [`SNAPSHOT_CHUNK_BYTES`], so that small values go in several too.
    #[doc(hidden)]
    pub fn set_snapshot_chunk_bytes(&mut self, bytes: usize) {
        self.piece = bytes.max(1);
    }

    /// The same for two that go on alike, but for what is drawn from here on.
    #[doc(hidden)]
    pub fn fingerprint(&self) -> u64 {
        let alike = ControlStore { figures: Metrics::default(), random: 0, ..self.clone() };
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        std::hash::Hash::hash(&format!("{alike:?}"), &mut hasher);
        std::hash::Hasher::finish(&hasher)
    }

    /// Puts what a disk or the others had in the place of what is here.
    pub(crate) fn adopt(&mut self, now: Micros, stored: StoredKey<P>) {
        if let Some(slot) = self.slot(now, &stored.key) {
            slot.promised = stored.promised;
            slot.accepted = stored.accepted;
            slot.value = stored.value;
            slot.recent = Recent::begin(stored.accepted);
            slot.seen = slot.seen.max(stored.promised);
        }
    }

    /// The key's slot, made if there is room.
    pub(crate) fn slot(&mut self, now: Micros, key: &str) -> Option<&mut Slot<P>> {
        if !self.keys.contains_key(key) {
            if self.keys.len() >= KEYS || key.len() > NAME {
                return None;
            }
            let slot = Slot {
                promised: Epoch::default(),
                accepted: Revision::default(),
                value: P::default(),
                recent: Recent::begin(Revision::default()),
                seen: Epoch::default(),
                heard: now,
                ownerless: Some(now),
                not_before: now,
                ownership: Ownership::Replica,
                queue: VecDeque::new(),
            };
            self.keys.insert(key.to_owned(), slot);
        }
        self.keys.get_mut(key)
    }

    /// A message came, said under this version of the replica set. One of an older version is answered with the newer
    /// replica set and does nothing else. From a node outside the replica set it is counted and dropped, but for calls
    /// that it forwards.
    pub fn receive(&mut self, now: Micros, from: Node, version: u64, message: Message<P, P::Change>) {
        if from == self.me {
            self.figures.strangers += 1;
            return;
        }
        let mine = self.replica_set.version;
        if let Message::AcknowledgedPositions { incarnation, keys } = message {
            self.on_had_kept(now, incarnation, &keys);
            return;
        }
        if let Message::ReplicaSet { replica_set } = message {
            if replica_set.version < mine {
                self.send(from, Message::ReplicaSet { replica_set: self.replica_set.clone() });
            }
            self.take_replica_set(now, replica_set);
            return;
        }
        if !self.same_version(from, version) {
            return;
        }
        if matches!(message, Message::ReplicaSetRequest) && self.is_voter() {
            self.send(from, Message::ReplicaSetInForce);
            return;
        }
        let known = self.replica_set.contains(from)
            || self.is(Mutation::RemovedReplicaVotes)
            || self.is(Mutation::AcceptsOlderReplicaSetMessages);
        if !known && !matches!(message, Message::Forward { .. }) {
            self.figures.strangers += 1;
            return;
        }
        self.heed(now, from, message);
    }

    /// Whether a message was said under the replica set in force here; else what is newer is asked for or told.
    fn same_version(&mut self, from: Node, version: u64) -> bool {
        let mine = self.replica_set.version;
        if version == mine || self.is(Mutation::AcceptsOlderReplicaSetMessages) {
            return true;
        }
        if version > mine {
            self.send(from, Message::ReplicaSetRequest);
        } else {
            self.figures.older_replica_set += 1;
            self.send(from, Message::ReplicaSet { replica_set: self.replica_set.clone() });
        }
        false
    }

    /// Hands a message that counts to what handles it.
    pub(crate) fn heed(&mut self, now: Micros, from: Node, message: Message<P, P::Change>) {
        match message {
            Message::ForwardReply { id, under, forwarded } => {
                self.on_verdict(now, from, id, under, forwarded)
            }
            Message::RepairReply { incarnation, keys, vote, incarnations } => {
                self.on_recovered(now, from, incarnation, keys, vote, incarnations);
            }
            Message::StaleIncarnation { incarnation } => self.on_outlived(now, incarnation),
            Message::SnapshotChunk { key, at, offset, total, digest, bytes } => {
                self.on_piece(now, from, key, Piece { at, offset, total, digest, bytes });
            }
            Message::Forward { id, key, under, ask } => self.on_forward(now, from, id, key, under, ask),
            Message::ReplicaSetInForce => self.on_in_force(from),
            Message::ReplicaSetRequest
            | Message::ReplicaSet { .. }
            | Message::AcknowledgedPositions { .. } => {}
            _ if self.phase != Phase::Voter => {}
            Message::Claim { key, epoch } => self.on_claim(now, from, key, epoch),
            Message::Promise { key, epoch, accepted, incarnations } => {
                self.merge(&incarnations);
                self.on_promise(now, from, key, epoch, accepted, incarnations.mine);
            }
            Message::ClaimRequest { key, epoch } => self.on_yield(now, key, epoch),
            Message::Append { key, epoch, to, base, changes, more } => {
                self.on_copy(now, from, key, epoch, Changes { base, to, changes, more });
            }
            Message::Appended { key, epoch, sequence, incarnations } => {
                self.merge(&incarnations);
                self.on_kept(now, from, key, epoch, sequence, incarnations.mine);
            }
            Message::Behind { key, epoch, accepted, whole } => {
                self.on_behind(now, from, key, epoch, (!whole).then_some(accepted));
            }
            Message::SnapshotRequest { key, at, offset } => self.on_fetch(now, from, key, at, offset),
            Message::HigherEpoch { key, epoch } => self.learn(now, &key, epoch),
            Message::OwnershipReleased { key, epoch } => self.on_resigned(now, from, key, epoch),
            Message::ConfirmEpoch { key, epoch, round } => self.on_confirm(now, from, key, epoch, round),
            Message::EpochConfirmed { key, epoch, round } => self.on_confirmed(now, from, key, epoch, round),
            Message::Heartbeat { keys } => self.on_heartbeat(now, from, keys),
            Message::RepairRequest { incarnation } => self.on_recover(from, incarnation),
            Message::PrepareReplicaSet { epoch, gone } => self.on_propose(now, from, epoch, gone),
            Message::ReplicaSetPromise { epoch, accepted, incarnations } => {
                self.merge(&incarnations);
                self.on_proposed(now, from, epoch, accepted, incarnations);
            }
            Message::AcceptReplicaSet { epoch, replica_set } => self.on_accept(now, from, epoch, replica_set),
            Message::ReplicaSetAccepted { epoch, incarnations } => {
                self.merge(&incarnations);
                self.on_accepted(now, from, epoch, incarnations);
            }
            Message::HigherReplicaSetEpoch { epoch } => self.on_overruled(epoch),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        self.tick_calls(now);
        self.tick_pulls(now);
        match self.phase {
            // What is due of keys and of the replica set begins with a write.
            Phase::Voter if !self.room => {}
            Phase::Voter => {
                self.tick_keys(now);
                self.tick_replica_set(now);
            }
            Phase::Outside if self.asks() && now >= self.repair.sent + RESEND => {
                self.ask_replica_set(now);
            }
            Phase::Repairing if now >= self.repair.sent + RESEND => {
                self.ask_repair(now);
                self.go_on_with_repair(now);
            }
            _ => {}
        }
    }

    /// When `tick` wants to be called at the latest.
    pub fn next_deadline(&self) -> Option<Micros> {
        let calls = self.open.values().map(|call| call.due()).min();
        let rest = match self.phase {
            Phase::Voter if !self.room => None,
            Phase::Voter => {
                let keys = self.keys.iter().filter_map(|(key, slot)| self.due(key, slot)).min();
                keys.into_iter().chain(self.replica_set_due()).min()
            }
            Phase::Repairing => Some(self.repair.sent + RESEND),
            Phase::Outside if self.asks() => Some(self.repair.sent + RESEND),
            Phase::Formatting | Phase::Outside => None,
        };
        calls.into_iter().chain(rest).chain(self.pulls_due()).min()
    }

    /// Whether this node's promises and copies count: not while its metadata is being written or its disk repaired.
    pub fn is_voter(&self) -> bool {
        self.phase == Phase::Voter
    }

    /// The next random number.
    pub(crate) fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random)
    }
}
