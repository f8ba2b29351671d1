//! One node's part in the mesh: its state, and what callers may look at. Decides nothing itself; the roles stand in files of
//! their own, each an `impl` of [`Membership`]:
//!
//! - `events`: what the caller reports, the passing of time, and the taking of effects;
//! - `own_record`: what the node publishes of itself, and how it refutes what others say;
//! - `updates`: records and entries taken in and disseminated; `anti_entropy`: versions compared, missing ones fetched;
//! - `link_keepalive`, `relay_tree`, `control_links`: links kept alive, and which links there are;
//! - `watching`: heartbeats, and nodes declared gone;
//! - `freshness_requests`: whether the node is current.
use crate::config::MembershipConfig;
use crate::control_entry::EntryView;
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

/// What a pending update is about.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Subject {
    /// A node's record.
    Record(Node),
    /// The control entry under a key.
    Entry(String),
}

/// One node's part in the mesh.
///
/// Bounded: [`MAX_NODES`](crate::MAX_NODES) records, [`MAX_CONTROL_ENTRIES`](crate::MAX_CONTROL_ENTRIES) control entries,
/// links to nodes that could be in the mesh (4,096; further ones are dropped at once), updates not yet taken up to one item
/// for each record and entry.
pub struct Membership<T> {
    pub(crate) config: MembershipConfig,
    pub(crate) table: VersionTable<T>,
    pub(crate) placement: Placement,
    pub(crate) links: Links,
    pub(crate) watches: Watches,
    pub(crate) check: FreshnessCheck,
    pub(crate) started_at: Instant,
    /// The latest time that the caller gave.
    pub(crate) last_call_at: Instant,
    pub(crate) next_forget_at: Instant,
    /// When the parent, or for a control node any other, was last found to know the same.
    pub(crate) synced_at: Option<Instant>,
    /// Changes to be disseminated, and which neighbour each came from.
    pub(crate) pending: BTreeMap<Subject, Option<Node>>,
    pub(crate) effects: Vec<Effect<T>>,
    pub(crate) metrics: Metrics,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// A node that knows itself and its seeds.
    pub fn new(now: Instant, config: MembershipConfig, body: T) -> Self {
        let seeds = config.shuffled(&config.seeds);
        let phase = (mix(config.random_seed) % HEARTBEAT_INTERVAL.as_micros() as u64) as i64;
        let first_request = mix(config.random_seed ^ mix(config.incarnation));
        let record = NodeRecord {
            node: config.local_node,
            incarnation: config.incarnation,
            // Drawn, so that two starts with the same incarnation can be distinguished.
            sequence: mix(config.random_seed) >> 44,
            zone: config.zone.clone(),
            is_control: config.is_control,
            gone: false,
            body,
        };
        let mut membership = Membership {
            table: VersionTable::new(),
            placement: Placement::default(),
            links: Links::new(now),
            watches: Watches::new(now + Duration::from_micros(phase)),
            check: FreshnessCheck::new(now, config.is_control, first_request),
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

    /// All records, this node's own as well, and of those lately gone.
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

    /// Where updates come from; none for control nodes.
    pub fn parent(&self) -> Option<Node> {
        self.links.parent
    }

    /// The nodes to which a link is up.
    pub fn linked_nodes(&self) -> Vec<Node> {
        self.links.up.keys().copied().collect()
    }

    /// Whether there is a link on which something came lately: of a control node any, of others the parent's.
    pub fn is_connected(&self, now: Instant) -> bool {
        let is_alive = |link: &Link| link.is_alive(now);
        match self.links.parent {
            Some(parent) => self.links.up.get(&parent).is_some_and(is_alive),
            None => self.config.is_control && self.links.up.values().any(is_alive),
        }
    }

    /// This node's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own_record().map_or(self.config.incarnation, |own| own.incarnation)
    }

    /// Time since the parent, or for a control node any other, was last found to know the same.
    pub fn last_sync_age(&self, now: Instant) -> Option<Duration> {
        self.synced_at.map(|at| now - at)
    }

    /// Whether this node has what a majority had acknowledged before it started. Never goes back to waiting.
    pub fn freshness(&self) -> Freshness {
        self.check.state
    }

    /// Counters.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Changes a rule on purpose, for the tests of the checkers.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: crate::freshness::Mutation) {
        self.check.set_mutation(mutation);
    }

    /// This node's own record.
    pub(crate) fn own_record(&self) -> Option<&NodeRecord<T>> {
        self.table.record(self.config.local_node)
    }
}
