//! The decision module behind a blocking-style facade, for every front: sidecar, emulator, and what comes. Network code calls [`Balancer::pick`], [`Balancer::report`]
//! and [`Balancer::tick`], does the steps they return, and never sees an event or an action.
//!
//! The facade owns the module, the clock, the one heap of timers (the network's own included), the numbers under
//! which the module knows upstreams, and what is open. It decides nothing; it holds the module to the protocol:
//! one final answer for each request, none later than its deadline, and nothing sent after it.
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]
use silvercross_core::interface::{
    Action, Decide, DedupGroup, Effect, Ended, Entry, Event, Lifecycle, ListKind, Micros, NewRequest,
    Outcome, RequestId, Settings, UpstreamId,
};
use silvercross_core::policy;
use silvercross_net::table::Handle;
use silvercross_settings::ProxySettings;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// How long past its deadline a request still open is failed by the facade itself: the module answers at the
/// deadline, this only guards against a request that nothing is out for and nobody remembers.
const BACKSTOP: Micros = 5_000;
/// The answer to a request whose time is up goes out so long before that, so that it is there in time when the core is
/// shared and the loop comes to run late; but this share of its time at the most.
const MARGIN: Micros = 10_000;
const MARGIN_SHARE: Micros = 10;
/// The number of an upstream that is gone is used again when no request can be open any more that was sent there, and
/// so long after that: news of the old one may still cross.
const REUSE_AFTER: Micros = 10_000_000;
/// No request is waited for longer than this, or its class's deadline where that is longer, whatever its client says.
const LONGEST_BUDGET: Micros = 60_000_000;
/// The most zones or machine kinds that may turn up in lists: the module keeps a record for each.
const NAMES: usize = 4096;

/// No time limit.
const FAR: Micros = Micros::MAX / 4;

/// Makes what decides, from its settings, its seed and the time of its start.
pub type DeciderFactory = Box<dyn FnOnce(Settings, u64, Micros) -> Box<dyn Decide>>;

/// Unix time in microseconds: read once at the start and carried on by the monotonic clock, so that a step of the
/// system's clock moves no deadline, and yet an upstream's time of birth can be compared with it.
#[derive(Clone)]
pub struct Clock(Source);

#[derive(Clone)]
enum Source {
    System { unix: Micros, started: Instant },
    Manual(Rc<Cell<Micros>>),
    Read(fn() -> Micros),
}

impl Clock {
    /// The machine's clock.
    pub fn system() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock(Source::System { unix, started: Instant::now() })
    }

    /// A clock that stands at what the cell says.
    pub fn manual(at: Rc<Cell<Micros>>) -> Self {
        Clock(Source::Manual(at))
    }

    /// A clock that is read elsewhere.
    pub fn from_fn(read: fn() -> Micros) -> Self {
        Clock(Source::Read(read))
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        match &self.0 {
            Source::Read(read) => read(),
            Source::System { unix, started } => unix + started.elapsed().as_micros() as Micros,
            Source::Manual(at) => at.get(),
        }
    }
}

/// An upstream, as the network knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Upstream(pub u32);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its request.
    pub request: Handle,
    /// Its number among the request's attempts, from 0.
    pub number: u32,
}

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct Request {
    /// The network's handle of it.
    pub handle: Handle,
    /// Its class (index).
    pub class: u32,
    /// Its tenant (index).
    pub tenant: u32,
    /// A digest of its subject.
    pub key: Option<u64>,
    /// Time until its client stops waiting; `None`: its class's deadline.
    pub budget: Option<Micros>,
    /// The work it may take.
    pub cost_hint: Option<Micros>,
    /// A client's repeat.
    pub client_retry: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt ended, as the network saw it. That its limit passed is the facade's to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// A whole answer: served.
    Served,
    /// A whole answer that says it failed; it may have run.
    Error,
    /// Sent back unseen; it never ran.
    Rejected,
    /// Its last byte was never written; it never ran.
    NotDelivered,
    /// The connection broke after that; it may have run.
    Reset,
    /// It was never tried, for want of room here or because its request had ended meanwhile.
    NotSent,
}

