//! Where a request goes.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::client_limits::ClientLimits;
use crate::configuration::Configuration;
use crate::destination::Destination;
use crate::route::{host_key, Route};

/// The routing table of a configuration, made once for each change. No larger than the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// By host, then by path prefix.
    routes: Vec<Route>,
    /// For each route, the one of the same host with the longest prefix that begins its own.
    enclosing: Vec<Option<usize>>,
    hosts: BTreeMap<String, Range<usize>>,
    destinations: BTreeMap<String, Destination>,
    limits: ClientLimits,
}

/// A route and the key of its host.
struct HostRoute {
    host: String,
    route: Route,
}

impl RoutingTable {
    /// The table of what stands in `configuration`. Destinations with a share of 0 are left out of the splits.
    pub fn new(configuration: &Configuration) -> RoutingTable {
        let host_route = |route: &Route| {
            let mut route = route.clone();
            route.split.retain(|to| to.weight > 0.0);
            HostRoute { host: host_key(&route.virtual_host).into_owned(), route }
        };
        let mut sorted: Vec<HostRoute> = configuration.routes().map(host_route).collect();
        sorted.sort_by(|a, b| {
            let by_prefix = a.route.path_prefix.cmp(&b.route.path_prefix);
            a.host.cmp(&b.host).then(by_prefix).then_with(|| a.route.name.cmp(&b.route.name))
        });
        let mut table = RoutingTable {
            limits: configuration.limits().copied().unwrap_or_default(),
            ..RoutingTable::default()
        };
        // The routes whose prefixes begin the present one, the longest last.
        let mut open: Vec<usize> = Vec::new();
        for (at, HostRoute { host, route }) in sorted.into_iter().enumerate() {
            let range = table.hosts.entry(host).or_insert(at..at);
            if range.start == range.end {
                open.clear();
            }
            range.end = at + 1;
            let encloses = |outer: usize| route.path_prefix.starts_with(&table.routes[outer].path_prefix);
            while open.last().is_some_and(|&outer| !encloses(outer)) {
                open.pop();
            }
            table.enclosing.push(open.last().copied());
            open.push(at);
            table.routes.push(route);
        }
        table.destinations = configuration.destinations().map(|d| (d.name.clone(), d.clone())).collect();
        table
    }

    /// The route of a request: among those of the host, which may be written in any case and with a port, the one with
    /// the longest prefix that begins the path. What follows a `?` is not part of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let range = self.hosts.get(host_key(host).as_ref())?.clone();
        let below = self.routes[range.clone()].partition_point(|route| route.path_prefix.as_str() <= path);
        // All prefixes that begin the path also begin the greatest prefix not above it: whatever lies between a prefix of the
        // path and the path begins with that prefix.
        let mut at = (range.start + below).checked_sub(1).filter(|at| range.contains(at));
        while let Some(i) = at {
            if path.starts_with(&self.routes[i].path_prefix) {
                return Some(&self.routes[i]);
            }
            at = self.enclosing[i];
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

    /// All routes, by host and path prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// The limits, or the defaults where none were sent.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }
}
