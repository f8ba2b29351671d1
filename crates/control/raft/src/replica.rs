//! A replica: its durable state, its role, and what is to be sent, written and applied. What a message or a tick does in each
//! role is in `vote`, `follow` and `lead`.
use crate::config::{Config, Mutant};
use crate::lead::Lead;
use crate::log::{Entry, Group, Hard, Index, Log, Payload, Snapshot, Term};
use crate::message::Message;
use crate::{Micros, Node};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Messages that wait for their writes or to be fetched, at most; what is more is lost, as messages may be.
const OUT: usize = 4096;

/// Nodes whose number of writes is kept, besides those of the group.
const SEEN: usize = 256;
/// Elections in vain that still double the timeout.
const VAIN: u32 = 4;

/// What a folder kept.
#[derive(Clone, Debug, Default)]
pub struct Durable {
    /// Term and vote.
    pub hard: Hard,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The entries behind it.
    pub entries: Vec<Entry>,
    /// The number of the last write.
    pub writes: u64,
}

impl Durable {
    /// As it is once a write is done.
    pub fn apply(&mut self, write: Write) {
        let Write { number, hard, snapshot, cut, entries } = write;
        self.writes = number;
        self.hard = hard.unwrap_or(self.hard);
        if let Some(cut) = cut {
            self.entries.truncate(cut.saturating_sub(self.snapshot.index + 1) as usize);
        }
        if let Some(new) = snapshot {
            let gone = (new.index - self.snapshot.index.min(new.index)) as usize;
            self.entries.drain(..gone.min(self.entries.len()));
            self.snapshot = new;
        }
        for (index, entry) in entries {
            let at = index.saturating_sub(self.snapshot.index + 1) as usize;
            self.entries.truncate(at);
            self.entries.push(entry);
        }
    }
}

/// Something to make durable, all or nothing and in the order of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Counts a folder's writes, over all starts.
    pub number: u64,
    /// Term and vote.
    pub hard: Option<Hard>,
    /// A snapshot in place of what was before it, and of all entries up to it.
    pub snapshot: Option<Snapshot>,
    /// Entries from here on are dropped before the new ones are added.
    pub cut: Option<Index>,
    /// New entries by place; each place once, the later word holds.
    pub entries: BTreeMap<Index, Entry>,
}

impl Write {
    fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.cut.is_none() && self.entries.is_empty()
    }
}

/// Something for the state machine, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Apply {
    /// A committed entry.
    Entry(Index, Entry),
    /// The state is this one from now on.
    Restore(Snapshot),
}

/// Why a replica does nothing any more. Its process may go on as another node, with an empty folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A write failed: what the disk holds is not known.
    WriteFailed,
    /// Others heard of more writes than the folder holds.
    Older {
        /// So many.
        seen: u64,
        /// And held.
        held: u64,
    },
    /// A rule was about to be broken.
    Rule(&'static str),
}

/// Why something asked for is not done here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Another leads, as far as is known.
    NotLeader(Option<Node>),
    /// It leads, and can't yet: its first entry is not committed.
    NotYet,
    /// Too much is open.
    Full,
    /// A change of the group is not committed yet.
    Changing,
    /// The change is more than one step.
    TooFar,
    /// It does nothing any more.
    Ended,
}

#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks for votes; `trial`: only whether it would get them.
    Candidate {
        votes: BTreeSet<Node>,
        trial: bool,
    },
    Leader(Lead),
}

/// What has happened, counted up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Elections it stood in.
    pub stood: u64,
    /// Terms it led.
    pub led: u64,
    /// Offices it gave up for want of followers that answer.
    pub deserted: u64,
    /// Entries that were dropped for a leader's.
    pub dropped: u64,
    /// Snapshots taken over.
    pub restored: u64,
    /// Messages lost here for want of room.
    pub unsent: u64,
}

