//! The table of known members with their records, states and counters.
use crate::identity::{Identity, Incarnation};
use crate::limits::MAX_MESSAGES_PER_PERIOD;
use crate::replay_window::ReplayWindow;
use crate::suspicion::Suspicion;
use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The record that a member announces of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity of the member.
    pub id: Identity,
    /// Incarnation of the record.
    pub incarnation: Incarnation,
    /// Random number of the process, which distinguishes two processes with the same identity.
    pub nonce: u64,
    /// When the identity was generated, Unix time in milliseconds.
    pub born_ms: u64,
    /// Whether the address differs from the one last stored in the data folder.
    pub moved: bool,
    /// Name, at most [`crate::limits::MAX_NAME_BYTES`] bytes.
    pub name: String,
    /// Zone, at most [`crate::limits::MAX_NAME_BYTES`] bytes.
    pub zone: String,
    /// Address for datagrams and exchanges.
    pub at: SocketAddr,
}

/// State of a member. Of two reports with the same incarnation, the one that is later in this order overrides (SWIM, 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers probes, or has just joined.
    Alive,
    /// A probe failed; the member may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time. A newer incarnation makes it alive again.
    Failed,
    /// It announced that it leaves.
    Left,
}

impl State {
    /// Whether the member counts as live.
    pub fn is_live(self) -> bool {
        self <= State::Suspect
    }

    /// The name used in output.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "failed",
            State::Left => "left",
        }
    }
}

/// An entry of the member table.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest record of the member.
    pub record: MemberRecord,
    /// Current state.
    pub state: State,
    /// When the state last changed.
    pub since: Micros,
    /// When a message from the member itself was last received.
    pub heard_at: Option<Micros>,
    /// The member that reported the state.
    pub reported_by: Identity,
    /// The suspicion, while the state is [`State::Suspect`].
    pub suspicion: Option<Suspicion>,
    /// Replay window for messages of its current process.
    pub window: ReplayWindow,
    /// Start of the current rate-limit window and the number of messages received in it.
    pub message_count: (Micros, u32),
}

impl Member {
    /// Counts a message. Returns whether it exceeds [`MAX_MESSAGES_PER_PERIOD`].
    pub fn exceeds_message_limit(&mut self, now: Micros, period: Micros) -> bool {
        if now >= self.message_count.0 + period {
            self.message_count = (now, 0);
        }
        self.message_count.1 += 1;
        self.message_count.1 > MAX_MESSAGES_PER_PERIOD
    }
}

/// All known members except this one.
#[derive(Debug, Default)]
pub struct Table {
    members: Vec<Member>,
    index: HashMap<Identity, usize>,
    digest: u64,
    live: usize,
    failed: usize,
    /// Members that are suspect, failed or left; a short list, scanned in each tick.
    not_alive: Vec<Identity>,
}

/// Contribution of one member to the digest of live members.
pub fn digest_of(record: &MemberRecord) -> u64 {
    let mut x = record.id.0 ^ record.incarnation.0.rotate_left(17) ^ 0x9e37_79b9_7f4a_7c15;
    // The finaliser of splitmix64 (Steele, Lea, Flood 2014).
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Table {
    /// All entries.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The entry at an index; indices change when members are removed.
    pub fn by_index(&self, index: usize) -> Option<&Member> {
        self.members.get(index)
    }

    /// The entry of a member.
    pub fn get(&self, id: Identity) -> Option<&Member> {
        self.index.get(&id).and_then(|i| self.members.get(*i))
    }

    /// The entry of a member for changes. Change record and state only with [`Table::set`], which maintains the counts.
    pub fn get_mut(&mut self, id: Identity) -> Option<&mut Member> {
        self.index.get(&id).and_then(|i| self.members.get_mut(*i))
    }

    /// Number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Number of live members.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Number of failed members.
    pub fn failed(&self) -> usize {
        self.failed
    }

    /// Digest of the live members and their incarnations, independent of their order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Members that are suspect, failed or left.
    pub fn not_alive(&self) -> &[Identity] {
        &self.not_alive
    }

    /// Adds a member that is not in the table.
    pub fn add(&mut self, member: Member) {
        let id = member.record.id;
        self.count(&member, true);
        self.index.insert(id, self.members.len());
        self.members.push(member);
    }

    /// Sets record and state of a known member.
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
            // A new process numbers its messages from the start.
            member.window = ReplayWindow::default();
        }
        (member.record, member.state) = (record, state);
        let new = member.clone();
        self.count(&new, true);
    }

    /// Removes a member.
    pub fn remove(&mut self, id: Identity) {
        let Some(i) = self.index.remove(&id) else { return };
        let removed = self.members.swap_remove(i);
        self.count(&removed, false);
        if let Some(moved) = self.members.get(i) {
            self.index.insert(moved.record.id, i);
        }
    }

    fn count(&mut self, member: &Member, present: bool) {
        let id = member.record.id;
        self.not_alive.retain(|other| *other != id);
        if present && member.state != State::Alive {
            self.not_alive.push(id);
        }
        let step = |n: usize| if present { n + 1 } else { n - 1 };
        if member.state.is_live() {
            self.digest ^= digest_of(&member.record);
            self.live = step(self.live);
        }
        if member.state == State::Failed {
            self.failed = step(self.failed);
        }
    }
}
