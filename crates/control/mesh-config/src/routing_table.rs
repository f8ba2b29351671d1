//! Where a request goes.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::configuration::Configuration;
use crate::item::{host_key, ClientLimits, Destination, Route};

/// The routing table of a configuration, made once for each change. No larger than the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// By host, then by lane.
    routes: Vec<Route>,
    /// For each route, the one of the same host with the longest lane that begins its own.
    outer: Vec<Option<usize>>,
    hosts: BTreeMap<String, Range<usize>>,
    destinations: BTreeMap<String, Destination>,
    limits: ClientLimits,
}

impl RoutingTable {
    /// The table of what stands in `configuration`. Destinations with a share of 0 are left out of the splits.
    pub fn new(configuration: &Configuration) -> RoutingTable {
        let mut keyed: Vec<(String, Route)> = configuration
            .routes()
            .map(|route| {
                let mut route = route.clone();
                route.split.retain(|(_, share)| *share > 0.0);
                (host_key(&route.virtual_host).into_owned(), route)
            })
            .collect();
        keyed.sort_by(|(a, x), (b, y)| (a, &x.path_prefix, &x.name).cmp(&(b, &y.path_prefix, &y.name)));
        let mut table = RoutingTable {
            limits: configuration.limits().copied().unwrap_or_default(),
            ..RoutingTable::default()
        };
        let mut nested: Vec<usize> = Vec::new();
        for (at, (host, route)) in keyed.into_iter().enumerate() {
            let range = table.hosts.entry(host).or_insert(at..at);
            if range.end == at && range.start == at {
                nested.clear();
            }
            range.end = at + 1;
            while nested
                .last()
                .is_some_and(|&top| !route.path_prefix.starts_with(&table.routes[top].path_prefix))
            {
                nested.pop();
            }
            table.outer.push(nested.last().copied());
            nested.push(at);
            table.routes.push(route);
        }
        table.destinations = configuration.destinations().map(|d| (d.name.clone(), d.clone())).collect();
        table
    }

    /// The route of a request: among those of the host, which may be written in any case and with a port, the one with
    /// the longest lane that begins the path. What follows a `?` is not part of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let range = self.hosts.get(host_key(host).as_ref())?.clone();
        let below = self.routes[range.clone()].partition_point(|route| route.path_prefix.as_str() <= path);
        // All lanes that begin the path also begin the greatest lane not above it: whatever lies between a prefix of the
        // path and the path begins with that prefix.
        let mut at = (range.start + below).checked_sub(1).filter(|at| range.contains(at));
        while let Some(i) = at {
            if path.starts_with(&self.routes[i].path_prefix) {
                return Some(&self.routes[i]);
            }
            at = self.outer[i];
        }
        None
    }

    /// A destination by its name.
    pub fn destination(&self, name: &str) -> Option<&Destination> {
        self.destinations.get(name)
    }

    /// All destinations, by name.
    pub fn destinations(&self) -> impl Iterator<Item = &Destination> {
        self.destinations.values()
    }

    /// All routes, by host and lane.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// The limits, or the defaults where none were sent.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }
}
