//! The event loop: waits for readiness of sockets, dispatches it to the connection concerned, and carries out the
//! balancer's steps. It transfers bytes and enforces limits; whether and where a request is sent is not decided here.
//! The files in `event_loop/` hold the code for each kind of peer: applications, upstreams, discovery, operators,
//! other sidecars, far gateways.
mod applications;
mod client_close;
mod discovery_side;
mod fleet_side;
pub mod gateway_side;
mod neighbour;
mod operators;
mod records_side;
mod responses;
mod stopping;
mod streams;
mod upstreams;

#[cfg(test)]
mod tests;

use self::gateway_side::GatewayHalf;
use crate::lifecycle::fleet::Peers;
use crate::lifecycle::logging::Paced;
use crate::lifecycle::seat::Seat;
use crate::lifecycle::stop::Stop;
use crate::memory::connections::{Connection, Connections};
use crate::memory::requests::Request;
use crate::wire::application::State;
use crate::wire::discovery::Purpose;
use crate::wire::upstream::{AttemptError, Cause, Stage, Work};
use applications::CLIENT_IDLE_TIMEOUT;
use fleet_side::Fleet;
use operators::Management;
use polling::Events;
use records_side::RecordsSide;
use silvercross_core::interface::Micros;
use silvercross_core::interface::Settings;
use silvercross_facade::{Attempt, Balancer, Output, Step};
use silvercross_net::buffers::Pool;
use silvercross_net::registry::{Interest, Registry, Watched};
use silvercross_net::table::{Handle, Table};
use silvercross_settings::ProxySettings;
use slog::{error, info, warn, Logger};
use std::collections::{HashSet, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

const LISTENER_KEY: usize = usize::MAX - 1;
const STOP_KEY: usize = usize::MAX - 2;
const RELOAD_KEY: usize = usize::MAX - 3;
/// Maximum number of times in one iteration of the loop that the records (the fleet's replicated store, `records_side.rs`)
/// process their input and have their effects carried out.
const MAX_RECORDS_ROUNDS: usize = 4;
/// Interval of the periodic housekeeping.
const HOUSEKEEPING_INTERVAL: Micros = 250_000;
/// The summary is logged once per this many runs of the housekeeping.
const RUNS_PER_SUMMARY: u64 = 240;
/// Idle connections to upstreams are closed after this share of the time after which the upstream closes them: a
/// request written to one that is just being closed ends as a reset.
const UPSTREAM_IDLE_SHARE: f64 = 0.5;
/// Used if the settings do not say when upstreams close idle connections.
const DEFAULT_UPSTREAM_IDLE_LIMIT: Micros = 5_000_000;

/// The event loop's own timers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wake {
    /// A connection to an upstream must be established by now.
    ConnectTimeout(Handle),
    /// What an application's connection is in the middle of must be finished by now, unless its time was extended.
    ClientTimeout(Handle),
    /// The last byte of an attempt, which was delayed, may be sent.
    SendLastByte(Handle, Attempt),
    /// An upstream's response that has begun should be complete by now.
    CompletionTimeout(Handle),
    /// A connection to discovery may have been silent for too long.
    DiscoveryTimeout(Handle),
    /// The periodic housekeeping is due.
    Housekeeping,
    /// Stopping: check whether all is done.
    Stopping,
    /// Fleet membership is due to be advanced.
    Fleet,
    /// The records are due to be advanced.
    Records,
    /// Retry the claim of a key that another sidecar has claimed.
    RetryClaim(Handle),
    /// Read a document of the records again: the operator on the management connection in this slot waits for a later
    /// version of it.
    ReadDocument(usize),
    /// A response that is not stored yet is sent without the `X-Held` header.
    StoreTimeout(Handle),
}

/// Reads a signal's stream until it is empty.
fn drain(mut signals: &UnixStream) {
    let mut waste = [0; 64];
    while matches!(signals.read(&mut waste), Ok(n) if n > 0) {}
}

/// Limits of the loop.
pub struct Bounds {
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Maximum memory for buffers.
    pub buffer_bytes: usize,
    /// A connection to an upstream that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// A response that is not complete within this time after its first byte, extended by `EventLoop::transfer_time` for the
    /// bytes received, is given up, so that the request's remaining time can be used for a retry.
    pub completion_timeout: Micros,
    /// Upstreams close connections that have been idle for this long; `None`: not known.
    pub upstream_idle_timeout: Option<Micros>,
}

