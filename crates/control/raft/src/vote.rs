//! Elections: standing, with a trial first (D 9.6), and giving votes (RP 5.2, 5.4.1).
use crate::config::Mutant;
use crate::log::{Index, Term};
use crate::message::Message;
use crate::replica::{Replica, Role};
use crate::{Micros, Node};
use std::collections::BTreeSet;

impl Replica {
    /// Stand for election; `trial`: ask first whether it would be elected. Nothing changes by a trial, here or elsewhere.
    pub(crate) fn stand(&mut self, now: Micros, trial: bool, transfer: bool) {
        self.put_off(now);
        // Only voters stand (D 4.2.2), and only once they know that they may promise.
        if !self.may_promise() || !self.group().is_voter(self.me) {
            return;
        }
        let term = self.hard.term + 1;
        if !trial {
            self.figures.stood += 1;
            self.vain = (self.vain + 1).min(16);
            self.put_off(now);
            self.hard.term = term;
            self.hard.vote = Some(self.me);
            self.stage_hard();
        }
        self.leader = None;
        self.role = Role::Candidate { votes: BTreeSet::from([self.me]), trial };
        let ask = Message::AskVote {
            term,
            last: self.log.last(),
            last_term: self.log.last_term(),
            trial,
            transfer,
        };
        let others: Vec<Node> = self.group().voters.iter().filter(|v| **v != self.me).copied().collect();
        others.into_iter().for_each(|v| self.say(v, ask.clone(), !trial));
        self.count_votes(now);
    }

    pub(crate) fn asked_for_vote(
        &mut self,
        now: Micros,
        from: Node,
        term: Term,
        last: (Term, Index),
        trial: bool,
        transfer: bool,
    ) {
        // A voter that hears its leader is not moved by others that do not (D 4.2.3); a leader hears itself.
        let hears = self.is_leader() || self.heard.is_some_and(|h| now < h + self.config.election);
        if hears && !transfer && term > self.hard.term {
            return;
        }
        if !trial && term > self.hard.term {
            self.enter(now, term);
        }
        // RP 5.4.1: the candidate's log is at least as up to date: later last term, or equal and at least as long.
        let fresh = last >= (self.log.last_term(), self.log.last());
        let granted = if trial {
            fresh && term > self.hard.term
        } else {
            // RP 5.2: one vote in a term.
            let free = self.hard.vote.is_none_or(|v| v == from);
            fresh && free && term == self.hard.term && matches!(self.role, Role::Follower)
        };
        if granted && !trial {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                if !self.config.is_broken(Mutant::VoteNotKept) {
                    self.stage_hard();
                }
            }
            self.put_off(now);
        }
        let term = if trial && granted { term } else { self.hard.term };
        let kept = !self.config.is_broken(Mutant::VoteNotKept);
        self.say(from, Message::Vote { term, granted, trial }, !trial && kept);
    }

    pub(crate) fn got_vote(&mut self, now: Micros, from: Node, term: Term, granted: bool, trial: bool) {
        if !granted {
            if term > self.hard.term {
                self.enter(now, term);
            }
            return;
        }
        let wanted = self.hard.term + u64::from(trial);
        if let Role::Candidate { votes, trial: t } = &mut self.role {
            if *t == trial && term == wanted {
                votes.insert(from);
                self.count_votes(now);
            }
        }
    }

    fn count_votes(&mut self, now: Micros) {
        let Role::Candidate { votes, trial } = &self.role else { return };
        let (learners, group) = (self.config.is_broken(Mutant::LearnerCounts), self.group());
        let counts = |v: &&Node| group.is_voter(**v) || learners && group.learners.contains(v);
        if votes.iter().filter(counts).count() < group.majority() {
            return;
        }
        match *trial {
            true => self.stand(now, false, false),
            false => self.take_office(now),
        }
    }
}
