//! The store in one process: its replicas of groups, its client, and what it knows of groups and members. Messages, time, the
//! member list and completed writes are inputs; messages, writes and outcomes are outputs.
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

/// The group that holds the operators' drains.
pub const DRAINS_GROUP: u32 = 0;
/// Number of members that a newer list of drains is forwarded to.
const DRAINS_FANOUT: usize = 3;

/// Configuration; the same in all processes of a fleet, except for `seed`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of groups that the keys are spread over.
    pub groups: u32,
    /// Target number of voters in each group: 3 or 5.
    pub target_voters: usize,
    /// How long a voter is absent before it is replaced; four times as long while more than a third of the fleet is absent.
    pub replace_after: Micros,
    /// Time without a response before the client tries another voter.
    pub retry_after: Micros,
    /// Log entries between snapshots.
    pub snapshot_every: usize,
    /// Configuration of each Raft replica.
    pub replica: silvercross_raft::Config,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Injected defect: snapshots omit the outcomes of sessions. Ignored without the feature `mutants`.
    pub forget_sessions: bool,
    /// Injected defect: commands are answered before their entry is committed. Ignored without the feature `mutants`.
    pub respond_before_commit: bool,
}

impl Config {
    /// Defaults for machines on one network.
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

/// An output for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a process.
    Send(u64, StoreMessage),
    /// Make a write durable for the replica of a group.
    Write(u32, Epoch, Write),
    /// A command has completed, with its id and outcome.
    Completed(u64, Result<Outcome, SubmitError>),
    /// A replica has ended; its folder must not be used again.
    Ended(u32, Ended),
    /// The operators' drains known to this process have changed.
    DrainsChanged,
}

struct LocalReplica {
    epoch: Epoch,
    replica: GroupReplica,
    end_reported: bool,
}

/// The store in one process.
pub struct Records {
    config: Config,
    me: u64,
    rng: Pcg32,
    replicas: BTreeMap<u32, LocalReplica>,
    client: Client,
    members: Vec<MemberStatus>,
    /// Since when each absent member or voter has been absent.
    absent_since: BTreeMap<Node, Micros>,
    next_query: Micros,
    effects: VecDeque<Effect>,
    /// Members that reported that their replica of a group has ended; it counts as gone although the process is live.
    ended_replicas: BTreeSet<(u32, Node)>,
    /// The operators' drains and the version of that list.
    drains: (u64, Vec<String>),
    /// Number of reports of another epoch with an equal counter, which means that the store was bootstrapped, or a
    /// group recovered, twice.
    pub foreign_epochs: u64,
}

