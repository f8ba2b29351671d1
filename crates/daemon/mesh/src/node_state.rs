//! What one process of the mesh knows and shares between its tasks. Each part stands behind a borrow that never outlives a
//! statement; what is done with the parts is in the files of `node_state/`, one for each concern.
mod counters;
mod in_force;
mod other_sidecars;
mod own_record;
mod own_upstream;
mod stopping;
mod upstream_lists;

pub use counters::{ConnectionKind, Counters, GaugeGuard};
pub use own_upstream::Heartbeat;

use crate::body_budget::BodyBudget;
use crate::event_stream::EventStream;
use crate::graceful_stop::GracefulStop;
use crate::idle_timeout::IdleTimeout;
use crate::member_throttle::MemberThrottle;
use crate::peer_connection::ConnectionPool;
use crate::peers::{Peers, RecordBody};
use crate::rate_limited_log::RateLimitedLog;
use crate::reload::{self, Reload};
use crate::response_replay_cache::ResponseReplayCache;
use crate::service_balancer::ServiceBalancer;
use crate::settings::{NodeSettings, ReloadableSettings};
use crate::upstream_gate::UpstreamGate;
use in_force::InForce;
use own_upstream::Own;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use silvercross_facade::Clock;
use silvercross_mesh_membership::NodeRecord;
use silvercross_time::Instant;
use slog::{debug, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use upstream_lists::Cold;

/// Counters go to the log so often, at the level of debugging, in microseconds.
const FIGURES: i64 = 2_000_000;
/// Whether the settings file has changed is looked at so often, in microseconds.
const LOOK: i64 = 1_000_000;

/// One process of the mesh.
pub struct NodeState {
    /// What its machine told it.
    pub settings: NodeSettings,
    /// What of that can change, as it holds now.
    pub reloadable: Cell<ReloadableSettings>,
    /// Where it is told from.
    pub reload: Reload,
    /// Its log.
    pub log: Logger,
    /// Its counters.
    pub counters: Counters,
    /// Connections kept.
    pub pool: ConnectionPool,
    /// Room for the bodies held here.
    pub body_budget: Rc<BodyBudget>,
    /// What is remembered of requests that may run once.
    pub response_replay_cache: Rc<ResponseReplayCache>,
    /// What stands before the upstream on this machine.
    pub gate: UpstreamGate,
    /// Links and who decides about them.
    pub peers: Peers,
    /// MemberThrottle and how far each is slowed.
    pub member_throttle: MemberThrottle,
    /// Events for other tools, where they are asked for.
    pub event_stream: std::cell::OnceCell<EventStream>,
    /// Requests open now.
    pub open_requests: Cell<u64>,
    /// How long clients' connections may rest.
    pub idle_timeout: RefCell<IdleTimeout>,
    /// Operators' calls refused, for the log.
    pub refusals: RateLimitedLog,
    paces: [RateLimitedLog; 4],
    clock: Clock,
    force: RefCell<InForce>,
    service_balancers: RefCell<BTreeMap<String, Rc<ServiceBalancer>>>,
    others: RefCell<BTreeMap<u32, NodeRecord<RecordBody>>>,
    colds: RefCell<BTreeMap<String, Cold>>,
    own: RefCell<Option<Own>>,
    ended: RefCell<Vec<String>>,
    chance: RefCell<Pcg64Mcg>,
    tickets: Cell<u64>,
    seeds: RefCell<Vec<SocketAddr>>,
    /// When this process looked around last.
    looked: Cell<i64>,
    graceful_stop: RefCell<Option<GracefulStop>>,
    asking: Cell<bool>,
    began: i64,
    told_ready: Cell<bool>,
    idle_connections_closing: Cell<bool>,
    shut: Cell<bool>,
    stop: Notify,
    news: Notify,
}

impl NodeState {
    /// A process that knows itself only.
    pub fn new(
        settings: NodeSettings,
        log: Logger,
        gate: UpstreamGate,
        peers: Peers,
        clock: Clock,
        mut chance: Pcg64Mcg,
    ) -> Rc<Self> {
        let began = clock.now();
        let response_replay_cache = ResponseReplayCache::new(clock.clone(), &mut chance, settings.memory);
        let tickets = Cell::new(chance.next_u64());
        let looked = Cell::new(clock.now());
        let pool = ConnectionPool::default();
        pool.set_max_idle((settings.descriptors / 4) as usize);
        let member_throttle =
            MemberThrottle::new(peers.control_store(|l| l.replica_nodes().len() == 1).unwrap_or(false));
        Rc::new(NodeState {
            body_budget: BodyBudget::new(settings.memory),
            response_replay_cache,
            tickets,
            reloadable: Cell::new(settings.reloadable),
            seeds: RefCell::new(settings.seeds.clone()),
            reload: Reload::default(),
            settings,
            log,
            counters: Counters::default(),
            pool,
            gate,
            peers,
            member_throttle,
            event_stream: std::cell::OnceCell::new(),
            open_requests: Cell::new(0),
            idle_timeout: RefCell::default(),
            refusals: RateLimitedLog::default(),
            paces: Default::default(),
            clock,
            force: RefCell::default(),
            service_balancers: RefCell::default(),
            others: RefCell::default(),
            colds: RefCell::default(),
            own: RefCell::default(),
            ended: RefCell::default(),
            chance: RefCell::new(chance),
            looked,
            graceful_stop: RefCell::default(),
            asking: Cell::new(false),
            began,
            told_ready: Cell::new(false),
            idle_connections_closing: Cell::new(false),
            shut: Cell::new(false),
            stop: Notify::new(),
            news: Notify::new(),
        })
    }

    /// The present, on a clock that no step of the time of day moves.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.clock.now())
    }

    /// One of a split, drawn by its share.
    pub fn draw_by_share(&self, split: &[(String, f64)]) -> String {
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
    pub fn next_attempt_number(&self) -> u64 {
        let ticket = self.tickets.get().wrapping_add(1).max(1);
        self.tickets.set(ticket);
        ticket
    }

    /// Go by other settings, as far as that can be; the keys that differed.
    pub fn take(self: &Rc<Self>, settings: &NodeSettings) -> Vec<&'static str> {
        let mut took = Vec::new();
        if *self.seeds.borrow() != settings.seeds {
            took.push("seeds");
            self.seeds.borrow_mut().clone_from(&settings.seeds);
            self.peers.seeds(self, &settings.seed_nodes());
        }
        let (old, new) = (self.reloadable.replace(settings.reloadable), settings.reloadable);
        if old.beat != new.beat {
            took.push("heartbeatS");
        }
        if old.bounds != new.bounds {
            took.push("bounds");
            let now = self.now().as_micros();
            self.gate.with_admission(|w| w.bounds(now, new.bounds.of_gate()));
            self.reset_terms();
        }
        took
    }

    /// Look after what only time tells, for as long as the process lives.
    pub async fn watch(self: Rc<Self>) {
        let mut told = self.now().as_micros();
        let mut roster = Vec::new();
        let mut looked = told;
        let mut went_back = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let now = self.now().as_micros();
            self.looked.set(now);
            self.look_at_upstream(now);
            let times = self.peers.control_store(|l| l.metrics().went_back).unwrap_or(0);
            if times > went_back {
                went_back = times;
                warn!(self.log, "the disk went back to an older state, the other replicas repair it"; "times" => times);
            }
            if self.roster() != roster {
                roster = self.roster();
                self.tell();
            }
            self.pool.close_expired();
            self.response_replay_cache.remove_expired();
            if now - looked >= LOOK {
                looked = now;
                reload::look(&self, false);
            }
            self.feed_own();
            if now - told >= FIGURES {
                told = now;
                debug!(self.log, "figures"; "all" => crate::metrics::figures(&self).to_string());
            }
        }
    }
}
