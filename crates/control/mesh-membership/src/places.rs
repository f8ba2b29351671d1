//! Places on the ring and in the tree, of those that are believed to be there.
use crate::{mix, mix_bytes, Node, TREE_FANOUT};
use std::collections::BTreeMap;

const RING: u64 = 0x52;
const TREE: u64 = 0x54;

/// Kept in order as nodes come and go, so nothing is sorted anew.
#[derive(Default)]
pub(crate) struct Places {
    ring: Vec<(u64, Node)>,
    sides: BTreeMap<String, Vec<(u64, Node)>>,
    pub control_nodes: BTreeMap<Node, String>,
}

fn ring_place(node: Node) -> (u64, Node) {
    (mix(u64::from(node.0) ^ (RING << 32)), node)
}

fn tree_place(node: Node) -> (u64, Node) {
    (mix(u64::from(node.0) ^ (TREE << 32)), node)
}

fn insert(list: &mut Vec<(u64, Node)>, place: (u64, Node)) {
    if let Err(at) = list.binary_search(&place) {
        list.insert(at, place);
    }
}

fn remove(list: &mut Vec<(u64, Node)>, place: (u64, Node)) {
    if let Ok(at) = list.binary_search(&place) {
        list.remove(at);
    }
}

/// Parents to choose from, the best first.
#[derive(Default)]
pub(crate) struct Candidates {
    pub nodes: Vec<Node>,
    /// Those before this are lower in the order of the tree, so no two nodes can each have the other.
    pub lower: usize,
}

impl Places {
    pub fn add(&mut self, node: Node, zone: &str, is_control: bool) {
        insert(&mut self.ring, ring_place(node));
        if is_control {
            self.control_nodes.insert(node, zone.to_string());
        } else {
            insert(self.sides.entry(zone.to_string()).or_default(), tree_place(node));
        }
    }

    pub fn remove(&mut self, node: Node, zone: &str, is_control: bool) {
        remove(&mut self.ring, ring_place(node));
        if is_control {
            self.control_nodes.remove(&node);
        } else if let Some(list) = self.sides.get_mut(zone) {
            remove(list, tree_place(node));
            if list.is_empty() {
                self.sides.remove(zone);
            }
        }
    }

    pub fn count(&self) -> usize {
        self.ring.len()
    }

    /// The next nodes on the ring, or the last before it, without itself.
    pub fn neighbours(&self, node: Node, count: usize, forward: bool) -> Vec<Node> {
        let length = self.ring.len();
        let (start, present) = match self.ring.binary_search(&ring_place(node)) {
            Ok(at) => (at, true),
            Err(at) => (at, false),
        };
        let most = count.min(length - usize::from(present));
        let step = |i: usize| match (forward, present) {
            (true, true) => (start + 1 + i) % length,
            (true, false) => (start + i) % length,
            (false, _) => (start + 2 * length - 1 - i) % length,
        };
        (0..most).map(|i| self.ring[step(i)].1).collect()
    }

    pub fn rank(&self, zone: &str, node: Node) -> Option<usize> {
        self.sides.get(zone)?.binary_search(&tree_place(node)).ok()
    }

    fn has_core(&self, zone: &str) -> bool {
        self.control_nodes.values().any(|of| of == zone)
    }

    /// The rank above, `None` for those that are directly below a core node.
    fn above(rank: usize, core_here: bool) -> Option<usize> {
        if core_here {
            (rank / TREE_FANOUT).checked_sub(1)
        } else {
            rank.checked_sub(1).map(|rank| rank / TREE_FANOUT)
        }
    }

    fn level(rank: usize, core_here: bool) -> usize {
        std::iter::successors(Some(rank), |rank| Self::above(*rank, core_here)).count()
    }

    /// Whether `parent` is as good as the proper one: of the zone, and one level above.
    pub fn fits(&self, local_node: Node, zone: &str, parent: Node) -> bool {
        let core_here = self.has_core(zone);
        let Some(rank) = self.rank(zone, local_node) else { return false };
        let level = Self::level(rank, core_here);
        match self.control_nodes.get(&parent) {
            Some(of) => level == 1 && (!core_here || of == zone),
            None => self.rank(zone, parent).is_some_and(|above| Self::level(above, core_here) + 1 == level),
        }
    }

