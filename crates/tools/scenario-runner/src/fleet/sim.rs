//! A fleet in simulated time: the deciding code of `silvercross-swim` on machines with folders, over the links of
//! [`super::links`]. One heap of events; equal seeds give equal runs.
use super::figures::FleetFigures;
use super::links::Links;
use super::script::{Fault, FleetScript, Kind};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use silvercross_history_checker::{EventKind, History, ListedMember, MemberList, MemberState};
use silvercross_swim::updates::MembershipUpdate;
use silvercross_swim::wire::{Fleet, Message, Packet, Sender};
use silvercross_swim::{Config, Event, Identity, Incarnation, Members, Mutant, Start, State};
use silvercross_time::Instant;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Microseconds.
type Micros = i64;
/// Datagrams that wait at a process that stands still: a socket holds no more.
const SOCKET_HOLDS: usize = 256;
/// How long a process that is asked to end stays, in periods.
const ENDS_AFTER: f64 = 4.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Do {
    Begin(usize),
    End(usize),
    Tick(usize),
    Datagram { from: usize, to: SocketAddr, bytes: Vec<u8> },
    Ask { from: usize, by: usize, to: SocketAddr, bytes: Vec<u8> },
    Answer { to: usize, bytes: Vec<u8> },
    Look,
    Gone(usize, bool),
    StartOn(usize),
}

/// What a machine keeps.
#[derive(Clone, Debug)]
struct Folder {
    id: Identity,
    born_ms: u64,
    life: u32,
    at: SocketAddr,
    list: Vec<SocketAddr>,
}

struct Proc {
    machine: usize,
    members: Members,
    running: bool,
    paused: bool,
    at: SocketAddr,
    waiting: VecDeque<Vec<u8>>,
    planned: Option<Micros>,
    own_folder: bool,
    /// Upstreams that its own list says are draining.
    listed: Vec<String>,
}

struct Sim<'s> {
    script: &'s FleetScript,
    links: Links,
    rng: Pcg32,
    now: Micros,
    period: Micros,
    heap: BinaryHeap<Reverse<(Micros, u64, Do)>>,
    order: u64,
    procs: Vec<Proc>,
    folders: Vec<Option<Folder>>,
    at: BTreeMap<SocketAddr, usize>,
    addresses: u32,
    history: History,
    config: Config,
    seq: u64,
    drained: Vec<String>,
    seed: u64,
    /// When each ended process was first held failed, and by how many.
    detected: BTreeMap<Identity, (Micros, Option<Micros>)>,
    false_failed: u64,
    /// All that were ever drawn into a folder and used.
    identities: std::collections::BTreeSet<Identity>,
}

/// Play a script in simulated time.
pub fn play(script: &FleetScript, seed: u64) -> FleetFigures {
    play_whole(script, seed).0
}

/// Play it, and keep the history.
pub fn play_whole(script: &FleetScript, seed: u64) -> (FleetFigures, History) {
    play_broken(script, seed, None)
}

/// Play it with members that are broken on purpose (only where the feature `mutants` is on).
pub fn play_broken(script: &FleetScript, seed: u64, mutant: Option<Mutant>) -> (FleetFigures, History) {
    let mut sim = Sim::new(script, seed, mutant);
    sim.run();
    let figures = sim.figures();
    let history = std::mem::take(&mut sim.history).sorted();
    (FleetFigures::judged(script, "virtual", seed, &history, figures), history)
}

/// A datagram that is to change nothing: another fleet's, another version's, or bytes of chance.
pub fn stranger(kind: Kind, ours: &Fleet, n: u64, rng: &mut impl RngCore) -> Vec<u8> {
    let from = Sender { id: Identity(n + 1), incarnation: Incarnation(1 << 32), nonce: n, number: n + 1 };
    let left = MembershipUpdate::Left { id: Identity(n + 2), incarnation: Incarnation(9 << 32) };
    let packet = Packet { from, message: Message::Gossip, updates: vec![left] };
    match kind {
        Kind::Foreign => Fleet::new("another", 7).encode_packet(&packet),
        Kind::Versions => {
            let mut bytes = ours.encode_packet(&packet);
            bytes[3] = 2 + (n % 200) as u8;
            bytes
        }
        _ => {
            let mut bytes = vec![0u8; 1 + (rng.next_u32() % 1_300) as usize];
            rng.fill_bytes(&mut bytes);
            bytes
        }
    }
}

