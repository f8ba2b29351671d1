//! Start-up configuration of a node.
use crate::hash::mix;
use crate::node::Node;

/// Configuration that a process starts with.
#[derive(Clone, PartialEq, Debug)]
pub struct MembershipConfig {
    /// The node that this process runs on.
    pub local_node: Node,
    /// Zone of the local node.
    pub zone: String,
    /// Whether the local node is one of the machines that hold the control state.
    pub is_control: bool,
    /// Some of the control nodes; they may be down.
    pub seeds: Vec<Node>,
    /// Proposed incarnation of the local node; a higher one is used if others know a record of it that it
    /// didn't write.
    pub incarnation: u64,
    /// Seed for random values; different at each start.
    pub random_seed: u64,
}

impl MembershipConfig {
    /// The given seeds without the local node and without duplicates, in an order specific to this node, so
    /// that not all nodes dial the same seed first.
    pub(crate) fn shuffled_seeds(&self, seeds: &[Node]) -> Vec<Node> {
        let mut seeds: Vec<Node> = seeds.iter().copied().filter(|node| *node != self.local_node).collect();
        seeds.sort_unstable_by_key(|node| (mix(self.random_seed ^ u64::from(node.0)), *node));
        seeds.dedup();
        seeds
    }
}
