//! What a leader does: entries to followers (RP 5.3), what is committed (RP 5.4.2), reads (D 6.4), changes of the group
//! (D 4.1, 4.2.1), handing its office on (D 3.10), and leaving it when followers are silent (D 6.2).
use crate::config::Mutant;
use crate::log::{Entry, Group, Index, Payload, Term};
use crate::message::Message;
use crate::replica::{Refused, Replica, Role};
use crate::{Micros, Node};
use std::collections::{BTreeMap, VecDeque};

/// Reads that wait, at most.
const READS: usize = 1024;
/// A learner that is no further behind than this has caught up, in entries.
const CAUGHT_UP: Index = 64;

/// How far a follower is.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Durably the same up to here.
    pub matched: Index,
    /// When it last answered.
    pub heard: Micros,
    /// Voters that it holds to be gone for good.
    pub gone: Vec<Node>,
    next: Index,
    flying: usize,
    /// Where it agrees is being found out: one message at a time.
    probing: bool,
    round: u64,
    /// The snapshot under way to it, and how far; whether a piece is out.
    snapshot: Option<(Index, u64, bool)>,
    /// It answered since the last heartbeat.
    fresh: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Lead {
    pub(crate) peers: BTreeMap<Node, Progress>,
    /// The first place of its own term.
    first: Index,
    round: u64,
    beat_at: Micros,
    reads: VecDeque<(u64, u64, Index)>,
    next_read: u64,
    /// The log's time when it took office, and when that was by its own clock.
    clock: (u64, Micros),
    /// It hands its office on to this one, and gives it up by then.
    transfer: Option<(Node, Micros)>,
}

impl Lead {
    pub(crate) fn wake(&self) -> Micros {
        self.beat_at
    }
}

impl Replica {
    pub(crate) fn take_office(&mut self, now: Micros) {
        let nobody = self.leader.is_none();
        if !self.rule(nobody, "Election Safety, RP 5.2: one leader in a term, as the elected sees it") {
            return;
        }
        self.figures.led += 1;
        self.vain = 0;
        self.leader = Some(self.me);
        let at_ms = self.log.last_at_ms();
        self.role = Role::Leader(Lead {
            peers: BTreeMap::new(),
            first: self.log.last() + 1,
            round: 0,
            beat_at: now,
            reads: VecDeque::new(),
            next_read: self.hard.term << 32,
            clock: (at_ms, now),
            transfer: None,
        });
        self.add(Entry::nothing(self.hard.term, at_ms));
        self.mind_peers(now);
        self.beat(now);
        self.advance(now);
    }

    /// Leave office: what was asked of it is answered so.
    pub(crate) fn desert(&mut self) {
        if let Role::Leader(lead) = &mut self.role {
            let reads = std::mem::take(&mut lead.reads);
            self.answered.extend(reads.into_iter().map(|r| (r.0, None)));
        }
    }

    /// The log's time now, in milliseconds, if this node leads.
    pub fn log_now_ms(&self, now: Micros) -> Option<u64> {
        let Role::Leader(lead) = &self.role else { return None };
        if self.config.is_broken(Mutant::LocalClock) {
            return Some((now / 1000) as u64);
        }
        let passed = (now - lead.clock.1).max(0) as u64 / 1000;
        Some((lead.clock.0 + passed).max(self.log.last_at_ms()))
    }

