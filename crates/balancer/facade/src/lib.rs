//! Facade of the decision module for the programs that do the network I/O, such as the sidecar and the emulator. They
//! call [`Balancer::pick`], [`Balancer::report`] and [`Balancer::tick`] and carry out the steps that these return; the
//! module's events and actions stay internal.
//!
//! The facade owns the module, the clock, one heap of timers (the caller's own included), the ids under which the
//! module knows upstreams, and the open requests. It makes no decisions. It enforces the protocol on the module: one
//! final answer for each request, none after its deadline, and no attempt after the answer.
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]
use silvercross_core::interface::{
    Action, Decide, DedupGroup, Ended, Entry, Event, Lifecycle, ListKind, Micros, NewRequest, Outcome,
    Repeatability, RequestId, Settings, UpstreamId,
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

/// Delay after its deadline at which the facade fails a request that is still open. The module answers by the deadline;
/// this guards against a request that has no attempt in flight and that the module has lost.
const BACKSTOP_DELAY: Micros = 5_000;
/// A request that runs out of time is answered this long before the client's deadline, so that the answer arrives in
/// time even if the event loop runs late on a shared core.
const ANSWER_MARGIN: Micros = 10_000;
/// The margin is at most the budget divided by this.
const MARGIN_DIVISOR: Micros = 10;
/// The id of a gone upstream is reused once no request that was sent there can be open, plus this delay, since list
/// updates about the old upstream may still arrive.
const ID_REUSE_DELAY: Micros = 10_000_000;
/// Maximum budget of a request, whatever its client states; the deadline of its class applies where that is longer.
const MAX_BUDGET: Micros = 60_000_000;
/// Maximum number of zones and of machine kinds in lists, since the module keeps state for each.
const MAX_NAMES: usize = 4096;

/// No time limit.
const NO_LIMIT: Micros = Micros::MAX / 4;

/// Creates a decider from its settings, its seed and the time of its start.
pub type DeciderFactory = Box<dyn FnOnce(Settings, u64, Micros) -> Box<dyn Decide>>;

/// Unix time in microseconds. It is read once at the start and advanced by the monotonic clock, so that a step of the
/// system clock moves no deadline, while the start times of upstreams remain comparable with it.
#[derive(Clone)]
pub struct Clock(Source);

#[derive(Clone)]
enum Source {
    System { unix: Micros, started: Instant },
    Manual(Rc<Cell<Micros>>),
    Read(fn() -> Micros),
}

impl Clock {
    /// The system clock.
    pub fn system() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock(Source::System { unix, started: Instant::now() })
    }

    /// A clock that shows the value of the cell.
    pub fn manual(at: Rc<Cell<Micros>>) -> Self {
        Clock(Source::Manual(at))
    }

    /// A clock that is read by calling `read`.
    pub fn from_fn(read: fn() -> Micros) -> Self {
        Clock(Source::Read(read))
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        match &self.0 {
            Source::Read(read) => read(),
            Source::System { unix, started } => unix + started.elapsed().as_micros() as Micros,
            Source::Manual(at) => at.get(),
        }
    }
}

/// Id of an upstream, as the caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Upstream(pub u32);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its request.
    pub request: Handle,
    /// Its index among the request's attempts, from 0.
    pub number: u32,
}

/// A request to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's handle of it.
    pub handle: Handle,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// Hash of the key that it concerns.
    pub key: Option<u64>,
    /// Time until its client stops waiting; `None`: the deadline of its class.
    pub budget: Option<Micros>,
    /// Its expected processing time on a standard core.
    pub cost_hint: Option<Micros>,
    /// Marked by the client as a retry.
    pub client_retry: bool,
    /// It is a write.
    pub write: bool,
}

/// How an attempt ended, as the caller observed it. Timeouts are detected by the facade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// A complete, successful response.
    Served,
    /// A complete error response; the request may have been executed.
    Error,
    /// Rejected by the upstream without being processed.
    Rejected,
    /// The request was not sent to its last byte, and so was not executed.
    NotDelivered,
    /// The connection broke after the last byte was sent; the request may have been executed.
    Reset,
    /// The attempt was not made, because a local limit was reached or the request had ended.
    NotSent,
}

