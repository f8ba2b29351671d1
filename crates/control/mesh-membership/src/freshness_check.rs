//! The state of the check that a node has what a majority had acknowledged before it started: its own, and the requests of
//! its children. Data with the questions that it alone answers; the protocol stands in `freshness_requests`.
use crate::control_entry::EntryRevision;
use crate::freshness::{Freshness, Mutation};
use crate::node::Node;
use crate::timing::{READINESS_GRACE, READINESS_TIMEOUT};
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// A request in flight: to the parent, or at a control node to the control store.
pub(crate) struct InFlightRequest {
    pub(crate) number: u64,
    /// `None`: the node it was sent to is lost.
    pub(crate) to: Option<Node>,
    pub(crate) sent_at: Instant,
    /// For whom, and the number that each gave its own request. Linked nodes, and this one.
    pub(crate) askers: BTreeMap<Node, u64>,
}

/// The check of this node, and those of its children.
pub(crate) struct FreshnessCheck {
    pub(crate) state: Freshness,
    /// What a majority had; the own entries lack some of it.
    pub(crate) wanted: Option<Vec<EntryRevision>>,
    /// Since when there has been an entry, and the node hasn't stalled.
    pub(crate) entries_since: Option<Instant>,
    /// This node's own request is not made before this.
    pub(crate) ask_at: Instant,
    /// No read is begun before this.
    pub(crate) read_at: Instant,
    /// The next request's. Begins at a drawn number, so that an answer to a former incarnation fits nothing.
    pub(crate) next_number: u64,
    /// Who waits for the next request: at most one for each link, and this node.
    pub(crate) waiting: BTreeMap<Node, u64>,
    pub(crate) in_flight: Option<InFlightRequest>,
    mutation: Option<Mutation>,
}

impl FreshnessCheck {
    /// A control node is asked, and has its state from the control store: it doesn't ask itself.
    pub(crate) fn new(now: Instant, is_control: bool, first_number: u64) -> Self {
        let state =
            if is_control { Freshness::Current { after: Duration::ZERO } } else { Freshness::Waiting };
        FreshnessCheck {
            state,
            wanted: None,
            entries_since: None,
            ask_at: now,
            read_at: now,
            next_number: first_number,
            waiting: BTreeMap::new(),
            in_flight: None,
            mutation: None,
        }
    }

    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutants") && self.mutation == Some(mutation)
    }

    #[cfg(feature = "mutants")]
    pub(crate) fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    fn is_asking_for(&self, node: Node) -> bool {
        self.waiting.contains_key(&node)
            || self.in_flight.as_ref().is_some_and(|request| request.askers.contains_key(&node))
    }

    /// Whether the node's own answer is still to be asked for.
    pub(crate) fn has_to_ask(&self, local_node: Node) -> bool {
        self.state == Freshness::Waiting && self.wanted.is_none() && !self.is_asking_for(local_node)
    }

    /// The node stood still for so long.
    pub(crate) fn stalled(&mut self, now: Instant, span: Duration) {
        if span >= READINESS_GRACE && self.entries_since.is_some() {
            self.entries_since = Some(now);
        }
    }

    /// When time ends the check, if nothing else does; not before there is an entry.
    pub(crate) fn timeout_at(&self, started_at: Instant) -> Option<Instant> {
        Some((self.entries_since? + READINESS_GRACE).max(started_at + READINESS_TIMEOUT))
    }

    /// The link to a node is lost: it asks again over the next one.
    pub(crate) fn link_lost(&mut self, node: Node) {
        self.waiting.remove(&node);
        if let Some(request) = &mut self.in_flight {
            request.askers.remove(&node);
            if request.to == Some(node) {
                request.to = None;
            }
        }
    }
}
