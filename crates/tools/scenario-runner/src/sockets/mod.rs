//! The driver on loopback sockets, in real time: the emulator's servers and its list service listen on ports of the
//! machine's choice, real sidecars run as processes, clients speak to them; all but the sidecars in one loop. The delay of
//! the network is kept by holding messages back. Times are measured: a run in which this loop was late is void.
mod gateways;
mod processes;
mod wire;

pub use processes::{write_config, Files, Process, Program, Started};

use hdrhistogram::Histogram;
use polling::Events;
use signal_hook::consts::{SIGINT, SIGTERM};
use silvercross_core::interface::Micros;
use silvercross_emulator::chance::{mix, unit};
use silvercross_emulator::checker::TOLERANCE;
use silvercross_emulator::figures::{sum_up, Fate, Figures, Tally};
use silvercross_emulator::list::{self, Health, Listed};
use silvercross_emulator::plan::idempotency;
use silvercross_emulator::script::{EffectSpec, Script};
use silvercross_emulator::virtual_time::retry_at;
use silvercross_emulator::world::{Answer, Event, World};
use silvercross_net::registry::{Interest, Registry, Watched};
use silvercross_net::table::{Handle, Table};
use silvercross_settings::seconds;
use slog::{info, Logger};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::Wire;

/// A run is void when a hundredth of this loop's timers was later than the first, or any than the second: its servers
/// would have been slower than the script says.
const LATE: (Micros, Micros) = (20_000, 400_000);
/// Sidecars have so long to start.
const START: Duration = Duration::from_secs(20);
/// Idle watches hear something so often.
const ALIVE: Micros = 2_000_000;
/// How often children are looked after.
const LOOK: Micros = 250_000;
/// How long a run goes on once all is answered.
const LINGER: Micros = 300_000;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// The poller's key of the pipe by which started sidecars are heard; handles are below.
const WAKE: usize = usize::MAX - 1;
/// What a sidecar may use, as its configuration says.
const LIMITS: (u64, u64) = (192, 1024);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Ask(usize),
    Reach(usize),
    Back(usize, u8),
    CalledOff(usize),
    HangUp(usize),
    GiveUp(usize),
    Pass(u64),
    Alive,
    Look,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    of: usize,
    server: usize,
    conn: Option<Handle>,
    /// Where it comes from: the client's site, or a gateway's.
    site: usize,
    delay: Micros,
    fresh: bool,
}

struct Try {
    ask: usize,
    sidecar: usize,
    conn: Option<Handle>,
    /// Sent once more on a new connection, since the first one closed as it came.
    resent: bool,
    over: bool,
}

enum Conn {
    /// A server's listening socket, for the sidecars of one site.
    Listener { socket: Watched<TcpListener>, server: usize, site: usize, fillers: Vec<Socket> },
    /// The list service's, for one sidecar.
    ListListener { socket: Watched<TcpListener>, sidecar: usize },
    /// A sidecar's connection to a server.
    Server {
        wire: Wire,
        server: usize,
        site: usize,
        job: Option<usize>,
        fresh: bool,
        muted: bool,
        begun: Option<Micros>,
    },
    /// A sidecar's connection to the list service.
    List { wire: Wire, sidecar: usize, asker: u64, asked: bool, headed: bool },
    /// Where a gateway finds a far one: in front of that one's link, with the way between the sites.
    LinkListener { socket: Watched<TcpListener>, from: usize, to: usize, fillers: Vec<Socket> },
    /// One end of a connection over the link.
    Link(Box<gateways::Link>),
    /// A client's connection to its sidecar.
    Client { wire: Wire, sidecar: usize, of: Option<usize>, used: bool },
}

struct Sidecar {
    process: Option<Process>,
    life: u32,
    at: Option<SocketAddr>,
    idle: Vec<Handle>,
    list_at: SocketAddr,
}

struct Driver {
    world: World,
    program: Program,
    folder: tempfile::TempDir,
    registry: Registry,
    table: Table<Conn>,
    listeners: Vec<Vec<Option<(Handle, SocketAddr)>>>,
    sidecars: Vec<Sidecar>,
    gateways: Vec<gateways::Gateway>,
    tries: Vec<Try>,
    tries_of: Vec<u32>,
    open: Vec<HashSet<usize>>,
    /// Tries that clients mean to make again.
    retries: usize,
    jobs: Vec<Job>,
    askers: HashMap<u64, Handle>,
    asked: u64,
    heap: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    events: Vec<Event>,
    tally: Tally,
    origin: Instant,
    unix_ms: u64,
    late: Histogram<u64>,
    started: (Sender<Started>, Receiver<Started>),
    wake: (UnixStream, Watched<UnixStream>),
    stop: Arc<AtomicBool>,
    void: Option<String>,
    log: Logger,
}