/// Something for the network to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<W> {
    /// Begin an attempt.
    Send {
        /// Which one.
        attempt: Attempt,
        /// Where to.
        upstream: Upstream,
        /// Where that is now.
        to: SocketAddr,
        /// How long it will be waited for.
        limit: Micros,
    },
    /// Stop waiting for an attempt and close its connection.
    Cancel {
        /// Which one.
        attempt: Attempt,
    },
    /// Final answer: pass on what this attempt brought.
    Serve {
        /// Which one.
        attempt: Attempt,
    },
    /// Final answer: no, and a new try does no harm.
    Refuse {
        /// The request.
        request: Handle,
        /// How long the client should keep away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: Handle,
    },
    /// Follow discovery's list from now on, or stop.
    Subscribe(bool),
    /// Ask discovery for the whole list once.
    FetchList,
    /// Close idle connections to an upstream.
    CloseIdle(Upstream),
    /// A timer of the network's own came due.
    Timer(W),
    /// A line for the log.
    Note(String),
}

/// What is to be done now, and when to call [`Balancer::tick`] next if nothing happens before.
#[derive(Clone, Debug, PartialEq)]
pub struct Output<W> {
    /// In this order.
    pub steps: Vec<Step<W>>,
    /// `None`: there is nothing to wait for.
    pub wake: Option<Micros>,
}

/// An upstream as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same everywhere and always.
    pub name: String,
    /// Where it is, from here.
    pub address: Option<SocketAddr>,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its life.
    pub health: Health,
    /// Its listed size.
    pub size: f64,
    /// Its last start, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// What discovery says of an upstream's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It runs.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is removed.
    Gone,
}

/// News from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The whole list, or only what changed.
    List {
        /// The whole one.
        whole: bool,
        /// The entries.
        hosts: Vec<Host>,
    },
    /// A call failed or the watch broke; the last list stays.
    Broken,
    /// Discovery is at another address from now on; the last list stays.
    Moved,
}

struct Sent {
    upstream: u32,
    at: Micros,
    /// How long it is waited for, once the request's last byte has come.
    limit: Option<Micros>,
    /// When its answer began to go on to the client.
    begun: Option<Micros>,
    until: Micros,
    ended: bool,
}

struct Open {
    class: u32,
    /// The most attempts, by the settings it was taken with.
    cap: u32,
    deadline: Micros,
    over: bool,
    attempts: Vec<Sent>,
    /// Its body is still coming: how long its client waits from the last byte on, and the module's timers that run from
    /// there.
    coming: Option<(Micros, Vec<(Micros, u64)>)>,
}

enum Due<W> {
    Module(u64),
    Limit(Attempt),
    Backstop(Handle),
    Network(W),
}

struct Timer<W> {
    at: Micros,
    order: u64,
    due: Due<W>,
}

// The heap's greatest is the earliest; of one time, the first set.
impl<W> Ord for Timer<W> {
    fn cmp(&self, o: &Self) -> Ordering {
        (o.at, o.order).cmp(&(self.at, self.order))
    }
}
impl<W> PartialOrd for Timer<W> {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl<W> PartialEq for Timer<W> {
    fn eq(&self, o: &Self) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl<W> Eq for Timer<W> {}

/// An upstream under its number. Upstreams come and go without end, so a number is used again.
struct Known {
    name: String,
    address: Option<SocketAddr>,
    listed: bool,
    entry: Entry,
    /// Attempts that have not ended.
    out: u32,
    /// Since when it is off the list for good.
    gone_since: Option<Micros>,
}

/// The facade. `W` is what the network wants back from its own timers.
pub struct Balancer<W> {
    module: Box<dyn Decide>,
    settings: Settings,
    front: ProxySettings,
    clock: Clock,
    timers: BinaryHeap<Timer<W>>,
    timers_set: u64,
    ids: HashMap<String, u32>,
    known: Vec<Known>,
    open: HashMap<Handle, Open>,
    stop_at: Option<Micros>,
    actions: Vec<Action>,
    ended: VecDeque<Ended>,
    steps: Vec<Step<W>>,
}

impl<W> Balancer<W> {
    /// A facade round a fresh module, which is handed the list as it was last known here.
    pub fn new(settings: Settings, front: ProxySettings, seed: u64, known: &[Host], clock: Clock) -> Self {
        let module = policy::Balancer::new(settings.clone(), seed, clock.now());
        Balancer::with_decider(Box::new(module), settings, front, known, clock)
    }

