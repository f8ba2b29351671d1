//! Routes: which requests they match and which destinations serve them.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use silvercross_config_item::{ItemError, RouteKind, Versioned};
use silvercross_time::Duration;

use crate::error::{ConfigurationError, ConfigurationProblem};
use crate::wire::PATH_PREFIX;

/// A destination of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WeightedDestination {
    /// The destination's name.
    pub name: String,
    /// Its share, relative to the sum of all shares of the split; finite, 0 or above.
    pub weight: f64,
}

/// How requests to one virtual host with one path prefix are served.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// The name, which identifies the item: a route that moves to another virtual host or prefix is still the same
    /// item.
    pub name: String,
    /// The host, as the operator wrote it.
    pub virtual_host: String,
    /// The path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// How the requests may be handled.
    pub kind: RouteKind,
    /// Maximum duration of a request; above 0.
    pub deadline: Duration,
    /// The time within which an answer has its full value; above 0. Default: the deadline.
    pub latency_target: Duration,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of upstreams that one request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Destinations and their shares, at least one of them above 0; a single entry with share 1 if the operator named
    /// one destination. In a [`RoutingTable`](crate::RoutingTable) all shares are above 0.
    pub split: Vec<WeightedDestination>,
    /// The item's version.
    pub version: u64,
    /// The regions in which its requests may be served; empty if none are named.
    pub regions: Vec<String>,
}

impl Versioned for Route {
    fn version(&self) -> u64 {
        self.version
    }
}

/// The key of a host in lookups: in lower case, without a port.
pub(crate) fn host_key(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let bare = if host.starts_with('[') {
        host.find(']').map_or(host, |end| &host[..=end])
    } else {
        match host.rsplit_once(':') {
            Some((bare, port)) if port.bytes().all(|b| b.is_ascii_digit()) => bare,
            _ => host,
        }
    };
    if bare.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(bare.to_ascii_lowercase())
    } else {
        Cow::Borrowed(bare)
    }
}

/// Checks that no two routes have the same path prefix on the same virtual host.
///
/// # Errors
/// [`ConfigurationProblem::PathPrefixTaken`].
pub(crate) fn check_path_prefixes<'a>(
    routes: impl Iterator<Item = &'a Route>,
) -> Result<(), ConfigurationError> {
    let mut seen = BTreeMap::new();
    for route in routes {
        let location = (host_key(&route.virtual_host), route.path_prefix.as_str());
        if let Some(other) = seen.insert(location, &route.name) {
            let problem = ConfigurationProblem::PathPrefixTaken {
                path_prefix: route.path_prefix.clone(),
                virtual_host: route.virtual_host.clone(),
                other: other.clone(),
            };
            return Err(ItemError::new(&route.name, PATH_PREFIX, problem));
        }
    }
    Ok(())
}
