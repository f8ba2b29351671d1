//! The state that the tasks of a process share.
use super::counters::{ConnectionKind, Counters};
use super::departures::Departures;
use super::in_force::InForce;
use super::invariants::Violations;
use super::local_upstream::{EarlyHeartbeat, LocalUpstream, UpstreamClaim};
use super::tombstones::TombstoneTable;
use super::unrouted_requests::UnroutedRequests;
use super::upstream_lists::WarmUps;
use crate::body_budget::BodyBudget;
use crate::event_loop_turns::EventLoopTurns;
use crate::event_stream::EventStream;
use crate::graceful_stop::GracefulStop;
use crate::idle_timeout::IdleTimeout;
use crate::member_throttle::MemberThrottle;
use crate::peer_connection::ConnectionPool;
use crate::peers::{Peers, RecordBody};
use crate::rate_limited_log::RateLimitedLog;
use crate::response_replay_cache::ResponseReplayCache;
use crate::service_balancer::ServiceBalancer;
use crate::settings::{NodeSettings, ReloadableSettings, WatchedSettingsFile};
use crate::upstream_gate::UpstreamGate;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use silvercross_facade::Clock;
use silvercross_mesh_config::WeightedDestination;
use silvercross_mesh_membership::{Node, NodeRecord};
use silvercross_time::Instant;
use slog::Logger;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Divides the maximum number of file descriptors to get the maximum number of idle connections.
const IDLE_CONNECTIONS_DIVISOR: u64 = 4;

/// One process of the mesh.
pub(crate) struct NodeState {
    /// The settings at the start.
    pub(crate) settings: NodeSettings,
    /// The reloadable settings in force.
    pub(crate) reloadable: Cell<ReloadableSettings>,
    /// The settings file, from which changes are read.
    pub(crate) settings_file: WatchedSettingsFile,
    /// The log.
    pub(crate) log: Logger,
    /// The counters and gauges.
    pub(crate) counters: Rc<Counters>,
    /// Counts of work that continues after its sender has disconnected.
    pub(crate) departures: Departures,
    /// The pool of idle connections.
    pub(crate) pool: ConnectionPool,
    /// The memory budget for request and response bodies.
    pub(crate) body_budget: Rc<BodyBudget>,
    /// Responses and state of requests that may run only once.
    pub(crate) response_replay_cache: Rc<ResponseReplayCache>,
    /// The gate of the upstream on this machine.
    pub(crate) gate: UpstreamGate,
    /// The links to other nodes, and the decision modules that use them.
    pub(crate) peers: Peers,
    /// The members and their throttling.
    pub(crate) member_throttle: MemberThrottle,
    /// The event stream for other tools, if requested.
    pub(crate) event_stream: OnceCell<EventStream>,
    /// The idle timeout of client connections.
    pub(crate) idle_timeout: RefCell<IdleTimeout>,
    /// Limits log lines about rejected operators' calls.
    pub(crate) rejected_calls_log: RateLimitedLog,
    pub(super) evacuation_refusals_log: RateLimitedLog,
    pub(super) abandoned_calls_log: RateLimitedLog,
    pub(super) unsettled_orders_log: RateLimitedLog,
    pub(super) orders_asked_again_log: RateLimitedLog,
    pub(super) rejected_connections_logs: [RateLimitedLog; ConnectionKind::COUNT],
    pub(super) clock: Clock,
    pub(super) in_force: RefCell<InForce>,
    pub(super) violations: Violations,
    pub(super) unrouted_requests: RefCell<UnroutedRequests>,
    /// Limits log lines about requests answered 404.
    pub(super) unrouted_log: RateLimitedLog,
    pub(super) service_balancers: RefCell<BTreeMap<String, Rc<ServiceBalancer>>>,
    pub(super) other_nodes: RefCell<BTreeMap<Node, NodeRecord<RecordBody>>>,
    pub(super) warm_ups: RefCell<WarmUps>,
    pub(super) local_upstream: RefCell<Option<LocalUpstream>>,
    /// The latest heartbeat of an unknown upstream that came before the configuration.
    pub(super) early_heartbeat: RefCell<Option<EarlyHeartbeat>>,
    /// The latest incarnation that was not settled to be the one on this machine.
    pub(super) upstream_claim: RefCell<Option<UpstreamClaim>>,
    /// Upstreams that leave or have left, here and at other nodes.
    pub(super) tombstones: RefCell<TombstoneTable>,
    pub(super) rng: RefCell<Pcg64Mcg>,
    pub(super) last_attempt_number: Cell<u64>,
    pub(super) seeds: RefCell<Vec<SocketAddr>>,
    /// The latest turns of the event loop. Recorded on control nodes only.
    pub(super) event_loop_turns: RefCell<EventLoopTurns>,
    /// When the periodic task of this process last ran.
    pub(super) last_awake: Cell<Instant>,
    pub(super) graceful_stop: RefCell<Option<GracefulStop>>,
    pub(super) upstream_health_requested: Cell<bool>,
    pub(super) started_at: Instant,
    pub(super) readiness_logged: Cell<bool>,
    pub(super) idle_connections_closing: Cell<bool>,
    pub(super) listeners_closing: Cell<bool>,
    /// Notified when a step of the stop is reached.
    pub(super) stop_step_reached: Notify,
    /// Notified when a configuration or an upstream has been received.
    pub(super) routing_changed: Notify,
}

