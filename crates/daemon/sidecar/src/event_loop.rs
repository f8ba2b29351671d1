//! The loop: waits for readiness, hands it to the connection it belongs to, and does the facade's steps. It moves
//! bytes and keeps bounds; where a request goes, and whether, is not decided here. Its three sides, each towards one
//! kind of neighbour, are in the files of the folder `event_loop/`.
mod applications;
mod discovery_side;
mod fleet_side;
pub mod gateway_side;
mod operators;
mod records_side;
mod streams;
mod upstreams;

#[cfg(test)]
mod tests;

use self::gateway_side::GatewayHalf;
use crate::lifecycle::fleet::Peers;
use crate::lifecycle::logging::Paced;
use crate::lifecycle::seat::Seat;
use crate::lifecycle::start::listen;
use crate::lifecycle::stop::Stop;
use crate::memory::connections::{Connection, Connections};
use crate::memory::requests::Request;
use crate::wire::application::{self, State};
use crate::wire::discovery::Purpose;
use crate::wire::upstream::{AttemptError, Cause, Stage, Work};
use applications::IDLE;
use fleet_side::Fleet;
use operators::Door;
use polling::Events;
use records_side::Holding;
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

const LISTENER: usize = usize::MAX - 1;
const STOPS: usize = usize::MAX - 2;
const RELOADS: usize = usize::MAX - 3;
/// Rounds of the records' work in one turn of the loop.
const STIRS: usize = 4;
/// How often idle connections are looked through.
const SWEEP: Micros = 250_000;
/// How often the summary is logged, in sweeps.
const SUMMARY: u64 = 240;
/// Idle connections to upstreams are retired at this part of the time after which the upstream closes them: a
/// request written to one that is just being closed ends as a reset.
const RETIRE: f64 = 0.5;
/// Two processes of one sidecar leave this part of the descriptors to what either opens before the other hears of it; each
/// keeps a reserve of its own besides.
const BESIDE: usize = 8;
/// Without a word from discovery for so long, the list known from the start has to do: whoever starts this process waits 6 s.
const DARK: Micros = 4_000_000;
/// Where the settings do not say when upstreams close.
const RETIRE_UNSTATED: Micros = 5_000_000;

/// The network's own timers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wake {
    /// A connection to an upstream should be up by now.
    Connect(Handle),
    /// An application's connection may be stuck.
    Stall(Handle),
    /// The last byte of an attempt may follow.
    Release(Handle, Attempt),
    /// An upstream's answer that has begun should be whole by now.
    Half(Handle),
    /// Discovery may have fallen silent.
    Silence(Handle),
    /// Look through the idle connections.
    Sweep,
    /// Stopping: see whether all is done.
    Stopping,
    /// Membership has something to do.
    Fleet,
    /// The records have something to do.
    Records,
    /// A key that somebody else has is asked for again.
    Retake(Handle),
    /// A document that an operator waits for is looked at again.
    Look(usize),
    /// An answer that is not held yet goes out without the mark.
    Unheld(Handle),
}

/// Read a signal's stream empty.
fn drain(mut signals: &UnixStream) {
    let mut waste = [0; 64];
    while matches!(signals.read(&mut waste), Ok(n) if n > 0) {}
}

/// What the loop keeps to.
pub struct Bounds {
    /// File descriptors the process may hold.
    pub descriptors: usize,
    /// Memory that buffers may take.
    pub buffer_bytes: usize,
    /// A connection to an upstream that is not up by then has failed.
    pub connect_timeout: Micros,
    /// An answer is whole so soon after its first byte, or it never will be: what is left of the time is worth more to
    /// whoever may send again.
    pub completion_timeout: Micros,
    /// Upstreams close what has been idle for so long.
    pub upstream_idle_timeout: Option<Micros>,
}

