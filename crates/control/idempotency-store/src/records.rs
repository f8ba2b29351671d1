//! All of it for one process: its copies of groups, its asking, what it knows of who holds what. Messages, time, the list of
//! members and completed writes go in; messages, writes and outcomes come out.
use crate::client::{Client, Why};
use crate::command::{Command, Outcome};
use crate::holder::{Holder, Waiter, SNAPSHOT_EVERY};
use crate::machine::Machine;
use crate::placement::{self, Facts, Place};
use crate::said::{Card, Epoch, Said};
use crate::{group_of, Micros};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use silvercross_raft::{
    Ended, Envelope, Index, Message, Node, Payload, PersistentState, RaftError, Replica, Snapshot, Write,
};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The group that holds operators' drains.
pub const DRAINS: u32 = 0;
/// A later list of drains is told on to so many at once.
const TELL: usize = 3;

/// What a process keeps to; the same in all of a fleet, but for `seed`.
#[derive(Clone, Debug)]
pub struct Config {
    /// How many groups the keys are spread over.
    pub groups: u32,
    /// Voters wanted in each: 3 or 5.
    pub holders: usize,
    /// A holder that is not there for so long is replaced; four times that while more than a third of the fleet is not there.
    pub replace_after: Micros,
    /// Nothing came for so long: another holder is asked.
    pub patience: Micros,
    /// Entries between snapshots.
    pub snapshot_every: usize,
    /// Of each replica.
    pub replica: silvercross_raft::Config,
    /// Where all chance starts.
    pub seed: u64,
    /// Snapshots forget the sessions; heeded only with the feature `mutants`.
    pub forget_sessions: bool,
    /// An ask is answered before its entry is committed; heeded only with the feature `mutants`.
    pub mark_early: bool,
}

impl Config {
    /// One that suits machines on one network, for so many groups and holders.
    pub fn new(groups: u32, holders: usize, seed: u64) -> Self {
        Config {
            groups,
            holders,
            replace_after: 30_000_000,
            patience: 150_000,
            snapshot_every: SNAPSHOT_EVERY,
            replica: silvercross_raft::Config::default(),
            seed,
            forget_sessions: false,
            mark_early: false,
        }
    }
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Want {
    /// Say something to a process.
    Send(u64, Said),
    /// Make something durable for a group's copy.
    Write(u32, Epoch, Write),
    /// An ask is over.
    Done(u64, Result<Outcome, Why>),
    /// A copy ended; its folder is never used again.
    Ended(u32, Ended),
    /// Operators' drains have changed, as far as this process knows.
    Drains,
}

struct Copy {
    epoch: Epoch,
    holder: Holder,
    told_end: bool,
}

/// One process's part in the records.
pub struct Records {
    config: Config,
    me: u64,
    rng: Pcg32,
    copies: BTreeMap<u32, Copy>,
    client: Client,
    places: Vec<Place>,
    /// Since when each is not there.
    away: BTreeMap<Node, Micros>,
    who_at: Micros,
    out: VecDeque<Want>,
    /// Whose copies ended, by their own word: they are gone though their process is there.
    over: BTreeSet<(u32, Node)>,
    /// Operators' drains, with the version of that list.
    drains: (u64, Vec<String>),
    /// Epochs of equal count that others speak of: two foundings.
    pub foreign: u64,
}

impl Records {
    /// At a process's start, with what its folder kept of each group.
    pub fn new(config: Config, me: u64, kept: Vec<(u32, Epoch, PersistentState)>, now: Micros) -> Self {
        let client = Client::new(me, config.groups, config.patience);
        let mut new = Records {
            rng: Pcg32::seed_from_u64(config.seed ^ me),
            me,
            copies: BTreeMap::new(),
            client,
            places: Vec::new(),
            away: BTreeMap::new(),
            who_at: now,
            out: VecDeque::new(),
            over: BTreeSet::new(),
            drains: (0, Vec::new()),
            foreign: 0,
            config,
        };
        for (group, epoch, durable) in kept {
            if group < new.config.groups {
                let seed = new.config.seed ^ u64::from(group);
                let replica = Replica::new(
                    new.config.replica.clone(),
                    Node(me),
                    durable,
                    seed,
                    Instant::from_micros(now),
                );
                new.hold(group, epoch, replica);
            }
        }
        new.go_on(now);
        new
    }

