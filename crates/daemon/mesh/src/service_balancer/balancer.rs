//! The decision module of one service and the requests that are open there.
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

/// Maximum number of open requests of one service. Further requests are rejected.
const MAX_OPEN_REQUESTS: usize = 4096;
/// Maximum interval between two checks of the module's deadline.
const MAX_TIMER_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request was not accepted. No attempt of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmitError {
    /// The route is not, or no longer, in the module's settings.
    UnknownRoute,
    /// The maximum number of requests is open.
    TooManyOpen,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SubmitError::UnknownRoute => {
                write!(f, "unknown route (retry with the current routing table)")
            }
            SubmitError::TooManyOpen => write!(f, "{MAX_OPEN_REQUESTS} requests are open (retry later)"),
        }
    }
}

impl std::error::Error for SubmitError {}

/// The number of upstreams that the module knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamCounts {
    /// All listed upstreams.
    pub(crate) listed: usize,
    /// Listed upstreams that are not picked at present.
    pub(crate) avoided: usize,
}

/// The balancer of one service that this sidecar sends to.
pub(crate) struct ServiceBalancer {
    inner: RefCell<Inner>,
    deadline_changed: Notify,
}

struct Inner {
    balancer: Balancer<()>,
    open: Slots<UnboundedSender<RequestEvent>>,
    next_deadline: Option<Instant>,
}

/// A request that is open at the module. It is closed on drop.
pub(crate) struct OpenRequest {
    /// The balancer at which it is open.
    pub(crate) service_balancer: Rc<ServiceBalancer>,
    /// The handle of the request.
    pub(crate) handle: Handle,
}

impl ServiceBalancer {
    /// Creates the balancer of a service and starts its timer.
    pub(crate) fn new(settings: &ServiceSettings, hosts: &[Host], seed: u64, clock: Clock) -> Rc<Self> {
        let ModuleSettings { settings, proxy_settings } = settings.module_settings();
        let balancer = Balancer::new(settings, proxy_settings, seed, hosts, clock);
        let inner = Inner { balancer, open: Slots::default(), next_deadline: None };
        let service_balancer =
            Rc::new(ServiceBalancer { inner: RefCell::new(inner), deadline_changed: Notify::new() });
        tokio::task::spawn_local(run_timer(Rc::downgrade(&service_balancer)));
        service_balancer
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.inner.borrow().balancer.now())
    }

    /// Calls the module, and passes its steps to the requests that they concern.
    fn with_module(&self, operation: impl FnOnce(&mut Balancer<()>) -> Output<()>) {
        let mut inner = self.inner.borrow_mut();
        let output = operation(&mut inner.balancer);
        for step in output.steps {
            let request = match &step {
                Step::Send { attempt, .. } | Step::Cancel { attempt } | Step::Serve { attempt } => {
                    attempt.request
                }
                Step::Refuse { request, .. } | Step::Fail { request } => *request,
                // Other steps are not needed: upstream lists are set without a subscription, and idle connections are
                // checked before reuse.
                _ => continue,
            };
            if let Some(events) = inner.open.get(request) {
                let _ = events.send(RequestEvent::Step(step));
            }
        }
        let next_deadline = output.wake.map(Instant::from_micros);
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

    /// Applies new settings.
    pub(crate) fn reconfigure(&self, settings: &ServiceSettings) {
        let ModuleSettings { settings, proxy_settings } = settings.module_settings();
        self.with_module(|balancer| balancer.reconfigure(settings, proxy_settings));
    }

    /// Replaces the list of upstreams.
    pub(crate) fn set_upstreams(&self, hosts: Vec<Host>) {
        self.with_module(|balancer| balancer.discovery_event(&DiscoveryEvent::List { whole: true, hosts }));
    }

    /// Resets the module's state of these upstreams, as if they were new.
    pub(crate) fn reset_upstreams(&self, hosts: Vec<Host>) {
        self.with_module(|balancer| balancer.discovery_event(&DiscoveryEvent::List { whole: false, hosts }));
    }

    /// Returns whether an upstream is listed.
    pub(crate) fn has_upstreams(&self) -> bool {
        self.inner.borrow().balancer.ready()
    }

    /// Returns the numbers of listed and of avoided upstreams.
    pub(crate) fn upstream_counts(&self) -> UpstreamCounts {
        let (listed, avoided) = self.inner.borrow().balancer.rotation();
        UpstreamCounts { listed, avoided }
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.inner.borrow().open.len()
    }

    /// Returns the id of an upstream.
    pub(crate) fn name_of(&self, upstream: Upstream) -> String {
        self.inner.borrow().balancer.name_of(upstream).to_string()
    }

    /// Submits a request of a route, which must be answered within `time_left`. The module's steps are sent to
    /// `events`.
    ///
    /// # Errors
    /// [`SubmitError`] if the request is not accepted.
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

    /// Sets the time by which all requests, open or still to come, must be answered.
    pub(crate) fn answer_by(&self, deadline: Instant) {
        self.with_module(|balancer| {
            balancer.answer_by(deadline.as_micros());
            let now = balancer.now();
            balancer.tick(now)
        });
    }

    /// Reports that an attempt's response is being forwarded before it is complete.
    pub(crate) fn stream_started(&self, attempt: Attempt) {
        self.with_module(|balancer| balancer.stream_started(attempt));
    }

    /// Reports the outcome of an attempt.
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

/// Calls the module at its deadlines until the balancer is dropped.
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
