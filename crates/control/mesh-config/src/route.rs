//! Routes: which requests they are for and which destinations serve them.

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
    /// Its share, by the sum of all shares of the split; finite, 0 or above.
    pub weight: f64,
}

/// Requests to one virtual host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Its identity: a route that moves to another virtual host or prefix stays the same item.
    pub name: String,
    /// The host, as the operator wrote it.
    pub virtual_host: String,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time a request may take; above 0.
    pub deadline: Duration,
    /// The time within which an answer has its full value; above 0. The deadline where none was sent.
    pub latency_target: Duration,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// To how many upstreams one request may be sent; at least 1.
    pub max_attempts: u32,
    /// Destinations and their shares, of which one at least is above 0; one entry of share 1 where the operator named a
    /// single destination. In a [`RoutingTable`](crate::RoutingTable) all shares are above 0.
    pub split: Vec<WeightedDestination>,
    /// The item's version.
    pub version: u64,
    /// The regions its requests may be served in; empty where none are named.
    pub regions: Vec<String>,
}

impl Versioned for Route {
    fn version(&self) -> u64 {
        self.version
    }
}

/// The host by which routes are found: in lower case, without a port.
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

/// Whether each prefix of a virtual host has one route.
///
/// # Errors
/// [`ConfigurationProblem::PathPrefixTaken`].
pub(crate) fn check_path_prefixes<'a>(
    routes: impl Iterator<Item = &'a Route>,
) -> Result<(), ConfigurationError> {
    let mut taken = BTreeMap::new();
    for route in routes {
        let place = (host_key(&route.virtual_host), route.path_prefix.as_str());
        if let Some(other) = taken.insert(place, &route.name) {
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
