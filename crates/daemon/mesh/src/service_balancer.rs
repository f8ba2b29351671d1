//! The origin's side of one service: the decision module behind its facade, and the requests that wait for what it says.
//! Translates between the module's steps and tasks; decides nothing.
use crate::peer_connection::ExchangeOutcome;
use silvercross_core::interface::{Class, Effect, Prices, Settings};
use silvercross_facade::{Attempt, Balancer, Clock, Host, News, Report, Request, Step, Turn};
use silvercross_mesh_config::{RouteKind, RoutingTable};
use silvercross_net::table::{Handle, Table as Slots};
use silvercross_settings::Front;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;

/// More attempts than an operator allows may be asked for as long as they reached no upstream.
const ASKED: u32 = 3;
/// A connection that is not up by then has failed, in microseconds.
pub const CONNECT: i64 = 300_000;
/// No client is told to stay away longer, in microseconds.
const AWAY: i64 = 2_000_000;
/// A crossing between zones has to gain more than this share of the aim; a large body is not moved for gain at all.
const TOLL: f64 = 0.2;
const UPLOAD_TOLL: f64 = 4.0;
/// Requests of one service open at a time; beyond it they are refused.
const OPEN: usize = 4096;

/// What comes to a request that waits.
pub enum RequestEvent {
    /// To be done.
    Step(Step<()>),
    /// An exchange has ended.
    Ended(u32, ExchangeOutcome),
}

/// One service, as this sidecar sends to it.
pub struct ServiceBalancer {
    inner: RefCell<Inner>,
    changed: Notify,
}

struct Inner {
    balancer: Balancer<()>,
    open: Slots<UnboundedSender<RequestEvent>>,
    wake: Option<i64>,
}

/// A request that the module was told of; ends with it.
pub struct Ticket {
    /// Where it is.
    pub service_balancer: Rc<ServiceBalancer>,
    /// Its handle.
    pub handle: Handle,
}

/// What the module is set to for a service.
pub struct ServiceSettings<'t> {
    /// The service's name.
    pub service: &'t str,
    /// The routing table in force.
    pub table: &'t RoutingTable,
    /// All zones.
    pub zones: &'t [String],
    /// This sidecar's.
    pub zone: &'t str,
    /// How many sidecars send.
    pub senders: u32,
    /// How many of them are in this zone.
    pub near: u32,
    /// Sends to a draining upstream end within this.
    pub drain: i64,
    /// Further sends, as a share of the requests.
    pub retry_share: f64,
    /// And how many may be saved up.
    pub retry_cap: f64,
}

impl ServiceSettings<'_> {
    fn settings(&self) -> (Settings, Front) {
        let of_service = |r: &&silvercross_mesh_config::Route| r.split.iter().any(|(d, _)| d == self.service);
        let mut classes = Vec::new();
        let mut names = Vec::new();
        let mut cap = 1;
        for r in self.table.routes().filter(of_service) {
            cap = cap.max(r.max_attempts);
            names.push(r.name.clone());
            classes.push(Class {
                aim: r.latency_target.min(r.deadline),
                aim_stretch: 0.0,
                deadline: r.deadline,
                worth: 4.0 / f64::from(1u32 << r.priority.min(16)),
                late_worth: 0.3,
                effect: if r.kind == RouteKind::Safe { Effect::Repeatable } else { Effect::Once },
                stream: false,
                sends: Some(r.max_attempts),
                toll: if r.kind == RouteKind::Upload { UPLOAD_TOLL } else { 0.0 },
            });
        }
        let cold = self.table.destination(self.service);
        let settings = Settings {
            instances: self.senders.max(1),
            me: 0,
            my_zone: self.zones.iter().position(|z| z == self.zone).unwrap_or(0) as u32,
            zones: self.zones.len() as u32,
            classes,
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            whole: 1.0,
            prices: Prices { cross_zone: TOLL, ..Prices::default() },
            list_on_request: false,
            must_ask_in: i64::MAX / 8,
            drain_grace: self.drain,
            cold_from: 0.5,
            warm_within: cold.map_or(1_000_000, |d| d.slow_start.max(1)),
            fall_multiple: 1.5,
            fall_span: 1_000_000,
            attempts_cap: cap + ASKED,
            connect_limit: CONNECT,
            may_cancel: true,
            second_copies: true,
            probes: false,
            max_retry_after: Some(AWAY),
            marks_repeats: false,
            warm_keys: false,
            cold_rate: cold.map(|d| d.slow_start_rate).filter(|r| *r > 0.0),
            cold_senders: self.near.max(1),
            retry_share: Some(self.retry_share),
            retry_cap: Some(self.retry_cap),
        };
        let front = Front {
            classes: names,
            tenants: Vec::new(),
            zones: self.zones.to_vec(),
            kinds: vec!["station".to_string()],
            idle_close: None,
        };
        (settings, front)
    }
}

