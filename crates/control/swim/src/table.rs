//! The table of members: what is known of each, and which of two reports about one holds.
use crate::identity::{Identity, Incarnation};
use crate::limits::MAX_MESSAGES_PER_PERIOD;
use crate::replay_window::ReplayWindow;
use crate::suspicion::Suspicion;
use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Who it is.
    pub id: Identity,
    /// How new this is.
    pub incarnation: Incarnation,
    /// Drawn at the start of the process: tells two processes with one identity apart.
    pub nonce: u64,
    /// When its identity was drawn, Unix time in milliseconds.
    pub born_ms: u64,
    /// It is not where its folder last was.
    pub moved: bool,
    /// What it is called, [`crate::limits::MAX_NAME_BYTES`] bytes at most.
    pub name: String,
    /// Its zone, [`crate::limits::MAX_NAME_BYTES`] bytes at most.
    pub zone: String,
    /// Where it takes datagrams and exchanges.
    pub at: SocketAddr,
}

/// How a member is. Of two reports with one incarnation the later in this order holds (SWIM, 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers, or has just come.
    Alive,
    /// Somebody got no answer; it has time to refute.
    Suspect,
    /// It did not refute in time. A newer incarnation of it is alive all the same.
    Failed,
    /// It said itself that it leaves.
    Left,
}

impl State {
    /// Whether it counts as there.
    pub fn is_live(self) -> bool {
        self <= State::Suspect
    }

    /// As it is shown.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
        }
    }
}

/// A member as it is known here.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its record.
    pub record: MemberRecord,
    /// How it is.
    pub state: State,
    /// Since when.
    pub since: Micros,
    /// When it was last heard of by a message of its own.
    pub heard_at: Option<Micros>,
    /// Who reported its state.
    pub reported_by: Identity,
    /// While it is suspected.
    pub suspicion: Option<Suspicion>,
    /// The messages of its present process that have come.
    pub window: ReplayWindow,
    /// Since when its messages are counted, and how many have come.
    pub message_count: (Micros, u32),
}

impl Member {
    /// One more message of it has come: whether that is past [`MAX_MESSAGES_PER_PERIOD`] in a period.
    pub fn exceeds_message_limit(&mut self, now: Micros, period: Micros) -> bool {
        if now >= self.message_count.0 + period {
            self.message_count = (now, 0);
        }
        self.message_count.1 += 1;
        self.message_count.1 > MAX_MESSAGES_PER_PERIOD
    }
}

/// All members but this one.
#[derive(Debug, Default)]
pub struct Table {
    members: Vec<Member>,
    index: HashMap<Identity, usize>,
    digest: u64,
    live: usize,
    failed: usize,
    /// Positions of those that are suspect or failed: few, and looked through at each turn.
    not_alive: Vec<Identity>,
}

/// One member's part in the digest of the living.
pub fn digest_of(record: &MemberRecord) -> u64 {
    let mut x = record.id.0 ^ record.incarnation.0.rotate_left(17) ^ 0x9e37_79b9_7f4a_7c15;
    // The finaliser of splitmix64 (Steele, Lea, Flood 2014).
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Table {
    /// Everyone known.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// One by its place.
    pub fn by_index(&self, place: usize) -> Option<&Member> {
        self.members.get(place)
    }

    /// One by its identity.
    pub fn get(&self, id: Identity) -> Option<&Member> {
        self.index.get(&id).and_then(|i| self.members.get(*i))
    }

    /// One by its identity; its state is changed by [`Table::set`] alone.
    pub fn get_mut(&mut self, id: Identity) -> Option<&mut Member> {
        self.index.get(&id).and_then(|i| self.members.get_mut(*i))
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether nobody else is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// How many count as there.
    pub fn live(&self) -> usize {
        self.live
    }

    /// How many are held failed.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// The living and their incarnations in one word, the same wherever they are the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Who is suspect, failed or left.
    pub fn not_alive(&self) -> &[Identity] {
        &self.not_alive
    }

    /// Take one in.
    pub fn add(&mut self, member: Member) {
        let id = member.record.id;
        self.count(&member, true);
        self.index.insert(id, self.members.len());
        self.members.push(member);
    }

    /// Another report holds from now on. The record's identity has to be known.
    pub fn set(&mut self, record: MemberRecord, state: State, now: Micros, reported_by: Identity) {
        let Some(i) = self.index.get(&record.id).copied() else { return };
        let old = self.members[i].clone();
        self.count(&old, false);
        let member = &mut self.members[i];
        if (member.state, member.record.incarnation) != (state, record.incarnation) {
            member.reported_by = reported_by;
        }
        if member.state != state {
            member.since = now;
        }
        if state != State::Suspect {
            member.suspicion = None;
        }
        if member.record.nonce != record.nonce {
            // Another process: its messages count from the start.
            member.window = ReplayWindow::default();
        }
        (member.record, member.state) = (record, state);
        let new = member.clone();
        self.count(&new, true);
    }

    /// Forget one.
    pub fn remove(&mut self, id: Identity) {
        let Some(i) = self.index.remove(&id) else { return };
        let gone = self.members.swap_remove(i);
        self.count(&gone, false);
        if let Some(moved) = self.members.get(i) {
            self.index.insert(moved.record.id, i);
        }
    }

    fn count(&mut self, member: &Member, there: bool) {
        let id = member.record.id;
        self.not_alive.retain(|t| *t != id);
        if there && member.state != State::Alive {
            self.not_alive.push(id);
        }
        let step = |n: usize| if there { n + 1 } else { n - 1 };
        if member.state.is_live() {
            self.digest ^= digest_of(&member.record);
            self.live = step(self.live);
        }
        if member.state == State::Failed {
            self.failed = step(self.failed);
        }
    }
}
