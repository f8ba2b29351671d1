//! The log as it is held in memory: a snapshot's place, the entries behind it, and the group that each part of it names.
use crate::Node;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A term (RP 5.1): at most one leader is elected in each; 0: none yet.
pub type Term = u64;
/// An entry's place, from 1; 0: before the first.
pub type Index = u64;

/// Who holds copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Whose word counts, in order.
    pub voters: Vec<Node>,
    /// Who gets copies and does not count (D 4.2.1), in order.
    pub learners: Vec<Node>,
}

impl Group {
    /// With these voters alone.
    pub fn of(mut voters: Vec<Node>) -> Self {
        voters.sort();
        voters.dedup();
        Group { voters, learners: Vec::new() }
    }

    /// Whether a node's word counts.
    pub fn is_voter(&self, node: Node) -> bool {
        self.voters.contains(&node)
    }

    /// Everybody who gets copies.
    pub fn all(&self) -> impl Iterator<Item = Node> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// How many voters are most of them.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a group differs from this one by one voter at most: any majorities of the two then share a voter (D 4.1).
    pub fn is_single_server_change(&self, to: &Group) -> bool {
        let gone = self.voters.iter().filter(|v| !to.is_voter(**v)).count();
        let new = to.voters.iter().filter(|v| !self.is_voter(**v)).count();
        gone + new <= 1 && !to.voters.is_empty()
    }
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a leader's first entry (D 6.4).
    Nothing,
    /// Who holds copies from here on (D 4.1).
    Change(Group),
    /// For the state machine.
    Command(Vec<u8>),
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader who made it.
    pub term: Term,
    /// The log's time, in milliseconds: it goes on by a leader's monotonic clock while one leads, and stands still between two;
    /// it never goes back, and is not later than the time that has truly passed but for the drift of clocks.
    pub at_ms: u64,
    /// What it says.
    pub payload: Payload,
}

impl Entry {
    /// Its length in a message, about.
    pub fn bytes(&self) -> usize {
        32 + match &self.payload {
            Payload::Nothing => 0,
            Payload::Change(g) => 10 * g.all().count(),
            Payload::Command(c) => c.len(),
        }
    }
}

/// What is kept besides the log (RP 5.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term heard of.
    pub term: Term,
    /// Whom it voted for in it.
    pub vote: Option<Node>,
}

/// All entries up to a place, as the state that they made (RP 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// Its time.
    pub at_ms: u64,
    /// The group at it.
    pub group: Group,
    /// The state machine's own coding.
    pub data: Vec<u8>,
}

/// The entries behind a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// Where the group changes, behind the snapshot.
    groups: Vec<(Index, Group)>,
}

impl Log {
    /// As it was kept.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Log { snapshot, ..Log::default() };
        entries.into_iter().for_each(|e| log.push(e));
        log
    }

    /// The last entry's place.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// The time of the last entry.
    pub fn last_at_ms(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.at_ms, |e| e.at_ms)
    }

    /// The entry at a place behind the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.snapshot.index + 1)? as usize)
    }

    /// The term at a place; `None`: it is not known here any more, or not yet.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The group in force: that of the latest change in the log, committed or not (D 4.1).
    pub fn group(&self) -> &Group {
        self.groups.last().map_or(&self.snapshot.group, |g| &g.1)
    }

    /// The group at a place.
    pub(crate) fn group_at(&self, index: Index) -> &Group {
        self.groups.iter().rev().find(|g| g.0 <= index).map_or(&self.snapshot.group, |g| &g.1)
    }

    /// The place of the latest change; 0: in the snapshot.
    pub(crate) fn changed_at(&self) -> Index {
        self.groups.last().map_or(0, |g| g.0)
    }

    /// The place of the latest change that is known, or of the snapshot that names the group.
    pub fn group_index(&self) -> Index {
        self.groups.last().map_or(self.snapshot.index, |g| g.0)
    }

    /// Add one.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Change(group) = &entry.payload {
            self.groups.push((self.last_index() + 1, group.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drop all from a place on.
    pub(crate) fn truncate(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
        self.groups.retain(|g| g.0 < from);
    }

    /// Everything up to the snapshot is now in it; what is behind stays if it follows on from it (RP 7).
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.drain(..(snapshot.index - self.snapshot.index) as usize);
            self.groups.retain(|g| g.0 > snapshot.index);
        } else {
            self.entries.clear();
            self.groups.clear();
        }
        self.snapshot = snapshot;
    }

    /// How many entries are behind the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    /// Without content, of a term.
    pub(crate) fn nothing(term: Term, at_ms: u64) -> Self {
        Entry { term, at_ms, payload: Payload::Nothing }
    }
}
