//! A fleet of real processes on loopback: each with a folder of its own, reached through relays alone ([`super::relay`]). The
//! driver does what the script says at its time, asks each process for its list over its door, and writes the history. A run in
//! which this machine was late is void: processes would have been slower than the script says.
use super::figures::FleetFigures;
use super::links::Links;
use super::relay::{chance, machine_ip, Relays};
use super::script::{Fault, FleetScript, Kind, MOST_PROCESSES};
use super::sim::stranger;
use super::stand_ins::{ask, list_service, members, told, upstream, Effects, Lists};
use crate::records::clients::{self, Shared, Target};
use crate::records::disk;
use crate::sockets::{write_config, Files, Process, Program, Started};
use silvercross_history_checker::{Event, EventKind, History, ListedMember, MemberList, MemberState};
use silvercross_swim::wire::Fleet;
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
/// Marked answers that are asked for again of each process at the end, and for how long at most.
const AGAIN_MOST: usize = 200;
const AGAIN_FOR: Duration = Duration::from_secs(15);
/// Upstreams of the fleet.
const UPSTREAMS: usize = 3;

struct Proc {
    machine: usize,
    process: Option<Process>,
    front: SocketAddr,
    listen: Option<SocketAddr>,
    door: Option<SocketAddr>,
    /// Where applications reach it.
    at: Option<SocketAddr>,
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
    /// The origin, as upstreams know it.
    clock: Arc<Mutex<Instant>>,
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
    /// What clients of the records share, where there are any.
    shared: Option<Shared>,
    /// Copies of folders kept aside, by machine.
    copies: BTreeMap<usize, PathBuf>,
    /// Machines that a fault with `leader` was about.
    about: BTreeMap<usize, Vec<usize>>,
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
    if script.records.is_some() {
        crate::records::judge(script, &history, &mut judged);
        judged.expected(script);
    }
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
        let (history, origin): (Arc<Mutex<History>>, _) = (Arc::default(), Instant::now());
        let clock: Arc<Mutex<Instant>> = Arc::new(Mutex::new(origin));
        for n in 0..UPSTREAMS {
            let name = format!("s-{n}");
            let effects = Effects {
                history: history.clone(),
                origin: clock.clone(),
                gather: period.mul_f64(script.fleet.gather).as_micros() as i64,
            };
            lists.hosts.push((name.clone(), upstream(name, hits.clone(), effects, over.clone())?, 0));
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
            history,
            clock,
            origin,
            started: channel(),
            wake: UnixStream::pair()?,
            late: Duration::ZERO,
            asked: Arc::default(),
            again: Vec::new(),
            shared: None,
            copies: BTreeMap::new(),
            about: BTreeMap::new(),
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

    fn note(&self, what: EventKind) {
        lock(&self.history).record(silvercross_time::Instant::from_micros(self.now()), what);
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
        ) + &self.records_table();
        let file = self.folder.path().join(format!("fleet-{number}.toml"));
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let config = serde_json::json!({
            "name": format!("n{machine}"), "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
            "discovery": self.services[machine].to_string(), "seed": format!("{:016x}", self.seed ^ number as u64),
            "limits": {"memory_mb": 64, "sockets": 512}, "known": lock(&self.lists).json(machine),
            "settings": {"areas": ["a", "b", "c"], "my_zone": machine % 3, "shapes": ["k"], "discovery": "on_request",
                "classes": [{"name": "read", "effect": "repeatable", "aim_s": 0.5, "deadline_s": 2.0},
                    {"name": "pay", "effect": "by_key", "dedup_scope": "zone", "key_ttl_s": 60.0, "aim_s": 0.5, "deadline_s": 2.0}],
                "limits": {"attempts_cap": 3, "connect_timeout_s": 0.25, "may_cancel": true, "second_copies": true}, "rules": {}},
        });
        let path = write_config(self.folder.path(), number, &config)?;
        let fresh = !folder.join("member.toml").exists();
        let wake = self.wake.0.try_clone().map_err(|e| e.to_string())?;
        let files = Files { config: &path, fleet: Some(&file) };
        let process = Process::start(self.program, &[], files, number, 1, self.started.0.clone(), wake)?;
        self.note(EventKind::Started { process: number, machine, fresh });
        self.procs.push(Proc {
            machine,
            process: Some(process),
            front,
            listen: None,
            door: None,
            at: None,
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
            (p.listen, p.door, p.at) = (Some(fleet), Some(door), Some(at));
            self.relays.net().fronts.insert(p.front, (p.machine, Some(fleet)));
            if let Some(shared) = &self.shared {
                lock(&shared.targets).push(Target { process: s.number, front: at, door });
            }
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
                            lock(&history).record_span(
                                silvercross_time::Instant::from_micros(began),
                                silvercross_time::Instant::from_micros(now()),
                                EventKind::Request { process, status },
                            );
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
        *lock(&self.clock) = self.origin;
        self.begin_records()?;
        for e in &mut lock(&self.history).events {
            // There from the beginning.
            let long_ago = silvercross_time::Instant::from_micros(i64::MIN / 4);
            (e.began, e.ended) = (long_ago, long_ago);
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
        self.end_records();
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
            lock(&self.history).events.push(Event {
                began: silvercross_time::Instant::from_micros(began),
                ended: silvercross_time::Instant::from_micros(end),
                kind: EventKind::MemberList(as_look(n, &v)),
            });
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
            self.note(EventKind::Ended { process: n, graceful: true });
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
        let mut fault = fault.clone();
        if fault.leader {
            fault.who = self.script.machines_of(&fault, self.records_leader());
            self.about.insert(i, fault.who.clone());
        }
        let fault = &fault;
        if fault.kind.is_link() {
            let cut = {
                let mut net = self.relays.net();
                net.links.begin(i, fault);
                net.links.cut()
            };
            self.note(EventKind::partitioned(cut));
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
                Kind::Lose => {
                    self.folders[m] = self.made;
                    self.made += 1;
                }
                Kind::KeepCopy => {
                    let (own, copy) = (self.folder(self.folders[m]), self.folder(self.made));
                    self.made += 1;
                    copy_folder(&own, &copy).map_err(|e| format!("the folder can't be copied: {e}"))?;
                    self.copies.insert(m, copy);
                }
                Kind::StartOld if self.running_on(m).is_empty() => {
                    let folder = self.folder(self.folders[m]);
                    if let Some(copy) = self.copies.get(&m).cloned() {
                        // In place (`much` 1): each file keeps its own; else as a restore makes them, anew.
                        let put = if fault.much > 0.0 {
                            restore_in_place(&copy, &folder)
                        } else {
                            std::fs::remove_dir_all(&folder).and_then(|()| copy_folder(&copy, &folder))
                        };
                        put.map_err(|e| format!("the folder can't be put back: {e}"))?;
                    }
                    self.start(m, self.fronts[m], &folder)?;
                }
                Kind::DiskSlow => self.disk_is(m, &format!("slow {}", fault.much)),
                Kind::DiskFails => self.disk_is(m, "fail"),
                Kind::DiskFull => self.disk_is(m, "full"),
                Kind::Recover => {
                    if let Some(door) = self.running_on(m).first().and_then(|n| self.procs[*n].door) {
                        for group in 0..self.script.records.as_ref().map_or(0, |r| r.groups) {
                            let line = format!(
                                "POST /admin/records/recover?group={group} HTTP/1.1\r\nHost: door\r\n\r\n"
                            );
                            let said = clients::call(door, &line, PATIENCE);
                            info!(self.log, "recovered"; "machine" => m, "said" => ?said);
                        }
                    }
                }
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
                        lock(&self.history).record(
                            silvercross_time::Instant::from_micros(self.now()),
                            EventKind::DrainAnnounced { host, machines },
                        );
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
            Kind::Kill | Kind::Lose | Kind::KillTorn => {
                if kind == Kind::KillTorn {
                    // Its disk tears with the next sync, and takes the process with it; if none comes soon it is killed all the same.
                    let folder = self.folder.path().join(format!("disk-{}", self.folders[p.machine]));
                    let _ = std::fs::write(disk::control(&folder.join("records.redb")), "torn");
                    thread::sleep(Duration::from_millis(100));
                    let _ = std::fs::remove_file(disk::control(&folder.join("records.redb")));
                }
                p.asking.store(false, Ordering::Relaxed);
                // Dropping it kills it.
                p.process = None;
                let front = p.front;
                let machine = p.machine;
                self.untarget(n);
                self.relays.net().fronts.insert(front, (machine, None));
                self.note(EventKind::Ended { process: n, graceful: false });
            }
            Kind::Stop | Kind::Restart => {
                p.asking.store(false, Ordering::Relaxed);
                p.asked_to_end = true;
                if let Some(process) = &p.process {
                    process.ask_to_stop();
                }
                self.untarget(n);
            }
            Kind::Pause => {
                p.asking.store(false, Ordering::Relaxed);
                p.paused = true;
                if let Some(process) = &p.process {
                    process.signal("STOP");
                }
                self.note(EventKind::Impaired { process: n });
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
            self.note(EventKind::partitioned(cut));
        } else if matches!(fault.kind, Kind::DiskSlow | Kind::DiskFails | Kind::DiskFull) {
            let who = self.about.remove(&i).unwrap_or_else(|| self.script.machines(&fault.who));
            who.into_iter().for_each(|m| self.disk_is(m, ""));
        } else if fault.kind == Kind::Pause {
            let who = self.about.remove(&i).unwrap_or_else(|| fault.who.clone());
            for n in 0..self.procs.len() {
                let p = &mut self.procs[n];
                if p.paused && (who.is_empty() || who.contains(&p.machine)) {
                    p.paused = false;
                    if let Some(process) = &p.process {
                        process.signal("CONT");
                    }
                    self.note(EventKind::Recovered { process: n });
                }
            }
        }
        self.maybe_calm();
    }

    // --- what the fleet holds ---

    fn records_table(&self) -> String {
        let (Some(r), f) = (&self.script.records, &self.script.fleet) else { return String::new() };
        format!(
            "[records]\ngroups = {}\nholders = {}\nelection_ms = {:?}\nask_ms = 400.0\nreplace_after_s = {:?}\nsnapshot_every = {}\n\
             [[records.class]]\nname = \"pay\"\nwindow_s = 3600.0\nwithout = \"{}\"\n",
            r.groups,
            r.holders,
            r.election * f.period_ms,
            (r.replace_after * f.period_ms / 1e3).max(1.0),
            r.snapshot_every.max(16),
            if r.refuse { "refuse" } else { "serve" }
        )
    }

    /// Found the records, wait until each group has its holders, and let the clients begin.
    fn begin_records(&mut self) -> Result<(), String> {
        let Some(r) = self.script.records.clone() else { return Ok(()) };
        let door = self.procs.first().and_then(|p| p.door).ok_or("no process to found the records at")?;
        // Its members first: a group grows with those it knows.
        thread::sleep(self.period.mul_f64((self.script.fleet.gather - 5.0).max(1.0)));
        let line = "POST /admin/records/found HTTP/1.1\r\nHost: door\r\n\r\n";
        let said = clients::call(door, line, PATIENCE);
        if said.as_ref().is_none_or(|s| s.0 != 200) {
            return Err(format!("the records could not be founded: {said:?}"));
        }
        let began = Instant::now();
        loop {
            let v = told(door, "/admin/records", PATIENCE).unwrap_or_default();
            let voters = |g: &serde_json::Value| g["known"]["voters"].as_array().map_or(0, Vec::len);
            let groups = v["groups"].as_array().cloned().unwrap_or_default();
            if !groups.is_empty()
                && groups.iter().all(|g| voters(g) >= r.holders.min(self.script.fleet.members))
            {
                break;
            }
            if began.elapsed() > START {
                return Err(format!("the groups did not get their holders in time: {v}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        info!(self.log, "the records are founded and whole"; "after_s" => began.elapsed().as_secs_f64());
        self.origin = Instant::now();
        *lock(&self.clock) = self.origin;
        lock(&self.history).events.retain(|e| !matches!(e.kind, EventKind::Effect { .. }));
        let shared = Shared {
            targets: Arc::default(),
            history: self.history.clone(),
            origin: self.origin,
            gather: self.period.mul_f64(self.script.fleet.gather).as_micros() as i64,
            over: self.over.clone(),
            count: Arc::default(),
            seen: Arc::default(),
        };
        for (n, p) in self.procs.iter().enumerate() {
            if let (Some(front), Some(door)) = (p.at, p.door) {
                lock(&shared.targets).push(Target { process: n, front, door });
            }
        }
        for number in 0..r.clients as u64 {
            let (shared, seed, keys) = (shared.clone(), self.seed, r.keys as u64);
            let think = Duration::from_secs_f64(r.think_ms / 1e3);
            thread::spawn(move || clients::run(number, seed, keys, think, &shared));
        }
        self.shared = Some(shared);
        Ok(())
    }

    /// Everything that was marked is asked for again, of every process that is left.
    fn end_records(&mut self) {
        let Some(shared) = self.shared.clone() else { return };
        self.over.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(300));
        let mut marked: Vec<String> = lock(&self.history)
            .events
            .iter()
            .filter_map(|e| match &e.kind {
                EventKind::MarkedAnswer { key, .. } => Some(key.clone()),
                _ => None,
            })
            .collect();
        marked.sort();
        marked.dedup();
        // Evenly over the whole run, no more than can be asked for in the time there is.
        let every = marked.len().div_ceil(AGAIN_MOST).max(1);
        let marked: Vec<String> = marked.into_iter().step_by(every).collect();
        let targets = lock(&shared.targets).clone();
        let (began, asked) = (Instant::now(), AtomicU64::new(0));
        thread::scope(|scope| {
            for target in &targets {
                let (marked, shared, asked) = (&marked, &shared, &asked);
                scope.spawn(move || {
                    for key in marked {
                        if began.elapsed() > AGAIN_FOR {
                            return;
                        }
                        asked.fetch_add(1, Ordering::Relaxed);
                        let id = shared.count.fetch_add(1, Ordering::Relaxed) + 1;
                        let began = shared.now();
                        let mut got = clients::pay(target.front, key, id);
                        if got.as_ref().is_none_or(|g| g.0 != 200) {
                            // Once more: a leader may just be changing.
                            thread::sleep(Duration::from_millis(500));
                            got = clients::pay(target.front, key, id + (1 << 40));
                        }
                        let answer = match got {
                            Some((200, true, body)) => body,
                            other => format!("not the marked one: {other:?}"),
                        };
                        lock(&shared.history).record_span(
                            silvercross_time::Instant::from_micros(began),
                            silvercross_time::Instant::from_micros(shared.now()),
                            EventKind::MarkedAnswer { key: key.clone(), answer },
                        );
                    }
                });
            }
        });
        let seen = |i: usize| shared.seen[i].load(Ordering::Relaxed) as f64;
        for (i, name) in ["marked", "unmarked", "refused", "failed", "none"].iter().enumerate() {
            self.sums.insert(format!("answers.{name}"), seen(i));
        }
        self.sums.insert("answer_longest_s".into(), seen(5) / 1e6);
        self.sums.insert("asked_again_at_the_end".into(), asked.load(Ordering::Relaxed) as f64);
    }

    /// The machine whose process leads the first group, by its own word.
    fn records_leader(&self) -> Option<usize> {
        let leads = |n: &usize| -> Option<u64> {
            let v = told(self.procs[*n].door?, "/admin/records", Duration::from_millis(300))?;
            let copy = &v["groups"][0]["copy"];
            copy["leads"].as_bool()?.then(|| copy["term"].as_u64()).flatten()
        };
        let there =
            (0..self.procs.len()).filter(|n| self.procs[*n].process.is_some() && !self.procs[*n].paused);
        there.filter_map(|n| Some((leads(&n)?, self.procs[n].machine))).max().map(|l| l.1)
    }

    fn disk_is(&self, machine: usize, how: &str) {
        let store = self.folder(self.folders[machine]).join("records.redb");
        let _ = std::fs::write(disk::control(&store), how);
    }

    /// Clients don't go to a process any more.
    fn untarget(&self, n: usize) {
        if let Some(shared) = &self.shared {
            lock(&shared.targets).retain(|t| t.process != n);
        }
    }

    fn maybe_calm(&mut self) {
        let still = self.procs.iter().any(|p| p.process.is_some() && p.paused);
        if !self.relays.net().links.are_broken() && !still {
            self.note(EventKind::Healed);
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

fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_name() != "member.lock" {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// The files' contents are those of the copy, in the same files.
fn restore_in_place(copy: &Path, to: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(copy)? {
        let entry = entry?;
        let bytes = std::fs::read(entry.path())?;
        let file = std::fs::File::options()
            .write(true)
            .create(true)
            .truncate(true)
            .open(to.join(entry.file_name()))?;
        std::io::Write::write_all(&mut &file, &bytes)?;
    }
    Ok(())
}

/// A process' own words as the judge takes them.
fn as_look(by: usize, v: &serde_json::Value) -> MemberList {
    let text = |v: &serde_json::Value| v.as_str().unwrap_or("").to_string();
    let state = |s: &str| match s {
        "alive" => MemberState::Alive,
        "suspect" => MemberState::Suspect,
        "left" => MemberState::Left,
        _ => MemberState::Failed,
    };
    let seen = |o: &serde_json::Value| ListedMember {
        identity: text(&o["id"]),
        state: state(o["state"].as_str().unwrap_or("")),
        incarnation: o["incarnation"].as_u64().unwrap_or(0),
    };
    MemberList {
        process: by,
        identity: text(&v["id"]),
        view: text(&v["view"]),
        senders: v["senders"].as_u64().map(|n| n as usize),
        members: v["others"].as_array().into_iter().flatten().map(seen).collect(),
        draining: v["drains"].as_array().into_iter().flatten().map(text).collect(),
    }
}
