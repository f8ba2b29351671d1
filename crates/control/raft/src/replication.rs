//! How a leader replicates its log: entries (RP 5.3), snapshot chunks (RP 7, D 5.1), the responses to both, and how they advance
//! the commit index (RP 5.4.2).
use crate::config::Mutation;
use crate::log::{Index, Term};
use crate::message::Message;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use silvercross_time::Instant;

impl Replica {
    /// Sends a heartbeat, or what is due anyway, to every peer.
    pub(crate) fn send_heartbeats(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<Node> = lead.peers.keys().copied().collect();
        peers.into_iter().for_each(|to| self.replicate_to(to, true));
    }

    pub(crate) fn replicate_to_all(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<Node> = lead.peers.keys().copied().collect();
        peers.into_iter().for_each(|to| self.replicate_to(to, false));
    }

    /// Sends a follower the entries that it lacks, or a snapshot chunk, within the limits. With `always` it sends at least one
    /// `AppendEntries` as a heartbeat, unless a chunk is due instead.
    pub(crate) fn replicate_to(&mut self, to: Node, always: bool) {
        let mut always = always;
        loop {
            let Role::Leader(lead) = &self.role else { return };
            let Some(progress) = lead.peers.get(&to) else { return };
            let message = if progress.next <= self.log.snapshot.index {
                // The next entry is only in the snapshot (RP 7), which is sent one chunk at a time.
                match self.next_chunk(to) {
                    Some(chunk) => return self.send_message(to, chunk, false),
                    None => return,
                }
            } else {
                self.next_entries(to, always)
            };
            let Some(message) = message else { return };
            self.send_message(to, message, false);
            always = false;
        }
    }

    /// The next snapshot chunk for a follower; `None` while one is in flight.
    fn next_chunk(&mut self, to: Node) -> Option<Message> {
        let (term, chunk_bytes) = (self.hard_state.term, self.config.snapshot_chunk_bytes);
        let Role::Leader(lead) = &mut self.role else { return None };
        let (round, progress) = (lead.round, lead.peers.get_mut(&to)?);
        let snapshot = &self.log.snapshot;
        let (index, offset, is_in_flight) = match progress.snapshot {
            Some((index, offset, is_in_flight)) if index == snapshot.index => (index, offset, is_in_flight),
            _ => (snapshot.index, 0, false),
        };
        if is_in_flight {
            return None;
        }
        let from = (offset as usize).min(snapshot.data.len());
        let end = (from + chunk_bytes).min(snapshot.data.len());
        progress.snapshot = Some((index, from as u64, true));
        Some(Message::InstallSnapshot {
            term,
            index,
            index_term: snapshot.term,
            at_ms: snapshot.at_ms,
            group: snapshot.group.clone(),
            offset: from as u64,
            data: snapshot.data[from..end].to_vec(),
            done: end == snapshot.data.len(),
            round,
        })
    }

