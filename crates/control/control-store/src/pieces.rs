//! Values that are sent whole: in pieces, of which the receiver asks for the next. What it has it keeps when a link breaks, and
//! it takes nothing that is not whole and of one revision.

use crate::message::Message;
use crate::mutation::Mutation;
use crate::recent::Recent;
use crate::state::{After, Phase};
use crate::store::ControlStore;
use crate::{Epoch, Micros, Node, Revision, State};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Bytes of a piece: a message that waits behind the pieces under way waits no longer than these take on the thinnest link.
pub const SNAPSHOT_CHUNK_BYTES: usize = 32 * 1024;
/// Pieces asked for and not yet there, of one value.
const WINDOW: usize = 2;
/// Values that are received at a time; a further one begins when one is done.
const PULLS: usize = 2;
/// Bytes of a value at most; a larger one is not received.
const LONGEST: u64 = 64 << 20;
/// Values that are sent from at a time. The one asked for the longest ago goes first.
const SERVED: usize = 8;
/// What nobody asked for during this is not kept to be sent from.
const UNASKED: Micros = 5_000_000;
/// A piece that has not come within this is asked for again. A broken link doesn't wait for it.
const ASK_AGAIN: Micros = 1_000_000;
/// The first piece is asked for again, of another if one has it, after this: who was asked may stand still.
const ASK_ANOTHER: Micros = 400_000;
/// What was received of a value is given up after this long without a piece.
const STALE: Micros = 60_000_000;

/// Of a value as it is encoded.
pub type Digest = (u64, u64);

fn digest(bytes: &[u8]) -> Digest {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish128().as_u64()
}

/// A piece, as it comes. `offset` and `total` are bytes of the encoding; `digest` is of all of it.
pub(crate) struct Piece {
    pub at: Revision,
    pub offset: u64,
    pub total: u64,
    pub digest: Digest,
    pub bytes: Vec<u8>,
}

/// A value that is received.
#[derive(Clone, Debug)]
pub(crate) struct Pull {
    /// Who sends it.
    from: Node,
    pub at: Revision,
    /// Its length and digest, known with the first piece.
    whole: Option<(u64, Digest)>,
    /// What is there, from the start without a gap.
    bytes: Vec<u8>,
    /// What came before its turn. At most `WINDOW`.
    ahead: BTreeMap<u64, Vec<u8>>,
    /// How long a piece is.
    step: u64,
    /// Asked for, up to here.
    asked: u64,
    sent: Micros,
    heard: Micros,
}

impl Pull {
    fn new(now: Micros, from: Node, at: Revision) -> Pull {
        Pull {
            from,
            at,
            whole: None,
            bytes: Vec::new(),
            ahead: BTreeMap::new(),
            step: 0,
            asked: 0,
            sent: now,
            heard: now,
        }
    }

    /// Takes a piece in; `false` if it is of something else.
    fn add(&mut self, now: Micros, from: Node, piece: Piece) -> bool {
        let whole = (piece.total, piece.digest);
        let begins = piece.offset == 0
            && match self.whole {
                None => piece.at >= self.at,
                Some(known) => piece.at > self.at || (piece.at == self.at && known != whole),
            };
        if begins {
            *self = Pull::new(now, from, piece.at);
            self.whole = Some(whole);
            self.step = piece.bytes.len() as u64;
        } else if piece.at != self.at || self.whole != Some(whole) {
            return false;
        }
        (self.from, self.sent, self.heard) = (from, now, now);
        if piece.offset > self.bytes.len() as u64 && self.ahead.len() < WINDOW {
            self.ahead.insert(piece.offset, piece.bytes);
        } else if piece.offset == self.bytes.len() as u64 {
            self.bytes.extend_from_slice(&piece.bytes);
        }
        while let Some(next) = self.ahead.remove(&(self.bytes.len() as u64)) {
            self.bytes.extend_from_slice(&next);
        }
        self.asked = self.asked.max(self.bytes.len() as u64);
        true
    }

    /// When what was asked for is asked for again.
    fn due(&self) -> Micros {
        self.sent + if self.whole.is_none() { ASK_ANOTHER } else { ASK_AGAIN }
    }

    fn complete(&self) -> bool {
        self.whole.is_some_and(|(total, _)| self.bytes.len() as u64 >= total)
    }

    /// The next to ask for, if there is room.
    fn next(&mut self) -> Option<u64> {
        let Some((total, _)) = self.whole else { return (self.asked == 0).then_some(0) };
        let under_way = self.asked.saturating_sub(self.bytes.len() as u64);
        if self.asked >= total || self.step == 0 || under_way >= WINDOW as u64 * self.step {
            return None;
        }
        let offset = self.asked;
        self.asked += self.step;
        Some(offset)
    }
}

/// A value that is sent, as it was encoded: it stays the same while the key goes on changing.
#[derive(Clone, Debug)]
pub(crate) struct Served {
    key: String,
    at: Revision,
    bytes: Vec<u8>,
    digest: Digest,
    used: Micros,
}