/// One copy of one log.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) me: Node,
    pub(crate) rng: Pcg32,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<Node>,
    /// When a leader was last heard.
    pub(crate) heard: Option<Micros>,
    pub(crate) stand_at: Micros,
    /// Elections that it stood in, one after the other, without a leader coming of them.
    pub(crate) vain: u32,
    pub(crate) commit: Index,
    applied: Index,
    restore: bool,
    staged: Write,
    /// Writes handed out and not yet done: number, last place.
    writing: VecDeque<(u64, Index)>,
    done: u64,
    /// Durable up to here.
    pub(crate) durable: Index,
    out: VecDeque<(u64, Node, Message)>,
    /// The greatest number of writes heard from each.
    seen: BTreeMap<Node, u64>,
    /// Who has told what it heard, since the start with a used folder; `None`: enough have.
    back: Option<BTreeSet<Node>>,
    hello_at: Micros,
    pub(crate) coming: Option<(Snapshot, Term)>,
    pub(crate) answered: VecDeque<(u64, Option<Index>)>,
    pub(crate) gone: Vec<Node>,
    ended: Option<Ended>,
    /// Counted up.
    pub figures: Figures,
}

impl Replica {
    /// From what a folder kept, at a start. One that never voted nor held anything is `Durable::default()`.
    pub fn new(config: Config, me: Node, kept: Durable, seed: u64, now: Micros) -> Self {
        let used = kept.writes > 0;
        let mutant_old = config.is_broken(Mutant::OldFolderVotes);
        let mut new = Replica {
            me,
            rng: Pcg32::seed_from_u64(seed ^ me.0),
            hard: kept.hard,
            commit: kept.snapshot.index,
            applied: kept.snapshot.index,
            restore: kept.snapshot.index > 0,
            durable: kept.snapshot.index + kept.entries.len() as Index,
            log: Log::new(kept.snapshot, kept.entries),
            role: Role::Follower,
            leader: None,
            heard: None,
            stand_at: now,
            vain: 0,
            staged: Write { number: kept.writes + 1, ..Write::default() },
            writing: VecDeque::new(),
            done: kept.writes,
            out: VecDeque::new(),
            seen: BTreeMap::new(),
            back: (used && !mutant_old).then(BTreeSet::new),
            hello_at: now,
            coming: None,
            answered: VecDeque::new(),
            gone: Vec::new(),
            ended: None,
            figures: Figures::default(),
            config,
        };
        new.put_off(now);
        new
    }

    /// The first copy of a new log: a group of this node alone, which others are added to. An operator's act: two foundings
    /// are two logs.
    pub fn found(config: Config, me: Node, seed: u64, now: Micros) -> Self {
        Replica::begin_with(config, me, Snapshot::default(), seed, now)
    }

    /// A new epoch from what one copy holds, by an operator's act: a group of this node alone, in which old holders have no part.
    pub fn begin_with(config: Config, me: Node, from: Snapshot, seed: u64, now: Micros) -> Self {
        // The entry before the first has term 1 and names the group, as a snapshot would.
        let snapshot =
            Snapshot { index: from.index.max(1), term: from.term.max(1), group: Group::of(vec![me]), ..from };
        let term = snapshot.term;
        let mut new = Replica::new(config, me, Durable::default(), seed, now);
        new.log = Log::new(snapshot.clone(), Vec::new());
        (new.commit, new.applied, new.restore) = (snapshot.index, snapshot.index, !snapshot.data.is_empty());
        new.hard = Hard { term, vote: None };
        new.staged.hard = Some(new.hard);
        new.staged.snapshot = Some(snapshot);
        new.durable = 0;
        new.stand_at = now;
        new
    }

    // --- what can be asked ---