    /// The log's time when this node took office, if it leads: what was noted before was noted under another clock.
    pub fn office_began_ms(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.clock.0),
            _ => None,
        }
    }

    /// How far each follower is, if this node leads.
    pub fn progress(&self) -> Option<&BTreeMap<Node, Progress>> {
        match &self.role {
            Role::Leader(lead) => Some(&lead.peers),
            _ => None,
        }
    }

    /// Whether its first entry is committed: before that it does not know what is (D 6.4).
    pub fn is_settled(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if self.commit >= lead.first)
    }

    /// Put a command into the log; the place and term at which it is committed, or never.
    pub fn propose(&mut self, now: Micros, command: Vec<u8>) -> Result<(Index, Term), Refused> {
        self.may_lead()?;
        if self.log.last() - self.commit >= self.config.open as Index {
            return Err(Refused::Full);
        }
        let entry = self.entry(now, Payload::Command(command));
        let term = self.hard.term;
        Ok((self.add(entry), term))
    }

    /// Send what was proposed. Several proposals go out together.
    pub fn flush(&mut self, now: Micros) {
        self.mind_peers(now);
        self.send_all(now);
        self.advance(now);
    }

    fn entry(&self, now: Micros, payload: Payload) -> Entry {
        let at_ms = self.log_now_ms(now).unwrap_or_else(|| self.log.last_at_ms());
        Entry { term: self.hard.term, at_ms, payload }
    }

    fn may_lead(&self) -> Result<(), Refused> {
        match &self.role {
            _ if self.ended().is_some() => Err(Refused::Ended),
            Role::Leader(lead) if lead.transfer.is_some() => Err(Refused::NotYet),
            Role::Leader(_) => Ok(()),
            _ => Err(Refused::NotLeader(self.leader)),
        }
    }

    /// Ask whether this node still leads, and what had been committed by now (D 6.4): answered by [`Replica::poll_read`].
    pub fn read(&mut self, now: Micros) -> Result<u64, Refused> {
        self.may_lead()?;
        let stale = self.config.is_broken(Mutant::StaleRead);
        if !self.is_settled() && !stale {
            return Err(Refused::NotYet);
        }
        let commit = self.commit;
        let Role::Leader(lead) = &mut self.role else { return Err(Refused::Ended) };
        if lead.reads.len() >= READS {
            return Err(Refused::Full);
        }
        lead.next_read += 1;
        lead.round += 1;
        let number = lead.next_read;
        if stale {
            self.answered.push_back((number, Some(commit)));
            return Ok(number);
        }
        lead.reads.push_back((number, lead.round, commit));
        self.beat(now);
        self.count_reads();
        Ok(number)
    }

    fn count_reads(&mut self) {
        let (me, group) = (self.me, self.group().clone());
        let Role::Leader(lead) = &mut self.role else { return };
        while let Some(&(number, round, index)) = lead.reads.front() {
            let says = |v: &&Node| **v == me || lead.peers.get(v).is_some_and(|p| p.round >= round);
            if group.voters.iter().filter(says).count() < group.majority() {
                return;
            }
            lead.reads.pop_front();
            self.answered.push_back((number, Some(index)));
        }
    }

    /// Change who holds copies, by one voter or by learners.
    pub fn change(&mut self, now: Micros, to: Group) -> Result<Index, Refused> {
        self.may_lead()?;
        if !self.config.is_broken(Mutant::TwoChanges) {
            // D 4.1, and the correction of 2015: not before an entry of this leader's own term is committed.
            if !self.is_settled() {
                return Err(Refused::NotYet);
            }
            if self.is_changing() {
                return Err(Refused::Changing);
            }
        }
        if !self.group().is_step(&to) {
            return Err(Refused::TooFar);
        }
        let entry = self.entry(now, Payload::Change(to));
        let at = self.add(entry);
        self.flush(now);
        Ok(at)
    }

    /// Whether a learner has caught up: as near as its messages show, and durably.
    pub fn has_caught_up(&self, node: Node) -> bool {
        let near =
            |p: &Progress| p.matched + CAUGHT_UP >= self.log.last() && p.matched >= self.commit.min(p.next);
        self.progress().and_then(|p| p.get(&node)).is_some_and(near)
    }

    /// Hand the office on to a voter, at the latest within an election timeout; until then nothing is proposed.
    pub fn transfer(&mut self, now: Micros, to: Node) {
        let until = now + self.config.election.max(1);
        if !self.group().is_voter(to) || to == self.me {
            return;
        }
        if let Role::Leader(lead) = &mut self.role {
            lead.transfer = Some((to, until));
            self.mind_transfer(now);
        }
    }

    fn mind_transfer(&mut self, now: Micros) {
        let (last, term) = (self.log.last(), self.hard.term);
        let Role::Leader(lead) = &mut self.role else { return };
        let Some((to, until)) = lead.transfer else { return };
        if now >= until {
            lead.transfer = None;
        } else if lead.peers.get(&to).is_some_and(|p| p.matched == last) {
            self.say(to, Message::StandNow { term }, false);
        }
    }

    pub(crate) fn tick_leader(&mut self, now: Micros) {
        let (me, group, election) = (self.me, self.group().clone(), self.config.election);
        let Role::Leader(lead) = &mut self.role else { return };
        if now < lead.beat_at {
            return;
        }
        lead.beat_at = now + self.config.heartbeat;
        // D 6.2: a leader that does not hear most of the voters leads nobody.
        let hears = |v: &&Node| **v == me || lead.peers.get(v).is_some_and(|p| now < p.heard + 2 * election);
        if group.voters.iter().filter(hears).count() < group.majority() {
            self.figures.deserted += 1;
            self.desert();
            self.role = Role::Follower;
            self.leader = None;
            return self.put_off(now);
        }
        for p in lead.peers.values_mut() {
            if !std::mem::take(&mut p.fresh) {
                // Silent since the last one: what was under way may be lost.
                (p.next, p.flying, p.probing) = (p.matched + 1, 0, true);
                if let Some(s) = &mut p.snapshot {
                    s.2 = false;
                }
            }
        }
        self.beat(now);
        self.mind_transfer(now);
    }

    /// Those in the group are followed, no others.
    fn mind_peers(&mut self, now: Micros) {
        let (me, last, all) = (self.me, self.log.last(), self.group().all().collect::<Vec<_>>());
        let Role::Leader(lead) = &mut self.role else { return };
        lead.peers.retain(|n, _| all.contains(n));
        for node in all.into_iter().filter(|n| *n != me) {
            lead.peers.entry(node).or_insert(Progress {
                matched: 0,
                heard: now,
                gone: Vec::new(),
                next: last,
                flying: 0,
                probing: true,
                round: 0,
                snapshot: None,
                fresh: true,
            });
        }
    }

    /// Say to all that it leads.
    pub(crate) fn beat(&mut self, now: Micros) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<Node> = lead.peers.keys().copied().collect();
        peers.into_iter().for_each(|to| self.send(now, to, true));
    }

    fn send_all(&mut self, now: Micros) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<Node> = lead.peers.keys().copied().collect();
        peers.into_iter().for_each(|to| self.send(now, to, false));
    }

    fn send(&mut self, _now: Micros, to: Node, always: bool) {
        let (term, commit, bytes, piece) =
            (self.hard.term, self.commit, self.config.append_bytes, self.config.piece_bytes);
        let most = self.config.in_flight;
        let mut always = always;
        loop {
            let Role::Leader(lead) = &mut self.role else { return };
            let round = lead.round;
            let Some(p) = lead.peers.get_mut(&to) else { return };
            let snapshot = &self.log.snapshot;
            if p.next <= snapshot.index {
                // What comes next is in the snapshot alone (RP 7).
                let (index, offset, out) = match p.snapshot {
                    Some((index, offset, out)) if index == snapshot.index => (index, offset, out),
                    _ => (snapshot.index, 0, false),
                };
                if out {
                    return;
                }
                let from = (offset as usize).min(snapshot.data.len());
                let end = (from + piece).min(snapshot.data.len());
                let message = Message::Piece {
                    term,
                    index,
                    index_term: snapshot.term,
                    at_ms: snapshot.at_ms,
                    group: snapshot.group.clone(),
                    offset: from as u64,
                    data: snapshot.data[from..end].to_vec(),
                    done: end == snapshot.data.len(),
                    round,
                };
                p.snapshot = Some((index, from as u64, true));
                return self.say(to, message, false);
            }
            p.snapshot = None;
            let last = self.log.last();
            let room = p.flying < if p.probing { 1 } else { most };
            if !always && (p.next > last || !room) {
                return;
            }
            let (prev, mut entries, mut size) = (p.next - 1, Vec::new(), 0);
            while room && p.next <= last && size < bytes {
                let Some(entry) = self.log.get(p.next) else { break };
                size += entry.bytes();
                entries.push(entry.clone());
                p.next += 1;
            }
            p.flying += usize::from(!entries.is_empty());
            let prev_term = self.log.term(prev).unwrap_or(0);
            self.say(to, Message::Append { term, prev, prev_term, entries, commit, round }, false);
            always = false;
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn appended(
        &mut self,
        now: Micros,
        from: Node,
        term: Term,
        matched: Option<Index>,
        last: Index,
        round: u64,
        gone: Vec<Node>,
    ) {
        if term > self.hard.term {
            return self.enter(now, term);
        }
        let end = self.log.last();
        if term < self.hard.term || !self.is_leader() {
            return;
        }
        if !self.rule(matched.is_none_or(|m| m <= end), "Leader Append-Only, RP 5.3: no follower has more") {
            return;
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(p) = lead.peers.get_mut(&from) else { return };
        (p.heard, p.gone, p.fresh) = (now, gone, true);
        p.round = p.round.max(round);
        p.flying = p.flying.saturating_sub(1);
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
                (p.next, p.flying, p.probing) = ((last + 1).min(p.next).max(p.matched + 1), 0, true);
                again = true;
            }
        }
        self.count_reads();
        self.advance(now);
        self.send(now, from, again);
        self.mind_transfer(now);
    }

    pub(crate) fn piece_taken(
        &mut self,
        now: Micros,
        from: Node,
        term: Term,
        index: Index,
        next: u64,
        round: u64,
    ) {
        if term > self.hard.term {
            return self.enter(now, term);
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(p) = lead.peers.get_mut(&from).filter(|_| term == self.hard.term) else { return };
        (p.heard, p.fresh) = (now, true);
        p.round = p.round.max(round);
        if p.snapshot.is_some_and(|s| s.0 == index) {
            p.snapshot = Some((index, next, false));
        }
        self.count_reads();
        self.send(now, from, false);
    }

    /// What most of the voters have durably is committed, if it is of this term (RP 5.4.2); what is before it, with it.
    pub(crate) fn advance(&mut self, now: Micros) {
        let (me, durable, group) = (self.me, self.durable, self.group().clone());
        let learners = self.config.is_broken(Mutant::LearnerCounts);
        let Role::Leader(lead) = &mut self.role else { return };
        let counted = group.voters.iter().chain(group.learners.iter().filter(|_| learners));
        let own = if self.config.is_broken(Mutant::AnswerBeforeSync) { self.log.last() } else { durable };
        let mut places: Vec<Index> = counted
            .map(|v| if *v == me { own } else { lead.peers.get(v).map_or(0, |p| p.matched) })
            .collect();
        places.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&place) = places.get(group.majority().saturating_sub(1)) else { return };
        let of_term = self.log.term(place) == Some(self.hard.term);
        if place <= self.commit || !(of_term || self.config.is_broken(Mutant::OldTermCommits)) {
            return;
        }
        self.commit_to(place);
        // D 4.2.2: a leader that is not in the committed group any more leaves.
        if !self.is_changing() && !self.group().is_voter(me) {
            self.beat(now);
            self.desert();
            self.role = Role::Follower;
            self.leader = None;
            return self.put_off(now);
        }
        // Followers hear of it at once: who waits for an answer elsewhere waits for this.
        self.beat(now);
    }
}
