//! Routing of requests by host and path.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::client_limits::ClientLimits;
use crate::configuration::Configuration;
use crate::destination::Destination;
use crate::route::{host_key, Route};

/// The routing table of a configuration, built once per change. No larger than the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Sorted by host, then by path prefix.
    routes: Vec<Route>,
    /// For each route, the index of the route of the same host with the longest prefix of its path prefix.
    enclosing: Vec<Option<usize>>,
    hosts: BTreeMap<String, Range<usize>>,
    destinations: BTreeMap<String, Destination>,
    limits: ClientLimits,
}

/// A route with the key of its host.
struct HostRoute {
    host: String,
    route: Route,
}

impl RoutingTable {
    /// Builds the table of a configuration. Destinations with a share of 0 are left out of the splits.
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
        // The routes whose path prefix is a prefix of the present route's, the longest last.
        let mut enclosing_stack: Vec<usize> = Vec::new();
        for (index, HostRoute { host, route }) in sorted.into_iter().enumerate() {
            let range = table.hosts.entry(host).or_insert(index..index);
            if range.start == range.end {
                enclosing_stack.clear();
            }
            range.end = index + 1;
            let encloses = |outer: usize| route.path_prefix.starts_with(&table.routes[outer].path_prefix);
            while enclosing_stack.last().is_some_and(|&outer| !encloses(outer)) {
                enclosing_stack.pop();
            }
            table.enclosing.push(enclosing_stack.last().copied());
            enclosing_stack.push(index);
            table.routes.push(route);
        }
        table.destinations = configuration.destinations().map(|d| (d.name.clone(), d.clone())).collect();
        table
    }

    /// The route of a request: of those of the host, which may be written in any case and with a port, the one with the
    /// longest matching path prefix. The path ends at the first `?` or `#`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let range = self.hosts.get(host_key(host).as_ref())?.clone();
        let below = self.routes[range.clone()].partition_point(|route| route.path_prefix.as_str() <= path);
        // Every route that matches the path encloses the route with the greatest prefix not above the path, or is that
        // route: any string that sorts between a prefix of the path and the path itself begins with that prefix.
        let mut candidate = (range.start + below).checked_sub(1).filter(|at| range.contains(at));
        while let Some(i) = candidate {
            if path.starts_with(&self.routes[i].path_prefix) {
                return Some(&self.routes[i]);
            }
            candidate = self.enclosing[i];
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

    /// The limits, or the defaults if none were sent.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }
}
