//! All of it for one process: its copies of groups, its asking, what it knows of who holds what. Messages, time, the list of
//! members and completed writes go in; messages, writes and outcomes come out.
use crate::client::{Client, SubmitError};
use crate::command::{Command, Outcome};
use crate::group_replica::{GroupReplica, Waiter, SNAPSHOT_INTERVAL_ENTRIES};
use crate::machine::StateMachine;
use crate::message::{Epoch, GroupInfo, StoreMessage};
use crate::placement::{self, MemberStatus, PlacementInput};
use crate::{group_of, Micros};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use silvercross_raft::{
    Ended, Envelope, Index, Message, Node, Payload, PersistentState, RaftError, Replica, Snapshot, Write,
};
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The group that holds operators' drains.
pub const DRAINS_GROUP: u32 = 0;
/// A later list of drains is told on to so many at once.
const TELL: usize = 3;

/// What a process keeps to; the same in all of a fleet, but for `seed`.
#[derive(Clone, Debug)]
pub struct Config {
    /// How many groups the keys are spread over.
    pub groups: u32,
    /// Voters wanted in each: 3 or 5.
    pub target_voters: usize,
    /// A holder that is not there for so long is replaced; four times that while more than a third of the fleet is not there.
    pub replace_after: Micros,
    /// Nothing came for so long: another holder is asked.
    pub retry_after: Micros,
    /// Entries between snapshots.
    pub snapshot_every: usize,
    /// Of each replica.
    pub replica: silvercross_raft::Config,
    /// Where all chance starts.
    pub seed: u64,
    /// Snapshots forget the sessions; heeded only with the feature `mutants`.
    pub forget_sessions: bool,
    /// An ask is answered before its entry is committed; heeded only with the feature `mutants`.
    pub respond_before_commit: bool,
}

impl Config {
    /// One that suits machines on one network, for so many groups and holders.
    pub fn new(groups: u32, target_voters: usize, seed: u64) -> Self {
        Config {
            groups,
            target_voters,
            replace_after: 30_000_000,
            retry_after: 150_000,
            snapshot_every: SNAPSHOT_INTERVAL_ENTRIES,
            replica: silvercross_raft::Config::default(),
            seed,
            forget_sessions: false,
            respond_before_commit: false,
        }
    }
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Say something to a process.
    Send(u64, StoreMessage),
    /// Make something durable for a group's copy.
    Write(u32, Epoch, Write),
    /// An ask is over.
    Completed(u64, Result<Outcome, SubmitError>),
    /// A copy ended; its folder is never used again.
    Ended(u32, Ended),
    /// Operators' drains have changed, as far as this process knows.
    DrainsChanged,
}

struct LocalReplica {
    epoch: Epoch,
    replica: GroupReplica,
    end_reported: bool,
}

/// One process's part in the records.
pub struct Records {
    config: Config,
    me: u64,
    rng: Pcg32,
    replicas: BTreeMap<u32, LocalReplica>,
    client: Client,
    places: Vec<MemberStatus>,
    /// Since when each is not there.
    away: BTreeMap<Node, Micros>,
    who_at: Micros,
    out: VecDeque<Effect>,
    /// Whose copies ended, by their own word: they are gone though their process is there.
    over: BTreeSet<(u32, Node)>,
    /// Operators' drains, with the version of that list.
    drains: (u64, Vec<String>),
    /// Epochs of equal count that others speak of: two foundings.
    pub foreign_epochs: u64,
}

