//! The state of a simulated mesh: machines, connections, events to come, counters.
use super::checks::StaleEntry;
use super::{control_node, control_nodes, ms, secs, sidecar};
use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

pub type Body = u64;

/// The time at which every simulation begins.
pub const START_TIME: Instant = Instant::from_micros(1_000_000_000);

pub enum Event {
    Tick,
    Dial { to: Node, id: u64 },
    Up { peer: Node, connection: u64 },
    Down { peer: Node, connection: u64 },
    Message { from: Node, connection: u64, message: MembershipMessage<Body> },
    EntriesLeft { to: Node },
    Datagram { from: Node, datagram: Datagram },
    Probed { node: Node, reachable: bool },
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
    /// What a majority had acknowledged when it started.
    pub acknowledged_before: BTreeMap<String, Revision>,
    pub freshness: Freshness,
}

/// Both directions of a connection between two machines.
pub struct Connection {
    pub id: u64,
    pub lost: bool,
    /// When the last message to each side arrives.
    pub last_arrival: BTreeMap<Node, Instant>,
    /// When the last message to each side has left the sender's machine.
    pub sent_until: BTreeMap<Node, Instant>,
}

#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    pub messages: u64,
    pub datagrams: u64,
    pub bytes: u64,
    pub crossing: u64,
    pub crossing_bytes: u64,
    pub updates: u64,
    pub updates_crossing: u64,
}

/// A node that found another gone, or signed off itself.
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
    /// Those that no majority confirmed.
    pub unconfirmed: u64,
}

/// How starts ended.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct StartCounts {
    /// Current, with something acknowledged before.
    pub current: u64,
    pub timed_out: u64,
}

/// A connection's key: the lower node first.
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

/// A direction in which nothing passes, or in which one machine dials another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Route {
    pub from: Node,
    pub to: Node,
}

/// When an event happens; those of the same moment in the order in which they were planned.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct EventKey {
    pub at: Instant,
    pub number: u64,
}

pub struct World {
    pub now: Instant,
    pub machines: BTreeMap<Node, Machine>,
    pub cuts: BTreeSet<Route>,
    /// Datagrams lost, of 1,000.
    pub loss: u64,
    pub zone_delay: Duration,
    /// What a connection of a sidecar carries in each direction; without it, any number of bytes at once.
    pub thin_link_bytes_per_second: Option<u64>,
    /// Bytes of a connection that the system takes before they have left the machine.
    pub send_buffer_bytes: u64,
    pub traffic: Traffic,
    pub gone: Vec<GoneReport>,
    pub trace: bool,
    /// What a majority of the control nodes has acknowledged.
    pub acknowledged: BTreeMap<String, Revision>,
    /// How long a read that a majority confirms takes.
    pub read_delay: Duration,
    pub reads: ReadCounts,
    pub checked_starts: StartCounts,
    /// Nodes run with this rule changed, and what the checker finds is kept.
    pub mutation: Option<Mutation>,
    pub found: Vec<StaleEntry>,
    pub(super) events: BTreeMap<EventKey, (Node, Event)>,
    pub(super) connections: BTreeMap<Pair, Connection>,
    pub(super) dials: BTreeMap<Route, u64>,
    pub(super) count: u64,
    random_state: u64,
}

#[cfg(feature = "mutants")]
pub fn set_mutation(membership: &mut Membership<Body>, mutation: Option<Mutation>) {
    mutation.into_iter().for_each(|mutation| membership.set_mutation(mutation));
}

#[cfg(not(feature = "mutants"))]
pub fn set_mutation(_: &mut Membership<Body>, mutation: Option<Mutation>) {
    assert_eq!(mutation, None, "without the feature no rule can be changed");
}

