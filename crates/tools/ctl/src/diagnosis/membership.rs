//! Who is in the mesh: nodes that do not answer, and nodes about which the others disagree.
use super::finding::Finding;
use super::subject::Subject;
use crate::mesh_client::NodeAnswer;

fn silent(subject: &Subject<'_>, address: &str, answer: &NodeAnswer) -> Finding {
    if let Some(record) = subject.records.get(address).filter(|record| record.is_gone()) {
        let likely = "it was stopped or its machine is down; forgotten after a minute";
        return Finding::note("gone", address, format!("gone, in zone {}", record.zone()), likely);
    }
    let is_there =
        |state: &crate::wire::NodeState| state.record_of(address).is_some_and(|record| !record.is_gone());
    let believers = subject.states.values().filter(|state| is_there(state)).count();
    let seen = format!("does not answer ({}), {believers} nodes take it for there", answer.reason);
    let likely = "the process stands still or its control port can't be reached from here: its log, its machine, the network";
    Finding::bad("silent", address, seen, likely)
}

/// How the other nodes see a node that answers.
fn disputed(subject: &Subject<'_>, address: &str) -> Vec<Finding> {
    let others = || subject.states.iter().filter(|(other, _)| *other != address).map(|(_, state)| state);
    let records = || others().map(|state| state.record_of(address));
    let gone = records().flatten().filter(|record| record.is_gone()).count();
    let unknown = records().filter(Option::is_none).count();
    let mut found = Vec::new();
    if gone > 0 {
        let seen = format!("answers here, but is gone for {gone} of {} nodes", others().count());
        let likely = "datagrams are lost or the machine stood still: UDP on internalPorts, processor time";
        found.push(Finding::bad("taken for gone", subject.name(address), seen, likely));
    }
    if unknown > 0 {
        let seen = format!("unknown to {unknown} of {} nodes", others().count());
        let likely = "cut off, or of another mesh: its seeds, TCP on internalPorts, its parent";
        found.push(Finding::bad("unknown", subject.name(address), seen, likely));
    }
    found
}

/// Nodes that are silent, gone, taken for gone or unknown.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let silent = subject.silent_nodes().map(|node| silent(subject, &node.address, node.answer));
    let mut found: Vec<Finding> = silent.collect();
    found.extend(subject.states.keys().flat_map(|address| disputed(subject, address)));
    found
}
