//! A fleet of real processes on loopback: each with a folder of its own, reached through relays alone ([`super::relay`]). The
//! driver does what the script says at its time, asks each process for its list over its door, and writes the history. A run in
//! which this machine was late is void: processes would have been slower than the script says.
use super::figures::FleetFigures;
use super::links::Links;
use super::relay::{chance, machine_ip, Relays};
use super::script::{Fault, FleetScript, Kind, MOST_PROCESSES};
use super::sim::stranger;
use super::stand_ins::{ask, list_service, members, upstream, Lists};
use crate::sockets::{write_config, Files, Process, Program, Started};
use silvercross_members::wire::Fleet;
use silvercross_witness::{Event, Held, History, Look, Seen, What};
use slog::{info, Logger};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Processes have so long to start.
const START: Duration = Duration::from_secs(20);
/// A door or a client's request that takes longer has no answer.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// A run is void when the driver did something later than this part of a period.
const LATE: f64 = 1.0;
/// A drain's grace: what comes to it later than this after it was told to anybody came late.
const GRACE: Duration = Duration::from_millis(2_500);
/// Upstreams of the fleet.
const UPSTREAMS: usize = 3;

struct Proc {
    machine: usize,
    process: Option<Process>,
    front: SocketAddr,
    listen: Option<SocketAddr>,
    door: Option<SocketAddr>,
    paused: bool,
    asked_to_end: bool,
    asking: Arc<AtomicBool>,
}

struct Rig<'s> {
    script: &'s FleetScript,
    program: &'s Program,
    seed: u64,
    folder: tempfile::TempDir,
    relays: Relays,
    procs: Vec<Proc>,
    /// Where the first process of each machine is reached, and its folder's number.
    fronts: Vec<SocketAddr>,
    folders: Vec<usize>,
    made: usize,
    lists: Arc<Mutex<Lists>>,
    services: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
    history: Arc<Mutex<History>>,
    origin: Instant,
    period: Duration,
    started: (Sender<Started>, Receiver<Started>),
    wake: (UnixStream, UnixStream),
    late: Duration,
    asked: Arc<AtomicU64>,
    /// Machines whose process is to be started again once it has ended.
    again: Vec<usize>,
    /// Drains told, and when; and what came to each upstream.
    drained: Vec<(String, Instant)>,
    hits: Arc<Mutex<Vec<(String, Instant)>>>,
    /// What the processes counted, at the last look.
    sums: BTreeMap<String, f64>,
    log: Logger,
}