    /// Who it is.
    pub fn me(&self) -> Node {
        self.me
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<Node> {
        self.leader
    }

    /// The latest term heard of.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Term and vote.
    pub fn hard(&self) -> Hard {
        self.hard
    }

    /// The group in force.
    pub fn group(&self) -> &Group {
        self.log.group()
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Committed up to here, as far as it knows.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Handed to the state machine up to here.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// How many writes were made durable.
    pub fn writes(&self) -> u64 {
        self.done
    }

    /// Durable up to here.
    pub fn durable(&self) -> Index {
        self.durable
    }

    /// Why it does nothing any more.
    pub fn ended(&self) -> Option<Ended> {
        self.ended
    }

    /// Whether a change of the group is not committed yet.
    pub fn is_changing(&self) -> bool {
        self.log.changed_at() > self.commit
    }

    /// When [`Replica::tick`] is due.
    pub fn wake(&self) -> Micros {
        if self.ended.is_some() {
            return Micros::MAX;
        }
        let role = match &self.role {
            Role::Leader(lead) => lead.wake(),
            _ => self.stand_at,
        };
        role.min(if self.back.is_some() { self.hello_at } else { Micros::MAX })
    }

    /// Which voters this process itself holds to be gone for good; told to the leader.
    pub fn gone_are(&mut self, gone: Vec<Node>) {
        self.gone = gone;
    }

    // --- time and messages ---

    /// Let time pass.
    pub fn tick(&mut self, now: Micros) {
        if self.ended.is_some() {
            return;
        }
        if self.back.is_some() && now >= self.hello_at {
            self.hello_at = now + self.config.heartbeat;
            self.maybe_back(None);
            let others: Vec<Node> = self.group().voters.iter().filter(|v| **v != self.me).copied().collect();
            if self.back.is_some() {
                others.into_iter().for_each(|v| self.say(v, Message::Hello, false));
            }
        }
        match self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.stand_at => self.stand(now, true, false),
            _ => {}
        }
    }

    /// Take a message in. `writes`: how many writes its sender had made durable when it said it.
    pub fn message(&mut self, now: Micros, from: Node, writes: u64, message: Message) {
        if self.ended.is_some() || from == self.me {
            return;
        }
        if self.seen.len() >= SEEN {
            // Those that are in no group any more are never heard again but for strangers.
            let group = self.log.group().clone();
            self.seen.retain(|n, _| group.all().any(|m| m == *n));
        }
        let seen = self.seen.entry(from).or_default();
        if writes < *seen && !self.config.is_broken(Mutant::OldFolderVotes) {
            // Late, or from an older folder: its sender knows which.
            let seen = *seen;
            match message {
                Message::Hello => self.say(from, Message::HelloBack { seen }, false),
                // Two that are both late would go on telling each other so.
                Message::Older { .. } | Message::HelloBack { .. } => {}
                _ => self.say(from, Message::Older { seen }, false),
            }
            return;
        }
        *seen = writes;
        match message {
            Message::Hello => {
                let seen = *seen;
                self.say(from, Message::HelloBack { seen }, false)
            }
            Message::HelloBack { seen } | Message::Older { seen } if seen > self.done => {
                if !self.config.is_broken(Mutant::OldFolderVotes) {
                    self.end(Ended::Older { seen, held: self.done });
                }
            }
            Message::HelloBack { .. } => self.maybe_back(Some(from)),
            Message::Older { .. } => {}
            // It has not heard yet that nothing is missing: it promises nothing.
            _ if self.back.is_some() => {}
            Message::AskVote { term, last, last_term, trial, transfer } => {
                self.asked_for_vote(now, from, term, (last_term, last), trial, transfer)
            }
            Message::Vote { term, granted, trial } => self.got_vote(now, from, term, granted, trial),
            Message::Append { term, prev, prev_term, entries, commit, round } => {
                self.append(now, from, term, (prev, prev_term), entries, commit, round)
            }
            Message::Piece { term, index, index_term, at_ms, group, offset, data, done, round } => {
                let part = Snapshot { index, term: index_term, at_ms, group, data };
                self.piece(now, from, term, part, offset, done, round)
            }
            Message::Appended { term, matched, last, round, gone } => {
                self.appended(now, from, term, matched, last, round, gone)
            }
            Message::PieceTaken { term, index, next, round } => {
                self.piece_taken(now, from, term, index, next, round)
            }
            Message::StandNow { term } => {
                if term == self.hard.term && self.leader == Some(from) {
                    self.stand(now, false, true);
                }
            }
        }
    }

    /// Somebody told what it heard. Most of the voters, itself among them: whoever heard a promise that mattered is likely to
    /// be there (docs/design/records.md says what is left).
    fn maybe_back(&mut self, from: Option<Node>) {
        let Some(back) = &mut self.back else { return };
        let group = self.log.group();
        back.extend(from.filter(|f| group.is_voter(*f)));
        let own = usize::from(group.is_voter(self.me));
        if back.len() + own >= group.majority() || group.voters.is_empty() || own == 0 {
            self.back = None;
        }
    }

    /// Stand for election now, without a trial: as if its time had come and the trial had gone well.
    pub fn stand_at_once(&mut self, now: Micros) {
        if !self.is_leader() && self.ended.is_none() {
            self.stand(now, false, false);
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
        let like =
            Replica { rng: Pcg32::seed_from_u64(0), figures: Figures::default(), vain: 0, ..self.clone() };
        let mut digest = Digest(Default::default());
        let _ = std::fmt::Write::write_fmt(&mut digest, format_args!("{like:?}"));
        digest.0.finish()
    }

    // --- what it wants done ---

    /// The next message, and to whom, with the number of writes to go along.
    pub fn poll_send(&mut self) -> Option<(Node, u64, Message)> {
        // Those that wait for nothing may overtake those that wait for a write.
        let eager = self.config.is_broken(Mutant::AnswerBeforeSync);
        let next = self.out.iter().position(|m| m.0 <= self.done || eager)?;
        self.out.remove(next).map(|(_, to, message)| (to, self.done, message))
    }

    /// Whether anything waits to be made durable.
    pub fn wants_write(&self) -> bool {
        !self.staged.is_empty() && self.ended.is_none()
    }

    /// The next thing to make durable: one at a time, so that all that comes meanwhile shares the next sync.
    pub fn poll_write(&mut self) -> Option<Write> {
        if !self.wants_write() || !self.writing.is_empty() {
            return None;
        }
        let number = self.staged.number;
        let next = Write { number: number + 1, ..Write::default() };
        self.writing.push_back((number, self.log.last()));
        Some(std::mem::replace(&mut self.staged, next))
    }

    /// All writes up to this number are durable.
    pub fn written(&mut self, now: Micros, number: u64) {
        while let Some(&(n, last)) = self.writing.front() {
            if n > number {
                break;
            }
            self.writing.pop_front();
            self.done = n;
            self.durable = last;
        }
        if self.is_leader() {
            self.advance(now);
        }
    }

    /// A write failed: this voter ends, and its folder is never used again.
    pub fn write_failed(&mut self) {
        self.end(Ended::WriteFailed);
    }

    /// The next thing for the state machine.
    pub fn poll_apply(&mut self) -> Option<Apply> {
        if std::mem::take(&mut self.restore) {
            self.applied = self.log.snapshot.index;
            return Some(Apply::Restore(self.log.snapshot.clone()));
        }
        if self.applied >= self.commit || self.ended.is_some() {
            return None;
        }
        let entry = self.log.get(self.applied + 1)?.clone();
        self.applied += 1;
        Some(Apply::Entry(self.applied, entry))
    }

    /// The state at the last applied entry, to stand for all entries up to it (RP 7).
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.log.term(index).filter(|_| index > self.log.snapshot.index) else { return };
        let at_ms = self.log.get(index).map_or(0, |e| e.at_ms);
        let group = self.log.group_at(index).clone();
        let snapshot = Snapshot { index, term, at_ms, group, data };
        self.log.compact(snapshot.clone());
        self.stage_snapshot(snapshot);
    }

    /// The next read that was answered: its number, and the place up to which the state has been applied that it may be
    /// answered from; `None`: this node did not lead any more.
    pub fn poll_read(&mut self) -> Option<(u64, Option<Index>)> {
        let ready = self.answered.front()?.1.is_none_or(|i| i <= self.applied);
        if ready {
            self.answered.pop_front()
        } else {
            None
        }
    }

    // --- inside ---

    pub(crate) fn stage_snapshot(&mut self, snapshot: Snapshot) {
        self.staged.entries.retain(|i, _| *i > snapshot.index);
        self.staged.snapshot = Some(snapshot);
    }

    pub(crate) fn stage_hard(&mut self) {
        self.staged.hard = Some(self.hard);
    }

    /// Add an entry behind the last.
    pub(crate) fn add(&mut self, entry: Entry) -> Index {
        let at = self.log.last() + 1;
        self.staged.entries.insert(at, entry.clone());
        self.log.push(entry);
        at
    }

    /// Drop all entries from a place on, for a leader's.
    pub(crate) fn cut(&mut self, from: Index) -> bool {
        if !self
            .rule(from > self.commit, "State Machine Safety, RP 5.4.3: a committed entry is never dropped")
        {
            return false;
        }
        self.figures.dropped += self.log.last() + 1 - from;
        self.log.truncate(from);
        let _ = self.staged.entries.split_off(&from);
        self.staged.cut = Some(self.staged.cut.map_or(from, |c| c.min(from)));
        self.durable = self.durable.min(from - 1);
        self.writing.iter_mut().for_each(|w| w.1 = w.1.min(from - 1));
        true
    }

    /// Everything before a snapshot that is taken over is forgotten.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) {
        let follows = self.log.term(snapshot.index) == Some(snapshot.term);
        if !follows {
            // Nothing behind it stays.
            let _ = self.staged.entries.split_off(&(snapshot.index + 1));
            self.staged.cut = Some(self.staged.cut.map_or(snapshot.index + 1, |c| c.min(snapshot.index + 1)));
        }
        self.log.compact(snapshot.clone());
        let last = self.log.last();
        self.durable = self.durable.min(last);
        self.writing.iter_mut().for_each(|w| w.1 = w.1.min(last));
        self.stage_snapshot(snapshot);
        self.restore = true;
        self.figures.restored += 1;
    }

