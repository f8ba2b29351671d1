//! How a leader copies its log: entries (RP 5.3), snapshot chunks (RP 7, D 5.1), the responses to both, and what is committed
//! by them (RP 5.4.2).
use crate::config::Mutation;
use crate::log::{Index, Term};
use crate::message::Message;
use crate::replica::Replica;
use crate::role::Role;
use crate::Node;
use silvercross_time::Instant;

impl Replica {
    /// Send a heartbeat to every peer.
    pub(crate) fn send_heartbeats(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<Node> = lead.peers.keys().copied().collect();
        peers.into_iter().for_each(|to| self.send(to, true));
    }

    pub(crate) fn send_all(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<Node> = lead.peers.keys().copied().collect();
        peers.into_iter().for_each(|to| self.send(to, false));
    }

    /// Send a follower what it lacks, as far as the limits allow; `always`: at least one message, as a heartbeat.
    pub(crate) fn send(&mut self, to: Node, always: bool) {
        let mut always = always;
        loop {
            let Role::Leader(lead) = &self.role else { return };
            let Some(progress) = lead.peers.get(&to) else { return };
            let message = if progress.next <= self.log.snapshot.index {
                // What comes next is in the snapshot alone (RP 7), which goes one chunk at a time.
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

    /// The next chunk of the snapshot for a follower; `None` while one is in flight.
    fn next_chunk(&mut self, to: Node) -> Option<Message> {
        let (term, chunk_bytes) = (self.hard.term, self.config.snapshot_chunk_bytes);
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

    /// The next entries for a follower, none of them if too many messages are in flight; `None`: there is nothing to send.
    fn next_entries(&mut self, to: Node, always: bool) -> Option<Message> {
        let (term, commit, last) = (self.hard.term, self.commit, self.log.last_index());
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
        if term > self.hard.term {
            return self.enter_term(now, term);
        }
        let end = self.log.last_index();
        if term < self.hard.term || !self.is_leader() {
            return;
        }
        if !self.rule(matched.is_none_or(|m| m <= end), "Leader Append-Only, RP 5.3: no follower has more") {
            return;
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(p) = lead.peers.get_mut(&from) else { return };
        (p.heard_at, p.gone, p.fresh) = (now, gone, true);
        p.round = p.round.max(round);
        p.in_flight = p.in_flight.saturating_sub(1);
        let mut again = false;
        match matched {
            Some(m) => {
                p.matched = p.matched.max(m);
                p.probing = false;
                p.next = p.next.max(p.matched + 1);
                if p.snapshot.is_some_and(|s| s.0 <= p.matched) {
                    p.snapshot = None;
                }
            }
            // Each of several under way is refused with the same word: only the first one is answered, or each answer would
            // bring more of them.
            None if p.probing && last + 1 >= p.next => {}
            None => {
                (p.next, p.in_flight, p.probing) = ((last + 1).min(p.next).max(p.matched + 1), 0, true);
                again = true;
            }
        }
        self.count_reads();
        self.advance(now);
        self.send(from, again);
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
        if term > self.hard.term {
            return self.enter_term(now, term);
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(p) = lead.peers.get_mut(&from).filter(|_| term == self.hard.term) else { return };
        (p.heard_at, p.fresh) = (now, true);
        p.round = p.round.max(round);
        if p.snapshot.is_some_and(|s| s.0 == index) {
            p.snapshot = Some((index, next, false));
        }
        self.count_reads();
        self.send(from, false);
    }

    /// What most of the voters have durably is committed, if it is of this term (RP 5.4.2); what is before it, with it.
    pub(crate) fn advance(&mut self, now: Instant) {
        let (me, durable, group) = (self.me, self.durable, self.group().clone());
        let learners = self.config.is_broken(Mutation::LearnerCounts);
        let Role::Leader(lead) = &mut self.role else { return };
        let counted = group.voters.iter().chain(group.learners.iter().filter(|_| learners));
        let own =
            if self.config.is_broken(Mutation::AnswerBeforeSync) { self.log.last_index() } else { durable };
        let mut places: Vec<Index> = counted
            .map(|v| if *v == me { own } else { lead.peers.get(v).map_or(0, |p| p.matched) })
            .collect();
        places.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&place) = places.get(group.majority().saturating_sub(1)) else { return };
        let of_term = self.log.term(place) == Some(self.hard.term);
        if place <= self.commit || !(of_term || self.config.is_broken(Mutation::OldTermCommits)) {
            return;
        }
        self.commit_to(place);
        // D 4.2.2: a leader that is not in the committed group any more leaves.
        if !self.is_changing() && !self.group().is_voter(me) {
            self.send_heartbeats();
            self.abandon_reads();
            self.role = Role::Follower;
            self.leader = None;
            return self.reset_election_timer(now);
        }
        // Followers hear of it at once: who waits for an answer elsewhere waits for this.
        self.send_heartbeats();
    }
}
