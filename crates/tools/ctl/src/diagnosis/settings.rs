//! What should be alike on all nodes, the zones and the version of the program, and counters that should be 0.
use super::finding::Finding;
use super::subject::Subject;
use crate::wire::Metric;
use serde_json::Value;
use std::collections::BTreeMap;

/// A setting that has to be alike everywhere.
struct Shared {
    /// Its name in a node's state.
    key: &'static str,
    /// The name of the finding.
    finding: &'static str,
    likely: &'static str,
}

const SHARED: [Shared; 2] = [
    Shared {
        key: "zones",
        finding: "zones differ",
        likely: "its settings file names other zones: mend `zones` there and start it again",
    },
    Shared {
        key: "version",
        finding: "versions differ",
        likely: "a release is under way, or stopped half-way",
    },
];

/// Counters that should be 0, with the likely reason where one is not.
const COUNTERS: [(Metric, &str); 2] = [
    (
        Metric::RejectedConnections,
        "clients' connections were closed for want of descriptors: raise fileHandles",
    ),
    (
        Metric::UnknownPeers,
        "another version or something else calls its internalPorts: one version, ports closed to others",
    ),
];

fn check_shared(subject: &Subject<'_>, shared: &Shared) -> Vec<Finding> {
    let mut nodes_by_value: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for (address, state) in &subject.states {
        let value: &Value = &state.json()[shared.key];
        if !value.is_null() {
            nodes_by_value.entry(value.to_string()).or_default().push(address);
        }
    }
    let Some(most) = nodes_by_value.iter().max_by_key(|(_, nodes)| nodes.len()).map(|(value, _)| value)
    else {
        return Vec::new();
    };
    let others = nodes_by_value.iter().filter(|(value, _)| *value != most);
    others
        .map(|(value, nodes)| {
            let seen = format!("{value} here, {most} at most others");
            Finding::bad(shared.finding, nodes.join(", "), seen, shared.likely)
        })
        .collect()
}

fn check_counters(subject: &Subject<'_>, address: &str) -> Vec<Finding> {
    let Some(metrics) = subject.metrics(address) else { return Vec::new() };
    let mut found = Vec::new();
    for (metric, likely) in COUNTERS {
        let (name, count) = (metric.wire_name(), metrics.count(metric).unwrap_or(0));
        if count > 0 {
            let seen = format!("{name} {count} since it began");
            found.push(Finding::note(name, subject.name(address), seen, likely));
        }
    }
    found
}

/// Settings that differ, and counters that are not 0.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let mut found: Vec<Finding> = SHARED.iter().flat_map(|shared| check_shared(subject, shared)).collect();
    found.extend(subject.states.keys().flat_map(|address| check_counters(subject, address)));
    found
}
