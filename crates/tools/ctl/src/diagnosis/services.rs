//! The services: whether each has an upstream that can be sent to.
use super::finding::Finding;
use super::subject::{PresentNode, Subject};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Default)]
struct UpstreamCount {
    known: usize,
    usable: usize,
}

/// Services none of whose upstreams can be sent to.
pub(crate) fn check(subject: &Subject<'_>) -> Vec<Finding> {
    let mut services: BTreeMap<&str, UpstreamCount> = BTreeMap::new();
    for PresentNode { record, .. } in subject.present_nodes() {
        let Some(upstream) = record.upstream() else { continue };
        let is_usable = !upstream.is_silent() && !upstream.is_draining() && !record.is_leaving();
        let count = services.entry(upstream.service()).or_default();
        count.known += 1;
        count.usable += usize::from(is_usable);
    }
    let likely = "all of them drain, are silent or leave: start others";
    let unusable = services.into_iter().filter(|(_, count)| count.usable == 0);
    unusable
        .map(|(service, count)| {
            let seen = format!("{} known, none can be sent to", count.known);
            Finding::bad("no upstream usable", service, seen, likely)
        })
        .collect()
}