impl Records {
    /// Creates the store at the start of a process, with the persisted state of each replica.
    pub fn new(config: Config, me: u64, kept: Vec<(u32, Epoch, PersistentState)>, now: Micros) -> Self {
        let client = Client::new(me, config.groups, config.retry_after);
        let mut new = Records {
            rng: Pcg32::seed_from_u64(config.seed ^ me),
            me,
            replicas: BTreeMap::new(),
            client,
            members: Vec::new(),
            absent_since: BTreeMap::new(),
            next_query: now,
            effects: VecDeque::new(),
            ended_replicas: BTreeSet::new(),
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
                new.add_replica(group, epoch, replica);
            }
        }
        new.process_outputs(now);
        new
    }

    fn add_replica(&mut self, group: u32, epoch: Epoch, raft: Replica) {
        #[allow(unused_mut)]
        let mut replica = GroupReplica::new(raft, self.config.snapshot_every);
        #[cfg(feature = "mutants")]
        if self.config.forget_sessions {
            replica.forget_sessions();
        }
        self.replicas.insert(group, LocalReplica { epoch, replica, end_reported: false });
    }

    // --- accessors ---

    /// Identity of this process.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Number of groups.
    pub fn groups(&self) -> u32 {
        self.config.groups
    }

    /// Target number of voters in each group.
    pub fn target_voters(&self) -> usize {
        self.config.target_voters
    }

    /// The group that a key belongs to.
    pub fn group_of(&self, key: &str) -> u32 {
        group_of(key, self.config.groups)
    }

    /// This process's replica of a group.
    pub fn replica(&self, group: u32) -> Option<(Epoch, &GroupReplica)> {
        self.replicas.get(&group).map(|c| (c.epoch, &c.replica))
    }

    /// What is known of a group.
    pub fn group_info(&self, group: u32) -> Option<GroupInfo> {
        let own = self
            .replicas
            .get(&group)
            .filter(|c| c.replica.ended().is_none())
            .map(|c| local_group_info(group, c));
        let heard = self.client.group_info(group).cloned();
        match (own, heard) {
            (Some(own), Some(heard)) if heard.epoch == own.epoch && heard.term > own.term => Some(heard),
            (Some(own), Some(heard)) if heard.epoch.count() <= own.epoch.count() => Some(own),
            (Some(own), None) => Some(own),
            (_, heard) => heard,
        }
    }

    /// Whether a group is known to have its target number of voters; only then are responses marked as held.
    pub fn is_fully_replicated(&self, group: u32) -> bool {
        self.group_info(group).is_some_and(|c| c.voters.len() >= self.config.target_voters)
    }

    /// Since when a group has not responded to commands.
    pub fn unresponsive_since(&self, group: u32) -> Option<Micros> {
        self.client.unresponsive_since(group)
    }

    /// Whether a member is live in this process's member list.
    pub fn is_live(&self, id: u64) -> bool {
        id == self.me || self.members.iter().any(|p| p.node == Node(id) && p.alive)
    }

    /// Upstreams that operators ordered to drain, as far as known.
    pub fn drains(&self) -> &[String] {
        &self.drains.1
    }

    /// When [`Records::tick`] is due.
    pub fn next_deadline(&self) -> Micros {
        let replicas = self
            .replicas
            .values()
            .map(|c| c.replica.raft.next_deadline().as_micros())
            .min()
            .unwrap_or(Micros::MAX);
        replicas.min(self.client.next_deadline()).min(self.next_query)
    }

    // --- operations ---

    /// Bootstraps the store with this process as the only voter of each group; others are added later. Refused if any group is
    /// known, since a second bootstrap would create a second set of logs.
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
            self.add_replica(group, epoch, replica);
        }
        self.process_outputs(now);
        Ok(epoch)
    }

    /// Starts a new epoch of a group from this process's replica, after a majority of its voters was lost for good. Entries that
    /// only the lost voters had are lost. Returns the epoch, and the log index and term that it continues from.
    pub fn recover(&mut self, now: Micros, group: u32) -> Result<(Epoch, Index, u64), &'static str> {
        let local = self.replicas.get(&group).ok_or("this process holds no copy of that group")?;
        if local.replica.ended().is_some() {
            return Err("this process's copy ended: what it holds is not to be trusted");
        }
        let (epoch, replica) = (local.epoch, &local.replica.raft);
        let mut machine = local.replica.machine.clone();
        // Entries not known to be committed here may have been committed by the lost majority, so the whole log is applied.
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
        self.add_replica(group, next, new);
        self.process_outputs(now);
        Ok((next, index, term))
    }

    /// Transfers the leadership of all groups to other voters, before this process stops.
    pub fn transfer_leadership(&mut self, now: Micros) {
        for local in self.replicas.values_mut() {
            let progress = local.replica.raft.progress();
            let group = local.replica.raft.group();
            let best = progress
                .and_then(|p| p.iter().filter(|(n, _)| group.is_voter(**n)).max_by_key(|(_, p)| p.matched));
            if let Some(to) = best.map(|(n, _)| *n) {
                local.replica.raft.transfer(Instant::from_micros(now), to);
            }
        }
        self.process_outputs(now);
    }

    // --- inputs ---

    /// Handles timeouts. It may be called at any time.
    pub fn tick(&mut self, now: Micros) {
        for local in self.replicas.values_mut() {
            local.replica.raft.tick(Instant::from_micros(now));
        }
        self.client.tick(now);
        if now >= self.next_query {
            self.query_random_member(now);
        }
        self.reconfigure_groups(now);
        self.process_outputs(now);
    }

    /// Replaces this process's member list.
    pub fn update_members(&mut self, now: Micros, members: Vec<MemberStatus>) {
        for p in &members {
            if p.alive {
                self.absent_since.remove(&p.node);
            } else {
                self.absent_since.entry(p.node).or_insert(now);
            }
        }
        for local in self.replicas.values() {
            for v in local.replica.raft.group().all().filter(|v| v.0 != self.me) {
                if !members.iter().any(|p| p.node == v) {
                    self.absent_since.entry(v).or_insert(now);
                }
            }
        }
        let held = |n: &Node| {
            members.iter().any(|p| p.node == *n)
                || self.replicas.values().any(|c| c.replica.raft.group().all().any(|v| v == *n))
        };
        let away = std::mem::take(&mut self.absent_since);
        self.absent_since = away.into_iter().filter(|(n, _)| held(n)).collect();
        let over = std::mem::take(&mut self.ended_replicas);
        self.ended_replicas =
            over.into_iter().filter(|(_, n)| members.iter().any(|p| p.node == *n)).collect();
        self.members = members;
    }

    /// Handles a message from another process.
    pub fn handle_message(&mut self, now: Micros, from: u64, message: StoreMessage) {
        match message {
            StoreMessage::Replica(e) => self.handle_envelope(now, from, e),
            StoreMessage::Ask { group, epoch, session, number, below, command } => {
                let waiter = Waiter { by: from, session, number };
                let local = self.replicas.get_mut(&group).filter(|c| c.epoch == epoch);
                let asked = local.map(|c| c.replica.submit(now, waiter, below, command));
                let early = cfg!(feature = "mutants") && self.config.respond_before_commit;
                match asked {
                    Some(Ok(())) if early => {
                        let outcome = Outcome::Done(0);
                        self.send(from, StoreMessage::Told { group, epoch, session, number, outcome });
                    }
                    Some(Ok(())) | Some(Err(RaftError::Full)) => {}
                    Some(Err(RaftError::NotLeader(l))) => {
                        self.send(from, StoreMessage::NotHere { group, number, leader: l.map(|n| n.0) })
                    }
                    Some(Err(_)) => self.send(from, StoreMessage::NotHere { group, number, leader: None }),
                    None => {
                        self.send(from, StoreMessage::NotHere { group, number, leader: None });
                        let known = self.known_message();
                        self.send(from, known);
                    }
                }
            }
            StoreMessage::Told { group, epoch, session, number, outcome } => {
                self.client.handle_outcome(now, group, epoch, session, number, outcome)
            }
            StoreMessage::NotHere { group, leader, .. } => self.client.redirect(now, from, group, leader),
            StoreMessage::Over { group, epoch } => {
                if self.replicas.get(&group).is_some_and(|c| c.epoch == epoch) {
                    self.ended_replicas.insert((group, Node(from)));
                }
            }
            StoreMessage::Who => {
                let known = self.known_message();
                self.send(from, known);
            }
            StoreMessage::Known(cards, version, names) => {
                self.update_drains(version, names);
                for card in cards.into_iter().filter(|c| c.group < self.config.groups) {
                    let held = self.group_info(card.group).map(|c| c.epoch);
                    if held.is_some_and(|e| e != card.epoch && e.count() == card.epoch.count()) {
                        self.foreign_epochs += 1;
                    }
                    self.client.update_group_info(now, &card);
                }
            }
        }
        self.process_outputs(now);
    }

    fn handle_envelope(&mut self, now: Micros, from: u64, e: Envelope) {
        if e.group >= self.config.groups || e.to != Node(self.me) || e.from != Node(from) {
            return;
        }
        let epoch = Epoch(e.epoch);
        let known = self.group_info(e.group).map(|c| c.epoch);
        let held = self.replicas.get(&e.group).map(|c| c.epoch);
        if held != Some(epoch) {
            let leads = matches!(e.message, Message::AppendEntries { .. } | Message::InstallSnapshot { .. });
            let newer = held.is_none_or(|h| epoch.count() > h.count());
            // Only a leader of a newer epoch creates a replica here; an old epoch, or one of another bootstrap, is refused.
            if !leads || !newer || known.is_some_and(|k| k != epoch && k.count() >= epoch.count()) {
                let known = self.known_message();
                return self.send(from, known);
            }
            let seed = self.config.seed ^ u64::from(e.group) ^ e.epoch;
            let replica = Replica::new(
                self.config.replica.clone(),
                Node(self.me),
                PersistentState::default(),
                seed,
                Instant::from_micros(now),
            );
            self.add_replica(e.group, epoch, replica);
        }
        if let Some(local) = self.replicas.get_mut(&e.group) {
            if local.replica.ended().is_some() {
                let over = StoreMessage::Over { group: e.group, epoch };
                return self.send(from, over);
            }
            local.replica.raft.handle_message(Instant::from_micros(now), e.from, e.writes, e.message);
        }
    }

    /// Handles the completion of a write: it and all earlier ones are durable.
    pub fn written(&mut self, now: Micros, group: u32, epoch: Epoch, number: u64) {
        if let Some(local) = self.replicas.get_mut(&group).filter(|c| c.epoch == epoch) {
            local.replica.raft.written(Instant::from_micros(now), number);
        }
        self.process_outputs(now);
    }

    /// Handles the failure of a write.
    pub fn write_failed(&mut self, now: Micros, group: u32, epoch: Epoch) {
        if let Some(local) = self.replicas.get_mut(&group).filter(|c| c.epoch == epoch) {
            local.replica.raft.write_failed();
        }
        self.process_outputs(now);
    }

    /// Submits a command to the group of a key or name.
    pub fn submit_for_key(&mut self, now: Micros, key: &str, command: Command, deadline: Micros) -> u64 {
        let group = match command {
            Command::Drain { .. } => DRAINS_GROUP,
            _ => self.group_of(key),
        };
        self.submit(now, group, command, deadline)
    }

    /// Submits a command to a group; [`Effect::Completed`] comes by `deadline` at the latest.
    pub fn submit(&mut self, now: Micros, group: u32, command: Command, deadline: Micros) -> u64 {
        let id = self.client.submit(now, group, command, deadline);
        self.process_outputs(now);
        id
    }

    /// Stops waiting for a command.
    pub fn cancel(&mut self, id: u64) {
        self.client.cancel(id);
    }

    /// The next effect to carry out.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    // --- internals ---

    /// Takes over a newer list of drains and forwards it to some members, which do the same.
    fn update_drains(&mut self, version: u64, names: Vec<String>) {
        if version <= self.drains.0 {
            return;
        }
        self.drains = (version, names);
        self.effects.push_back(Effect::DrainsChanged);
        for _ in 0..DRAINS_FANOUT {
            if let Some(to) = self.random_live_member() {
                let known = self.known_message();
                self.send(to, known);
            }
        }
    }

    fn known_message(&self) -> StoreMessage {
        StoreMessage::Known(self.all_group_info(), self.drains.0, self.drains.1.clone())
    }

    /// A random live member other than this process.
    fn random_live_member(&mut self) -> Option<u64> {
        let there = |p: &&MemberStatus| p.alive && p.node.0 != self.me;
        let alive: Vec<u64> = self.members.iter().filter(there).map(|p| p.node.0).collect();
        (!alive.is_empty()).then(|| alive[(self.rng.next_u64() % alive.len() as u64) as usize])
    }

    fn send(&mut self, to: u64, message: StoreMessage) {
        self.effects.push_back(Effect::Send(to, message));
    }

    fn all_group_info(&self) -> Vec<GroupInfo> {
        (0..self.config.groups).filter_map(|g| self.group_info(g)).collect()
    }

    /// Queries a random member for the groups it knows: often while the leader of a group is unknown or does not respond,
    /// otherwise rarely.
    fn query_random_member(&mut self, now: Micros) {
        let unavailable = |g: u32| {
            self.group_info(g).is_none_or(|c| c.leader.is_none())
                || self.client.unresponsive_since(g).is_some()
        };
        let often = (0..self.config.groups).any(unavailable);
        let heartbeat = self.config.replica.heartbeat_interval.as_micros();
        self.next_query = now + if often { heartbeat } else { 20 * heartbeat };
        if let Some(to) = self.random_live_member() {
            self.send(to, StoreMessage::Who);
        }
    }

    /// Sets the voters that this process's replicas report as gone, and proposes configuration changes for groups that it leads.
    fn reconfigure_groups(&mut self, now: Micros) {
        // Many members absent at once indicate a partition or a rollout, so wait longer. Members that have been absent for long
        // don't count towards this.
        let recently = |p: &&MemberStatus| {
            self.absent_since.get(&p.node).is_some_and(|since| now < since + 4 * self.config.replace_after)
        };
        let absent = self.members.iter().filter(|p| !p.alive).filter(recently).count();
        let many = 3 * absent > self.members.iter().filter(|p| p.alive).count() + absent;
        let after = self.config.replace_after * if many { 4 } else { 1 };
        let gone: Vec<Node> =
            self.absent_since.iter().filter(|(_, since)| now >= **since + after).map(|(n, _)| *n).collect();
        let leader = Node(self.me);
        for (number, local) in &mut self.replicas {
            let replica = &mut local.replica.raft;
            let gone_voters: Vec<Node> =
                replica.group().voters.iter().filter(|v| gone.contains(v)).copied().collect();
            replica.set_gone_voters(gone_voters.clone());
            let Some(progress) = replica.progress() else { continue };
            if replica.is_changing() || !replica.has_committed_in_term() {
                continue;
            }
            let mut counts: BTreeMap<Node, usize> = BTreeMap::new();
            let group = replica.group();
            let voters = progress.iter().filter(|(n, _)| group.is_voter(**n));
            // Count the reports of voters that still respond. A voter that the leader itself hears from is not gone.
            let reports =
                voters.filter(|(_, p)| now < p.heard_at.as_micros() + after).flat_map(|(_, p)| p.gone.iter());
            for node in reports.chain(gone_voters.iter()) {
                let hears = progress.get(node).is_some_and(|p| now < p.heard_at.as_micros() + after);
                if !hears {
                    *counts.entry(*node).or_default() += 1;
                }
            }
            let caught_up: Vec<Node> =
                group.learners.iter().filter(|l| replica.has_caught_up(**l)).copied().collect();
            for (_, node) in self.ended_replicas.iter().filter(|(g, _)| g == number) {
                counts.insert(*node, group.voters.len());
            }
            let not_ended = |p: &&MemberStatus| !self.ended_replicas.contains(&(*number, p.node));
            let members: Vec<MemberStatus> = self.members.iter().filter(not_ended).cloned().collect();
            let input = PlacementInput {
                group_id: *number,
                target_voters: self.config.target_voters,
                members: &members,
                gone_reports: &counts,
                caught_up: &caught_up,
                leader,
            };
            if let Some(next) = placement::next_group(group, &input) {
                // If it is refused, the next tick tries again.
                let _ = replica.change_group(Instant::from_micros(now), next);
            }
        }
    }

    fn process_outputs(&mut self, now: Micros) {
        let me = Node(self.me);
        let (mut cards, mut drained) = (Vec::new(), None);
        // Applying entries may produce more messages, and messages of the client to this process are handled below by recursion.
        // The recursion ends because each command is proposed only once.
        for (number, local) in &mut self.replicas {
            let group = *number;
            local.replica.raft.flush(Instant::from_micros(now));
            for (waiter, outcome) in local.replica.apply() {
                let Waiter { by, session, number } = waiter;
                let message = StoreMessage::Told { group, epoch: local.epoch, session, number, outcome };
                self.effects.push_back(Effect::Send(by, message));
            }
            if group == DRAINS_GROUP {
                let (version, names) = local.replica.machine.drains();
                if version > self.drains.0 {
                    drained = Some((version, names.map(str::to_string).collect::<Vec<_>>()));
                }
            }
            while let Some((to, writes, message)) = local.replica.raft.poll_send() {
                let envelope = Envelope { group, epoch: local.epoch.0, from: me, to, writes, message };
                self.effects.push_back(Effect::Send(to.0, StoreMessage::Replica(envelope)));
            }
            if let Some(write) = local.replica.raft.poll_write() {
                self.effects.push_back(Effect::Write(group, local.epoch, write));
            }
            if let Some(why) = local.replica.ended().filter(|_| !local.end_reported) {
                local.end_reported = true;
                self.effects.push_back(Effect::Ended(group, why));
            }
            if local.replica.ended().is_none() && !local.replica.raft.group().voters.is_empty() {
                cards.push(local_group_info(group, local));
            }
        }
        cards.iter().for_each(|c| self.client.update_group_info(now, c));
        drained.into_iter().for_each(|(version, names)| self.update_drains(version, names));
        while let Some((to, message)) = self.client.poll_send() {
            self.effects.push_back(Effect::Send(to, message));
        }
        while let Some((id, outcome)) = self.client.poll_done() {
            self.effects.push_back(Effect::Completed(id, outcome));
        }
        // Messages from this process to itself.
        let (own, others): (VecDeque<Effect>, VecDeque<Effect>) = std::mem::take(&mut self.effects)
            .into_iter()
            .partition(|e| matches!(e, Effect::Send(to, _) if *to == self.me));
        self.effects = others;
        for effect in own {
            if let Effect::Send(_, message) = effect {
                self.handle_message(now, self.me, message);
            }
        }
    }

    /// State machine of this process's replica of a group; it may lag behind the leader.
    pub fn machine(&self, group: u32) -> Option<&StateMachine> {
        self.replicas.get(&group).map(|c| &c.replica.machine)
    }
}

fn local_group_info(group: u32, local: &LocalReplica) -> GroupInfo {
    let replica = &local.replica.raft;
    GroupInfo {
        group,
        epoch: local.epoch,
        changed: replica.log().group_index(),
        voters: replica.group().voters.iter().map(|n| n.0).collect(),
        learners: replica.group().learners.iter().map(|n| n.0).collect(),
        term: replica.term(),
        leader: replica.leader().map(|n| n.0),
    }
}
