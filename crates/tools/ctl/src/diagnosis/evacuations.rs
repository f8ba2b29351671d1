//! Whether all nodes agree on which zones are evacuated.
use super::finding::Finding;
use super::subject::Subject;
use std::collections::{BTreeMap, BTreeSet};

/// Zones that are evacuated for all nodes, or only for some.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let mut zones: BTreeMap<&str, BTreeSet<&String>> = BTreeMap::new();
    for (address, state) in &subject.states {
        for zone in state.evacuated_zones() {
            zones.entry(zone).or_default().insert(address);
        }
    }
    let node_count = subject.states.len();
    let mut found = Vec::new();
    for (zone, nodes) in zones {
        if nodes.len() == node_count {
            let likely = "an operator began it (`silvercrossctl evacuate ZONE --end` ends it)";
            found.push(Finding::note("evacuated", zone, "nothing is sent to its upstreams", likely));
        } else {
            let missing: Vec<&String> =
                subject.states.keys().filter(|address| !nodes.contains(address)).collect();
            let seen = format!("evacuated for {} of {node_count} nodes, not for {missing:?}", nodes.len());
            let likely = "the update has not come everywhere: see who is behind or cut off";
            found.push(Finding::bad("evacuation differs", zone, seen, likely));
        }
    }
    found
}