/// A listening socket on a port of the machine's choice.
fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A connection on its way to an address.
fn connect(to: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        // Under way: `EINPROGRESS`, 115 on Linux, has no kind of its own.
        Err(e) if e.kind() != io::ErrorKind::WouldBlock && e.raw_os_error() != Some(115) => Err(e),
        _ => Ok(socket),
    }
}

/// Close with a reset, as a process that dies does.
fn reset(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// A listening socket that is to be as silent as a machine that is cut off, or no longer.
fn shut_or_open(socket: &mut Watched<TcpListener>, fillers: &mut Vec<Socket>, at: SocketAddr, cut: bool) {
    if cut && fillers.is_empty() {
        // A queue with no room drops what knocks, as a silent machine does: nobody is told no.
        let _ = socket.set(Interest::Nothing);
        let _ = SockRef::from(socket.get()).listen(0);
        fillers.extend((0..2).filter_map(|_| connect(at).ok()));
    } else if !cut && !fillers.is_empty() {
        fillers.clear();
        let _ = SockRef::from(socket.get()).listen(BACKLOG);
        while let Ok((waiting, _)) = socket.get().accept() {
            reset(&waiting);
        }
        let _ = socket.set(Interest::Read);
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Play a script on sockets, with these sidecars. The error is one plain line.
pub fn play(script: &Script, seed: u64, program: &Program, log: &Logger) -> Result<Figures, String> {
    let mut driver =
        Driver::new(script, seed, program, log).map_err(|e| format!("cannot set the stand-ins up: {e}"))?;
    let stop = driver.stop.clone();
    let signals = [SIGINT, SIGTERM].map(|s| signal_hook::flag::register(s, stop.clone()));
    let ended = driver.start().and_then(|()| driver.run());
    for id in signals.into_iter().flatten() {
        signal_hook::low_level::unregister(id);
    }
    if let Err(why) = ended {
        driver.void.get_or_insert(why);
    }
    Ok(driver.finish(script, seed))
}

impl Driver {
    fn new(script: &Script, seed: u64, program: &Program, log: &Logger) -> io::Result<Self> {
        let world = World::new(script.clone(), seed);
        let registry = Registry::new()?;
        let (wake, heard) = UnixStream::pair()?;
        heard.set_nonblocking(true)?;
        let heard = registry.watch(heard, WAKE, Interest::Read)?;
        let (servers, sites, asks) = (world.servers.len(), script.sites.len(), world.asks.len());
        let mut driver = Driver {
            listeners: vec![vec![None; sites]; servers],
            sidecars: Vec::new(),
            gateways: Vec::new(),
            tries: Vec::new(),
            tries_of: vec![0; asks],
            open: vec![HashSet::new(); script.sidecars()],
            retries: 0,
            jobs: Vec::new(),
            askers: HashMap::new(),
            asked: 0,
            heap: BinaryHeap::new(),
            order: 0,
            events: Vec::new(),
            tally: Tally::new(asks, servers),
            origin: Instant::now(),
            unix_ms: 0,
            late: Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)?,
            started: channel(),
            wake: (wake, heard),
            stop: Arc::default(),
            void: None,
            log: log.clone(),
            program: program.clone(),
            folder: tempfile::Builder::new().prefix("rehearse-").tempdir()?,
            table: Table::default(),
            registry,
            world,
        };
        for server in 0..servers {
            driver.listen_for(server)?;
        }
        for sidecar in 0..script.sidecars() {
            let (_, at) = driver.add_listener(|socket| Conn::ListListener { socket, sidecar })?;
            driver.sidecars.push(Sidecar { process: None, life: 0, at: None, idle: Vec::new(), list_at: at });
        }
        driver.add_gateways()?;
        Ok(driver)
    }

    fn add_listener(
        &mut self,
        make: impl FnOnce(Watched<TcpListener>) -> Conn,
    ) -> io::Result<(Handle, SocketAddr)> {
        let listener = listen()?;
        let at = listener.local_addr()?;
        let registry = self.registry.clone();
        let handle = self
            .table
            .insert_with(|h| registry.watch(listener, h.number() as usize, Interest::Read).map(make))?;
        Ok((handle.ok_or_else(|| io::Error::other("the table is full"))?, at))
    }

    fn add_stream(
        &mut self,
        stream: TcpStream,
        interest: Interest,
        make: impl FnOnce(Wire) -> Conn,
    ) -> Option<Handle> {
        let _ = stream.set_nonblocking(true);
        let _ = stream.set_nodelay(true);
        let registry = self.registry.clone();
        let made = self.table.insert_with(|h| {
            registry.watch(stream, h.number() as usize, interest).map(|s| make(Wire::new(s)))
        });
        made.ok().flatten()
    }

    /// A server's process listens; each start has ports of its own, so that no other program can sit on them.
    fn listen_for(&mut self, server: usize) -> io::Result<()> {
        for site in 0..self.world.script.sites.len() {
            let made =
                self.add_listener(|socket| Conn::Listener { socket, server, site, fillers: Vec::new() })?;
            self.listeners[server][site] = Some(made);
        }
        self.mute_as_cut();
        Ok(())
    }

    fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }

    fn at(&mut self, at: Micros, what: What) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, what)));
    }

    fn hosts(&self, sidecar: usize, entries: &[Listed]) -> Vec<serde_json::Value> {
        let (script, site) = (&self.world.script, self.world.sidecar_site(sidecar));
        let kinds = script.machine_kinds();
        let host = |l: &Listed| {
            if l.server >= self.listeners.len() {
                return self.gateway_host(l);
            }
            // Where nothing listens any more an address is still due; it is gone or draining then, or refuses.
            let dial = self.listeners[l.server][site].map_or(SocketAddr::from(([127, 0, 0, 1], 9)), |x| x.1);
            serde_json::json!({
                "host": format!("s-{}", l.server), "dial": dial.to_string(), "block": self.world.cell(l.server),
                "site": script.sites[self.world.site(l.server)].name, "class": kinds[self.world.kind(l.server)].name,
                "health": match l.health { Health::Ready => "ready", Health::Draining => "draining", Health::Gone => "gone" },
                "share": 1.0, "born_ms": l.born.map_or(0, |b| self.unix_ms + (b / 1000) as u64),
            })
        };
        entries.iter().map(host).collect()
    }

    fn spawn(&mut self, i: usize) -> Result<(), String> {
        let life = self.sidecars[i].life + 1;
        let site = self.world.sidecar_site(i);
        let known = self.hosts(i, &self.world.known(i));
        let seed = mix(self.world.seed ^ mix(i as u64) ^ (u64::from(life) << 48));
        let config = serde_json::json!({
            "name": format!("n{i}"), "listen": "127.0.0.1:0", "discovery": self.sidecars[i].list_at.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": LIMITS.0, "sockets": LIMITS.1},
            "known": {"seq": self.world.known_seq(), "whole": true, "hosts": known},
            "settings": self.world.script.settings_json(i, site as u32),
        });
        let path = processes::write_config(self.folder.path(), i, &config)?;
        let wake = self.wake.0.try_clone().map_err(|e| e.to_string())?;
        let process = Process::start(
            &self.program,
            &[],
            Files { config: &path, fleet: None },
            i,
            life,
            self.started.0.clone(),
            wake,
        )?;
        let s = &mut self.sidecars[i];
        (s.process, s.life, s.at) = (Some(process), life, None);
        Ok(())
    }

    /// Start all sidecars and wait until each says where it listens.
    fn start(&mut self) -> Result<(), String> {
        self.unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        // Faults at the time 0 come first: a server that starts late is not there yet.
        let mut events = Vec::new();
        self.world.advance(0, &mut events);
        self.events = events;
        self.do_events(0);
        self.start_gateways()?;
        let up: Vec<usize> = (0..self.sidecars.len()).filter(|i| self.world.sidecar_up(*i)).collect();
        for i in &up {
            self.spawn(*i)?;
        }
        let (began, mut waiting) = (Instant::now(), up.len());
        while waiting > 0 {
            let left = START.checked_sub(began.elapsed()).ok_or("the sidecars did not start in time")?;
            match self.started.1.recv_timeout(left.min(Duration::from_millis(200))) {
                Ok(s) => {
                    self.has_started(&s)?;
                    waiting -= 1;
                }
                Err(_) if self.stop.load(Ordering::Relaxed) => return Ok(()),
                Err(_) => {}
            }
        }
        info!(self.log, "all sidecars are up"; "sidecars" => up.len());
        self.origin = Instant::now();
        self.unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        Ok(())
    }

    fn has_started(&mut self, s: &Started) -> Result<(), String> {
        if s.number >= self.sidecars.len() {
            return self.gateway_started(s);
        }
        let sidecar = &mut self.sidecars[s.number];
        if sidecar.life != s.life {
            return Ok(());
        }
        let last = sidecar.process.as_ref().map_or(String::new(), Process::last_line);
        if s.at.is_none() {
            return Err(format!("sidecar n{} did not start: {last}", s.number));
        }
        sidecar.at = s.at;
        self.world.checker.restarted(self.origin.elapsed().as_micros() as Micros, s.number);
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        let script = &self.world.script;
        let longest = script.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let end = script.length() + seconds(longest / 1e3) + 500_000;
        if let Some(first) = self.world.asks.first().map(|a| a.at) {
            self.at(first, What::Ask(0));
        }
        self.at(ALIVE, What::Alive);
        self.at(LOOK, What::Look);
        let (mut ready, mut quiet) = (Events::new(), None);
        let length = self.world.script.length();
        loop {
            let now = self.now();
            // Done early when nobody waits and nobody will ask again; what is still sent then is seen for a moment more.
            let idle = now >= length && self.retries == 0 && self.open.iter().all(HashSet::is_empty);
            quiet = if idle { quiet.or(Some(now)) } else { None };
            let now_done = quiet.is_some_and(|since| now >= since + LINGER);
            if now_done || now >= end || self.stop.load(Ordering::Relaxed) || self.void.is_some() {
                return Ok(());
            }
            let due = self.heap.peek().map_or(end, |e| e.0 .0);
            let world = self.world.next().unwrap_or(end);
            let next = due.min(world).min(end);
            if next > now {
                let next = next.min(now + LOOK);
                let limit = Duration::from_micros((next - now) as u64);
                self.registry.wait(&mut ready, Some(limit)).map_err(|e| e.to_string())?;
            } else {
                let _ = self.late.record((now - next).max(1) as u64);
                if world <= due {
                    let mut events = std::mem::take(&mut self.events);
                    // At its own time, not a little later: what is late is late once, it does not add up.
                    self.world.advance(world.max(0), &mut events);
                    self.events = events;
                    self.do_events(now);
                } else if let Some(Reverse((_, _, what))) = self.heap.pop() {
                    self.happen(now, what)?;
                }
                self.registry.wait(&mut ready, Some(Duration::ZERO)).map_err(|e| e.to_string())?;
            }
            for event in ready.iter() {
                match event.key {
                    WAKE => self.hear_started()?,
                    key => self.ready(Handle::from_number(key as u64)),
                }
            }
        }
    }

    fn hear_started(&mut self) -> Result<(), String> {
        let mut waste = [0; 64];
        while matches!(self.wake.1.get().read(&mut waste), Ok(n) if n > 0) {}
        while let Ok(s) = self.started.1.try_recv() {
            self.has_started(&s)?;
        }
        Ok(())
    }

    fn finish(mut self, script: &Script, seed: u64) -> Figures {
        let now = self.now();
        for s in &mut self.sidecars {
            s.process = None;
        }
        self.gateways.iter_mut().for_each(|g| g.process = None);
        let (p99, worst) = (self.late.value_at_quantile(0.99) as Micros, self.late.max() as Micros);
        if self.void.is_none() && (p99 > LATE.0 || worst > LATE.1) {
            let figures = format!("p99 {:.1} ms, worst {:.1} ms", p99 as f64 / 1e3, worst as f64 / 1e3);
            self.void = Some(format!("the emulator ran late ({figures}): the machine is too busy"));
        }
        let cut_short = self.stop.load(Ordering::Relaxed);
        let (rules, breaches) = self.world.checker.finish(now);
        let mut f = sum_up(script, seed, &self.world.asks, self.tally, now);
        (f.mode, f.rules, f.breaches, f.cut_short) = ("sockets".into(), rules, breaches, cut_short);
        f.list_calls = self.world.list.asked;
        f.lateness_ms = Some((p99 as f64 / 1e3, worst as f64 / 1e3));
        if self.void.is_some() {
            // A figure that is shown is believed, whatever stands beside it.
            (f.served_worth, f.worst_5s) = (0.0, 0.0);
            f.by_class.clear();
            f.windows.clear();
        }
        f.void = self.void;
        f.expect(&script.expects);
        f
    }

    fn do_events(&mut self, now: Micros) {
        let mut events = std::mem::take(&mut self.events);
        for event in events.drain(..) {
            match event {
                Event::Answer { job, answer } => {
                    let job = job as usize;
                    self.at(now + self.jobs[job].delay, What::Back(job, answer as u8));
                }
                Event::Died { server } => {
                    info!(self.log, "server died"; "server" => server, "at_ms" => now / 1000);
                    for place in 0..self.listeners[server].len() {
                        if let Some((handle, _)) = self.listeners[server][place].take() {
                            self.table.remove(handle);
                        }
                    }
                    if !self.world.is_silent(server) {
                        self.reset_all(|s, _| s == server);
                    }
                }
                Event::Started { server } => {
                    info!(self.log, "server started"; "server" => server, "at_ms" => now / 1000);
                    if let Err(e) = self.listen_for(server) {
                        self.void = Some(format!("server {server} cannot listen again: {e}"));
                    }
                }
                Event::Silent { .. } | Event::Cut { .. } => self.mute_as_cut(),
                Event::Gateway { number, up } => self.gateway_turns(number, up),
                Event::GatewayDrains { number } => self.gateway_drains(number),
                Event::List(out) => self.list_said(now, out),
                Event::Sidecar { number, up: true } => {
                    info!(self.log, "sidecar starts"; "sidecar" => number, "at_ms" => now / 1000);
                    if let Err(why) = self.spawn(number) {
                        self.void = Some(why);
                    }
                }
                Event::Sidecar { number, up: false } => self.sidecar_dies(number),
            }
        }
        self.events = events;
    }

    fn of_servers(&self, hit: impl Fn(usize, usize) -> bool) -> Vec<Handle> {
        let of = |(h, c): (Handle, &Conn)| match c {
            Conn::Server { server, site, .. } if hit(*server, *site) => Some(h),
            _ => None,
        };
        self.table.iter().filter_map(of).collect()
    }

    fn reset_all(&mut self, hit: impl Fn(usize, usize) -> bool) {
        for handle in self.of_servers(hit) {
            if let Some(Conn::Server { wire, .. }) = self.table.get(handle) {
                reset(wire.socket.get());
            }
            self.table.remove(handle);
        }
    }

    /// Silence what cannot be reached, and let what can be reached again answer: what was silent is reset then.
    fn mute_as_cut(&mut self) {
        self.mute_links();
        for server in 0..self.listeners.len() {
            for site in 0..self.listeners[server].len() {
                let cut = !self.world.reaches_from(site, server);
                for handle in self.of_servers(|s, at| (s, at) == (server, site)) {
                    let Some(Conn::Server { wire, muted, .. }) = self.table.get_mut(handle) else { continue };
                    if cut {
                        let _ = wire.socket.set(Interest::Nothing);
                        *muted = true;
                    } else if *muted {
                        reset(wire.socket.get());
                        self.table.remove(handle);
                    }
                }
                let Some((handle, at)) = self.listeners[server][site] else { continue };
                let Some(Conn::Listener { socket, fillers, .. }) = self.table.get_mut(handle) else {
                    continue;
                };
                shut_or_open(socket, fillers, at, cut);
            }
        }
    }

    fn sidecar_dies(&mut self, i: usize) {
        info!(self.log, "sidecar dies"; "sidecar" => i);
        self.sidecars[i].process = None;
        self.sidecars[i].at = None;
        for handle in std::mem::take(&mut self.sidecars[i].idle) {
            self.table.remove(handle);
        }
        for t in std::mem::take(&mut self.open[i]) {
            self.world.checker.released(t as u64);
            self.tries[t].over = true;
            self.tally.fates[self.tries[t].ask] = Fate::Void;
            if let Some(handle) = self.tries[t].conn.take() {
                self.table.remove(handle);
            }
        }
    }

    fn list_said(&mut self, now: Micros, out: list::Out) {
        let (asker, text) = match out {
            list::Out::Ended { asker } => (asker, None),
            list::Out::Told { asker, seq, whole, entries } => {
                let Some(Conn::List { sidecar, .. }) =
                    self.askers.get(&asker).and_then(|h| self.table.get(*h))
                else {
                    return;
                };
                let sidecar = *sidecar;
                let told = entries.iter().filter(|l| self.world.tells(sidecar, l.server));
                let entries: Vec<Listed> = told.copied().collect();
                self.world.checker.contact(now, sidecar, true);
                for l in entries.iter().filter(|l| l.health == Health::Draining) {
                    self.world.checker.told(now, sidecar, l.server);
                }
                let hosts = self.hosts(sidecar, &entries);
                (asker, Some(serde_json::json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()))
            }
        };
        let Some(handle) = self.askers.get(&asker).copied() else { return };
        let Some(Conn::List { wire, headed, .. }) = self.table.get_mut(handle) else { return };
        let said = match (text, *headed) {
            (Some(line), true) => wire.say(chunk(&line).as_bytes()),
            (Some(line), false) => {
                *headed = true;
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                wire.say(format!("{head}{}", chunk(&line)).as_bytes())
            }
            (None, true) => Err(io::ErrorKind::ConnectionAborted.into()),
            (None, false) => {
                let _ =
                    wire.say(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        };
        if said.is_err() {
            self.list_gone(now, handle);
        }
    }

    fn list_gone(&mut self, now: Micros, handle: Handle) {
        if let Some(Conn::List { sidecar, asker, .. }) = self.table.remove(handle) {
            self.askers.remove(&asker);
            self.world.list.hang_up(asker);
            self.world.checker.contact(now, sidecar, false);
        }
    }

    fn ready(&mut self, handle: Handle) {
        let now = self.now();
        match self.table.get_mut(handle) {
            Some(Conn::Listener { server, site, .. }) => {
                let (server, site) = (*server, *site);
                while let Some(Conn::Listener { socket, .. }) = self.table.get(handle) {
                    let Ok((stream, _)) = socket.get().accept() else { break };
                    let s = &mut self.world.servers[server];
                    if s.connections >= s.connection_limit() {
                        reset(&stream);
                        continue;
                    }
                    s.connections += 1;
                    self.tally.connections += 1;
                    self.add_stream(stream, Interest::Read, |wire| Conn::Server {
                        wire,
                        server,
                        site,
                        job: None,
                        fresh: true,
                        muted: false,
                        begun: None,
                    });
                }
            }
            Some(Conn::ListListener { sidecar, .. }) => {
                let sidecar = *sidecar;
                while let Ok((stream, _)) = match self.table.get(handle) {
                    Some(Conn::ListListener { socket, .. }) => socket.get().accept(),
                    _ => Err(io::ErrorKind::NotFound.into()),
                } {
                    self.asked += 1;
                    let asker = self.asked;
                    let made = self.add_stream(stream, Interest::Read, |wire| Conn::List {
                        wire,
                        sidecar,
                        asker,
                        asked: false,
                        headed: false,
                    });
                    self.askers.extend(made.map(|h| (asker, h)));
                }
            }
            Some(Conn::LinkListener { .. }) => self.link_accept(handle),
            Some(Conn::Link(_)) => self.link_ready(now, handle),
            Some(Conn::Server { .. }) => self.server_ready(now, handle),
            Some(Conn::List { .. }) => self.list_ready(now, handle),
            Some(Conn::Client { .. }) => self.client_ready(now, handle),
            // Readiness of something that ended earlier in this round.
            None => {}
        }
    }

    fn list_ready(&mut self, now: Micros, handle: Handle) {
        let Some(Conn::List { wire, asker, asked, sidecar, .. }) = self.table.get_mut(handle) else { return };
        let (asker, sidecar) = (*asker, *sidecar);
        let done = wire.pump().and_then(|closed| Ok((closed, wire.request()?)));
        match done {
            Ok((false, Some(r))) if !*asked => {
                *asked = true;
                let since = r.target.split("since=").nth(1).and_then(|s| s.split('&').next()?.parse().ok());
                let watch = r.target.contains("follow=1");
                self.world.checker.contact(now, sidecar, false);
                let mut events = std::mem::take(&mut self.events);
                self.world.ask_list(now, asker, since, watch, &mut events);
                self.events = events;
                self.do_events(now);
            }
            Ok((false, _)) => {}
            Ok((true, _)) | Err(_) => self.list_gone(now, handle),
        }
    }

    fn server_ready(&mut self, now: Micros, handle: Handle) {
        let Some(Conn::Server { wire, server, site, job, fresh, muted, begun }) = self.table.get_mut(handle)
        else {
            return;
        };
        let site = *site;
        let (server, job, was_fresh) = (*server, *job, *fresh);
        // A muted one wakes only when its other end is gone for good.
        let done = if *muted { Ok(true) } else { wire.pump() };
        if begun.is_none() && wire.has_input() && job.is_none() {
            *begun = Some(now);
        }
        let asked = match (&done, job) {
            (Ok(false), None) => wire.request().unwrap_or(None),
            _ => None,
        };
        if !matches!(done, Ok(false)) {
            self.table.remove(handle);
            let held = &mut self.world.servers[server].connections;
            *held = held.saturating_sub(1);
            if let Some(job) = job {
                self.jobs[job].conn = None;
                self.at(now + self.jobs[job].delay, What::CalledOff(job));
            }
            return;
        }
        let Some(asked) = asked else { return };
        let sent = begun.take().unwrap_or(now);
        let number =
            u64::from_str_radix(&asked.id, 16).ok().map(|n| n as usize).filter(|n| *n < self.tries.len());
        let Some(of) = number else {
            let _ = wire.say(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            return;
        };
        *fresh = false;
        let new = self.jobs.len();
        if let Some(Conn::Server { job, .. }) = self.table.get_mut(handle) {
            *job = Some(new);
        }
        let sidecar = self.tries[of].sidecar;
        let dice = unit(self.world.seed ^ 0xde1a, new as u64);
        let delay = self.world.delay_from(site, server, dice);
        self.jobs.push(Job { of, server, conn: Some(handle), site, delay, fresh: was_fresh });
        let crosses = self.world.sidecar_site(sidecar) != self.world.site(server);
        self.tally.sent(now, server, crosses);
        let sender = self.sender(sidecar, site);
        self.world.checker.sent(sent, of as u64, sender, server);
        // A new connection's set-up has taken no time here: its first request pays for the way there and back.
        let way = if was_fresh { 3 * delay } else { delay };
        self.at(now + way, What::Reach(new));
    }

    fn client_ready(&mut self, now: Micros, handle: Handle) {
        let Some(Conn::Client { wire, of, sidecar, used }) = self.table.get_mut(handle) else { return };
        let (of_try, sidecar, was_used) = (*of, *sidecar, *used);
        let done = wire.pump().and_then(|closed| Ok((closed, wire.answer(closed)?)));
        let Some(t) = of_try else {
            // Nothing is open on it: all it can say is that it ends.
            self.table.remove(handle);
            return self.sidecars[sidecar].idle.retain(|h| *h != handle);
        };
        match done {
            Ok((closed, Some(a))) => {
                (*of, *used) = (None, true);
                self.tries[t].conn = None;
                if closed || !a.keep_alive {
                    self.table.remove(handle);
                } else {
                    self.sidecars[sidecar].idle.push(handle);
                }
                let genuine = a.status != 200 || a.body == format!("{t:016x}").as_bytes();
                let fate = match a.status {
                    200 if genuine => Fate::Served(now),
                    429 | 503 => Fate::Refused,
                    _ => Fate::Failed,
                };
                self.answered(now, t, fate, genuine, a.retry_after);
            }
            Ok((false, None)) => {}
            Ok((true, None)) | Err(_) => {
                self.table.remove(handle);
                self.tries[t].conn = None;
                // Closed between two requests as this one came: it was not read, and is sent once more.
                if was_used && !self.tries[t].resent {
                    self.tries[t].resent = true;
                    return self.hand_over(now, t, true);
                }
                self.world.checker.dropped(now, t as u64);
                self.answered(now, t, Fate::Failed, true, None);
            }
        }
    }

    fn happen(&mut self, now: Micros, what: What) -> Result<(), String> {
        match what {
            What::Ask(ask) => {
                if self.tries_of[ask] == 0 && ask + 1 < self.world.asks.len() {
                    self.at(self.world.asks[ask + 1].at, What::Ask(ask + 1));
                }
                self.retries -= usize::from(self.tries_of[ask] > 0);
                self.ask(now, ask);
            }
            What::Reach(job) => self.reach(now, job),
            What::Back(job, answer) => self.back(job, answer),
            What::CalledOff(job) => {
                let mut events = std::mem::take(&mut self.events);
                self.world.cancel(now, job as u64, &mut events);
                self.events = events;
                self.do_events(now);
            }
            What::HangUp(t) if !self.tries[t].over => {
                self.world.checker.released(t as u64);
                self.hang_up(t);
            }
            What::GiveUp(t) if !self.tries[t].over => self.hang_up(t),
            What::HangUp(_) | What::GiveUp(_) => {}
            What::Pass(number) => self.pass(now, Handle::from_number(number)),
            What::Alive => {
                if self.world.list.is_well() {
                    let watching: Vec<u64> = self.world.list.watching().collect();
                    for asker in watching {
                        let Some(handle) = self.askers.get(&asker).copied() else { continue };
                        let Some(Conn::List { wire, headed: true, .. }) = self.table.get_mut(handle) else {
                            continue;
                        };
                        if wire.say(chunk("").as_bytes()).is_err() {
                            self.list_gone(now, handle);
                        }
                    }
                }
                self.at(now + ALIVE, What::Alive);
            }
            What::Look => {
                for (i, s) in self.sidecars.iter_mut().enumerate() {
                    if let Some(how) = s.process.as_mut().and_then(Process::has_ended) {
                        return Err(format!("sidecar n{i} ended by itself: {how}"));
                    }
                }
                self.look_after_gateways()?;
                self.at(now + LOOK, What::Look);
            }
        }
        Ok(())
    }

    fn reach(&mut self, now: Micros, job: usize) {
        let j = self.jobs[job];
        if !self.world.reaches_from(j.site, j.server) || !self.world.servers[j.server].up {
            // Its connection is silent, or has been reset with the process.
            return;
        }
        let mut events = std::mem::take(&mut self.events);
        self.world.arrive(now, job as u64, self.tries[j.of].ask, j.server, j.fresh, &mut events);
        if j.conn.is_none() {
            self.world.cancel(now, job as u64, &mut events);
        }
        self.events = events;
        self.do_events(now);
    }

    fn back(&mut self, number: usize, answer: u8) {
        let j = self.jobs[number];
        let Some(handle) = j.conn else { return };
        let Some(Conn::Server { wire, job, muted: false, .. }) = self.table.get_mut(handle) else { return };
        if *job != Some(number) {
            return;
        }
        *job = None;
        let id = format!("{:016x}", j.of);
        let text = match answer {
            a if a == Answer::Served as u8 => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len())
            }
            a if a == Answer::Error as u8 => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".into(),
            _ => "HTTP/1.1 503 Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into(),
        };
        if wire.say(text.as_bytes()).is_err() {
            self.table.remove(handle);
            let held = &mut self.world.servers[j.server].connections;
            *held = held.saturating_sub(1);
        }
    }

    fn ask(&mut self, now: Micros, ask: usize) {
        let a = &self.world.asks[ask];
        let class = &self.world.script.classes[a.class];
        let (sidecar, whole) = (a.sidecar, seconds(class.deadline_ms / 1e3));
        let left = a.at + whole - now;
        let half = a.impatient.then(|| a.at + whole / 2).filter(|at| *at > now);
        if self.sidecars[sidecar].at.is_none() {
            self.tries_of[ask] += 1;
            self.tally.fates[ask] = Fate::Void;
            return;
        }
        let t = self.tries.len();
        self.tries.push(Try { ask, sidecar, conn: None, resent: false, over: false });
        self.tries_of[ask] += 1;
        self.tally.tries += 1;
        self.open[sidecar].insert(t);
        self.world.checker.opened(t as u64, now + left);
        if let Some(at) = half {
            self.at(at, What::HangUp(t));
        }
        self.at(now + left + TOLERANCE, What::GiveUp(t));
        self.hand_over(now, t, false);
    }

    /// Write a try to its sidecar, on a connection that is kept or a new one.
    fn hand_over(&mut self, now: Micros, t: usize, fresh: bool) {
        let (ask, sidecar) = (self.tries[t].ask, self.tries[t].sidecar);
        let text = self.request(now, t, ask);
        while let Some(handle) = (!fresh).then(|| self.sidecars[sidecar].idle.pop()).flatten() {
            let Some(Conn::Client { wire, of, .. }) = self.table.get_mut(handle) else { continue };
            *of = Some(t);
            if wire.say(text.as_bytes()).is_ok() {
                self.tries[t].conn = Some(handle);
                return;
            }
            self.table.remove(handle);
        }
        let made = self.sidecars[sidecar].at.and_then(|at| connect(at).ok()).and_then(|socket| {
            let make = |wire| Conn::Client { wire, sidecar, of: Some(t), used: false };
            self.add_stream(socket.into(), Interest::Both, make)
        });
        let said = made.and_then(|handle| match self.table.get_mut(handle) {
            Some(Conn::Client { wire, .. }) => wire.say(text.as_bytes()).ok().map(|()| handle),
            _ => None,
        });
        match said {
            Some(handle) => self.tries[t].conn = Some(handle),
            None => {
                self.world.checker.dropped(now, t as u64);
                self.answered(now, t, Fate::Failed, true, None);
            }
        }
    }

    fn request(&self, now: Micros, t: usize, ask: usize) -> String {
        let a = &self.world.asks[ask];
        let class = &self.world.script.classes[a.class];
        let left_ms = ((a.at + seconds(class.deadline_ms / 1e3) - now) / 1000).max(1);
        let method = if class.effect == EffectSpec::Repeatable { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {t:016x}\r\nX-Service-Class: {}\r\n\
             X-Session-Key: {:016x}\r\nX-Time-Left-Ms: {left_ms}\r\n",
            class.name,
            mix(a.key)
        );
        if class.effect == EffectSpec::Keyed {
            text += &format!("Idempotency-Key: {:016x}\r\n", idempotency(self.world.seed, ask));
        }
        if self.tries_of[ask] > 1 {
            text += "X-Repeat: 1\r\n";
        }
        if let Some(hint) = a.hint {
            text += &format!("X-Weight-Hint: {hint}\r\n");
        }
        text + "\r\n"
    }

    fn hang_up(&mut self, t: usize) {
        self.tries[t].over = true;
        self.open[self.tries[t].sidecar].remove(&t);
        self.tally.fates[self.tries[t].ask] = Fate::GaveUp;
        if let Some(handle) = self.tries[t].conn.take() {
            self.table.remove(handle);
        }
    }

    fn answered(&mut self, now: Micros, t: usize, fate: Fate, genuine: bool, retry_after: Option<Micros>) {
        self.world.checker.answered(now, t as u64, genuine);
        if self.tries[t].over {
            return;
        }
        self.tries[t].over = true;
        let (ask, sidecar) = (self.tries[t].ask, self.tries[t].sidecar);
        self.open[sidecar].remove(&t);
        self.tally.fates[ask] = fate;
        if let Some(at) = retry_at(&self.world, ask, self.tries_of[ask], fate, now, retry_after) {
            self.retries += 1;
            self.at(at, What::Ask(ask));
        }
    }
}
