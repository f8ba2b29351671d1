//! The state machine: equal logs make equal states, whatever the machine, the order of arrival or the clock. Time is the log's
//! own. Records end with their window at the first entry behind it; sessions when they have not been used for long.
use crate::command::{Command, Outcome, StoredResponse, TakeOutcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Records at a time.
pub const MAX_RECORDS: usize = 100_000;
/// Documents and drains at a time, each.
pub const MAX_DOCUMENTS: usize = 10_000;
/// Bytes of keys, answers and documents, together.
pub const MAX_STATE_BYTES: usize = 64 * 1024 * 1024;
/// Sessions at a time; the one that was used longest ago gives way.
pub const MAX_SESSIONS: usize = 4_096;
/// Outcomes that one session keeps for repeats.
pub const MAX_SESSION_OUTCOMES: usize = 1_024;
/// A session that was not used for so long is over, in milliseconds of the log's time.
pub const SESSION_TIMEOUT_MS: u64 = 600_000;
/// The version of the snapshot's coding.
pub const SNAPSHOT_VERSION: u8 = 1;

/// What is known of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Taken { at_ms: u64, over: bool },
    Held(StoredResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    by: u64,
    until_ms: u64,
    state: State,
}

impl Record {
    fn bytes(&self) -> usize {
        match &self.state {
            State::Held(r) => 64 + r.lines.len() + r.body.as_ref().map_or(0, Vec::len),
            State::Taken { .. } => 64,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    by: u64,
    used_ms: u64,
    /// Numbers below it are answered and forgotten.
    below: u64,
    outcomes: BTreeMap<u64, Outcome>,
}

/// What a session keeps of a take that found an answer.
const FOUND: Outcome = Outcome::Take(TakeOutcome::Busy { by: 0, passed_ms: None, over: true });

/// One log's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    now_ms: u64,
    records: BTreeMap<String, Record>,
    ends: BTreeSet<(u64, String)>,
    documents: BTreeMap<String, (u64, Vec<u8>)>,
    drains: BTreeMap<String, u64>,
    /// The version of the last change of them.
    drained: u64,
    /// Counts changes of documents and drains: a version is never given twice.
    version: u64,
    sessions: BTreeMap<u64, Session>,
    /// When sessions were last looked through.
    swept_ms: u64,
    bytes: usize,
}

/// A command as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCommand {
    /// Which process asks.
    pub by: u64,
    /// Its session; 0: to open one.
    pub session: u64,
    /// Its number in the session.
    pub number: u64,
    /// It has the outcomes of all numbers below this one.
    pub below: u64,
    /// What it asks.
    pub command: Command,
}

impl StateMachine {
    /// Apply one entry, at the log's time; `office_ms`: the log's time when the leader took office that made the entry.
    pub fn apply(&mut self, index: u64, at_ms: u64, office_ms: u64, logged: SessionCommand) -> Outcome {
        self.advance_time(at_ms);
        let SessionCommand { by, session, number, below, command } = logged;
        if command == Command::Open {
            if self.sessions.len() >= MAX_SESSIONS {
                let oldest = self.sessions.iter().map(|(id, s)| (s.used_ms, *id)).min();
                oldest.into_iter().for_each(|(_, id)| drop(self.sessions.remove(&id)));
            }
            self.sessions.insert(index, Session { by, used_ms: at_ms, ..Session::default() });
            return Outcome::Session(index);
        }
        let Some(s) =
            self.sessions.get_mut(&session).filter(|s| s.by == by && s.used_ms + SESSION_TIMEOUT_MS > at_ms)
        else {
            return Outcome::NoSession;
        };
        s.used_ms = at_ms;
        if below > s.below {
            s.below = below;
            s.outcomes = s.outcomes.split_off(&below);
        }
        if let Some(known) = s.outcomes.get(&number).cloned() {
            let held = match (&command, known == FOUND) {
                (Command::Take { key, .. }, true) => self.records.get(key),
                _ => None,
            };
            return match held {
                Some(Record { state: State::Held(r), .. }) => Outcome::Take(TakeOutcome::Held(r.clone())),
                _ => known,
            };
        }
        if number < s.below || s.outcomes.len() >= MAX_SESSION_OUTCOMES {
            return Outcome::NoSession;
        }
        let outcome = if command.validate().is_ok() {
            self.carry_out(at_ms, office_ms, by, command)
        } else {
            Outcome::Bad
        };
        // A repeat of a take that found something never takes: the first one may have been told, and nobody would know of it. An
        // answer is not kept twice: a repeat finds it where it is held, or is told that the key was not free.
        let kept = match &outcome {
            Outcome::Take(TakeOutcome::Held(_)) => Some(FOUND),
            Outcome::Document(..) => None,
            other => Some(other.clone()),
        };
        if let (Some(s), Some(kept)) = (self.sessions.get_mut(&session), kept) {
            s.outcomes.insert(number, kept);
        }
        outcome
    }

    /// Time has come so far: what has ended is gone.
    pub fn advance_time(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        while let Some((until, key)) = self.ends.first().filter(|e| e.0 <= self.now_ms).cloned() {
            self.ends.remove(&(until, key.clone()));
            self.forget(&key);
        }
        // Looked through seldom: one that is over is not used any more whether or not it is still here.
        if self.now_ms >= self.swept_ms + SESSION_TIMEOUT_MS / 10 {
            let now_ms = self.now_ms;
            self.sessions.retain(|_, s| s.used_ms + SESSION_TIMEOUT_MS > now_ms);
            self.swept_ms = now_ms;
        }
    }

    fn forget(&mut self, key: &str) {
        if let Some(r) = self.records.remove(key) {
            self.ends.remove(&(r.until_ms, key.to_string()));
            self.bytes -= key.len() + r.bytes();
        }
    }

    fn keep(&mut self, key: String, record: Record) {
        self.forget(&key);
        self.bytes += key.len() + record.bytes();
        self.ends.insert((record.until_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn carry_out(&mut self, at_ms: u64, office_ms: u64, by: u64, command: Command) -> Outcome {
        let room = |more: usize| self.bytes + more <= MAX_STATE_BYTES;
        match command {
            Command::Open => Outcome::Bad,
            Command::Take { key, window_ms } => match self.records.get(&key) {
                Some(Record { state: State::Held(r), .. }) => Outcome::Take(TakeOutcome::Held(r.clone())),
                Some(Record { by, state: State::Taken { at_ms: then, over }, .. }) => {
                    // Between two leaders the log's time stands still: what an earlier one noted may be older than it seems.
                    let passed_ms = (*then > office_ms).then(|| at_ms - then);
                    Outcome::Take(TakeOutcome::Busy { by: *by, passed_ms, over: *over })
                }
                None if self.records.len() >= MAX_RECORDS || !room(key.len() + 64) => Outcome::Full,
                None => {
                    let state = State::Taken { at_ms, over: false };
                    self.keep(key, Record { by, until_ms: at_ms + window_ms, state });
                    Outcome::Take(TakeOutcome::Yours)
                }
            },
            Command::Hold { key, window_ms, answer } => match self.records.get(&key) {
                Some(r) if r.by == by && matches!(r.state, State::Taken { .. }) => {
                    let record = Record { by, until_ms: at_ms + window_ms, state: State::Held(answer) };
                    if !room(record.bytes()) {
                        return Outcome::Full;
                    }
                    self.keep(key, record);
                    Outcome::Done(0)
                }
                _ => Outcome::NotYours,
            },
            Command::Give { key, may_have_run } => match self.records.get_mut(&key) {
                Some(r) if r.by == by => match &mut r.state {
                    State::Taken { over, .. } if may_have_run => {
                        *over = true;
                        Outcome::Done(0)
                    }
                    State::Taken { .. } => {
                        self.forget(&key);
                        Outcome::Done(0)
                    }
                    State::Held(_) => Outcome::NotYours,
                },
                _ => Outcome::NotYours,
            },
            Command::Drain { name, on: true } => {
                if !self.drains.contains_key(&name)
                    && (self.drains.len() >= MAX_DOCUMENTS || !room(name.len() + 64))
                {
                    return Outcome::Full;
                }
                self.version += 1;
                self.drained = self.version;
                if self.drains.insert(name.clone(), self.version).is_none() {
                    self.bytes += name.len() + 64;
                }
                Outcome::Done(self.version)
            }
            Command::Drain { name, on: false } => {
                if self.drains.remove(&name).is_some() {
                    self.version += 1;
                    self.drained = self.version;
                    self.bytes -= name.len() + 64;
                }
                Outcome::Done(self.version)
            }
            Command::Put { name, expect, bytes } => {
                let held = self.documents.get(&name).map_or(0, |d| d.0);
                let size = |b: &Vec<u8>| name.len() + 64 + b.len();
                let old = self.documents.get(&name).map_or(0, |d| size(&d.1));
                let new = bytes.as_ref().map_or(0, size);
                if expect.is_some_and(|e| e != held) {
                    return Outcome::Other(held);
                }
                if new > old
                    && (self.bytes - old + new > MAX_STATE_BYTES
                        || held == 0 && self.documents.len() >= MAX_DOCUMENTS)
                {
                    return Outcome::Full;
                }
                self.bytes = self.bytes - old + new;
                self.version += 1;
                let version = self.version;
                match bytes {
                    Some(bytes) => drop(self.documents.insert(name, (version, bytes))),
                    None => drop(self.documents.remove(&name)),
                }
                Outcome::Done(version)
            }
            Command::Get { name } => match self.documents.get(&name) {
                Some((version, bytes)) => Outcome::Document(*version, Some(bytes.clone())),
                None => Outcome::Document(0, None),
            },
        }
    }

    /// A document: its version and content.
    pub fn document(&self, name: &str) -> Option<(u64, &[u8])> {
        self.documents.get(name).map(|(v, b)| (*v, b.as_slice()))
    }

    /// Upstreams that drain by an operator's order, and the version of the last change of them.
    pub fn drains(&self) -> (u64, impl Iterator<Item = &str>) {
        (self.drained, self.drains.keys().map(String::as_str))
    }

    /// How many records, documents and sessions, and how many bytes.
    pub fn size(&self) -> (usize, usize, usize, usize) {
        (self.records.len(), self.documents.len(), self.sessions.len(), self.bytes)
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        // Coding into a growing vector has nothing to fail on.
        postcard::to_extend(self, vec![SNAPSHOT_VERSION]).unwrap_or_default()
    }

    /// From such bytes; `None`: they are no snapshot of this version.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        match bytes {
            [] => Some(StateMachine::default()),
            [SNAPSHOT_VERSION, rest @ ..] => postcard::from_bytes(rest).ok(),
            _ => None,
        }
    }

    /// A snapshot without its sessions: broken on purpose.
    #[cfg(feature = "mutants")]
    pub fn snapshot_without_sessions(&self) -> Vec<u8> {
        let without = StateMachine { sessions: BTreeMap::new(), ..self.clone() };
        // As a machine that never cared for sessions: each number is taken as new.
        let mut without = without;
        for (id, s) in &self.sessions {
            without.sessions.insert(*id, Session { outcomes: BTreeMap::new(), below: 0, ..s.clone() });
        }
        without.snapshot()
    }
}
