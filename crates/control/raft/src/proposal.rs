//! What is asked of a leader: proposals, linearizable reads (D 6.4) and changes of the group (D 4.1, 4.2.1), and what can be
//! known of its term.
use crate::config::Mutation;
use crate::log::{Entry, Group, Index, Payload, Term};
use crate::outcome::RaftError;
use crate::replica::Replica;
use crate::role::{Progress, Role};
use crate::Node;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// Reads that wait, at most.
const MAX_PENDING_READS: usize = 1024;
/// A learner that is no further behind than this has caught up, in entries.
const MAX_LEARNER_LAG: Index = 64;

impl Replica {
    /// The log's time now, in milliseconds, if this node leads.
    pub fn log_now_ms(&self, now: Instant) -> Option<u64> {
        let Role::Leader(lead) = &self.role else { return None };
        if self.config.is_broken(Mutation::LocalClock) {
            return Some((now.as_micros() / 1000) as u64);
        }
        let passed = (now - lead.clock.1).as_micros().max(0) as u64 / 1000;
        Some((lead.clock.0 + passed).max(self.log.last_at_ms()))
    }

    /// The log's time when this node became leader, if it leads: earlier times were taken from another leader's clock.
    pub fn term_began_ms(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.clock.0),
            _ => None,
        }
    }

    /// How far each follower is, if this node leads.
    pub fn progress(&self) -> Option<&BTreeMap<Node, Progress>> {
        match &self.role {
            Role::Leader(lead) => Some(&lead.peers),
            _ => None,
        }
    }

    /// Whether its first entry is committed: before that it does not know what is (D 6.4).
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if self.commit >= lead.first)
    }

    /// Put a command into the log; the place and term at which it is committed, or never.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<(Index, Term), RaftError> {
        self.check_leader()?;
        if self.log.last_index() - self.commit >= self.config.max_uncommitted as Index {
            return Err(RaftError::Full);
        }
        let entry = self.entry(now, Payload::Command(command));
        let term = self.hard.term;
        Ok((self.add(entry), term))
    }

    /// Send what was proposed. Several proposals go out together.
    pub fn flush(&mut self, now: Instant) {
        self.update_peers(now);
        self.send_all();
        self.advance(now);
    }

    pub(crate) fn entry(&self, now: Instant, payload: Payload) -> Entry {
        let at_ms = self.log_now_ms(now).unwrap_or_else(|| self.log.last_at_ms());
        Entry { term: self.hard.term, at_ms, payload }
    }

    pub(crate) fn check_leader(&self) -> Result<(), RaftError> {
        match &self.role {
            _ if self.ended().is_some() => Err(RaftError::Ended),
            Role::Leader(lead) if lead.transfer.is_some() => Err(RaftError::NotReady),
            Role::Leader(_) => Ok(()),
            _ => Err(RaftError::NotLeader(self.leader)),
        }
    }

    /// Ask whether this node still leads, and what had been committed by now (D 6.4): answered by [`Replica::poll_read`].
    pub fn read(&mut self) -> Result<u64, RaftError> {
        self.check_leader()?;
        let stale = self.config.is_broken(Mutation::StaleRead);
        if !self.has_committed_in_term() && !stale {
            return Err(RaftError::NotReady);
        }
        let commit = self.commit;
        let Role::Leader(lead) = &mut self.role else { return Err(RaftError::Ended) };
        if lead.reads.len() >= MAX_PENDING_READS {
            return Err(RaftError::Full);
        }
        lead.next_read += 1;
        lead.round += 1;
        let number = lead.next_read;
        if stale {
            self.answered.push_back((number, Some(commit)));
            return Ok(number);
        }
        lead.reads.push_back((number, lead.round, commit));
        self.send_heartbeats();
        self.count_reads();
        Ok(number)
    }

    pub(crate) fn count_reads(&mut self) {
        let (me, group) = (self.me, self.group().clone());
        let Role::Leader(lead) = &mut self.role else { return };
        while let Some(&(number, round, index)) = lead.reads.front() {
            let says = |v: &&Node| **v == me || lead.peers.get(v).is_some_and(|p| p.round >= round);
            if group.voters.iter().filter(says).count() < group.majority() {
                return;
            }
            lead.reads.pop_front();
            self.answered.push_back((number, Some(index)));
        }
    }

    /// Change who holds copies, by one voter or by learners.
    pub fn change_group(&mut self, now: Instant, to: Group) -> Result<Index, RaftError> {
        self.check_leader()?;
        if !self.config.is_broken(Mutation::ConcurrentChanges) {
            // D 4.1, and the correction of 2015: not before an entry of this leader's own term is committed.
            if !self.has_committed_in_term() {
                return Err(RaftError::NotReady);
            }
            if self.is_changing() {
                return Err(RaftError::ChangeInProgress);
            }
        }
        if !self.group().is_single_server_change(&to) {
            return Err(RaftError::NotSingleServerChange);
        }
        let entry = self.entry(now, Payload::Change(to));
        let at = self.add(entry);
        self.flush(now);
        Ok(at)
    }

    /// Whether a learner has caught up: as near as its messages show, and durably.
    pub fn has_caught_up(&self, node: Node) -> bool {
        let near = |p: &Progress| {
            p.matched + MAX_LEARNER_LAG >= self.log.last_index() && p.matched >= self.commit.min(p.next)
        };
        self.progress().and_then(|p| p.get(&node)).is_some_and(near)
    }
}