/// Something for the caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<W> {
    /// Begin an attempt.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// The destination.
        upstream: Upstream,
        /// Its current address.
        to: SocketAddr,
        /// Time limit of the attempt.
        limit: Micros,
    },
    /// Cancel an attempt and close its connection.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// Final answer: pass on the response to this attempt.
    Serve {
        /// The attempt.
        attempt: Attempt,
    },
    /// Final answer: the request is refused, and a retry does no harm.
    Refuse {
        /// The request.
        request: Handle,
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: the request has failed.
    Fail {
        /// The request.
        request: Handle,
    },
    /// Subscribe to discovery's list, or unsubscribe.
    Subscribe(bool),
    /// Request the complete list from discovery once.
    FetchList,
    /// Close idle connections to an upstream.
    CloseIdle(Upstream),
    /// A timer of the caller's has expired.
    Timer(W),
    /// Write a line to the log.
    Note(String),
}

/// Steps to carry out now, and when to call [`Balancer::tick`] next if nothing happens before.
#[derive(Clone, Debug, PartialEq)]
pub struct Output<W> {
    /// The steps, in order.
    pub steps: Vec<Step<W>>,
    /// Time of the next call; `None`: no timer is set.
    pub wake: Option<Micros>,
}

/// An upstream as listed by discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same at every instance and in every list.
    pub name: String,
    /// Its address as reachable from this instance.
    pub address: Option<SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub health: Health,
    /// Its listed size, relative to other upstreams.
    pub size: f64,
    /// Time of its last start, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// State of an upstream according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It is removed.
    Gone,
}

/// An event from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// An update of the list.
    List {
        /// The complete list, rather than only the changed entries.
        whole: bool,
        /// The entries.
        hosts: Vec<Host>,
    },
    /// A call failed or the subscription broke; the present list stays in use.
    Broken,
    /// Discovery has moved to another address; the present list stays in use.
    Moved,
}

/// State of an attempt.
struct AttemptState {
    upstream: u32,
    sent_at: Micros,
    /// Its time limit, which counts from the request's last byte.
    limit: Option<Micros>,
    /// When its response began to be passed to the client.
    streaming_since: Option<Micros>,
    expires_at: Micros,
    ended: bool,
}

/// State of a request that is unanswered or has an attempt in flight.
struct OpenRequest {
    class: u32,
    /// Maximum number of attempts, by the settings in force when it was accepted.
    max_attempts: u32,
    deadline: Micros,
    over: bool,
    attempts: Vec<AttemptState>,
    /// While its body is still being received: its budget, which counts from the last byte, and the module's timers
    /// (delay and token), which are set then.
    incomplete_body: Option<(Micros, Vec<(Micros, u64)>)>,
}

enum TimerKind<W> {
    Module(u64),
    AttemptLimit(Attempt),
    Backstop(Handle),
    Caller(W),
}

struct Timer<W> {
    at: Micros,
    sequence: u64,
    kind: TimerKind<W>,
}

