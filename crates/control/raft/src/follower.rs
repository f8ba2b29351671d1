//! What a follower does with a leader's entries (RP 5.3) and snapshots (RP 7, D 5.1).
use crate::log::{Entry, Index, Snapshot, Term};
use crate::message::Message;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use silvercross_time::Instant;

/// Bytes of a snapshot that is taken, at most.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

impl Replica {
    /// Whoever leads in this term is followed; `false`: it does not lead any more.
    fn accept_leader(&mut self, now: Instant, from: Node, term: Term) -> bool {
        if term < self.hard.term {
            let answer = Message::AppendEntriesResponse {
                term: self.hard.term,
                matched: None,
                last: self.log.last_index(),
                round: 0,
                gone: Vec::new(),
            };
            self.send_message(from, answer, true);
            return false;
        }
        let own = term == self.hard.term && self.is_leader();
        if !self.rule(!own, "Election Safety, RP 5.2: one leader in a term") {
            return false;
        }
        let other = term == self.hard.term && self.leader.is_some_and(|l| l != from);
        if !self.rule(!other, "Election Safety, RP 5.2: one leader in a term, as a follower sees it") {
            return false;
        }
        if term > self.hard.term || !matches!(self.role, Role::Follower) {
            self.enter_term(now, term);
        }
        self.leader = Some(from);
        self.heard_at = Some(now);
        self.failed_elections = 0;
        self.reset_election_timer(now);
        true
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn handle_append_entries(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        let (prev, prev_term) = prev;
        let base = self.log.snapshot.index;
        // What is in the snapshot is committed, and so the same as the leader's.
        let matches = prev < base || self.log.term(prev) == Some(prev_term);
        if !matches {
            // The leader goes on before the last entry that could be its own (RP 5.3, at its end).
            let mut last = self.log.last_index().min(prev - 1);
            if prev <= self.log.last_index() {
                let wrong = self.log.term(prev);
                while last > self.commit && self.log.term(last) == wrong {
                    last -= 1;
                }
            }
            return self.acknowledge(from, None, last.max(base), round);
        }
        let mut at = prev;
        for entry in entries {
            at += 1;
            if at <= base {
                continue;
            }
            match self.log.term(at) {
                Some(held) if held == entry.term => {
                    let same = self.log.get(at) == Some(&entry);
                    if !self.rule(same, "Log Matching, RP 5.3: one place and term, one entry") {
                        return;
                    }
                }
                Some(_) => {
                    if !self.truncate_from(at) {
                        return;
                    }
                    self.add(entry);
                }
                None => {
                    self.add(entry);
                }
            }
        }
        // Only up to what this message showed to be the same.
        self.commit_to(commit.min(at));
        self.acknowledge(from, Some(at.max(prev)), at, round);
    }

    fn acknowledge(&mut self, to: Node, matched: Option<Index>, last: Index, round: u64) {
        let gone = self.gone.clone();
        let answer = Message::AppendEntriesResponse { term: self.hard.term, matched, last, round, gone };
        self.send_message(to, answer, true);
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        mut part: Snapshot,
        offset: u64,
        done: bool,
        round: u64,
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        if part.index <= self.commit {
            // It has all that already.
            self.incoming_snapshot = None;
            let index = part.index;
            return self.acknowledge(from, Some(index), index, round);
        }
        let data = std::mem::take(&mut part.data);
        let same = |c: &(Snapshot, Term)| (c.0.index, c.0.term, c.1) == (part.index, part.term, term);
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = Some((part, term));
        }
        let Some((whole, _)) = &mut self.incoming_snapshot else { return };
        let (index, held) = (whole.index, whole.data.len() as u64);
        let fits = offset == held && whole.data.len() + data.len() <= MAX_SNAPSHOT_BYTES;
        if fits {
            whole.data.extend_from_slice(&data);
        }
        if !(fits && done) {
            let next = whole.data.len() as u64;
            let taken = Message::InstallSnapshotResponse { term: self.hard.term, index, next, round };
            return self.send_message(from, taken, false);
        }
        if let Some((snapshot, _)) = self.incoming_snapshot.take() {
            self.replace(snapshot);
            self.commit = self.commit.max(index);
            self.acknowledge(from, Some(index), index, round);
        }
    }
}