/// Time after which idle connections to upstreams are closed.
fn upstream_idle_limit(bounds: &Bounds) -> Micros {
    bounds
        .upstream_idle_timeout
        .map_or(DEFAULT_UPSTREAM_IDLE_LIMIT, |t| (t as f64 * UPSTREAM_IDLE_SHARE) as Micros)
}

/// Result of reading the configuration file again.
pub struct ReloadedConfig {
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The new settings, the names that they refer to, and the limits that follow from them.
    pub settings: Option<(Settings, ProxySettings, Bounds)>,
}

/// Reads the configuration file again: the whole of it if it is valid, otherwise one line that says why not. What it returns
/// is in force from then on.
pub type Reread = Box<dyn FnMut() -> Result<ReloadedConfig, String>>;

/// What an event loop is made from.
pub struct Parts {
    /// The poller.
    pub registry: Registry,
    /// The facade of the decision module.
    pub balancer: Balancer<Wake>,
    /// Listener for applications, non-blocking; `None`: the process listens once it can serve.
    pub listener: Option<TcpListener>,
    /// The address of that listener.
    pub listen_at: SocketAddr,
    /// Becomes readable when the process is to stop; non-blocking.
    pub stops: UnixStream,
    /// Becomes readable when the configuration is to be read again; non-blocking.
    pub reloads: UnixStream,
    /// Reads it again.
    pub reread: Reread,
    /// Discovery's address; `None`: the list comes from elsewhere.
    pub discovery: Option<SocketAddr>,
    /// The half of a gateway that this loop is, if it is one.
    pub gateway: Option<GatewayHalf>,
    /// Listener for operators, non-blocking.
    pub management_listener: Option<TcpListener>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// The lock file by which this process and a second one of the same sidecar know of each other.
    pub seat: Option<Seat>,
    /// Its membership of the fleet with the sockets for it, and its part in the records, if it is in a fleet.
    pub peers: Option<Peers>,
    /// Version of the list that the balancer was started with.
    pub seq: u64,
    /// Limits of the loop.
    pub bounds: Bounds,
    /// Logger.
    pub log: Logger,
}

/// Counts since the start, for the summary in the log.
#[derive(Default)]
struct Counts {
    accepted: u64,
    served: u64,
    refused: u64,
    failed: u64,
    client_gone: u64,
    bad_requests: u64,
    attempts: u64,
    attempts_failed: u64,
    connects: u64,
    panics: u64,
}

/// The event loop of a process.
pub struct EventLoop {
    registry: Registry,
    balancer: Balancer<Wake>,
    /// Listener for applications; `None`: a gateway without capacity to offer accepts no connections, a process beside
    /// another one has not begun or has ceased to listen.
    listener: Option<Watched<TcpListener>>,
    listen_at: SocketAddr,
    stops: Watched<UnixStream>,
    reloads: Watched<UnixStream>,
    reread: Reread,
    connections: Connections,
    requests: Table<Request>,
    pool: Pool,
    steps: VecDeque<Step<Wake>>,
    discovery: Option<SocketAddr>,
    gateway: Option<GatewayHalf>,
    management: Management,
    /// The lock file by which this process and a second one of the same sidecar know of each other.
    seat: Option<Seat>,
    fleet: Option<Fleet>,
    records_side: Option<RecordsSide>,
    /// Upstreams that drain by an operator's order, as last passed to the balancer.
    ordered_drains: Vec<String>,
    /// The records were given input in this iteration and must be advanced.
    records_pending: bool,
    /// How much of the fleet this member sees, as last reported by membership; kept to log each change of it.
    fleet_view: Option<silvercross_swim::View>,
    view_log_pacing: Paced,
    member_log_pacing: Paced,
    /// Another process of this sidecar is running; the two share the limits.
    has_neighbour: bool,
    /// Discovery has sent this process a list.
    has_received_list: bool,
    started: Micros,
    /// It accepts connections and has said so in its lock file. Only used beside another process.
    serving: bool,
    seq: u64,
    /// The connection on which discovery sends changes of the list, while the balancer is subscribed to them.
    discovery_watch: Option<Handle>,
    bounds: Bounds,
    upstream_idle_limit: Micros,
    stop: Option<Stop>,
    /// Stopping while a successor process serves: no new connections are accepted from then on.
    has_successor: bool,
    counts: Counts,
    housekeeping_runs: u64,
    limit_log_pacing: Paced,
    /// Until when the last byte of each request is delayed; see [`upstreams`].
    delay_last_byte_until: Micros,
    /// Correlation ids of the requests in `requests`.
    ids: HashSet<Box<str>>,
    log: Logger,
}

