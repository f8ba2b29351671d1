//! What one process of the mesh knows and shares between its tasks: settings, the routing table in force, who is where, the
//! upstream beside it. Each part behind a borrow that never outlives a statement.
use crate::carriers::{Body, Carriers, Station};
use crate::desk::{self, Desk, Terms};
use crate::ending::{Ending, Phase};
use crate::feed::Feed;
use crate::freight::Stores;
use crate::gate::Gate;
use crate::hop::{self, Pool};
use crate::leaf::{Leaf, CONFIGURATION, EVACUATION};
use crate::members::Members;
use crate::paced::Paced;
use crate::receipts::Receipts;
use crate::reload::{self, Reload};
use crate::rests::Rests;
use crate::settings::{Boot, Live};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use silvercross_facade::{Clock, Health, Host};
use silvercross_rounds::{Freshness, Record};
use silvercross_sorting::{Configuration, Table};
use silvercross_wicket::{Allowance, Facts};
use slog::{debug, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// An upstream whose beats are so many intervals late is silent.
const SILENT_BEATS: f64 = 2.6;
/// A cold time that ends so much later than the one before is another one, in microseconds.
const COLDER: i64 = 500_000;
/// After a restart the upstream is asked for its life so many times, so far apart.
const ASKED: u32 = 20;
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Where nobody told how much an upstream works on at a time.
const SLOTS_UNTOLD: u32 = 4;
/// Counters go to the log so often, at the level of debugging, in microseconds.
const FIGURES: i64 = 2_000_000;
/// Whether the settings file has changed is looked at so often, in microseconds.
const LOOK: i64 = 1_000_000;
/// Lives that were signed off are remembered, so that a late beat brings none back.
const ENDED: usize = 64;
/// The part of the mesh's further sends that sidecars may use together; the rest covers those whose number is not known.
const RETRY_PART: f64 = 0.5;

/// Plain counters; what each means is told in `docs/operators/mesh.md`.
#[derive(Default)]
pub struct Counts {
    /// Connections of clients now.
    pub clients: Cell<u64>,
    /// Connections of clients turned away for want of descriptors.
    pub shut_out: Cell<u64>,
    /// Connections of other sidecars' hops now.
    pub hops: Cell<u64>,
    /// Of these, those on which no request is.
    pub hops_idle: Cell<u64>,
    /// Those turned away beyond the bound.
    pub hops_shut_out: Cell<u64>,
    /// Links on which nobody has said who they are.
    pub greeting: Cell<u64>,
    /// Links turned away beyond the bounds.
    pub links_shut_out: Cell<u64>,
    /// Connections for calls turned away beyond the bound.
    pub calls_shut_out: Cell<u64>,
    /// Requests read.
    pub requests: Cell<u64>,
    /// Hops that broke after the request was written, and whose gate was asked what became of it.
    pub asked: Cell<u64>,
    /// Of these, those whose answer came after all, and those that were not begun for certain.
    pub recovered: Cell<u64>,
    /// Requests that went on here after their origin's connection had broken.
    pub orphans: Cell<u64>,
    /// Requests told to come back for want of room for their bodies.
    pub no_room: Cell<u64>,
    /// Requests told to come back.
    pub refused: Cell<u64>,
    /// Requests that failed here after they may have run.
    pub failed: Cell<u64>,
    /// Requests written to the upstream on this machine.
    pub delivered: Cell<u64>,
    /// Requests that the gate turned away.
    pub turned: Cell<u64>,
    /// Beats taken.
    pub beats: Cell<u64>,
    /// Operators' calls taken.
    pub calls: Cell<u64>,
    /// Of these, those that are not answered yet.
    pub calls_open: Cell<u64>,
    /// Parcels sent on links.
    pub letters: Cell<u64>,
    /// Datagrams sent.
    pub datagrams: Cell<u64>,
    /// Parcels and datagrams that are none of ours.
    pub strangers: Cell<u64>,
}

/// Where connections are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// Clients.
    Outbound,
    /// Hops of other sidecars.
    Inbound,
    /// Links of other sidecars.
    Link,
    /// Upstreams, operators, the platform.
    Call,
}

