//! Positions on the monitoring ring and in the relay tree of all nodes that are not known to be gone. The
//! same on all nodes that know the same records. The choice of a parent is in `parent_candidates`.
use crate::hash::mix;
use crate::limits::TREE_FANOUT;
use crate::node::Node;
use std::collections::BTreeMap;

/// Makes the ring position and the tree position of a node independent of each other.
const RING_SALT: u64 = 0x52 << 32;
const TREE_SALT: u64 = 0x54 << 32;

/// A node's position in an order by hash.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Position {
    hash: u64,
    pub(crate) node: Node,
}

impl Position {
    fn on_ring(node: Node) -> Self {
        Position { hash: mix(u64::from(node.0) ^ RING_SALT), node }
    }

    fn in_tree(node: Node) -> Self {
        Position { hash: mix(u64::from(node.0) ^ TREE_SALT), node }
    }
}

/// Which neighbours on the ring to list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Direction {
    /// The nodes after a node, which are its watchers.
    Successors,
    /// The nodes before a node, which it monitors.
    Predecessors,
}

/// The ring and the trees, kept sorted as nodes come and go.
#[derive(Default)]
pub(crate) struct Placement {
    ring: Vec<Position>,
    /// The sidecars of each zone in tree order.
    sidecars: BTreeMap<String, Vec<Position>>,
    /// Control nodes and their zones.
    control_nodes: BTreeMap<Node, String>,
}

fn insert(positions: &mut Vec<Position>, position: Position) {
    if let Err(at) = positions.binary_search(&position) {
        positions.insert(at, position);
    }
}

fn remove(positions: &mut Vec<Position>, position: Position) {
    if let Ok(at) = positions.binary_search(&position) {
        positions.remove(at);
    }
}

impl Placement {
    pub(crate) fn add(&mut self, node: Node, zone: &str, is_control: bool) {
        insert(&mut self.ring, Position::on_ring(node));
        if is_control {
            self.control_nodes.insert(node, zone.to_string());
        } else {
            insert(self.sidecars.entry(zone.to_string()).or_default(), Position::in_tree(node));
        }
    }

    pub(crate) fn remove(&mut self, node: Node, zone: &str, is_control: bool) {
        remove(&mut self.ring, Position::on_ring(node));
        if is_control {
            self.control_nodes.remove(&node);
        } else if let Some(positions) = self.sidecars.get_mut(zone) {
            remove(positions, Position::in_tree(node));
            if positions.is_empty() {
                self.sidecars.remove(zone);
            }
        }
    }

    /// Number of nodes on the ring.
    pub(crate) fn count(&self) -> usize {
        self.ring.len()
    }

    /// At most `count` neighbours of a node on the ring, the nearest first, without the node itself.
    pub(crate) fn ring_neighbours(&self, node: Node, count: usize, direction: Direction) -> Vec<Node> {
        let length = self.ring.len();
        let (start, present) = match self.ring.binary_search(&Position::on_ring(node)) {
            Ok(at) => (at, true),
            Err(at) => (at, false),
        };
        let limit = count.min(length - usize::from(present));
        let step = |i: usize| match (direction, present) {
            (Direction::Successors, true) => (start + 1 + i) % length,
            (Direction::Successors, false) => (start + i) % length,
            (Direction::Predecessors, _) => (start + 2 * length - 1 - i) % length,
        };
        (0..limit).map(|i| self.ring[step(i)].node).collect()
    }

    pub(crate) fn is_control(&self, node: Node) -> bool {
        self.control_nodes.contains_key(&node)
    }

    /// All control nodes and their zones.
    pub(crate) fn control_nodes(&self) -> &BTreeMap<Node, String> {
        &self.control_nodes
    }

    /// The sidecars of a zone in tree order.
    pub(crate) fn sidecars_of(&self, zone: &str) -> &[Position] {
        self.sidecars.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The sidecars of all zones.
    pub(crate) fn sidecars(&self) -> &BTreeMap<String, Vec<Position>> {
        &self.sidecars
    }

    /// A sidecar's rank in the tree of its zone; `None` if it is not in the zone.
    pub(crate) fn rank(&self, zone: &str, node: Node) -> Option<usize> {
        self.sidecars.get(zone)?.binary_search(&Position::in_tree(node)).ok()
    }

    /// The shape of the tree in a zone.
    pub(crate) fn zone_tree(&self, zone: &str) -> ZoneTree {
        ZoneTree { has_control_node: self.control_nodes.values().any(|of| of == zone) }
    }

    /// Whether `parent` is as good as the preferred one: in the same zone and one level above, or, for a
    /// sidecar of the first level in a zone without a control node, any control node.
    pub(crate) fn is_suitable_parent(&self, node: Node, zone: &str, parent: Node) -> bool {
        let tree = self.zone_tree(zone);
        let Some(rank) = self.rank(zone, node) else { return false };
        let level = tree.level(rank);
        match self.control_nodes.get(&parent) {
            Some(of) => level == 1 && (!tree.has_control_node || of == zone),
            None => self.rank(zone, parent).is_some_and(|above| tree.level(above) + 1 == level),
        }
    }
}

/// How the sidecars of a zone form a tree by rank.
#[derive(Clone, Copy)]
pub(crate) struct ZoneTree {
    /// Without a control node in the zone, only the first sidecar has a link out of the zone.
    has_control_node: bool,
}

impl ZoneTree {
    /// The rank of the parent; `None` for a sidecar directly below a control node.
    pub(crate) fn parent_rank(self, rank: usize) -> Option<usize> {
        if self.has_control_node {
            (rank / TREE_FANOUT).checked_sub(1)
        } else {
            rank.checked_sub(1).map(|rank| rank / TREE_FANOUT)
        }
    }

    /// Number of levels below the control nodes, starting at 1.
    fn level(self, rank: usize) -> usize {
        std::iter::successors(Some(rank), |rank| self.parent_rank(*rank)).count()
    }
}
