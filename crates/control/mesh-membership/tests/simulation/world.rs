//! State of a simulated mesh: machines, connections, scheduled events, counters.
use super::checks::StaleEntry;
use super::{control_node, control_nodes, ms, secs, sidecar};
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

pub type Body = u64;

/// Time at which every simulation begins.
pub const START_TIME: Instant = Instant::from_micros(1_000_000_000);

pub enum Event {
    Tick,
    Dial { to: Node, id: u64 },
    LinkUp { peer: Node, connection: u64 },
    LinkDown { peer: Node, connection: u64 },
    Message { from: Node, connection: u64, message: MembershipMessage<Body> },
    EntriesSent { to: Node },
    Datagram { from: Node, datagram: Datagram },
    ProbeFinished { node: Node, reachable: bool },
    Confirm { request_id: u64, revisions: Vec<EntryRevision> },
    Unconfirmed { request_id: u64 },
}

pub struct Machine {
    pub zone: usize,
    pub is_control: bool,
    pub powered: bool,
    pub membership: Option<Membership<Body>>,
    pub frozen_until: Instant,
    pub tick_at: Instant,
    pub starts: u64,
    pub started_at: Instant,
    /// What a majority had acknowledged when the node started.
    pub acknowledged_before: BTreeMap<String, Revision>,
    pub freshness: Freshness,
}

/// Both directions of a connection between two machines.
pub struct Connection {
    pub id: u64,
    pub lost: bool,
    /// Arrival time of the last message to each side.
    pub last_arrival: BTreeMap<Node, Instant>,
    /// When the last message to each side has left the sender's machine.
    pub sent_until: BTreeMap<Node, Instant>,
}

#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    pub messages: u64,
    pub datagrams: u64,
    pub bytes: u64,
    pub cross_zone_messages: u64,
    pub cross_zone_bytes: u64,
    pub updates: u64,
    pub cross_zone_updates: u64,
}

/// A node that recorded another as gone, whether declared gone or signed off.
#[derive(Clone, Copy, Debug)]
pub struct GoneReport {
    pub at: Instant,
    pub by: Node,
    pub node: Node,
}

/// Reads of the control store.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct ReadCounts {
    pub begun: u64,
    /// Reads not confirmed by a majority.
    pub unconfirmed: u64,
}

/// Results of freshness checks.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct StartCounts {
    /// Current, where something had been acknowledged before.
    pub current: u64,
    pub timed_out: u64,
}

/// Key of a connection: the lower node first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Pair {
    pub low: Node,
    pub high: Node,
}

impl Pair {
    pub fn of(a: Node, b: Node) -> Pair {
        Pair { low: a.min(b), high: a.max(b) }
    }

    pub fn has(&self, node: Node) -> bool {
        self.low == node || self.high == node
    }

    pub fn other(&self, node: Node) -> Node {
        if self.low == node {
            self.high
        } else {
            self.low
        }
    }
}

/// One direction between two machines.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Route {
    pub from: Node,
    pub to: Node,
}

/// Time of an event; simultaneous events are ordered by the time of scheduling.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct EventKey {
    pub at: Instant,
    pub number: u64,
}

pub struct World {
    pub now: Instant,
    pub machines: BTreeMap<Node, Machine>,
    pub cuts: BTreeSet<Route>,
    /// Datagrams lost per 1,000.
    pub loss: u64,
    pub zone_delay: Duration,
    /// Rate of a sidecar's connection in each direction; unlimited if `None`.
    pub link_bytes_per_second: Option<u64>,
    /// Size of the operating system's send buffer of a connection.
    pub send_buffer_bytes: u64,
    pub traffic: Traffic,
    pub gone_reports: Vec<GoneReport>,
    pub trace: bool,
    /// What a majority of the control nodes has acknowledged.
    pub acknowledged: BTreeMap<String, Revision>,
    /// Duration of a read that a majority confirms.
    pub read_delay: Duration,
    pub reads: ReadCounts,
    pub checked_starts: StartCounts,
    /// Bug enabled at all nodes; violations are then collected instead of failing the run.
    pub mutation: Option<Mutation>,
    pub stale_entries: Vec<StaleEntry>,
    pub(super) events: BTreeMap<EventKey, (Node, Event)>,
    pub(super) connections: BTreeMap<Pair, Connection>,
    pub(super) dials: BTreeMap<Route, u64>,
    pub(super) last_id: u64,
    random_state: u64,
}