    /// Whom a side node goes to, in order. `further` are core nodes that may have come back.
    pub fn candidates(&self, local_node: Node, zone: &str, further: &[Node]) -> Candidates {
        let none = Vec::new();
        let sides = self.sides.get(zone).unwrap_or(&none);
        let core_here = self.has_core(zone);
        let rank = self.rank(zone, local_node).unwrap_or(sides.len());
        let mut nodes: Vec<Node> = Vec::new();
        let mut push = |node: Node| {
            if node != local_node && !nodes.contains(&node) {
                nodes.push(node);
            }
        };
        let mut at = rank;
        while let Some(above) = Self::above(at, core_here) {
            sides.get(above).into_iter().for_each(|place| push(place.1));
            at = above;
        }
        let place = mix_bytes(zone.as_bytes());
        let mut control_nodes: Vec<(bool, u64, Node)> = self
            .control_nodes
            .iter()
            .map(|(is_control, of)| {
                let salt = if of == zone { u64::from(local_node.0) } else { place };
                (of != zone, mix(salt ^ mix(u64::from(is_control.0))), *is_control)
            })
            .collect();
        control_nodes.sort_unstable();
        control_nodes.iter().for_each(|is_control| push(is_control.2));
        sides.iter().take(rank.min(TREE_FANOUT)).for_each(|place| push(place.1));
        let firsts = |smaller: bool| {
            let others =
                self.sides.iter().filter(move |(of, _)| (of.as_str() < zone) == smaller && *of != zone);
            others.filter_map(|(_, list)| list.first()).map(|place| place.1).take(TREE_FANOUT)
        };
        if rank == 0 {
            firsts(true).for_each(&mut push);
        }
        further.iter().for_each(|node| push(*node));
        sides.iter().skip(rank + 1).take(TREE_FANOUT).for_each(|place| push(place.1));
        let higher_firsts: Vec<Node> = firsts(false).collect();
        if rank == 0 {
            higher_firsts.iter().for_each(|node| push(*node));
        }
        let is_higher = |node: &Node| {
            higher_firsts.contains(node) || self.rank(zone, *node).is_some_and(|other| other > rank)
        };
        let lower = nodes.iter().position(|node| is_higher(node) && !further.contains(node));
        Candidates { lower: lower.unwrap_or(nodes.len()), nodes }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zone_of(count: u32, is_control: bool) -> Places {
        let mut places = Places::default();
        (1..=count).for_each(|node| places.add(Node(node), "a", false));
        if is_control {
            places.add(Node(1_000), "a", true);
        }
        places.add(Node(1_001), "b", true);
        places.add(Node(1_002), "c", true);
        places
    }

    #[test]
    fn four_of_a_zone_are_below_its_core_and_four_below_each_of_those() {
        let places = zone_of(30, true);
        let by_rank: Vec<Node> = places.sides["a"].iter().map(|place| place.1).collect();
        for (rank, node) in by_rank.iter().enumerate() {
            let found = places.candidates(*node, "a", &[]);
            let proper = if rank < TREE_FANOUT { Node(1_000) } else { by_rank[rank / TREE_FANOUT - 1] };
            assert_eq!(found.nodes[0], proper);
            assert!(places.fits(*node, "a", proper));
            assert!(found.nodes.contains(&Node(1_001)) && !found.nodes.contains(node));
            for lower in &found.nodes[..found.lower] {
                assert!(places.rank("a", *lower).is_none_or(|other| other < rank));
            }
        }
        assert!(!places.fits(by_rank[25], "a", by_rank[1]), "two levels above");
        assert!(places.fits(by_rank[25], "a", by_rank[9]), "another of the level above");
    }

    #[test]
    fn without_a_core_node_one_link_leaves_the_zone() {
        let places = zone_of(30, false);
        let by_rank: Vec<Node> = places.sides["a"].iter().map(|place| place.1).collect();
        let crossing = by_rank.iter().filter(|node| places.candidates(**node, "a", &[]).nodes[0].0 > 1_000);
        assert_eq!(crossing.collect::<Vec<_>>(), [&by_rank[0]]);
        assert_eq!(places.candidates(by_rank[4], "a", &[]).nodes[0], by_rank[0]);
        assert_eq!(places.candidates(by_rank[5], "a", &[]).nodes[0], by_rank[1]);
    }

    #[test]
    fn watchers_and_watched_are_the_same_pairs() {
        let places = zone_of(9, true);
        for place in &places.ring {
            let watchers = places.neighbours(place.1, 3, true);
            assert_eq!(watchers.len(), 3);
            for watcher in watchers {
                assert!(places.neighbours(watcher, 3, false).contains(&place.1));
            }
        }
    }
}