/// One more of something for as long as it lives.
pub struct Counted {
    post: Rc<Post>,
    of: fn(&Counts) -> &Cell<u64>,
}

impl Counted {
    /// Count it.
    pub fn new(post: &Rc<Post>, of: fn(&Counts) -> &Cell<u64>) -> Self {
        let cell = of(&post.counts);
        cell.set(cell.get() + 1);
        Counted { post: post.clone(), of }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let cell = (self.of)(&self.post.counts);
        cell.set(cell.get().saturating_sub(1));
    }
}

/// A beat, as an upstream sends it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Beat {
    destination: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    cold_left_s: f64,
    #[serde(default)]
    sequence: u64,
}

struct Own {
    station: Station,
    sequence: u64,
    beaten: i64,
    cold_until: i64,
    told: bool,
}

/// When an upstream of another machine went cold, as it was first told here.
struct Cold {
    colds: u32,
    born_ms: u64,
    life: u64,
}

/// What is in force of the operator's configuration.
struct InForce {
    table: Rc<Table>,
    configured: bool,
    revisions: BTreeMap<String, (u64, u64, u64)>,
    evacuated: BTreeSet<String>,
}

/// One process of the mesh.
pub struct Post {
    /// What its machine told it.
    pub boot: Boot,
    /// What of that can change, as it holds now.
    pub live: Cell<Live>,
    /// Where it is told from.
    pub reload: Reload,
    /// Its log.
    pub log: Logger,
    /// Its counters.
    pub counts: Counts,
    /// Connections kept.
    pub pool: Pool,
    /// Room for the bodies held here.
    pub stores: Rc<Stores>,
    /// What is remembered of requests that may run once.
    pub receipts: Rc<Receipts>,
    /// What stands before the upstream on this machine.
    pub gate: Gate,
    /// Links and who decides about them.
    pub carriers: Carriers,
    /// Members and how far each is slowed.
    pub members: Members,
    /// Events for other tools, where they are asked for.
    pub feed: std::cell::OnceCell<Feed>,
    /// Requests open now.
    pub open: Cell<u64>,
    /// How long clients' connections may rest.
    pub rests: RefCell<Rests>,
    /// Operators' calls refused, for the log.
    pub refusals: Paced,
    paces: [Paced; 4],
    clock: Clock,
    force: RefCell<InForce>,
    desks: RefCell<BTreeMap<String, Rc<Desk>>>,
    others: RefCell<BTreeMap<u32, Record<Body>>>,
    colds: RefCell<BTreeMap<String, Cold>>,
    own: RefCell<Option<Own>>,
    ended: RefCell<Vec<String>>,
    chance: RefCell<Pcg64Mcg>,
    tickets: Cell<u64>,
    seeds: RefCell<Vec<SocketAddr>>,
    /// When this process looked around last.
    looked: Cell<i64>,
    ending: RefCell<Option<Ending>>,
    asking: Cell<bool>,
    began: i64,
    told_ready: Cell<bool>,
    idle_ends: Cell<bool>,
    shut: Cell<bool>,
    stop: Notify,
    news: Notify,
}

impl Post {
    /// A process that knows itself only.
    pub fn new(
        boot: Boot,
        log: Logger,
        gate: Gate,
        carriers: Carriers,
        clock: Clock,
        mut chance: Pcg64Mcg,
    ) -> Rc<Self> {
        let began = clock.now();
        let receipts = Receipts::new(clock.clone(), &mut chance, boot.memory);
        let tickets = Cell::new(chance.next_u64());
        let looked = Cell::new(clock.now());
        let pool = Pool::default();
        pool.hold((boot.descriptors / 4) as usize);
        let members = Members::new(carriers.control_store(|l| l.replica_set().len() == 1).unwrap_or(false));
        Rc::new(Post {
            stores: Stores::new(boot.memory),
            receipts,
            tickets,
            live: Cell::new(boot.live),
            seeds: RefCell::new(boot.seeds.clone()),
            reload: Reload::default(),
            boot,
            log,
            counts: Counts::default(),
            pool,
            gate,
            carriers,
            members,
            feed: std::cell::OnceCell::new(),
            open: Cell::new(0),
            rests: RefCell::default(),
            refusals: Paced::default(),
            paces: Default::default(),
            clock,
            force: RefCell::new(InForce {
                table: Rc::default(),
                configured: false,
                revisions: BTreeMap::new(),
                evacuated: BTreeSet::new(),
            }),
            desks: RefCell::default(),
            others: RefCell::default(),
            colds: RefCell::default(),
            own: RefCell::default(),
            ended: RefCell::default(),
            chance: RefCell::new(chance),
            looked,
            ending: RefCell::default(),
            asking: Cell::new(false),
            began,
            told_ready: Cell::new(false),
            idle_ends: Cell::new(false),
            shut: Cell::new(false),
            stop: Notify::new(),
            news: Notify::new(),
        })
    }