impl EventLoop {
    /// Registers the listeners and streams with the poller; nothing is served yet.
    pub fn new(parts: Parts) -> io::Result<Self> {
        let Parts { registry, balancer, listener, stops, reloads, reread, discovery, gateway, .. } = parts;
        let Parts { listen_at, management_listener, classes, seat, mut peers, seq, bounds, log, .. } = parts;
        let records = peers.as_mut().and_then(|p| p.records.take());
        let upstream_idle_limit = upstream_idle_limit(&bounds);
        Ok(EventLoop {
            listen_at,
            listener: listener.map(|l| registry.watch(l, LISTENER_KEY, Interest::Read)).transpose()?,
            management: Management::new(management_listener, &registry, &classes)?,
            records_side: records.map(|r| RecordsSide::new(r, &registry)).transpose()?,
            ordered_drains: Vec::new(),
            records_pending: false,
            fleet: peers.map(|p| Fleet::new(p, &registry, balancer.instances())).transpose()?,
            fleet_view: None,
            view_log_pacing: Paced::default(),
            member_log_pacing: Paced::default(),
            has_neighbour: false,
            has_received_list: false,
            started: balancer.now(),
            serving: false,
            stops: registry.watch(stops, STOP_KEY, Interest::Read)?,
            reloads: registry.watch(reloads, RELOAD_KEY, Interest::Read)?,
            reread,
            registry,
            balancer,
            connections: Connections::new(bounds.descriptors),
            requests: Table::default(),
            pool: Pool::new(bounds.buffer_bytes),
            steps: VecDeque::new(),
            discovery,
            gateway,
            seat,
            seq,
            discovery_watch: None,
            bounds,
            upstream_idle_limit,
            stop: None,
            has_successor: false,
            counts: Counts::default(),
            housekeeping_runs: 0,
            limit_log_pacing: Paced::default(),
            delay_last_byte_until: 0,
            ids: HashSet::new(),
            log,
        })
    }