    /// A facade round whatever decides, fresh and made from the same settings.
    pub fn with_decider(
        module: Box<dyn Decide>,
        settings: Settings,
        front: ProxySettings,
        known: &[Host],
        clock: Clock,
    ) -> Self {
        let now = clock.now();
        let mut new = Balancer {
            module,
            settings,
            front,
            clock,
            timers: BinaryHeap::new(),
            timers_set: 0,
            ids: HashMap::new(),
            known: Vec::new(),
            open: HashMap::new(),
            stop_at: None,
            actions: Vec::new(),
            ended: VecDeque::new(),
            steps: Vec::new(),
        };
        if !new.settings.list_on_request {
            // Where changes are said to come by themselves the module does not ask for them at first; here they come
            // by a watch all the same.
            new.steps.push(Step::Subscribe(true));
        }
        let entries = new.entries(now, known, true);
        new.drive(now, Event::List { kind: ListKind::StaleCopy, entries: &entries });
        new
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Whether a request could be placed somewhere: an upstream is known.
    pub fn ready(&self) -> bool {
        self.known.iter().any(|k| k.listed)
    }

    /// How many requests are still owed an answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.over).count()
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Micros {
        let (held, names) = (self.classes_held(), &self.front.classes);
        let in_force =
            |i: &usize| held.contains(&(*i as u32)) || names.get(*i).is_some_and(|n| !n.is_empty());
        let classes = self.settings.classes.iter().enumerate().filter(|(i, _)| in_force(i));
        classes.map(|(_, c)| c.deadline).max().unwrap_or(0)
    }

    /// Whether a request is still owed an answer.
    pub fn is_unanswered(&self, request: Handle) -> bool {
        self.open.get(&request).is_some_and(|o| !o.over)
    }

    /// How many upstreams are kept a record of, those that went not long ago included.
    pub fn upstreams(&self) -> usize {
        self.known.len()
    }

    /// How many upstreams are in the list, and how many of those the module avoids now.
    pub fn rotation(&self) -> (usize, usize) {
        let now = self.now();
        let held = self.known.iter().filter(|k| k.gone_since.is_none());
        let avoided = |k: &&Known| !k.listed || self.module.avoids(now, k.entry.upstream);
        (held.clone().count(), held.filter(avoided).count())
    }

    /// An upstream's name in the list; empty for a number that is not in use.
    pub fn name_of(&self, upstream: Upstream) -> &str {
        self.known.get(upstream.0 as usize).map_or("", |k| &k.name)
    }

    /// Whether requests of a class carry a key by which their repeats are dropped.
    pub fn is_keyed(&self, class: u32) -> bool {
        let effect = self.settings.classes.get(class as usize).map(|c| c.effect);
        matches!(effect, Some(Effect::Keyed { .. }))
    }

    /// A class's deadline.
    pub fn deadline_of(&self, class: u32) -> Micros {
        self.settings.classes.get(class as usize).map_or(0, |c| c.deadline)
    }

    /// For how long any upstream drops a repeat of a class, wherever the first went; `None`: not any.
    pub fn repeat_window(&self, class: u32) -> Option<Micros> {
        match self.settings.classes.get(class as usize)?.effect {
            Effect::Keyed { group: DedupGroup::All, window } => Some(window),
            Effect::Repeatable => Some(FAR),
            _ => None,
        }
    }

    /// The number of a class, if there is one of that name.
    pub fn class_named(&self, name: &str) -> Option<u32> {
        // A slot without a name holds a class that is no more.
        self.front.classes.iter().position(|c| c == name && !c.is_empty()).map(|i| i as u32)
    }

    /// The classes that something open, or an attempt still out, names.
    fn classes_held(&self) -> HashSet<u32> {
        self.open.values().map(|o| o.class).collect()
    }

    /// Other settings hold from now on. A class that is as it was keeps its slot; one that came or changed gets another, so
    /// that what is open ends under the class it was taken with.
    pub fn reconfigure(&mut self, settings: Settings, front: ProxySettings) -> Output<W> {
        let (now, held) = (self.now(), self.classes_held());
        let old = std::mem::take(&mut self.front.classes);
        let mut classes = self.settings.classes.clone();
        let mut names = vec![String::new(); classes.len()];
        let mut from: Vec<Option<u32>> = (0..classes.len() as u32).map(Some).collect();
        let before = |name: &String| old.iter().position(|o| o == name);
        let (same, other): (Vec<_>, Vec<_>) = front
            .classes
            .iter()
            .zip(&settings.classes)
            .partition(|(name, class)| before(name).is_some_and(|i| classes[i] == **class));
        for (name, _) in same {
            before(name).into_iter().for_each(|i| names[i] = name.clone());
        }
        for (name, class) in other {
            let free = (0..classes.len()).find(|i| names[*i].is_empty() && !held.contains(&(*i as u32)));
            let slot = free.unwrap_or(classes.len());
            if slot == classes.len() {
                classes.push(*class);
                names.push(String::new());
                from.push(None);
            }
            (classes[slot], names[slot]) = (*class, name.clone());
            from[slot] = before(name).map(|i| i as u32);
        }
        // Free slots at the end hold nothing.
        while names.last().is_some_and(String::is_empty) && !held.contains(&(names.len() as u32 - 1)) {
            names.pop();
            classes.pop();
            from.pop();
        }
        let zone = front.zones.get(settings.own_zone as usize);
        let own_zone = zone.map_or(self.settings.own_zone, |z| index(&mut self.front.zones, z));
        let zones = self.settings.zones.max(settings.zones).max(own_zone + 1);
        (self.front.classes, self.front.tenants) = (names, front.tenants);
        self.settings = Settings { classes, own_zone, zones, ..settings };
        let settings = self.settings.clone();
        self.drive(now, Event::Settings { settings: &settings, previous: &from });
        self.turn()
    }

    /// The number of a tenant; 0 for none and for one the settings do not name.
    pub fn tenant_named(&self, name: &str) -> u32 {
        self.front.tenants.iter().position(|t| t == name).unwrap_or(0) as u32
    }

    /// A request has been taken: where does it go?
    pub fn pick(&mut self, r: Request) -> Output<W> {
        self.place(r, false)
    }

    /// The same for one whose body is still coming: its time counts from [`Balancer::whole`] on.
    pub fn pick_incomplete(&mut self, r: Request) -> Output<W> {
        self.place(r, true)
    }

    fn place(&mut self, r: Request, coming: bool) -> Output<W> {
        let now = self.now();
        let class = self.settings.classes.get(r.class as usize);
        let whole = class.map_or(0, |c| c.deadline);
        let budget = r.budget.unwrap_or(whole).min(whole.max(LONGEST_BUDGET));
        // Stopping, there is less time than the client would give. The module hears what the client gives all the same: it
        // would take a budget that was cut here for a client's late repeat, and refuse what can still be in time.
        let left = budget.min(self.stop_at.map_or(Micros::MAX, |at| (at - now).max(0)));
        let deadline = now + left - MARGIN.min(left / MARGIN_SHARE);
        let deadline = if coming { self.stop_at.unwrap_or(FAR) } else { deadline };
        let (class, cap, attempts) = (r.class, self.settings.max_attempts, Vec::new());
        let coming = coming.then(|| (budget, Vec::new()));
        self.open.insert(r.handle, Open { class, cap, deadline, over: false, attempts, coming });
        if deadline < FAR {
            self.set(deadline + BACKSTOP, Due::Backstop(r.handle));
        }
        self.drive(
            now,
            Event::Request(NewRequest {
                id: RequestId(r.handle.number()),
                class: r.class,
                tenant: r.tenant,
                key: r.key,
                budget,
                cost_hint: r.cost_hint,
                client_retry: r.client_retry,
                write: r.write,
            }),
        );
        self.turn()
    }

    /// The last byte of a request that was coming is here: from now on its time counts, and that of its attempts.
    pub fn body_complete(&mut self, request: Handle) -> Output<W> {
        let (now, stop_at) = (self.now(), self.stop_at);
        let Some(open) = self.open.get_mut(&request) else { return self.turn() };
        let Some((budget, timers)) = open.coming.take() else { return self.turn() };
        let left = budget.min(stop_at.map_or(Micros::MAX, |at| (at - now).max(0)));
        open.deadline = now + left - MARGIN.min(left / MARGIN_SHARE);
        let deadline = open.deadline;
        let mut limits = Vec::new();
        for (number, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| !a.ended) {
            (a.at, a.until) = (now, a.limit.map_or(deadline, |l| (now + l).min(deadline)));
            limits.push((a.until, Attempt { request, number: number as u32 }));
        }
        limits.into_iter().for_each(|(until, attempt)| self.set(until, Due::Limit(attempt)));
        timers.into_iter().for_each(|(after, token)| self.set(now + after, Due::Module(token)));
        self.set(deadline + BACKSTOP, Due::Backstop(request));
        self.turn()
    }

    /// An attempt's answer begins to go on to the client before it is whole: it can't be replaced any more, and no limit
    /// of time cuts it.
    pub fn stream_started(&mut self, attempt: Attempt) -> Output<W> {
        let now = self.now();
        if let Some(open) = self.open.get_mut(&attempt.request).filter(|o| !o.over) {
            open.deadline = FAR;
            if let Some(a) = open.attempts.get_mut(attempt.number as usize).filter(|a| !a.ended) {
                (a.until, a.begun) = (FAR, Some(now));
                let request = RequestId(attempt.request.number());
                self.drive(now, Event::StreamStarted { request, attempt: attempt.number });
            }
        }
        self.turn()
    }

    /// An attempt has ended. Reports of attempts given up before are passed over.
    pub fn report(&mut self, attempt: Attempt, report: Report) -> Output<W> {
        let now = self.now();
        if report != Report::Served {
            let open = self.open.get_mut(&attempt.request);
            let has_begun = |o: &&mut Open| {
                o.attempts.get(attempt.number as usize).is_some_and(|a| a.begun.is_some() && !a.ended)
            };
            // Its client has part of an answer: there is no other one to give.
            open.filter(has_begun).into_iter().for_each(|o| o.over = true);
        }
        self.end(now, attempt, outcome(report));
        self.settle(now);
        self.turn()
    }

    /// Let time pass: do what has come due.
    pub fn tick(&mut self, now: Micros) -> Output<W> {
        while self.timers.peek().is_some_and(|t| t.at <= now) {
            let Some(timer) = self.timers.pop() else { break };
            match timer.due {
                Due::Module(token) => self.drive(now, Event::Timer { token }),
                Due::Network(wake) => self.steps.push(Step::Timer(wake)),
                Due::Limit(attempt) => {
                    let sent =
                        self.open.get(&attempt.request).and_then(|o| o.attempts.get(attempt.number as usize));
                    if sent.is_some_and(|a| !a.ended && a.until <= now) {
                        self.steps.push(Step::Cancel { attempt });
                        self.end(now, attempt, Outcome::TimedOut);
                        self.settle(now);
                    }
                }
                Due::Backstop(request) => {
                    let open = self.open.get_mut(&request);
                    if open.is_some_and(|o| !o.over && o.deadline + BACKSTOP <= now) {
                        self.answered(request);
                        self.steps.push(Step::Fail { request });
                        self.drive(now, Event::RequestGone { request: RequestId(request.number()) });
                    }
                }
            }
        }
        self.turn()
    }

    /// The client has hung up on a request.
    pub fn client_disconnected(&mut self, request: Handle) -> Output<W> {
        let now = self.now();
        if self.answered(request) {
            self.drive(now, Event::RequestGone { request: RequestId(request.number()) });
        }
        self.turn()
    }

    /// Discovery has told something.
    pub fn discovery_event(&mut self, news: &DiscoveryEvent) -> Output<W> {
        let now = self.now();
        match news {
            DiscoveryEvent::Broken => self.drive(now, Event::List { kind: ListKind::Broken, entries: &[] }),
            DiscoveryEvent::Moved => self.drive(now, Event::List { kind: ListKind::Moved, entries: &[] }),
            DiscoveryEvent::List { whole, hosts } => {
                let kind = if *whole { ListKind::Snapshot } else { ListKind::Patch };
                let entries = self.entries(now, hosts, *whole);
                self.drive(now, Event::List { kind, entries: &entries });
            }
        }
        self.turn()
    }

    /// Another sidecar's word that this start of an upstream drains, ahead of the own list; or (`drains` false) that word is
    /// over, and the own list had it ready all the time. It never makes an upstream ready that its own list doesn't.
    pub fn peer_reported_drain(&mut self, name: &str, started_ms: u64, drains: bool) -> Output<W> {
        let now = self.now();
        let born = (started_ms > 0).then(|| (started_ms.min(1 << 52) * 1000) as Micros);
        let known = self.ids.get(name).and_then(|id| self.known.get_mut(*id as usize).map(|k| (*id, k)));
        let fits = |k: &&mut Known| {
            let state = if drains { Lifecycle::Running } else { Lifecycle::Draining };
            k.gone_since.is_none() && k.entry.lifecycle == state && k.entry.last_start <= born
        };
        if let Some((id, known)) = known.filter(|(_, k)| fits(k)) {
            known.entry.lifecycle = if drains { Lifecycle::Draining } else { Lifecycle::Running };
            known.listed = !drains;
            let entry = known.entry;
            if drains {
                self.steps.push(Step::CloseIdle(Upstream(id)));
            }
            self.drive(now, Event::List { kind: ListKind::Patch, entries: &[entry] });
        }
        self.turn()
    }

    /// So many sidecars send from now on, where the settings named a number.
    pub fn set_instances(&mut self, senders: u32) -> Output<W> {
        let now = self.now();
        if senders > 0 && senders != self.settings.instances {
            self.settings.instances = senders;
            let from: Vec<Option<u32>> = (0..self.settings.classes.len() as u32).map(Some).collect();
            let settings = self.settings.clone();
            self.drive(now, Event::Settings { settings: &settings, previous: &from });
        }
        self.turn()
    }

    /// How many sidecars send, by the settings in force.
    pub fn instances(&self) -> u32 {
        self.settings.instances
    }

    /// Have [`Step::Wake`] come at that time.
    pub fn set_timer(&mut self, at: Micros, wake: W) {
        self.set(at, Due::Network(wake));
    }

    /// The process stops: all that is open, and all that still comes, has to be answered by then.
    pub fn answer_by(&mut self, at: Micros) {
        self.stop_at = Some(at);
        let mut cut = Vec::new();
        for (&request, open) in &mut self.open {
            // What is being passed on goes on until the process ends.
            if open.deadline > at && open.attempts.iter().all(|a| a.begun.is_none()) {
                open.deadline = at;
                cut.push((request, open.attempts.len()));
                open.attempts.iter_mut().for_each(|a| a.until = a.until.min(at));
            }
        }
        cut.sort();
        for (request, attempts) in cut {
            for number in 0..attempts as u32 {
                self.set(at, Due::Limit(Attempt { request, number }));
            }
            self.set(at + BACKSTOP, Due::Backstop(request));
        }
    }

    // --- inside ---
    fn turn(&mut self) -> Output<W> {
        Output { steps: std::mem::take(&mut self.steps), wake: self.timers.peek().map(|t| t.at) }
    }

    fn set(&mut self, at: Micros, due: Due<W>) {
        self.timers_set += 1;
        self.timers.push(Timer { at, order: self.timers_set, due });
    }

    /// Mark a request as answered; `false` if it was already, or is not known.
    fn answered(&mut self, request: Handle) -> bool {
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.over) else { return false };
        open.over = true;
        if open.attempts.iter().all(|a| a.ended) {
            self.open.remove(&request);
        }
        true
    }