    /// Microseconds on a clock that no step of the time of day moves.
    pub fn now(&self) -> i64 {
        self.clock.now()
    }

    /// A connection was turned away: counted, and told now and then.
    pub fn shut_out(&self, door: Door) {
        let c = &self.counts;
        let (count, name) = match door {
            Door::Outbound => (&c.shut_out, "outbound"),
            Door::Inbound => (&c.hops_shut_out, "inbound"),
            Door::Link => (&c.links_shut_out, "links"),
            Door::Call => (&c.calls_shut_out, "calls"),
        };
        count.set(count.get() + 1);
        if let Some(n) = self.paces[door as usize].due(self.now()) {
            warn!(self.log, "connections shut out"; "at" => name, "count" => n);
        }
    }

    /// The routing table in force.
    pub fn table(&self) -> Rc<Table> {
        self.force.borrow().table.clone()
    }

    /// Whether a configuration has come.
    pub fn configured(&self) -> bool {
        self.force.borrow().configured
    }

    /// Whether the platform may give this machine's clients work. Once so it stays so until the process stops.
    pub fn ready(&self) -> bool {
        self.unready().is_none()
    }

    /// Why it may not. A sidecar that started is not current until it has what a majority had acknowledged before, or
    /// could not find out in time; a request that comes all the same is routed by what it has.
    pub fn unready(&self) -> Option<&'static str> {
        if self.stopping() {
            Some("stopping")
        } else if !self.configured() {
            Some("no configuration has come yet")
        } else if self.freshness() == Freshness::Waiting {
            Some("not yet known to be current")
        } else {
            None
        }
    }

    /// Whether what is in force is what a majority had acknowledged before the start.
    pub fn freshness(&self) -> Freshness {
        self.carriers.rounds(|r| r.freshness())
    }

    /// Tell the log once when this sidecar gets ready, and on what grounds.
    pub fn look_ready(&self) {
        if self.told_ready.get() || self.boot.ready.is_none() || !self.ready() {
            return;
        }
        self.told_ready.set(true);
        let took = self.now() - self.began;
        match self.freshness() {
            Freshness::BoundPassed { .. } => {
                warn!(self.log, "ready: no majority has told within the bound whether this is current"; "us" => took);
            }
            _ => info!(self.log, "ready: has what a majority had at the start"; "us" => took),
        }
    }

    /// Whether the process is on its way out.
    pub fn stopping(&self) -> bool {
        self.ending.borrow().is_some()
    }

    /// From now on the platform is told no, and the others that nothing more is to be sent here. All that is open, and all that
    /// comes later, is answered within the grace.
    pub fn begin_stop(self: &Rc<Self>) {
        if self.stopping() {
            return;
        }
        info!(self.log, "stopping");
        let ending = Ending::new(self.looked.get(), self.now(), self.live.get().bounds.grace.max(0));
        for (_, desk) in self.desks() {
            desk.answer_by(ending.answer_by());
        }
        *self.ending.borrow_mut() = Some(ending);
        self.members.release();
        self.tell();
        self.carriers.leave_replicas(self);
    }

    /// What a process that stops is to do now, and by when it ends whatever is open; `None`: it does not stop.
    pub fn ending(&self) -> Option<(Phase, i64)> {
        let (now, busy) = (self.now(), self.busy());
        self.ending.borrow_mut().as_mut().map(|e| (e.phase(now, busy), e.last()))
    }

    /// The platform asked whether this machine's clients may be given work, and was told no.
    pub fn denied(&self) {
        let now = self.now();
        self.ending.borrow_mut().iter_mut().for_each(|e| e.denied(now));
    }

    /// Connections between two requests end from now on.
    pub fn end_idle(&self) {
        self.idle_ends.set(true);
        self.stop.notify_waiters();
    }

    /// Wait until that is so, at most for so many microseconds; looked at whenever news has come.
    pub async fn until(&self, span: i64, so: impl Fn() -> bool) {
        if so() || span <= 0 {
            return;
        }
        let told = async {
            loop {
                let news = self.news.notified();
                if so() {
                    return;
                }
                news.await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_micros(span as u64), told).await;
    }

    /// Whether a request or an operator's call is open here, or a request at the upstream behind the gate.
    pub fn busy(&self) -> bool {
        let (out, waiting) = self.gate.with(|w| w.load());
        self.open.get() + self.counts.calls_open.get() > 0 || out + waiting > 0
    }

    /// Clients are let in no more.
    pub fn shut(&self) {
        self.shut.set(true);
        self.stop.notify_waiters();
    }

    /// Waits until [`Post::shut`].
    pub async fn is_shut(&self) {
        loop {
            let told = self.stop.notified();
            if self.shut.get() {
                return;
            }
            told.await;
        }
    }

    /// Waits until [`Post::end_idle`].
    pub async fn idle_ends(&self) {
        let told = self.stop.notified();
        if !self.idle_ends.get() {
            told.await;
        }
    }

    /// One of a split, drawn by its share.
    pub fn draw(&self, split: &[(String, f64)]) -> String {
        if let [(only, _)] = split {
            return only.clone();
        }
        let whole: f64 = split.iter().map(|(_, share)| share).sum();
        let part = (self.chance.borrow_mut().next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let mut at = part * whole;
        for (name, share) in split {
            at -= share;
            if at < 0.0 {
                return name.clone();
            }
        }
        split.last().map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// A number for an attempt that no other one has: drawn once, and counted on from there.
    pub fn ticket(&self) -> u64 {
        let ticket = self.tickets.get().wrapping_add(1).max(1);
        self.tickets.set(ticket);
        ticket
    }

    /// Go by other settings, as far as that can be; the keys that differed.
    pub fn take(self: &Rc<Self>, boot: &Boot) -> Vec<&'static str> {
        let mut took = Vec::new();
        if *self.seeds.borrow() != boot.seeds {
            took.push("seeds");
            self.seeds.borrow_mut().clone_from(&boot.seeds);
            self.carriers.seeds(self, &boot.seed_nodes());
        }
        let (old, new) = (self.live.replace(boot.live), boot.live);
        if old.beat != new.beat {
            took.push("heartbeatS");
        }
        if old.bounds != new.bounds {
            took.push("bounds");
            let now = self.now();
            self.gate.with(|w| w.bounds(now, new.bounds.of_gate()));
            self.reset_terms();
        }
        took
    }

    /// The desk of a service, if an upstream of it is known.
    pub fn desk(&self, service: &str) -> Option<Rc<Desk>> {
        self.desks.borrow().get(service).cloned()
    }

    /// All desks.
    pub fn desks(&self) -> Vec<(String, Rc<Desk>)> {
        self.desks.borrow().iter().map(|(n, d)| (n.clone(), d.clone())).collect()
    }

    /// Zones that are evacuated.
    pub fn evacuated(&self) -> Vec<String> {
        self.force.borrow().evacuated.iter().cloned().collect()
    }

    /// The revisions in force, by key.
    pub fn revisions(&self) -> BTreeMap<String, (u64, u64, u64)> {
        self.force.borrow().revisions.clone()
    }

    /// Whether this machine has a disk, but those that hold the ledger don't count it among them.
    pub fn is_outsider(&self) -> bool {
        let (me, others) = (self.boot.ip.to_bits(), self.others.borrow());
        let mut holders = others.values().filter(|r| r.body.roster.contains(&r.node.0)).peekable();
        holders.peek().is_some() && holders.all(|r| !r.body.roster.contains(&me))
    }

    /// The control address of a machine that holds the ledger: one that is known to reach most of them, if there is one (one that
    /// is cut off answers that nothing is settled), that most of them name, and in this zone.
    pub fn core(&self) -> Option<SocketAddr> {
        let reached = self.carriers.rounds(|r| r.reached_cores());
        let others = self.others.borrow();
        let holders: Vec<_> = others.values().filter(|r| r.body.roster.contains(&r.node.0)).collect();
        let named = |r: &Record<Body>| holders.iter().filter(|h| h.body.roster.contains(&r.node.0)).count();
        let up = holders.iter().filter(|r| r.body.control > 0);
        let far =
            |r: &Record<Body>| (!reached.contains(&r.node), Reverse(named(r)), r.zone != self.boot.zone);
        let best = up.min_by_key(|r| (r.body.leaving, far(r)));
        best.map(|r| SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(r.node.0)), r.body.control))
    }

    // --- news ---

    /// News of another sidecar.
    pub fn record(self: &Rc<Self>, record: Record<Body>) {
        if let Some(feed) = self.feed.get() {
            feed.record(&record);
        }
        let before = self.sides();
        if record.gone {
            self.others.borrow_mut().remove(&record.node.0);
            let at = IpAddr::V4(Ipv4Addr::from_bits(record.node.0));
            self.pool.close(SocketAddr::new(at, record.body.inbound));
        } else {
            self.others.borrow_mut().insert(record.node.0, record);
        }
        // What each may send of shared budgets goes by how many there are.
        if self.sides() != before {
            self.reset_terms();
        } else {
            self.relist();
        }
    }

    /// News of the control state; older than what is in force changes nothing.
    pub fn page(self: &Rc<Self>, key: &str, revision: (u64, u64, u64), leaf: Leaf) {
        {
            let mut force = self.force.borrow_mut();
            if force.revisions.get(key).is_some_and(|r| *r >= revision) {
                return;
            }
            force.revisions.insert(key.to_string(), revision);
        }
        if let Some(feed) = self.feed.get() {
            feed.page(key, revision, &leaf);
        }
        match leaf {
            Leaf::Blank => self.members.lapse(self, key, revision, None),
            Leaf::Configuration(configuration) if key == CONFIGURATION => {
                self.configure(&configuration, revision);
            }
            Leaf::Whole(whole) if key == CONFIGURATION => {
                self.members.roll(self, &whole.roll);
                self.configure(&whole.configuration, revision);
            }
            Leaf::Lapse(lapse) => self.members.lapse(self, key, revision, Some(lapse)),
            Leaf::Evacuation(on) => {
                let Some(zone) = key.strip_prefix(EVACUATION) else { return };
                {
                    let mut force = self.force.borrow_mut();
                    if on {
                        force.evacuated.insert(zone.to_string());
                    } else {
                        force.evacuated.remove(zone);
                    }
                }
                info!(self.log, "evacuation"; "zone" => zone, "on" => on);
                if zone == self.boot.zone {
                    let now = self.now();
                    self.gate.with(|w| w.evacuated(now, on));
                }
                self.relist();
            }
            Leaf::Configuration(_) | Leaf::Whole(_) => {}
        }
    }

    fn configure(self: &Rc<Self>, configuration: &Configuration, revision: (u64, u64, u64)) {
        {
            let mut force = self.force.borrow_mut();
            force.table = Rc::new(Table::new(configuration));
            force.configured = true;
        }
        self.rests.borrow_mut().set(self.now(), self.table().limits().idle_us);
        info!(self.log, "configuration in force"; "round" => revision.0, "change" => revision.2);
        self.allow();
        self.reset_terms();
        self.news.notify_waiters();
        self.ask_station();
    }

    fn allow(&self) {
        let table = self.table();
        let service = self.own.borrow().as_ref().map(|o| o.station.service.clone());
        let service = service.unwrap_or_else(|| self.boot.destination.clone());
        if let Some(d) = table.destination(&service) {
            let allowance =
                Allowance { line_cap: d.line_cap, cold_rate: finite(d.cold_rate), cold_span: d.cold_us };
            let now = self.now();
            self.gate.with(|w| w.allowance(now, allowance));
        }
    }

    fn sides(&self) -> (u32, u32) {
        let others = self.others.borrow();
        let sides = others.values().filter(|r| !r.core);
        let near = sides.clone().filter(|r| r.zone == self.boot.zone).count() as u32;
        (sides.count() as u32 + 1, near + 1)
    }

    fn terms<'t>(&'t self, service: &'t str, table: &'t Table) -> Terms<'t> {
        let (senders, near) = self.sides();
        let b = self.live.get().bounds;
        Terms {
            service,
            table,
            zones: &self.boot.zones,
            zone: &self.boot.zone,
            senders,
            near,
            drain: b.drain,
            retry_share: b.retry_ratio * RETRY_PART,
            retry_cap: b.retry_slack * RETRY_PART / f64::from(senders),
        }
    }

    fn reset_terms(self: &Rc<Self>) {
        let table = self.table();
        for (service, desk) in self.desks() {
            desk.set(&self.terms(&service, &table));
        }
        self.relist();
    }

    /// Tell each desk which upstreams there are.
    fn relist(self: &Rc<Self>) {
        if self.boot.outbound.is_none() {
            return;
        }
        let mut lists: BTreeMap<String, Vec<Host>> = BTreeMap::new();
        let mut anew: BTreeMap<String, Vec<Host>> = BTreeMap::new();
        {
            let (others, force) = (self.others.borrow(), self.force.borrow());
            let mut colds = self.colds.borrow_mut();
            let own = self.own.borrow();
            let mut add = |ip: Ipv4Addr, zone: &str, life: u64, body: &Body, station: &Station| {
                if station.silent {
                    return;
                }
                let gate = SocketAddr::new(IpAddr::V4(ip), body.inbound);
                let shut = station.draining || body.leaving || force.evacuated.contains(zone);
                let health = if shut { Health::Draining } else { Health::Ready };
                let span = force.table.destination(&station.service).map_or(0, |d| d.cold_us);
                let known = colds.get(&station.id);
                let renewed = known.is_some_and(|k| k.life != life);
                if known.is_none_or(|k| k.colds != station.colds || k.life != life) {
                    let born = if station.cold > 0 { self.now() - (span - station.cold).max(0) } else { 0 };
                    let born_ms = match known {
                        Some(k) if k.colds == station.colds => k.born_ms,
                        _ => (born / 1000) as u64,
                    };
                    colds.insert(station.id.clone(), Cold { colds: station.colds, born_ms, life });
                }
                let born_ms = colds.get(&station.id).map_or(0, |c| c.born_ms);
                let host = desk::host(&station.id, gate, zone, health, station.slots, born_ms);
                if renewed {
                    let gone = Host { health: Health::Gone, ..host.clone() };
                    anew.entry(station.service.clone()).or_default().push(gone);
                }
                lists.entry(station.service.clone()).or_default().push(host);
            };
            for r in others.values() {
                if let Some(station) = &r.body.station {
                    add(Ipv4Addr::from_bits(r.node.0), &r.zone, r.life, &r.body, station);
                }
            }
            if let Some(own) = own.as_ref() {
                let body = self.body_of(Some(own.station.clone()));
                add(self.boot.ip, &self.boot.zone, 0, &body, &own.station);
            }
            let listed: BTreeSet<&String> = lists.values().flatten().map(|h| &h.name).collect();
            colds.retain(|id, _| listed.contains(id));
        }
        let table = self.table();
        // A service whose last upstream has gone is told so.
        for (service, _) in self.desks() {
            lists.entry(service).or_default();
        }
        for (service, hosts) in lists {
            let desk = self.desk(&service);
            match desk {
                Some(desk) => {
                    if let Some(gone) = anew.remove(&service) {
                        desk.fresh(gone);
                    }
                    desk.list(hosts);
                }
                None => {
                    let seed = self.chance.borrow_mut().next_u64();
                    let desk = Desk::new(&self.terms(&service, &table), &hosts, seed, self.clock.clone());
                    if let Some(ending) = &*self.ending.borrow() {
                        desk.answer_by(ending.answer_by());
                    }
                    self.desks.borrow_mut().insert(service, desk);
                }
            }
        }
        self.news.notify_waiters();
    }

    // --- the upstream on this machine ---

    fn body_of(&self, station: Option<Station>) -> Body {
        Body {
            inbound: self.boot.inbound.map_or(0, |a| a.port()),
            control: self.boot.control.map_or(0, |a| a.port()),
            leaving: self.stopping(),
            roster: self.roster(),
            station,
        }
    }

    /// Those that hold the ledger, as this machine knows for certain; empty where there is none, or it is not repaired yet.
    /// A machine that has a disk and doesn't find itself among them says so by it: it may come for one that is lost.
    fn roster(&self) -> Vec<u32> {
        let of = |l: &silvercross_control_store::ControlStore<Leaf>| match l.voter()
            || (l.outside() && l.replicas().version > 0)
        {
            true => l.replica_set().iter().map(|n| n.0).collect(),
            false => Vec::new(),
        };
        self.carriers.control_store(of).unwrap_or_default()
    }

    /// What this sidecar tells of itself.
    pub fn body(&self) -> Body {
        self.body_of(self.own.borrow().as_ref().map(|o| o.station.clone()))
    }

    fn tell(self: &Rc<Self>) {
        let body = self.body();
        self.carriers.tell(self, body);
        self.feed_own();
        self.relist();
    }

    /// This sidecar's own record, for the feed.
    fn feed_own(&self) {
        if let Some(feed) = self.feed.get() {
            let me = silvercross_rounds::Node(self.boot.ip.to_bits());
            self.carriers.rounds(|r| r.record(me).into_iter().for_each(|own| feed.record(own)));
        }
    }

    /// A beat of the upstream on this machine; `false` if it is of a life that has ended.
    pub fn beat(self: &Rc<Self>, id: &str, beat: Beat) -> bool {
        self.counts.beats.set(self.counts.beats.get() + 1);
        if self.ended.borrow().iter().any(|e| e == id) {
            return false;
        }
        let now = self.now();
        let draining = beat.state == "draining";
        let cold = (beat.cold_left_s.clamp(0.0, 1e6) * 1e6) as i64;
        let changed = {
            let mut own = self.own.borrow_mut();
            match own.as_mut().filter(|o| o.station.id == id) {
                Some(o) => {
                    if beat.sequence < o.sequence {
                        return true;
                    }
                    let before = o.station.clone();
                    (o.sequence, o.beaten) = (beat.sequence, now);
                    (o.station.silent, o.station.draining) = (false, draining);
                    (o.station.service, o.station.slots) = (beat.destination, beat.slots);
                    if cold > 0 && now + cold > o.cold_until + COLDER {
                        o.station.colds += 1;
                        o.station.cold = cold;
                    }
                    if cold > 0 || now < o.cold_until {
                        o.cold_until = now + cold;
                    }
                    let changed = o.station != before || !o.told;
                    o.told = true;
                    changed
                }
                None => {
                    if let Some(old) = own.take() {
                        remember(&mut self.ended.borrow_mut(), old.station.id);
                    }
                    let station = Station {
                        id: id.to_string(),
                        service: beat.destination,
                        slots: beat.slots,
                        draining,
                        silent: false,
                        colds: u32::from(cold > 0),
                        cold,
                    };
                    info!(self.log, "upstream"; "id" => id, "service" => &station.service, "zone" => beat.zone);
                    let (sequence, cold_until) = (beat.sequence, now + cold);
                    *own = Some(Own { station, sequence, beaten: now, cold_until, told: true });
                    true
                }
            }
        };
        let station = self.own.borrow().as_ref().map(|o| o.station.clone());
        if let Some(s) = station {
            let facts = Facts { id: s.id.clone(), service: s.service, slots: s.slots };
            self.gate.with(|w| {
                if draining {
                    w.draining(now, &s.id);
                } else {
                    w.beat(now, facts, cold);
                }
            });
        }
        if changed {
            self.allow();
            self.tell();
        }
        true
    }

    /// After a restart the upstream on this machine may be at work already, and its next beat a while away: its health answer
    /// names its life.
    fn ask_station(self: &Rc<Self>) {
        if self.boot.fresh || self.asking.replace(true) {
            return;
        }
        let Some(station) = self.boot.station else { return };
        let post = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..ASKED {
                if post.own.borrow().is_some() || post.stopping() {
                    return;
                }
                let path = post.table().destination(&post.boot.destination).map(|d| d.health_path.clone());
                let path = path.unwrap_or_else(|| "/health".to_string());
                let told = hop::health(&post.pool, station, &path, post.stores.share()).await;
                if let Some((id, cold)) = told.filter(|_| post.own.borrow().is_none()) {
                    if !post.ended.borrow().contains(&id) {
                        post.met(id, cold);
                    }
                    return;
                }
                tokio::time::sleep(ASK_AGAIN).await;
            }
        });
    }

    /// A life that its health answer named; its first beat tells the rest.
    fn met(self: &Rc<Self>, id: String, cold: i64) {
        let slots = {
            let others = self.others.borrow();
            let like = others.values().filter_map(|r| r.body.station.as_ref());
            like.filter(|s| s.service == self.boot.destination).map(|s| s.slots).max()
        };
        let beat = Beat {
            destination: self.boot.destination.clone(),
            zone: self.boot.zone.clone(),
            slots: slots.unwrap_or(SLOTS_UNTOLD),
            state: "ready".to_string(),
            cold_left_s: cold as f64 / 1e6,
            sequence: 0,
        };
        self.beat(&id, beat);
    }

    /// The upstream on this machine has signed off.
    pub fn signed_off(self: &Rc<Self>, id: &str) {
        let now = self.now();
        remember(&mut self.ended.borrow_mut(), id.to_string());
        let was = self.own.borrow().as_ref().is_some_and(|o| o.station.id == id);
        if was {
            info!(self.log, "upstream signed off"; "id" => id);
            *self.own.borrow_mut() = None;
            self.gate.with(|w| w.signed_off(now, id));
            self.tell();
        }
    }

    /// The upstream on this machine refuses connections, or its beats have stopped.
    pub fn station_silent(&self) {
        if let Some(own) = self.own.borrow_mut().as_mut().filter(|o| !o.station.silent) {
            own.station.silent = true;
            own.told = false;
        }
    }

    /// Look after what only time tells, for as long as the process lives.
    pub async fn watch(self: Rc<Self>) {
        let mut told = self.now();
        let mut roster = Vec::new();
        let mut looked = told;
        loop {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let now = self.now();
            self.looked.set(now);
            let late = (self.live.get().beat as f64 * SILENT_BEATS) as i64;
            let silent =
                self.own.borrow().as_ref().is_some_and(|o| !o.station.silent && now - o.beaten > late);
            if silent {
                info!(self.log, "upstream silent");
                self.gate.with(|w| w.silent(now));
                self.station_silent();
            }
            let untold = self.own.borrow().as_ref().is_some_and(|o| !o.told);
            if untold {
                self.own.borrow_mut().iter_mut().for_each(|o| o.told = true);
                self.tell();
            }
            if self.roster() != roster {
                roster = self.roster();
                self.tell();
            }
            self.pool.sweep();
            self.receipts.forget();
            if now - looked >= LOOK {
                looked = now;
                reload::look(&self, false);
            }
            self.feed_own();
            if now - told >= FIGURES {
                told = now;
                debug!(self.log, "figures"; "all" => crate::figures::figures(&self).to_string());
            }
        }
    }
}

fn finite(rate: f64) -> f64 {
    if rate.is_finite() {
        rate
    } else {
        0.0
    }
}

fn remember(ended: &mut Vec<String>, id: String) {
    if !ended.contains(&id) {
        if ended.len() >= ENDED {
            ended.remove(0);
        }
        ended.push(id);
    }
}