impl<'s> Sim<'s> {
    fn new(script: &'s FleetScript, seed: u64, mutant: Option<Mutant>) -> Self {
        let period = (script.fleet.period_ms * 1e3) as Micros;
        let gather = (script.fleet.gather * period as f64) as Micros;
        let config = Config {
            fleet: Fleet::new(&script.name, u128::from(seed)),
            period,
            forget_after: (script.fleet.forget * period as f64) as Micros,
            mutant,
        };
        let mut sim = Sim {
            links: Links::new(script),
            rng: Pcg32::seed_from_u64(seed ^ 0xf1ee_7000),
            // The script's time 0 is when all have gathered; what was there before counts as there from the beginning.
            now: -gather,
            period,
            heap: BinaryHeap::new(),
            order: 0,
            procs: Vec::new(),
            folders: vec![None; script.fleet.members],
            at: BTreeMap::new(),
            addresses: 0,
            history: History::default(),
            config,
            seq: 1,
            drained: Vec::new(),
            seed,
            script,
            detected: BTreeMap::new(),
            false_failed: 0,
            identities: Default::default(),
        };
        let firsts: Vec<SocketAddr> = (0..script.fleet.members).map(|_| sim.address()).collect();
        for (machine, at) in firsts.iter().enumerate() {
            let seeds = firsts[..script.fleet.seeds].to_vec();
            sim.folders[machine] = Some(sim.new_folder(machine, *at, seeds));
            sim.start(machine, *at, true);
        }
        for (i, f) in script.faults.iter().enumerate() {
            let at = (f.at * period as f64) as Micros;
            sim.put(at, Do::Begin(i));
            if let Some(lasts) = f.lasts {
                sim.put(at + (lasts * period as f64) as Micros, Do::End(i));
            }
        }
        sim.put(0, Do::Look);
        sim
    }

    fn new_folder(&mut self, machine: usize, at: SocketAddr, list: Vec<SocketAddr>) -> Folder {
        let id = Identity(self.rng.next_u64() | 1);
        let born_ms = 1_000_000 + (self.now + 1_000_000_000).max(0) as u64 / 1000 + machine as u64;
        Folder { id, born_ms, life: 0, at, list }
    }

    fn address(&mut self) -> SocketAddr {
        self.addresses += 1;
        let [_, b, c, d] = self.addresses.to_be_bytes();
        SocketAddr::from(([10, b, c, d], 7946))
    }