    /// Note the end of an attempt; the module is told in [`Balancer::settle`].
    fn end(&mut self, now: Micros, attempt: Attempt, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&attempt.request) else { return };
        let Some(sent) = open.attempts.get_mut(attempt.number as usize).filter(|a| !a.ended) else { return };
        sent.ended = true;
        if let Some(known) = self.known.get_mut(sent.upstream as usize) {
            known.out = known.out.saturating_sub(1);
        }
        // What is passed on takes as long as its client: the answer's time is that of its first bytes.
        let elapsed = sent.begun.unwrap_or(now) - sent.at;
        if outcome == Outcome::Served && !open.over {
            open.over = true;
            self.steps.push(Step::Serve { attempt });
        }
        let request_over = open.over;
        if request_over && open.attempts.iter().all(|a| a.ended) {
            self.open.remove(&attempt.request);
        }
        let request = RequestId(attempt.request.number());
        self.ended.push_back(Ended { request, attempt: attempt.number, outcome, elapsed, request_over });
    }

    /// Tell the module of ends until none is left: what it does about one may end others.
    fn settle(&mut self, now: Micros) {
        while let Some(e) = self.ended.pop_front() {
            self.module.decide(now, Event::AttemptEnded(e), &mut self.actions);
            self.act(now);
        }
    }