/// Idle connections to upstreams are closed after this.
fn retire(bounds: &Bounds) -> Micros {
    bounds.upstream_idle_timeout.map_or(RETIRE_UNSTATED, |t| (t as f64 * RETIRE) as Micros)
}

/// What a configuration file that was read again brings.
pub struct ReloadedConfig {
    /// Where discovery is now.
    pub discovery: SocketAddr,
    /// Other settings, the names behind them, and what the loop keeps to by them.
    pub settings: Option<(Settings, ProxySettings, Bounds)>,
}

/// Reads the configuration file again: all of it good, or one plain line. What it returns is in force from then on.
pub type Reread = Box<dyn FnMut() -> Result<ReloadedConfig, String>>;

/// What the loop is made of.
pub struct Parts {
    /// The poller.
    pub registry: Registry,
    /// The decisions.
    pub balancer: Balancer<Wake>,
    /// Where applications connect; not blocking. `None`: it listens later.
    pub listener: Option<TcpListener>,
    /// At which address.
    pub listen_at: SocketAddr,
    /// Becomes readable when the process is to stop; not blocking.
    pub stops: UnixStream,
    /// Becomes readable when the configuration is to be read again; not blocking.
    pub reloads: UnixStream,
    /// Reads it again: where discovery is now, or what is wrong with the file.
    pub reread: Reread,
    /// Where discovery is; `None`: the list comes from elsewhere.
    pub discovery: Option<SocketAddr>,
    /// What it is of a gateway, if it is one.
    pub gateway: Option<GatewayHalf>,
    /// Where operators connect; not blocking.
    pub management_listener: Option<TcpListener>,
    /// The classes' names.
    pub classes: Vec<String>,
    /// This process's seat beside another one of the same sidecar.
    pub seat: Option<Seat>,
    /// What makes it a member of a fleet, if it is one.
    pub peers: Option<Peers>,
    /// The version of the list that the balancer was started with.
    pub seq: u64,
    /// What to keep to.
    pub bounds: Bounds,
    /// Where to log.
    pub log: Logger,
}

/// What has been done since the start, for the summary.
#[derive(Default)]
struct Counts {
    taken: u64,
    served: u64,
    refused: u64,
    failed: u64,
    gone: u64,
    bad: u64,
    attempts: u64,
    attempts_failed: u64,
    connected: u64,
    panics: u64,
}

/// The process, as it serves.
pub struct EventLoop {
    registry: Registry,
    balancer: Balancer<Wake>,
    /// `None`: a gateway with nothing to give takes none.
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
    door: Door,
    seat: Option<Seat>,
    fleet: Option<Fleet>,
    holding: Option<Holding>,
    /// Upstreams that drain by an operator's order.
    ordered: Vec<String>,
    /// The records were asked or told something in this turn.
    stirred: bool,
    view: Option<silvercross_swim::View>,
    view_told: Paced,
    members_told: Paced,
    /// Another process of this sidecar lives: what the two may hold is shared.
    paired: bool,
    /// Discovery has told this process its list.
    told: bool,
    started: Micros,
    /// It has said that it serves.
    serves: bool,
    seq: u64,
    watch: Option<Handle>,
    bounds: Bounds,
    retire: Micros,
    stop: Option<Stop>,
    /// Stopping beside a successor that serves: nothing new is taken from then on.
    heir: bool,
    counts: Counts,
    sweeps: u64,
    at_limit: Paced,
    /// Until when the last byte of each request is held back for a moment.
    hold_until: Micros,
    /// The correlation ids of the requests in `requests`.
    ids: HashSet<Box<str>>,
    log: Logger,
}

