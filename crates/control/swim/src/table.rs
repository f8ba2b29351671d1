//! The table of members: what is known of each, and which of two reports about one holds.
use crate::config::TALK_MOST;
use crate::identity::{Identity, Incarnation};
use crate::suspicion::Suspicion;
use crate::wire::Window;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
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
    /// What it is called, [`crate::config::NAME_MOST`] bytes at most.
    pub name: String,
    /// Its zone, [`crate::config::NAME_MOST`] bytes at most.
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
pub struct Slot {
    /// Its word of itself.
    pub card: Card,
    /// How it is.
    pub state: State,
    /// Since when.
    pub since: Micros,
    /// When it was last heard of by a message of its own.
    pub heard: Option<Micros>,
    /// Who told of its state.
    pub told_by: Identity,
    /// While it is suspected.
    pub suspicion: Option<Suspicion>,
    /// The messages of its present process that have come.
    pub window: Window,
    /// Since when its messages are counted, and how many have come.
    pub talk: (Micros, u32),
}

impl Slot {
    /// One more message of it has come: whether that is past [`TALK_MOST`] in a period.
    pub fn talks_too_much(&mut self, now: Micros, period: Micros) -> bool {
        if now >= self.talk.0 + period {
            self.talk = (now, 0);
        }
        self.talk.1 += 1;
        self.talk.1 > TALK_MOST
    }
}

/// All members but this one.
#[derive(Debug, Default)]
pub struct Table {
    slots: Vec<Slot>,
    index: HashMap<Identity, usize>,
    digest: u64,
    live: usize,
    failed: usize,
    /// Positions of those that are suspect or failed: few, and looked through at each turn.
    troubled: Vec<Identity>,
}

/// One member's part in the digest of the living.
pub fn mark(card: &Card) -> u64 {
    let mut x = card.id.0 ^ card.incarnation.0.rotate_left(17) ^ 0x9e37_79b9_7f4a_7c15;
    // The finaliser of splitmix64 (Steele, Lea, Flood 2014).
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Table {
    /// Everyone known.
    pub fn all(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    /// One by its place.
    pub fn at(&self, place: usize) -> Option<&Slot> {
        self.slots.get(place)
    }

    /// One by its identity.
    pub fn get(&self, id: Identity) -> Option<&Slot> {
        self.index.get(&id).and_then(|i| self.slots.get(*i))
    }

    /// One by its identity; its state is changed by [`Table::set`] alone.
    pub fn get_mut(&mut self, id: Identity) -> Option<&mut Slot> {
        self.index.get(&id).and_then(|i| self.slots.get_mut(*i))
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether nobody else is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
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
    pub fn troubled(&self) -> &[Identity] {
        &self.troubled
    }

    /// Take one in.
    pub fn add(&mut self, slot: Slot) {
        let id = slot.card.id;
        self.count(&slot, true);
        self.index.insert(id, self.slots.len());
        self.slots.push(slot);
    }

    /// Another report holds from now on. The card's identity has to be known.
    pub fn set(&mut self, card: Card, state: State, now: Micros, told_by: Identity) {
        let Some(i) = self.index.get(&card.id).copied() else { return };
        let old = self.slots[i].clone();
        self.count(&old, false);
        let slot = &mut self.slots[i];
        if (slot.state, slot.card.incarnation) != (state, card.incarnation) {
            slot.told_by = told_by;
        }
        if slot.state != state {
            slot.since = now;
        }
        if state != State::Suspect {
            slot.suspicion = None;
        }
        if slot.card.nonce != card.nonce {
            // Another process: its messages count from the start.
            slot.window = Window::default();
        }
        (slot.card, slot.state) = (card, state);
        let new = slot.clone();
        self.count(&new, true);
    }

    /// Forget one.
    pub fn remove(&mut self, id: Identity) {
        let Some(i) = self.index.remove(&id) else { return };
        let gone = self.slots.swap_remove(i);
        self.count(&gone, false);
        if let Some(moved) = self.slots.get(i) {
            self.index.insert(moved.card.id, i);
        }
    }

    fn count(&mut self, slot: &Slot, there: bool) {
        let id = slot.card.id;
        self.troubled.retain(|t| *t != id);
        if there && slot.state != State::Alive {
            self.troubled.push(id);
        }
        let step = |n: usize| if there { n + 1 } else { n - 1 };
        if slot.state.is_live() {
            self.digest ^= mark(&slot.card);
            self.live = step(self.live);
        }
        if slot.state == State::Failed {
            self.failed = step(self.failed);
        }
    }
}
