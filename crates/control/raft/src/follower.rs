//! How a follower handles a leader's entries (RP 5.3) and snapshots (RP 7, D 5.1).
use crate::log::{Entry, Index, Snapshot, Term};
use crate::message::Message;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use silvercross_time::Instant;

/// The maximum size of a snapshot from a leader, in bytes.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = 256 * 1024 * 1024;

impl Replica {
    /// Follows the leader of this term. `false`: the term is stale, and the sender is told the current one, or an invariant would
    /// be violated.
    fn accept_leader(&mut self, now: Instant, from: Node, term: Term) -> bool {
        if term < self.hard_state.term {
            let response = Message::AppendEntriesResponse {
                term: self.hard_state.term,
                matched: None,
                last: self.log.last_index(),
                round: 0,
                gone: Vec::new(),
            };
            self.send_message(from, response, true);
            return false;
        }
        let is_leader_itself = term == self.hard_state.term && self.is_leader();
        if !self.check_invariant(!is_leader_itself, "Election Safety, RP 5.2: one leader per term") {
            return false;
        }
        let has_other_leader = term == self.hard_state.term && self.leader.is_some_and(|l| l != from);
        if !self.check_invariant(
            !has_other_leader,
            "Election Safety, RP 5.2: one leader per term, as a follower sees it",
        ) {
            return false;
        }
        if term > self.hard_state.term || !matches!(self.role, Role::Follower) {
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
        let snapshot_index = self.log.snapshot.index;
        // Entries in the snapshot are committed, so they match the leader's.
        let matches = prev < snapshot_index || self.log.term(prev) == Some(prev_term);
        if !matches {
            // The hint for the leader skips all uncommitted entries of the conflicting term at once (end of RP 5.3).
            let mut last = self.log.last_index().min(prev - 1);
            if prev <= self.log.last_index() {
                let conflicting_term = self.log.term(prev);
                while last > self.commit_index && self.log.term(last) == conflicting_term {
                    last -= 1;
                }
            }
            return self.send_append_response(from, None, last.max(snapshot_index), round);
        }
        let mut index = prev;
        for entry in entries {
            index += 1;
            if index <= snapshot_index {
                continue;
            }
            match self.log.term(index) {
                Some(existing_term) if existing_term == entry.term => {
                    let is_equal = self.log.get(index) == Some(&entry);
                    if !self.check_invariant(is_equal, "Log Matching, RP 5.3: one entry per index and term") {
                        return;
                    }
                }
                Some(_) => {
                    if !self.truncate_from(index) {
                        return;
                    }
                    self.append(entry);
                }
                None => {
                    self.append(entry);
                }
            }
        }
        // Only entries that this message showed to match are known to be committed.
        self.commit_to(commit.min(index));
        self.send_append_response(from, Some(index.max(prev)), index, round);
    }

    fn send_append_response(&mut self, to: Node, matched: Option<Index>, last: Index, round: u64) {
        let gone = self.gone_voters.clone();
        let response =
            Message::AppendEntriesResponse { term: self.hard_state.term, matched, last, round, gone };
        self.send_message(to, response, true);
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        mut chunk: Snapshot,
        offset: u64,
        done: bool,
        round: u64,
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        if chunk.index <= self.commit_index {
            // It has all these entries already.
            self.incoming_snapshot = None;
            let index = chunk.index;
            return self.send_append_response(from, Some(index), index, round);
        }
        let data = std::mem::take(&mut chunk.data);
        let is_same_transfer =
            |c: &(Snapshot, Term)| (c.0.index, c.0.term, c.1) == (chunk.index, chunk.term, term);
        if !self.incoming_snapshot.as_ref().is_some_and(is_same_transfer) {
            self.incoming_snapshot = Some((chunk, term));
        }
        let Some((assembled, _)) = &mut self.incoming_snapshot else { return };
        let (index, received) = (assembled.index, assembled.data.len() as u64);
        let accepted = offset == received && assembled.data.len() + data.len() <= MAX_SNAPSHOT_BYTES;
        if accepted {
            assembled.data.extend_from_slice(&data);
        }
        if !(accepted && done) {
            let next = assembled.data.len() as u64;
            let response =
                Message::InstallSnapshotResponse { term: self.hard_state.term, index, next, round };
            return self.send_message(from, response, false);
        }
        if let Some((snapshot, _)) = self.incoming_snapshot.take() {
            self.install_snapshot(snapshot);
            self.commit_index = self.commit_index.max(index);
            self.send_append_response(from, Some(index), index, round);
        }
    }
}
