//! Requests to a leader: proposals, linearizable reads (D 6.4), and changes of the group (D 4.1, 4.2.1); and accessors for the
//! state of its term.
use crate::config::Mutation;
use crate::log::{Entry, Group, Index, Payload, Term};
use crate::outcome::RaftError;
use crate::replica::Replica;
use crate::role::{Progress, Role};
use crate::Node;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// The maximum number of pending reads.
const MAX_PENDING_READS: usize = 1024;
/// A learner that lags by at most this many entries counts as caught up.
const MAX_LEARNER_LAG: Index = 64;

impl Replica {
    /// The current log time in milliseconds, if this node leads.
    pub fn log_now_ms(&self, now: Instant) -> Option<u64> {
        let Role::Leader(lead) = &self.role else { return None };
        if self.config.has_mutation(Mutation::LocalClock) {
            return Some((now.as_micros() / 1000) as u64);
        }
        let elapsed_ms = (now - lead.clock_base.1).as_micros().max(0) as u64 / 1000;
        Some((lead.clock_base.0 + elapsed_ms).max(self.log.last_at_ms()))
    }

    /// The log time in milliseconds when this node became leader, if it leads. Earlier log times come from the clocks of earlier
    /// leaders.
    pub fn term_began_ms(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.clock_base.0),
            _ => None,
        }
    }

    /// The progress of each follower, if this node leads.
    pub fn progress(&self) -> Option<&BTreeMap<Node, Progress>> {
        match &self.role {
            Role::Leader(lead) => Some(&lead.peers),
            _ => None,
        }
    }

    /// Whether the first entry of its term is committed: before that, a leader doesn't know which entries are (D 6.4).
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if self.commit_index >= lead.first_index)
    }

    /// Appends a command to the log. It is committed at the returned index with the returned term, or never.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<(Index, Term), RaftError> {
        self.check_leader()?;
        if self.log.last_index() - self.commit_index >= self.config.max_uncommitted as Index {
            return Err(RaftError::Full);
        }
        let entry = self.new_entry(now, Payload::Command(command));
        let term = self.hard_state.term;
        Ok((self.append(entry), term))
    }

    /// Replicates the proposals made since the last call, so that several share a message.
    pub fn flush(&mut self, now: Instant) {
        self.update_peers(now);
        self.replicate_to_all();
        self.advance_commit_index(now);
    }

    pub(crate) fn new_entry(&self, now: Instant, payload: Payload) -> Entry {
        let at_ms = self.log_now_ms(now).unwrap_or_else(|| self.log.last_at_ms());
        Entry { term: self.hard_state.term, at_ms, payload }
    }

    pub(crate) fn check_leader(&self) -> Result<(), RaftError> {
        match &self.role {
            _ if self.ended().is_some() => Err(RaftError::Ended),
            Role::Leader(lead) if lead.transfer.is_some() => Err(RaftError::NotReady),
            Role::Leader(_) => Ok(()),
            _ => Err(RaftError::NotLeader(self.leader)),
        }
    }

    /// Starts a linearizable read at the current commit index (D 6.4). [`Replica::poll_read`] returns it with this number once
    /// leadership is confirmed.
    pub fn read(&mut self) -> Result<u64, RaftError> {
        self.check_leader()?;
        let skip_confirmation = self.config.has_mutation(Mutation::StaleRead);
        if !self.has_committed_in_term() && !skip_confirmation {
            return Err(RaftError::NotReady);
        }
        let commit_index = self.commit_index;
        let Role::Leader(lead) = &mut self.role else { return Err(RaftError::Ended) };
        if lead.reads.len() >= MAX_PENDING_READS {
            return Err(RaftError::Full);
        }
        lead.last_read_number += 1;
        lead.round += 1;
        let number = lead.last_read_number;
        if skip_confirmation {
            self.completed_reads.push_back((number, Some(commit_index)));
            return Ok(number);
        }
        lead.reads.push_back((number, lead.round, commit_index));
        self.send_heartbeats();
        self.confirm_reads();
        Ok(number)
    }

    /// Completes the reads whose round a majority of the voters has confirmed.
    pub(crate) fn confirm_reads(&mut self) {
        let (me, group) = (self.me, self.group().clone());
        let Role::Leader(lead) = &mut self.role else { return };
        while let Some(&(number, round, index)) = lead.reads.front() {
            let has_confirmed =
                |v: &&Node| **v == me || lead.peers.get(v).is_some_and(|p| p.confirmed_round >= round);
            if group.voters.iter().filter(has_confirmed).count() < group.majority() {
                return;
            }
            lead.reads.pop_front();
            self.completed_reads.push_back((number, Some(index)));
        }
    }

    /// Proposes a change of the group by at most one voter, and any number of learners.
    pub fn change_group(&mut self, now: Instant, to: Group) -> Result<Index, RaftError> {
        self.check_leader()?;
        if !self.config.has_mutation(Mutation::ConcurrentChanges) {
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
        let entry = self.new_entry(now, Payload::Change(to));
        let index = self.append(entry);
        self.flush(now);
        Ok(index)
    }

    /// Whether a learner has durably caught up, as far as its responses show.
    pub fn has_caught_up(&self, node: Node) -> bool {
        let is_close = |p: &Progress| {
            p.matched + MAX_LEARNER_LAG >= self.log.last_index() && p.matched >= self.commit_index.min(p.next)
        };
        self.progress().and_then(|p| p.get(&node)).is_some_and(is_close)
    }
}