/// Play a script on real processes. The error is one plain line.
pub fn play(
    script: &FleetScript,
    seed: u64,
    program: &Program,
    log: &Logger,
) -> Result<FleetFigures, String> {
    if script.fleet.members > MOST_PROCESSES {
        return Err(format!("fleet.members: {MOST_PROCESSES} processes at most on sockets"));
    }
    let mut rig =
        Rig::new(script, seed, program, log).map_err(|e| format!("cannot set the fleet up: {e}"))?;
    let ended = rig.run();
    rig.over.store(true, Ordering::Relaxed);
    let (late, period) = (rig.late, rig.period);
    let relay_late = Duration::from_micros(rig.relays.late.load(Ordering::Relaxed));
    let mut figures = BTreeMap::new();
    figures.insert("datagrams".to_string(), rig.relays.carried.load(Ordering::Relaxed) as f64);
    figures.insert("datagrams_lost".to_string(), rig.relays.lost.load(Ordering::Relaxed) as f64);
    figures.insert("driver_late".to_string(), late.as_secs_f64() / period.as_secs_f64());
    figures.insert("relay_late".to_string(), relay_late.as_secs_f64() / period.as_secs_f64());
    figures.extend(rig.sums.clone());
    for (host, at) in &rig.drained {
        let late = lock(&rig.hits).iter().filter(|(h, t)| h == host && *t > *at + GRACE).count();
        figures.insert(format!("drained_late.{host}"), late as f64);
    }
    // Clients still under way note their answers.
    rig.procs.iter().for_each(|p| p.asking.store(false, Ordering::Relaxed));
    thread::sleep(Duration::from_millis(50));
    let history = std::mem::take(&mut *lock(&rig.history)).sorted();
    drop(rig);
    if let Ok(path) = std::env::var("SILVERCROSS_HISTORY") {
        let text = serde_json::to_string(&history).unwrap_or_default();
        let _ = std::fs::write(path, text);
    }
    let mut judged = FleetFigures::judged(script, "sockets", seed, &history, figures);
    let too_late = late.max(relay_late).as_secs_f64() > LATE * period.as_secs_f64();
    if let Err(why) = ended {
        judged.void = Some(why);
    } else if too_late {
        judged.void = Some(format!("this machine was late by {:.3} s", late.max(relay_late).as_secs_f64()));
    }
    Ok(judged)
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl<'s> Rig<'s> {
    fn new(script: &'s FleetScript, seed: u64, program: &'s Program, log: &Logger) -> std::io::Result<Self> {
        let period = Duration::from_secs_f64(script.fleet.period_ms / 1e3);
        let relays = Relays::new(Links::new(script), period.as_micros() as i64, seed)?;
        let over: Arc<AtomicBool> = Arc::default();
        let mut lists = Lists { seq: 1, hosts: Vec::new(), at: vec![1; script.fleet.members] };
        let hits: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
        for n in 0..UPSTREAMS {
            let name = format!("s-{n}");
            lists.hosts.push((name.clone(), upstream(name, hits.clone(), over.clone())?, 0));
        }
        let lists = Arc::new(Mutex::new(lists));
        let services = (0..script.fleet.members)
            .map(|m| list_service(m, lists.clone(), over.clone()))
            .collect::<std::io::Result<Vec<_>>>()?;
        let fronts =
            (0..script.fleet.members).map(|m| relays.front(m)).collect::<std::io::Result<Vec<_>>>()?;
        Ok(Rig {
            folder: tempfile::Builder::new().prefix("rehearse-fleet-").tempdir()?,
            procs: Vec::new(),
            folders: (0..script.fleet.members).collect(),
            made: script.fleet.members,
            history: Arc::default(),
            origin: Instant::now(),
            started: channel(),
            wake: UnixStream::pair()?,
            late: Duration::ZERO,
            asked: Arc::default(),
            again: Vec::new(),
            sums: BTreeMap::new(),
            drained: Vec::new(),
            hits,
            log: log.clone(),
            script,
            program,
            seed,
            relays,
            fronts,
            lists,
            services,
            over,
            period,
        })
    }

    /// Microseconds since the script's time 0; below 0 while members gather.
    fn now(&self) -> i64 {
        let gather = self.period.mul_f64(self.script.fleet.gather);
        self.origin.elapsed().as_micros() as i64 - gather.as_micros() as i64
    }

    fn note(&self, what: What) {
        lock(&self.history).now(self.now(), what);
    }

    fn folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("disk-{number}"))
    }

    fn start(&mut self, machine: usize, front: SocketAddr, folder: &Path) -> Result<usize, String> {
        let number = self.procs.len();
        let fleet = &self.script.fleet;
        let seeds: Vec<String> =
            self.fronts[..fleet.seeds].iter().map(|a| format!("{:?}", a.to_string())).collect();
        let text = format!(
            "name = {:?}\nidentity = \"{:032x}\"\nlisten = \"{}:0\"\nadvertise = \"{front}\"\nzone = \"z{}\"\nfolder = {:?}\n\
             period_ms = {:?}\nforget_s = {:?}\nseeds = [{}]\n",
            self.script.name,
            self.seed,
            machine_ip(machine),
            machine % 3,
            folder.display().to_string(),
            fleet.period_ms,
            fleet.forget * fleet.period_ms / 1e3,
            seeds.join(", ")
        );
        let file = self.folder.path().join(format!("fleet-{number}.toml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let config = serde_json::json!({
            "name": format!("n{machine}"), "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
            "discovery": self.services[machine].to_string(), "seed": format!("{:016x}", self.seed ^ number as u64),
            "limits": {"memory_mb": 64, "sockets": 512}, "known": lock(&self.lists).json(machine),
            "settings": {"areas": ["a"], "shapes": ["k"], "discovery": "on_request",
                "classes": [{"name": "read", "effect": "repeatable", "aim_s": 0.5, "deadline_s": 2.0}],
                "limits": {"attempts_cap": 3, "connect_timeout_s": 0.25, "may_cancel": true, "second_copies": true}, "rules": {}},
        });
        let path = write_config(self.folder.path(), number, &config)?;
        let fresh = !folder.join("member.toml").exists();
        let wake = self.wake.0.try_clone().map_err(|e| e.to_string())?;
        let files = Files { config: &path, fleet: Some(&file) };
        let process = Process::start(self.program, &[], files, number, 1, self.started.0.clone(), wake)?;
        self.note(What::Started { process: number, machine, fresh });
        self.procs.push(Proc {
            machine,
            process: Some(process),
            front,
            listen: None,
            door: None,
            paused: false,
            asked_to_end: false,
            asking: Arc::new(AtomicBool::new(true)),
        });
        Ok(number)
    }

    /// Take in what has been said by processes that have started.
    fn heard(&mut self) -> Result<(), String> {
        while let Ok(s) = self.started.1.try_recv() {
            let rate = self.script.fleet.requests_per_s;
            let Some(p) = self.procs.get_mut(s.number) else { continue };
            let (Some(fleet), Some(door), Some(at)) = (s.fleet, s.management, s.at) else {
                if p.process.is_some() {
                    let last = p.process.as_ref().map_or(String::new(), Process::last_line);
                    return Err(format!("process {} did not start: {last}", s.number));
                }
                continue;
            };
            (p.listen, p.door) = (Some(fleet), Some(door));
            self.relays.net().fronts.insert(p.front, (p.machine, Some(fleet)));
            if rate > 0.0 {
                let (asking, asked, history) = (p.asking.clone(), self.asked.clone(), self.history.clone());
                let (origin, gather) = (self.origin, self.period.mul_f64(self.script.fleet.gather));
                let process = s.number;
                thread::spawn(move || {
                    let now = || origin.elapsed().as_micros() as i64 - gather.as_micros() as i64;
                    while asking.load(Ordering::Relaxed) {
                        let began = now();
                        let status = ask(at, asked.fetch_add(1, Ordering::Relaxed) + 1, PATIENCE);
                        // Whoever asked a process that was just ended or stopped was owed nothing.
                        if asking.load(Ordering::Relaxed) && began > 0 {
                            lock(&history).took(began, now(), What::Request { process, status });
                        }
                        thread::sleep(Duration::from_secs_f64(1.0 / rate));
                    }
                });
            }
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        for m in 0..self.script.fleet.members {
            let folder = self.folder(m);
            self.start(m, self.fronts[m], &folder)?;
        }
        let began = Instant::now();
        while self.procs.iter().any(|p| p.listen.is_none()) {
            self.heard()?;
            if began.elapsed() > START {
                return Err("the processes did not start in time".into());
            }
            thread::sleep(Duration::from_millis(5));
        }
        info!(self.log, "all processes are up"; "processes" => self.procs.len());
        self.origin = Instant::now();
        for e in &mut lock(&self.history).events {
            // There from the beginning.
            (e.at, e.end) = (i64::MIN / 4, i64::MIN / 4);
        }
        let period = self.period.as_micros() as f64;
        let mut plan: Vec<(i64, bool, usize)> = Vec::new();
        for (i, f) in self.script.faults.iter().enumerate() {
            plan.push(((f.at * period) as i64, true, i));
            plan.extend(f.lasts.map(|l| (((f.at + l) * period) as i64, false, i)));
        }
        plan.sort_by_key(|p| p.0);
        let (mut plan, end) = (plan.into_iter().peekable(), (self.script.fleet.length * period) as i64);
        let every = if self.script.fleet.look > 0.0 { self.script.fleet.look } else { 1.0 };
        let mut next_look = 0i64;
        let mut waste = [0; 64];
        let _ = self.wake.1.set_nonblocking(true);
        while self.now() < end {
            while matches!(self.wake.1.read(&mut waste), Ok(n) if n > 0) {}
            self.heard()?;
            self.mind_ended()?;
            while let Some((at, begins, i)) = plan.next_if(|p| p.0 <= self.now()) {
                let behind = (self.now() - at).max(0) as u64;
                self.late = self.late.max(Duration::from_micros(behind));
                let fault = self.script.faults[i].clone();
                if begins {
                    self.begin(i, &fault)?;
                } else {
                    self.end(i, &fault);
                }
            }
            if self.now() >= next_look {
                self.look();
                next_look = (next_look + (every * period) as i64).max(self.now() - period as i64);
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.look();
        Ok(())
    }

    /// Ask each process for its list, all at once: one that is slow holds no other up.
    fn look(&mut self) {
        let doors: Vec<(usize, SocketAddr)> = (0..self.procs.len())
            .filter(|n| {
                self.procs[*n].process.is_some() && !self.procs[*n].paused && !self.procs[*n].asked_to_end
            })
            .filter_map(|n| Some((n, self.procs[n].door?)))
            .collect();
        let began = self.now();
        let told: Vec<(usize, Option<serde_json::Value>)> = thread::scope(|scope| {
            let asks: Vec<_> = doors
                .into_iter()
                .map(|(n, door)| (n, scope.spawn(move || members(door, Duration::from_millis(400)))))
                .collect();
            asks.into_iter().map(|(n, a)| (n, a.join().ok().flatten())).collect()
        });
        let end = self.now();
        let mut sums: BTreeMap<String, f64> = BTreeMap::new();
        for (n, value) in told {
            let Some(v) = value else { continue };
            for (name, value) in v["figures"].as_object().into_iter().flatten() {
                *sums.entry(name.clone()).or_default() += value.as_f64().unwrap_or(0.0);
            }
            lock(&self.history).events.push(Event { at: began, end, what: What::Look(as_look(n, &v)) });
        }
        self.sums = sums;
    }

    fn mind_ended(&mut self) -> Result<(), String> {
        for n in 0..self.procs.len() {
            let p = &mut self.procs[n];
            let Some(how) = p.process.as_mut().and_then(Process::has_ended) else { continue };
            if !p.asked_to_end {
                return Err(format!("process {n} ended by itself: {how}"));
            }
            let machine = p.machine;
            p.process = None;
            self.note(What::Ended { process: n, told: true });
            if let Some(i) = self.again.iter().position(|m| *m == machine) {
                self.again.swap_remove(i);
                let folder = self.folder(self.folders[machine]);
                self.start(machine, self.fronts[machine], &folder)?;
            }
            self.maybe_calm();
        }
        Ok(())
    }

    fn running_on(&self, machine: usize) -> Vec<usize> {
        (0..self.procs.len())
            .filter(|n| self.procs[*n].machine == machine && self.procs[*n].process.is_some())
            .collect()
    }

    fn begin(&mut self, i: usize, fault: &Fault) -> Result<(), String> {
        if fault.kind.is_link() {
            let cut = {
                let mut net = self.relays.net();
                net.links.begin(i, fault);
                net.links.cut()
            };
            self.note(What::Cut { pairs: cut });
            return Ok(());
        }
        for m in self.script.machines(&fault.who) {
            for n in self.running_on(m) {
                self.do_to(n, fault.kind);
            }
            match fault.kind {
                Kind::Restart => self.again.push(m),
                Kind::Start | Kind::StartEmpty | Kind::StartMoved if self.running_on(m).is_empty() => {
                    if fault.kind == Kind::StartEmpty {
                        self.folders[m] = self.made;
                        self.made += 1;
                    }
                    if fault.kind == Kind::StartMoved {
                        self.fronts[m] = self.relays.front(m).map_err(|e| e.to_string())?;
                    }
                    let folder = self.folder(self.folders[m]);
                    self.start(m, self.fronts[m], &folder)?;
                }
                Kind::SecondName | Kind::CopiedFolder => {
                    let (own, new) = (self.folder(self.folders[m]), self.folder(self.made));
                    self.made += 1;
                    if fault.kind == Kind::CopiedFolder {
                        let copied = std::fs::create_dir_all(&new)
                            .and_then(|()| std::fs::copy(own.join("member.toml"), new.join("member.toml")));
                        copied.map_err(|e| format!("the folder can't be copied: {e}"))?;
                    }
                    let front = self.relays.front(m).map_err(|e| e.to_string())?;
                    self.start(m, front, &new)?;
                }
                Kind::Foreign | Kind::Versions | Kind::Noise => self.strangers(m, fault),
                _ => {}
            }
        }
        match fault.kind {
            Kind::Drain | Kind::ListAgain => {
                let mut lists = lock(&self.lists);
                if fault.kind == Kind::Drain {
                    lists.seq += 1;
                    let seq = lists.seq;
                    if let Some(host) = lists.hosts.iter_mut().find(|h| h.2 == 0) {
                        host.2 = seq;
                        let host = host.0.clone();
                        let machines = self.script.machines(&fault.who);
                        self.drained.push((host.clone(), Instant::now()));
                        lock(&self.history).now(self.now(), What::DrainTold { host, machines });
                    }
                }
                let seq = lists.seq;
                for m in self.script.machines(&fault.who) {
                    lists.at[m] = seq;
                }
            }
            _ => {}
        }
        self.maybe_calm();
        Ok(())
    }

    fn do_to(&mut self, n: usize, kind: Kind) {
        let p = &mut self.procs[n];
        match kind {
            Kind::Kill => {
                p.asking.store(false, Ordering::Relaxed);
                // Dropping it kills it.
                p.process = None;
                let front = p.front;
                let machine = p.machine;
                self.relays.net().fronts.insert(front, (machine, None));
                self.note(What::Ended { process: n, told: false });
            }
            Kind::Stop | Kind::Restart => {
                p.asking.store(false, Ordering::Relaxed);
                p.asked_to_end = true;
                if let Some(process) = &p.process {
                    process.ask_to_stop();
                }
            }
            Kind::Pause => {
                p.asking.store(false, Ordering::Relaxed);
                p.paused = true;
                if let Some(process) = &p.process {
                    process.signal("STOP");
                }
                self.note(What::Hampered { process: n });
            }
            _ => {}
        }
    }

    fn end(&mut self, i: usize, fault: &Fault) {
        if fault.kind.is_link() {
            let cut = {
                let mut net = self.relays.net();
                net.links.end(i);
                net.links.cut()
            };
            self.note(What::Cut { pairs: cut });
        } else if fault.kind == Kind::Pause {
            for n in 0..self.procs.len() {
                let p = &mut self.procs[n];
                if p.paused && (fault.who.is_empty() || fault.who.contains(&p.machine)) {
                    p.paused = false;
                    if let Some(process) = &p.process {
                        process.signal("CONT");
                    }
                    self.note(What::Free { process: n });
                }
            }
        }
        self.maybe_calm();
    }

    fn maybe_calm(&mut self) {
        let still = self.procs.iter().any(|p| p.process.is_some() && p.paused);
        if !self.relays.net().links.are_broken() && !still {
            self.note(What::Calm);
        }
    }

    /// Datagrams that are not this fleet's, from nowhere, spread over 20 periods.
    fn strangers(&self, machine: usize, fault: &Fault) {
        let Some(to) = self.running_on(machine).first().map(|n| self.procs[*n].front) else { return };
        let (kind, all) = (fault.kind, (fault.much * 20.0).min(100_000.0) as u64);
        let (over, pause) = (self.over.clone(), self.period.mul_f64(20.0 / (all.max(1) as f64)));
        let (ours, seed) = (Fleet::new(&self.script.name, u128::from(self.seed)), self.seed);
        thread::spawn(move || {
            let mut rng = chance(seed);
            let Ok(socket) = UdpSocket::bind(("127.0.0.1", 0)) else { return };
            for n in 0..all {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let _ = socket.send_to(&stranger(kind, &ours, n, &mut rng), to);
                thread::sleep(pause);
            }
        });
    }
}

/// A process' own words as the judge takes them.
fn as_look(by: usize, v: &serde_json::Value) -> Look {
    let text = |v: &serde_json::Value| v.as_str().unwrap_or("").to_string();
    let state = |s: &str| match s {
        "alive" => Held::Alive,
        "suspect" => Held::Suspect,
        "left" => Held::Left,
        _ => Held::Failed,
    };
    let seen = |o: &serde_json::Value| Seen {
        id: text(&o["id"]),
        state: state(o["state"].as_str().unwrap_or("")),
        incarnation: o["incarnation"].as_u64().unwrap_or(0),
    };
    Look {
        by,
        id: text(&v["id"]),
        view: text(&v["view"]),
        senders: v["senders"].as_u64().map(|n| n as usize),
        others: v["others"].as_array().into_iter().flatten().map(seen).collect(),
        drains: v["drains"].as_array().into_iter().flatten().map(text).collect(),
    }
}
