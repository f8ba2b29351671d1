//! One service's module and the requests that are open at it.
use super::event::RequestEvent;
use super::settings::{ModuleSettings, ServiceSettings};
use silvercross_facade::{
    Attempt, Balancer, Clock, DiscoveryEvent, Host, Output, Report, Request, Step, Upstream,
};
use silvercross_net::table::{Handle, Table as Slots};
use silvercross_time::{Duration, Instant};
use std::cell::RefCell;
use std::fmt;
use std::rc::{Rc, Weak};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;

/// Requests of one service open at a time; beyond it they are rejected.
const MAX_OPEN_REQUESTS: usize = 4096;
/// The module's timer looks for a change at least this often.
const MAX_TIMER_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request was not taken. Nothing of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmitError {
    /// The route is not known (any more).
    UnknownRoute,
    /// As many requests are open as may be.
    TooManyOpen,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SubmitError::UnknownRoute => {
                write!(f, "the route is not known any more (retry by the new table)")
            }
            SubmitError::TooManyOpen => write!(f, "{MAX_OPEN_REQUESTS} requests are open (retry later)"),
        }
    }
}

impl std::error::Error for SubmitError {}

/// How many upstreams the module knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamCounts {
    /// All of them.
    pub(crate) listed: usize,
    /// Those that are avoided now.
    pub(crate) avoided: usize,
}

/// One service, as this sidecar sends to it.
pub(crate) struct ServiceBalancer {
    inner: RefCell<Inner>,
    deadline_changed: Notify,
}

struct Inner {
    balancer: Balancer<()>,
    open: Slots<UnboundedSender<RequestEvent>>,
    next_deadline: Option<Instant>,
}

/// A request that the module knows of; it ends when this is dropped.
pub(crate) struct OpenRequest {
    /// Where it is open.
    pub(crate) service_balancer: Rc<ServiceBalancer>,
    /// Its handle.
    pub(crate) handle: Handle,
}

