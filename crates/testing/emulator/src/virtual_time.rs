//! The driver in simulated time: hundreds of sidecars, each the real facade round the real module, against the model of
//! everything else. One heap of events in the order of time; equal script, seed and policy give equal bytes. What the
//! sidecar does on sockets and the facade does not know (kept connections and their retirement, the silence after which a
//! watch is given up) is modelled here, with the sidecar's own figures.
use crate::chance::{mix, unit};
use crate::checker::TOLERANCE;
use crate::figures::{sum_up, Fate, Figures, Tally};
use crate::list::{self, Health, Listed};
use crate::script::{ms, EffectSpec, Script};
use crate::world::{Answer, Event, World};
use crate::Policy;
use silvercross_core::interface::{Decide, Micros, Settings};
use silvercross_facade::{
    self as facade, Balancer, Clock, DiscoveryEvent, Host, Output, Report, Request, Step,
};
use silvercross_gateway::hops::Hops;
use silvercross_gateway::offer::{Limits, Offer, RemoteOutcome};
use silvercross_gateway::peers::Peers;
use silvercross_gateway::statement::Statement;
use silvercross_net::table::Handle;
use silvercross_settings::seconds;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// The time 0 of a run as Unix time: any, as long as it is far from 0, which means "long ago".
const EPOCH: Micros = 1_700_000_000_000_000;
/// As in the sidecar: a connection rests so long between two requests, and so many are kept to a server.
const REST: Micros = 5_000;
const KEPT: usize = 24;
/// As in the sidecar: a watch that is silent for longer is broken; while it stands, something comes every 2 s.
const SILENCE: Micros = 2_800_000;
const ALIVE: Micros = 2_000_000;
/// How often idle connections are looked through.
const SWEEP: Micros = 1_000_000;

/// Makes what decides for one sidecar, from its settings, seed and time of start.
pub type Make<'m> = &'m dyn Fn(Settings, u64, Micros) -> Box<dyn Decide>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Ask(usize),
    Reach(usize),
    Back(usize, u8),
    NoConnection(usize),
    Reset(usize),
    CalledOff(usize),
    Tick(usize, u32),
    HangUp(usize),
    GiveUp(usize),
    AskList(u64),
    Told(u64, u64, bool, Vec<(usize, u8, Option<Micros>)>),
    ListEnded(u64),
    Silence(u64),
    /// A gateway's inward half states its offer.
    State(usize),
    /// A gateway's outward half hears it: which half, which peer, life, sequence, slots.
    Heard(usize, usize, u64, u64, u32, Micros),
    /// What an outward half may send changes by itself.
    Aged(usize),
    Sweep,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Going,
    There,
    Stuck,
    Over,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    of: usize,
    number: u32,
    server: usize,
    /// How often the server had died when the connection was made: it does not outlive that.
    life: u32,
    fresh: bool,
    stage: Stage,
    delay: Micros,
}

struct Try {
    /// Of a gateway's try: the attempt it carries on, when it came, and the sites it has left.
    parent: Option<usize>,
    began: Micros,
    hops: Hops,
    /// An attempt of it may have run: it was written whole and not sent back unseen.
    may_have_run: bool,
    deadline: Micros,
    ask: usize,
    sidecar: usize,
    jobs: Vec<usize>,
    over: bool,
}

struct Sidecar {
    facade: Option<Balancer<()>>,
    starts: u32,
    tick_at: Micros,
    /// Idle connections to each server, the last used at the end: since when.
    idle: BTreeMap<usize, Vec<Micros>>,
    open: BTreeSet<usize>,
    asker: Option<u64>,
    seq: u64,
}

struct Asker {
    sidecar: usize,
    since: u64,
    heard: Micros,
}

/// A half of a gateway, beside its facade: what it decides beyond the module.
enum Half {
    Out { peers: Peers, told: Vec<bool>, aged_at: Micros },
    In { offer: Offer },
}

struct Driver<'m> {
    /// By number: outward, inward, for each gateway.
    halves: Vec<Half>,
    /// The try that carries an attempt on at a gateway.
    carried: HashMap<usize, usize>,
    world: World,
    make: Make<'m>,
    now: Micros,
    clock: Rc<Cell<Micros>>,
    heap: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    sidecars: Vec<Sidecar>,
    lives: Vec<u32>,
    at_server: Vec<BTreeSet<usize>>,
    tries: Vec<Try>,
    tries_of: Vec<u32>,
    jobs: Vec<Job>,
    askers: HashMap<u64, Asker>,
    asked: u64,
    tally: Tally,
    events: Vec<Event>,
    steps: VecDeque<(usize, Step<()>)>,
}

fn address(server: usize) -> SocketAddr {
    let n = server as u32;
    SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 1))
}

fn health_of(h: Health) -> facade::Health {
    match h {
        Health::Ready => facade::Health::Ready,
        Health::Draining => facade::Health::Draining,
        Health::Gone => facade::Health::Gone,
    }
}

fn server_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => (u32::from_be_bytes(a.ip().octets()) & 0xff_ffff) as usize,
        SocketAddr::V6(_) => unreachable!("only addresses made here come back"),
    }
}

/// Play a script with one of the policies by name.
pub fn play(script: &Script, seed: u64, policy: Policy) -> Figures {
    let mut figures = play_with(script, seed, &|settings, seed, now| policy.make(settings, seed, now));
    figures.policy = policy.name().into();
    figures
}

