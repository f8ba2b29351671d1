//! What a fleet holds, in simulated time: the deciding code of `silvercross-idempotency-store` on machines with disks, over the links of
//! [`crate::fleet::links`], with clients that ask processes by chance. Who is there is told by an oracle that sees what each
//! process could have heard, a few periods late. One heap of events; equal seeds give equal runs.
use crate::fleet::links::Links;
use crate::fleet::script::{FleetScript, Holding, Kind};
use crate::fleet::FleetFigures;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use silvercross_history_checker::{Answer as Says, EventKind, History, Invocation};
use silvercross_idempotency_store::placement::MemberStatus;
use silvercross_idempotency_store::{
    Command, Config, Effect, Epoch, Outcome, Records, StoreMessage, StoredResponse, TakeOutcome,
};
use silvercross_raft::{Mutation, Node, PersistentState, Write};
use silvercross_time::{Duration, Instant};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

type Micros = i64;

/// How a run's processes are broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// A rule of the replica.
    Replica(Mutation),
    /// Snapshots forget the sessions.
    Sessions,
    /// Answers before the commit.
    EarlyMark,
}

/// Periods after which a process that is not heard is held to be away.
const AWAY: f64 = 5.0;
/// An ask waits so long, in periods.
const PATIENCE: f64 = 6.0;
/// A sync takes so long at most, in microseconds, on a disk that is well.
const SYNC: u64 = 3_000;
/// What a process that stands still finds when it goes on: no more than this.
const WAITING: usize = 4_096;

enum Do {
    Tick(usize),
    Said { to: u64, from: u64, what: StoreMessage },
    Synced { process: usize, group: u32, epoch: Epoch, number: u64, fails: bool },
    Client(usize),
    Members,
    Begin(usize),
    End(usize),
    Gone(usize),
}

#[derive(Clone, Debug, Default)]
struct Folder {
    id: u64,
    groups: BTreeMap<u32, (Epoch, PersistentState)>,
}

struct Proc {
    machine: usize,
    id: u64,
    records: Records,
    running: bool,
    paused: bool,
    planned: Option<Micros>,
    /// Writes on their way to the disk, in order.
    writing: VecDeque<(u32, Epoch, Write)>,
    free_at: Micros,
    waiting: VecDeque<Do>,
    /// When each other was last within reach.
    heard: BTreeMap<u64, Micros>,
}

#[derive(Clone, Debug, Default)]
struct Disk {
    slow_ms: f64,
    fails: bool,
    full: bool,
}

struct Client {
    /// What it waits for: the process, the ask, when it asked, which key, what.
    open: Option<(usize, u64, Micros, String, Invocation)>,
    /// A keyed request that it took: process, key, and whether it ran.
    took: Option<(usize, String)>,
    /// Values it knows of each document, with their versions.
    known: BTreeMap<String, (u64, u64)>,
}

struct Sim<'s> {
    script: &'s FleetScript,
    holding: &'s Holding,
    broken: Option<Broken>,
    seed: u64,
    links: Links,
    rng: Pcg32,
    now: Micros,
    period: Micros,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Do>,
    order: u64,
    procs: Vec<Proc>,
    folders: Vec<Folder>,
    copies: Vec<Option<Folder>>,
    disks: Vec<Disk>,
    clients: Vec<Client>,
    history: History,
    values: u64,
    /// The value behind each version of each document.
    versions: BTreeMap<(String, u64), u64>,
    marked: BTreeMap<String, u64>,
    faults_met: u64,
    /// Machines that a fault with `leader` was about.
    about: BTreeMap<usize, Vec<usize>>,
    ended: u64,
    rounds: u64,
}

