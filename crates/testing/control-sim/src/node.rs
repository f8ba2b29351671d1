//! One node: its machine, and the process on it.

use crate::content::Items;
use crate::disk::Storage;
use crate::event::Event;
use crate::history::ObservedRevision;
use crate::link::{ConnectionId, NodeStatus};
use crate::operator_state::CallToken;
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership::Membership;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// The confirmed revision of a key.
pub(crate) struct ConfirmedKey {
    /// The key.
    pub(crate) key: String,
    /// Its revision.
    pub(crate) revision: ObservedRevision,
}

/// A read of all keys with a majority, which a starting process asked for.
#[derive(Default)]
pub(crate) struct MajorityRead {
    /// Reads that are still open, by token, with the key's index.
    pub(crate) open: BTreeMap<u64, usize>,
    /// What the others found.
    pub(crate) confirmed: Vec<ConfirmedKey>,
}

/// A read before an order.
pub(crate) struct OrderRead {
    /// The order.
    pub(crate) token: CallToken,
    /// When it was read, by the node's clock.
    pub(crate) called_at: Instant,
}

/// One node and the process on it.
pub struct SimulatedNode {
    /// Its node id.
    pub id: u32,
    /// Its zone.
    pub zone: usize,
    /// Whether it is a control node.
    pub is_control: bool,
    /// Whether it has power.
    pub is_powered: bool,
    /// Lost for good.
    pub is_destroyed: bool,
    /// Its process runs and does nothing.
    pub is_frozen: bool,
    /// Its process stops gracefully.
    pub is_stopping: bool,
    /// Of its process, if it runs.
    pub membership: Option<Membership<NodeStatus>>,
    /// Of its process, if it runs and is a control node.
    pub store: Option<ControlStore<Items>>,
    /// The disk of a control node.
    pub storage: Storage,
    /// Rises with every start and end of a process: what was scheduled for another one is dropped.
    pub generation: u64,
    /// Connections by the node at the other end; the last one is used to send.
    pub connections: BTreeMap<usize, Vec<ConnectionId>>,
    /// The control nodes that its process asks first, by their indices.
    pub seeds: Vec<usize>,
    /// What is in force by key, as in the mesh's program: newer revisions only.
    pub revisions: BTreeMap<usize, ObservedRevision>,
    /// When it was last unfrozen.
    pub resumed_at: Instant,
    /// Its process' place in the history.
    pub(crate) incarnation: usize,
    /// By request id.
    pub(crate) majority_reads: BTreeMap<u64, MajorityRead>,
    /// Reads before orders, by the read's token.
    pub(crate) reads_before_orders: BTreeMap<u64, OrderRead>,
    /// Calls whose operators have left.
    pub(crate) abandoned_calls: BTreeSet<CallToken>,
    /// What came while it was frozen.
    pub(crate) deferred_events: Vec<Event>,
    /// Its monotonic clock against the world's.
    pub(crate) clock_offset: Duration,
    /// When it is woken next.
    pub(crate) next_wakeup: Instant,
    /// When it last announced its status, by its own clock.
    pub(crate) announced_at: Instant,
    /// Its control store's state as the trace printed it last.
    pub(crate) traced_state: String,
}

impl SimulatedNode {
    pub(crate) fn new(id: u32, zone: usize, is_control: bool, clock_offset: Duration) -> SimulatedNode {
        SimulatedNode {
            id,
            zone,
            is_control,
            is_powered: true,
            is_destroyed: false,
            is_frozen: false,
            is_stopping: false,
            membership: None,
            store: None,
            storage: Storage::default(),
            generation: 0,
            connections: BTreeMap::new(),
            seeds: Vec::new(),
            revisions: BTreeMap::new(),
            resumed_at: Instant::MIN,
            incarnation: 0,
            majority_reads: BTreeMap::new(),
            reads_before_orders: BTreeMap::new(),
            abandoned_calls: BTreeSet::new(),
            deferred_events: Vec::new(),
            clock_offset,
            next_wakeup: Instant::MAX,
            announced_at: Instant::ZERO,
            traced_state: String::new(),
        }
    }

    /// Whether its process runs, be it that it is frozen.
    pub fn is_running(&self) -> bool {
        self.membership.is_some()
    }
}
