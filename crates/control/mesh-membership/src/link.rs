//! State of links: established, being opened, or failed, and the choice of a parent. The protocol is in
//! `link_keepalive`, `relay_tree` and `control_links`.
use crate::entry_outbox::EntryOutbox;
use crate::entry_requests::EntryRequests;
use crate::message::TreePosition;
use crate::node::Node;
use crate::parent_candidates::ParentCandidates;
use crate::timing::LINK_TIMEOUT;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// An established link.
pub(crate) struct Link {
    /// When something was last received.
    pub(crate) heard_at: Instant,
    /// Whether this side opened it.
    pub(crate) is_outgoing: bool,
    pub(crate) next_keepalive_at: Instant,
    /// Whether the other side has sent its hello.
    pub(crate) has_hello: bool,
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
            is_outgoing: false,
            next_keepalive_at,
            has_hello: false,
            outbox: EntryOutbox::default(),
            requests: EntryRequests::default(),
            position: TreePosition::default(),
        }
    }

    /// Restarts the exchange of control entries when another connection is used.
    pub(crate) fn connection_changed(&mut self) {
        self.outbox.connection_changed();
        self.requests.connection_changed();
    }

    /// Stores the other side's position; returns whether it has changed.
    pub(crate) fn set_position(&mut self, position: TreePosition) -> bool {
        let position = position.bounded();
        let changed = position != self.position;
        self.position = position;
        changed
    }

    /// The other side's position in the tree.
    pub(crate) fn position(&self) -> &TreePosition {
        &self.position
    }

    /// Whether the other side has a path to a control node that doesn't go through `node`.
    pub(crate) fn is_rooted_without(&self, node: Node) -> bool {
        !self.position.path.is_empty() && !self.position.path.contains(&node)
    }

    /// Whether the other side, a control node, reports a link to `to`.
    pub(crate) fn is_linked_with(&self, to: Node) -> bool {
        self.position.peers.contains(&to)
    }

    /// Whether something was received within the time-out.
    pub(crate) fn is_alive(&self, now: Instant) -> bool {
        now - self.heard_at <= LINK_TIMEOUT
    }
}

/// A node to which no usable link could be established.
pub(crate) struct FailedDial {
    /// Earliest time of the next dial.
    pub(crate) retry_at: Instant,
    pub(crate) attempts: u32,
}

/// All links of a node, and its parent in the relay tree.
pub(crate) struct Links {
    pub(crate) up: BTreeMap<Node, Link>,
    /// Links being opened, by start time.
    pub(crate) dials: BTreeMap<Node, Instant>,
    pub(crate) failed: BTreeMap<Node, FailedDial>,
    /// Control nodes known now or earlier, the latest first. At most `MAX_FORMER_CONTROL_NODES`.
    pub(crate) former_control_nodes: Vec<Node>,
    pub(crate) parent: Option<Node>,
    pub(crate) candidates: ParentCandidates,
    /// Nodes have come or gone since `candidates` was computed.
    pub(crate) placement_changed: bool,
    pub(crate) last_dial_at: Instant,
    /// Since when the parent, though rooted, has been unsuitable.
    pub(crate) unsuitable_since: Option<Instant>,
    /// Since when the parent has had no path to a control node.
    pub(crate) unrooted_since: Option<Instant>,
    /// Whether the last announcement to the neighbours reported a path to a control node.
    pub(crate) announced_rooted: bool,
    /// When links are next reviewed without any other event.
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
            unsuitable_since: None,
            unrooted_since: None,
            announced_rooted: false,
            next_choice_at: now,
        }
    }

    /// Whether a link to the node is up or being opened.
    pub(crate) fn is_linked_or_dialling(&self, node: Node) -> bool {
        self.up.contains_key(&node) || self.dials.contains_key(&node)
    }

    pub(crate) fn has_hello_from(&self, node: Node) -> bool {
        self.up.get(&node).is_some_and(|link| link.has_hello)
    }

    /// Whether the node is linked and has a path to a control node that doesn't go through this node.
    pub(crate) fn is_rooted(&self, node: Node, local_node: Node) -> bool {
        self.up.get(&node).is_some_and(|link| link.has_hello && link.is_rooted_without(local_node))
    }

    /// The rank of a candidate; `usize::MAX` for any other node.
    pub(crate) fn candidate_rank(&self, node: Node) -> usize {
        self.candidates.nodes.iter().position(|other| *other == node).unwrap_or(usize::MAX)
    }
}
