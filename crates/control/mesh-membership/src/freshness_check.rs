//! State of freshness requests: this node's own check, and the requests of its children. The protocol is in
//! `freshness_requests`.
use crate::control_entry::EntryRevision;
use crate::freshness::{Freshness, Mutation};
use crate::node::Node;
use crate::timing::{READINESS_GRACE, READINESS_TIMEOUT};
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// A request in flight: sent to the parent, or at a control node to the control store.
pub(crate) struct InFlightRequest {
    pub(crate) number: u64,
    /// The receiver; `None` if it was lost.
    pub(crate) to: Option<Node>,
    pub(crate) sent_at: Instant,
    /// Linked nodes, or this one, that wait for the reply, and the number of each one's own request.
    pub(crate) requesters: BTreeMap<Node, u64>,
}

/// The check of this node, and the requests of its children.
pub(crate) struct FreshnessCheck {
    pub(crate) state: Freshness,
    /// Revisions that a majority had, while the node's own entries may lack some of them.
    pub(crate) required: Option<Vec<EntryRevision>>,
    /// Since when the node has had an entry, or since its last long stall.
    pub(crate) entries_since: Option<Instant>,
    /// Earliest time of this node's next own request.
    pub(crate) next_request_at: Instant,
    /// Earliest start of the next read.
    pub(crate) next_read_at: Instant,
    /// Starts at a random number, so that a reply to an earlier incarnation matches no request.
    pub(crate) next_request_number: u64,
    /// Nodes that wait for the next request: at most one request per link, and this node's own.
    pub(crate) waiting: BTreeMap<Node, u64>,
    pub(crate) in_flight: Option<InFlightRequest>,
    mutation: Option<Mutation>,
}

impl FreshnessCheck {
    /// A control node gets its state from the control store, so it is current from the start.
    pub(crate) fn new(now: Instant, is_control: bool, first_request_number: u64) -> Self {
        let state =
            if is_control { Freshness::Current { after: Duration::ZERO } } else { Freshness::Waiting };
        FreshnessCheck {
            state,
            required: None,
            entries_since: None,
            next_request_at: now,
            next_read_at: now,
            next_request_number: first_request_number,
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

    fn has_request_of(&self, node: Node) -> bool {
        self.waiting.contains_key(&node)
            || self.in_flight.as_ref().is_some_and(|request| request.requesters.contains_key(&node))
    }

    /// Whether this node still needs a reply and has not asked for one.
    pub(crate) fn needs_request(&self, local_node: Node) -> bool {
        self.state == Freshness::Waiting && self.required.is_none() && !self.has_request_of(local_node)
    }

    /// Handles a stall of this node.
    pub(crate) fn handle_stall(&mut self, now: Instant, span: Duration) {
        if span >= READINESS_GRACE && self.entries_since.is_some() {
            self.entries_since = Some(now);
        }
    }

    /// When the check times out; `None` while there is no entry.
    pub(crate) fn timeout_at(&self, started_at: Instant) -> Option<Instant> {
        Some((self.entries_since? + READINESS_GRACE).max(started_at + READINESS_TIMEOUT))
    }

    /// Handles the loss of a link: the node asks again over the next one.
    pub(crate) fn link_lost(&mut self, node: Node) {
        self.waiting.remove(&node);
        if let Some(request) = &mut self.in_flight {
            request.requesters.remove(&node);
            if request.to == Some(node) {
                request.to = None;
            }
        }
    }
}
