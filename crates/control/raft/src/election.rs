//! Elections: campaigns, with a pre-vote first (D 9.6), and votes (RP 5.2, 5.4.1).
use crate::config::Mutation;
use crate::log::{Index, Term};
use crate::message::Message;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use silvercross_time::Instant;
use std::collections::BTreeSet;

impl Replica {
    /// Starts an election, or with `pre_vote` only asks whether it would be elected. A pre-vote changes no persistent state on any
    /// replica.
    pub(crate) fn campaign(&mut self, now: Instant, pre_vote: bool, transfer: bool) {
        self.reset_election_timer(now);
        // Only voters become candidates (D 4.2.2), and only after recovery.
        if !self.may_participate() || !self.group().is_voter(self.me) {
            return;
        }
        let term = self.hard_state.term + 1;
        if !pre_vote {
            self.metrics.campaigns += 1;
            self.failed_elections = (self.failed_elections + 1).min(16);
            self.reset_election_timer(now);
            self.hard_state.term = term;
            self.hard_state.vote = Some(self.me);
            self.stage_hard_state();
        }
        self.leader = None;
        self.role = Role::Candidate { votes: BTreeSet::from([self.me]), pre_vote };
        let request = Message::RequestVote {
            term,
            last: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
            transfer,
        };
        let others: Vec<Node> = self.group().voters.iter().filter(|v| **v != self.me).copied().collect();
        others.into_iter().for_each(|v| self.send_message(v, request.clone(), !pre_vote));
        self.count_votes(now);
    }

    pub(crate) fn handle_request_vote(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        last: (Term, Index),
        pre_vote: bool,
        transfer: bool,
    ) {
        // A voter that hears from a leader ignores candidates that don't (D 4.2.3); a leader counts as hearing from itself.
        let has_leader = self.is_leader()
            || self.heard_at.is_some_and(|heard_at| now < heard_at + self.config.election_timeout);
        if has_leader && !transfer && term > self.hard_state.term {
            return;
        }
        if !pre_vote && term > self.hard_state.term {
            self.enter_term(now, term);
        }
        // RP 5.4.1: the candidate's log is at least as up to date: its last term is later, or equal and the log at least as long.
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let granted = if pre_vote {
            up_to_date && term > self.hard_state.term
        } else {
            // RP 5.2: one vote per term.
            let vote_available = self.hard_state.vote.is_none_or(|v| v == from);
            up_to_date
                && vote_available
                && term == self.hard_state.term
                && matches!(self.role, Role::Follower)
        };
        if granted && !pre_vote {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(from);
                if !self.config.has_mutation(Mutation::VoteNotPersisted) {
                    self.stage_hard_state();
                }
            }
            self.reset_election_timer(now);
        }
        let term = if pre_vote && granted { term } else { self.hard_state.term };
        let persisted = !self.config.has_mutation(Mutation::VoteNotPersisted);
        self.send_message(
            from,
            Message::RequestVoteResponse { term, granted, pre_vote },
            !pre_vote && persisted,
        );
    }

    pub(crate) fn handle_vote_response(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        granted: bool,
        pre_vote: bool,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.enter_term(now, term);
            }
            return;
        }
        let expected_term = self.hard_state.term + u64::from(pre_vote);
        if let Role::Candidate { votes, pre_vote: is_pre_vote } = &mut self.role {
            if *is_pre_vote == pre_vote && term == expected_term {
                votes.insert(from);
                self.count_votes(now);
            }
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let Role::Candidate { votes, pre_vote } = &self.role else { return };
        let (count_learners, group) = (self.config.has_mutation(Mutation::LearnerCounts), self.group());
        let is_counted = |v: &&Node| group.is_voter(**v) || count_learners && group.learners.contains(v);
        if votes.iter().filter(is_counted).count() < group.majority() {
            return;
        }
        match *pre_vote {
            true => self.campaign(now, false, false),
            false => self.become_leader(now),
        }
    }
}