#[cfg(feature = "mutants")]
pub fn set_mutation(membership: &mut Membership<Body>, mutation: Option<Mutation>) {
    mutation.into_iter().for_each(|mutation| membership.set_mutation(mutation));
}

#[cfg(not(feature = "mutants"))]
pub fn set_mutation(_: &mut Membership<Body>, mutation: Option<Mutation>) {
    assert_eq!(mutation, None, "requires the feature `mutants`");
}

impl World {
    /// One control node in each of three zones, and sidecars spread over the zones; all start within
    /// `span`.
    pub fn new(sidecars: usize, seed: u64, span: Duration) -> World {
        let mut world = World {
            now: START_TIME,
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 5,
            zone_delay: ms(1),
            link_bytes_per_second: None,
            send_buffer_bytes: 0,
            traffic: Traffic::default(),
            gone_reports: Vec::new(),
            trace: false,
            acknowledged: BTreeMap::new(),
            read_delay: ms(2),
            reads: ReadCounts::default(),
            checked_starts: StartCounts::default(),
            mutation: None,
            stale_entries: Vec::new(),
            events: BTreeMap::new(),
            connections: BTreeMap::new(),
            dials: BTreeMap::new(),
            last_id: 0,
            random_state: seed.wrapping_mul(2).wrapping_add(1),
        };
        (0..3).for_each(|zone| world.add(control_node(zone), zone, true));
        (0..sidecars).for_each(|i| world.add(sidecar(i), i % 3, false));
        let mut starts = Vec::new();
        for node in world.machines.keys().copied().collect::<Vec<Node>>() {
            let delay = world.random_below(span.as_micros().max(1) as u64) as i64;
            starts.push((START_TIME + Duration::from_micros(delay), node));
        }
        starts.sort();
        for (at, node) in starts {
            world.run_to(at);
            world.start(node, 1);
        }
        world.run_to(START_TIME + span);
        world
    }

    /// A mesh in which all nodes agree and the links are stable.
    pub fn settled(sidecars: usize, seed: u64) -> World {
        let mut world = World::new(sidecars, seed, ms(500));
        let took = world.run_until_agreed(secs(3));
        assert!(took.is_ok(), "{took:?}");
        world.run(secs(6));
        assert_eq!(world.disagreement(), None);
        world
    }

    pub fn add(&mut self, node: Node, zone: usize, is_control: bool) {
        let machine = Machine {
            zone,
            is_control,
            powered: true,
            membership: None,
            frozen_until: Instant::ZERO,
            tick_at: Instant::MAX,
            starts: 0,
            started_at: Instant::ZERO,
            acknowledged_before: BTreeMap::new(),
            freshness: Freshness::Waiting,
        };
        self.machines.insert(node, machine);
    }