    /// Serves until a stop was requested and is complete.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::new();
        let now = self.balancer.now();
        self.balancer.set_timer(now + HOUSEKEEPING_INTERVAL, Wake::Housekeeping);
        // An outward gateway half that has received no offer yet accepts no connections.
        self.catch_panic(None, Self::request_offers);
        self.check_neighbour();
        self.catch_panic(None, Self::advance_membership);
        self.catch_panic(None, Self::advance_records);
        loop {
            let mut wake = self.tick();
            // Requests to the records made in one iteration are sent together.
            for _ in 0..MAX_RECORDS_ROUNDS {
                if !std::mem::take(&mut self.records_pending) {
                    break;
                }
                self.catch_panic(None, Self::advance_records);
                wake = self.tick();
            }
            if self.records_pending {
                wake = Some(self.balancer.now());
            }
            if self.may_end() {
                self.summary("stopped");
                return Ok(());
            }
            let limit = wake.map(|at| Duration::from_micros((at - self.balancer.now()).max(0) as u64));
            self.registry.wait(&mut events, limit)?;
            // Operators first, so that their calls do not wait for the other work of this iteration.
            for event in events.iter().filter(|e| Management::is_key(e.key)) {
                self.catch_panic(None, |l| l.management_ready(event.key));
            }
            let is_fleet_key = |key| Fleet::is_key(key) || RecordsSide::is_key(key);
            for event in events.iter().filter(|e| !Management::is_key(e.key) && !is_fleet_key(e.key)) {
                match event.key {
                    LISTENER_KEY => self.catch_panic(None, |l| {
                        l.accept();
                    }),
                    STOP_KEY => self.begin_stop(),
                    RELOAD_KEY => self.catch_panic(None, Self::reload),
                    key => {
                        let handle = Handle::from_number(key as u64);
                        self.catch_panic(Some(handle), |l| l.ready(handle));
                    }
                }
            }
            // Other sidecars last: no client waits for them.
            for event in events.iter().filter(|e| Fleet::is_key(e.key)) {
                self.catch_panic(None, |l| l.fleet_ready(event.key));
            }
            for event in events.iter().filter(|e| RecordsSide::is_key(e.key)) {
                self.catch_panic(None, |l| l.records_ready(event.key));
            }
        }
    }

    /// Handles everything that is due; returns the time at which something will be due next.
    fn tick(&mut self) -> Option<Micros> {
        loop {
            // After a panic the timer that caused it is no longer in the heap, and those after it are still due.
            let mut wake = Some(self.balancer.now());
            self.catch_panic(None, |l| {
                let decision = l.balancer.tick(l.balancer.now());
                wake = decision.wake;
                l.queue_steps(decision);
            });
            if self.steps.is_empty() {
                return wake;
            }
            self.catch_panic(None, Self::run_steps);
        }
    }

    /// Runs `work` and catches a panic; the connection on whose behalf it ran, if any, is given up.
    fn catch_panic(&mut self, handle: Option<Handle>, work: impl FnOnce(&mut Self)) {
        let done = catch_unwind(AssertUnwindSafe(|| {
            work(self);
        }));
        if done.is_err() {
            self.counts.panics += 1;
            error!(self.log, "caught a panic; the process continues to serve"; "connection" => handle.is_some());
            let Some(handle) = handle else { return };
            if catch_unwind(AssertUnwindSafe(|| self.abandon(handle))).is_err() {
                error!(self.log, "a second panic while giving up a connection after a panic");
            }
        }
    }

    /// Gives up a connection whose handling panicked, and answers the client that waits for it.
    fn abandon(&mut self, handle: Handle) {
        match self.connections.get_mut(handle) {
            Some(Connection::Application(c)) => match c.state {
                State::Waiting(request) => {
                    c.close = true;
                    let decision = self.balancer.client_disconnected(request);
                    self.queue_steps(decision);
                    self.answer_call(request, 502, b"", &[b"failed\n"]);
                }
                State::Passing(request, _) => self.client_gone(handle, request),
                _ => self.close_application(handle),
            },
            Some(Connection::Upstream(c)) => match c.work {
                Work::Busy(attempt, stage) => {
                    let report = AttemptError { stage, cause: Cause::Closed }.report();
                    self.finish_attempt(handle, attempt, report, false);
                    if !self.balancer.is_unanswered(attempt.request) {
                        // The panic came after the balancer's final answer and before the response was written.
                        self.answer_call(attempt.request, 502, b"", &[b"failed\n"]);
                    }
                }
                Work::Idle => self.close_upstream(handle),
            },
            Some(Connection::Discovery(_)) => self.discovery_broken(handle, "panic"),
            Some(Connection::Peer(_)) => drop(self.connections.remove(handle)),
            None => {}
        }
        self.run_steps();
    }

    fn ready(&mut self, handle: Handle) {
        match self.connections.get_mut(handle) {
            Some(Connection::Application(_)) => self.application_ready(handle),
            Some(Connection::Upstream(_)) => self.upstream_ready(handle),
            Some(Connection::Discovery(_)) => self.discovery_ready(handle),
            Some(Connection::Peer(_)) => self.peer_ready(handle),
            // The connection was closed earlier in this iteration.
            None => {}
        }
        self.run_steps();
    }

    fn queue_steps(&mut self, decision: Output<Wake>) {
        self.steps.extend(decision.steps);
    }

    fn run_steps(&mut self) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Send { attempt, upstream, to, limit } => self.send(attempt, upstream, to, limit),
                Step::Cancel { attempt } => self.cancel(attempt),
                // The code that reported the response to the balancer has sent it to the client already.
                Step::Serve { .. } => {}
                Step::Refuse { request, retry_after } => {
                    self.counts.refused += 1;
                    let lines = retry_after.map_or(String::new(), |t| {
                        format!("Retry-After: {}.{:03}\r\n", t / 1_000_000, t / 1_000 % 1_000)
                    });
                    self.refuse(request, &lines);
                }
                Step::Fail { request } => {
                    self.counts.failed += 1;
                    self.fail(request);
                }
                Step::Subscribe(on) => self.set_discovery_watch(on),
                Step::FetchList => self.call_discovery(Purpose::Call),
                Step::CloseIdle(upstream) => {
                    self.connections.idle_to(upstream).into_iter().for_each(|h| self.close_upstream(h));
                }
                Step::Timer(wake) => self.timer_expired(wake),
                Step::Note(text) => info!(self.log, "note of the decision module"; "text" => text),
            }
        }
    }

    fn timer_expired(&mut self, wake: Wake) {
        let now = self.balancer.now();
        match wake {
            Wake::ConnectTimeout(handle) => {
                if let Some(Work::Busy(attempt, Stage::Connecting)) =
                    self.connections.upstream(handle).map(|c| c.work)
                {
                    self.attempt_failed(
                        handle,
                        attempt,
                        AttemptError { stage: Stage::Connecting, cause: Cause::NotInTime },
                    );
                }
            }
            Wake::ClientTimeout(handle) => {
                let Some(c) = self.connections.application(handle) else { return };
                match c.stalled_at {
                    Some(at) if at <= now => self.client_timed_out(handle),
                    Some(at) => self.balancer.set_timer(at, wake),
                    None => {}
                }
            }
            Wake::SendLastByte(handle, attempt) => self.send_last_byte(handle, attempt),
            Wake::CompletionTimeout(handle) => self.completion_timer_expired(handle, now),
            Wake::DiscoveryTimeout(handle) => {
                let Some(c) = self.connections.discovery(handle) else { return };
                match c.silent_at {
                    at if at <= now => self.discovery_broken(handle, "silence"),
                    at => self.balancer.set_timer(at, wake),
                }
            }
            Wake::Fleet => self.fleet_timer_expired(),
            Wake::Records => self.records_timer_expired(),
            Wake::RetryClaim(request) => self.send_claim(request),
            Wake::ReadDocument(slot) => self.read_document_again(slot),
            Wake::StoreTimeout(request) => self.response_stored(request, false),
            Wake::Housekeeping => self.housekeeping(now),
            Wake::Stopping => {
                if let Some(stop) = self.stop {
                    if self.has_successor {
                        self.catch_panic(None, Self::hand_over);
                    }
                    self.balancer.set_timer(stop.look_again(now), Wake::Stopping);
                }
            }
        }
    }

    fn housekeeping(&mut self, now: Micros) {
        let upstream_idle_limit = self.upstream_idle_limit;
        for handle in self.connections.all_idle() {
            if self.connections.upstream(handle).is_some_and(|c| c.since + upstream_idle_limit <= now) {
                self.close_upstream(handle);
            }
        }
        // Closing a connection without an open request harms no client. Silent connections, and those whose client sent
        // one request and stayed connected, must not accumulate until they take the descriptors that others need.
        for handle in self.connections.idle_applications(now - CLIENT_IDLE_TIMEOUT) {
            self.close_if_idle(handle);
        }
        self.request_offers();
        self.management.close_expired(now);
        self.check_neighbour();
        // If accepting had stopped, for whatever reason, it is tried again.
        self.resume_accepting();
        self.housekeeping_runs += 1;
        if self.housekeeping_runs.is_multiple_of(RUNS_PER_SUMMARY) {
            self.summary("summary");
        }
        self.balancer.set_timer(now + HOUSEKEEPING_INTERVAL, Wake::Housekeeping);
    }

    fn summary(&self, what: &'static str) {
        let c = &self.counts;
        // `taken` counts the requests accepted since the start, `open` the present requests without a final response.
        info!(self.log, "{}", what; "taken" => c.accepted, "served" => c.served, "refused" => c.refused,
            "failed" => c.failed, "client_gone" => c.client_gone, "bad_requests" => c.bad_requests, "attempts" => c.attempts,
            "attempts_failed" => c.attempts_failed, "connects" => c.connects, "panics" => c.panics,
            "connections" => self.connections.len(), "from_application" => self.connections.applications,
            "buffers" => self.pool.in_use(), "open" => self.balancer.unanswered(), "upstreams" => self.balancer.upstreams(),
            "list_seq" => self.seq);
    }

    // --- reload ---

    /// The configuration file has been replaced. Its settings and discovery's address apply from now on; the list, the
    /// connections, the learned estimates and the open requests stay. Changes of the process's own addresses and limits need a
    /// restart.
    fn reload(&mut self) {
        drain(self.reloads.get());
        // Also while stopping: as long as connections stay open their clients go by the new settings.
        let new = (self.reread)();
        self.management.metrics.count_reload(new.is_ok());
        let new = match new {
            Ok(new) => new,
            Err(why) => return warn!(self.log, "the configuration stays as it was"; "why" => why),
        };
        if let Some((settings, front, bounds)) = new.settings {
            self.management.metrics.set_classes(&front.classes);
            let decision = self.balancer.reconfigure(settings, front);
            self.queue_steps(decision);
            self.fleet_reconfigured();
            // The limits on descriptors and memory do not change while the process runs.
            let (descriptors, buffer_bytes) = (self.bounds.descriptors, self.bounds.buffer_bytes);
            self.bounds = Bounds { descriptors, buffer_bytes, ..bounds };
            self.upstream_idle_limit = upstream_idle_limit(&self.bounds);
            self.run_steps();
        }
        let to = new.discovery;
        info!(self.log, "reloaded"; "discovery" => to.to_string(), "before" => self.discovery.map(|d| d.to_string()));
        if Some(to) != self.discovery {
            self.discovery_moved(to);
            self.run_steps();
        }
    }
}