/// Play a script with whatever `make` makes for each sidecar.
pub fn play_with(script: &Script, seed: u64, make: Make<'_>) -> Figures {
    let world = World::new(script.clone(), seed);
    let (servers, asks) = (world.servers.len(), world.asks.len());
    let targets = servers + 2 * script.gateways();
    let blank = |_| Sidecar {
        facade: None,
        starts: 0,
        tick_at: Micros::MAX,
        idle: BTreeMap::new(),
        open: BTreeSet::new(),
        asker: None,
        seq: 0,
    };
    let mut driver = Driver {
        halves: Vec::new(),
        carried: HashMap::new(),
        sidecars: (0..script.sidecars() + 2 * script.gateways()).map(blank).collect(),
        lives: vec![0; targets],
        at_server: vec![BTreeSet::new(); targets],
        tries: Vec::new(),
        tries_of: vec![0; asks],
        jobs: Vec::new(),
        askers: HashMap::new(),
        asked: 0,
        tally: Tally::new(asks, servers),
        events: Vec::new(),
        steps: VecDeque::new(),
        heap: BinaryHeap::new(),
        order: 0,
        now: 0,
        clock: Rc::new(Cell::new(EPOCH)),
        make,
        world,
    };
    driver.run();
    let until = driver.now;
    let list_calls = driver.world.list.asked;
    let (rules, breaches) = driver.world.checker.finish(until);
    let mut figures = sum_up(script, seed, &driver.world.asks, driver.tally, until);
    (figures.mode, figures.rules, figures.breaches) = ("virtual".into(), rules, breaches);
    figures.list_calls = list_calls;
    figures.expect(&script.expects);
    figures
}