    fn put(&mut self, at: Micros, what: Do) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, what)));
    }

    /// A process on a machine, with the machine's folder or (`own` false) with one of its own that is given up with it.
    fn start(&mut self, machine: usize, at: SocketAddr, own: bool) {
        let Some(mut folder) = self.folders[machine].clone() else { return };
        if !own {
            folder.list.extend(self.known_on(machine));
            folder = self.new_folder(machine, at, folder.list);
        }
        self.start_with(machine, at, folder, own);
    }

    fn start_with(&mut self, machine: usize, at: SocketAddr, mut folder: Folder, own: bool) {
        folder.life += 1;
        let (moved, fresh) = (folder.at != at, self.identities.insert(folder.id));
        folder.at = at;
        let number = self.procs.len();
        let start = Start {
            id: folder.id,
            start_number: folder.life,
            born_ms: folder.born_ms,
            moved,
            name: format!("n{machine}"),
            zone: format!("z{}", machine % 3),
            at,
            seeds: folder.list.clone(),
            seed: self.seed ^ (number as u64) << 20,
        };
        if own {
            self.folders[machine] = Some(folder);
        }
        let members = Members::new(self.config.clone(), start, self.now);
        self.procs.push(Proc {
            machine,
            members,
            running: true,
            paused: false,
            at,
            waiting: VecDeque::new(),
            planned: None,
            own_folder: own,
            listed: Vec::new(),
        });
        self.at.insert(at, number);
        self.detected.remove(&self.procs[number].members.me().id);
        self.history
            .record(Instant::from_micros(self.now), EventKind::Started { process: number, machine, fresh });
        self.procs[number].members.update_endpoint_list(self.seq.min(1), true, std::iter::empty());
        self.pump(number);
    }

    /// Carry out what a member wants, and plan when it wants to be woken.
    fn pump(&mut self, number: usize) {
        let machine = self.procs[number].machine;
        while let Some((to, bytes)) = self.procs[number].members.poll_send() {
            let Some(there) = self.machine_at(to) else { continue };
            for copy in self.links.carry(machine, there, bytes.len(), self.period, &mut self.rng) {
                let mut bytes = bytes.clone();
                copy.spoilt.into_iter().for_each(|bit| bytes[bit / 8] ^= 1 << (bit % 8));
                self.put(self.now + copy.after, Do::Datagram { from: machine, to, bytes });
            }
        }
        while let Some(x) = self.procs[number].members.poll_exchange() {
            let Some(there) = self.machine_at(x.to) else { continue };
            let (way, back) = (self.links.of(machine, there), self.links.of(there, machine));
            if way.is_open() && back.is_open() {
                let slow = if way.rate > 0.0 { (x.bytes.len() as f64 / way.rate * 1e6) as Micros } else { 0 };
                let at = self.now + 3 * way.delay + back.delay + slow;
                self.put(at, Do::Ask { from: machine, by: number, to: x.to, bytes: x.bytes });
            }
        }
        while let Some(event) = self.procs[number].members.poll_event() {
            if let Event::Changed { id, state: State::Failed, .. } = event {
                match self.detected.get_mut(&id) {
                    Some((_, first)) => {
                        first.get_or_insert(self.now);
                    }
                    None => {
                        let there = |p: &Proc| p.running && p.members.me().id == id;
                        self.false_failed += u64::from(self.procs.iter().any(there));
                    }
                }
            }
        }
        let wake = self.procs[number].members.next_deadline().max(self.now);
        let p = &mut self.procs[number];
        if p.running && !p.paused && p.planned.is_none_or(|at| at > wake) {
            p.planned = Some(wake);
            self.put(wake, Do::Tick(number));
        }
    }

    fn machine_at(&self, at: SocketAddr) -> Option<usize> {
        self.at.get(&at).map(|p| self.procs[*p].machine)
    }

    fn run(&mut self) {
        let end = (self.script.fleet.length * self.period as f64) as Micros;
        while let Some(Reverse((at, _, what))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(what);
        }
        self.now = end;
        self.look();
    }

    fn happen(&mut self, what: Do) {
        let now = self.now;
        match what {
            Do::Tick(number) => {
                let p = &mut self.procs[number];
                if p.planned != Some(now) {
                    return;
                }
                p.planned = None;
                if p.running && !p.paused {
                    p.members.tick(now);
                    self.pump(number);
                }
            }
            Do::Datagram { to, bytes, .. } => {
                let Some(number) = self.at.get(&to).copied() else { return };
                let p = &mut self.procs[number];
                if p.paused {
                    if p.waiting.len() < SOCKET_HOLDS {
                        p.waiting.push_back(bytes);
                    }
                } else if p.running {
                    p.members.handle_datagram(now, &bytes);
                    self.pump(number);
                }
            }
            Do::Ask { from, by, to, bytes } => {
                let Some(number) = self.at.get(&to).copied() else { return };
                let p = &mut self.procs[number];
                if !p.running || p.paused {
                    return;
                }
                let answer = p.members.handle_exchange(now, &bytes);
                let machine = p.machine;
                self.pump(number);
                let back = self.links.of(machine, from);
                if let (Ok(bytes), true) = (answer, back.is_open()) {
                    self.put(now + back.delay, Do::Answer { to: by, bytes });
                }
            }
            Do::Answer { to, bytes } => {
                let p = &mut self.procs[to];
                if p.running && !p.paused {
                    let _ = p.members.handle_exchange_response(now, &bytes);
                    self.pump(to);
                }
            }
            Do::Look => {
                self.look();
                let every = if self.script.fleet.look > 0.0 { self.script.fleet.look } else { 1.0 };
                self.put(now + (every * self.period as f64) as Micros, Do::Look);
            }
            Do::Begin(i) => self.begin(i),
            Do::End(i) => {
                let fault = self.script.faults[i].clone();
                if fault.kind.is_link() {
                    self.links.end(i);
                    self.history.record(Instant::from_micros(now), EventKind::partitioned(self.links.cut()));
                } else if fault.kind == Kind::Pause {
                    let here: Vec<usize> = (0..self.procs.len())
                        .filter(|n| self.procs[*n].paused && fault.who.contains(&self.procs[*n].machine))
                        .collect();
                    here.into_iter().for_each(|n| self.resume(n));
                }
                self.maybe_calm();
            }
            Do::Gone(number, told) => {
                self.gone(number, told);
                self.maybe_calm();
            }
            Do::StartOn(machine) => {
                if let (true, Some(folder)) = (self.running_on(machine).is_empty(), &self.folders[machine]) {
                    let at = folder.at;
                    self.start(machine, at, true);
                }
                self.maybe_calm();
            }
        }
    }

    fn resume(&mut self, number: usize) {
        let now = self.now;
        let p = &mut self.procs[number];
        if !p.paused || !p.running {
            return;
        }
        p.paused = false;
        // Its timers are looked at before what has come: as the program's loop does it.
        p.members.tick(now);
        let waiting = std::mem::take(&mut p.waiting);
        self.pump(number);
        for bytes in waiting {
            self.procs[number].members.handle_datagram(now, &bytes);
        }
        self.history.record(Instant::from_micros(now), EventKind::Recovered { process: number });
        self.pump(number);
    }

    fn gone(&mut self, number: usize, told: bool) {
        let now = self.now;
        let p = &mut self.procs[number];
        if !p.running {
            return;
        }
        p.running = false;
        let (machine, id, at, own) = (p.machine, p.members.me().id, p.at, p.own_folder);
        let list: Vec<SocketAddr> = p.members.others().map(|s| s.record.at).collect();
        if let Some(folder) = self.folders[machine].as_mut().filter(|_| own && !list.is_empty()) {
            // Those that it knew, and those that it was told of at its first start.
            let firsts: Vec<_> = folder.list.iter().take(self.script.fleet.seeds).copied().collect();
            folder.list = firsts.into_iter().chain(list).collect();
        }
        if self.at.get(&at) == Some(&number) {
            self.at.remove(&at);
        }
        if !told {
            self.detected.insert(id, (now, None));
        }
        self.history.record(Instant::from_micros(now), EventKind::Ended { process: number, graceful: told });
    }

    fn running_on(&self, machine: usize) -> Vec<usize> {
        (0..self.procs.len())
            .filter(|n| self.procs[*n].running && self.procs[*n].machine == machine)
            .collect()
    }

    fn begin(&mut self, i: usize) {
        let fault: Fault = self.script.faults[i].clone();
        let now = self.now;
        let period = self.period as f64;
        if fault.kind.is_link() {
            self.links.begin(i, &fault);
            self.history.record(Instant::from_micros(now), EventKind::partitioned(self.links.cut()));
            return self.maybe_calm();
        }
        for m in self.script.machines(&fault.who) {
            let running = self.running_on(m);
            match fault.kind {
                Kind::Kill => running.into_iter().for_each(|n| self.gone(n, false)),
                Kind::Stop | Kind::Restart => {
                    for n in running {
                        self.procs[n].members.leave();
                        self.pump(n);
                        let after = now + (ENDS_AFTER * period) as Micros;
                        self.put(after, Do::Gone(n, true));
                    }
                    if fault.kind == Kind::Restart {
                        self.put(now + ((ENDS_AFTER + 0.5) * period) as Micros, Do::StartOn(m));
                    }
                }
                Kind::Pause => {
                    for n in running {
                        self.procs[n].paused = true;
                        self.history.record(Instant::from_micros(now), EventKind::Impaired { process: n });
                    }
                }
                Kind::Start | Kind::StartEmpty | Kind::StartMoved => {
                    if !running.is_empty() {
                        continue;
                    }
                    let Some(old) = self.folders[m].clone() else { continue };
                    let at = if fault.kind == Kind::StartMoved { self.address() } else { old.at };
                    if fault.kind == Kind::StartEmpty {
                        let list = old.list.iter().take(self.script.fleet.seeds).copied().collect();
                        self.folders[m] = Some(self.new_folder(m, at, list));
                    }
                    self.start(m, at, true);
                }
                Kind::SecondName => {
                    let at = self.address();
                    self.start(m, at, false);
                }
                Kind::CopiedFolder => {
                    let Some(mut copy) = self.folders[m].clone() else { continue };
                    // The copy was made before the running process counted its start up.
                    copy.life = copy.life.saturating_sub(1);
                    copy.list.extend(self.known_on(m));
                    let at = self.address();
                    self.start_with(m, at, copy, false);
                }
                Kind::Foreign | Kind::Versions | Kind::Noise => self.strangers(m, &fault),
                Kind::Drain | Kind::ListAgain => {}
                _ => {}
            }
        }
        match fault.kind {
            Kind::Drain => {
                self.seq += 1;
                let host = format!("s-{}", self.seq);
                self.drained.push(host.clone());
                let machines = self.script.machines(&fault.who);
                self.history.record(Instant::from_micros(now), EventKind::DrainAnnounced { host, machines });
                self.tell_lists(&fault);
            }
            Kind::ListAgain => self.tell_lists(&fault),
            _ => {}
        }
        self.maybe_calm();
    }

    /// Whom a machine's process knows: what its folder lists by now.
    fn known_on(&self, machine: usize) -> Vec<SocketAddr> {
        let known = |n: usize| self.procs[n].members.others().map(|s| s.record.at);
        self.running_on(machine).into_iter().flat_map(known).collect()
    }

    fn tell_lists(&mut self, fault: &Fault) {
        let (seq, hosts) = (self.seq, self.drained.clone());
        for m in self.script.machines(&fault.who) {
            for n in self.running_on(m) {
                self.procs[n].members.update_endpoint_list(
                    seq,
                    true,
                    hosts.iter().map(|h| (h.as_str(), 7, true)),
                );
                self.procs[n].listed.clone_from(&hosts);
                self.pump(n);
            }
        }
    }

    /// Datagrams that are not this fleet's, over 20 periods.
    fn strangers(&mut self, machine: usize, fault: &Fault) {
        let Some(to) = self.running_on(machine).first().map(|n| self.procs[*n].at) else { return };
        let all = (fault.much * 20.0).min(100_000.0) as u64;
        for n in 0..all {
            let at = self.now + (n as f64 / all as f64 * 20.0 * self.period as f64) as Micros;
            let bytes = stranger(fault.kind, &self.config.fleet, n, &mut self.rng);
            self.put(at, Do::Datagram { from: machine, to, bytes });
        }
    }

    fn maybe_calm(&mut self) {
        let still = self.procs.iter().any(|p| p.running && p.paused);
        if !self.links.are_broken() && !still {
            self.history.record(Instant::from_micros(self.now), EventKind::Healed);
        }
    }

    fn look(&mut self) {
        let (now, drained) = (self.now, self.drained.clone());
        for (n, p) in self.procs.iter().enumerate().filter(|(_, p)| p.running && !p.paused) {
            let m = &p.members;
            let state = |s: State| match s {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Failed => MemberState::Failed,
                State::Left => MemberState::Left,
            };
            let seen = |s: &silvercross_swim::table::Member| ListedMember {
                identity: s.record.id.to_string(),
                state: state(s.state),
                incarnation: s.record.incarnation.0,
            };
            let look = MemberList {
                process: n,
                identity: m.me().id.to_string(),
                view: m.view().name().to_string(),
                senders: m.senders(),
                members: m.others().map(seen).collect(),
                draining: drained
                    .iter()
                    .filter(|h| m.is_draining(h, 7) || p.listed.contains(h))
                    .cloned()
                    .collect(),
            };
            self.history.record(Instant::from_micros(now), EventKind::MemberList(look));
        }
    }

    fn figures(&self) -> BTreeMap<String, f64> {
        let length = (self.now + (self.script.fleet.gather * self.period as f64) as Micros) as f64;
        let (periods, seconds) = (length / self.period as f64, length / 1e6);
        let per = self.script.fleet.members as f64;
        let sum = |f: fn(&silvercross_swim::Metrics) -> u64| -> f64 {
            self.procs.iter().map(|p| f(&p.members.metrics)).sum::<u64>() as f64
        };
        let mut all = BTreeMap::new();
        let mut put = |name: &str, v: f64| {
            all.insert(name.to_string(), v);
        };
        put("datagrams_per_period", sum(|f| f.sent) / per / periods);
        put("bytes_per_s", (sum(|f| f.sent_bytes) + sum(|f| f.exchanged_bytes)) / per / seconds);
        put("bytes_per_period", (sum(|f| f.sent_bytes) + sum(|f| f.exchanged_bytes)) / per / periods);
        put("exchanges", sum(|f| f.exchanges));
        put("probes_late", sum(|f| f.late_probes));
        put("suspicions", sum(|f| f.suspected));
        put("refuted", sum(|f| f.refuted));
        put("refutations", sum(|f| f.refutations));
        put("strange", sum(|f| f.foreign));
        put("spoilt", sum(|f| f.corrupt));
        put("version", sum(|f| f.unsupported_version));
        put("replayed", sum(|f| f.replayed));
        put("flood", sum(|f| f.rate_limited));
        put("false_failures", self.false_failed as f64);
        let found: Vec<f64> = self
            .detected
            .values()
            .filter_map(|(ended, first)| first.map(|f| (f - ended) as f64 / self.period as f64))
            .collect();
        if !found.is_empty() {
            put("detected_after", found.iter().copied().fold(0.0, f64::max));
        }
        all
    }
}
