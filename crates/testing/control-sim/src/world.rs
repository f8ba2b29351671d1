//! The state of one simulated world, and its time. What happens in it is written in the files that use this one.

use crate::error::ScheduleError;
use crate::event::{Event, EventQueue};
use crate::history::History;
use crate::link::{Connection, ConnectionId};
use crate::node::SimulatedNode;
use crate::operator_state::OperatorState;
use crate::plan::ScenarioPlan;
use crate::report::Report;
use silvercross_test_rng::Rng;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// Node ids of sidecars are above this, those of control nodes below.
const MAX_CONTROL_NODE_ID: usize = 100;
/// Nodes are placed in so many zones in turn.
const ZONES: usize = 3;
/// Clocks of machines differ by less than this.
const MAX_CLOCK_OFFSET: Duration = Duration::from_secs(1_000);

/// One simulated world.
pub struct World {
    /// The time.
    pub now: Instant,
    /// Control nodes first, then sidecars.
    pub nodes: Vec<SimulatedNode>,
    /// What there is.
    pub plan: ScenarioPlan,
    /// Whether nothing gets from the first index to the second.
    pub blocked: Vec<Vec<bool>>,
    /// What was seen.
    pub history: History,
    /// Counters.
    pub report: Report,
    /// The first thing that went wrong.
    pub failure: Option<ScheduleError>,
    /// Whether faults and their ends, starts, replica sets and owners are printed.
    pub is_traced: bool,
    pub(crate) rng: Rng,
    pub(crate) connections: BTreeMap<ConnectionId, Connection>,
    pub(crate) operators: OperatorState,
    /// As planned, until the heal.
    pub(crate) datagram_loss_per_mille: u64,
    /// As planned, until the heal.
    pub(crate) one_in_delayed: u64,
    /// When drawn operators and faults end.
    pub(crate) stop_at: Instant,
    /// All faults have ended for good.
    pub(crate) is_healed: bool,
    queue: EventQueue,
    last_number: u64,
}

impl World {
    /// A world in which nothing runs yet.
    pub fn new(seed: u64, plan: ScenarioPlan) -> World {
        let mut rng = Rng::new(seed);
        let control_nodes = plan.control_nodes();
        let count = control_nodes + plan.sidecars;
        let mut nodes = Vec::new();
        for index in 0..count {
            let is_control = index < control_nodes;
            let (id, zone) = if is_control {
                (1 + index, index)
            } else {
                (MAX_CONTROL_NODE_ID + 1 + index - control_nodes, index - control_nodes)
            };
            let clock_offset = rng.duration(Duration::ZERO, MAX_CLOCK_OFFSET);
            let mut node = SimulatedNode::new(id as u32, zone % ZONES, is_control, clock_offset);
            node.seeds = (0..plan.replicas).collect();
            nodes.push(node);
        }
        World {
            now: Instant::ZERO,
            nodes,
            blocked: vec![vec![false; count]; count],
            history: History::default(),
            report: Report::default(),
            failure: None,
            is_traced: false,
            rng,
            connections: BTreeMap::new(),
            operators: OperatorState::default(),
            datagram_loss_per_mille: plan.datagram_loss_per_mille,
            one_in_delayed: plan.one_in_delayed,
            stop_at: Instant::MAX,
            is_healed: false,
            queue: EventQueue::default(),
            last_number: 0,
            plan,
        }
    }

    /// How many control nodes there are, replicas or not.
    pub fn control_node_count(&self) -> usize {
        self.plan.control_nodes()
    }

    /// A number that was never given before, rising.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// An event is to happen then, or now if that is past.
    pub(crate) fn at(&mut self, at: Instant, event: Event) {
        let number = self.next_number();
        self.queue.push(at.max(self.now), number, event);
    }

    /// An event is to happen after so long.
    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// The next event that happens no later than that; time goes on to it.
    pub(crate) fn next_event(&mut self, limit: Instant) -> Option<Event> {
        let (at, event) = self.queue.pop_until(limit)?;
        self.now = at;
        Some(event)
    }

    /// What a node's monotonic clock says.
    pub(crate) fn local_now(&self, node: usize) -> Instant {
        self.now + self.nodes[node].clock_offset
    }

    /// The index of a node id.
    pub(crate) fn index(&self, id: u32) -> Option<usize> {
        let id = id as usize;
        let index = if id > MAX_CONTROL_NODE_ID {
            self.control_node_count() + id - MAX_CONTROL_NODE_ID - 1
        } else {
            id.checked_sub(1)?
        };
        (index < self.nodes.len()).then_some(index)
    }

    /// Prints a line of the trace.
    pub(crate) fn note(&self, line: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{:>10.6} {}", self.now.as_micros() as f64 / 1e6, line());
        }
    }

    /// Something went wrong.
    pub(crate) fn fail(&mut self, error: ScheduleError) {
        self.failure.get_or_insert(error);
    }
}