    /// Say something. `rests`: on all that is staged, so that it waits for the write.
    pub(crate) fn say(&mut self, to: Node, message: Message, rests: bool) {
        let needs = match (rests, self.staged.is_empty()) {
            (false, _) => 0,
            (true, false) => self.staged.number,
            (true, true) => self.staged.number - 1,
        };
        if self.out.len() >= OUT {
            self.out.pop_front();
            self.figures.unsent += 1;
        }
        self.out.push_back((needs, to, message));
    }

    /// What must hold, in release builds too: a replica that would break it ends.
    pub(crate) fn rule(&mut self, holds: bool, name: &'static str) -> bool {
        if !holds {
            self.end(Ended::Rule(name));
        }
        holds
    }

    fn end(&mut self, why: Ended) {
        if self.ended.is_none() {
            self.ended = Some(why);
            self.desert();
            self.role = Role::Follower;
            self.leader = None;
            self.out.clear();
        }
    }

    /// Whether it may vote, acknowledge and stand.
    pub(crate) fn may_promise(&self) -> bool {
        self.back.is_none() && self.ended.is_none()
    }

    /// The next time to stand, drawn anew (RP 5.2); later and later while elections are in vain: where syncs take longer than
    /// the timeout (RP 5.6 asks for the opposite), a term has to last until the votes are durable.
    pub(crate) fn put_off(&mut self, now: Micros) {
        let least = self.config.election << self.vain.min(VAIN);
        let spread = self.rng.next_u64() % least.max(1) as u64;
        self.stand_at = now + least + spread as Micros;
    }

    /// A later term: it follows in it (RP 5.1).
    pub(crate) fn enter(&mut self, now: Micros, term: Term) {
        if !self.rule(term >= self.hard.term, "RP 5.1: terms never go back") {
            return;
        }
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.stage_hard();
            self.leader = None;
        }
        if !matches!(self.role, Role::Follower) {
            self.desert();
            self.role = Role::Follower;
            self.put_off(now);
        }
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        let most = index.min(self.log.last());
        if most > self.commit {
            self.commit = most;
        }
    }
}

impl Entry {
    /// Without content, of a term.
    pub(crate) fn nothing(term: Term, at_ms: u64) -> Self {
        Entry { term, at_ms, payload: Payload::Nothing }
    }
}