    /// A random number less than `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % bound.max(1)
    }

    pub fn membership(&self, node: Node) -> &Membership<Body> {
        self.machines[&node].membership.as_ref().expect("the node is running")
    }

    pub fn machine_mut(&mut self, node: Node) -> &mut Machine {
        self.machines.get_mut(&node).expect("known")
    }

    /// Enables a bug at all nodes, including those that start later.
    pub fn mutate_all(&mut self, mutation: Option<Mutation>) {
        self.mutation = mutation;
        let running = self.machines.values_mut().filter_map(|machine| machine.membership.as_mut());
        running.for_each(|membership| set_mutation(membership, mutation));
    }

    pub fn nodes(&self) -> Vec<Node> {
        self.machines.keys().copied().collect()
    }

    pub fn running(&self) -> Vec<Node> {
        let running = self.machines.iter().filter(|(_, machine)| machine.membership.is_some());
        running.map(|(node, _)| *node).collect()
    }

    pub fn nodes_of_zone(&self, zone: usize) -> Vec<Node> {
        let inside = self.machines.iter().filter(|(_, machine)| machine.zone == zone);
        inside.map(|(node, _)| *node).collect()
    }

    pub fn start(&mut self, node: Node, incarnation: u64) {
        self.start_with_seeds(node, incarnation, control_nodes().to_vec());
    }

    pub fn start_with_seeds(&mut self, node: Node, incarnation: u64, seeds: Vec<Node>) {
        let now = self.now;
        let random_seed = self.random_below(u64::MAX);
        let mutation = self.mutation;
        let acknowledged_before = self.acknowledged.clone();
        let control = self.machines.iter().filter(|(_, machine)| machine.is_control);
        let replicas: Vec<Node> = control.map(|(node, _)| *node).collect();
        let machine = self.machine_mut(node);
        let is_control = machine.is_control;
        machine.powered = true;
        machine.starts += 1;
        machine.frozen_until = Instant::ZERO;
        machine.tick_at = Instant::MAX;
        let config = MembershipConfig {
            local_node: node,
            zone: ["a", "b", "c"][machine.zone].to_string(),
            is_control: machine.is_control,
            seeds,
            incarnation,
            random_seed,
        };
        let mut membership = Membership::new(now, config, u64::from(node.0) * 1_000 + machine.starts);
        if is_control {
            membership.set_control_quorum(now, ControlQuorum { version: 1, groups: vec![replicas] });
        }
        set_mutation(&mut membership, mutation);
        (machine.started_at, machine.freshness) = (now, membership.freshness());
        machine.acknowledged_before = acknowledged_before;
        machine.membership = Some(membership);
        self.apply_effects(node);
    }

    /// Calls a node, and executes its effects.
    pub fn with(&mut self, node: Node, act: impl FnOnce(&mut Membership<Body>)) {
        let Some(membership) = self.machine_mut(node).membership.as_mut() else { return };
        act(membership);
        self.apply_effects(node);
    }

    pub fn publish(&mut self, node: Node, key: &str, revision: Revision) {
        self.publish_sized(node, key, revision, 100);
    }

    /// Publishes an entry with a value of this size.
    pub fn publish_sized(&mut self, node: Node, key: &str, revision: Revision, bytes: usize) {
        let now = self.now;
        // Mixed bytes, because the encoding compresses equal ones.
        let value =
            (0..bytes as u64).map(|at| (at.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56) as u8).collect();
        self.with(node, |membership| membership.publish(now, key, revision, value));
    }

    pub fn update_body(&mut self, node: Node, body: Body) {
        let now = self.now;
        self.with(node, |membership| membership.update_body(now, body));
    }

    /// Whether this control node reaches a majority of running control nodes.
    pub fn has_majority(&self, node: Node) -> bool {
        let reached = |other: &Node| {
            let machine = &self.machines[other];
            machine.membership.is_some() && machine.frozen_until <= self.now && !self.is_cut(node, *other)
        };
        control_nodes().iter().filter(|other| reached(other)).count() >= 2
    }

    /// Publishes a change as acknowledged through a control node, if that reaches a majority.
    pub fn acknowledge(&mut self, node: Node, key: &str, revision: Revision) -> bool {
        let has_majority = self.has_majority(node);
        if has_majority {
            self.acknowledged.insert(key.to_string(), revision);
            self.publish(node, key, revision);
        }
        has_majority
    }

    /// Number of links between zones.
    pub fn cross_zone_links(&self) -> usize {
        let crosses = |pair: &&Pair| self.machines[&pair.low].zone != self.machines[&pair.high].zone;
        self.connections.keys().filter(crosses).count()
    }

    pub fn children(&self, node: Node) -> Vec<Node> {
        self.running().into_iter().filter(|other| self.membership(*other).parent() == Some(node)).collect()
    }
}