impl ServiceBalancer {
    /// A desk for a service that was not sent to before.
    pub fn new(terms: &ServiceSettings, hosts: &[Host], seed: u64, clock: Clock) -> Rc<Self> {
        let (settings, front) = terms.settings();
        let balancer = Balancer::new(settings, front, seed, hosts, clock);
        let inner = Inner { balancer, open: Slots::default(), wake: None };
        let service_balancer =
            Rc::new(ServiceBalancer { inner: RefCell::new(inner), changed: Notify::new() });
        let ticking = Rc::downgrade(&service_balancer);
        tokio::task::spawn_local(async move {
            loop {
                let Some(service_balancer) = ticking.upgrade() else { return };
                let (now, wake) = {
                    let inner = service_balancer.inner.borrow();
                    (inner.balancer.now(), inner.wake)
                };
                let span =
                    wake.map_or(Duration::from_secs(5), |w| Duration::from_micros((w - now).max(0) as u64));
                tokio::select! {
                    _ = tokio::time::sleep(span) => {}
                    _ = service_balancer.changed.notified() => {}
                }
                let now = service_balancer.now();
                if wake.is_some_and(|w| w <= now) {
                    service_balancer.with(|b| b.tick(now));
                }
            }
        });
        service_balancer
    }

    /// The module's time, in microseconds.
    pub fn now(&self) -> i64 {
        self.inner.borrow().balancer.now()
    }

    /// Do something with the facade and hand its steps to whom they concern.
    fn with(&self, act: impl FnOnce(&mut Balancer<()>) -> Turn<()>) {
        let mut inner = self.inner.borrow_mut();
        let turn = act(&mut inner.balancer);
        for step in turn.steps {
            let to = match &step {
                Step::Send { attempt, .. } | Step::Cancel { attempt } | Step::Serve { attempt } => {
                    attempt.request
                }
                Step::Refuse { request, .. } | Step::Fail { request } => *request,
                // The mesh's news comes unasked; what is idle is looked at before it is used again.
                _ => continue,
            };
            if let Some(request_event) = inner.open.get(to) {
                let _ = request_event.send(RequestEvent::Step(step));
            }
        }
        let sooner = match (turn.wake, inner.wake) {
            (Some(new), Some(old)) => new < old,
            (Some(_), None) => true,
            _ => false,
        };
        inner.wake = turn.wake;
        drop(inner);
        if sooner {
            self.changed.notify_one();
        }
    }

    /// Other terms hold from now on.
    pub fn reconfigure(&self, terms: &ServiceSettings) {
        let (settings, front) = terms.settings();
        self.with(|b| b.reconfigure(settings, front));
    }

    /// These are the upstreams now.
    pub fn set_upstreams(&self, hosts: Vec<Host>) {
        self.with(|b| b.news(&News::List { whole: true, hosts }));
    }

    /// These begin anew, as if never met.
    pub fn reset_upstreams(&self, hosts: Vec<Host>) {
        self.with(|b| b.news(&News::List { whole: false, hosts }));
    }

    /// Whether any upstream is listed.
    pub fn has_upstreams(&self) -> bool {
        self.inner.borrow().balancer.ready()
    }

    /// Upstreams listed, and those of them avoided now.
    pub fn upstream_counts(&self) -> (usize, usize) {
        self.inner.borrow().balancer.rotation()
    }

    /// How many requests wait here.
    pub fn open_requests(&self) -> usize {
        self.inner.borrow().open.len()
    }

    /// The upstream's name.
    pub fn name_of(&self, upstream: silvercross_facade::Upstream) -> String {
        self.inner.borrow().balancer.name_of(upstream).to_string()
    }

    /// A request is to be placed; `None` if there is no room, or the class is not known (any more).
    pub fn take(
        self: &Rc<Self>,
        class: &str,
        budget: i64,
        request_event: (UnboundedSender<RequestEvent>, &mut UnboundedReceiver<RequestEvent>),
    ) -> Option<Ticket> {
        let handle = {
            let mut inner = self.inner.borrow_mut();
            inner.balancer.class_named(class)?;
            if inner.open.len() >= OPEN {
                return None;
            }
            inner.open.insert_with(|_| Ok::<_, ()>(request_event.0)).ok().flatten()?
        };
        let ticket = Ticket { service_balancer: self.clone(), handle };
        self.with(|b| {
            let class = b.class_named(class).unwrap_or(0);
            b.pick(Request {
                handle,
                class,
                tenant: 0,
                key: None,
                budget: Some(budget),
                cost_hint: None,
                repeat: false,
                write: false,
            })
        });
        Some(ticket)
    }

    /// All that is open, and all that comes, is answered by then.
    pub fn answer_by(&self, at: i64) {
        self.with(|b| {
            b.answer_by(at);
            let now = b.now();
            b.tick(now)
        });
    }

    /// An attempt's answer begins to go on before it is whole.
    pub fn begun(&self, attempt: Attempt) {
        self.with(|b| b.begun(attempt));
    }

    /// An attempt has ended.
    pub fn report(&self, attempt: Attempt, report: Report) {
        self.with(|b| b.report(attempt, report));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let handle = self.handle;
        self.service_balancer.with(|b| b.hung_up(handle));
        self.service_balancer.inner.borrow_mut().open.remove(handle);
    }
}

/// Where a gate is, for hosts of the module.
pub fn upstream_host(
    name: &str,
    gate: SocketAddr,
    zone: &str,
    ready: silvercross_facade::Health,
    slots: u32,
    born_ms: u64,
) -> Host {
    Host {
        name: name.to_string(),
        dial: Some(gate),
        zone: zone.to_string(),
        kind: "station".to_string(),
        cell: 0,
        health: ready,
        size: f64::from(slots.max(1)),
        born_ms,
    }
}