impl Records {
    /// At a process's start, with what its folder kept of each group.
    pub fn new(config: Config, me: u64, kept: Vec<(u32, Epoch, PersistentState)>, now: Micros) -> Self {
        let client = Client::new(me, config.groups, config.retry_after);
        let mut new = Records {
            rng: Pcg32::seed_from_u64(config.seed ^ me),
            me,
            replicas: BTreeMap::new(),
            client,
            places: Vec::new(),
            away: BTreeMap::new(),
            who_at: now,
            out: VecDeque::new(),
            over: BTreeSet::new(),
            drains: (0, Vec::new()),
            foreign_epochs: 0,
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

    fn hold(&mut self, group: u32, epoch: Epoch, raft: Replica) {
        #[allow(unused_mut)]
        let mut replica = GroupReplica::new(raft, self.config.snapshot_every);
        #[cfg(feature = "mutants")]
        if self.config.forget_sessions {
            replica.forget_sessions();
        }
        self.replicas.insert(group, LocalReplica { epoch, replica, end_reported: false });
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
    pub fn target_voters(&self) -> usize {
        self.config.target_voters
    }

    /// Which group holds a key.
    pub fn group_of(&self, key: &str) -> u32 {
        group_of(key, self.config.groups)
    }

    /// This process's copy of a group.
    pub fn replica(&self, group: u32) -> Option<(Epoch, &GroupReplica)> {
        self.replicas.get(&group).map(|c| (c.epoch, &c.replica))
    }

    /// What is known of a group.
    pub fn group_info(&self, group: u32) -> Option<GroupInfo> {
        let own =
            self.replicas.get(&group).filter(|c| c.replica.ended().is_none()).map(|c| own_card(group, c));
        let heard = self.client.group_info(group).cloned();
        match (own, heard) {
            (Some(own), Some(heard)) if heard.epoch == own.epoch && heard.term > own.term => Some(heard),
            (Some(own), Some(heard)) if heard.epoch.count() <= own.epoch.count() => Some(own),
            (Some(own), None) => Some(own),
            (_, heard) => heard,
        }
    }

    /// Whether a group holds as many copies as are wanted, as far as is known: only then is anything marked.
    pub fn is_fully_replicated(&self, group: u32) -> bool {
        self.group_info(group).is_some_and(|c| c.voters.len() >= self.config.target_voters)
    }

    /// Since when a group has answered nothing.
    pub fn unresponsive_since(&self, group: u32) -> Option<Micros> {
        self.client.unresponsive_since(group)
    }

    /// Whether a member is there, by this process's own list.
    pub fn is_live(&self, id: u64) -> bool {
        id == self.me || self.places.iter().any(|p| p.node == Node(id) && p.alive)
    }

    /// Upstreams that drain by operators' orders, as far as this process knows.
    pub fn drains(&self) -> &[String] {
        &self.drains.1
    }

    /// When [`Records::tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        let copies = self
            .replicas
            .values()
            .map(|c| c.replica.raft.next_deadline().as_micros())
            .min()
            .unwrap_or(Micros::MAX);
        copies.min(self.client.next_deadline()).min(self.who_at)
    }

    // --- operators' acts ---

    /// Found the records: a copy of each group here, others are added. Refused where any are known: two foundings are two
    /// logs.
    pub fn bootstrap(&mut self, now: Micros) -> Result<Epoch, &'static str> {
        if (0..self.config.groups).any(|g| self.group_info(g).is_some()) || !self.replicas.is_empty() {
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
        let copy = self.replicas.get(&group).ok_or("this process holds no copy of that group")?;
        if copy.replica.ended().is_some() {
            return Err("this process's copy ended: what it holds is not to be trusted");
        }
        let (epoch, replica) = (copy.epoch, &copy.replica.raft);
        let mut machine = copy.replica.machine.clone();
        // What was not known to be committed here may have been: it counts.
        for index in replica.applied_index() + 1..=replica.log().last_index() {
            let Some(entry) = replica.log().get(index) else { break };
            if let Payload::Command(bytes) = &entry.payload {
                if let Ok(line) = postcard::from_bytes::<crate::group_replica::CommandEntry>(bytes) {
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
    pub fn transfer_leadership(&mut self, now: Micros) {
        for copy in self.replicas.values_mut() {
            let progress = copy.replica.raft.progress();
            let group = copy.replica.raft.group();
            let best = progress
                .and_then(|p| p.iter().filter(|(n, _)| group.is_voter(**n)).max_by_key(|(_, p)| p.matched));
            if let Some(to) = best.map(|(n, _)| *n) {
                copy.replica.raft.transfer(Instant::from_micros(now), to);
            }
        }
        self.go_on(now);
    }

    // --- what comes ---

    /// Let time pass.
    pub fn tick(&mut self, now: Micros) {
        for copy in self.replicas.values_mut() {
            copy.replica.raft.tick(Instant::from_micros(now));
        }
        self.client.tick(now);
        if now >= self.who_at {
            self.ask_around(now);
        }
        self.mind_places(now);
        self.go_on(now);
    }

    /// Members are these, by this process's own list.
    pub fn update_members(&mut self, now: Micros, places: Vec<MemberStatus>) {
        for p in &places {
            if p.alive {
                self.away.remove(&p.node);
            } else {
                self.away.entry(p.node).or_insert(now);
            }
        }
        for copy in self.replicas.values() {
            for v in copy.replica.raft.group().all().filter(|v| v.0 != self.me) {
                if !places.iter().any(|p| p.node == v) {
                    self.away.entry(v).or_insert(now);
                }
            }
        }
        let held = |n: &Node| {
            places.iter().any(|p| p.node == *n)
                || self.replicas.values().any(|c| c.replica.raft.group().all().any(|v| v == *n))
        };
        let away = std::mem::take(&mut self.away);
        self.away = away.into_iter().filter(|(n, _)| held(n)).collect();
        let over = std::mem::take(&mut self.over);
        self.over = over.into_iter().filter(|(_, n)| places.iter().any(|p| p.node == *n)).collect();
        self.places = places;
    }

    /// A process says something.
    pub fn handle_message(&mut self, now: Micros, from: u64, what: StoreMessage) {
        match what {
            StoreMessage::Replica(e) => self.envelope(now, from, e),
            StoreMessage::Ask { group, epoch, session, number, below, command } => {
                let waiter = Waiter { by: from, session, number };
                let copy = self.replicas.get_mut(&group).filter(|c| c.epoch == epoch);
                let asked = copy.map(|c| c.replica.submit(now, waiter, below, command));
                let early = cfg!(feature = "mutants") && self.config.respond_before_commit;
                match asked {
                    Some(Ok(())) if early => {
                        let outcome = Outcome::Done(0);
                        self.say(from, StoreMessage::Told { group, epoch, session, number, outcome });
                    }
                    Some(Ok(())) | Some(Err(RaftError::Full)) => {}
                    Some(Err(RaftError::NotLeader(l))) => {
                        self.say(from, StoreMessage::NotHere { group, number, leader: l.map(|n| n.0) })
                    }
                    Some(Err(_)) => self.say(from, StoreMessage::NotHere { group, number, leader: None }),
                    None => {
                        self.say(from, StoreMessage::NotHere { group, number, leader: None });
                        let known = self.all_known();
                        self.say(from, known);
                    }
                }
            }
            StoreMessage::Told { group, epoch, session, number, outcome } => {
                self.client.handle_outcome(now, group, epoch, session, number, outcome)
            }
            StoreMessage::NotHere { group, leader, .. } => self.client.redirect(now, from, group, leader),
            StoreMessage::Over { group, epoch } => {
                if self.replicas.get(&group).is_some_and(|c| c.epoch == epoch) {
                    self.over.insert((group, Node(from)));
                }
            }
            StoreMessage::Who => {
                let known = self.all_known();
                self.say(from, known);
            }
            StoreMessage::Known(cards, version, names) => {
                self.drains_are(version, names);
                for card in cards.into_iter().filter(|c| c.group < self.config.groups) {
                    let held = self.group_info(card.group).map(|c| c.epoch);
                    if held.is_some_and(|e| e != card.epoch && e.count() == card.epoch.count()) {
                        self.foreign_epochs += 1;
                    }
                    self.client.update_group_info(now, &card);
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
        let known = self.group_info(e.group).map(|c| c.epoch);
        let held = self.replicas.get(&e.group).map(|c| c.epoch);
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
        if let Some(copy) = self.replicas.get_mut(&e.group) {
            if copy.replica.ended().is_some() {
                let over = StoreMessage::Over { group: e.group, epoch };
                return self.say(from, over);
            }
            copy.replica.raft.handle_message(Instant::from_micros(now), e.from, e.writes, e.message);
        }
    }

    /// A write and all before it are durable.
    pub fn written(&mut self, now: Micros, group: u32, epoch: Epoch, number: u64) {
        if let Some(copy) = self.replicas.get_mut(&group).filter(|c| c.epoch == epoch) {
            copy.replica.raft.written(Instant::from_micros(now), number);
        }
        self.go_on(now);
    }

    /// A write failed.
    pub fn write_failed(&mut self, now: Micros, group: u32, epoch: Epoch) {
        if let Some(copy) = self.replicas.get_mut(&group).filter(|c| c.epoch == epoch) {
            copy.replica.raft.write_failed();
        }
        self.go_on(now);
    }

    /// Ask for something that belongs to a key or name.
    pub fn submit_for_key(&mut self, now: Micros, key: &str, command: Command, until: Micros) -> u64 {
        let group = match command {
            Command::Drain { .. } => DRAINS_GROUP,
            _ => self.group_of(key),
        };
        self.submit(now, group, command, until)
    }

    /// Ask for something of a group; [`Effect::Completed`] comes by `until` at the latest.
    pub fn submit(&mut self, now: Micros, group: u32, command: Command, until: Micros) -> u64 {
        let id = self.client.submit(now, group, command, until);
        self.go_on(now);
        id
    }

    /// An ask is not waited for any more.
    pub fn cancel(&mut self, id: u64) {
        self.client.cancel(id);
    }

    /// The next thing to do.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.out.pop_front()
    }

    // --- inside ---

    /// A later list of drains was heard: it is told on to some, who tell it on.
    fn drains_are(&mut self, version: u64, names: Vec<String>) {
        if version <= self.drains.0 {
            return;
        }
        self.drains = (version, names);
        self.out.push_back(Effect::DrainsChanged);
        for _ in 0..TELL {
            if let Some(to) = self.somebody() {
                let known = self.all_known();
                self.say(to, known);
            }
        }
    }

    fn all_known(&self) -> StoreMessage {
        StoreMessage::Known(self.cards(), self.drains.0, self.drains.1.clone())
    }

    /// Somebody who is there, by chance.
    fn somebody(&mut self) -> Option<u64> {
        let there = |p: &&MemberStatus| p.alive && p.node.0 != self.me;
        let alive: Vec<u64> = self.places.iter().filter(there).map(|p| p.node.0).collect();
        (!alive.is_empty()).then(|| alive[(self.rng.next_u64() % alive.len() as u64) as usize])
    }

    fn say(&mut self, to: u64, what: StoreMessage) {
        self.out.push_back(Effect::Send(to, what));
    }

    fn cards(&self) -> Vec<GroupInfo> {
        (0..self.config.groups).filter_map(|g| self.group_info(g)).collect()
    }

    /// Somebody, by chance, is asked what it knows: often while a group is not known, seldom else.
    fn ask_around(&mut self, now: Micros) {
        let dark = |g: u32| {
            self.group_info(g).is_none_or(|c| c.leader.is_none())
                || self.client.unresponsive_since(g).is_some()
        };
        let often = (0..self.config.groups).any(dark);
        let beat = self.config.replica.heartbeat_interval.as_micros();
        self.who_at = now + if often { beat } else { 20 * beat };
        if let Some(to) = self.somebody() {
            self.say(to, StoreMessage::Who);
        }
    }

    /// Who is to hold copies, where this process leads; and whom its copies hold to be gone.
    fn mind_places(&mut self, now: Micros) {
        // Many at once look like a partition or a release; those that have been gone for long were not at once.
        let lately = |p: &&MemberStatus| {
            self.away.get(&p.node).is_some_and(|since| now < since + 4 * self.config.replace_after)
        };
        let away = self.places.iter().filter(|p| !p.alive).filter(lately).count();
        let many = 3 * away > self.places.iter().filter(|p| p.alive).count() + away;
        let after = self.config.replace_after * if many { 4 } else { 1 };
        let gone: Vec<Node> =
            self.away.iter().filter(|(_, since)| now >= **since + after).map(|(n, _)| *n).collect();
        let leader = Node(self.me);
        for (number, copy) in &mut self.replicas {
            let replica = &mut copy.replica.raft;
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
            let gone_by_word = |p: &&MemberStatus| !self.over.contains(&(*number, p.node));
            let places: Vec<MemberStatus> = self.places.iter().filter(gone_by_word).cloned().collect();
            let input = PlacementInput {
                group_id: *number,
                target_voters: self.config.target_voters,
                members: &places,
                gone_reports: &counts,
                caught_up: &caught_up,
                leader,
            };
            if let Some(next) = placement::next_group(group, &input) {
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
        for (number, copy) in &mut self.replicas {
            let group = *number;
            copy.replica.raft.flush(Instant::from_micros(now));
            for (waiter, outcome) in copy.replica.apply() {
                let Waiter { by, session, number } = waiter;
                let told = StoreMessage::Told { group, epoch: copy.epoch, session, number, outcome };
                self.out.push_back(Effect::Send(by, told));
            }
            if group == DRAINS_GROUP {
                let (version, names) = copy.replica.machine.drains();
                if version > self.drains.0 {
                    drained = Some((version, names.map(str::to_string).collect::<Vec<_>>()));
                }
            }
            while let Some((to, writes, message)) = copy.replica.raft.poll_send() {
                let envelope = Envelope { group, epoch: copy.epoch.0, from: me, to, writes, message };
                self.out.push_back(Effect::Send(to.0, StoreMessage::Replica(envelope)));
            }
            if let Some(write) = copy.replica.raft.poll_write() {
                self.out.push_back(Effect::Write(group, copy.epoch, write));
            }
            if let Some(why) = copy.replica.ended().filter(|_| !copy.end_reported) {
                copy.end_reported = true;
                self.out.push_back(Effect::Ended(group, why));
            }
            if copy.replica.ended().is_none() && !copy.replica.raft.group().voters.is_empty() {
                cards.push(own_card(group, copy));
            }
        }
        cards.iter().for_each(|c| self.client.update_group_info(now, c));
        drained.into_iter().for_each(|(version, names)| self.drains_are(version, names));
        while let Some((to, said)) = self.client.poll_send() {
            self.out.push_back(Effect::Send(to, said));
        }
        while let Some((id, outcome)) = self.client.poll_done() {
            self.out.push_back(Effect::Completed(id, outcome));
        }
        // What this process says to itself.
        let (own, others): (VecDeque<Effect>, VecDeque<Effect>) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|w| matches!(w, Effect::Send(to, _) if *to == self.me));
        self.out = others;
        for want in own {
            if let Effect::Send(_, said) = want {
                self.handle_message(now, self.me, said);
            }
        }
    }

    /// The state of a group as this process's copy has it, which may be behind.
    pub fn machine(&self, group: u32) -> Option<&StateMachine> {
        self.replicas.get(&group).map(|c| &c.replica.machine)
    }
}

fn own_card(group: u32, copy: &LocalReplica) -> GroupInfo {
    let replica = &copy.replica.raft;
    GroupInfo {
        group,
        epoch: copy.epoch,
        changed: replica.log().group_index(),
        voters: replica.group().voters.iter().map(|n| n.0).collect(),
        learners: replica.group().learners.iter().map(|n| n.0).collect(),
        term: replica.term(),
        leader: replica.leader().map(|n| n.0),
    }
}