/// Play a script in simulated time.
pub fn play(script: &FleetScript, seed: u64, broken: Option<Broken>) -> (FleetFigures, History) {
    let Some(holding) = &script.records else { return Default::default() };
    let mut sim = Sim::new(script, holding, seed, broken);
    sim.run();
    let mut figures = BTreeMap::new();
    let mut put = |n: &str, v: f64| {
        figures.insert(n.to_string(), v);
    };
    let sum = |f: fn(&silvercross_raft::Metrics) -> u64| -> f64 {
        let copies = sim.procs.iter().flat_map(|p| (0..holding.groups).filter_map(|g| p.records.replica(g)));
        copies.map(|(_, h)| f(&h.raft.metrics)).sum::<u64>() as f64
    };
    put("elections", sum(|f| f.campaigns));
    put("led", sum(|f| f.terms_led));
    put("dropped", sum(|f| f.entries_truncated));
    put("restored", sum(|f| f.snapshots_installed));
    put("copies_ended", sim.ended as f64);
    put("faults_met", sim.faults_met as f64);
    let history = std::mem::take(&mut sim.history).sorted();
    let mut judged =
        FleetFigures { script: script.name.clone(), mode: "virtual", seed, figures, ..Default::default() };
    super::judge(script, &history, &mut judged);
    judged.expected(script);
    (judged, history)
}

impl<'s> Sim<'s> {
    fn new(script: &'s FleetScript, holding: &'s Holding, seed: u64, broken: Option<Broken>) -> Self {
        let period = (script.fleet.period_ms * 1e3) as Micros;
        let members = script.fleet.members;
        let mut sim = Sim {
            links: Links::new(script),
            rng: Pcg32::seed_from_u64(seed ^ 0x7ec0_4d50),
            now: -((script.fleet.gather * period as f64) as Micros),
            period,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            procs: Vec::new(),
            folders: vec![Folder::default(); members],
            copies: vec![None; members],
            disks: vec![Disk::default(); members],
            clients: Vec::new(),
            history: History::default(),
            values: 0,
            versions: BTreeMap::new(),
            marked: BTreeMap::new(),
            faults_met: 0,
            about: BTreeMap::new(),
            ended: 0,
            rounds: 0,
            script,
            holding,
            broken,
            seed,
        };
        for machine in 0..members {
            sim.folders[machine].id = sim.rng.next_u64() | 1;
            sim.start(machine);
        }
        sim.put(sim.now + 2 * period, Do::Members);
        for (i, f) in script.faults.iter().enumerate() {
            let at = (f.at * period as f64) as Micros;
            sim.put(at, Do::Begin(i));
            if let Some(lasts) = f.lasts {
                sim.put(at + (lasts * period as f64) as Micros, Do::End(i));
            }
        }
        for c in 0..holding.clients {
            sim.clients.push(Client { open: None, took: None, known: BTreeMap::new() });
            sim.put(0, Do::Client(c));
        }
        sim
    }

