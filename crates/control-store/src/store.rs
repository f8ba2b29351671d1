//! The control store's state, its calls from outside, and its clock.

use crate::message::{Disk, Effect, Held, Incarnation, Incarnations, Message, Metadata, Stored};
use crate::owner::{Claim, Owner};
use crate::pieces::{Piece, Pull, Served, PIECE};
use crate::recent::Recent;
use crate::replica::Changes;
use crate::replica_set::{Proposal, ReplicaSet, Vote, LINKS};
use crate::{calls::Call, calls::Job, Epoch, Micros, Node, Revision, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A call is answered within this.
pub const CALL_LIMIT: Micros = 800_000;
/// An owner that was forwarded a call and says nothing for this long is given up.
pub const FORWARD_LIMIT: Micros = 250_000;
/// A key without a reachable owner is claimed after this by the first in line, by each further one this much later.
pub const OWNERLESS: Micros = 400_000;
/// An owner that is linked but says nothing counts as gone after this.
pub const SILENT: Micros = 2_500_000;
/// What was not answered is sent again after this.
pub const RESEND: Micros = 300_000;
/// How often an owner tells the others what it owns.
pub const CALM: Micros = 1_000_000;
/// Keys at most; a call on a further one is refused, a message on one dropped.
pub const KEYS: usize = 4096;
/// Bytes of a key's name at most; longer ones are refused.
pub const NAME: usize = 256;
/// Open calls of this node at most; a further one is `Unsettled` at once.
pub const OPEN: usize = 4096;
/// Calls that wait at one key at most, those forwarded by others included; a further one is `Unsettled` at once.
pub const QUEUE: usize = 1024;
/// Calls forwarded to an owner that it remembers, so that one that comes twice is served once; the oldest goes first.
pub const FORWARDS: usize = 8192;
/// Writes under way at most; what is to be written meanwhile goes into the next one together.
pub const WRITES: usize = 2;
/// Changes in one copy at most; the rest waits for the next.
pub const BATCH: usize = 64;
/// A replica that nobody reaches for this long is replaced, if there is a candidate.
pub const GONE: Micros = 4_000_000;
/// The same while another replica stops in plan: once that one has ended there may be no majority without one in its place.
pub const GONE_AS_ONE_LEAVES: Micros = 1_000_000;
/// Between those who propose a change of the replica set, and between the tries of each (and as much again, drawn).
pub const STAGGER: Micros = 500_000;

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

/// What a node is to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its owner.
    Owner,
    /// Wants to own it, or has taken it and not yet written it anew.
    Claiming,
    /// Keeps copies.
    Replica,
    /// Its disk was empty and is being repaired: no voter.
    Repairing,
}

/// A key as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyState {
    /// Its name.
    pub key: String,
    /// The highest epoch promised here.
    pub promised: Epoch,
    /// Where the copy here stands.
    pub accepted: Revision,
    /// Who is believed to own it.
    pub owner: Option<Node>,
    /// What this node is to it.
    pub role: Role,
}

/// Plain counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Claims made.
    pub claims: u64,
    /// Keys taken and written anew.
    pub taken: u64,
    /// Keys given up, or claims, for a higher epoch.
    pub stepped_down: u64,
    /// Copies of changes sent.
    pub copies_sent: u64,
    /// Copies of whole values begun to be sent.
    pub wholes_sent: u64,
    /// Pieces of them sent.
    pub pieces_sent: u64,
    /// Values received that were not whole, and not taken.
    pub torn: u64,
    /// Claims left to one with a later copy.
    pub yielded: u64,
    /// Times that a replica said it was behind.
    pub behind: u64,
    /// Claims, copies and other messages of a lower epoch refused.
    pub refused_lower_epoch: u64,
    /// Messages from nodes outside the replica set.
    pub strangers: u64,
    /// Calls answered `Unsettled`.
    pub unsettled: u64,
    /// Calls forwarded on.
    pub forwarded: u64,
    /// Repairs of other replicas' empty disks answered.
    pub repairs: u64,
    /// What a replica said with a disk that it lost since.
    pub outlived: u64,
    /// Messages under an older replica set.
    pub older_replica_set: u64,
    /// Later replica sets taken.
    pub replica_sets: u64,
    /// Times that this replica's own disk was found to have gone back to an older state.
    pub went_back: u64,
    /// Times that the disk had no room.
    pub no_room: u64,
    /// Promises and copies that were not confirmed, for the disk had no room.
    pub unsaid: u64,
}

