//! Which linked control nodes make a majority of the replicas. Decided by the control store, which hands it over whenever its
//! replica set changes; nothing here knows how.
use crate::node::Node;

/// The groups of replicas of each of which more than half have to be linked: one, or two while a replica is replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlQuorum {
    /// The version of the replica set; 0: it is not known, and nothing is a majority.
    pub version: u64,
    /// The groups.
    pub groups: Vec<Vec<Node>>,
}

impl ControlQuorum {
    /// Whether the nodes of which this holds include more than half of each group.
    pub(crate) fn is_met_by(&self, is_linked: impl Fn(Node) -> bool) -> bool {
        let has_majority =
            |group: &Vec<Node>| 2 * group.iter().filter(|node| is_linked(**node)).count() > group.len();
        self.version > 0 && !self.groups.is_empty() && self.groups.iter().all(has_majority)
    }
}
