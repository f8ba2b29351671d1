//! Whether updates reach every node: its configuration, its parent, the revisions in force at it.
use super::finding::Finding;
use super::subject::Subject;
use crate::wire::{NodeState, Revision, CONFIGURATION_KEY};
use std::collections::BTreeSet;

/// A sidecar that was last up to date longer ago than this is behind, in microseconds.
const MAX_UPDATE_AGE_US: u64 = 5_000_000;

fn check_node(
    subject: &Subject<'_>,
    address: &str,
    state: &NodeState,
    keys: &BTreeSet<&str>,
) -> Vec<Finding> {
    let name = subject.name(address);
    let mut found = Vec::new();
    if !state.is_configured() && keys.contains(CONFIGURATION_KEY) {
        let likely = "its links are cut, or nothing reached it since it started: seeds, TCP on internalPorts";
        found.push(Finding::bad("no configuration", &name, "has none, others have", likely));
    }
    if state.is_control() {
        return found;
    }
    if state.parent().is_none() {
        let likely =
            "it reaches no node that has a way to a control node: TCP on internalPorts, seeds, the control nodes";
        found.push(Finding::bad("cut off", &name, "no node sends it updates", likely));
    }
    if let Some(age) = state.update_age_us().filter(|age| *age > MAX_UPDATE_AGE_US) {
        let likely = "the link to its parent stalls, or the parent has no way to a control node itself";
        let seen = format!("last known to be up to date {} s ago", age / 1_000_000);
        found.push(Finding::bad("stale", &name, seen, likely));
    }
    if state.is_configured() && !state.is_ready() {
        found.push(Finding::bad("not ready", &name, "tells the platform no", "it is being stopped"));
    }
    found
}

fn revision_text(revision: Option<Revision>) -> String {
    match revision {
        Some(Revision { epoch, change, .. }) => format!("epoch {epoch} change {change}"),
        None => "nothing".to_string(),
    }
}

/// Nodes at which an older revision of a key is in force than at others.
fn check_key(subject: &Subject<'_>, key: &str) -> Vec<Finding> {
    let highest = subject.states.values().filter_map(|state| state.revision(key)).max();
    let mut found = Vec::new();
    for (address, state) in &subject.states {
        let revision = state.revision(key);
        if revision < highest {
            let (here, elsewhere) = (revision_text(revision), revision_text(highest));
            let seen = format!("{key}: {here} here, {elsewhere} elsewhere");
            let likely = "updates do not reach it: its parent, then TCP on internalPorts between the two";
            found.push(Finding::bad("behind", subject.name(address), seen, likely));
        }
    }
    found
}

/// Nodes that updates do not reach.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let keys: BTreeSet<&str> = subject.states.values().flat_map(|state| state.keys()).collect();
    let nodes = subject.states.iter();
    let mut found: Vec<Finding> =
        nodes.flat_map(|(address, state)| check_node(subject, address, state, &keys)).collect();
    found.extend(keys.iter().flat_map(|key| check_key(subject, key)));
    found
}
