//! The routes in force: whether there is an upstream of each service that they name.
use super::finding::Finding;
use super::subject::Subject;
use crate::wire::{list, text};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Routes that are named in a finding.
const MAX_NAMED_ROUTES: usize = 4;

/// The services to which a route sends a share of its requests; the wire's `destination` or `split`.
fn services_of(route: &Value) -> impl Iterator<Item = &str> {
    let with_share = list(route, "split").filter(|share| share["share"].as_f64() != Some(0.0));
    let split = with_share.map(|share| text(share, "destination"));
    route["destination"].as_str().into_iter().chain(split)
}

/// Services that routes name and of which there is no upstream.
pub(crate) fn check(subject: &Subject<'_>, configuration: &Value) -> Vec<Finding> {
    let upstreams = subject.present_nodes().filter_map(|node| node.record.upstream());
    let known: BTreeSet<&str> = upstreams.map(|upstream| upstream.service()).collect();
    let mut routes_by_service: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for route in list(configuration, "depots").flat_map(|host| list(host, "lanes")) {
        for service in services_of(route) {
            routes_by_service.entry(service).or_default().push(text(route, "name"));
        }
    }
    let unknown = routes_by_service.into_iter().filter(|(service, _)| !known.contains(service));
    let likely = "its machines are not up, or their settings name another destination";
    unknown
        .map(|(service, routes)| {
            let some = routes.iter().take(MAX_NAMED_ROUTES).copied().collect::<Vec<_>>().join(", ");
            let seen = format!("named by {} routes ({some})", routes.len());
            Finding::bad("service without upstreams", service, seen, likely)
        })
        .collect()
}