impl<P: State> ControlStore<P> {
    /// The first piece of a value for one who has only `has`: of one that is being sent already if changes lead on from it, else, and
    /// if it isn't known what that one has, of the last.
    pub(crate) fn send_first_piece(&mut self, now: Micros, to: Node, key: &str, has: Option<Revision>) {
        let Some(slot) = self.keys.get(key) else { return };
        let known =
            |s: &&Served| s.key == key && has.is_some_and(|has| s.at > has) && slot.recent.reaches(s.at);
        let at = self.served.iter().filter(known).map(|s| s.at).max().unwrap_or(slot.accepted);
        self.figures.wholes_sent += 1;
        self.serve(now, to, key, at, 0);
    }

    fn serve(&mut self, now: Micros, to: Node, key: &str, at: Revision, offset: u64) {
        let place = self.served.iter().position(|s| s.key == key && s.at == at);
        let place = match place {
            Some(place) => place,
            None => {
                let Some(slot) = self.keys.get(key).filter(|slot| slot.accepted == at) else { return };
                let bytes = bitcode::encode(&slot.value);
                let served = Served { key: key.to_owned(), at, digest: digest(&bytes), bytes, used: now };
                self.forget_served(now);
                if self.served.len() >= SERVED {
                    let oldest = self.served.iter().enumerate().min_by_key(|(_, s)| s.used);
                    if let Some((oldest, _)) = oldest {
                        self.served.swap_remove(oldest);
                    }
                }
                self.served.push(served);
                self.served.len() - 1
            }
        };
        let piece = self.piece;
        let served = &mut self.served[place];
        served.used = now;
        let from = usize::try_from(offset).unwrap_or(usize::MAX).min(served.bytes.len());
        let bytes = served.bytes[from..(from + piece).min(served.bytes.len())].to_vec();
        let (total, digest) = (served.bytes.len() as u64, served.digest);
        let message = Message::SnapshotChunk { key: key.to_owned(), at, offset, total, digest, bytes };
        self.figures.pieces_sent += 1;
        self.send(to, message);
    }

    pub(crate) fn forget_served(&mut self, now: Micros) {
        self.served.retain(|s| now < s.used + UNASKED);
    }

    /// Sends what was asked for; if that is gone, the first piece of what stands here now, if it is later.
    pub(crate) fn on_fetch(&mut self, now: Micros, from: Node, key: String, at: Revision, offset: u64) {
        let Some(accepted) = self.keys.get(&key).map(|slot| slot.accepted) else { return };
        if accepted == at || self.served.iter().any(|s| s.key == key && s.at == at) {
            self.serve(now, from, &key, at, offset);
        } else if accepted > at {
            self.figures.wholes_sent += 1;
            self.serve(now, from, &key, accepted, 0);
        }
    }

    /// Whether this revision of the key would be of use.
    fn wants(&self, key: &str, at: Revision) -> bool {
        match self.phase {
            Phase::Voter => self
                .keys
                .get(key)
                .is_some_and(|s| at > s.accepted || self.is(Mutation::InstallsOlderSnapshots)),
            Phase::Repairing => self.repair.lacks(key).is_some_and(|still_needed| at >= still_needed),
            _ => false,
        }
    }

    pub(crate) fn on_piece(&mut self, now: Micros, from: Node, key: String, piece: Piece) {
        if !self.wants(&key, piece.at) || piece.total > LONGEST || piece.bytes.len() as u64 > piece.total {
            return;
        }
        if !self.pulls.contains_key(&key) {
            if piece.offset != 0 || self.pulls.len() >= PULLS {
                return;
            }
            self.pulls.insert(key.clone(), Pull::new(now, from, piece.at));
        }
        let mixes = self.is(Mutation::MixesSnapshotRevisions);
        let Some(pull) = self.pulls.get_mut(&key) else { return };
        if mixes && piece.offset > 0 {
            pull.at = piece.at;
            pull.whole = Some((piece.total, piece.digest));
        }
        if !pull.add(now, from, piece) {
            return;
        }
        if !pull.complete() {
            self.pull(&key);
            return;
        }
        let Some(pull) = self.pulls.remove(&key) else { return };
        let right = mixes || pull.whole.is_some_and(|(_, known)| known == digest(&pull.bytes));
        match bitcode::decode(&pull.bytes) {
            Ok(value) if right => self.take_snapshot(now, key, pull.at, value),
            // Torn: it comes again as if nothing of it had come.
            _ => self.figures.torn += 1,
        }
    }

    /// Asks for what may be asked for of a value that is received.
    fn pull(&mut self, key: &str) {
        let Some(pull) = self.pulls.get_mut(key) else { return };
        let (to, at) = (pull.from, pull.at);
        let mut offsets = Vec::new();
        while let Some(offset) = pull.next() {
            offsets.push(offset);
            if pull.whole.is_none() {
                pull.asked = 1;
            }
        }
        for offset in offsets {
            self.send(to, Message::SnapshotRequest { key: key.to_owned(), at, offset });
        }
    }

