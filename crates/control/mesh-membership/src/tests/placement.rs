//! Positions on the ring and in the tree, and the order of parent candidates.
use crate::limits::TREE_FANOUT;
use crate::node::Node;
use crate::parent_candidates::ParentCandidates;
use crate::placement::{Direction, Placement};

/// Zone a with the given number of sidecars and optionally a control node, and control nodes in zones b and
/// c.
fn zone_of(count: u32, with_control_node: bool) -> Placement {
    let mut placement = Placement::default();
    (1..=count).for_each(|node| placement.add(Node(node), "a", false));
    if with_control_node {
        placement.add(Node(1_000), "a", true);
    }
    placement.add(Node(1_001), "b", true);
    placement.add(Node(1_002), "c", true);
    placement
}

fn by_rank(placement: &Placement) -> Vec<Node> {
    placement.sidecars_of("a").iter().map(|position| position.node).collect()
}

fn candidates(placement: &Placement, node: Node) -> ParentCandidates {
    ParentCandidates::for_node(placement, node, "a", &[])
}

#[test]
fn four_of_a_zone_are_below_its_control_node_and_four_below_each_of_those() {
    let placement = zone_of(30, true);
    let by_rank = by_rank(&placement);
    for (rank, node) in by_rank.iter().enumerate() {
        let found = candidates(&placement, *node);
        let proper = if rank < TREE_FANOUT { Node(1_000) } else { by_rank[rank / TREE_FANOUT - 1] };
        assert_eq!(found.nodes[0], proper);
        assert!(placement.is_suitable_parent(*node, "a", proper));
        assert!(found.nodes.contains(&Node(1_001)) && !found.nodes.contains(node));
        for lower in &found.nodes[..found.lower_end] {
            assert!(placement.rank("a", *lower).is_none_or(|other| other < rank));
        }
    }
    assert!(!placement.is_suitable_parent(by_rank[25], "a", by_rank[1]), "two levels above");
    assert!(placement.is_suitable_parent(by_rank[25], "a", by_rank[9]), "another of the level above");
}

#[test]
fn without_a_control_node_one_link_leaves_the_zone() {
    let placement = zone_of(30, false);
    let by_rank = by_rank(&placement);
    let crossing = by_rank.iter().filter(|node| candidates(&placement, **node).nodes[0].0 > 1_000);
    assert_eq!(crossing.collect::<Vec<_>>(), [&by_rank[0]]);
    assert_eq!(candidates(&placement, by_rank[4]).nodes[0], by_rank[0]);
    assert_eq!(candidates(&placement, by_rank[5]).nodes[0], by_rank[1]);
}

#[test]
fn watchers_and_watched_are_the_same_pairs() {
    let placement = zone_of(9, true);
    let nodes = (1..=9).chain(1_000..=1_002).map(Node);
    for node in nodes {
        let watchers = placement.ring_neighbours(node, 3, Direction::Successors);
        assert_eq!(watchers.len(), 3);
        for watcher in watchers {
            assert!(placement.ring_neighbours(watcher, 3, Direction::Predecessors).contains(&node));
        }
    }
}
