//! What is kept of the links: those that are up, those being made, those that failed, and the parent among them. Data with
//! the questions that it alone answers; what is done with them stands in `link_keepalive`, `relay_tree` and `control_links`.
use crate::entry_outbox::EntryOutbox;
use crate::entry_requests::EntryRequests;
use crate::message::TreePosition;
use crate::node::Node;
use crate::parent_candidates::ParentCandidates;
use crate::timing::LINK_TIMEOUT;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// A link that is up.
pub(crate) struct Link {
    /// When something came last.
    pub(crate) heard_at: Instant,
    /// Made from this side.
    pub(crate) dialled_here: bool,
    pub(crate) next_keepalive_at: Instant,
    /// The other side has sent its hello.
    pub(crate) greeted: bool,
    /// Control entries for the other side.
    pub(crate) outbox: EntryOutbox,
    /// Control entries that the other side has announced.
    pub(crate) requests: EntryRequests,
    position: TreePosition,
}

impl Link {
    pub(crate) fn new(now: Instant, next_keepalive_at: Instant) -> Self {
        Link {
            heard_at: now,
            dialled_here: false,
            next_keepalive_at,
            greeted: false,
            outbox: EntryOutbox::default(),
            requests: EntryRequests::default(),
            position: TreePosition::default(),
        }
    }

    /// Another connection is used from here on.
    pub(crate) fn connection_changed(&mut self) {
        self.outbox.connection_changed();
        self.requests.connection_changed();
    }

    /// Notes where the other side stands; whether that is different from before.
    pub(crate) fn set_position(&mut self, position: TreePosition) -> bool {
        let position = position.bounded();
        let changed = position != self.position;
        self.position = position;
        changed
    }

    /// Where the other side stands.
    pub(crate) fn position(&self) -> &TreePosition {
        &self.position
    }

    /// Whether the other side has a path to a control node that doesn't lead through `node`.
    pub(crate) fn is_rooted_without(&self, node: Node) -> bool {
        !self.position.path.is_empty() && !self.position.path.contains(&node)
    }

    /// Whether the other side, a control node, has a link to `to` itself.
    pub(crate) fn updates(&self, to: Node) -> bool {
        self.position.peers.contains(&to)
    }

    /// Whether something came lately.
    pub(crate) fn is_alive(&self, now: Instant) -> bool {
        now - self.heard_at <= LINK_TIMEOUT
    }
}

/// A node to which no useful link came about.
pub(crate) struct FailedDial {
    /// It is not dialled before this.
    pub(crate) retry_at: Instant,
    pub(crate) attempts: u32,
}

/// All links of a node, and its parent in the relay tree.
pub(crate) struct Links {
    pub(crate) up: BTreeMap<Node, Link>,
    /// Links being made, and since when.
    pub(crate) dials: BTreeMap<Node, Instant>,
    pub(crate) failed: BTreeMap<Node, FailedDial>,
    /// Control nodes that were known at some time, the latest first. At most `MAX_FORMER_CONTROL_NODES`.
    pub(crate) former_control_nodes: Vec<Node>,
    pub(crate) parent: Option<Node>,
    pub(crate) candidates: ParentCandidates,
    /// Nodes came or went since `candidates` was made.
    pub(crate) placement_changed: bool,
    pub(crate) last_dial_at: Instant,
    /// Since when the parent is rooted, but not the proper one.
    pub(crate) unfit_since: Option<Instant>,
    /// Since when the parent has had no path to a control node.
    pub(crate) unrooted_since: Option<Instant>,
    /// Its neighbours were last notified that it has a path to a control node.
    pub(crate) announced_rooted: bool,
    /// When links are looked over without any other event.
    pub(crate) next_choice_at: Instant,
}

impl Links {
    pub(crate) fn new(now: Instant) -> Self {
        Links {
            up: BTreeMap::new(),
            dials: BTreeMap::new(),
            failed: BTreeMap::new(),
            former_control_nodes: Vec::new(),
            parent: None,
            candidates: ParentCandidates::default(),
            placement_changed: true,
            last_dial_at: now.saturating_add(-LINK_TIMEOUT),
            unfit_since: None,
            unrooted_since: None,
            announced_rooted: false,
            next_choice_at: now,
        }
    }

    /// Whether there is a link to the node, or one is being made.
    pub(crate) fn has_or_dials(&self, node: Node) -> bool {
        self.up.contains_key(&node) || self.dials.contains_key(&node)
    }

    /// Whether the other side of a link has sent its hello.
    pub(crate) fn is_greeted(&self, node: Node) -> bool {
        self.up.get(&node).is_some_and(|link| link.greeted)
    }

    /// Whether the node is linked and has a path to a control node that doesn't lead through this node.
    pub(crate) fn is_rooted(&self, node: Node, local_node: Node) -> bool {
        self.up.get(&node).is_some_and(|link| link.greeted && link.is_rooted_without(local_node))
    }

    /// The rank of a candidate; the last for one that is none.
    pub(crate) fn candidate_rank(&self, node: Node) -> usize {
        self.candidates.nodes.iter().position(|other| *other == node).unwrap_or(usize::MAX)
    }
}