    /// The next `AppendEntries` for a follower, without entries if too many messages are in flight; `None` if there is nothing to
    /// send.
    fn next_entries(&mut self, to: Node, always: bool) -> Option<Message> {
        let (term, commit, last) = (self.hard_state.term, self.commit_index, self.log.last_index());
        let (max_bytes, max_in_flight) = (self.config.max_append_bytes, self.config.max_in_flight);
        let Role::Leader(lead) = &mut self.role else { return None };
        let (round, progress) = (lead.round, lead.peers.get_mut(&to)?);
        progress.snapshot = None;
        let has_room = progress.in_flight < if progress.probing { 1 } else { max_in_flight };
        if !always && (progress.next > last || !has_room) {
            return None;
        }
        let (prev, mut entries, mut size) = (progress.next - 1, Vec::new(), 0);
        while has_room && progress.next <= last && size < max_bytes {
            let Some(entry) = self.log.get(progress.next) else { break };
            size += entry.bytes();
            entries.push(entry.clone());
            progress.next += 1;
        }
        progress.in_flight += usize::from(!entries.is_empty());
        let prev_term = self.log.term(prev).unwrap_or(0);
        Some(Message::AppendEntries { term, prev, prev_term, entries, commit, round })
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn handle_append_response(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        matched: Option<Index>,
        last: Index,
        round: u64,
        gone: Vec<Node>,
    ) {
        if term > self.hard_state.term {
            return self.enter_term(now, term);
        }
        let last_index = self.log.last_index();
        if term < self.hard_state.term || !self.is_leader() {
            return;
        }
        if !self.check_invariant(
            matched.is_none_or(|m| m <= last_index),
            "RP 5.3: a follower's matching index is at most the last index of the leader, which never truncates its log",
        ) {
            return;
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(p) = lead.peers.get_mut(&from) else { return };
        (p.heard_at, p.gone, p.responded) = (now, gone, true);
        p.confirmed_round = p.confirmed_round.max(round);
        p.in_flight = p.in_flight.saturating_sub(1);
        let mut resend = false;
        match matched {
            Some(m) => {
                p.matched = p.matched.max(m);
                p.probing = false;
                p.next = p.next.max(p.matched + 1);
                if p.snapshot.is_some_and(|s| s.0 <= p.matched) {
                    p.snapshot = None;
                }
            }
            // Several messages in flight are rejected with the same hint. Only the first rejection is acted on: resending after
            // each would multiply the messages.
            None if p.probing && last + 1 >= p.next => {}
            None => {
                (p.next, p.in_flight, p.probing) = ((last + 1).min(p.next).max(p.matched + 1), 0, true);
                resend = true;
            }
        }
        self.confirm_reads();
        self.advance_commit_index(now);
        self.replicate_to(from, resend);
        self.advance_transfer(now);
    }

    pub(crate) fn handle_chunk_response(
        &mut self,
        now: Instant,
        from: Node,
        term: Term,
        index: Index,
        next: u64,
        round: u64,
    ) {
        if term > self.hard_state.term {
            return self.enter_term(now, term);
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(p) = lead.peers.get_mut(&from).filter(|_| term == self.hard_state.term) else { return };
        (p.heard_at, p.responded) = (now, true);
        p.confirmed_round = p.confirmed_round.max(round);
        if p.snapshot.is_some_and(|s| s.0 == index) {
            p.snapshot = Some((index, next, false));
        }
        self.confirm_reads();
        self.replicate_to(from, false);
    }

    /// Commits the entries that a majority of the voters has durably, if the last of them is of the current term (RP 5.4.2).
    pub(crate) fn advance_commit_index(&mut self, now: Instant) {
        let (me, durable_index, group) = (self.me, self.durable_index, self.group().clone());
        let count_learners = self.config.has_mutation(Mutation::LearnerCounts);
        let Role::Leader(lead) = &mut self.role else { return };
        let counted_nodes = group.voters.iter().chain(group.learners.iter().filter(|_| count_learners));
        let own_index = if self.config.has_mutation(Mutation::AnswerBeforeSync) {
            self.log.last_index()
        } else {
            durable_index
        };
        let mut match_indexes: Vec<Index> = counted_nodes
            .map(|v| if *v == me { own_index } else { lead.peers.get(v).map_or(0, |p| p.matched) })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&majority_index) = match_indexes.get(group.majority().saturating_sub(1)) else { return };
        let in_current_term = self.log.term(majority_index) == Some(self.hard_state.term);
        if majority_index <= self.commit_index
            || !(in_current_term || self.config.has_mutation(Mutation::OldTermCommits))
        {
            return;
        }
        self.commit_to(majority_index);
        // D 4.2.2: a leader that is no voter of the committed group steps down.
        if !self.is_changing() && !self.group().is_voter(me) {
            self.send_heartbeats();
            self.abandon_reads();
            self.role = Role::Follower;
            self.leader = None;
            return self.reset_election_timer(now);
        }
        // Followers learn the commit index at once, since requests at other nodes wait for it.
        self.send_heartbeats();
    }
}