impl NodeState {
    /// Creates the state of a process that knows no other nodes.
    pub(crate) fn new(
        settings: NodeSettings,
        log: Logger,
        gate: UpstreamGate,
        peers: Peers,
        clock: Clock,
        mut rng: Pcg64Mcg,
    ) -> Rc<Self> {
        let now = Instant::from_micros(clock.now());
        let response_replay_cache = ResponseReplayCache::new(clock.clone(), &mut rng, settings.memory_bytes);
        let last_attempt_number = Cell::new(rng.next_u64());
        let pool = ConnectionPool::default();
        pool.set_max_idle((settings.max_descriptors / IDLE_CONNECTIONS_DIVISOR) as usize);
        let is_only_replica = peers.control_store(|store| store.replica_nodes().len() == 1);
        Rc::new(NodeState {
            body_budget: BodyBudget::new(settings.memory_bytes),
            response_replay_cache,
            last_attempt_number,
            reloadable: Cell::new(settings.reloadable),
            seeds: RefCell::new(settings.seeds.clone()),
            settings_file: WatchedSettingsFile::default(),
            settings,
            log,
            counters: Rc::default(),
            departures: Departures::default(),
            pool,
            gate,
            peers,
            member_throttle: MemberThrottle::new(is_only_replica.unwrap_or(false)),
            event_stream: OnceCell::new(),
            idle_timeout: RefCell::default(),
            rejected_calls_log: RateLimitedLog::default(),
            evacuation_refusals_log: RateLimitedLog::default(),
            abandoned_calls_log: RateLimitedLog::default(),
            unsettled_orders_log: RateLimitedLog::default(),
            orders_asked_again_log: RateLimitedLog::default(),
            rejected_connections_logs: Default::default(),
            clock,
            in_force: RefCell::default(),
            violations: Violations::default(),
            unrouted_requests: RefCell::default(),
            unrouted_log: RateLimitedLog::default(),
            service_balancers: RefCell::default(),
            other_nodes: RefCell::default(),
            warm_ups: RefCell::default(),
            local_upstream: RefCell::default(),
            early_heartbeat: RefCell::default(),
            upstream_claim: RefCell::default(),
            tombstones: RefCell::default(),
            rng: RefCell::new(rng),
            event_loop_turns: RefCell::new(EventLoopTurns::new(now)),
            last_awake: Cell::new(now),
            graceful_stop: RefCell::default(),
            upstream_health_requested: Cell::new(false),
            started_at: now,
            readiness_logged: Cell::new(false),
            idle_connections_closing: Cell::new(false),
            listeners_closing: Cell::new(false),
            stop_step_reached: Notify::new(),
            routing_changed: Notify::new(),
        })
    }

    /// Returns the current time on a monotonic clock.
    pub(crate) fn now(&self) -> Instant {
        Instant::from_micros(self.clock.now())
    }

    /// Returns when this process started.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records that this process is running. If it is then suspended, a stop is timed from here.
    pub(crate) fn note_awake(&self) {
        self.last_awake.set(self.now());
    }

    /// Records a turn of the event loop.
    pub(crate) fn record_event_loop_turn(&self) {
        self.event_loop_turns.borrow_mut().record(self.now());
    }

    /// Returns a time after which everything has arrived that the event loop reports as ready now.
    pub(crate) fn arrived_after(&self) -> Instant {
        self.event_loop_turns.borrow().arrived_after()
    }

    /// Picks one of the destinations at random, in proportion to their weights.
    pub(crate) fn pick_by_weight(&self, destinations: &[WeightedDestination]) -> String {
        if let [only] = destinations {
            return only.name.clone();
        }
        let total: f64 = destinations.iter().map(|to| to.weight).sum();
        // Uniform in [0, 1): uses the 53 bits of precision of an `f64`.
        let fraction = (self.rng.borrow_mut().next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let mut left = fraction * total;
        for to in destinations {
            left -= to.weight;
            if left < 0.0 {
                return to.name.clone();
            }
        }
        destinations.last().map(|to| to.name.clone()).unwrap_or_default()
    }

    /// Returns a unique number for an attempt. Numbers are counted up from a random start, and are never 0.
    pub(crate) fn next_attempt_number(&self) -> u64 {
        let number = self.last_attempt_number.get().wrapping_add(1).max(1);
        self.last_attempt_number.set(number);
        number
    }
}
