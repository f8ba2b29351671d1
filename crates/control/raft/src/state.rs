//! Changes of a replica's state that more than one role makes: terms, the staged write, the log, the queue of messages, and
//! the end of a replica that would break a rule.
use crate::log::{Entry, HardState, Index, Snapshot, Term};
use crate::message::Message;
use crate::outcome::Ended;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use rand_core::RngCore;
use silvercross_time::{Duration, Instant};

/// Messages that wait for their writes or to be fetched, at most; what is more is lost, as messages may be.
const MAX_OUTGOING: usize = 4096;
/// Failed elections that still double the timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

impl Replica {
    pub(crate) fn stage_snapshot(&mut self, snapshot: Snapshot) {
        self.staged.entries.retain(|i, _| *i > snapshot.index);
        self.staged.snapshot = Some(snapshot);
    }

    pub(crate) fn stage_hard(&mut self) {
        self.staged.hard_state = Some(self.hard);
    }

    /// Add an entry behind the last.
    pub(crate) fn add(&mut self, entry: Entry) -> Index {
        let at = self.log.last_index() + 1;
        self.staged.entries.insert(at, entry.clone());
        self.log.push(entry);
        at
    }

    /// Drop all entries from a place on, for a leader's.
    pub(crate) fn truncate_from(&mut self, from: Index) -> bool {
        if !self
            .rule(from > self.commit, "State Machine Safety, RP 5.4.3: a committed entry is never dropped")
        {
            return false;
        }
        self.metrics.entries_truncated += self.log.last_index() + 1 - from;
        self.log.truncate(from);
        let _ = self.staged.entries.split_off(&from);
        self.staged.truncate_from = Some(self.staged.truncate_from.map_or(from, |c| c.min(from)));
        self.durable = self.durable.min(from - 1);
        self.writing.iter_mut().for_each(|w| w.1 = w.1.min(from - 1));
        true
    }

    /// Everything before a snapshot that is taken over is forgotten.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) {
        let follows = self.log.term(snapshot.index) == Some(snapshot.term);
        if !follows {
            // Nothing behind it stays.
            let _ = self.staged.entries.split_off(&(snapshot.index + 1));
            self.staged.truncate_from =
                Some(self.staged.truncate_from.map_or(snapshot.index + 1, |c| c.min(snapshot.index + 1)));
        }
        self.log.compact(snapshot.clone());
        let last = self.log.last_index();
        self.durable = self.durable.min(last);
        self.writing.iter_mut().for_each(|w| w.1 = w.1.min(last));
        self.stage_snapshot(snapshot);
        self.restore = true;
        self.metrics.snapshots_installed += 1;
    }

    /// Say something. `rests`: on all that is staged, so that it waits for the write.
    pub(crate) fn send_message(&mut self, to: Node, message: Message, rests: bool) {
        let needs = match (rests, self.staged.is_empty()) {
            (false, _) => 0,
            (true, false) => self.staged.number,
            (true, true) => self.staged.number - 1,
        };
        if self.out.len() >= MAX_OUTGOING {
            self.out.pop_front();
            self.metrics.messages_dropped += 1;
        }
        self.out.push_back((needs, to, message));
    }

    /// What must hold, in release builds too: a replica that would break it ends.
    pub(crate) fn rule(&mut self, holds: bool, name: &'static str) -> bool {
        if !holds {
            self.end(Ended::Rule(name));
        }
        holds
    }

    pub(crate) fn end(&mut self, why: Ended) {
        if self.ended.is_none() {
            self.ended = Some(why);
            self.abandon_reads();
            self.role = Role::Follower;
            self.leader = None;
            self.out.clear();
        }
    }

    /// Whether it may vote, acknowledge and stand.
    pub(crate) fn may_promise(&self) -> bool {
        self.recovery_answers.is_none() && self.ended.is_none()
    }

    /// The next time to stand, drawn anew (RP 5.2); later and later while elections are in vain: where syncs take longer than
    /// the timeout (RP 5.6 asks for the opposite), a term has to last until the votes are durable.
    pub(crate) fn reset_election_timer(&mut self, now: Instant) {
        let shortest =
            self.config.election_timeout.as_micros() << self.failed_elections.min(MAX_TIMEOUT_DOUBLINGS);
        let spread = self.rng.next_u64() % shortest.max(1) as u64;
        self.election_at = now + Duration::from_micros(shortest) + Duration::from_micros(spread as i64);
    }

    /// A later term: it follows in it (RP 5.1).
    pub(crate) fn enter_term(&mut self, now: Instant, term: Term) {
        if !self.rule(term >= self.hard.term, "RP 5.1: terms never go back") {
            return;
        }
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.stage_hard();
            self.leader = None;
        }
        if !matches!(self.role, Role::Follower) {
            self.abandon_reads();
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        let most = index.min(self.log.last_index());
        if most > self.commit {
            self.commit = most;
        }
    }
}