impl EventLoop {
    /// Everything registered, nothing served yet.
    pub fn new(parts: Parts) -> io::Result<Self> {
        let Parts { registry, balancer, listener, stops, reloads, reread, discovery, gateway, .. } = parts;
        let Parts { listen_at, management_listener, classes, seat, mut peers, seq, bounds, log, .. } = parts;
        let records = peers.as_mut().and_then(|p| p.records.take());
        let retire = retire(&bounds);
        Ok(EventLoop {
            listen_at,
            listener: listener.map(|l| registry.watch(l, LISTENER, Interest::Read)).transpose()?,
            door: Door::new(management_listener, &registry, &classes)?,
            holding: records.map(|r| Holding::new(r, &registry)).transpose()?,
            ordered: Vec::new(),
            stirred: false,
            fleet: peers.map(|p| Fleet::new(p, &registry, balancer.instances())).transpose()?,
            view: None,
            view_told: Paced::default(),
            members_told: Paced::default(),
            paired: false,
            told: false,
            started: balancer.now(),
            serves: false,
            stops: registry.watch(stops, STOPS, Interest::Read)?,
            reloads: registry.watch(reloads, RELOADS, Interest::Read)?,
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
            watch: None,
            bounds,
            retire,
            stop: None,
            heir: false,
            counts: Counts::default(),
            sweeps: 0,
            at_limit: Paced::default(),
            hold_until: 0,
            ids: HashSet::new(),
            log,
        })
    }