impl World {
    /// A control node in each of three zones, and sidecars spread over them; all start within `span`.
    pub fn new(sidecars: usize, seed: u64, span: Duration) -> World {
        let mut world = World {
            now: START_TIME,
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 5,
            zone_delay: ms(1),
            thin_link_bytes_per_second: None,
            send_buffer_bytes: 0,
            traffic: Traffic::default(),
            gone: Vec::new(),
            trace: false,
            acknowledged: BTreeMap::new(),
            read_delay: ms(2),
            reads: ReadCounts::default(),
            checked_starts: StartCounts::default(),
            mutation: None,
            found: Vec::new(),
            events: BTreeMap::new(),
            connections: BTreeMap::new(),
            dials: BTreeMap::new(),
            count: 0,
            random_state: seed.wrapping_mul(2).wrapping_add(1),
        };
        (0..3).for_each(|zone| world.add(control_node(zone), zone, true));
        (0..sidecars).for_each(|i| world.add(sidecar(i), i % 3, false));
        let mut starts = Vec::new();
        for node in world.machines.keys().copied().collect::<Vec<Node>>() {
            let delay = world.below(span.as_micros().max(1) as u64) as i64;
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

    /// A mesh in which all agree, and links have settled.
    pub fn settled(sidecars: usize, seed: u64) -> World {
        let mut world = World::new(sidecars, seed, ms(500));
        let took = world.until_agreed(secs(3));
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

    /// A number below a bound, drawn.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % bound.max(1)
    }

    pub fn membership(&self, node: Node) -> &Membership<Body> {
        self.machines[&node].membership.as_ref().expect("it runs")
    }

    pub fn machine_mut(&mut self, node: Node) -> &mut Machine {
        self.machines.get_mut(&node).expect("known")
    }

    /// All nodes, and those that start later, run with a rule changed.
    pub fn mutate_all(&mut self, mutation: Option<Mutation>) {
        self.mutation = mutation;
        let running = self.machines.values_mut().filter_map(|machine| machine.membership.as_mut());
        running.for_each(|membership| set_mutation(membership, mutation));
    }

    pub fn nodes(&self) -> Vec<Node> {
        self.machines.keys().copied().collect()
    }

    pub fn living(&self) -> Vec<Node> {
        let running = self.machines.iter().filter(|(_, machine)| machine.membership.is_some());
        running.map(|(node, _)| *node).collect()
    }

    pub fn nodes_of_zone(&self, zone: usize) -> Vec<Node> {
        let inside = self.machines.iter().filter(|(_, machine)| machine.zone == zone);
        inside.map(|(node, _)| *node).collect()
    }

    pub fn start(&mut self, node: Node, incarnation: u64) {
        self.start_with(node, incarnation, control_nodes().to_vec());
    }

    pub fn start_with(&mut self, node: Node, incarnation: u64, seeds: Vec<Node>) {
        let now = self.now;
        let random_seed = self.below(u64::MAX);
        let mutation = self.mutation;
        let acknowledged_before = self.acknowledged.clone();
        let machine = self.machine_mut(node);
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
        set_mutation(&mut membership, mutation);
        (machine.started_at, machine.freshness) = (now, membership.freshness());
        machine.acknowledged_before = acknowledged_before;
        machine.membership = Some(membership);
        self.carry_out_effects(node);
    }

    /// Something happens at a node, and what it wants is carried out.
    pub fn with(&mut self, node: Node, act: impl FnOnce(&mut Membership<Body>)) {
        let Some(membership) = self.machine_mut(node).membership.as_mut() else { return };
        act(membership);
        self.carry_out_effects(node);
    }

    pub fn publish(&mut self, node: Node, key: &str, revision: Revision) {
        self.publish_sized(node, key, revision, 100);
    }

    /// Publishes an entry with a value of so many bytes.
    pub fn publish_sized(&mut self, node: Node, key: &str, revision: Revision, bytes: usize) {
        let now = self.now;
        // Not all alike: the encoding packs equal bytes.
        let value =
            (0..bytes as u64).map(|at| (at.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56) as u8).collect();
        self.with(node, |membership| membership.publish(now, key, revision, value));
    }

    pub fn update_body(&mut self, node: Node, body: Body) {
        let now = self.now;
        self.with(node, |membership| membership.update_body(now, body));
    }

    /// Whether more than half of the control nodes run, and are reached from this one.
    pub fn has_majority(&self, node: Node) -> bool {
        let reached = |other: &Node| {
            let machine = &self.machines[other];
            machine.membership.is_some() && machine.frozen_until <= self.now && !self.is_cut(node, *other)
        };
        control_nodes().iter().filter(|other| reached(other)).count() >= 2
    }

    /// A change is acknowledged through a control node, if it reaches a majority.
    pub fn acknowledge(&mut self, node: Node, key: &str, revision: Revision) -> bool {
        let done = self.has_majority(node);
        if done {
            self.acknowledged.insert(key.to_string(), revision);
            self.publish(node, key, revision);
        }
        done
    }

    /// Links between zones.
    pub fn crossing_links(&self) -> usize {
        let crosses = |pair: &&Pair| self.machines[&pair.low].zone != self.machines[&pair.high].zone;
        self.connections.keys().filter(crosses).count()
    }

    pub fn children(&self, node: Node) -> Vec<Node> {
        self.living().into_iter().filter(|other| self.membership(*other).parent() == Some(node)).collect()
    }
}