    /// Begins to receive this revision or a later one, if there is room.
    pub(crate) fn begin_pull(&mut self, now: Micros, from: Node, key: &str, at: Revision) {
        if self.pulls.len() < PULLS && !self.pulls.contains_key(key) {
            self.pulls.insert(key.to_owned(), Pull::new(now, from, at));
            self.pull(key);
        }
    }

    /// Goes on where it was, with this one.
    fn resume(&mut self, now: Micros, from: Node, key: &str) {
        let Some(pull) = self.pulls.get_mut(key) else { return };
        pull.ahead.clear();
        (pull.from, pull.sent, pull.asked) = (from, now, pull.bytes.len() as u64);
        self.pull(key);
    }

    /// A link came up: what was received over it goes on, and what would have been over one that is down. A value that is there in
    /// part is left to who sends it: another would rather have a later one, and begin anew.
    pub(crate) fn resume_pulls(&mut self, now: Micros, with: Node) {
        let held = |pull: &Pull| pull.from == with || (pull.whole.is_none() && !self.up.contains(&pull.from));
        let keys: Vec<String> = self.pulls.iter().filter(|(_, p)| held(p)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.resume(now, with, &key);
        }
    }

    /// A link ended: a value of which nothing has come over it is asked of another that has it, if one is known.
    pub(crate) fn pull_from_others(&mut self, now: Micros, gone: Node) {
        let waits = |pull: &Pull| pull.from == gone && pull.whole.is_none();
        let keys: Vec<String> =
            self.pulls.iter().filter(|(_, p)| waits(p)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            let has = self.repair.keys.get(&key).map(|(_, who)| who);
            if let Some(to) = has.into_iter().flatten().find(|n| self.up.contains(n)).copied() {
                self.resume(now, to, &key);
            }
        }
    }

    pub(crate) fn pulls_due(&self) -> Option<Micros> {
        self.pulls.values().map(Pull::due).min()
    }

    /// Asks again for what has not come: the owner, who sent it last, or anybody.
    pub(crate) fn tick_pulls(&mut self, now: Micros) {
        let due: Vec<(String, Node)> =
            self.pulls.iter().filter(|(_, p)| now >= p.due()).map(|(k, p)| (k.clone(), p.from)).collect();
        for (key, from) in due {
            let wanted =
                self.pulls.get(&key).is_some_and(|p| now < p.heard + STALE && self.wants(&key, p.at));
            if !wanted {
                self.pulls.remove(&key);
                continue;
            }
            let owner = self.keys.get(&key).map(|slot| Node(slot.seen.owner));
            let others = self.others();
            let has = self.repair.keys.get(&key).into_iter().flat_map(|(_, who)| who);
            let another = has.copied().find(|n| *n != from && others.contains(n));
            let one = |node: Option<Node>| node.filter(|n| others.contains(n));
            let any = (self.draw() % others.len().max(1) as u64) as usize;
            match another.or(one(owner)).or(one(Some(from))).or(others.get(any).copied()) {
                Some(to) => self.resume(now, to, &key),
                None => {
                    if let Some(pull) = self.pulls.get_mut(&key) {
                        pull.sent = now;
                    }
                }
            }
        }
    }

    /// A value is there whole. It is what its revision's owner wrote, so it may stand here in the place of an older one even if
    /// a higher epoch was promised meanwhile; but then nobody is told that it was kept.
    fn take_snapshot(&mut self, now: Micros, key: String, at: Revision, value: P) {
        if self.phase == Phase::Repairing {
            self.repair.values.insert(key, (at, value));
            return self.go_on_with_repair(now);
        }
        self.learn(now, &key, at.epoch);
        let Some(slot) = self.keys.get_mut(&key) else { return };
        let stands = at.epoch >= slot.promised;
        slot.promised = slot.promised.max(at.epoch);
        slot.accepted = at;
        slot.value = value;
        slot.recent = Recent::begin(at);
        self.write_key(&key);
        self.reads_go_on(now, &key);
        let owner = Node(at.epoch.owner);
        if stands && owner != self.me {
            let incarnations = self.incarnations();
            let kept =
                Message::Appended { key: key.clone(), epoch: at.epoch, sequence: at.sequence, incarnations };
            self.later(now, After::Send(self.replica_set.version, owner, kept));
        }
        let Some(seen) = self.keys.get(&key).map(|slot| slot.seen) else { return };
        self.ask_for_more(&key, seen);
    }

    /// Asks the owner for what came since.
    pub(crate) fn ask_for_more(&mut self, key: &str, epoch: Epoch) {
        let owner = Node(epoch.owner);
        let Some(accepted) = self.keys.get(key).map(|slot| slot.accepted) else { return };
        if owner != self.me && self.up.contains(&owner) && !self.pulls.contains_key(key) {
            self.send(owner, Message::Behind { key: key.to_owned(), epoch, accepted, whole: false });
        }
    }
}