/// How a control store is broken on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Answers when it alone has synced.
    AnswersEarly,
    /// Promises an epoch that it does not store.
    PromiseNotDurable,
    /// Takes copies of a lower epoch than promised.
    TakesOldCopies,
    /// Votes with an empty disk.
    WipedVotes,
    /// Takes a key over after its own promise alone.
    ReadsTooFew,
    /// Counts what was said with a disk that was lost since.
    CountsLostDisks,
    /// Reads without asking whether its epoch still stands.
    ReadsUnasked,
    /// Keeps what a value that refuses a change has made of it.
    KeepsPart,
    /// A newcomer votes before it is repaired.
    NewcomerVotes,
    /// While a replica is being replaced more than half of the replica set before is enough.
    OldQuorumOnly,
    /// Heeds messages under an older replica set.
    HeedsOldReplicaSet,
    /// A removed replica goes on voting and is counted.
    RemovedVotes,
    /// The replica that leaves is dropped before the newcomer is repaired.
    DropsLeaverEarly,
    /// A replica that leaves ends once it knows the replica set without it, whoever else has that.
    EndsUnconfirmed,
    /// Is repaired under a joint replica set though the one after it may be in force.
    RepairedOvertaken,
    /// Goes on voting with a disk that went back to an older state.
    VotesGoneBack,
    /// Confirms promises and copies although the write failed.
    SaysUnwritten,
    /// Goes on from its start as if nothing stood on its disk.
    StartsUnread,
    /// Takes a whole value in the place of a later one.
    TakesOldSnapshots,
    /// Puts pieces of several revisions together.
    MixesSnapshots,
    /// Leads with the copy it has, whatever the others have.
    LeadsWithOldCopy,
    /// Refuses without asking whether its epoch still stands.
    RefusesUnasked,
    /// Tells at once what rests on a change that is not committed yet.
    TellsUncommitted,
    /// Starts before its promises are read from disk.
    ForgetsPromises,
}

/// What waits for a write.
#[derive(Clone, Debug)]
pub(crate) enum After<P: State> {
    /// Under which version: of an older one it is not sent any more.
    Send(u64, Node, Message<P, P::Change>),
    Promised {
        key: String,
        epoch: Epoch,
    },
    Kept {
        key: String,
        epoch: Epoch,
        seq: u64,
    },
    Voter(u64),
}

/// A key here. `promised`, `accepted` and `value` are as the last write that was issued leaves them: what tells others
/// of them waits for that write.
#[derive(Clone, Debug)]
pub(crate) struct Slot<P: State> {
    pub promised: Epoch,
    pub accepted: Revision,
    pub value: P,
    /// How it came from earlier ones.
    pub recent: Recent<P::Change>,
    /// The highest epoch heard of.
    pub seen: Epoch,
    /// When its owner was heard last.
    pub heard: Micros,
    /// Since when nobody reachable owns it.
    pub ownerless: Option<Micros>,
    /// No claim before this, after a lost one.
    pub not_before: Micros,
    pub ownership: Ownership<P>,
    /// Calls that wait for this node to own the key, or for the copy under way. At most `QUEUE`.
    pub queue: VecDeque<Job<P::Change>>,
}

