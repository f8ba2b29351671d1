//! A simulated cluster: a test delivers, duplicates or drops each message and completes each write itself.
#![allow(dead_code)]
use silvercross_raft::{
    Apply, Config, Entry, Group, HardState, Message, Mutation, Node, Payload, PersistentState, Replica,
    Snapshot,
};
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// A message in flight: sender, receiver, number of durable writes of the sender, message.
pub type InFlight = (Node, Node, u64, Message);

/// A replica and its storage.
#[derive(Clone)]
pub struct Server {
    pub replica: Replica,
    pub disk: PersistentState,
    /// Writes that are not durable yet.
    pub pending_writes: Vec<silvercross_raft::Write>,
    pub up: bool,
}

/// The servers of a cluster, the messages between them, and what they did so far.
#[derive(Clone)]
pub struct Cluster {
    pub servers: Vec<Server>,
    pub in_flight: Vec<InFlight>,
    /// The entries applied by any server, by index.
    pub applied: BTreeMap<u64, Entry>,
    /// The leaders of each term.
    pub terms_led: BTreeMap<u64, BTreeSet<Node>>,
    /// Whether writes are durable at once.
    pub sync_at_once: bool,
    pub config: Config,
    /// The clock of each server.
    pub clock: Vec<Instant>,
    /// The violation found.
    pub violation: Option<String>,
}

pub fn config(mutation: Option<Mutation>) -> Config {
    // No time passes, so with a timeout of zero no server ignores a candidate because it hears from a leader.
    Config {
        election_timeout: Duration::ZERO,
        heartbeat_interval: Duration::from_micros(1),
        max_append_bytes: 1,
        max_in_flight: 8,
        snapshot_chunk_bytes: 64,
        max_uncommitted: 8,
        mutation,
    }
}

impl Cluster {
    /// A cluster of one group of these many voters and learners; the learners have the last numbers.
    pub fn new(voters: u64, learners: u64, mutation: Option<Mutation>) -> Self {
        Cluster::with(voters, learners, config(mutation))
    }

    /// A cluster with its own configuration.
    pub fn with(voters: u64, learners: u64, config: Config) -> Self {
        let group = Group {
            voters: (1..=voters).map(Node).collect(),
            learners: (voters + 1..=voters + learners).map(Node).collect(),
        };
        let persisted = PersistentState {
            snapshot: Snapshot { index: 1, term: 0, at_ms: 0, group, data: Vec::new() },
            ..PersistentState::default()
        };
        let servers = (1..=voters + learners).map(|n| Server {
            replica: Replica::new(config.clone(), Node(n), persisted.clone(), 1, Instant::ZERO),
            disk: persisted.clone(),
            pending_writes: Vec::new(),
            up: true,
        });
        let mut new = Cluster {
            servers: servers.collect(),
            in_flight: Vec::new(),
            applied: BTreeMap::new(),
            terms_led: BTreeMap::new(),
            sync_at_once: true,
            config,
            clock: vec![Instant::ZERO; (voters + learners) as usize],
            violation: None,
        };
        (0..new.servers.len()).for_each(|i| new.process_outputs(i));
        new
    }

    pub fn at(&mut self, i: usize) -> &mut Replica {
        &mut self.servers[i].replica
    }

    /// Processes the outputs of a replica, and checks them.
    pub fn process_outputs(&mut self, i: usize) {
        let server = &mut self.servers[i];
        let me = server.replica.me();
        loop {
            while let Some((to, writes, message)) = server.replica.poll_send() {
                self.in_flight.push((me, to, writes, message));
            }
            match server.replica.poll_write() {
                Some(write) if self.sync_at_once => {
                    let number = write.number;
                    server.disk.apply(write);
                    server.replica.written(self.clock[i], number);
                }
                Some(write) => server.pending_writes.push(write),
                None => break,
            }
        }
        if server.replica.is_leader() {
            let leaders = self.terms_led.entry(server.replica.term()).or_default();
            leaders.insert(me);
            if leaders.len() > 1 {
                self.violation = Some(format!("two leaders in term {}", server.replica.term()));
            }
        }
        while let Some(apply) = server.replica.poll_apply() {
            if let Apply::Entry(index, entry) = apply {
                let earlier = self.applied.entry(index).or_insert_with(|| entry.clone());
                if *earlier != entry {
                    self.violation =
                        Some(format!("at {index} {entry:?} was applied, and {earlier:?} before"));
                }
            }
        }
        if let Some(reason) = server.replica.ended() {
            self.violation.get_or_insert(format!("{me:?} ended: {reason:?}"));
        }
    }

