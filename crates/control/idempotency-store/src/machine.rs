//! The state machine of a group. It is deterministic: equal logs produce equal states. Time is taken from the log. A record
//! expires with the first entry after its window, a session when it has not been used for a while.
use crate::command::{Command, Outcome, StoredResponse, TakeOutcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of key records.
pub const MAX_RECORDS: usize = 100_000;
/// Maximum number of documents, and of drains.
pub const MAX_DOCUMENTS: usize = 10_000;
/// Maximum size of keys, responses, documents and drains together, in bytes.
pub const MAX_STATE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum number of sessions; the least recently used one is evicted.
pub const MAX_SESSIONS: usize = 4_096;
/// Maximum number of outcomes that a session keeps for retries.
pub const MAX_SESSION_OUTCOMES: usize = 1_024;
/// Idle time after which a session expires, in milliseconds of log time.
pub const SESSION_TIMEOUT_MS: u64 = 600_000;
/// Version of the snapshot encoding.
pub const SNAPSHOT_VERSION: u8 = 1;

/// State of a keyed request.
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
    /// The client has the outcomes of all numbers below this one; they are dropped.
    below: u64,
    outcomes: BTreeMap<u64, Outcome>,
}

/// What a session keeps in place of the outcome of a take that found a stored response.
const RESPONSE_FOUND: Outcome = Outcome::Take(TakeOutcome::Busy { by: 0, passed_ms: None, over: true });

/// The state of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    now_ms: u64,
    records: BTreeMap<String, Record>,
    ends: BTreeSet<(u64, String)>,
    documents: BTreeMap<String, (u64, Vec<u8>)>,
    drains: BTreeMap<String, u64>,
    /// Version of the last change of `drains`.
    drained: u64,
    /// Counts changes of documents and drains, so that a version is never reused.
    version: u64,
    sessions: BTreeMap<u64, Session>,
    /// When expired sessions were last removed.
    swept_ms: u64,
    bytes: usize,
}

/// A command with its client and its number in the client's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCommand {
    /// Process of the client.
    pub by: u64,
    /// Session of the client; 0 to open one.
    pub session: u64,
    /// Number of the command in the session.
    pub number: u64,
    /// The client has the outcomes of all numbers below this one.
    pub below: u64,
    /// The command.
    pub command: Command,
}