#[derive(Clone, Debug)]
pub(crate) enum Ownership<P: State> {
    Replica,
    Claiming(Claim),
    Owner(Box<Owner<P>>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// The metadata is being written.
    Formatting,
    /// The disk was empty.
    Repairing,
    Voter,
    /// No replica, or it doesn't know yet.
    Outside,
}

/// Where repair stands.
#[derive(Clone, Debug)]
pub(crate) struct Repair<P> {
    /// Who has answered, with which incarnation. At most one of each replica.
    pub replies: BTreeMap<Node, Incarnation>,
    /// The highest of all answers, and all who have the content. At most `KEYS`.
    pub keys: BTreeMap<String, (Held, BTreeSet<Node>)>,
    /// Contents that are there. At most one of each key.
    pub values: BTreeMap<String, (Revision, P)>,
    pub vote: Vote,
    pub sent: Micros,
}

impl<P> Repair<P> {
    /// Which revision of the key, or a later one, is still to be fetched.
    pub(crate) fn lacks(&self, key: &str) -> Option<Revision> {
        let needed = self.keys.get(key).map(|(held, _)| held.accepted)?;
        let has = self.values.get(key).map_or(Revision::default(), |(at, _)| *at);
        (has < needed).then_some(needed)
    }
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
    pub(crate) figures: Figures,
    effects: Vec<Effect<P>>,
    dirty: BTreeSet<String>,
    dirty_metadata: bool,
    pub(crate) after: Vec<After<P>>,
    /// Writes under way. At most `WRITES`.
    writes: VecDeque<(u64, Vec<After<P>>)>,
    write: u64,
    /// Whether the disk takes writes.
    room: bool,
    broken: Option<Broken>,
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl<P: State> ControlStore<P> {
    /// A control store on what was found on disk.
    pub fn new(now: Micros, start: Start, disk: Disk<P>) -> Self {
        let (phase, metadata) = match disk.metadata {
            // It was found to have gone back: as good as empty.
            Some(metadata) if metadata.replica_set.version == 0 => (Phase::Outside, metadata),
            Some(metadata) => (Phase::Voter, metadata),
            None => {
                let holds = start.fresh && start.replica_set.contains(&start.me);
                let phase = if holds { Phase::Formatting } else { Phase::Outside };
                let replica_set = ReplicaSet::first(u64::from(start.fresh), start.replica_set);
                (phase, Metadata { replica_set, ..Metadata::default() })
            }
        };
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
            repair: Repair {
                replies: BTreeMap::new(),
                keys: BTreeMap::new(),
                values: BTreeMap::new(),
                vote: Vote::default(),
                sent: now,
            },
            pulls: BTreeMap::new(),
            served: Vec::new(),
            piece: PIECE,
            keys: BTreeMap::new(),
            open: BTreeMap::new(),
            next_call: 0,
            random: mix(start.seed ^ mix(now as u64 ^ (u64::from(start.me.0) << 32))),
            calm: now,
            figures: Figures::default(),
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
        for key in start.keys {
            store.slot(now, &key);
        }
        if phase == Phase::Voter {
            for stored in disk.keys {
                store.adopt(now, stored);
            }
        }
        if phase == Phase::Formatting {
            store.dirty_metadata = true;
            store.after.push(After::Voter(store.replica_set.version));
        }
        store
    }

    /// Breaks a rule on purpose.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn break_it(&mut self, broken: Broken) {
        for slot in self.keys.values_mut().filter(|_| broken == Broken::ForgetsPromises) {
            (slot.promised, slot.seen) = Default::default();
        }
        self.broken = Some(broken);
        if broken == Broken::StartsUnread {
            for slot in self.keys.values_mut() {
                (slot.promised, slot.seen) = (Epoch::default(), Epoch::default());
                (slot.accepted, slot.value) = (Revision::default(), P::default());
            }
        }
    }

    /// Pieces of so many bytes in the place of [`PIECE`], so that small values go in several too.
    #[doc(hidden)]
    pub fn pieces_of(&mut self, bytes: usize) {
        self.piece = bytes.max(1);
    }

    /// The same for two that go on alike, but for what is drawn from here on.
    #[doc(hidden)]
    pub fn fingerprint(&self) -> u64 {
        let alike = ControlStore { figures: Figures::default(), random: 0, ..self.clone() };
        let mut hasher = std::collections::hash_map::DefaultHasher::new();
        std::hash::Hash::hash(&format!("{alike:?}"), &mut hasher);
        std::hash::Hasher::finish(&hasher)
    }

    pub(crate) fn is(&self, broken: Broken) -> bool {
        cfg!(feature = "mutants") && self.broken == Some(broken)
    }

    /// Puts what a disk or the others had in the place of what is here.
    pub(crate) fn adopt(&mut self, now: Micros, stored: Stored<P>) {
        if let Some(slot) = self.slot(now, &stored.key) {
            slot.promised = stored.promised;
            slot.accepted = stored.accepted;
            slot.value = stored.value;
            slot.recent = Recent::begin(stored.accepted);
            slot.seen = slot.seen.max(stored.promised);
        }
    }

