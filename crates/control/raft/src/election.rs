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
    /// Start an election; `pre_vote`: only ask whether it would be elected. A pre-vote changes no durable state, here or elsewhere.
    pub(crate) fn campaign(&mut self, now: Instant, pre_vote: bool, transfer: bool) {
        self.reset_election_timer(now);
        // Only voters stand (D 4.2.2), and only once they know that they may promise.
        if !self.may_promise() || !self.group().is_voter(self.me) {
            return;
        }
        let term = self.hard.term + 1;
        if !pre_vote {
            self.metrics.campaigns += 1;
            self.failed_elections = (self.failed_elections + 1).min(16);
            self.reset_election_timer(now);
            self.hard.term = term;
            self.hard.vote = Some(self.me);
            self.stage_hard();
        }
        self.leader = None;
        self.role = Role::Candidate { votes: BTreeSet::from([self.me]), pre_vote };
        let ask = Message::RequestVote {
            term,
            last: self.log.last_index(),
            last_term: self.log.last_term(),
            pre_vote,
            transfer,
        };
        let others: Vec<Node> = self.group().voters.iter().filter(|v| **v != self.me).copied().collect();
        others.into_iter().for_each(|v| self.send_message(v, ask.clone(), !pre_vote));
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
        // A voter that hears its leader is not moved by others that do not (D 4.2.3); a leader hears itself.
        let hears = self.is_leader() || self.heard_at.is_some_and(|h| now < h + self.config.election_timeout);
        if hears && !transfer && term > self.hard.term {
            return;
        }
        if !pre_vote && term > self.hard.term {
            self.enter_term(now, term);
        }
        // RP 5.4.1: the candidate's log is at least as up to date: later last term, or equal and at least as long.
        let fresh = last >= (self.log.last_term(), self.log.last_index());
        let granted = if pre_vote {
            fresh && term > self.hard.term
        } else {
            // RP 5.2: one vote in a term.
            let free = self.hard.vote.is_none_or(|v| v == from);
            fresh && free && term == self.hard.term && matches!(self.role, Role::Follower)
        };
        if granted && !pre_vote {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                if !self.config.is_broken(Mutation::VoteNotPersisted) {
                    self.stage_hard();
                }
            }
            self.reset_election_timer(now);
        }
        let term = if pre_vote && granted { term } else { self.hard.term };
        let kept = !self.config.is_broken(Mutation::VoteNotPersisted);
        self.send_message(from, Message::RequestVoteResponse { term, granted, pre_vote }, !pre_vote && kept);
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
            if term > self.hard.term {
                self.enter_term(now, term);
            }
            return;
        }
        let wanted = self.hard.term + u64::from(pre_vote);
        if let Role::Candidate { votes, pre_vote: t } = &mut self.role {
            if *t == pre_vote && term == wanted {
                votes.insert(from);
                self.count_votes(now);
            }
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let Role::Candidate { votes, pre_vote } = &self.role else { return };
        let (learners, group) = (self.config.is_broken(Mutation::LearnerCounts), self.group());
        let counts = |v: &&Node| group.is_voter(**v) || learners && group.learners.contains(v);
        if votes.iter().filter(counts).count() < group.majority() {
            return;
        }
        match *pre_vote {
            true => self.campaign(now, false, false),
            false => self.become_leader(now),
        }
    }
}
