//! The log in memory: the latest snapshot, the entries after it, and the group in force at each index.
use crate::Node;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A term (RP 5.1): at most one leader is elected in each. 0 before the first term.
pub type Term = u64;
/// A log index. The first entry has index 1; 0 is before it.
pub type Index = u64;

/// The configuration of a Raft group: the servers that replicate its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The voters, sorted.
    pub voters: Vec<Node>,
    /// The learners, sorted: they receive entries but have no vote (D 4.2.1).
    pub learners: Vec<Node>,
}

impl Group {
    /// A group of these voters, without learners.
    pub fn of(mut voters: Vec<Node>) -> Self {
        voters.sort();
        voters.dedup();
        Group { voters, learners: Vec::new() }
    }

    /// Whether a node is a voter.
    pub fn is_voter(&self, node: Node) -> bool {
        self.voters.contains(&node)
    }

    /// All voters and learners.
    pub fn all(&self) -> impl Iterator<Item = Node> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a change from this group to `to` adds or removes at most one voter and leaves at least one: any majorities of the
    /// two groups then have a voter in common (D 4.1).
    pub fn is_single_server_change(&self, to: &Group) -> bool {
        let removed = self.voters.iter().filter(|v| !to.is_voter(**v)).count();
        let added = to.voters.iter().filter(|v| !self.is_voter(**v)).count();
        removed + added <= 1 && !to.voters.is_empty()
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: the first entry of a leader's term (D 6.4).
    Nothing,
    /// A new configuration, in force from this entry on (D 4.1).
    Change(Group),
    /// A command for the state machine.
    Command(Vec<u8>),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created it.
    pub term: Term,
    /// The log time in milliseconds. It advances by the leader's monotonic clock and stands still while there is no leader. It
    /// never decreases and, apart from clock drift, never exceeds the time that has really passed.
    pub at_ms: u64,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// Its approximate encoded size, in bytes.
    pub fn bytes(&self) -> usize {
        32 + match &self.payload {
            Payload::Nothing => 0,
            Payload::Change(g) => 10 * g.all().count(),
            Payload::Command(c) => c.len(),
        }
    }
}

/// The persistent state besides the log (RP 5.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that received this replica's vote in that term.
    pub vote: Option<Node>,
}

/// The state of the state machine after all entries up to an index (RP 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The log time of that entry, in milliseconds.
    pub at_ms: u64,
    /// The group in force at that entry.
    pub group: Group,
    /// The state, as encoded by the state machine.
    pub data: Vec<u8>,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<Entry>,
    /// The group changes after the snapshot.
    groups: Vec<(Index, Group)>,
}

impl Log {
    /// A log from its persisted parts.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Log { snapshot, ..Log::default() };
        entries.into_iter().for_each(|e| log.push(e));
        log
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// The log time of the last entry, in milliseconds.
    pub fn last_at_ms(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.at_ms, |e| e.at_ms)
    }

    /// The entry at an index after the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.snapshot.index + 1)? as usize)
    }

    /// The term of the entry at an index; `None` if the entry was compacted or doesn't exist yet.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The group in force: that of the latest change in the log, whether committed or not (D 4.1).
    pub fn group(&self) -> &Group {
        self.groups.last().map_or(&self.snapshot.group, |g| &g.1)
    }

    /// The group in force at an index.
    pub(crate) fn group_at(&self, index: Index) -> &Group {
        self.groups.iter().rev().find(|g| g.0 <= index).map_or(&self.snapshot.group, |g| &g.1)
    }

    /// The index of the latest group change after the snapshot; 0 if there is none.
    pub(crate) fn last_change_index(&self) -> Index {
        self.groups.last().map_or(0, |g| g.0)
    }

    /// The index of the entry, or else of the snapshot, that defines the group in force.
    pub fn group_index(&self) -> Index {
        self.groups.last().map_or(self.snapshot.index, |g| g.0)
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Change(group) = &entry.payload {
            self.groups.push((self.last_index() + 1, group.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub(crate) fn truncate(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
        self.groups.retain(|g| g.0 < from);
    }

    /// Replaces all entries up to the snapshot by it. Later entries stay if the log matches the snapshot at its index (RP 7).
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

    /// The number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    /// An entry without content.
    pub(crate) fn no_op(term: Term, at_ms: u64) -> Self {
        Entry { term, at_ms, payload: Payload::Nothing }
    }
}