impl Driver<'_> {
    fn run(&mut self) {
        let script = &self.world.script;
        let longest = script.classes.iter().map(|c| ms(c.deadline_ms)).max().unwrap_or(0);
        let end = script.length() + longest + 1_000_000;
        // Faults at the time 0 come first: a server that starts late is not there yet.
        self.advance_world();
        for i in 0..2 * self.world.script.gateways() {
            let half = self.new_half(i);
            self.halves.push(half);
        }
        for i in 0..self.sidecars.len() {
            self.start(i);
        }
        if !self.world.asks.is_empty() {
            self.at(self.world.asks[0].at, What::Ask(0));
        }
        self.at(SWEEP, What::Sweep);
        loop {
            let due = self.heap.peek().map_or(Micros::MAX, |e| e.0 .0);
            let world = self.world.next().unwrap_or(Micros::MAX);
            let next = due.min(world).max(self.now);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            self.clock.set(EPOCH + next);
            if world <= next {
                self.advance_world();
            } else if let Some(Reverse((_, _, what))) = self.heap.pop() {
                self.happen(what);
            }
            self.do_steps();
        }
    }

    fn at(&mut self, at: Micros, what: What) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, what)));
    }

    fn advance_world(&mut self) {
        let mut events = std::mem::take(&mut self.events);
        self.world.advance(self.now, &mut events);
        self.events = events;
        self.do_events();
    }

    fn do_events(&mut self) {
        let mut events = std::mem::take(&mut self.events);
        for event in events.drain(..) {
            match event {
                Event::Answer { job, answer } => {
                    let job = job as usize;
                    if self.jobs[job].stage != Stage::There {
                        continue;
                    }
                    let (server, sidecar) = (self.jobs[job].server, self.tries[self.jobs[job].of].sidecar);
                    self.at_server[server].remove(&job);
                    if self.world.reaches(sidecar, server) {
                        self.at(self.now + self.jobs[job].delay, What::Back(job, answer as u8));
                    } else {
                        self.jobs[job].stage = Stage::Stuck;
                        self.at_server[server].insert(job);
                    }
                }
                Event::Died { server } => {
                    self.lives[server] += 1;
                    if !self.world.is_silent(server) {
                        self.cut_off(server, |_| true);
                    }
                }
                Event::Silent { server, on } => {
                    if !on {
                        self.cut_off(server, |stage| stage == Stage::Stuck);
                    }
                }
                Event::Cut { on, .. } => {
                    if !on {
                        for server in 0..self.at_server.len() {
                            self.cut_off(server, |stage| stage == Stage::Stuck);
                        }
                    }
                }
                Event::Started { .. } => {}
                Event::List(out) => self.list_said(out),
                Event::Gateway { number, up } => {
                    for half in [2 * number, 2 * number + 1] {
                        self.gateway_turns(half, up);
                    }
                }
                Event::GatewayDrains { number } => {
                    if let Half::In { offer } = &mut self.halves[2 * number + 1] {
                        offer.drain();
                    }
                    self.at(self.now, What::State(2 * number + 1));
                }
                Event::Sidecar { number, up: true } => self.start(number),
                Event::Sidecar { number, up: false } => self.die(number),
            }
        }
        self.events = events;
    }

    /// Connections to a server are reset: the attempts on them for which `hit` says so, and the idle ones of whoever had
    /// one hit or where the process died.
    fn cut_off(&mut self, server: usize, hit: impl Fn(Stage) -> bool) {
        let hit: Vec<usize> =
            self.at_server[server].iter().copied().filter(|j| hit(self.jobs[*j].stage)).collect();
        for job in hit {
            self.at_server[server].remove(&job);
            if self.jobs[job].stage == Stage::Over {
                continue;
            }
            self.at(self.now + self.jobs[job].delay, What::Reset(job));
        }
        for s in &mut self.sidecars {
            s.idle.remove(&server);
        }
    }

    fn list_said(&mut self, out: list::Out) {
        match out {
            list::Out::Told { asker, seq, whole, entries } => {
                let entries = entries.into_iter().map(|l| (l.server, l.health as u8, l.born)).collect();
                self.at(self.now + self.near(), What::Told(asker, seq, whole, entries));
            }
            list::Out::Ended { asker } => self.at(self.now + self.near(), What::ListEnded(asker)),
        }
    }

    /// One way to the list service.
    fn near(&self) -> Micros {
        ms(self.world.script.network.same_ms)
    }

    fn hosts(&self, entries: &[Listed]) -> Vec<Host> {
        let sites = &self.world.script.sites;
        let kinds = self.world.script.machine_kinds();
        let servers = self.world.servers.len();
        let gateway = |target: usize| {
            let (home, number) = (self.world.site(target), (target - servers) / 2);
            // For its own site it stands for the far one, in a cell of its own; for the far site likewise.
            let far = if (target - servers).is_multiple_of(2) { (home + 1) % sites.len() } else { home };
            Host {
                name: format!("g-{}", target - servers),
                address: Some(address(target)),
                zone: sites[far].name.clone(),
                kind: "gateway".into(),
                cell: 1_000_000 + number as u32,
                health: facade::Health::Ready,
                size: 1.0,
                started_ms: 0,
            }
        };
        let host = |l: &Listed| {
            if l.server >= servers {
                Host { health: health_of(l.health), ..gateway(l.server) }
            } else {
                Host {
                    name: format!("s-{}", l.server),
                    address: Some(address(l.server)),
                    zone: sites[self.world.site(l.server)].name.clone(),
                    kind: kinds[self.world.kind(l.server)].name.clone(),
                    cell: self.world.cell(l.server) as u32,
                    health: health_of(l.health),
                    size: 1.0,
                    started_ms: l.born.map_or(0, |b| ((EPOCH + b) / 1000) as u64),
                }
            }
        };
        entries.iter().map(host).collect()
    }

    fn start(&mut self, i: usize) {
        if !self.world.sidecar_up(i) {
            return;
        }
        let site = self.world.sidecar_site(i) as u32;
        let (settings, front) = self.world.script.settings(i, site);
        let known = match self.half_of(i) {
            Some(half) if half.is_multiple_of(2) => self.peer_hosts(half, |_| Health::Draining),
            _ => self.hosts(&self.world.known(i)),
        };
        let s = &mut self.sidecars[i];
        s.starts += 1;
        let seed = mix(self.world.seed ^ mix(i as u64) ^ (u64::from(s.starts) << 48));
        let module = (self.make)(settings.clone(), seed, EPOCH + self.now);
        let mut facade =
            Balancer::with_decider(module, settings, front, &known, Clock::manual(self.clock.clone()));
        s.tick_at = Micros::MAX;
        s.seq = self.world.known_seq();
        let turn = facade.tick(EPOCH + self.now);
        s.facade = Some(facade);
        self.world.checker.restarted(self.now, i);
        self.absorb(i, turn);
    }

    fn die(&mut self, i: usize) {
        let s = &mut self.sidecars[i];
        s.facade = None;
        s.idle.clear();
        if let Some(asker) = s.asker.take() {
            self.askers.remove(&asker);
            self.world.list.hang_up(asker);
        }
        for t in std::mem::take(&mut self.sidecars[i].open) {
            self.tries[t].over = true;
            match self.tries[t].parent {
                // A gateway is gone: whoever sent it there sees the connection break.
                Some(parent) => {
                    self.carried.remove(&parent);
                    self.at(self.now + self.jobs[parent].delay, What::Reset(parent));
                }
                None => {
                    self.world.checker.released(t as u64);
                    self.tally.fates[self.tries[t].ask] = Fate::Void;
                }
            }
            for job in self.tries[t].jobs.clone() {
                self.call_off(job);
            }
        }
    }

    fn absorb(&mut self, sidecar: usize, turn: Output<()>) {
        self.steps.extend(turn.steps.into_iter().map(|s| (sidecar, s)));
        let Some(wake) = turn.wake.map(|w| (w - EPOCH).max(self.now)) else { return };
        let s = &mut self.sidecars[sidecar];
        if wake < s.tick_at {
            s.tick_at = wake;
            let starts = s.starts;
            self.at(wake, What::Tick(sidecar, starts));
        }
    }

    /// Hand something to a sidecar's facade, if it runs.
    fn tell(&mut self, sidecar: usize, what: impl FnOnce(&mut Balancer<()>) -> Output<()>) {
        if let Some(f) = self.sidecars[sidecar].facade.as_mut() {
            let turn = what(f);
            self.absorb(sidecar, turn);
        }
    }

    fn do_steps(&mut self) {
        while let Some((sidecar, step)) = self.steps.pop_front() {
            match step {
                Step::Send { attempt, to, .. } => self.send(attempt, server_at(to)),
                Step::Cancel { attempt } => {
                    let of = &self.tries[attempt.request.number() as usize];
                    if let Some(job) = of.jobs.get(attempt.number as usize).copied() {
                        self.call_off(job);
                    }
                }
                Step::Serve { attempt } => {
                    self.answered(attempt.request.number() as usize, Fate::Served(self.now), None)
                }
                Step::Refuse { request, retry_after } => {
                    self.answered(request.number() as usize, Fate::Refused, retry_after);
                }
                Step::Fail { request } => self.answered(request.number() as usize, Fate::Failed, None),
                Step::Subscribe(on) => self.watch(sidecar, on, true),
                Step::FetchList => self.watch(sidecar, true, false),
                Step::CloseIdle(_) | Step::Timer(()) | Step::Note(_) => {}
            }
        }
    }

    fn watch(&mut self, sidecar: usize, on: bool, watch: bool) {
        if self.half_of(sidecar).is_some_and(|h| h.is_multiple_of(2)) {
            // An outward half's list is what its peers state.
            return;
        }
        if let Some(asker) = self.sidecars[sidecar].asker.take() {
            self.askers.remove(&asker);
            self.world.list.hang_up(asker);
        }
        if !on || !watch {
            return self.world.checker.contact(self.now, sidecar, false);
        }
        self.asked += 1;
        let s = &mut self.sidecars[sidecar];
        s.asker = Some(self.asked);
        self.askers.insert(self.asked, Asker { sidecar, since: s.seq, heard: self.now });
        self.world.checker.contact(self.now, sidecar, false);
        self.at(self.now + self.near(), What::AskList(self.asked));
        self.at(self.now + SILENCE, What::Silence(self.asked));
    }

    fn list_broken(&mut self, asker: u64) {
        let Some(a) = self.askers.remove(&asker) else { return };
        self.world.list.hang_up(asker);
        self.sidecars[a.sidecar].asker = None;
        self.world.checker.contact(self.now, a.sidecar, false);
        self.tell(a.sidecar, |f| f.discovery_event(&DiscoveryEvent::Broken));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Ask(ask) => {
                // Asks are in the order of time: one in the heap at a time is enough for all first tries.
                if self.tries_of[ask] == 0 && ask + 1 < self.world.asks.len() {
                    self.at(self.world.asks[ask + 1].at, What::Ask(ask + 1));
                }
                self.ask(ask);
            }
            What::Reach(job) => self.reach(job),
            What::Back(job, answer) => self.back(job, answer),
            What::NoConnection(job) => self.ended(job, Report::NotDelivered),
            What::Reset(job) => self.ended(job, Report::Reset),
            What::State(half) => self.state(half),
            What::Heard(half, peer, incarnation, seq, slots, validity) => {
                let now = self.now;
                if let Half::Out { peers, .. } = &mut self.halves[half] {
                    peers.receive(now, peer, Statement { incarnation, seq, slots, validity });
                }
                self.tell_room(half);
            }
            What::Aged(half) => {
                if let Half::Out { aged_at, .. } = &mut self.halves[half] {
                    *aged_at = Micros::MAX;
                }
                self.tell_room(half);
            }
            What::CalledOff(job) if self.jobs[job].server >= self.world.servers.len() => {
                self.at_server[self.jobs[job].server].remove(&job);
                if let Some(t) = self.carried.remove(&job) {
                    self.left(t);
                }
            }
            What::CalledOff(job) => {
                self.at_server[self.jobs[job].server].remove(&job);
                let mut events = std::mem::take(&mut self.events);
                self.world.cancel(self.now, job as u64, &mut events);
                self.events = events;
                self.do_events();
            }
            What::Tick(sidecar, starts) => {
                let s = &mut self.sidecars[sidecar];
                if s.starts == starts && s.tick_at <= self.now {
                    s.tick_at = Micros::MAX;
                    let now = EPOCH + self.now;
                    self.tell(sidecar, |f| f.tick(now));
                }
            }
            What::HangUp(t) => {
                if !self.tries[t].over {
                    self.world.checker.released(t as u64);
                    self.hang_up(t);
                }
            }
            What::GiveUp(t) => {
                if !self.tries[t].over {
                    self.hang_up(t);
                }
            }
            What::AskList(asker) => {
                let Some(since) = self.askers.get(&asker).map(|a| a.since) else { return };
                let mut events = std::mem::take(&mut self.events);
                self.world.ask_list(self.now, asker, Some(since), true, &mut events);
                self.events = events;
                self.do_events();
            }
            What::Told(asker, seq, whole, entries) => self.told(asker, seq, whole, &entries),
            What::ListEnded(asker) => self.list_broken(asker),
            What::Silence(asker) => {
                let stands = self.world.list.is_well() && self.world.list.is_watching(asker);
                let now = self.now;
                let Some(a) = self.askers.get_mut(&asker) else { return };
                if stands {
                    a.heard = now;
                }
                if now - a.heard >= SILENCE {
                    return self.list_broken(asker);
                }
                let next = if stands { now + ALIVE } else { a.heard + SILENCE };
                self.at(next, What::Silence(asker));
            }
            What::Sweep => {
                let retire = self.now - seconds(self.world.script.sidecar.idle_close_s) / 2;
                for s in &mut self.sidecars {
                    for (server, idle) in &mut s.idle {
                        let before = idle.len();
                        idle.retain(|since| *since > retire);
                        if let Some(s) = self.world.servers.get_mut(*server) {
                            s.connections = s.connections.saturating_sub(before - idle.len());
                        }
                    }
                    s.idle.retain(|_, idle| !idle.is_empty());
                }
                self.at(self.now + SWEEP, What::Sweep);
            }
        }
    }

    fn told(&mut self, asker: u64, seq: u64, whole: bool, entries: &[(usize, u8, Option<Micros>)]) {
        let Some(a) = self.askers.get_mut(&asker) else { return };
        a.heard = self.now;
        let sidecar = a.sidecar;
        self.sidecars[sidecar].seq = seq;
        let health = |h: u8| match h {
            h if h == Health::Ready as u8 => Health::Ready,
            h if h == Health::Draining as u8 => Health::Draining,
            _ => Health::Gone,
        };
        let entries: Vec<Listed> = entries
            .iter()
            .filter(|e| self.world.tells(sidecar, e.0))
            .map(|(server, h, born)| Listed { server: *server, health: health(*h), born: *born })
            .collect();
        self.world.checker.contact(self.now, sidecar, true);
        for l in entries.iter().filter(|l| l.health == Health::Draining) {
            self.world.checker.told(self.now, sidecar, l.server);
        }
        let hosts = self.hosts(&entries);
        self.tell(sidecar, |f| f.discovery_event(&DiscoveryEvent::List { whole, hosts }));
    }

    fn ask(&mut self, ask: usize) {
        let a = &self.world.asks[ask];
        let (sidecar, class) = (a.sidecar, &self.world.script.classes[a.class]);
        let left = a.at + ms(class.deadline_ms) - self.now;
        if self.sidecars[sidecar].facade.is_none() {
            self.tries_of[ask] += 1;
            self.tally.fates[ask] = Fate::Void;
            return;
        }
        let t = self.tries.len();
        let request = Request {
            handle: Handle::from_number(t as u64),
            class: a.class as u32,
            tenant: 0,
            key: Some(mix(a.key)),
            budget: Some(left),
            cost_hint: a.hint,
            client_retry: self.tries_of[ask] > 0,
            write: class.effect != EffectSpec::Repeatable,
        };
        let half = a.impatient.then(|| a.at + ms(class.deadline_ms) / 2).filter(|at| *at > self.now);
        let deadline = self.now + left;
        self.tries.push(Try {
            parent: None,
            began: self.now,
            hops: Hops::default(),
            may_have_run: false,
            deadline,
            ask,
            sidecar,
            jobs: Vec::new(),
            over: false,
        });
        self.tries_of[ask] += 1;
        self.tally.tries += 1;
        self.sidecars[sidecar].open.insert(t);
        self.world.checker.opened(t as u64, self.now + left);
        if let Some(at) = half {
            self.at(at, What::HangUp(t));
        }
        self.at(self.now + left + TOLERANCE, What::GiveUp(t));
        self.tell(sidecar, |f| f.pick(request));
    }

    fn hang_up(&mut self, t: usize) {
        let sidecar = self.tries[t].sidecar;
        self.tries[t].over = true;
        self.sidecars[sidecar].open.remove(&t);
        self.tally.fates[self.tries[t].ask] = Fate::GaveUp;
        self.tell(sidecar, |f| f.client_disconnected(Handle::from_number(t as u64)));
    }

    /// A client has its final answer for a try.
    fn answered(&mut self, t: usize, fate: Fate, retry_after: Option<Micros>) {
        if self.tries[t].parent.is_some() {
            return self.carried_answer(t, fate);
        }
        self.world.checker.answered(self.now, t as u64, true);
        if self.tries[t].over {
            return;
        }
        self.tries[t].over = true;
        let (ask, sidecar) = (self.tries[t].ask, self.tries[t].sidecar);
        self.sidecars[sidecar].open.remove(&t);
        self.tally.fates[ask] = fate;
        let again = retry_at(&self.world, ask, self.tries_of[ask], fate, self.now, retry_after);
        if let Some(at) = again {
            self.at(at, What::Ask(ask));
        }
    }

    fn send(&mut self, attempt: facade::Attempt, server: usize) {
        let t = attempt.request.number() as usize;
        let sidecar = self.tries[t].sidecar;
        let job = self.jobs.len();
        self.tries[t].jobs.push(job);
        let dice = |n: u64| unit(self.world.seed ^ 0xde1a, mix(job as u64) ^ n);
        let delay = self.world.delay(sidecar, server, dice(1));
        let crosses = self.world.sidecar_site(sidecar) != self.world.site(server);
        let retire = self.now - seconds(self.world.script.sidecar.idle_close_s) / 2;
        let rested = self.now - REST;
        let idle = self.sidecars[sidecar].idle.get_mut(&server);
        // The last used that has rested; those that are too old have been swept or are closed now.
        let kept = idle.and_then(|i| {
            i.retain(|since| *since > retire);
            let place = i.iter().rposition(|since| *since <= rested)?;
            Some(i.remove(place))
        });
        let fresh = kept.is_none();
        let half = self.half_of(sidecar);
        if half.is_none() {
            self.tally.sent(self.now, server, crosses || server >= self.world.servers.len());
        } else {
            self.tally.reached(self.now, server);
        }
        let life = self.lives[server];
        if let Some(Half::Out { peers, .. }) = half.map(|h| &mut self.halves[h]) {
            let peer = server - self.world.servers.len();
            if !peers.has_room(self.now, peer / 2) {
                // Its offer ended as the module picked it: nothing was written.
                self.jobs.push(Job {
                    of: t,
                    number: attempt.number,
                    server,
                    life,
                    fresh: false,
                    stage: Stage::Over,
                    delay,
                });
                return self.tell(sidecar, |f| f.report(attempt, Report::Rejected));
            }
            peers.sent(peer / 2);
            self.tell_room(half.expect("a half"));
        }
        let mut new = Job { of: t, number: attempt.number, server, life, fresh, stage: Stage::Going, delay };
        if !fresh {
            self.jobs.push(new);
            return self.at(self.now + delay, What::Reach(job));
        }
        self.tally.connections += u64::from(half.is_none());
        let limit = ms(self.world.script.sidecar.connect_limit_ms);
        let (up, full) = match self.world.servers.get(server) {
            Some(s) => (s.up, s.connections >= s.connection_limit()),
            None => (self.sidecars[self.half_sidecar(server)].facade.is_some(), !self.takes(server)),
        };
        if !self.world.reaches(sidecar, server) || 2 * delay > limit {
            self.jobs.push(new);
            return self.at(self.now + limit, What::NoConnection(job));
        }
        if !up || full {
            self.jobs.push(new);
            return self.at(self.now + 2 * delay, What::NoConnection(job));
        }
        self.hold(server, 1);
        new.delay = self.world.delay(sidecar, server, unit(self.world.seed ^ 0xde1b, job as u64));
        self.jobs.push(new);
        self.at(self.now + 2 * delay + new.delay, What::Reach(job));
    }

    fn reach(&mut self, job: usize) {
        let j = self.jobs[job];
        let (t, server) = (j.of, j.server);
        let sidecar = self.tries[t].sidecar;
        if !self.world.reaches(sidecar, server) {
            if j.stage != Stage::Over {
                self.jobs[job].stage = Stage::Stuck;
                self.at_server[server].insert(job);
            }
            return;
        }
        self.tries[t].may_have_run = true;
        if server >= self.world.servers.len() {
            if j.stage != Stage::Over {
                self.jobs[job].stage = Stage::There;
                self.at_server[server].insert(job);
                self.world.checker.sent(self.now - j.delay, t as u64, sidecar, server);
                self.carry(job);
            }
            return;
        }
        if !self.world.servers[server].up || self.lives[server] != j.life {
            return self.at(self.now + j.delay, What::Reset(job));
        }
        self.world.checker.sent(self.now - j.delay, t as u64, sidecar, server);
        let called_off = j.stage == Stage::Over;
        if !called_off {
            self.jobs[job].stage = Stage::There;
            self.at_server[server].insert(job);
        }
        let mut events = std::mem::take(&mut self.events);
        self.world.arrive(self.now, job as u64, self.tries[t].ask, server, j.fresh, &mut events);
        if called_off {
            self.world.cancel(self.now, job as u64, &mut events);
        }
        self.events = events;
        self.do_events();
    }

    fn back(&mut self, job: usize, answer: u8) {
        let j = self.jobs[job];
        if j.stage == Stage::Over {
            return;
        }
        let sidecar = self.tries[j.of].sidecar;
        if self.lives[j.server] == j.life {
            let idle = self.sidecars[sidecar].idle.entry(j.server).or_default();
            if idle.len() < KEPT {
                idle.push(self.now);
            } else {
                self.hold(j.server, -1);
            }
        }
        let report = match answer {
            a if a == Answer::Served as u8 => Report::Served,
            a if a == Answer::Error as u8 => Report::Error,
            _ => Report::Rejected,
        };
        self.hear_with(job);
        self.ended(job, report);
    }

    /// An attempt has ended as its sidecar sees it.
    fn ended(&mut self, job: usize, report: Report) {
        let j = self.jobs[job];
        if j.stage == Stage::Over {
            return;
        }
        self.jobs[job].stage = Stage::Over;
        self.peer_ended(job, report);
        if report == Report::Rejected || report == Report::NotDelivered {
            // The others of it that are out, or ended otherwise, may have run all the same.
            let others =
                self.tries[j.of].jobs.iter().any(|o| *o != job && self.jobs[*o].stage != Stage::Over);
            self.tries[j.of].may_have_run = others || self.tries[j.of].jobs.len() > 1;
        }
        let attempt = facade::Attempt { request: Handle::from_number(j.of as u64), number: j.number };
        self.tell(self.tries[j.of].sidecar, |f| f.report(attempt, report));
    }

    /// A sidecar closes an attempt's connection.
    fn call_off(&mut self, job: usize) {
        let j = self.jobs[job];
        if j.stage == Stage::Over {
            return;
        }
        self.jobs[job].stage = Stage::Over;
        self.peer_ended(job, Report::Reset);
        if self.lives[j.server] == j.life {
            self.hold(j.server, -1);
        }
        if j.stage == Stage::There && self.world.reaches(self.tries[j.of].sidecar, j.server) {
            self.at(self.now + j.delay, What::CalledOff(job));
        }
    }
}

