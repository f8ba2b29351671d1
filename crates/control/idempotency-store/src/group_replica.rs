//! A process's replica of one group: the Raft replica, the state machine, and the clients that wait for entries.
use crate::command::Outcome;
use crate::machine::{SessionCommand, StateMachine};
use crate::Micros;
use serde::{Deserialize, Serialize};
use silvercross_raft::{Apply, Ended, Entry, Index, Payload, RaftError, Replica, Term};
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// Log entries after the last snapshot before the next one is taken.
pub const SNAPSHOT_INTERVAL_ENTRIES: usize = 8_192;
/// Bytes of log entries after the last snapshot before the next one is taken.
pub const SNAPSHOT_INTERVAL_BYTES: usize = 16 * 1024 * 1024;

/// A client that waits for an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Process of the client.
    pub by: u64,
    /// Session of the client.
    pub session: u64,
    /// Number of the command in the session.
    pub number: u64,
}

/// Content of a log entry: a command, with the log time at which the leader that appended it was elected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandEntry {
    /// Log time of the leader's election.
    pub office_ms: u64,
    /// The command.
    pub logged: SessionCommand,
}

/// A replica of one group.
#[derive(Clone, Debug)]
pub struct GroupReplica {
    /// The Raft replica.
    pub raft: Replica,
    /// The state machine.
    pub machine: StateMachine,
    waiting: BTreeMap<Index, (Term, Waiter)>,
    /// Reads that wait for confirmation by a majority of the voters: client and document name.
    reads: BTreeMap<u64, (Waiter, String)>,
    bytes_since_snapshot: usize,
    snapshot_every: usize,
    sessions_kept: bool,
}

impl GroupReplica {
    /// Wraps a Raft replica that has just started.
    pub fn new(raft: Replica, snapshot_every: usize) -> Self {
        let (waiting, reads) = (BTreeMap::new(), BTreeMap::new());
        GroupReplica {
            raft,
            machine: StateMachine::default(),
            waiting,
            reads,
            bytes_since_snapshot: 0,
            snapshot_every,
            sessions_kept: true,
        }
    }

    /// Injected defect: snapshots omit the outcomes of sessions.
    #[cfg(feature = "mutants")]
    pub fn forget_sessions(&mut self) {
        self.sessions_kept = false;
    }

    /// Proposes a command, if this replica is the leader, and registers the client for its outcome.
    pub fn submit(
        &mut self,
        now: Micros,
        waiter: Waiter,
        below: u64,
        command: crate::Command,
    ) -> Result<(), RaftError> {
        if let crate::Command::Get { name } = command {
            // A read is not logged: once a majority of the voters confirms that this replica still leads, the applied state is
            // the answer (Raft dissertation, 6.4).
            let read = self.raft.read()?;
            self.reads.insert(read, (waiter, name));
            return Ok(());
        }
        let office_ms = self.raft.term_began_ms().unwrap_or(0);
        let Waiter { by, session, number } = waiter;
        let content = CommandEntry {
            office_ms: office_ms.max(1),
            logged: SessionCommand { by, session, number, below, command },
        };
        let bytes = postcard::to_allocvec(&content).unwrap_or_default();
        let (index, term) = self.raft.propose(Instant::from_micros(now), bytes)?;
        self.waiting.insert(index, (term, waiter));
        Ok(())
    }

    /// Applies committed entries and takes a snapshot if due. Returns the outcomes for waiting clients.
    pub fn apply(&mut self) -> Vec<(Waiter, Outcome)> {
        let mut outcomes = Vec::new();
        while let Some(next) = self.raft.poll_apply() {
            match next {
                Apply::Restore(snapshot) => match StateMachine::restore(&snapshot.data) {
                    Some(machine) => (self.machine, self.bytes_since_snapshot) = (machine, 0),
                    // The snapshot has another version and can't be decoded: the replica ends.
                    None => self.raft.write_failed(),
                },
                Apply::Entry(index, entry) => {
                    let waiter = self.waiting.remove(&index).filter(|w| w.0 == entry.term);
                    let outcome = self.apply_entry(index, entry);
                    outcomes.extend(outcome.and_then(|o| Some((waiter?.1, o))));
                }
            }
        }
        while let Some((read, index)) = self.raft.poll_read() {
            let Some((waiter, name)) = self.reads.remove(&read).filter(|_| index.is_some()) else { continue };
            let (version, bytes) =
                self.machine.document(&name).map_or((0, None), |(v, b)| (v, Some(b.to_vec())));
            outcomes.push((waiter, Outcome::Document(version, bytes)));
        }
        if !self.raft.is_leader() {
            self.reads.clear();
            // The pending entries may or may not be committed: the clients retry with the new leader.
            self.waiting.clear();
        }
        // The cost of a snapshot grows with the state. Waiting for at least as many entries keeps the cost per entry constant.
        let (records, documents, _, bytes) = self.machine.size();
        let entries = self.snapshot_every.max(records + documents);
        if self.raft.log().len() >= entries || self.bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES.max(bytes)
        {
            self.bytes_since_snapshot = 0;
            let data = self.snapshot();
            self.raft.compact(data);
        }
        outcomes
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
        self.bytes_since_snapshot += entry.bytes();
        let Payload::Command(bytes) = entry.payload else {
            self.machine.advance_time(entry.at_ms);
            return None;
        };
        // Skipping an entry of a later version would make the states diverge: the replica ends.
        let Ok(content) = postcard::from_bytes::<CommandEntry>(&bytes) else {
            self.raft.write_failed();
            return None;
        };
        Some(self.machine.apply(index, entry.at_ms, content.office_ms, content.logged))
    }

    /// Why this replica has ended, if it has.
    pub fn ended(&self) -> Option<Ended> {
        self.raft.ended()
    }
}
