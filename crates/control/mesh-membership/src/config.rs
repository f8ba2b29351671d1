//! What a process is given at its start. Holds no rule of membership but the order in which seeds are tried; go on with
//! `membership`.
use crate::hash::mix;
use crate::node::Node;

/// What a process knows when it starts.
#[derive(Clone, PartialEq, Debug)]
pub struct MembershipConfig {
    /// The node that this process runs on.
    pub local_node: Node,
    /// Its zone.
    pub zone: String,
    /// Whether it is one of the machines that hold the control state.
    pub is_control: bool,
    /// Some control nodes, which may be down.
    pub seeds: Vec<Node>,
    /// A proposal for its incarnation; a higher one is taken when a record of it is found that it didn't write.
    pub incarnation: u64,
    /// For draws: another one at each start.
    pub random_seed: u64,
}

impl MembershipConfig {
    /// The given seeds but the local node, each once, in an order of this node's own, so that not all nodes dial the same
    /// one first.
    pub(crate) fn shuffled(&self, seeds: &[Node]) -> Vec<Node> {
        let mut seeds: Vec<Node> = seeds.iter().copied().filter(|node| *node != self.local_node).collect();
        seeds.sort_unstable_by_key(|node| (mix(self.random_seed ^ u64::from(node.0)), *node));
        seeds.dedup();
        seeds
    }
}