    fn hold(&mut self, group: u32, epoch: Epoch, replica: Replica) {
        #[allow(unused_mut)]
        let mut holder = Holder::new(replica, self.config.snapshot_every);
        #[cfg(feature = "mutants")]
        if self.config.forget_sessions {
            holder.forget_sessions();
        }
        self.copies.insert(group, Copy { epoch, holder, told_end: false });
    }

    // --- what can be asked ---

    /// Who it is.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// How many groups there are.
    pub fn groups(&self) -> u32 {
        self.config.groups
    }

    /// How many voters each is to have.
    pub fn holders(&self) -> usize {
        self.config.holders
    }

    /// Which group holds a key.
    pub fn group_of(&self, key: &str) -> u32 {
        group_of(key, self.config.groups)
    }

    /// This process's copy of a group.
    pub fn copy(&self, group: u32) -> Option<(Epoch, &Holder)> {
        self.copies.get(&group).map(|c| (c.epoch, &c.holder))
    }

    /// What is known of a group.
    pub fn card(&self, group: u32) -> Option<Card> {
        let own = self.copies.get(&group).filter(|c| c.holder.ended().is_none()).map(|c| own_card(group, c));
        let heard = self.client.card(group).cloned();
        match (own, heard) {
            (Some(own), Some(heard)) if heard.epoch == own.epoch && heard.term > own.term => Some(heard),
            (Some(own), Some(heard)) if heard.epoch.count() <= own.epoch.count() => Some(own),
            (Some(own), None) => Some(own),
            (_, heard) => heard,
        }
    }

    /// Whether a group holds as many copies as are wanted, as far as is known: only then is anything marked.
    pub fn is_full(&self, group: u32) -> bool {
        self.card(group).is_some_and(|c| c.voters.len() >= self.config.holders)
    }

    /// Since when a group has answered nothing.
    pub fn silent(&self, group: u32) -> Option<Micros> {
        self.client.silent(group)
    }

    /// Whether a member is there, by this process's own list.
    pub fn is_there(&self, id: u64) -> bool {
        id == self.me || self.places.iter().any(|p| p.node == Node(id) && p.alive)
    }

    /// Upstreams that drain by operators' orders, as far as this process knows.
    pub fn drains(&self) -> &[String] {
        &self.drains.1
    }

    /// When [`Records::tick`] is due.
    pub fn wake(&self) -> Micros {
        let copies = self
            .copies
            .values()
            .map(|c| c.holder.replica.next_deadline().as_micros())
            .min()
            .unwrap_or(Micros::MAX);
        copies.min(self.client.wake()).min(self.who_at)
    }

    // --- operators' acts ---

    /// Found the records: a copy of each group here, others are added. Refused where any are known: two foundings are two
    /// logs.
    pub fn found(&mut self, now: Micros) -> Result<Epoch, &'static str> {
        if (0..self.config.groups).any(|g| self.card(g).is_some()) || !self.copies.is_empty() {
            return Err("records were founded already");
        }
        let epoch = Epoch(0).next(self.rng.next_u64());
        for group in 0..self.config.groups {
            let seed = self.config.seed ^ u64::from(group);
            let replica = Replica::bootstrap(
                self.config.replica.clone(),
                Node(self.me),
                seed,
                Instant::from_micros(now),
            );
            self.hold(group, epoch, replica);
        }
        self.go_on(now);
        Ok(epoch)
    }