    fn drive(&mut self, now: Micros, event: Event<'_>) {
        self.module.decide(now, event, &mut self.actions);
        self.act(now);
        self.settle(now);
    }

    fn act(&mut self, now: Micros) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, upstream, limit } => {
                    self.send(now, Handle::from_number(request.0), upstream, limit);
                }
                Action::Cancel { request, attempt } => {
                    let attempt = Attempt { request: Handle::from_number(request.0), number: attempt };
                    let open = self.open.get(&attempt.request);
                    if open.and_then(|o| o.attempts.get(attempt.number as usize)).is_some_and(|a| !a.ended) {
                        self.steps.push(Step::Cancel { attempt });
                        self.end(now, attempt, Outcome::Cancelled);
                    }
                }
                Action::Refuse { request, retry_after } => {
                    let request = Handle::from_number(request.0);
                    if self.answered(request) {
                        self.steps.push(Step::Refuse { request, retry_after });
                    }
                }
                Action::Fail { request } => {
                    let request = Handle::from_number(request.0);
                    if self.answered(request) {
                        self.steps.push(Step::Fail { request });
                    }
                }
                Action::Timer { after, token } => {
                    let open = self.open.get_mut(&Handle::from_number(token));
                    match open.and_then(|o| o.coming.as_mut()) {
                        Some((_, timers)) => timers.push((after.max(0), token)),
                        None => self.set(now + after.max(0), Due::Module(token)),
                    }
                }
                Action::Subscribe(on) => self.steps.push(Step::Subscribe(on)),
                Action::FetchList => self.steps.push(Step::FetchList),
                Action::CloseIdle(u) => self.steps.push(Step::CloseIdle(Upstream(u.0))),
                Action::Note(text) => self.steps.push(Step::Note(text)),
                // The protocol's pages give neither a probe nor a message between sidecars.
                Action::Probe(_) => {}
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, now: Micros, request: Handle, upstream: UpstreamId, limit: Option<Micros>) {
        // A request that has its answer is never sent again, whatever the module says.
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.over) else { return };
        let until = match open.coming {
            Some(_) => open.deadline,
            None => limit.map_or(open.deadline, |l| (now + l).min(open.deadline)),
        };
        let told = open.coming.as_ref().map_or(until - now, |(budget, _)| limit.unwrap_or(*budget));
        let attempt = Attempt { request, number: open.attempts.len() as u32 };
        open.attempts.push(Sent { upstream: upstream.0, at: now, limit, begun: None, until, ended: false });
        if let Some(known) = self.known.get_mut(upstream.0 as usize) {
            known.out += 1;
        }
        if now >= open.deadline || attempt.number >= open.cap {
            return self.end(now, attempt, Outcome::NotSent);
        }
        let Some(to) = self.known.get(upstream.0 as usize).and_then(|k| k.address) else {
            return self.end(now, attempt, Outcome::ConnectFailed);
        };
        if until < FAR {
            self.set(until, Due::Limit(attempt));
        }
        self.steps.push(Step::Send { attempt, upstream: Upstream(upstream.0), to, limit: told });
    }

    /// The number for an upstream not heard of before: that of one long gone, or a new one. The module was told that
    /// the old one is gone, and so begins with nothing for whatever is listed under its number next; no connection of
    /// the old one is left either, wherever the new one is.
    fn number(&mut self, now: Micros, host: &Host, entry: Entry) -> u32 {
        let before = now - self.longest_deadline() - REUSE_AFTER;
        let is_free = |k: &Known| k.out == 0 && k.gone_since.is_some_and(|since| since < before);
        let fresh = Known {
            name: host.name.clone(),
            address: host.address,
            listed: false,
            entry,
            out: 0,
            gone_since: None,
        };
        let number = match self.known.iter().position(is_free) {
            Some(at) => {
                let old = std::mem::replace(&mut self.known[at], fresh);
                self.ids.remove(&old.name);
                self.steps.push(Step::CloseIdle(Upstream(at as u32)));
                at
            }
            None => {
                self.known.push(fresh);
                self.known.len() - 1
            }
        };
        self.ids.insert(host.name.clone(), number as u32);
        number as u32
    }

    fn entries(&mut self, now: Micros, hosts: &[Host], whole: bool) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(hosts.len());
        let mut named = HashSet::with_capacity(hosts.len());
        for h in hosts {
            let mut entry = Entry {
                upstream: UpstreamId(0),
                lifecycle: match h.health {
                    Health::Ready => Lifecycle::Running,
                    Health::Draining => Lifecycle::Draining,
                    Health::Gone => Lifecycle::Gone,
                },
                last_start: (h.started_ms > 0).then(|| (h.started_ms.min(1 << 52) * 1000) as Micros),
                zone: index(&mut self.front.zones, &h.zone),
                cell: h.cell,
                kind: index(&mut self.front.kinds, &h.kind),
                size: h.size,
                digest: silvercross_settings::digest(&h.name),
            };
            let id = match self.ids.get(&h.name) {
                Some(id) => *id,
                // Never known, and gone already.
                None if h.health == Health::Gone => continue,
                None => self.number(now, h, entry),
            };
            named.insert(id);
            entry.upstream = UpstreamId(id);
            let known = &mut self.known[id as usize];
            let here = h.health == Health::Ready;
            if (known.address != h.address) || (known.listed && !here) {
                self.steps.push(Step::CloseIdle(Upstream(id)));
            }
            (known.address, known.listed, known.entry) = (h.address, here, entry);
            known.gone_since = match h.health {
                Health::Gone => known.gone_since.or(Some(now)),
                _ => None,
            };
            entries.push(entry);
        }
        if whole {
            // What a whole list lacks is gone, and the module hears so.
            let lacks =
                |(i, k): &(usize, &mut Known)| k.gone_since.is_none() && !named.contains(&(*i as u32));
            for (i, known) in self.known.iter_mut().enumerate().filter(lacks) {
                (known.listed, known.gone_since) = (false, Some(now));
                self.steps.push(Step::CloseIdle(Upstream(i as u32)));
                entries.push(Entry { lifecycle: Lifecycle::Gone, ..known.entry });
            }
        }
        entries
    }
}

fn outcome(report: Report) -> Outcome {
    match report {
        Report::Served => Outcome::Served,
        Report::Error => Outcome::Error,
        Report::Rejected => Outcome::Rejected,
        Report::NotDelivered => Outcome::ConnectFailed,
        Report::Reset => Outcome::Reset,
        Report::NotSent => Outcome::NotSent,
    }
}

/// The place of a name; one that the settings lack is added, so that a list may be ahead of them.
fn index(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        if names.len() < NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    });
    at as u32
}
