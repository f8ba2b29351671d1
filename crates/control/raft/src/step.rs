//! The inputs of a replica: time and messages, which are dispatched to [`crate::election`], [`crate::follower`] and
//! [`crate::replication`]; and recovery, by which a replica finds out after a start whether its storage is an older copy.
use crate::config::Mutation;
use crate::log::Snapshot;
use crate::message::Message;
use crate::metrics::Metrics;
use crate::outcome::Ended;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use silvercross_time::Instant;
use std::hash::Hasher;

/// At this many nodes with a tracked number of writes, those outside the group are forgotten.
const MAX_TRACKED_NODES: usize = 256;

impl Replica {
    /// Does what is due at this time. To be called at [`Replica::next_deadline`].
    pub fn tick(&mut self, now: Instant) {
        if self.ended.is_some() {
            return;
        }
        if self.recovery_answers.is_some() && now >= self.hello_at {
            self.hello_at = now + self.config.heartbeat_interval;
            self.try_finish_recovery(None);
            let others: Vec<Node> = self.group().voters.iter().filter(|v| **v != self.me).copied().collect();
            if self.recovery_answers.is_some() {
                others.into_iter().for_each(|v| self.send_message(v, Message::Hello, false));
            }
        }
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_at => self.campaign(now, true, false),
            _ => {}
        }
    }

    /// Handles a message. `writes` is how many writes its sender had made durable when it sent the message.
    pub fn handle_message(&mut self, now: Instant, from: Node, writes: u64, message: Message) {
        if self.ended.is_some() || from == self.me {
            return;
        }
        if !self.is_from_latest_storage(from, writes, &message) {
            return;
        }
        match message {
            Message::Hello => self.send_message(from, Message::HelloBack { seen: writes }, false),
            Message::HelloBack { seen } | Message::Older { seen } if seen > self.durable_writes => {
                if !self.config.has_mutation(Mutation::VotesWithOldStorage) {
                    self.end(Ended::Older { seen, held: self.durable_writes });
                }
            }
            Message::HelloBack { .. } => self.try_finish_recovery(Some(from)),
            Message::Older { .. } => {}
            // Until recovery ends, it may neither vote nor acknowledge: its storage may lack earlier votes and entries.
            _ if self.recovery_answers.is_some() => {}
            Message::RequestVote { term, last, last_term, pre_vote, transfer } => {
                self.handle_request_vote(now, from, term, (last_term, last), pre_vote, transfer)
            }
            Message::RequestVoteResponse { term, granted, pre_vote } => {
                self.handle_vote_response(now, from, term, granted, pre_vote)
            }
            Message::AppendEntries { term, prev, prev_term, entries, commit, round } => {
                self.handle_append_entries(now, from, term, (prev, prev_term), entries, commit, round)
            }
            Message::InstallSnapshot { term, index, index_term, at_ms, group, offset, data, done, round } => {
                let chunk = Snapshot { index, term: index_term, at_ms, group, data };
                self.handle_snapshot_chunk(now, from, term, chunk, offset, done, round)
            }
            Message::AppendEntriesResponse { term, matched, last, round, gone } => {
                self.handle_append_response(now, from, term, matched, last, round, gone)
            }
            Message::InstallSnapshotResponse { term, index, next, round } => {
                self.handle_chunk_response(now, from, term, index, next, round)
            }
            Message::TimeoutNow { term } => {
                if term == self.hard_state.term && self.leader == Some(from) {
                    self.campaign(now, false, true);
                }
            }
        }
    }

    /// Tracks how many writes a sender had made durable. `false`: an earlier message had more, so this one is late or from an
    /// older copy of the storage and must not be acted on. The sender is notified.
    fn is_from_latest_storage(&mut self, from: Node, writes: u64, message: &Message) -> bool {
        if self.seen_writes.len() >= MAX_TRACKED_NODES {
            // Bounds memory: nodes that left the group are not expected to send again.
            let group = self.log.group().clone();
            self.seen_writes.retain(|n, _| group.all().any(|m| m == *n));
        }
        let seen = self.seen_writes.entry(from).or_default();
        if writes < *seen && !self.config.has_mutation(Mutation::VotesWithOldStorage) {
            // The sender can tell a late message from an older copy of its storage by its own number of writes.
            let seen = *seen;
            match *message {
                Message::Hello => self.send_message(from, Message::HelloBack { seen }, false),
                // Not notified: two nodes with late messages would keep notifying each other.
                Message::Older { .. } | Message::HelloBack { .. } => {}
                _ => self.send_message(from, Message::Older { seen }, false),
            }
            return false;
        }
        *seen = writes;
        true
    }

    /// Ends recovery once a majority of the voters, counting itself, has responded: a node that saw the latest vote or
    /// acknowledgement of this replica is then likely to be among them (docs/design/records.md describes the remaining risk). A
    /// replica that is no voter doesn't wait.
    fn try_finish_recovery(&mut self, from: Option<Node>) {
        let Some(recovery_answers) = &mut self.recovery_answers else { return };
        let group = self.log.group();
        recovery_answers.extend(from.filter(|f| group.is_voter(*f)));
        let own_answer = usize::from(group.is_voter(self.me));
        if recovery_answers.len() + own_answer >= group.majority()
            || group.voters.is_empty()
            || own_answer == 0
        {
            self.recovery_answers = None;
        }
    }

    /// Starts an election now, as if the election timeout had elapsed and the pre-vote had succeeded.
    pub fn campaign_at_once(&mut self, now: Instant) {
        if !self.is_leader() && self.ended.is_none() {
            self.campaign(now, false, false);
        }
    }

    /// A hash of the state that determines its behaviour, without the random generator, the counters and the count of failed
    /// elections.
    pub fn fingerprint(&self) -> u64 {
        struct Digest(std::collections::hash_map::DefaultHasher);
        impl std::fmt::Write for Digest {
            fn write_str(&mut self, s: &str) -> std::fmt::Result {
                self.0.write(s.as_bytes());
                Ok(())
            }
        }
        let like = Replica {
            rng: Pcg32::seed_from_u64(0),
            metrics: Metrics::default(),
            failed_elections: 0,
            ..self.clone()
        };
        let mut digest = Digest(Default::default());
        let _ = std::fmt::Write::write_fmt(&mut digest, format_args!("{like:?}"));
        digest.0.finish()
    }
}