    /// The key's place, made if there is room.
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

    /// A message came, said under this version of the replica set. One of an older version is answered with the newer replica set and
    /// does nothing else. From a node outside the replica set it is counted and dropped, but for calls that it forwards.
    pub fn receive(&mut self, now: Micros, from: Node, version: u64, message: Message<P, P::Change>) {
        if from == self.me {
            self.figures.strangers += 1;
            return;
        }
        let mine = self.replica_set.version;
        if let Message::HadKept { incarnation, keys } = message {
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
        if version > mine && !self.is(Broken::HeedsOldReplicaSet) {
            self.send(from, Message::AskReplicaSet);
            return;
        }
        if version < mine && !self.is(Broken::HeedsOldReplicaSet) {
            self.figures.older_replica_set += 1;
            self.send(from, Message::ReplicaSet { replica_set: self.replica_set.clone() });
            return;
        }
        if matches!(message, Message::AskReplicaSet) && self.voter() {
            self.send(from, Message::InForce);
            return;
        }
        let known = self.replica_set.contains(from)
            || self.is(Broken::RemovedVotes)
            || self.is(Broken::HeedsOldReplicaSet);
        if !known && !matches!(message, Message::Forward { .. }) {
            self.figures.strangers += 1;
            return;
        }
        self.heed(now, from, message);
    }

    fn heed(&mut self, now: Micros, from: Node, message: Message<P, P::Change>) {
        match message {
            Message::Verdict { id, under, forwarded } => self.on_verdict(now, from, id, under, forwarded),
            Message::Recovered { incarnation, keys, vote, incarnations } => {
                self.on_recovered(now, from, incarnation, keys, vote, incarnations);
            }
            Message::Outlived { incarnation } => self.on_outlived(now, incarnation),
            Message::Piece { key, at, offset, total, digest, bytes } => {
                self.on_piece(now, from, key, Piece { at, offset, total, digest, bytes });
            }
            Message::Forward { id, key, under, ask } => self.on_forward(now, from, id, key, under, ask),
            Message::InForce => self.on_in_force(from),
            Message::AskReplicaSet | Message::ReplicaSet { .. } | Message::HadKept { .. } => {}
            _ if self.phase != Phase::Voter => {}
            Message::Claim { key, epoch } => self.on_claim(now, from, key, epoch),
            Message::Promise { key, epoch, accepted, incarnations } => {
                self.merge(&incarnations);
                self.on_promise(now, from, key, epoch, accepted, incarnations.mine);
            }
            Message::Yield { key, epoch } => self.on_yield(now, key, epoch),
            Message::Copy { key, epoch, to, base, changes, more } => {
                self.on_copy(now, from, key, epoch, Changes { base, to, changes, more });
            }
            Message::Kept { key, epoch, seq, incarnations } => {
                self.merge(&incarnations);
                self.on_kept(now, from, key, epoch, seq, incarnations.mine);
            }
            Message::Behind { key, epoch, accepted, whole } => {
                self.on_behind(now, from, key, epoch, (!whole).then_some(accepted));
            }
            Message::Fetch { key, at, offset } => self.on_fetch(now, from, key, at, offset),
            Message::Higher { key, epoch } => self.learn(now, &key, epoch),
            Message::Resigned { key, epoch } => self.on_resigned(now, from, key, epoch),
            Message::Confirm { key, epoch, round } => self.on_confirm(now, from, key, epoch, round),
            Message::Confirmed { key, epoch, round } => self.on_confirmed(now, from, key, epoch, round),
            Message::Heartbeat { keys } => self.on_heartbeat(now, from, keys),
            Message::Recover { incarnation } => self.on_recover(from, incarnation),
            Message::Propose { epoch, gone } => self.on_propose(now, from, epoch, gone),
            Message::Proposed { epoch, accepted, incarnations } => {
                self.merge(&incarnations);
                self.on_proposed(now, from, epoch, accepted, incarnations);
            }
            Message::Accept { epoch, replica_set } => self.on_accept(now, from, epoch, replica_set),
            Message::Accepted { epoch, incarnations } => {
                self.merge(&incarnations);
                self.on_accepted(now, from, epoch, incarnations);
            }
            Message::Overruled { epoch } => self.on_overruled(epoch),
        }
    }

    /// This write and all before it are durable.
    pub fn stored(&mut self, now: Micros, write: u64) {
        while self.writes.front().is_some_and(|w| w.0 <= write) {
            if let Some((_, after)) = self.writes.pop_front() {
                for one in after {
                    self.run(now, one);
                }
            }
        }
    }

    /// Whether the disk takes writes; until told otherwise it does. Without room nothing is said that rests on a write, nothing is
    /// claimed, and what this node owns goes to others; what rests on no write goes on. Writes under way stay so.
    pub fn room(&mut self, now: Micros, room: bool) {
        if self.room == room {
            return;
        }
        self.room = room;
        if room {
            self.reroute(now);
            self.tick(now);
            return;
        }
        self.figures.no_room += 1;
        if !self.is(Broken::SaysUnwritten) {
            let all = self.writes.iter_mut().map(|(_, after)| after).chain([&mut self.after]);
            for after in all {
                let waited = after.len();
                after.retain(|one| !matches!(one, After::Send(..)));
                self.figures.unsaid += (waited - after.len()) as u64;
            }
        }
        self.resign(now);
    }

    /// Whether a link to this node stands. Until told, none does.
    pub fn reachable(&mut self, now: Micros, node: Node, up: bool) {
        let room = self.up.len() < LINKS || self.replica_set.contains(node);
        if node == self.me || !(if up { room && self.up.insert(node) } else { self.up.remove(&node) }) {
            return;
        }
        if up {
            self.gone.remove(&node);
            let asks = self.replica_set.version == 0 && self.candidates.contains(&node);
            if self.replica_set.contains(node) || asks {
                self.greet(now, node);
                self.resume_pulls(now, node);
            }
        } else {
            if self.replica_set.contains(node) {
                self.gone.insert(node, now);
            }
            self.forwards_failed(now, |to| to == node);
            self.go_on_with_claims(now);
            self.pull_from_others(now, node);
        }
        self.tick(now);
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
    pub fn wake(&self) -> Option<Micros> {
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

    /// Takes what is to be done. To be called after every other call; `stored` may make room for the next write.
    pub fn effects(&mut self) -> Vec<Effect<P>> {
        if self.unwritten() && self.writes.len() < WRITES {
            self.write += 1;
            let metadata = std::mem::take(&mut self.dirty_metadata).then(|| self.metadata());
            let keys =
                std::mem::take(&mut self.dirty).into_iter().filter_map(|key| self.stored_key(&key)).collect();
            self.effects.push(Effect::Store { write: self.write, metadata, keys });
            self.writes.push_back((self.write, std::mem::take(&mut self.after)));
        }
        std::mem::take(&mut self.effects)
    }

    /// The keys this node owns and has written anew.
    pub fn settled(&self) -> Vec<(String, Epoch, Revision)> {
        let owned = |(key, slot): (&String, &Slot<P>)| match &slot.ownership {
            Ownership::Owner(owner) => owner.committed.as_ref().map(|c| (key.clone(), owner.epoch, c.0)),
            _ => None,
        };
        self.keys.iter().filter_map(owned).collect()
    }

    /// All keys as an operator sees them.
    pub fn state(&self) -> Vec<KeyState> {
        let role = |slot: &Slot<P>| match &slot.ownership {
            _ if self.phase != Phase::Voter => Role::Repairing,
            Ownership::Replica => Role::Replica,
            Ownership::Owner(owner) if owner.committed.is_some() => Role::Owner,
            _ => Role::Claiming,
        };
        let one = |(key, slot): (&String, &Slot<P>)| KeyState {
            key: key.clone(),
            promised: slot.promised,
            accepted: slot.accepted,
            owner: (slot.seen != Epoch::default()).then_some(Node(slot.seen.owner)),
            role: role(slot),
        };
        self.keys.iter().map(one).collect()
    }

    /// Whether this node's promises and copies count: not while its metadata is being written or its disk repaired.
    pub fn voter(&self) -> bool {
        self.phase == Phase::Voter
    }

    /// Whether it may claim: it is a voter and its disk takes writes.
    pub(crate) fn able(&self) -> bool {
        self.voter() && self.room
    }

    /// Whether the disk takes writes, as far as was told.
    pub fn has_room(&self) -> bool {
        self.room
    }

    /// The counters.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The replicas this node goes by, one that is coming or leaving included.
    pub fn replica_set(&self) -> Vec<Node> {
        self.replica_set.nodes().collect()
    }

    /// Nothing that is not yet under way is written any more.
    pub(crate) fn forget_writes(&mut self) {
        self.dirty.clear();
        self.dirty_metadata = false;
    }

    pub(crate) fn current(&self, node: Node, incarnation: Incarnation) -> bool {
        node == self.me
            || self.is(Broken::CountsLostDisks)
            || incarnation >= self.incarnations.get(&node).copied().unwrap_or_default()
    }

    pub(crate) fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random)
    }

    /// The replicas that can be reached, this one included, in the order in which they would own the key: those that leave last.
    pub(crate) fn order(&self, key: &str) -> Vec<Node> {
        let name = key
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        let mut nodes: Vec<Node> =
            self.replica_set.nodes().filter(|n| *n == self.me || self.up.contains(n)).collect();
        nodes.sort_by_key(|n| (self.leavers.contains_key(n), mix(name ^ mix(u64::from(n.0))), *n));
        nodes
    }

    pub(crate) fn incarnations(&self) -> Incarnations {
        Incarnations {
            mine: self.incarnation,
            others: self.incarnations.iter().map(|(n, l)| (*n, *l)).collect(),
        }
    }

    pub(crate) fn metadata(&self) -> Metadata {
        Metadata {
            replica_set: self.replica_set.clone(),
            vote: self.vote.clone(),
            incarnation: self.incarnation,
            incarnations: self.incarnations().others,
        }
    }

    pub(crate) fn stored_key(&self, key: &str) -> Option<Stored<P>> {
        let slot = self.keys.get(key)?;
        let (promised, accepted, value) = (slot.promised, slot.accepted, slot.value.clone());
        Some(Stored { key: key.to_owned(), promised, accepted, value })
    }

    pub(crate) fn send(&mut self, to: Node, message: Message<P, P::Change>) {
        self.effects.push(Effect::Send { to, version: self.replica_set.version, message });
    }

    pub(crate) fn effect(&mut self, effect: Effect<P>) {
        self.effects.push(effect);
    }

    pub(crate) fn write_key(&mut self, key: &str) {
        self.dirty.insert(key.to_owned());
    }

    pub(crate) fn write_metadata(&mut self) {
        self.dirty_metadata = true;
    }

    fn unwritten(&self) -> bool {
        self.dirty_metadata || !self.dirty.is_empty()
    }

    /// Does it once all that was to be written until now is durable. While the disk has no room a message that would wait for that is
    /// left unsaid: who asked asks again.
    pub(crate) fn later(&mut self, now: Micros, one: After<P>) {
        let waits = self.unwritten() || !self.writes.is_empty();
        if waits && !self.room && matches!(one, After::Send(..)) {
            if self.is(Broken::SaysUnwritten) {
                return self.run(now, one);
            }
            self.figures.unsaid += 1;
        } else if self.unwritten() {
            self.after.push(one);
        } else if let Some((_, after)) = self.writes.back_mut() {
            after.push(one);
        } else {
            self.run(now, one);
        }
    }

    fn run(&mut self, now: Micros, one: After<P>) {
        match one {
            After::Send(version, ..) if version != self.replica_set.version => {}
            After::Send(_, to, message) if to == self.me => self.heed(now, to, message),
            After::Send(_, to, message) => self.send(to, message),
            After::Promised { key, epoch } => self.own_promise(now, key, epoch),
            After::Kept { key, epoch, seq } => self.on_kept(now, self.me, key, epoch, seq, self.incarnation),
            After::Voter(version) if version != self.replica_set.version => {}
            After::Voter(_) => {
                self.phase = Phase::Voter;
                self.reroute(now);
                self.tick(now);
            }
        }
    }
}
