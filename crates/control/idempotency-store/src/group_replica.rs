//! A process's copy of one group: the replica, the state its log makes, and who waits for which entry.
use crate::command::Outcome;
use crate::machine::{SessionCommand, StateMachine};
use crate::Micros;
use serde::{Deserialize, Serialize};
use silvercross_raft::{Apply, Ended, Entry, Index, Payload, RaftError, Replica, Term};
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// Entries behind the last snapshot before the next one is made.
pub const SNAPSHOT_INTERVAL_ENTRIES: usize = 8_192;
/// Bytes of entries behind it, likewise.
pub const SNAPSHOT_INTERVAL_BYTES: usize = 16 * 1024 * 1024;

/// Who waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Which process.
    pub by: u64,
    /// Its session.
    pub session: u64,
    /// Its number.
    pub number: u64,
}

/// An entry's command, with when the leader that made it took office, by the log's time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandEntry {
    /// When the leader took office.
    pub office_ms: u64,
    /// What is to be done.
    pub logged: SessionCommand,
}

/// One copy of one group.
#[derive(Clone, Debug)]
pub struct GroupReplica {
    /// The log.
    pub raft: Replica,
    /// The state it made.
    pub machine: StateMachine,
    waiting: BTreeMap<Index, (Term, Waiter)>,
    /// Reads that wait for the word of most voters: who asked, and for which document.
    reads: BTreeMap<u64, (Waiter, String)>,
    bytes: usize,
    snapshot_every: usize,
    sessions_kept: bool,
}

impl GroupReplica {
    /// Round a replica, as it starts.
    pub fn new(raft: Replica, snapshot_every: usize) -> Self {
        let (waiting, reads) = (BTreeMap::new(), BTreeMap::new());
        GroupReplica {
            raft,
            machine: StateMachine::default(),
            waiting,
            reads,
            bytes: 0,
            snapshot_every,
            sessions_kept: true,
        }
    }

    /// Snapshots forget the sessions: broken on purpose.
    #[cfg(feature = "mutants")]
    pub fn forget_sessions(&mut self) {
        self.sessions_kept = false;
    }

    /// Put a command into the log, if this copy leads; it waits for its entry.
    pub fn submit(
        &mut self,
        now: Micros,
        waiter: Waiter,
        below: u64,
        command: crate::Command,
    ) -> Result<(), RaftError> {
        if let crate::Command::Get { name } = command {
            // Nothing of it is written: most voters say that this one still leads, and then what it has applied is the answer (D 6.4).
            let read = self.raft.read()?;
            self.reads.insert(read, (waiter, name));
            return Ok(());
        }
        let office_ms = self.raft.term_began_ms().unwrap_or(0);
        let Waiter { by, session, number } = waiter;
        let line = CommandEntry {
            office_ms: office_ms.max(1),
            logged: SessionCommand { by, session, number, below, command },
        };
        let bytes = postcard::to_allocvec(&line).unwrap_or_default();
        let (index, term) = self.raft.propose(Instant::from_micros(now), bytes)?;
        self.waiting.insert(index, (term, waiter));
        Ok(())
    }

    /// Apply what is committed; who is told what.
    pub fn apply(&mut self) -> Vec<(Waiter, Outcome)> {
        let mut told = Vec::new();
        while let Some(next) = self.raft.poll_apply() {
            match next {
                Apply::Restore(snapshot) => match StateMachine::restore(&snapshot.data) {
                    Some(machine) => (self.machine, self.bytes) = (machine, 0),
                    // Another version's state: what it says can't be known here, so this copy ends.
                    None => self.raft.write_failed(),
                },
                Apply::Entry(index, entry) => {
                    let waiter = self.waiting.remove(&index).filter(|w| w.0 == entry.term);
                    let outcome = self.apply_entry(index, entry);
                    told.extend(outcome.and_then(|o| Some((waiter?.1, o))));
                }
            }
        }
        while let Some((read, place)) = self.raft.poll_read() {
            let Some((waiter, name)) = self.reads.remove(&read).filter(|_| place.is_some()) else { continue };
            let (version, bytes) =
                self.machine.document(&name).map_or((0, None), |(v, b)| (v, Some(b.to_vec())));
            told.push((waiter, Outcome::Document(version, bytes)));
        }
        if !self.raft.is_leader() {
            self.reads.clear();
            // Their entries may still be committed or not: whoever waits asks again elsewhere.
            self.waiting.clear();
        }
        // A snapshot costs as much as the state is large: it waits for as many entries, so that each one's part stays the same.
        let (records, documents, _, bytes) = self.machine.size();
        let entries = self.snapshot_every.max(records + documents);
        if self.raft.log().len() >= entries || self.bytes >= SNAPSHOT_INTERVAL_BYTES.max(bytes) {
            self.bytes = 0;
            let data = self.snapshot();
            self.raft.compact(data);
        }
        told
    }

    fn snapshot(&self) -> Vec<u8> {
        #[cfg(feature = "mutants")]
        if !self.sessions_kept {
            return self.machine.snapshot_without_sessions();
        }
        let _ = self.sessions_kept;
        self.machine.snapshot()
    }

    fn apply_entry(&mut self, index: Index, entry: Entry) -> Option<Outcome> {
        self.bytes += entry.bytes();
        let Payload::Command(bytes) = entry.payload else {
            self.machine.advance_time(entry.at_ms);
            return None;
        };
        // A line that a later version wrote and this one can't read would make the states differ: this copy ends.
        let Ok(line) = postcard::from_bytes::<CommandEntry>(&bytes) else {
            self.raft.write_failed();
            return None;
        };
        Some(self.machine.apply(index, entry.at_ms, line.office_ms, line.logged))
    }

    /// Why this copy does nothing any more.
    pub fn ended(&self) -> Option<Ended> {
        self.raft.ended()
    }
}