    /// Serve until told to stop and done.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::new();
        let now = self.balancer.now();
        self.balancer.set_timer(now + SWEEP, Wake::Sweep);
        // A gateway that has heard no offer yet takes nobody in.
        self.guarded(None, Self::ask_peers);
        self.look_beside();
        self.guarded(None, Self::mind_fleet);
        self.guarded(None, Self::mind_records);
        loop {
            let mut wake = self.tick();
            // What was asked of the records in one turn goes out together.
            for _ in 0..STIRS {
                if !std::mem::take(&mut self.stirred) {
                    break;
                }
                self.guarded(None, Self::mind_records);
                wake = self.tick();
            }
            if self.stirred {
                wake = Some(self.balancer.now());
            }
            if self.may_end() {
                self.summary("stopped");
                return Ok(());
            }
            let limit = wake.map(|at| Duration::from_micros((at - self.balancer.now()).max(0) as u64));
            self.registry.wait(&mut events, limit)?;
            // Operators first: they wait a second, whatever else this turn brings.
            for event in events.iter().filter(|e| Door::is_key(e.key)) {
                self.guarded(None, |l| l.door_ready(event.key));
            }
            let peers = |key| Fleet::is_key(key) || Holding::is_key(key);
            for event in events.iter().filter(|e| !Door::is_key(e.key) && !peers(e.key)) {
                match event.key {
                    LISTENER => self.guarded(None, |l| {
                        l.accept();
                    }),
                    STOPS => self.begin_stop(),
                    RELOADS => self.guarded(None, Self::reload),
                    key => {
                        let handle = Handle::from_number(key as u64);
                        self.guarded(Some(handle), |l| l.ready(handle));
                    }
                }
            }
            // Peers last: no client waits for them.
            for event in events.iter().filter(|e| Fleet::is_key(e.key)) {
                self.guarded(None, |l| l.fleet_ready(event.key));
            }
            for event in events.iter().filter(|e| Holding::is_key(e.key)) {
                self.guarded(None, |l| l.records_ready(event.key));
            }
        }
    }

    /// Let time pass until nothing is due; returns when something next will be.
    fn tick(&mut self) -> Option<Micros> {
        loop {
            // After a panic the timer at fault is off the heap, and those behind it are still due.
            let mut wake = Some(self.balancer.now());
            self.guarded(None, |l| {
                let turn = l.balancer.tick(l.balancer.now());
                wake = turn.wake;
                l.absorb(turn);
            });
            if self.steps.is_empty() {
                return wake;
            }
            self.guarded(None, Self::do_steps);
        }
    }

    /// A panic stops at the connection on whose behalf something was done.
    fn guarded(&mut self, handle: Option<Handle>, work: impl FnOnce(&mut Self)) {
        let done = catch_unwind(AssertUnwindSafe(|| {
            work(self);
        }));
        if done.is_err() {
            self.counts.panics += 1;
            error!(self.log, "a panic was stopped at its connection"; "connection" => handle.is_some());
            let Some(handle) = handle else { return };
            if catch_unwind(AssertUnwindSafe(|| self.abandon(handle))).is_err() {
                error!(self.log, "a connection could not be wound up");
            }
        }
    }

    /// Give up a connection on whose behalf something panicked, and say so to whoever waits for it.
    fn abandon(&mut self, handle: Handle) {
        match self.connections.get_mut(handle) {
            Some(Connection::Application(c)) => match c.state {
                State::Waiting(request) => {
                    c.close = true;
                    let turn = self.balancer.client_disconnected(request);
                    self.absorb(turn);
                    self.answer_call(request, 502, b"", &[b"failed\n"]);
                }
                State::Passing(request, _) => self.hung_up(handle, request),
                _ => self.close_application(handle),
            },
            Some(Connection::Upstream(c)) => match c.work {
                Work::Busy(attempt, stage) => {
                    let report = AttemptError { stage, cause: Cause::Closed }.report();
                    self.finish_attempt(handle, attempt, report, false);
                    if !self.balancer.is_unanswered(attempt.request) {
                        // It panicked between the decision and the answer.
                        self.answer_call(attempt.request, 502, b"", &[b"failed\n"]);
                    }
                }
                Work::Idle => self.close_upstream(handle),
            },
            Some(Connection::Discovery(_)) => self.discovery_broken(handle, "panic"),
            Some(Connection::Peer(_)) => drop(self.connections.remove(handle)),
            None => {}
        }
        self.do_steps();
    }

    fn ready(&mut self, handle: Handle) {
        match self.connections.get_mut(handle) {
            Some(Connection::Application(_)) => self.application_ready(handle),
            Some(Connection::Upstream(_)) => self.upstream_ready(handle),
            Some(Connection::Discovery(_)) => self.discovery_ready(handle),
            Some(Connection::Peer(_)) => self.peer_ready(handle),
            // Readiness of a connection that ended earlier in this round.
            None => {}
        }
        self.do_steps();
    }

    fn absorb(&mut self, turn: Output<Wake>) {
        self.steps.extend(turn.steps);
    }

    fn do_steps(&mut self) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Send { attempt, upstream, to, limit } => self.send(attempt, upstream, to, limit),
                Step::Cancel { attempt } => self.cancel(attempt),
                // The connection that brought the answer serves it before anything else is done.
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
                Step::Subscribe(on) => self.watch(on),
                Step::FetchList => self.call_discovery(Purpose::Call),
                Step::CloseIdle(upstream) => {
                    self.connections.idle_to(upstream).into_iter().for_each(|h| self.close_upstream(h));
                }
                Step::Timer(wake) => self.woken(wake),
                Step::Note(text) => info!(self.log, "note"; "text" => text),
            }
        }
    }

    fn woken(&mut self, wake: Wake) {
        let now = self.balancer.now();
        match wake {
            Wake::Connect(handle) => {
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
            Wake::Stall(handle) => {
                let Some(c) = self.connections.application(handle) else { return };
                match c.stalled_at {
                    Some(at) if at <= now => self.stalled(handle),
                    Some(at) => self.balancer.set_timer(at, wake),
                    None => {}
                }
            }
            Wake::Release(handle, attempt) => self.release(handle, attempt),
            Wake::Half(handle) => self.half_answered(handle, now),
            Wake::Silence(handle) => {
                let Some(c) = self.connections.discovery(handle) else { return };
                match c.silent_at {
                    at if at <= now => self.discovery_broken(handle, "silence"),
                    at => self.balancer.set_timer(at, wake),
                }
            }
            Wake::Fleet => self.fleet_woken(),
            Wake::Records => self.records_woken(),
            Wake::Retake(request) => self.ask_to_take(request),
            Wake::Look(seat) => self.look_again(seat),
            Wake::Unheld(request) => self.held_answer(request, false),
            Wake::Sweep => self.sweep(now),
            Wake::Stopping => {
                if let Some(stop) = self.stop {
                    if self.heir {
                        self.guarded(None, Self::hand_over);
                    }
                    self.balancer.set_timer(stop.look_again(now), Wake::Stopping);
                }
            }
        }
    }

    fn sweep(&mut self, now: Micros) {
        let retire = self.retire;
        for handle in self.connections.all_idle() {
            if self.connections.upstream(handle).is_some_and(|c| c.since + retire <= now) {
                self.close_upstream(handle);
            }
        }
        // With no request open nobody is owed anything: silent connections, and those whose client asked once and
        // stayed, must not pile up until they starve others.
        for handle in self.connections.idle_applications(now - IDLE) {
            self.spare(handle);
        }
        self.ask_peers();
        self.door.sweep(now);
        self.look_beside();
        // Whatever stopped accepting, it is tried again.
        self.listen_again();
        self.sweeps += 1;
        if self.sweeps.is_multiple_of(SUMMARY) {
            self.summary("summary");
        }
        self.balancer.set_timer(now + SWEEP, Wake::Sweep);
    }

    fn summary(&self, what: &'static str) {
        let c = &self.counts;
        info!(self.log, "{}", what; "taken" => c.taken, "served" => c.served, "refused" => c.refused,
            "failed" => c.failed, "client_gone" => c.gone, "bad_requests" => c.bad, "attempts" => c.attempts,
            "attempts_failed" => c.attempts_failed, "connects" => c.connected, "panics" => c.panics,
            "connections" => self.connections.len(), "from_application" => self.connections.applications,
            "buffers" => self.pool.in_use(), "open" => self.balancer.unanswered(), "upstreams" => self.balancer.upstreams(),
            "list_seq" => self.seq);
    }

    // --- reload ---

    /// The configuration's file has been replaced. Its settings and discovery's address hold from now on; the list, the
    /// connections, what was learned and what is open stay. Addresses and limits of the process take a restart.
    fn reload(&mut self) {
        drain(self.reloads.get());
        // Stopping, too: for as long as connections stay open their clients go by the new settings.
        let new = (self.reread)();
        self.door.figures.count_reload(new.is_ok());
        let new = match new {
            Ok(new) => new,
            Err(why) => return warn!(self.log, "the configuration stays as it was"; "why" => why),
        };
        if let Some((settings, front, bounds)) = new.settings {
            self.door.figures.set_classes(&front.classes);
            let turn = self.balancer.reconfigure(settings, front);
            self.absorb(turn);
            self.fleet_reconfigured();
            // What the process may hold is not the file's to change while it runs.
            let (descriptors, buffer_bytes) = (self.bounds.descriptors, self.bounds.buffer_bytes);
            self.bounds = Bounds { descriptors, buffer_bytes, ..bounds };
            self.retire = retire(&self.bounds);
            self.do_steps();
        }
        let to = new.discovery;
        info!(self.log, "reloaded"; "discovery" => to.to_string(), "before" => self.discovery.map(|d| d.to_string()));
        if Some(to) != self.discovery {
            self.discovery_moved(to);
            self.do_steps();
        }
    }

    // --- stop ---

    fn begin_stop(&mut self) {
        drain(self.stops.get());
        if self.stop.is_some() {
            return;
        }
        let now = self.balancer.now();
        let stop = Stop::begin(now, self.balancer.longest_deadline());
        info!(self.log, "stopping"; "open" => self.balancer.unanswered());
        self.stop = Some(stop);
        self.guarded(None, Self::leave_records);
        self.guarded(None, Self::leave_fleet);
        self.heir = self.seat.as_ref().is_some_and(Seat::has_successor);
        self.balancer.answer_by(stop.answer_by());
        self.balancer.set_timer(stop.look_again(now), Wake::Stopping);
        if self.heir {
            // New connections go to the successor; those that are open end with their next answer, or when idle.
            return self.hand_over();
        }
        // Clients use the connections they have for as long as these stand. Closing those between two requests
        // sends them to new ones, which are still accepted, and soon to nowhere.
        for handle in self.connections.from_applications() {
            self.guarded(Some(handle), |l| {
                l.application_ready(handle);
                if l.connections.application(handle).is_some_and(|c| c.is_idle()) {
                    l.close_application(handle);
                }
                l.do_steps();
            });
        }
    }

    /// Take all that waits at the door for applications, then close it: the successor's stays open. Between the last accept and the
    /// close nothing is done.
    fn hand_over(&mut self) {
        while self.listener.is_some() && self.accept() {}
        if self.listener.is_some() && !self.connections.closed_to_applications() {
            self.listener = None;
        }
    }

    // --- beside another process ---

    /// Discovery's list is held, or discovery has been dark for so long that the known one has to do.
    fn list_is_held(&self) -> bool {
        self.told || self.discovery.is_none() || self.balancer.now() >= self.started + DARK
    }

    /// Whether another process of this sidecar lives beside this one, and what that changes.
    fn look_beside(&mut self) {
        let Some(seat) = &mut self.seat else { return };
        let beside = seat.neighbour_says();
        let (all, paired) = (self.bounds.descriptors, beside.is_some());
        if paired {
            seat.say(self.serves, self.connections.len());
        }
        if paired != self.paired {
            self.paired = paired;
            info!(self.log, "beside another process"; "paired" => paired);
            self.pool.set_limit(self.bounds.buffer_bytes / if paired { 2 } else { 1 });
        }
        // What the other holds is a moment old: what either may open meanwhile stays free.
        let held = beside.map(|said| said.map_or(all, |s| s.held) + all / BESIDE);
        self.connections.hold(held.map_or(all, |held| all.saturating_sub(held).max(all / 2)));
        while self.connections.over_outwards() && self.spare_upstream() {}
        self.begin_to_serve();
    }

    /// A process that was started beside another one listens, and says so, once it can serve.
    fn begin_to_serve(&mut self) {
        let can = self.list_is_held() && self.balancer.ready();
        if self.stop.is_some() || !can || self.seat.is_none() || self.serves {
            return;
        }
        if self.listener.is_none() {
            let made =
                listen(self.listen_at, true).and_then(|l| self.registry.watch(l, LISTENER, Interest::Read));
            match made {
                Ok(listener) => self.listener = Some(listener),
                // The next look tries again.
                Err(e) => return warn!(self.log, "cannot listen"; "error" => e.to_string()),
            }
        }
        self.serves = true;
        let held = self.connections.len();
        self.seat.iter_mut().for_each(|s| s.say(true, held));
        info!(self.log, "serving");
    }

    /// Whether all that was taken is done with. What the machine has accepted or received and the loop has not yet
    /// seen counts as taken, so it looks once more before it says yes.
    fn may_end(&mut self) -> bool {
        let over = |l: &mut Self| match l.stop {
            Some(s) if l.heir => {
                l.listener.is_none() && l.connections.applications == 0 || s.is_due(l.balancer.now())
            }
            Some(s) => s.may_end(l.balancer.now(), l.busy()),
            None => false,
        };
        if !over(self) {
            return false;
        }
        self.guarded(None, |l| {
            l.accept();
        });
        for handle in self.connections.from_applications() {
            self.guarded(Some(handle), |l| l.ready(handle));
        }
        over(self)
    }

    /// Connections from applications that are in the middle of something.
    fn busy(&mut self) -> usize {
        let all = self.connections.from_applications();
        let busy = |c: &application::Conn| !c.is_idle() && c.state != State::Lingering;
        all.into_iter().filter(|h| self.connections.application(*h).is_some_and(|c| busy(c))).count()
    }
}
