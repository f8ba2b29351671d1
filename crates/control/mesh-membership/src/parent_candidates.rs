//! Ordered list of possible parents of a sidecar. Dialling and selecting one of them is in `relay_tree`.
use crate::hash::{mix, mix_bytes};
use crate::limits::TREE_FANOUT;
use crate::node::Node;
use crate::placement::Placement;

/// Possible parents, the best first.
#[derive(Default)]
pub(crate) struct ParentCandidates {
    pub(crate) nodes: Vec<Node>,
    /// Candidates before this index don't come after the node in tree order, so no two nodes can each have
    /// the other as parent.
    pub(crate) lower_end: usize,
}

impl ParentCandidates {
    /// Lists in order: the node's ancestors, control nodes, the first sidecars of its zone, the first of
    /// earlier zones (for the first sidecar of a zone only), `additional` control nodes that may have come
    /// back, and the sidecars and zones after it.
    pub(crate) fn for_node(placement: &Placement, node: Node, zone: &str, additional: &[Node]) -> Self {
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
        additional.iter().for_each(|node| push(*node));
        sidecars.iter().skip(rank + 1).take(TREE_FANOUT).for_each(|position| push(position.node));
        let first_of_higher_zones: Vec<Node> = first_of_other_zones(placement, zone, Side::After).collect();
        if rank == 0 {
            first_of_higher_zones.iter().for_each(|node| push(*node));
        }
        let is_higher = |node: &Node| {
            first_of_higher_zones.contains(node)
                || placement.rank(zone, *node).is_some_and(|other| other > rank)
        };
        let lower_end = nodes.iter().position(|node| is_higher(node) && !additional.contains(node));
        ParentCandidates { lower_end: lower_end.unwrap_or(nodes.len()), nodes }
    }

    /// The parent according to the tree.
    pub(crate) fn preferred(&self) -> Option<Node> {
        self.nodes.first().copied()
    }
}

/// Control nodes of the node's zone first. Within their zone sidecars are spread over the control nodes;
/// for other zones all sidecars of a zone use the same order.
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

/// Whether to list the zones before or after a zone in the order of their names.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Before,
    After,
}

/// The first sidecars of other zones on one side, at most [`TREE_FANOUT`].
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
