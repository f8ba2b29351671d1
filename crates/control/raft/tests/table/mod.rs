//! Replicas on a table: messages lie there until a test delivers, doubles or drops them; disks are played by hand.
#![allow(dead_code)]
use silvercross_raft::{
    Apply, Config, Entry, Group, HardState, Message, Mutation, Node, Payload, PersistentState, Replica,
    Snapshot,
};
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// A message that lies on the table.
pub type Lying = (Node, Node, u64, Message);

/// One replica and its disk.
#[derive(Clone)]
pub struct Seat {
    pub replica: Replica,
    pub disk: PersistentState,
    /// Writes that are under way.
    pub writing: Vec<silvercross_raft::Write>,
    pub up: bool,
}

/// All of them.
#[derive(Clone)]
pub struct Table {
    pub seats: Vec<Seat>,
    pub lying: Vec<Lying>,
    /// What was applied anywhere, by place.
    pub applied: BTreeMap<u64, Entry>,
    /// Who led which term.
    pub terms_led: BTreeMap<u64, BTreeSet<Node>>,
    /// Syncs are done at once.
    pub sync: bool,
    pub config: Config,
    /// What each one's clock says.
    pub clock: Vec<Instant>,
    pub broken: Option<String>,
}

pub fn config(mutation: Option<Mutation>) -> Config {
    // No time passes on the table: whoever is told to stand stands, and nobody hears a leader.
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

impl Table {
    /// So many replicas of one group, of which the last `learners` only learn.
    pub fn new(voters: u64, learners: u64, mutation: Option<Mutation>) -> Self {
        Table::with(voters, learners, config(mutation))
    }

    /// With times of their own.
    pub fn with(voters: u64, learners: u64, config: Config) -> Self {
        let group = Group {
            voters: (1..=voters).map(Node).collect(),
            learners: (voters + 1..=voters + learners).map(Node).collect(),
        };
        let kept = PersistentState {
            snapshot: Snapshot { index: 1, term: 0, at_ms: 0, group, data: Vec::new() },
            ..PersistentState::default()
        };
        let seats = (1..=voters + learners).map(|n| Seat {
            replica: Replica::new(config.clone(), Node(n), kept.clone(), 1, Instant::ZERO),
            disk: kept.clone(),
            writing: Vec::new(),
            up: true,
        });
        let mut new = Table {
            seats: seats.collect(),
            lying: Vec::new(),
            applied: BTreeMap::new(),
            terms_led: BTreeMap::new(),
            sync: true,
            config,
            clock: vec![Instant::ZERO; (voters + learners) as usize],
            broken: None,
        };
        (0..new.seats.len()).for_each(|i| new.pump(i));
        new
    }

    pub fn at(&mut self, i: usize) -> &mut Replica {
        &mut self.seats[i].replica
    }

    /// Take what a replica wants done.
    pub fn pump(&mut self, i: usize) {
        let seat = &mut self.seats[i];
        let me = seat.replica.me();
        loop {
            while let Some((to, writes, message)) = seat.replica.poll_send() {
                self.lying.push((me, to, writes, message));
            }
            match seat.replica.poll_write() {
                Some(write) if self.sync => {
                    let number = write.number;
                    seat.disk.apply(write);
                    seat.replica.written(self.clock[i], number);
                }
                Some(write) => seat.writing.push(write),
                None => break,
            }
        }
        if seat.replica.is_leader() {
            let terms_led = self.terms_led.entry(seat.replica.term()).or_default();
            terms_led.insert(me);
            if terms_led.len() > 1 {
                self.broken = Some(format!("two lead in term {}", seat.replica.term()));
            }
        }
        while let Some(apply) = seat.replica.poll_apply() {
            if let Apply::Entry(index, entry) = apply {
                let before = self.applied.entry(index).or_insert_with(|| entry.clone());
                if *before != entry {
                    self.broken = Some(format!("at {index} {entry:?} was applied, and {before:?} before"));
                }
            }
        }
        if let Some(why) = seat.replica.ended() {
            self.broken.get_or_insert(format!("{me:?} ended: {why:?}"));
        }
    }

    /// A write that is under way is done.
    pub fn written(&mut self, i: usize) {
        let seat = &mut self.seats[i];
        if !seat.writing.is_empty() {
            let write = seat.writing.remove(0);
            let number = write.number;
            seat.disk.apply(write);
            seat.replica.written(self.clock[i], number);
            self.pump(i);
        }
    }

    /// Deliver a message that lies there; it goes off the table unless it is to come twice.
    pub fn deliver(&mut self, which: usize, twice: bool) {
        let (from, to, writes, message) =
            if twice { self.lying[which].clone() } else { self.lying.remove(which) };
        let i = to.0 as usize - 1;
        if self.seats[i].up {
            let now = self.clock[i];
            self.seats[i].replica.handle_message(now, from, writes, message);
            self.pump(i);
        }
    }

    /// Deliver all between these, whatever comes of it, until nothing lies between them; what lies for others is dropped.
    pub fn among(&mut self, these: &[u64]) {
        for _ in 0..200 {
            let fits = |m: &Lying| these.contains(&m.0 .0) && these.contains(&m.1 .0);
            self.lying.retain(fits);
            if self.lying.is_empty() {
                return;
            }
            self.deliver(0, false);
        }
    }

    /// It stands for election.
    pub fn campaign(&mut self, i: usize) {
        let now = self.clock[i];
        self.at(i).campaign_at_once(now);
        self.pump(i);
    }

    /// It stands until the votes of these make it lead; whatever else was said is lost.
    pub fn elect(&mut self, i: usize, by: &[u64]) {
        for _ in 0..4 {
            self.campaign(i);
            for _ in 0..100 {
                let me = self.seats[i].replica.me();
                let fits = |m: &Lying| {
                    let votes = matches!(
                        m.3,
                        Message::RequestVote { .. }
                            | Message::RequestVoteResponse { .. }
                            | Message::HelloBack { .. }
                            | Message::Hello
                    );
                    votes && (m.0 == me || by.contains(&m.0 .0)) && (m.1 == me || by.contains(&m.1 .0))
                };
                if self.seats[i].replica.is_leader() {
                    return;
                }
                self.lying.retain(fits);
                if self.lying.is_empty() {
                    break;
                }
                self.deliver(0, false);
            }
        }
    }

    /// It proposes a command.
    pub fn propose(&mut self, i: usize, what: u8) -> bool {
        let now = self.clock[i];
        let done = self.at(i).propose(now, vec![what]).is_ok();
        self.at(i).flush(now);
        self.pump(i);
        done
    }

    /// It stops and comes back with what its disk, or an older copy of it, holds.
    pub fn restart(&mut self, i: usize, from: Option<PersistentState>) {
        let disk = from.unwrap_or_else(|| self.seats[i].disk.clone());
        let me = self.seats[i].replica.me();
        self.seats[i] = Seat {
            replica: Replica::new(self.config.clone(), me, disk.clone(), 1, self.clock[i]),
            disk,
            writing: Vec::new(),
            up: true,
        };
        let now = self.clock[i];
        self.at(i).tick(now);
        self.pump(i);
    }

    /// What is applied that was proposed.
    pub fn commands(&self) -> Vec<u8> {
        let of = |e: &Entry| match &e.payload {
            Payload::Command(c) => c.first().copied(),
            _ => None,
        };
        self.applied.values().filter_map(of).collect()
    }
}

pub fn hard(term: u64, vote: u64) -> HardState {
    HardState { term, vote: Some(Node(vote)) }
}
