//! The control nodes: whether they agree on the replica set, form a quorum, and each key has one owner.
use super::finding::Finding;
use super::subject::Subject;
use crate::wire::{ControlState, NodeState};
use std::collections::{BTreeMap, BTreeSet};

/// What findings about all control nodes are about.
const ABOUT_ALL: &str = "control state";

type ReplicaSet<'v> = BTreeSet<&'v str>;

struct ControlNode<'v> {
    address: &'v str,
    state: ControlState<'v>,
}

impl<'v> ControlNode<'v> {
    fn replica_set(&self) -> ReplicaSet<'v> {
        self.state.replica_set().collect()
    }
}

fn control_nodes<'v>(subject: &'v Subject<'_>) -> Vec<ControlNode<'v>> {
    let mut nodes = Vec::new();
    for (address, state) in &subject.states {
        let state = NodeState::control_state(state);
        nodes.extend(state.map(|state| ControlNode { address, state }));
    }
    nodes
}

fn check_replica_sets(nodes: &[ControlNode<'_>], replica_sets: &BTreeSet<ReplicaSet<'_>>) -> Option<Finding> {
    if replica_sets.len() < 2 {
        return None;
    }
    let named = nodes.iter().map(|node| format!("{} names {:?}", node.address, node.replica_set()));
    let seen = named.collect::<Vec<_>>().join("; ");
    let likely =
        "their seeds differed at the first start: empty the dataDir of the odd one and start it with the others' seeds";
    Some(Finding::bad("replica sets differ", ABOUT_ALL, seen, likely))
}

fn check_node(subject: &Subject<'_>, node: &ControlNode<'_>) -> Option<Finding> {
    let name = subject.name(node.address);
    if !node.state.is_voter() {
        let likely =
            "its disk was empty at the start: it counts again once both others were up and have answered";
        return Some(Finding::bad("repairing", name, "has no complete replica yet", likely));
    }
    if !node.replica_set().contains(node.address) {
        let likely = "it was not among the seeds of the first start: it forwards calls and is no reserve";
        return Some(Finding::bad("no replica", name, "a control node outside the replica set", likely));
    }
    None
}

fn check_quorum(nodes: &[ControlNode<'_>], replica_set: &ReplicaSet<'_>) -> Option<Finding> {
    let voters = nodes.iter().filter(|n| n.state.is_voter() && replica_set.contains(n.address)).count();
    let quorum = replica_set.len() / 2 + 1;
    let seen = format!("{voters} of {} replicas answer", replica_set.len());
    let likely = "calls answer 503 until more are up: start them";
    (voters < quorum).then(|| Finding::bad("no quorum", ABOUT_ALL, seen, likely))
}

fn check_owners(nodes: &[ControlNode<'_>]) -> Vec<Finding> {
    let mut owners: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for node in nodes {
        for replica in node.state.replicas() {
            let owners = owners.entry(replica.key()).or_default();
            if replica.is_owner() {
                owners.push(node.address);
            }
        }
    }
    let mut found = Vec::new();
    for (key, owners) in owners {
        match owners.as_slice() {
            [_] => {}
            [] => found.push(Finding::bad(
                "no owner",
                key,
                "no node owns it",
                "its owner was lost and another takes it within seconds, or fewer than half of the replicas are up",
            )),
            several => found.push(Finding::bad(
                "two owners",
                key,
                format!("{} each believe so", several.join(" and ")),
                "one is cut off and has not noticed; it can commit nothing: links between control nodes",
            )),
        }
    }
    found
}

/// Replica sets that differ, replicas that do not count, a quorum that is missing, keys without one owner.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let nodes = control_nodes(subject);
    let replica_sets: BTreeSet<ReplicaSet<'_>> = nodes.iter().map(ControlNode::replica_set).collect();
    let mut found: Vec<Finding> = check_replica_sets(&nodes, &replica_sets).into_iter().collect();
    found.extend(nodes.iter().filter_map(|node| check_node(subject, node)));
    found.extend(replica_sets.iter().next().and_then(|replica_set| check_quorum(&nodes, replica_set)));
    found.extend(check_owners(&nodes));
    found
}