impl ServiceBalancer {
    /// For a service that was not sent to before.
    pub(crate) fn new(settings: &ServiceSettings, hosts: &[Host], seed: u64, clock: Clock) -> Rc<Self> {
        let ModuleSettings { settings, front } = settings.module_settings();
        let balancer = Balancer::new(settings, front, seed, hosts, clock);
        let inner = Inner { balancer, open: Slots::default(), next_deadline: None };
        let service_balancer =
            Rc::new(ServiceBalancer { inner: RefCell::new(inner), deadline_changed: Notify::new() });
        tokio::task::spawn_local(run_timer(Rc::downgrade(&service_balancer)));
        service_balancer
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.inner.borrow().balancer.now())
    }

    /// Call the module, and hand its steps to the requests that they concern.
    fn with_module(&self, act: impl FnOnce(&mut Balancer<()>) -> Output<()>) {
        let mut inner = self.inner.borrow_mut();
        let turn = act(&mut inner.balancer);
        for step in turn.steps {
            let request = match &step {
                Step::Send { attempt, .. } | Step::Cancel { attempt } | Step::Serve { attempt } => {
                    attempt.request
                }
                Step::Refuse { request, .. } | Step::Fail { request } => *request,
                // The mesh tells its upstreams unasked, and an idle connection is checked before it is reused.
                _ => continue,
            };
            if let Some(events) = inner.open.get(request) {
                let _ = events.send(RequestEvent::Step(step));
            }
        }
        let next_deadline = turn.wake.map(Instant::from_micros);
        let is_sooner = match (next_deadline, inner.next_deadline) {
            (Some(new), Some(old)) => new < old,
            (new, _) => new.is_some(),
        };
        inner.next_deadline = next_deadline;
        drop(inner);
        if is_sooner {
            self.deadline_changed.notify_one();
        }
    }

    /// These settings are in force from now on.
    pub(crate) fn reconfigure(&self, settings: &ServiceSettings) {
        let ModuleSettings { settings, front } = settings.module_settings();
        self.with_module(|balancer| balancer.reconfigure(settings, front));
    }

    /// These are the upstreams now.
    pub(crate) fn set_upstreams(&self, hosts: Vec<Host>) {
        self.with_module(|balancer| balancer.discovery_event(&DiscoveryEvent::List { whole: true, hosts }));
    }

    /// These upstreams begin anew, as if never met.
    pub(crate) fn reset_upstreams(&self, hosts: Vec<Host>) {
        self.with_module(|balancer| balancer.discovery_event(&DiscoveryEvent::List { whole: false, hosts }));
    }

    /// Whether any upstream is listed.
    pub(crate) fn has_upstreams(&self) -> bool {
        self.inner.borrow().balancer.ready()
    }

    /// How many upstreams are listed and avoided.
    pub(crate) fn upstream_counts(&self) -> UpstreamCounts {
        let (listed, avoided) = self.inner.borrow().balancer.rotation();
        UpstreamCounts { listed, avoided }
    }

    /// How many requests are open here.
    pub(crate) fn open_requests(&self) -> usize {
        self.inner.borrow().open.len()
    }

    /// The upstream's id.
    pub(crate) fn name_of(&self, upstream: Upstream) -> String {
        self.inner.borrow().balancer.name_of(upstream).to_string()
    }

    /// Submit a request of a route, to be answered within `time_left`; the module's steps come as `events`.
    ///
    /// # Errors
    /// [`SubmitError`] if it is not taken.
    pub(crate) fn submit(
        self: &Rc<Self>,
        route: &str,
        time_left: Duration,
        events: UnboundedSender<RequestEvent>,
    ) -> Result<OpenRequest, SubmitError> {
        let handle = {
            let mut inner = self.inner.borrow_mut();
            inner.balancer.class_named(route).ok_or(SubmitError::UnknownRoute)?;
            if inner.open.len() >= MAX_OPEN_REQUESTS {
                return Err(SubmitError::TooManyOpen);
            }
            inner.open.insert_with(|_| Ok(events))?.ok_or(SubmitError::TooManyOpen)?
        };
        let request = OpenRequest { service_balancer: self.clone(), handle };
        self.with_module(|balancer| {
            let class = balancer.class_named(route).unwrap_or(0);
            balancer.pick(Request {
                handle,
                class,
                tenant: 0,
                key: None,
                budget: Some(time_left.as_micros()),
                cost_hint: None,
                client_retry: false,
                write: false,
            })
        });
        Ok(request)
    }

    /// All requests that are open, and all that come, are answered by then.
    pub(crate) fn answer_by(&self, deadline: Instant) {
        self.with_module(|balancer| {
            balancer.answer_by(deadline.as_micros());
            let now = balancer.now();
            balancer.tick(now)
        });
    }

    /// An attempt's response begins to be forwarded before it is complete.
    pub(crate) fn begun(&self, attempt: Attempt) {
        self.with_module(|balancer| balancer.stream_started(attempt));
    }

    /// An attempt has ended.
    pub(crate) fn report(&self, attempt: Attempt, report: Report) {
        self.with_module(|balancer| balancer.report(attempt, report));
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let handle = self.handle;
        self.service_balancer.with_module(|balancer| balancer.client_disconnected(handle));
        self.service_balancer.inner.borrow_mut().open.remove(handle);
    }
}

/// Call the module when its time comes, for as long as the balancer lives.
async fn run_timer(service_balancer: Weak<ServiceBalancer>) {
    loop {
        let Some(service_balancer) = service_balancer.upgrade() else { return };
        let next_deadline = service_balancer.inner.borrow().next_deadline;
        let interval = next_deadline.map_or(MAX_TIMER_INTERVAL, |deadline| deadline - service_balancer.now());
        tokio::select! {
            _ = tokio::time::sleep(interval.to_std()) => {}
            _ = service_balancer.deadline_changed.notified() => {}
        }
        let now = service_balancer.now();
        if next_deadline.is_some_and(|deadline| deadline <= now) {
            service_balancer.with_module(|balancer| balancer.tick(now.as_micros()));
        }
    }
}