    /// Completes the oldest pending write of a server.
    pub fn complete_write(&mut self, i: usize) {
        let server = &mut self.servers[i];
        if !server.pending_writes.is_empty() {
            let write = server.pending_writes.remove(0);
            let number = write.number;
            server.disk.apply(write);
            server.replica.written(self.clock[i], number);
            self.process_outputs(i);
        }
    }

    /// Delivers a message in flight. It stays in flight if it is to be delivered twice.
    pub fn deliver(&mut self, position: usize, twice: bool) {
        let (from, to, writes, message) =
            if twice { self.in_flight[position].clone() } else { self.in_flight.remove(position) };
        let i = to.0 as usize - 1;
        if self.servers[i].up {
            let now = self.clock[i];
            self.servers[i].replica.handle_message(now, from, writes, message);
            self.process_outputs(i);
        }
    }

    /// Delivers all messages among `members`, and those that follow from them, until none is left, 200
    /// at most; drops all others.
    pub fn deliver_among(&mut self, members: &[u64]) {
        for _ in 0..200 {
            let is_kept = |m: &InFlight| members.contains(&m.0 .0) && members.contains(&m.1 .0);
            self.in_flight.retain(is_kept);
            if self.in_flight.is_empty() {
                return;
            }
            self.deliver(0, false);
        }
    }

    /// Starts an election of a server.
    pub fn campaign(&mut self, i: usize) {
        let now = self.clock[i];
        self.at(i).campaign_at_once(now);
        self.process_outputs(i);
    }

    /// Starts elections of a server until the votes of `supporters` make it the leader; drops all other messages.
    pub fn elect(&mut self, i: usize, supporters: &[u64]) {
        for _ in 0..4 {
            self.campaign(i);
            for _ in 0..100 {
                let me = self.servers[i].replica.me();
                let is_kept = |m: &InFlight| {
                    let is_for_election = matches!(
                        m.3,
                        Message::RequestVote { .. }
                            | Message::RequestVoteResponse { .. }
                            | Message::HelloBack { .. }
                            | Message::Hello
                    );
                    is_for_election
                        && (m.0 == me || supporters.contains(&m.0 .0))
                        && (m.1 == me || supporters.contains(&m.1 .0))
                };
                if self.servers[i].replica.is_leader() {
                    return;
                }
                self.in_flight.retain(is_kept);
                if self.in_flight.is_empty() {
                    break;
                }
                self.deliver(0, false);
            }
        }
    }

    /// Proposes a command at a server; returns whether it accepted the command.
    pub fn propose(&mut self, i: usize, command: u8) -> bool {
        let now = self.clock[i];
        let accepted = self.at(i).propose(now, vec![command]).is_ok();
        self.at(i).flush(now);
        self.process_outputs(i);
        accepted
    }

    /// Crashes a server and restarts it with its storage or an older copy of it.
    pub fn restart(&mut self, i: usize, from: Option<PersistentState>) {
        let disk = from.unwrap_or_else(|| self.servers[i].disk.clone());
        let me = self.servers[i].replica.me();
        self.servers[i] = Server {
            replica: Replica::new(self.config.clone(), me, disk.clone(), 1, self.clock[i]),
            disk,
            pending_writes: Vec::new(),
            up: true,
        };
        let now = self.clock[i];
        self.at(i).tick(now);
        self.process_outputs(i);
    }

    /// The commands that were applied.
    pub fn applied_commands(&self) -> Vec<u8> {
        let command = |e: &Entry| match &e.payload {
            Payload::Command(c) => c.first().copied(),
            _ => None,
        };
        self.applied.values().filter_map(command).collect()
    }
}

pub fn hard_state(term: u64, vote: u64) -> HardState {
    HardState { term, vote: Some(Node(vote)) }
}