/// The gateways: each is two facades, the outward half's round the far gateways, the inward half's round home's servers.
impl Driver<'_> {
    /// The half that a "sidecar" is.
    fn half_of(&self, sidecar: usize) -> Option<usize> {
        sidecar.checked_sub(self.world.script.sidecars())
    }

    /// The "sidecar" that the half behind a target is.
    fn half_sidecar(&self, target: usize) -> usize {
        self.world.script.sidecars() + target - self.world.servers.len()
    }

    /// One connection more or less at a server; gateways hold as many as come.
    fn hold(&mut self, server: usize, more: isize) {
        if let Some(s) = self.world.servers.get_mut(server) {
            s.connections = s.connections.saturating_add_signed(more);
        }
    }

    fn new_half(&mut self, half: usize) -> Half {
        let spec = self.world.script.gateway.clone().unwrap_or_default();
        let n = self.world.script.gateways();
        if half.is_multiple_of(2) {
            return Half::Out { peers: Peers::new(n, spec.most), told: vec![false; n], aged_at: Micros::MAX };
        }
        let limits = Limits { initial_slots: spec.first, max_slots: spec.most, validity: ms(spec.holds_ms) };
        let life = mix(self.world.seed ^ self.now as u64 ^ mix(half as u64));
        self.at(self.now + 1_000, What::State(half));
        Half::In { offer: Offer::new(limits, life, self.now) }
    }

    fn gateway_turns(&mut self, half: usize, up: bool) {
        let sidecar = self.world.script.sidecars() + half;
        if self.sidecars[sidecar].facade.is_some() {
            self.die(sidecar);
        }
        self.lives[self.world.servers.len() + half] += 1;
        if up {
            self.halves[half] = self.new_half(half);
            self.start(sidecar);
        }
    }

    /// The far gateways as an outward half's module is to know them.
    fn peer_hosts(&self, half: usize, health: impl Fn(usize) -> Health) -> Vec<Host> {
        let servers = self.world.servers.len();
        let home = self.world.site(servers + half);
        let far = (0..self.world.script.gateways()).filter(|g| self.world.site(servers + 2 * g) != home);
        let listed = far.map(|g| Listed { server: servers + 2 * g + 1, health: health(g), born: None });
        self.hosts(&listed.collect::<Vec<_>>())
    }

    /// Whether a gateway's half takes connections: an outward half only while something may go over.
    fn takes(&self, target: usize) -> bool {
        let aims = self.world.script.classes.iter().map(|c| ms(c.aim_ms));
        match &self.halves[target - self.world.servers.len()] {
            Half::Out { peers, .. } => peers.is_open(self.now, aims.max().unwrap_or(0)),
            Half::In { .. } => true,
        }
    }

    /// Tell an outward half's module which far gateways may be sent anything now, where that has changed.
    fn tell_room(&mut self, half: usize) {
        let now = self.now;
        let Half::Out { peers, told, aged_at } = &mut self.halves[half] else { return };
        let open: Vec<bool> = (0..told.len()).map(|p| peers.has_room(now, p)).collect();
        let next = peers.next_change(now).filter(|at| at < aged_at);
        *aged_at = next.unwrap_or(*aged_at);
        let changed = open != *told;
        told.clone_from(&open);
        if let Some(at) = next {
            self.at(at, What::Aged(half));
        }
        if !self.takes(self.world.servers.len() + half) {
            // Those that stand idle are closed too: whoever wants over has to knock, and is not let in.
            let target = self.world.servers.len() + half;
            for s in &mut self.sidecars {
                s.idle.remove(&target);
            }
        }
        if changed {
            let health = |g: usize| if open[g] { Health::Ready } else { Health::Draining };
            let hosts = self.peer_hosts(half, health);
            let sidecar = self.world.script.sidecars() + half;
            self.tell(sidecar, |f| f.discovery_event(&DiscoveryEvent::List { whole: true, hosts }));
        }
    }

    /// How many gateways a half's offer is parted among: those of the other sites.
    fn far_gateways(&self, half: usize) -> u32 {
        let per_site = self.world.script.gateway.as_ref().map_or(1, |g| g.per_site);
        let home = self.world.site(self.world.servers.len() + half);
        self.world.script.sites.iter().enumerate().filter(|(i, _)| *i != home).count() as u32
            * per_site as u32
    }

    /// An inward half states its offer to all far gateways that it reaches.
    fn state(&mut self, half: usize) {
        let sidecar = self.world.script.sidecars() + half;
        if self.sidecars[sidecar].facade.is_none() {
            return;
        }
        let among = self.far_gateways(half);
        let Half::In { offer } = &mut self.halves[half] else { return };
        let s = offer.next_statement(self.now, among);
        let (servers, home) = (self.world.servers.len(), self.world.sidecar_site(sidecar));
        for g in 0..self.world.script.gateways() {
            let target = servers + 2 * g;
            if self.world.site(target) != home && self.world.reaches(sidecar, target) {
                let delay = self.world.delay(sidecar, target, unit(self.world.seed ^ s.seq, g as u64));
                self.at(
                    self.now + delay,
                    What::Heard(2 * g, half / 2, s.incarnation, s.seq, s.slots, s.validity),
                );
            }
        }
        let every = self.world.script.gateway.as_ref().map_or(300.0, |g| g.state_ms);
        self.at(self.now + ms(every), What::State(half));
    }

    /// An answer over the link brings a statement along.
    fn hear_with(&mut self, job: usize) {
        let (from, target) = (self.half_of(self.tries[self.jobs[job].of].sidecar), self.jobs[job].server);
        let Some(inward) = target.checked_sub(self.world.servers.len()).filter(|h| !h.is_multiple_of(2))
        else {
            return;
        };
        let Some(half) = from else { return };
        let among = self.far_gateways(inward);
        let Half::In { offer } = &mut self.halves[inward] else { return };
        let (s, now) = (offer.next_statement(self.now, among), self.now);
        if let Half::Out { peers, .. } = &mut self.halves[half] {
            peers.receive(now, inward / 2, s);
        }
        self.tell_room(half);
    }

    /// An attempt of an outward half has ended.
    fn peer_ended(&mut self, job: usize, report: Report) {
        let j = self.jobs[job];
        let t = &self.tries[j.of];
        let Some(half) = self.half_of(t.sidecar) else { return };
        let size = self.world.asks[t.ask].expected
            / ms(self.world.script.classes[self.world.asks[t.ask].class].work_ms) as f64;
        let took = (report == Report::Served).then(|| (self.now - t.began) as f64 / size.max(0.1));
        let now = self.now;
        let Half::Out { peers, .. } = &mut self.halves[half] else { return };
        let peer = (j.server - self.world.servers.len()) / 2;
        peers.ended(now, peer, took);
        if matches!(report, Report::NotDelivered) || (report == Report::Reset && j.stage == Stage::Stuck) {
            peers.link_lost(peer);
        }
        self.tell_room(half);
    }

    /// An attempt has come to a gateway: carry it on, or send it back unseen.
    fn carry(&mut self, job: usize) {
        let (of, target) = (self.jobs[job].of, self.jobs[job].server);
        let (half, sidecar) = (target - self.world.servers.len(), self.half_sidecar(target));
        if self.sidecars[sidecar].facade.is_none() || self.lives[target] != self.jobs[job].life {
            self.at_server[target].remove(&job);
            return self.at(self.now + self.jobs[job].delay, What::Reset(job));
        }
        let ask = self.tries[of].ask;
        let a = &self.world.asks[ask];
        let class = &self.world.script.classes[a.class];
        let left = self.tries[of].deadline - self.jobs[job].delay - self.now;
        let home = self.world.script.sites[self.world.site(target)].name.clone();
        let size = a.expected / ms(class.work_ms) as f64;
        let hops = match &mut self.halves[half] {
            Half::Out { peers, .. } => {
                let fits = peers.may_cross(self.now, left, size).ok();
                fits.and_then(|()| self.tries[of].hops.leave(&home).ok())
            }
            Half::In { offer } => {
                let hops = self.tries[of].hops.clone();
                hops.arrive(&home).ok().filter(|()| offer.admit(self.now)).map(|()| hops)
            }
        };
        let Some(hops) = hops.filter(|_| left > 0) else {
            self.at_server[target].remove(&job);
            return self.at(self.now + self.jobs[job].delay, What::Back(job, Answer::Full as u8));
        };
        let t = self.tries.len();
        let request = Request {
            handle: Handle::from_number(t as u64),
            class: a.class as u32,
            tenant: 0,
            key: Some(mix(a.key)),
            budget: Some(left),
            cost_hint: a.hint,
            client_retry: false,
            write: class.effect != EffectSpec::Repeatable,
        };
        self.tries.push(Try {
            parent: Some(job),
            began: self.now,
            hops,
            may_have_run: false,
            deadline: self.now + left,
            ask,
            sidecar,
            jobs: Vec::new(),
            over: false,
        });
        self.carried.insert(job, t);
        self.sidecars[sidecar].open.insert(t);
        self.tell(sidecar, |f| f.pick(request));
    }

    /// What a gateway's inward half learns of a guest that is done.
    fn guest_ended(&mut self, t: usize, how: RemoteOutcome) {
        let (took, expected) = (self.now - self.tries[t].began, self.world.asks[self.tries[t].ask].expected);
        let left = self.tries[t].deadline - self.tries[t].began;
        let half = self.half_of(self.tries[t].sidecar);
        if let Some(Half::In { offer }) = half.map(|h| &mut self.halves[h]) {
            offer.ended(self.now, how, took, expected, left);
        }
    }

    /// A gateway's facade has its final answer for what it carries on.
    fn carried_answer(&mut self, t: usize, fate: Fate) {
        let Some(parent) = self.tries[t].parent.filter(|_| !self.tries[t].over) else { return };
        self.tries[t].over = true;
        let sidecar = self.tries[t].sidecar;
        self.sidecars[sidecar].open.remove(&t);
        self.carried.remove(&parent);
        let how = match fate {
            Fate::Served(_) => RemoteOutcome::Served,
            Fate::Refused => RemoteOutcome::Rejected,
            _ => RemoteOutcome::Failed,
        };
        self.guest_ended(t, how);
        let answer = match how {
            RemoteOutcome::Served => Answer::Served,
            // Only what cannot have run anywhere may be sent again anywhere.
            _ if !self.tries[t].may_have_run => Answer::Full,
            _ => Answer::Error,
        };
        let j = self.jobs[parent];
        self.at_server[j.server].remove(&parent);
        if j.stage != Stage::There {
            return;
        }
        let from = self.tries[j.of].sidecar;
        if self.world.reaches(from, j.server) {
            self.at(self.now + j.delay, What::Back(parent, answer as u8));
        } else {
            self.jobs[parent].stage = Stage::Stuck;
            self.at_server[j.server].insert(parent);
        }
    }

    /// Whoever sent what a gateway carries on has called it off.
    fn left(&mut self, t: usize) {
        if std::mem::replace(&mut self.tries[t].over, true) {
            return;
        }
        let sidecar = self.tries[t].sidecar;
        self.sidecars[sidecar].open.remove(&t);
        self.guest_ended(t, RemoteOutcome::Disconnected);
        self.tell(sidecar, |f| f.client_disconnected(Handle::from_number(t as u64)));
    }
}

/// When a client tries again, if it does: it wants to, may, and has the time.
pub fn retry_at(
    world: &World,
    ask: usize,
    tries: u32,
    fate: Fate,
    now: Micros,
    retry_after: Option<Micros>,
) -> Option<Micros> {
    let (a, clients) = (&world.asks[ask], &world.script.clients);
    let class = &world.script.classes[a.class];
    let may = match fate {
        Fate::Refused => true,
        Fate::Failed => class.effect == EffectSpec::Repeatable,
        _ => false,
    };
    if !may || tries > clients.retries {
        return None;
    }
    let dice = 0.5 + unit(world.seed ^ 0xbac0, (ask as u64) << 8 | u64::from(tries));
    let own = ms(clients.backoff_ms * dice);
    let wait = retry_after.filter(|_| a.honours).map_or(own, |r| r.max(own));
    let at = now + wait.max(1_000);
    (at + ms(class.aim_ms) / 10 < a.at + ms(class.deadline_ms)).then_some(at)
}
