//! What comes in: time and messages, handed to the part that answers them; and the questions after a start by which a replica
//! learns whether its folder is the latest. The answers themselves are in [`crate::election`], [`crate::follower`] and
//! [`crate::replication`].
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

/// Nodes whose number of writes is kept, besides those of the group.
const MAX_WRITE_COUNTS: usize = 256;

impl Replica {
    /// Let time pass.
    pub fn tick(&mut self, now: Instant) {
        if self.ended.is_some() {
            return;
        }
        if self.recovery_answers.is_some() && now >= self.hello_at {
            self.hello_at = now + self.config.heartbeat_interval;
            self.finish_recovery(None);
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

    /// Take a message in. `writes`: how many writes its sender had made durable when it said it.
    pub fn handle_message(&mut self, now: Instant, from: Node, writes: u64, message: Message) {
        if self.ended.is_some() || from == self.me {
            return;
        }
        if !self.is_from_latest_folder(from, writes, &message) {
            return;
        }
        match message {
            Message::Hello => self.send_message(from, Message::HelloBack { seen: writes }, false),
            Message::HelloBack { seen } | Message::Older { seen } if seen > self.done => {
                if !self.config.is_broken(Mutation::VotesWithOldStorage) {
                    self.end(Ended::Older { seen, held: self.done });
                }
            }
            Message::HelloBack { .. } => self.finish_recovery(Some(from)),
            Message::Older { .. } => {}
            // It has not heard yet that nothing is missing: it promises nothing.
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
                let part = Snapshot { index, term: index_term, at_ms, group, data };
                self.handle_snapshot_chunk(now, from, term, part, offset, done, round)
            }
            Message::AppendEntriesResponse { term, matched, last, round, gone } => {
                self.handle_append_response(now, from, term, matched, last, round, gone)
            }
            Message::InstallSnapshotResponse { term, index, next, round } => {
                self.handle_chunk_response(now, from, term, index, next, round)
            }
            Message::TimeoutNow { term } => {
                if term == self.hard.term && self.leader == Some(from) {
                    self.campaign(now, false, true);
                }
            }
        }
    }

    /// Note how many writes a sender had made durable. `false`: more were heard of before, so the message is late or from an
    /// older folder and must not be acted on; its sender is told.
    fn is_from_latest_folder(&mut self, from: Node, writes: u64, message: &Message) -> bool {
        if self.seen.len() >= MAX_WRITE_COUNTS {
            // Those that are in no group any more are never heard again but for strangers.
            let group = self.log.group().clone();
            self.seen.retain(|n, _| group.all().any(|m| m == *n));
        }
        let seen = self.seen.entry(from).or_default();
        if writes < *seen && !self.config.is_broken(Mutation::VotesWithOldStorage) {
            // Late, or from an older folder: its sender knows which.
            let seen = *seen;
            match *message {
                Message::Hello => self.send_message(from, Message::HelloBack { seen }, false),
                // Two that are both late would go on telling each other so.
                Message::Older { .. } | Message::HelloBack { .. } => {}
                _ => self.send_message(from, Message::Older { seen }, false),
            }
            return false;
        }
        *seen = writes;
        true
    }

    /// Recovery ends once most of the voters, itself among them, have answered: whoever heard a promise that mattered is likely to
    /// be there (docs/design/records.md says what is left).
    fn finish_recovery(&mut self, from: Option<Node>) {
        let Some(recovery_answers) = &mut self.recovery_answers else { return };
        let group = self.log.group();
        recovery_answers.extend(from.filter(|f| group.is_voter(*f)));
        let own = usize::from(group.is_voter(self.me));
        if recovery_answers.len() + own >= group.majority() || group.voters.is_empty() || own == 0 {
            self.recovery_answers = None;
        }
    }

    /// Start an election now, without a pre-vote: as if its timeout had passed and the pre-vote had succeeded.
    pub fn campaign_at_once(&mut self, now: Instant) {
        if !self.is_leader() && self.ended.is_none() {
            self.campaign(now, false, false);
        }
    }

    /// A digest of all that decides what it does next; equal for replicas that differ only in chance and in what they counted.
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