// Reversed, so that the heap's maximum is the earliest timer; of equal times, the one set first.
impl<W> Ord for Timer<W> {
    fn cmp(&self, o: &Self) -> Ordering {
        (o.at, o.sequence).cmp(&(self.at, self.sequence))
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

/// State of an upstream, by its id. Ids are reused, since the number of upstreams over time is unbounded.
struct Record {
    name: String,
    address: Option<SocketAddr>,
    ready: bool,
    entry: Entry,
    /// Attempts that have not ended.
    in_flight: u32,
    /// Since when it is removed from the list.
    gone_since: Option<Micros>,
}

/// The facade. `W` identifies the caller's own timers.
pub struct Balancer<W> {
    module: Box<dyn Decide>,
    settings: Settings,
    proxy: ProxySettings,
    clock: Clock,
    timers: BinaryHeap<Timer<W>>,
    timers_set: u64,
    ids: HashMap<String, u32>,
    records: Vec<Record>,
    open: HashMap<Handle, OpenRequest>,
    stop_at: Option<Micros>,
    actions: Vec<Action>,
    ended_attempts: VecDeque<Ended>,
    steps: Vec<Step<W>>,
}

impl<W> Balancer<W> {
    /// Creates a facade with a new decision module, which starts from `hosts`, a saved copy of the list.
    pub fn new(settings: Settings, proxy: ProxySettings, seed: u64, hosts: &[Host], clock: Clock) -> Self {
        let module = policy::Balancer::new(settings.clone(), seed, clock.now());
        Balancer::with_decider(Box::new(module), settings, proxy, hosts, clock)
    }

    /// Creates a facade with the given decider, which must be new and created from the same settings.
    pub fn with_decider(
        module: Box<dyn Decide>,
        settings: Settings,
        proxy: ProxySettings,
        hosts: &[Host],
        clock: Clock,
    ) -> Self {
        let now = clock.now();
        let mut new = Balancer {
            module,
            settings,
            proxy,
            clock,
            timers: BinaryHeap::new(),
            timers_set: 0,
            ids: HashMap::new(),
            records: Vec::new(),
            open: HashMap::new(),
            stop_at: None,
            actions: Vec::new(),
            ended_attempts: VecDeque::new(),
            steps: Vec::new(),
        };
        if !new.settings.list_on_request {
            // With a pushed list the module does not subscribe at the start, but here updates need a subscription.
            new.steps.push(Step::Subscribe(true));
        }
        let entries = new.apply_list(now, hosts, true);
        new.decide(now, Event::List { kind: ListKind::StaleCopy, entries: &entries });
        new
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Whether at least one upstream is ready.
    pub fn ready(&self) -> bool {
        self.records.iter().any(|k| k.ready)
    }

    /// Number of requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.over).count()
    }

    /// The longest deadline of the classes that are configured or still in use.
    pub fn longest_deadline(&self) -> Micros {
        let (in_use, names) = (self.classes_in_use(), &self.proxy.classes);
        let in_force =
            |i: &usize| in_use.contains(&(*i as u32)) || names.get(*i).is_some_and(|n| !n.is_empty());
        let classes = self.settings.classes.iter().enumerate().filter(|(i, _)| in_force(i));
        classes.map(|(_, c)| c.deadline).max().unwrap_or(0)
    }

    /// Whether a request has no final answer yet.
    pub fn is_unanswered(&self, request: Handle) -> bool {
        self.open.get(&request).is_some_and(|o| !o.over)
    }

    /// Number of upstream records, those of recently removed upstreams included.
    pub fn upstreams(&self) -> usize {
        self.records.len()
    }

    /// Number of upstreams in the list, and how many of those are not picked now.
    pub fn rotation(&self) -> (usize, usize) {
        let now = self.now();
        let listed = self.records.iter().filter(|k| k.gone_since.is_none());
        let avoided = |k: &&Record| !k.ready || self.module.avoids(now, k.entry.upstream);
        (listed.clone().count(), listed.filter(avoided).count())
    }

    /// Name of an upstream in the list; empty for an id that is not in use.
    pub fn name_of(&self, upstream: Upstream) -> &str {
        self.records.get(upstream.0 as usize).map_or("", |k| &k.name)
    }

    /// Whether requests of a class carry a key by which upstreams drop duplicates.
    pub fn is_keyed(&self, class: u32) -> bool {
        let repeatability = self.settings.classes.get(class as usize).map(|c| c.repeatability);
        matches!(repeatability, Some(Repeatability::Keyed { .. }))
    }

    /// Deadline of a class.
    pub fn deadline_of(&self, class: u32) -> Micros {
        self.settings.classes.get(class as usize).map_or(0, |c| c.deadline)
    }

    /// For how long a request of a class can be repeated at any upstream, whichever received it first; `None`: not at
    /// every upstream.
    pub fn repeat_window(&self, class: u32) -> Option<Micros> {
        match self.settings.classes.get(class as usize)?.repeatability {
            Repeatability::Keyed { group: DedupGroup::All, window } => Some(window),
            Repeatability::Repeatable => Some(NO_LIMIT),
            _ => None,
        }
    }

    /// Index of a class; `None` if no class has that name.
    pub fn class_named(&self, name: &str) -> Option<u32> {
        // A slot without a name holds a class that was removed.
        self.proxy.classes.iter().position(|c| c == name && !c.is_empty()).map(|i| i as u32)
    }

    /// Classes of the open requests, those with only an attempt in flight included.
    fn classes_in_use(&self) -> HashSet<u32> {
        self.open.values().map(|o| o.class).collect()
    }

    /// Applies new settings. An unchanged class keeps its slot; a new or changed one gets another slot, so that open
    /// requests end under the class with which they were accepted.
    pub fn reconfigure(&mut self, settings: Settings, front: ProxySettings) -> Output<W> {
        let (now, in_use) = (self.now(), self.classes_in_use());
        let old = std::mem::take(&mut self.proxy.classes);
        let mut classes = self.settings.classes.clone();
        let mut names = vec![String::new(); classes.len()];
        let mut previous: Vec<Option<u32>> = (0..classes.len() as u32).map(Some).collect();
        let old_index = |name: &String| old.iter().position(|o| o == name);
        let (unchanged, changed): (Vec<_>, Vec<_>) = front
            .classes
            .iter()
            .zip(&settings.classes)
            .partition(|(name, class)| old_index(name).is_some_and(|i| classes[i] == **class));
        for (name, _) in unchanged {
            old_index(name).into_iter().for_each(|i| names[i] = name.clone());
        }
        for (name, class) in changed {
            let free = (0..classes.len()).find(|i| names[*i].is_empty() && !in_use.contains(&(*i as u32)));
            let slot = free.unwrap_or(classes.len());
            if slot == classes.len() {
                classes.push(*class);
                names.push(String::new());
                previous.push(None);
            }
            (classes[slot], names[slot]) = (*class, name.clone());
            previous[slot] = old_index(name).map(|i| i as u32);
        }
        // Removes unused slots at the end.
        while names.last().is_some_and(String::is_empty) && !in_use.contains(&(names.len() as u32 - 1)) {
            names.pop();
            classes.pop();
            previous.pop();
        }
        let zone = front.zones.get(settings.own_zone as usize);
        let own_zone = zone.map_or(self.settings.own_zone, |z| index(&mut self.proxy.zones, z));
        let zones = self.settings.zones.max(settings.zones).max(own_zone + 1);
        (self.proxy.classes, self.proxy.tenants) = (names, front.tenants);
        self.settings = Settings { classes, own_zone, zones, ..settings };
        let settings = self.settings.clone();
        self.decide(now, Event::Settings { settings: &settings, previous: &previous });
        self.output()
    }

    /// Index of a tenant; 0 for a name that is not configured.
    pub fn tenant_named(&self, name: &str) -> u32 {
        self.proxy.tenants.iter().position(|t| t == name).unwrap_or(0) as u32
    }

    /// Handles a new request.
    pub fn pick(&mut self, r: Request) -> Output<W> {
        self.place(r, false)
    }

    /// Handles a new request whose body is still being received; its budget counts from [`Balancer::body_complete`] on.
    pub fn pick_incomplete(&mut self, r: Request) -> Output<W> {
        self.place(r, true)
    }

    fn place(&mut self, r: Request, incomplete: bool) -> Output<W> {
        let now = self.now();
        let class = self.settings.classes.get(r.class as usize);
        let class_deadline = class.map_or(0, |c| c.deadline);
        let budget = r.budget.unwrap_or(class_deadline).min(class_deadline.max(MAX_BUDGET));
        // A shutdown leaves less time than the client's budget. The module is still given the client's budget: it would
        // take a budget that is cut here for that of a late retry and refuse a request that can still be in time.
        let left = budget.min(self.stop_at.map_or(Micros::MAX, |at| (at - now).max(0)));
        let deadline = now + left - ANSWER_MARGIN.min(left / MARGIN_DIVISOR);
        let deadline = if incomplete { self.stop_at.unwrap_or(NO_LIMIT) } else { deadline };
        let (class, max_attempts, attempts) = (r.class, self.settings.max_attempts, Vec::new());
        let incomplete_body = incomplete.then(|| (budget, Vec::new()));
        self.open.insert(
            r.handle,
            OpenRequest { class, max_attempts, deadline, over: false, attempts, incomplete_body },
        );
        if deadline < NO_LIMIT {
            self.add_timer(deadline + BACKSTOP_DELAY, TimerKind::Backstop(r.handle));
        }
        self.decide(
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
        self.output()
    }

    /// The last byte of a request's body was received; its budget and the limits of its attempts count from now on.
    pub fn body_complete(&mut self, request: Handle) -> Output<W> {
        let (now, stop_at) = (self.now(), self.stop_at);
        let Some(open) = self.open.get_mut(&request) else { return self.output() };
        let Some((budget, timers)) = open.incomplete_body.take() else { return self.output() };
        let left = budget.min(stop_at.map_or(Micros::MAX, |at| (at - now).max(0)));
        open.deadline = now + left - ANSWER_MARGIN.min(left / MARGIN_DIVISOR);
        let deadline = open.deadline;
        let mut limits = Vec::new();
        for (number, a) in open.attempts.iter_mut().enumerate().filter(|(_, a)| !a.ended) {
            (a.sent_at, a.expires_at) = (now, a.limit.map_or(deadline, |l| (now + l).min(deadline)));
            limits.push((a.expires_at, Attempt { request, number: number as u32 }));
        }
        limits
            .into_iter()
            .for_each(|(expires_at, attempt)| self.add_timer(expires_at, TimerKind::AttemptLimit(attempt)));
        timers.into_iter().for_each(|(after, token)| self.add_timer(now + after, TimerKind::Module(token)));
        self.add_timer(deadline + BACKSTOP_DELAY, TimerKind::Backstop(request));
        self.output()
    }

    /// An attempt's response is passed to the client before it is complete: it can no longer be replaced, and no time
    /// limit applies to it any more.
    pub fn stream_started(&mut self, attempt: Attempt) -> Output<W> {
        let now = self.now();
        if let Some(open) = self.open.get_mut(&attempt.request).filter(|o| !o.over) {
            open.deadline = NO_LIMIT;
            if let Some(a) = open.attempts.get_mut(attempt.number as usize).filter(|a| !a.ended) {
                (a.expires_at, a.streaming_since) = (NO_LIMIT, Some(now));
                let request = RequestId(attempt.request.number());
                self.decide(now, Event::StreamStarted { request, attempt: attempt.number });
            }
        }
        self.output()
    }

    /// An attempt has ended. Ignored for an attempt that has already ended, for example by a timeout.
    pub fn report(&mut self, attempt: Attempt, report: Report) -> Output<W> {
        let now = self.now();
        if report != Report::Served {
            let open = self.open.get_mut(&attempt.request);
            let is_streaming = |o: &&mut OpenRequest| {
                o.attempts
                    .get(attempt.number as usize)
                    .is_some_and(|a| a.streaming_since.is_some() && !a.ended)
            };
            // Its client has received part of the response, so no other answer can be given.
            open.filter(is_streaming).into_iter().for_each(|o| o.over = true);
        }
        self.end_attempt(now, attempt, outcome_of(report));
        self.report_ended_attempts(now);
        self.output()
    }

    /// Handles the timers that have expired.
    pub fn tick(&mut self, now: Micros) -> Output<W> {
        while self.timers.peek().is_some_and(|t| t.at <= now) {
            let Some(timer) = self.timers.pop() else { break };
            match timer.kind {
                TimerKind::Module(token) => self.decide(now, Event::Timer { token }),
                TimerKind::Caller(timer) => self.steps.push(Step::Timer(timer)),
                TimerKind::AttemptLimit(attempt) => {
                    let sent =
                        self.open.get(&attempt.request).and_then(|o| o.attempts.get(attempt.number as usize));
                    if sent.is_some_and(|a| !a.ended && a.expires_at <= now) {
                        self.steps.push(Step::Cancel { attempt });
                        self.end_attempt(now, attempt, Outcome::TimedOut);
                        self.report_ended_attempts(now);
                    }
                }
                TimerKind::Backstop(request) => {
                    let open = self.open.get_mut(&request);
                    if open.is_some_and(|o| !o.over && o.deadline + BACKSTOP_DELAY <= now) {
                        self.mark_answered(request);
                        self.steps.push(Step::Fail { request });
                        self.decide(now, Event::RequestGone { request: RequestId(request.number()) });
                    }
                }
            }
        }
        self.output()
    }

    /// The client of a request has disconnected.
    pub fn client_disconnected(&mut self, request: Handle) -> Output<W> {
        let now = self.now();
        if self.mark_answered(request) {
            self.decide(now, Event::RequestGone { request: RequestId(request.number()) });
        }
        self.output()
    }

    /// Handles an event from discovery.
    pub fn discovery_event(&mut self, event: &DiscoveryEvent) -> Output<W> {
        let now = self.now();
        match event {
            DiscoveryEvent::Broken => self.decide(now, Event::List { kind: ListKind::Broken, entries: &[] }),
            DiscoveryEvent::Moved => self.decide(now, Event::List { kind: ListKind::Moved, entries: &[] }),
            DiscoveryEvent::List { whole, hosts } => {
                let kind = if *whole { ListKind::Snapshot } else { ListKind::Patch };
                let entries = self.apply_list(now, hosts, *whole);
                self.decide(now, Event::List { kind, entries: &entries });
            }
        }
        self.output()
    }

    /// Another sidecar reports that an upstream with this start time is draining, ahead of this instance's list; or, with
    /// `drains` false, its report has ended and this instance's list had the upstream ready all the time. This never makes
    /// an upstream ready that the list does not have as ready.
    pub fn peer_reported_drain(&mut self, name: &str, started_ms: u64, drains: bool) -> Output<W> {
        let now = self.now();
        let born = (started_ms > 0).then(|| (started_ms.min(1 << 52) * 1000) as Micros);
        let record = self.ids.get(name).and_then(|id| self.records.get_mut(*id as usize).map(|k| (*id, k)));
        let applies = |k: &&mut Record| {
            let state = if drains { Lifecycle::Running } else { Lifecycle::Draining };
            k.gone_since.is_none() && k.entry.lifecycle == state && k.entry.last_start <= born
        };
        if let Some((id, record)) = record.filter(|(_, k)| applies(k)) {
            record.entry.lifecycle = if drains { Lifecycle::Draining } else { Lifecycle::Running };
            record.ready = !drains;
            let entry = record.entry;
            if drains {
                self.steps.push(Step::CloseIdle(Upstream(id)));
            }
            self.decide(now, Event::List { kind: ListKind::Patch, entries: &[entry] });
        }
        self.output()
    }

    /// Sets the number of sidecars that send requests, replacing that of the settings.
    pub fn set_instances(&mut self, senders: u32) -> Output<W> {
        let now = self.now();
        if senders > 0 && senders != self.settings.instances {
            self.settings.instances = senders;
            let previous: Vec<Option<u32>> = (0..self.settings.classes.len() as u32).map(Some).collect();
            let settings = self.settings.clone();
            self.decide(now, Event::Settings { settings: &settings, previous: &previous });
        }
        self.output()
    }

    /// Number of sidecars that send requests, by the settings in force.
    pub fn instances(&self) -> u32 {
        self.settings.instances
    }

    /// Sets a timer of the caller's, which is returned in [`Step::Timer`].
    pub fn set_timer(&mut self, at: Micros, timer: W) {
        self.add_timer(at, TimerKind::Caller(timer));
    }

    /// The process is stopping: every request, open or still to come, must be answered by the given time.
    pub fn answer_by(&mut self, at: Micros) {
        self.stop_at = Some(at);
        let mut shortened = Vec::new();
        for (&request, open) in &mut self.open {
            // A response that is being passed to the client continues until the process exits.
            if open.deadline > at && open.attempts.iter().all(|a| a.streaming_since.is_none()) {
                open.deadline = at;
                shortened.push((request, open.attempts.len()));
                open.attempts.iter_mut().for_each(|a| a.expires_at = a.expires_at.min(at));
            }
        }
        shortened.sort();
        for (request, attempts) in shortened {
            for number in 0..attempts as u32 {
                self.add_timer(at, TimerKind::AttemptLimit(Attempt { request, number }));
            }
            self.add_timer(at + BACKSTOP_DELAY, TimerKind::Backstop(request));
        }
    }

    fn output(&mut self) -> Output<W> {
        Output { steps: std::mem::take(&mut self.steps), wake: self.timers.peek().map(|t| t.at) }
    }

    fn add_timer(&mut self, at: Micros, kind: TimerKind<W>) {
        self.timers_set += 1;
        self.timers.push(Timer { at, sequence: self.timers_set, kind });
    }

    /// Marks a request as answered; `false` if it already was, or is unknown.
    fn mark_answered(&mut self, request: Handle) -> bool {
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.over) else { return false };
        open.over = true;
        if open.attempts.iter().all(|a| a.ended) {
            self.open.remove(&request);
        }
        true
    }

    /// Records the end of an attempt; [`Balancer::report_ended_attempts`] reports it to the module.
    fn end_attempt(&mut self, now: Micros, attempt: Attempt, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&attempt.request) else { return };
        let Some(sent) = open.attempts.get_mut(attempt.number as usize).filter(|a| !a.ended) else { return };
        sent.ended = true;
        if let Some(record) = self.records.get_mut(sent.upstream as usize) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        // The duration of a streamed response depends on its client, so the time to its first bytes is reported.
        let elapsed = sent.streaming_since.unwrap_or(now) - sent.sent_at;
        if outcome == Outcome::Served && !open.over {
            open.over = true;
            self.steps.push(Step::Serve { attempt });
        }
        let request_over = open.over;
        if request_over && open.attempts.iter().all(|a| a.ended) {
            self.open.remove(&attempt.request);
        }
        let request = RequestId(attempt.request.number());
        self.ended_attempts.push_back(Ended {
            request,
            attempt: attempt.number,
            outcome,
            elapsed,
            request_over,
        });
    }

    /// Reports ended attempts to the module until none is left, since its actions may end others.
    fn report_ended_attempts(&mut self, now: Micros) {
        while let Some(e) = self.ended_attempts.pop_front() {
            self.module.decide(now, Event::AttemptEnded(e), &mut self.actions);
            self.apply_actions(now);
        }
    }

    fn decide(&mut self, now: Micros, event: Event<'_>) {
        self.module.decide(now, event, &mut self.actions);
        self.apply_actions(now);
        self.report_ended_attempts(now);
    }

    fn apply_actions(&mut self, now: Micros) {
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
                        self.end_attempt(now, attempt, Outcome::Cancelled);
                    }
                }
                Action::Refuse { request, retry_after } => {
                    let request = Handle::from_number(request.0);
                    if self.mark_answered(request) {
                        self.steps.push(Step::Refuse { request, retry_after });
                    }
                }
                Action::Fail { request } => {
                    let request = Handle::from_number(request.0);
                    if self.mark_answered(request) {
                        self.steps.push(Step::Fail { request });
                    }
                }
                Action::Timer { after, token } => {
                    let open = self.open.get_mut(&Handle::from_number(token));
                    match open.and_then(|o| o.incomplete_body.as_mut()) {
                        Some((_, timers)) => timers.push((after.max(0), token)),
                        None => self.add_timer(now + after.max(0), TimerKind::Module(token)),
                    }
                }
                Action::Subscribe(on) => self.steps.push(Step::Subscribe(on)),
                Action::FetchList => self.steps.push(Step::FetchList),
                Action::CloseIdle(u) => self.steps.push(Step::CloseIdle(Upstream(u.0))),
                Action::Note(text) => self.steps.push(Step::Note(text)),
                // The protocol has no probes.
                Action::Probe(_) => {}
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, now: Micros, request: Handle, upstream: UpstreamId, limit: Option<Micros>) {
        // An answered request is never sent again, whatever the module requests.
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.over) else { return };
        let expires_at = match open.incomplete_body {
            Some(_) => open.deadline,
            None => limit.map_or(open.deadline, |l| (now + l).min(open.deadline)),
        };
        let stated_limit =
            open.incomplete_body.as_ref().map_or(expires_at - now, |(budget, _)| limit.unwrap_or(*budget));
        let attempt = Attempt { request, number: open.attempts.len() as u32 };
        open.attempts.push(AttemptState {
            upstream: upstream.0,
            sent_at: now,
            limit,
            streaming_since: None,
            expires_at,
            ended: false,
        });
        if let Some(record) = self.records.get_mut(upstream.0 as usize) {
            record.in_flight += 1;
        }
        if now >= open.deadline || attempt.number >= open.max_attempts {
            return self.end_attempt(now, attempt, Outcome::NotSent);
        }
        let Some(to) = self.records.get(upstream.0 as usize).and_then(|k| k.address) else {
            return self.end_attempt(now, attempt, Outcome::ConnectFailed);
        };
        if expires_at < NO_LIMIT {
            self.add_timer(expires_at, TimerKind::AttemptLimit(attempt));
        }
        self.steps.push(Step::Send { attempt, upstream: Upstream(upstream.0), to, limit: stated_limit });
    }

    /// Assigns an id to an upstream that was not listed before: the id of one removed long ago, or a new one. The module
    /// was told that the old upstream is gone, so it keeps no state for its id; idle connections to the old upstream are
    /// closed, whatever the address of the new one.
    fn assign_id(&mut self, now: Micros, host: &Host, entry: Entry) -> u32 {
        let gone_before = now - self.longest_deadline() - ID_REUSE_DELAY;
        let is_free = |k: &Record| k.in_flight == 0 && k.gone_since.is_some_and(|since| since < gone_before);
        let fresh = Record {
            name: host.name.clone(),
            address: host.address,
            ready: false,
            entry,
            in_flight: 0,
            gone_since: None,
        };
        let number = match self.records.iter().position(is_free) {
            Some(at) => {
                let old = std::mem::replace(&mut self.records[at], fresh);
                self.ids.remove(&old.name);
                self.steps.push(Step::CloseIdle(Upstream(at as u32)));
                at
            }
            None => {
                self.records.push(fresh);
                self.records.len() - 1
            }
        };
        self.ids.insert(host.name.clone(), number as u32);
        number as u32
    }

    fn apply_list(&mut self, now: Micros, hosts: &[Host], complete: bool) -> Vec<Entry> {
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
                zone: index(&mut self.proxy.zones, &h.zone),
                cell: h.cell,
                kind: index(&mut self.proxy.kinds, &h.kind),
                size: h.size,
                digest: silvercross_settings::digest(&h.name),
            };
            let id = match self.ids.get(&h.name) {
                Some(id) => *id,
                // It was gone before it was ever listed here.
                None if h.health == Health::Gone => continue,
                None => self.assign_id(now, h, entry),
            };
            named.insert(id);
            entry.upstream = UpstreamId(id);
            let record = &mut self.records[id as usize];
            let here = h.health == Health::Ready;
            if (record.address != h.address) || (record.ready && !here) {
                self.steps.push(Step::CloseIdle(Upstream(id)));
            }
            (record.address, record.ready, record.entry) = (h.address, here, entry);
            record.gone_since = match h.health {
                Health::Gone => record.gone_since.or(Some(now)),
                _ => None,
            };
            entries.push(entry);
        }
        if complete {
            // Upstreams missing from a complete list are gone.
            let lacks =
                |(i, k): &(usize, &mut Record)| k.gone_since.is_none() && !named.contains(&(*i as u32));
            for (i, record) in self.records.iter_mut().enumerate().filter(lacks) {
                (record.ready, record.gone_since) = (false, Some(now));
                self.steps.push(Step::CloseIdle(Upstream(i as u32)));
                entries.push(Entry { lifecycle: Lifecycle::Gone, ..record.entry });
            }
        }
        entries
    }
}

fn outcome_of(report: Report) -> Outcome {
    match report {
        Report::Served => Outcome::Served,
        Report::Error => Outcome::Error,
        Report::Rejected => Outcome::Rejected,
        Report::NotDelivered => Outcome::ConnectFailed,
        Report::Reset => Outcome::Reset,
        Report::NotSent => Outcome::NotSent,
    }
}

/// Index of a name. A name that the settings lack is added, since the list may be ahead of the settings.
fn index(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_string());
        }
        names.len() - 1
    });
    at as u32
}