    /// Begin a new epoch of a group from this process's copy, because most of its holders are lost for good. What only they
    /// held is lost. The place and term that it goes on from.
    pub fn recover(&mut self, now: Micros, group: u32) -> Result<(Epoch, Index, u64), &'static str> {
        let copy = self.copies.get(&group).ok_or("this process holds no copy of that group")?;
        if copy.holder.ended().is_some() {
            return Err("this process's copy ended: what it holds is not to be trusted");
        }
        let (epoch, replica) = (copy.epoch, &copy.holder.replica);
        let mut machine = copy.holder.machine.clone();
        // What was not known to be committed here may have been: it counts.
        for index in replica.applied_index() + 1..=replica.log().last_index() {
            let Some(entry) = replica.log().get(index) else { break };
            if let Payload::Command(bytes) = &entry.payload {
                if let Ok(line) = postcard::from_bytes::<crate::holder::Line>(bytes) {
                    machine.apply(index, entry.at_ms, line.office_ms, line.logged);
                }
            }
        }
        let log = replica.log();
        let (index, term, at_ms) = (log.last_index(), log.last_term().max(replica.term()), log.last_at_ms());
        let snapshot = Snapshot { index, term, at_ms, group: Default::default(), data: machine.snapshot() };
        let next = epoch.next(self.rng.next_u64());
        let seed = self.config.seed ^ u64::from(group) ^ next.0;
        let new = Replica::recover_from(
            self.config.replica.clone(),
            Node(self.me),
            snapshot,
            seed,
            Instant::from_micros(now),
        );
        self.hold(group, next, new);
        self.go_on(now);
        Ok((next, index, term))
    }

    /// This process will stop: what it leads goes to others.
    pub fn leave(&mut self, now: Micros) {
        for copy in self.copies.values_mut() {
            let progress = copy.holder.replica.progress();
            let group = copy.holder.replica.group();
            let best = progress
                .and_then(|p| p.iter().filter(|(n, _)| group.is_voter(**n)).max_by_key(|(_, p)| p.matched));
            if let Some(to) = best.map(|(n, _)| *n) {
                copy.holder.replica.transfer(Instant::from_micros(now), to);
            }
        }
        self.go_on(now);
    }

    // --- what comes ---

    /// Let time pass.
    pub fn tick(&mut self, now: Micros) {
        for copy in self.copies.values_mut() {
            copy.holder.replica.tick(Instant::from_micros(now));
        }
        self.client.tick(now);
        if now >= self.who_at {
            self.ask_around(now);
        }
        self.mind_places(now);
        self.go_on(now);
    }

    /// Members are these, by this process's own list.
    pub fn members(&mut self, now: Micros, places: Vec<Place>) {
        for p in &places {
            if p.alive {
                self.away.remove(&p.node);
            } else {
                self.away.entry(p.node).or_insert(now);
            }
        }
        for copy in self.copies.values() {
            for v in copy.holder.replica.group().all().filter(|v| v.0 != self.me) {
                if !places.iter().any(|p| p.node == v) {
                    self.away.entry(v).or_insert(now);
                }
            }
        }
        let held = |n: &Node| {
            places.iter().any(|p| p.node == *n)
                || self.copies.values().any(|c| c.holder.replica.group().all().any(|v| v == *n))
        };
        let away = std::mem::take(&mut self.away);
        self.away = away.into_iter().filter(|(n, _)| held(n)).collect();
        let over = std::mem::take(&mut self.over);
        self.over = over.into_iter().filter(|(_, n)| places.iter().any(|p| p.node == *n)).collect();
        self.places = places;
    }

    /// A process says something.
    pub fn said(&mut self, now: Micros, from: u64, what: Said) {
        match what {
            Said::Replica(e) => self.envelope(now, from, e),
            Said::Ask { group, epoch, session, number, below, command } => {
                let waiter = Waiter { by: from, session, number };
                let copy = self.copies.get_mut(&group).filter(|c| c.epoch == epoch);
                let asked = copy.map(|c| c.holder.ask(now, waiter, below, command));
                let early = cfg!(feature = "mutants") && self.config.mark_early;
                match asked {
                    Some(Ok(())) if early => {
                        let outcome = Outcome::Done(0);
                        self.say(from, Said::Told { group, epoch, session, number, outcome });
                    }
                    Some(Ok(())) | Some(Err(RaftError::Full)) => {}
                    Some(Err(RaftError::NotLeader(l))) => {
                        self.say(from, Said::NotHere { group, number, leader: l.map(|n| n.0) })
                    }
                    Some(Err(_)) => self.say(from, Said::NotHere { group, number, leader: None }),
                    None => {
                        self.say(from, Said::NotHere { group, number, leader: None });
                        let known = self.all_known();
                        self.say(from, known);
                    }
                }
            }
            Said::Told { group, epoch, session, number, outcome } => {
                self.client.told(now, group, epoch, session, number, outcome)
            }
            Said::NotHere { group, leader, .. } => self.client.not_here(now, from, group, leader),
            Said::Over { group, epoch } => {
                if self.copies.get(&group).is_some_and(|c| c.epoch == epoch) {
                    self.over.insert((group, Node(from)));
                }
            }
            Said::Who => {
                let known = self.all_known();
                self.say(from, known);
            }
            Said::Known(cards, version, names) => {
                self.drains_are(version, names);
                for card in cards.into_iter().filter(|c| c.group < self.config.groups) {
                    let held = self.card(card.group).map(|c| c.epoch);
                    if held.is_some_and(|e| e != card.epoch && e.count() == card.epoch.count()) {
                        self.foreign += 1;
                    }
                    self.client.known(now, &card);
                }
            }
        }
        self.go_on(now);
    }

    fn envelope(&mut self, now: Micros, from: u64, e: Envelope) {
        if e.group >= self.config.groups || e.to != Node(self.me) || e.from != Node(from) {
            return;
        }
        let epoch = Epoch(e.epoch);
        let known = self.card(e.group).map(|c| c.epoch);
        let held = self.copies.get(&e.group).map(|c| c.epoch);
        if held != Some(epoch) {
            let leads = matches!(e.message, Message::AppendEntries { .. } | Message::InstallSnapshot { .. });
            let newer = held.is_none_or(|h| epoch.count() > h.count());
            // An epoch that was left behind, or that is not the one founded here, has no part in this one.
            if !leads || !newer || known.is_some_and(|k| k != epoch && k.count() >= epoch.count()) {
                let known = self.all_known();
                return self.say(from, known);
            }
            let seed = self.config.seed ^ u64::from(e.group) ^ e.epoch;
            let replica = Replica::new(
                self.config.replica.clone(),
                Node(self.me),
                PersistentState::default(),
                seed,
                Instant::from_micros(now),
            );
            self.hold(e.group, epoch, replica);
        }
        if let Some(copy) = self.copies.get_mut(&e.group) {
            if copy.holder.ended().is_some() {
                let over = Said::Over { group: e.group, epoch };
                return self.say(from, over);
            }
            copy.holder.replica.handle_message(Instant::from_micros(now), e.from, e.writes, e.message);
        }
    }

    /// A write and all before it are durable.
    pub fn written(&mut self, now: Micros, group: u32, epoch: Epoch, number: u64) {
        if let Some(copy) = self.copies.get_mut(&group).filter(|c| c.epoch == epoch) {
            copy.holder.replica.written(Instant::from_micros(now), number);
        }
        self.go_on(now);
    }

    /// A write failed.
    pub fn write_failed(&mut self, now: Micros, group: u32, epoch: Epoch) {
        if let Some(copy) = self.copies.get_mut(&group).filter(|c| c.epoch == epoch) {
            copy.holder.replica.write_failed();
        }
        self.go_on(now);
    }

    /// Ask for something that belongs to a key or name.
    pub fn ask_of(&mut self, now: Micros, key: &str, command: Command, until: Micros) -> u64 {
        let group = match command {
            Command::Drain { .. } => DRAINS,
            _ => self.group_of(key),
        };
        self.ask(now, group, command, until)
    }

    /// Ask for something of a group; [`Want::Done`] comes by `until` at the latest.
    pub fn ask(&mut self, now: Micros, group: u32, command: Command, until: Micros) -> u64 {
        let id = self.client.ask(now, group, command, until);
        self.go_on(now);
        id
    }

    /// An ask is not waited for any more.
    pub fn give_up(&mut self, id: u64) {
        self.client.give_up(id);
    }

    /// The next thing to do.
    pub fn poll(&mut self) -> Option<Want> {
        self.out.pop_front()
    }

    // --- inside ---

    /// A later list of drains was heard: it is told on to some, who tell it on.
    fn drains_are(&mut self, version: u64, names: Vec<String>) {
        if version <= self.drains.0 {
            return;
        }
        self.drains = (version, names);
        self.out.push_back(Want::Drains);
        for _ in 0..TELL {
            if let Some(to) = self.somebody() {
                let known = self.all_known();
                self.say(to, known);
            }
        }
    }

    fn all_known(&self) -> Said {
        Said::Known(self.cards(), self.drains.0, self.drains.1.clone())
    }

    /// Somebody who is there, by chance.
    fn somebody(&mut self) -> Option<u64> {
        let there = |p: &&Place| p.alive && p.node.0 != self.me;
        let alive: Vec<u64> = self.places.iter().filter(there).map(|p| p.node.0).collect();
        (!alive.is_empty()).then(|| alive[(self.rng.next_u64() % alive.len() as u64) as usize])
    }

    fn say(&mut self, to: u64, what: Said) {
        self.out.push_back(Want::Send(to, what));
    }

    fn cards(&self) -> Vec<Card> {
        (0..self.config.groups).filter_map(|g| self.card(g)).collect()
    }

    /// Somebody, by chance, is asked what it knows: often while a group is not known, seldom else.
    fn ask_around(&mut self, now: Micros) {
        let dark =
            |g: u32| self.card(g).is_none_or(|c| c.leader.is_none()) || self.client.silent(g).is_some();
        let often = (0..self.config.groups).any(dark);
        let beat = self.config.replica.heartbeat_interval.as_micros();
        self.who_at = now + if often { beat } else { 20 * beat };
        if let Some(to) = self.somebody() {
            self.say(to, Said::Who);
        }
    }

    /// Who is to hold copies, where this process leads; and whom its copies hold to be gone.
    fn mind_places(&mut self, now: Micros) {
        // Many at once look like a partition or a release; those that have been gone for long were not at once.
        let lately = |p: &&Place| {
            self.away.get(&p.node).is_some_and(|since| now < since + 4 * self.config.replace_after)
        };
        let away = self.places.iter().filter(|p| !p.alive).filter(lately).count();
        let many = 3 * away > self.places.iter().filter(|p| p.alive).count() + away;
        let after = self.config.replace_after * if many { 4 } else { 1 };
        let gone: Vec<Node> =
            self.away.iter().filter(|(_, since)| now >= **since + after).map(|(n, _)| *n).collect();
        let me = Node(self.me);
        for (number, copy) in &mut self.copies {
            let replica = &mut copy.holder.replica;
            let theirs: Vec<Node> =
                replica.group().voters.iter().filter(|v| gone.contains(v)).copied().collect();
            replica.set_gone_voters(theirs.clone());
            let Some(progress) = replica.progress() else { continue };
            if replica.is_changing() || !replica.has_committed_in_term() {
                continue;
            }
            let mut counts: BTreeMap<Node, usize> = BTreeMap::new();
            let group = replica.group();
            let voters = progress.iter().filter(|(n, _)| group.is_voter(**n));
            // Those who still answer; one that the leader itself hears is not gone.
            let said =
                voters.filter(|(_, p)| now < p.heard_at.as_micros() + after).flat_map(|(_, p)| p.gone.iter());
            for node in said.chain(theirs.iter()) {
                let hears = progress.get(node).is_some_and(|p| now < p.heard_at.as_micros() + after);
                if !hears {
                    *counts.entry(*node).or_default() += 1;
                }
            }
            let caught_up: Vec<Node> =
                group.learners.iter().filter(|l| replica.has_caught_up(**l)).copied().collect();
            for (_, node) in self.over.iter().filter(|(g, _)| g == number) {
                counts.insert(*node, group.voters.len());
            }
            let gone_by_word = |p: &&Place| !self.over.contains(&(*number, p.node));
            let places: Vec<Place> = self.places.iter().filter(gone_by_word).cloned().collect();
            let facts = Facts {
                number: *number,
                holders: self.config.holders,
                places: &places,
                gone: &counts,
                caught_up: &caught_up,
                me,
            };
            if let Some(next) = placement::next(group, &facts) {
                // Refused: it is tried again.
                let _ = replica.change_group(Instant::from_micros(now), next);
            }
        }
    }

    fn go_on(&mut self, now: Micros) {
        let me = Node(self.me);
        let (mut cards, mut drained) = (Vec::new(), None);
        // Applying may lead to more that is to be said, and what the own client says to this process is said here: in rounds
        // that end, since each ask is proposed once.
        for (number, copy) in &mut self.copies {
            let group = *number;
            copy.holder.replica.flush(Instant::from_micros(now));
            for (waiter, outcome) in copy.holder.apply() {
                let Waiter { by, session, number } = waiter;
                let told = Said::Told { group, epoch: copy.epoch, session, number, outcome };
                self.out.push_back(Want::Send(by, told));
            }
            if group == DRAINS {
                let (version, names) = copy.holder.machine.drains();
                if version > self.drains.0 {
                    drained = Some((version, names.map(str::to_string).collect::<Vec<_>>()));
                }
            }
            while let Some((to, writes, message)) = copy.holder.replica.poll_send() {
                let envelope = Envelope { group, epoch: copy.epoch.0, from: me, to, writes, message };
                self.out.push_back(Want::Send(to.0, Said::Replica(envelope)));
            }
            if let Some(write) = copy.holder.replica.poll_write() {
                self.out.push_back(Want::Write(group, copy.epoch, write));
            }
            if let Some(why) = copy.holder.ended().filter(|_| !copy.told_end) {
                copy.told_end = true;
                self.out.push_back(Want::Ended(group, why));
            }
            if copy.holder.ended().is_none() && !copy.holder.replica.group().voters.is_empty() {
                cards.push(own_card(group, copy));
            }
        }
        cards.iter().for_each(|c| self.client.known(now, c));
        drained.into_iter().for_each(|(version, names)| self.drains_are(version, names));
        while let Some((to, said)) = self.client.poll_send() {
            self.out.push_back(Want::Send(to, said));
        }
        while let Some((id, outcome)) = self.client.poll_done() {
            self.out.push_back(Want::Done(id, outcome));
        }
        // What this process says to itself.
        let (own, others): (VecDeque<Want>, VecDeque<Want>) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|w| matches!(w, Want::Send(to, _) if *to == self.me));
        self.out = others;
        for want in own {
            if let Want::Send(_, said) = want {
                self.said(now, self.me, said);
            }
        }
    }

    /// The state of a group as this process's copy has it, which may be behind.
    pub fn machine(&self, group: u32) -> Option<&Machine> {
        self.copies.get(&group).map(|c| &c.holder.machine)
    }
}

fn own_card(group: u32, copy: &Copy) -> Card {
    let replica = &copy.holder.replica;
    Card {
        group,
        epoch: copy.epoch,
        changed: replica.log().group_index(),
        voters: replica.group().voters.iter().map(|n| n.0).collect(),
        learners: replica.group().learners.iter().map(|n| n.0).collect(),
        term: replica.term(),
        leader: replica.leader().map(|n| n.0),
    }
}
