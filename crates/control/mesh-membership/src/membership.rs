//! State and accessors of a mesh member. Its roles are implemented in separate files, each as an `impl` of
//! [`Membership`]:
//!
//! - `events`: entry points for the caller, the passage of time, and the returned effects;
//! - `own_record`: this node's own record, and refutation of false claims about it;
//! - `updates`: receiving and disseminating records and entries; `anti_entropy`: comparing versions and
//!   fetching missing ones;
//! - `link_keepalive`, `relay_tree`, `control_links`: keeping links alive, and selecting which links exist;
//! - `watching`: heartbeats and failure detection;
//! - `freshness_requests`: the check that this node is current.
use crate::config::MembershipConfig;
use crate::control_entry::EntryView;
use crate::control_quorum::ControlQuorum;
use crate::effect::Effect;
use crate::freshness::Freshness;
use crate::freshness_check::FreshnessCheck;
use crate::hash::mix;
use crate::link::{Link, Links};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::placement::Placement;
use crate::record::NodeRecord;
use crate::timing::{FORGET_INTERVAL, HEARTBEAT_INTERVAL};
use crate::version_table::VersionTable;
use crate::watch::Watches;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// What a pending update concerns.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum UpdateKey {
    /// A node's record.
    Record(Node),
    /// The control entry under a key.
    Entry(String),
}

/// A member of the mesh.
///
/// Memory is bounded: [`MAX_NODES`](crate::MAX_NODES) records and as many links (further links are closed
/// at once), [`MAX_CONTROL_ENTRIES`](crate::MAX_CONTROL_ENTRIES) control entries, and one pending update
/// for each record and entry.
pub struct Membership<T> {
    pub(crate) config: MembershipConfig,
    pub(crate) table: VersionTable<T>,
    pub(crate) placement: Placement,
    /// Of a control node; of a sidecar always empty.
    pub(crate) control_quorum: ControlQuorum,
    pub(crate) links: Links,
    pub(crate) watches: Watches,
    pub(crate) check: FreshnessCheck,
    pub(crate) started_at: Instant,
    /// The latest time passed in by the caller.
    pub(crate) last_call_at: Instant,
    pub(crate) next_forget_at: Instant,
    /// When the parent, or for a control node any other control node, was last found to have the same
    /// versions.
    pub(crate) synced_at: Option<Instant>,
    /// Changes to be disseminated, and the neighbour that each came from.
    pub(crate) pending: BTreeMap<UpdateKey, Option<Node>>,
    pub(crate) effects: Vec<Effect<T>>,
    pub(crate) metrics: Metrics,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Creates a member that knows only itself and its seeds.
    pub fn new(now: Instant, config: MembershipConfig, body: T) -> Self {
        let seeds = config.shuffled_seeds(&config.seeds);
        let phase = (mix(config.random_seed) % HEARTBEAT_INTERVAL.as_micros() as u64) as i64;
        let first_request_number = mix(config.random_seed ^ mix(config.incarnation));
        let record = NodeRecord {
            node: config.local_node,
            incarnation: config.incarnation,
            // Random, so that two starts with the same incarnation can be distinguished.
            sequence: mix(config.random_seed) >> 44,
            zone: config.zone.clone(),
            is_control: config.is_control,
            gone: false,
            body,
        };
        let mut membership = Membership {
            table: VersionTable::new(),
            placement: Placement::default(),
            control_quorum: ControlQuorum::default(),
            links: Links::new(now),
            watches: Watches::new(now + Duration::from_micros(phase)),
            check: FreshnessCheck::new(now, config.is_control, first_request_number),
            started_at: now,
            last_call_at: now,
            next_forget_at: now + FORGET_INTERVAL,
            synced_at: None,
            pending: BTreeMap::new(),
            effects: Vec::new(),
            metrics: Metrics::default(),
            config: MembershipConfig { seeds, ..config },
        };
        membership.put(now, record);
        membership.pending.clear();
        membership
    }

    /// All records, including this node's own and those of nodes recently gone.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord<T>> {
        self.table.records()
    }

    /// The record of one node.
    pub fn record(&self, node: Node) -> Option<&NodeRecord<T>> {
        self.table.record(node)
    }

    /// The newest known version of a control entry.
    pub fn control_entry(&self, key: &str) -> Option<EntryView<'_>> {
        self.table.entry(key)
    }

    /// All control entries.
    pub fn control_entries(&self) -> impl Iterator<Item = EntryView<'_>> {
        self.table.entries()
    }

    /// The node that updates come from; always `None` for a control node.
    pub fn parent(&self) -> Option<Node> {
        self.links.parent
    }

    /// The nodes to which a link is up.
    pub fn linked_nodes(&self) -> Vec<Node> {
        self.links.up.keys().copied().collect()
    }

    /// Whether something was recently received on the parent's link, or for a control node on any link.
    pub fn is_connected(&self, now: Instant) -> bool {
        let is_alive = |link: &Link| link.is_alive(now);
        match self.links.parent {
            Some(parent) => self.links.up.get(&parent).is_some_and(is_alive),
            None => self.config.is_control && self.links.up.values().any(is_alive),
        }
    }

    /// Of a control node: which linked ones make a majority, as it was told last.
    pub fn control_quorum(&self) -> &ControlQuorum {
        &self.control_quorum
    }

    /// This node's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own_record().map_or(self.config.incarnation, |own| own.incarnation)
    }

    /// Time since the parent, or for a control node any other control node, was last found to have the same
    /// versions.
    pub fn last_sync_age(&self, now: Instant) -> Option<Duration> {
        self.synced_at.map(|at| now - at)
    }

    /// Whether this node has everything that a majority had acknowledged before it started. Never returns
    /// to `Waiting`.
    pub fn freshness(&self) -> Freshness {
        self.check.state
    }

    /// The counters of this node.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Enables a deliberate bug, to test that the checkers detect it.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: crate::freshness::Mutation) {
        self.check.set_mutation(mutation);
    }

    pub(crate) fn own_record(&self) -> Option<&NodeRecord<T>> {
        self.table.record(self.config.local_node)
    }
}
