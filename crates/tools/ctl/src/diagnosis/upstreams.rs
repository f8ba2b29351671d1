//! The upstreams: what they do, and whether all nodes see them alike.
use super::finding::Finding;
use super::subject::{PresentNode, Subject};
use crate::wire::{NodeRecord, NodeState};
use std::collections::{BTreeMap, BTreeSet};

fn check_upstream(subject: &Subject<'_>, address: &str, record: NodeRecord<'_>) -> Option<Finding> {
    let Some(upstream) = record.upstream() else {
        let likely =
            "its upstream has not started, has signed off, or sends its heartbeats elsewhere: the application's log";
        return (!record.is_control())
            .then(|| Finding::note("no upstream", subject.name(address), "none beside it", likely));
    };
    let id = upstream.id();
    if upstream.is_silent() {
        let likely = "it crashed, hangs, or refuses connections: the application's log on that machine";
        let seen = format!("{id}: no heartbeats, or it refuses connections");
        return Some(Finding::bad("upstream silent", subject.name(address), seen, likely));
    }
    let seen = format!("{id} drains");
    let is_draining = upstream.is_draining();
    is_draining.then(|| Finding::note("draining", subject.name(address), seen, "a planned end or release"))
}

/// Upstreams of one identity beside several nodes.
fn check_identities(subject: &Subject<'_>) -> Vec<Finding> {
    let mut nodes_by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for PresentNode { address, record } in subject.present_nodes() {
        if let Some(upstream) = record.upstream() {
            nodes_by_id.entry(upstream.id()).or_default().push(address);
        }
    }
    let twice = nodes_by_id.into_iter().filter(|(_, nodes)| nodes.len() > 1);
    let likely = "two machines were started from one image or settings file: give each its own";
    twice
        .map(|(id, nodes)| {
            Finding::bad("upstream twice", id, format!("beside {}", nodes.join(" and ")), likely)
        })
        .collect()
}

/// Services of which a sidecar avoids every upstream.
fn check_avoided(subject: &Subject<'_>, address: &str) -> Vec<Finding> {
    let balancers = subject.metrics(address).into_iter().flat_map(|metrics| metrics.balancers());
    let likely = "they fail or can't be reached from its machine: if others avoid them too, look at the service, else at its network";
    balancers
        .filter(|balancer| balancer.listed() > 0 && balancer.avoided() == balancer.listed())
        .map(|balancer| {
            let seen = format!("avoids all {} upstreams of {}", balancer.listed(), balancer.service());
            Finding::bad("avoids all", subject.name(address), seen, likely)
        })
        .collect()
}

fn summaries<'r>(records: impl Iterator<Item = NodeRecord<'r>>) -> BTreeSet<String> {
    let upstreams = records.filter(|record| !record.is_gone()).filter_map(NodeRecord::upstream);
    upstreams.map(|upstream| upstream.summary()).collect()
}

/// Whether a node sees the upstreams as their newest records have them.
fn check_view(
    subject: &Subject<'_>,
    address: &str,
    state: &NodeState,
    newest: &BTreeSet<String>,
) -> Option<Finding> {
    let differing = summaries(state.records()).symmetric_difference(newest).count();
    let likely = "updates about upstreams do not reach it: its parent, TCP on internalPorts";
    let seen = format!("{differing} differ from what others know");
    (differing > 0).then(|| Finding::bad("upstreams differ", subject.name(address), seen, likely))
}

/// Upstreams that are missing, silent, draining or there twice; nodes that avoid them all or see them differently.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let present = subject.present_nodes();
    let mut found: Vec<Finding> =
        present.filter_map(|node| check_upstream(subject, node.address, node.record)).collect();
    found.extend(check_identities(subject));
    let newest = summaries(subject.records.values().copied());
    for (address, state) in &subject.states {
        found.extend(check_avoided(subject, address));
        found.extend(check_view(subject, address, state, &newest));
    }
    found
}
