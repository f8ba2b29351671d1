//! The parents that a sidecar may choose from, the best first. Decides the order alone; which of them is dialled and kept
//! stands in `relay_tree`.
use crate::hash::{mix, mix_bytes};
use crate::limits::TREE_FANOUT;
use crate::node::Node;
use crate::placement::Placement;

/// Parents to choose from, the best first.
#[derive(Default)]
pub(crate) struct ParentCandidates {
    pub(crate) nodes: Vec<Node>,
    /// Candidates before this index are lower in the order of the tree, so no two nodes can each have the other as parent.
    pub(crate) lower: usize,
}

impl ParentCandidates {
    /// Whom a sidecar goes to, in order: its ancestors, control nodes, the first of its zone, the first of other zones
    /// (only from the first of a zone), `further` control nodes that may have come back, then those after it.
    pub(crate) fn of(placement: &Placement, node: Node, zone: &str, further: &[Node]) -> Self {
        let sidecars = placement.sidecars_of(zone);
        let tree = placement.zone_tree(zone);
        let rank = placement.rank(zone, node).unwrap_or(sidecars.len());
        let mut nodes: Vec<Node> = Vec::new();
        let mut push = |candidate: Node| {
            if candidate != node && !nodes.contains(&candidate) {
                nodes.push(candidate);
            }
        };
        let ancestors = std::iter::successors(tree.parent_rank(rank), |rank| tree.parent_rank(*rank));
        ancestors.filter_map(|rank| sidecars.get(rank)).for_each(|ancestor| push(ancestor.node));
        control_nodes_in_order(placement, node, zone).into_iter().for_each(&mut push);
        sidecars.iter().take(rank.min(TREE_FANOUT)).for_each(|position| push(position.node));
        if rank == 0 {
            first_of_other_zones(placement, zone, Side::Before).for_each(&mut push);
        }
        further.iter().for_each(|node| push(*node));
        sidecars.iter().skip(rank + 1).take(TREE_FANOUT).for_each(|position| push(position.node));
        let higher_firsts: Vec<Node> = first_of_other_zones(placement, zone, Side::After).collect();
        if rank == 0 {
            higher_firsts.iter().for_each(|node| push(*node));
        }
        let is_higher = |node: &Node| {
            higher_firsts.contains(node) || placement.rank(zone, *node).is_some_and(|other| other > rank)
        };
        let lower = nodes.iter().position(|node| is_higher(node) && !further.contains(node));
        ParentCandidates { lower: lower.unwrap_or(nodes.len()), nodes }
    }

    /// The parent that the tree gives the node.
    pub(crate) fn proper(&self) -> Option<Node> {
        self.nodes.first().copied()
    }
}

/// Those of the zone first. Sidecars of a zone spread over the zone's control nodes, but all go to the same ones elsewhere.
fn control_nodes_in_order(placement: &Placement, node: Node, zone: &str) -> Vec<Node> {
    let zone_salt = mix_bytes(zone.as_bytes());
    let mut ordered: Vec<(bool, u64, Node)> = placement
        .control_nodes()
        .iter()
        .map(|(control_node, of)| {
            let salt = if of == zone { u64::from(node.0) } else { zone_salt };
            (of != zone, mix(salt ^ mix(u64::from(control_node.0))), *control_node)
        })
        .collect();
    ordered.sort_unstable();
    ordered.into_iter().map(|(_, _, control_node)| control_node).collect()
}

/// Zones before or after a zone in the order of their names.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Before,
    After,
}

/// The first sidecars of other zones.
fn first_of_other_zones<'a>(
    placement: &'a Placement,
    zone: &'a str,
    side: Side,
) -> impl Iterator<Item = Node> + 'a {
    let others = placement
        .sidecars()
        .iter()
        .filter(move |(of, _)| *of != zone && (of.as_str() < zone) == (side == Side::Before));
    others.filter_map(|(_, positions)| positions.first()).map(|position| position.node).take(TREE_FANOUT)
}
