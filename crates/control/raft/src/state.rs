//! Changes of a replica's state that more than one role makes: terms, the staged write, the log, the outgoing queue, and
//! stopping a replica that would violate an invariant.
use crate::log::{Entry, HardState, Index, Snapshot, Term};
use crate::message::Message;
use crate::outcome::Ended;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use rand_core::RngCore;
use silvercross_time::{Duration, Instant};

/// The capacity of the outgoing queue, in messages. When it is full, the oldest is dropped: messages may be lost anyway.
const MAX_OUTGOING: usize = 4096;
/// After this many failed elections in a row, the election timeout stops doubling.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

impl Replica {
    pub(crate) fn stage_snapshot(&mut self, snapshot: Snapshot) {
        self.staged.entries.retain(|i, _| *i > snapshot.index);
        self.staged.snapshot = Some(snapshot);
    }

    pub(crate) fn stage_hard_state(&mut self) {
        self.staged.hard_state = Some(self.hard_state);
    }

    /// Appends an entry and stages it for the next write.
    pub(crate) fn append(&mut self, entry: Entry) -> Index {
        let index = self.log.last_index() + 1;
        self.staged.entries.insert(index, entry.clone());
        self.log.push(entry);
        index
    }

    /// Removes all entries from an index on, which conflict with a leader's log. `false`: that would remove a committed entry.
    pub(crate) fn truncate_from(&mut self, from: Index) -> bool {
        if !self.check_invariant(
            from > self.commit_index,
            "State Machine Safety, RP 5.4.3: a committed entry is never truncated",
        ) {
            return false;
        }
        self.metrics.entries_truncated += self.log.last_index() + 1 - from;
        self.log.truncate(from);
        let _ = self.staged.entries.split_off(&from);
        self.staged.truncate_from = Some(self.staged.truncate_from.map_or(from, |c| c.min(from)));
        self.durable_index = self.durable_index.min(from - 1);
        self.in_flight_writes.iter_mut().for_each(|w| w.1 = w.1.min(from - 1));
        true
    }

    /// Installs a leader's snapshot in place of the log that it covers, and of later entries unless the log matches it.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let is_in_log = self.log.term(snapshot.index) == Some(snapshot.term);
        if !is_in_log {
            // Entries after it are discarded too (RP 7).
            let _ = self.staged.entries.split_off(&(snapshot.index + 1));
            self.staged.truncate_from =
                Some(self.staged.truncate_from.map_or(snapshot.index + 1, |c| c.min(snapshot.index + 1)));
        }
        self.log.compact(snapshot.clone());
        let last = self.log.last_index();
        self.durable_index = self.durable_index.min(last);
        self.in_flight_writes.iter_mut().for_each(|w| w.1 = w.1.min(last));
        self.stage_snapshot(snapshot);
        self.restore_pending = true;
        self.metrics.snapshots_installed += 1;
    }

    /// Queues a message. With `after_writes` it is held back until everything staged so far is durable.
    pub(crate) fn send_message(&mut self, to: Node, message: Message, after_writes: bool) {
        let required_write = match (after_writes, self.staged.is_empty()) {
            (false, _) => 0,
            (true, false) => self.staged.number,
            (true, true) => self.staged.number - 1,
        };
        if self.outgoing.len() >= MAX_OUTGOING {
            self.outgoing.pop_front();
            self.metrics.messages_dropped += 1;
        }
        self.outgoing.push_back((required_write, to, message));
    }

    /// Checks an invariant, in release builds too: a replica that would violate it stops.
    pub(crate) fn check_invariant(&mut self, holds: bool, name: &'static str) -> bool {
        if !holds {
            self.end(Ended::Rule(name));
        }
        holds
    }

    pub(crate) fn end(&mut self, reason: Ended) {
        if self.ended.is_none() {
            self.ended = Some(reason);
            self.abandon_reads();
            self.role = Role::Follower;
            self.leader = None;
            self.outgoing.clear();
        }
    }

    /// Whether it has finished recovery and not stopped, so that it may vote, acknowledge entries and be a candidate.
    pub(crate) fn may_participate(&self) -> bool {
        self.recovery_answers.is_none() && self.ended.is_none()
    }

    /// Draws the next election timeout (RP 5.2). It doubles with each failed election: where syncs take longer than the timeout
    /// (RP 5.6 requires the opposite), a term has to last until its votes are durable.
    pub(crate) fn reset_election_timer(&mut self, now: Instant) {
        let minimum =
            self.config.election_timeout.as_micros() << self.failed_elections.min(MAX_TIMEOUT_DOUBLINGS);
        let spread = self.rng.next_u64() % minimum.max(1) as u64;
        self.election_at = now + Duration::from_micros(minimum) + Duration::from_micros(spread as i64);
    }

    /// Becomes a follower in a term that is not earlier than its own (RP 5.1).
    pub(crate) fn enter_term(&mut self, now: Instant, term: Term) {
        if !self.check_invariant(term >= self.hard_state.term, "RP 5.1: the term never decreases") {
            return;
        }
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.stage_hard_state();
            self.leader = None;
        }
        if !matches!(self.role, Role::Follower) {
            self.abandon_reads();
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
    }

    /// Raises the commit index, no further than the end of the log.
    pub(crate) fn commit_to(&mut self, index: Index) {
        let target = index.min(self.log.last_index());
        if target > self.commit_index {
            self.commit_index = target;
        }
    }
}