impl StateMachine {
    /// Applies one entry at log time `at_ms`; `office_ms` is the log time at which the leader that appended it was elected.
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
            let held = match (&command, known == RESPONSE_FOUND) {
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
            self.execute(at_ms, office_ms, by, command)
        } else {
            Outcome::Bad
        };
        // A retried take that was refused must not claim the key: its client may already have acted on the refusal, and the claim
        // would have no owner. A stored response is not copied into the session: a retry finds it in the key's record, or is told
        // that the key was not free.
        let kept = match &outcome {
            Outcome::Take(TakeOutcome::Held(_)) => Some(RESPONSE_FOUND),
            Outcome::Document(..) => None,
            other => Some(other.clone()),
        };
        if let (Some(s), Some(kept)) = (self.sessions.get_mut(&session), kept) {
            s.outcomes.insert(number, kept);
        }
        outcome
    }

    /// Advances log time and removes expired records and sessions.
    pub fn advance_time(&mut self, at_ms: u64) {
        self.now_ms = self.now_ms.max(at_ms);
        while let Some((until, key)) = self.ends.first().filter(|e| e.0 <= self.now_ms).cloned() {
            self.ends.remove(&(until, key.clone()));
            self.remove_record(&key);
        }
        // A periodic sweep is enough, since expired sessions are refused also before their removal.
        if self.now_ms >= self.swept_ms + SESSION_TIMEOUT_MS / 10 {
            let now_ms = self.now_ms;
            self.sessions.retain(|_, s| s.used_ms + SESSION_TIMEOUT_MS > now_ms);
            self.swept_ms = now_ms;
        }
    }

    fn remove_record(&mut self, key: &str) {
        if let Some(r) = self.records.remove(key) {
            self.ends.remove(&(r.until_ms, key.to_string()));
            self.bytes -= key.len() + r.bytes();
        }
    }

    fn insert_record(&mut self, key: String, record: Record) {
        self.remove_record(&key);
        self.bytes += key.len() + record.bytes();
        self.ends.insert((record.until_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn execute(&mut self, at_ms: u64, office_ms: u64, by: u64, command: Command) -> Outcome {
        let has_room = |more: usize| self.bytes + more <= MAX_STATE_BYTES;
        match command {
            Command::Open => Outcome::Bad,
            Command::Take { key, window_ms } => match self.records.get(&key) {
                Some(Record { state: State::Held(r), .. }) => Outcome::Take(TakeOutcome::Held(r.clone())),
                Some(Record { by, state: State::Taken { at_ms: then, over }, .. }) => {
                    // Log time stands still between two leaders, so the age of a claim logged by an earlier leader is unknown.
                    let passed_ms = (*then > office_ms).then(|| at_ms - then);
                    Outcome::Take(TakeOutcome::Busy { by: *by, passed_ms, over: *over })
                }
                None if self.records.len() >= MAX_RECORDS || !has_room(key.len() + 64) => Outcome::Full,
                None => {
                    let state = State::Taken { at_ms, over: false };
                    self.insert_record(key, Record { by, until_ms: at_ms + window_ms, state });
                    Outcome::Take(TakeOutcome::Yours)
                }
            },
            Command::Hold { key, window_ms, answer } => match self.records.get(&key) {
                Some(r) if r.by == by && matches!(r.state, State::Taken { .. }) => {
                    let record = Record { by, until_ms: at_ms + window_ms, state: State::Held(answer) };
                    if !has_room(record.bytes()) {
                        return Outcome::Full;
                    }
                    self.insert_record(key, record);
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
                        self.remove_record(&key);
                        Outcome::Done(0)
                    }
                    State::Held(_) => Outcome::NotYours,
                },
                _ => Outcome::NotYours,
            },
            Command::Drain { name, on: true } => {
                if !self.drains.contains_key(&name)
                    && (self.drains.len() >= MAX_DOCUMENTS || !has_room(name.len() + 64))
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

    /// Version and content of a document.
    pub fn document(&self, name: &str) -> Option<(u64, &[u8])> {
        self.documents.get(name).map(|(v, b)| (*v, b.as_slice()))
    }

    /// Version of the last change of the operators' drains, and the draining upstreams.
    pub fn drains(&self) -> (u64, impl Iterator<Item = &str>) {
        (self.drained, self.drains.keys().map(String::as_str))
    }

    /// Number of records, documents and sessions, and size in bytes.
    pub fn size(&self) -> (usize, usize, usize, usize) {
        (self.records.len(), self.documents.len(), self.sessions.len(), self.bytes)
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        // Encoding into a growing vector can't fail.
        postcard::to_extend(self, vec![SNAPSHOT_VERSION]).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if it is not of this version. Empty bytes are the initial state.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        match bytes {
            [] => Some(StateMachine::default()),
            [SNAPSHOT_VERSION, rest @ ..] => postcard::from_bytes(rest).ok(),
            _ => None,
        }
    }

    /// Injected defect: a snapshot without the outcomes of sessions.
    #[cfg(feature = "mutants")]
    pub fn snapshot_without_sessions(&self) -> Vec<u8> {
        let without = StateMachine { sessions: BTreeMap::new(), ..self.clone() };
        // The sessions themselves stay, so that each retried number is taken as new.
        let mut without = without;
        for (id, s) in &self.sessions {
            without.sessions.insert(*id, Session { outcomes: BTreeMap::new(), below: 0, ..s.clone() });
        }
        without.snapshot()
    }
}