    fn put(&mut self, at: Micros, what: Do) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order)));
        self.events.insert(self.order, what);
    }

    fn chance(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn config(&self, machine: usize) -> Config {
        let mut c =
            Config::new(self.holding.groups, self.holding.holders, self.seed ^ (machine as u64) << 32);
        c.replace_after = (self.holding.replace_after * self.period as f64) as Micros;
        c.retry_after = self.period;
        c.snapshot_every = self.holding.snapshot_every;
        c.replica.election_timeout =
            Duration::from_micros((self.holding.election * self.period as f64) as Micros);
        c.replica.heartbeat_interval = Duration::from_micros(self.period);
        c.replica.snapshot_chunk_bytes = 512;
        match self.broken {
            Some(Broken::Replica(m)) => c.replica.mutation = Some(m),
            Some(Broken::Sessions) => c.forget_sessions = true,
            Some(Broken::EarlyMark) => c.respond_before_commit = true,
            None => {}
        }
        c
    }

    fn start(&mut self, machine: usize) {
        let folder = self.folders[machine].clone();
        let kept = folder.groups.into_iter().map(|(g, (e, d))| (g, e, d)).collect();
        let records = Records::new(self.config(machine), folder.id, kept, self.now);
        let number = self.procs.len();
        self.procs.push(Proc {
            machine,
            id: folder.id,
            records,
            running: true,
            paused: false,
            planned: None,
            writing: VecDeque::new(),
            free_at: self.now,
            waiting: VecDeque::new(),
            heard: BTreeMap::new(),
        });
        self.history.record(
            Instant::from_micros(self.now),
            EventKind::Started { process: number, machine, fresh: false },
        );
        self.pump(number);
    }

    fn of_id(&self, id: u64) -> Option<usize> {
        (0..self.procs.len()).rev().find(|n| self.procs[*n].id == id && self.procs[*n].running)
    }

    fn pump(&mut self, number: usize) {
        while let Some(want) = self.procs[number].records.poll_effect() {
            let (machine, from) = (self.procs[number].machine, self.procs[number].id);
            match want {
                Effect::Send(to, what) => {
                    let Some(there) = self.of_id(to).map(|n| self.procs[n].machine) else { continue };
                    let bytes = match &what {
                        StoreMessage::Replica(e) => e.message.bytes(),
                        _ => 128,
                    };
                    for copy in self.links.carry(machine, there, bytes, self.period, &mut self.rng) {
                        // A spoilt message is found out by its check, and lost.
                        if copy.spoilt.is_none() {
                            let wait = self.chance(300) as Micros;
                            self.put(self.now + copy.after + wait, Do::Said { to, from, what: what.clone() });
                        }
                    }
                }
                Effect::Write(group, epoch, write) => {
                    let disk = self.disks[machine].clone();
                    let wait = 200 + self.chance(SYNC) as Micros + (disk.slow_ms * 1e3) as Micros;
                    let p = &mut self.procs[number];
                    let (at, number_of) = (p.free_at.max(self.now) + wait, write.number);
                    p.free_at = at;
                    p.writing.push_back((group, epoch, write));
                    let fails = disk.fails || disk.full;
                    self.put(at, Do::Synced { process: number, group, epoch, number: number_of, fails });
                }
                Effect::Completed(id, outcome) => self.done(number, id, outcome.ok()),
                Effect::Ended(..) => {
                    self.ended += 1;
                    // The program serves on without a copy; some time later somebody restarts it, as somebody new.
                    let wait = 20 + self.chance(200) as Micros;
                    self.put(self.now + wait * self.period, Do::Gone(number));
                }
                Effect::DrainsChanged => {}
            }
        }
        let wake = self.procs[number].records.next_deadline().max(self.now + 100);
        let p = &mut self.procs[number];
        if p.running && !p.paused && p.planned.is_none_or(|at| at > wake || at <= self.now) {
            p.planned = Some(wake);
            self.put(wake, Do::Tick(number));
        }
    }

    fn run(&mut self) {
        let end = (self.script.fleet.length * self.period as f64) as Micros;
        let mut founded = false;
        while let Some(Reverse((at, order))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.rounds += 1;
            if !founded && at >= -((self.script.fleet.gather - 5.0).max(0.0) * self.period as f64) as Micros {
                founded = true;
                let _ = self.procs[0].records.bootstrap(self.now);
                self.pump(0);
            }
            let Some(what) = self.events.remove(&order) else { continue };
            self.happen(what);
        }
        self.now = end;
        // What nobody answered.
        for c in 0..self.clients.len() {
            if let Some((process, _, began, key, call)) = self.clients[c].open.take() {
                self.note(began, process, key, call, None);
            }
        }
    }

    fn happen(&mut self, what: Do) {
        let now = self.now;
        match what {
            Do::Tick(n) => {
                if self.procs[n].planned != Some(now) {
                    return;
                }
                self.procs[n].planned = None;
                if self.procs[n].running && !self.procs[n].paused {
                    self.procs[n].records.tick(now);
                    self.pump(n);
                }
            }
            Do::Said { to, from, what } => {
                let Some(n) = self.of_id(to) else { return };
                let p = &mut self.procs[n];
                if p.paused {
                    if p.waiting.len() < WAITING {
                        p.waiting.push_back(Do::Said { to, from, what });
                    }
                    return;
                }
                p.records.handle_message(now, from, what);
                self.pump(n);
            }
            Do::Synced { process, group, epoch, number, fails } => {
                let p = &mut self.procs[process];
                if !p.running {
                    return;
                }
                let Some((g, e, write)) = p.writing.pop_front() else { return };
                debug_assert!((g, e, write.number) == (group, epoch, number));
                if fails {
                    if p.paused {
                        p.waiting.push_back(Do::Synced { process, group, epoch, number, fails });
                    } else {
                        p.records.write_failed(now, group, epoch);
                        self.pump(process);
                    }
                    return;
                }
                store(&mut self.folders[p.machine], g, e, write);
                if p.paused {
                    p.waiting.push_back(Do::Synced { process, group, epoch, number, fails });
                    return;
                }
                p.records.written(now, group, epoch, number);
                self.pump(process);
            }
            Do::Client(c) => self.client(c),
            Do::Members => {
                self.members();
                self.put(now + self.period, Do::Members);
            }
            Do::Begin(i) => self.begin(i),
            Do::End(i) => {
                let fault = self.script.faults[i].clone();
                match fault.kind {
                    k if k.is_link() => {
                        self.links.end(i);
                        self.history
                            .record(Instant::from_micros(now), EventKind::partitioned(self.links.cut()));
                    }
                    Kind::Pause => {
                        for n in 0..self.procs.len() {
                            self.resume(n);
                        }
                    }
                    _ => {
                        let about = self.about.remove(&i).unwrap_or_default();
                        about.into_iter().for_each(|m| self.disks[m] = Disk::default());
                    }
                }
                self.maybe_calm();
            }
            Do::Gone(n) => {
                let machine = self.procs[n].machine;
                if self.procs[n].running {
                    self.kill(n, false);
                    self.folders[machine] = Folder { id: self.rng.next_u64() | 1, ..Folder::default() };
                    self.start(machine);
                }
            }
        }
    }

    fn resume(&mut self, n: usize) {
        let now = self.now;
        let p = &mut self.procs[n];
        if !p.paused {
            return;
        }
        p.paused = false;
        p.records.tick(now);
        let waiting = std::mem::take(&mut p.waiting);
        self.history.record(Instant::from_micros(now), EventKind::Recovered { process: n });
        self.pump(n);
        for what in waiting {
            match what {
                // Its disk had done it meanwhile.
                Do::Synced { process, group, epoch, number, fails } => {
                    let records = &mut self.procs[process].records;
                    match fails {
                        false => records.written(now, group, epoch, number),
                        true => records.write_failed(now, group, epoch),
                    }
                    self.pump(process);
                }
                other => self.happen(other),
            }
        }
    }

    /// A process is no more; what was on its way to the disk is there by a part of chance.
    fn kill(&mut self, n: usize, torn: bool) {
        let p = &mut self.procs[n];
        if !p.running {
            return;
        }
        p.running = false;
        let (machine, writing) = (p.machine, std::mem::take(&mut p.writing));
        self.faults_met += u64::from(!writing.is_empty());
        let there = if torn { writing.len() as u64 } else { self.chance(writing.len() as u64 + 1) };
        let disk = self.disks[machine].clone();
        if !disk.fails && !disk.full {
            // A store that is torn in the middle of its last write keeps all of it or nothing: that is what it is for.
            for (group, epoch, write) in writing.into_iter().take(there as usize) {
                store(&mut self.folders[machine], group, epoch, write);
            }
        }
        for c in &mut self.clients {
            // Whoever waits here gets no answer.
            if let Some((process, ..)) = &c.open {
                if *process == n {
                    self.faults_met += 1;
                }
            }
            if c.took.as_ref().is_some_and(|t| t.0 == n) {
                c.took = None;
            }
        }
        for c in 0..self.clients.len() {
            if self.clients[c].open.as_ref().is_some_and(|o| o.0 == n) {
                if let Some((process, _, began, key, call)) = self.clients[c].open.take() {
                    self.note(began, process, key, call, None);
                }
                self.think(c);
            }
        }
        self.history.record(Instant::from_micros(self.now), EventKind::Ended { process: n, graceful: false });
    }

    fn running_on(&self, machine: usize) -> Option<usize> {
        (0..self.procs.len()).rev().find(|n| self.procs[*n].machine == machine && self.procs[*n].running)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |p: &&Proc| p.running && p.records.replica(0).is_some_and(|(_, h)| h.raft.is_leader());
        let term = |p: &&Proc| p.records.replica(0).map(|(_, h)| h.raft.term());
        self.procs.iter().filter(leads).max_by_key(term).map(|p| p.machine)
    }

    fn begin(&mut self, i: usize) {
        let mut fault = self.script.faults[i].clone();
        fault.who = self.script.machines_of(&fault, self.leader());
        self.about.insert(i, fault.who.clone());
        if fault.kind.is_link() {
            self.links.begin(i, &fault);
            self.history.record(Instant::from_micros(self.now), EventKind::partitioned(self.links.cut()));
            return;
        }
        for m in fault.who.clone() {
            let there = self.running_on(m);
            match (fault.kind, there) {
                (Kind::Kill | Kind::Stop | Kind::KillTorn, Some(n)) => {
                    self.kill(n, fault.kind == Kind::KillTorn)
                }
                (Kind::Restart, Some(n)) => {
                    let now = self.now;
                    self.procs[n].records.transfer_leadership(now);
                    self.pump(n);
                    self.kill(n, false);
                    self.start(m);
                }
                (Kind::Lose, there) => {
                    there.into_iter().for_each(|n| self.kill(n, false));
                    self.folders[m] = Folder { id: self.rng.next_u64() | 1, ..Folder::default() };
                }
                (Kind::Pause, Some(n)) => {
                    self.procs[n].paused = true;
                    self.history.record(Instant::from_micros(self.now), EventKind::Impaired { process: n });
                }
                (Kind::Start | Kind::StartMoved, None) => self.start(m),
                (Kind::StartEmpty, None) => {
                    self.folders[m] = Folder { id: self.rng.next_u64() | 1, ..Folder::default() };
                    self.start(m);
                }
                (Kind::KeepCopy, _) => self.copies[m] = Some(self.folders[m].clone()),
                (Kind::StartOld, None) => {
                    // A copy is not the file that the store wrote: that is seen at the start, and the process is somebody new.
                    let id = self.rng.next_u64() | 1;
                    let seen = !matches!(self.broken, Some(Broken::Replica(Mutation::VotesWithOldStorage)));
                    if let Some(copy) = self.copies[m].clone() {
                        self.folders[m] = if seen { Folder { id, ..Folder::default() } } else { copy };
                    }
                    self.start(m);
                }
                (Kind::DiskSlow, _) => self.disks[m].slow_ms = fault.much,
                (Kind::DiskFails, _) => self.disks[m].fails = true,
                (Kind::DiskFull, _) => self.disks[m].full = true,
                (Kind::Recover, Some(n)) => {
                    for g in 0..self.holding.groups {
                        let _ = self.procs[n].records.recover(self.now, g);
                    }
                    self.pump(n);
                }
                _ => {}
            }
        }
        self.maybe_calm();
    }

    fn maybe_calm(&mut self) {
        let still = self.procs.iter().any(|p| p.running && p.paused);
        let sick = self.disks.iter().any(|d| d.fails || d.full || d.slow_ms > 0.0);
        if !self.links.are_broken() && !still && !sick {
            self.history.record(Instant::from_micros(self.now), EventKind::Healed);
        }
    }

    /// What membership would tell each: who was heard within some periods, both ways.
    fn members(&mut self) {
        let now = self.now;
        let there: Vec<(u64, usize, bool)> =
            self.procs.iter().filter(|p| p.running).map(|p| (p.id, p.machine, !p.paused)).collect();
        for n in 0..self.procs.len() {
            if !self.procs[n].running || self.procs[n].paused {
                continue;
            }
            let machine = self.procs[n].machine;
            for (id, m, well) in &there {
                let open = *m == machine
                    || self.links.of(machine, *m).is_open() && self.links.of(*m, machine).is_open();
                if *well && open {
                    self.procs[n].heard.insert(*id, now);
                }
            }
            let away = (AWAY * self.period as f64) as Micros;
            let machines: BTreeMap<u64, usize> = self.procs.iter().map(|p| (p.id, p.machine)).collect();
            let place = |(id, at): (&u64, &Micros)| MemberStatus {
                node: Node(*id),
                zone: format!("z{}", machines.get(id).copied().unwrap_or(0) % 3),
                alive: now - at < away,
            };
            let places = self.procs[n].heard.iter().map(place).collect();
            let p = &mut self.procs[n];
            p.records.update_members(now, places);
            // Its own timers bring the rest about.
            p.records.tick(now);
            self.pump(n);
        }
    }

    fn think(&mut self, c: usize) {
        let wait = self.chance((2e3 * self.holding.think_ms) as u64) as Micros;
        self.put(self.now + wait, Do::Client(c));
    }

    fn client(&mut self, c: usize) {
        if self.clients[c].open.is_some() {
            return;
        }
        let up: Vec<usize> =
            (0..self.procs.len()).filter(|n| self.procs[*n].running && !self.procs[*n].paused).collect();
        if up.is_empty() {
            return self.think(c);
        }
        let mut n = up[self.chance(up.len() as u64) as usize];
        let pick = self.chance(10);
        let (key, call, command);
        if let Some((at, k)) = self.clients[c].took.clone().filter(|t| self.procs[t.0].running) {
            // A process goes on with what it took: it ran, or it did not.
            n = at;
            if self.procs[n].paused {
                return self.think(c);
            }
            let by = self.procs[n].id;
            if self.chance(5) == 0 {
                (call, command) =
                    (Invocation::Release(by), Command::Give { key: k.clone(), may_have_run: false });
            } else {
                self.history.record(
                    Instant::from_micros(self.now),
                    EventKind::Effect { key: k.clone(), by: format!("p{n}") },
                );
                self.values += 1;
                let body = self.values.to_le_bytes().to_vec();
                let answer = StoredResponse { status: 200, lines: Vec::new(), body: Some(body) };
                call = Invocation::Complete(by, self.values);
                command = Command::Hold { key: k.clone(), window_ms: 3_600_000, answer };
            }
            self.clients[c].took = None;
            key = k;
        } else if pick < 4 {
            // Fresh keys come with time, so that each one's history stays short.
            let age = (self.now / (6 * self.period)).max(0) as u64;
            let back = if self.chance(4) == 0 { self.chance(age + 1) } else { 0 };
            key = format!("k{}-{}", age - back, self.chance(self.holding.keys as u64));
            call = Invocation::Claim(self.procs[n].id);
            command = Command::Take { key: key.clone(), window_ms: 3_600_000 };
        } else {
            let age = (self.now / (10 * self.period)).max(0) as u64;
            key = format!("d{age}-{}", self.chance(self.holding.keys as u64));
            let known = self.clients[c].known.get(&key).copied();
            let name = key.clone();
            match (pick, known) {
                (4..=5, _) => (call, command) = (Invocation::Get, Command::Get { name }),
                (6..=7, Some((version, old))) => {
                    self.values += 1;
                    call = Invocation::Cas(old, self.values);
                    let bytes = Some(self.values.to_le_bytes().to_vec());
                    command = Command::Put { name, expect: Some(version), bytes };
                }
                _ => {
                    self.values += 1;
                    call = Invocation::Put(self.values);
                    let bytes = Some(self.values.to_le_bytes().to_vec());
                    command = Command::Put { name, expect: None, bytes };
                }
            }
        }
        let now = self.now;
        let until = now + (PATIENCE * self.period as f64) as Micros;
        let records = &mut self.procs[n].records;
        let id = records.submit(now, records.group_of(&key), command, until);
        self.clients[c].open = Some((n, id, now, key, call));
        self.pump(n);
    }

    fn note(&mut self, began: Micros, process: usize, key: String, call: Invocation, answer: Option<Says>) {
        self.history.record_span(
            Instant::from_micros(began),
            Instant::from_micros(self.now),
            EventKind::Operation { process, key, invocation: call, answer },
        );
    }

    fn done(&mut self, process: usize, id: u64, outcome: Option<Outcome>) {
        let waits = |c: &Client| c.open.as_ref().is_some_and(|o| o.0 == process && o.1 == id);
        let Some(c) = self.clients.iter().position(waits) else { return };
        let Some((_, _, began, key, call)) = self.clients[c].open.take() else { return };
        let number = |b: &[u8]| b.try_into().map_or(0, u64::from_le_bytes);
        let by = self.procs[process].id;
        let answer = match (&call, outcome) {
            (Invocation::Put(v) | Invocation::Cas(_, v), Some(Outcome::Done(version))) => {
                self.clients[c].known.insert(key.clone(), (version, *v));
                self.versions.insert((key.clone(), version), *v);
                Some(Says::Done)
            }
            (_, Some(Outcome::Done(_))) => {
                if let Invocation::Complete(_, v) = call {
                    if self.procs[process]
                        .records
                        .is_fully_replicated(self.procs[process].records.group_of(&key))
                    {
                        self.marked.insert(key.clone(), v);
                        self.history.record(
                            Instant::from_micros(self.now),
                            EventKind::MarkedAnswer { key: key.clone(), answer: v.to_string() },
                        );
                    }
                }
                Some(Says::Done)
            }
            (_, Some(Outcome::Other(_) | Outcome::NotYours)) => Some(Says::Mismatch),
            (_, Some(Outcome::Document(version, bytes))) => {
                let value = bytes.map_or(0, |b| number(&b));
                if value > 0 {
                    self.clients[c].known.insert(key.clone(), (version, value));
                }
                Some(Says::Value(value))
            }
            (_, Some(Outcome::Take(TakeOutcome::Yours))) => {
                self.clients[c].took = Some((process, key.clone()));
                Some(Says::Claimed)
            }
            (_, Some(Outcome::Take(TakeOutcome::Busy { by: whose, .. }))) => {
                // Its own take, of another client's try: as much in the way as anybody's.
                let _ = (whose, by);
                Some(Says::InProgress)
            }
            (_, Some(Outcome::Take(TakeOutcome::Held(a)))) => {
                let v = a.body.map_or(0, |b| number(&b));
                if self.marked.contains_key(&key) {
                    self.history.record(
                        Instant::from_micros(self.now),
                        EventKind::MarkedAnswer { key: key.clone(), answer: v.to_string() },
                    );
                }
                Some(Says::Value(v))
            }
            _ => None,
        };
        self.note(began, process, key, call, answer);
        self.think(c);
    }
}

fn store(folder: &mut Folder, group: u32, epoch: Epoch, write: Write) {
    let held = folder.groups.entry(group).or_insert((epoch, PersistentState::default()));
    if held.0 != epoch {
        *held = (epoch, PersistentState::default());
    }
    held.1.apply(write);
}
