//! What a configuration is made of.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use bitcode::{Decode, Encode};

use crate::canonical::canonical;
use crate::history::{ItemKind, Said};

/// No time in an item is longer (about 31 years): longer ones are cut to it, so that sums of times never overflow.
pub const MAX_DURATION: i64 = 1_000_000_000_000_000;

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each try.
    Unsafe,
    /// Large bodies; otherwise as `Unsafe`.
    Upload,
}

impl RouteKind {
    /// Whether a request of this kind may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }

    /// The operator's word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Upload => "upload",
        }
    }

    /// The kind an operator's word stands for.
    pub fn parse(as_str: &str) -> Option<RouteKind> {
        [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload].into_iter().find(|k| k.as_str() == as_str)
    }
}

/// Requests of one host whose path begins with `path_prefix`.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Its identity: a route that moves to another depot or lane stays the same item.
    pub name: String,
    /// The host, as the operator wrote it.
    pub virtual_host: String,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time a request is held; above 0.
    pub deadline: i64,
    /// The time within which an answer has its full worth; above 0. The deadline where none was sent.
    pub latency_target: i64,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// To how many upstreams one try may be sent; at least 1.
    pub max_attempts: u32,
    /// Destinations and their shares, of which one at least is above 0; one entry of share 1 where the operator named
    /// a single destination. In a [`RoutingTable`](crate::Table) all shares are above 0.
    pub split: Vec<(String, f64)>,
    /// The item's version.
    pub version: u64,
    /// The regions its requests may be served in; empty where none are named.
    pub regions: Vec<String>,
}

/// A service that requests go to.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Destination {
    /// Its identity.
    pub name: String,
    /// Where a probe asks whether an upstream is well. `/health` where none was sent.
    pub health_path: String,
    /// How many connections an upstream accepts from all callers together; at least 1. `u32::MAX` where none was sent.
    pub max_connections: u32,
    /// How long an upstream stays cold after a start; 0 where none was sent.
    pub slow_start: i64,
    /// Requests a second that a cold upstream bears. Infinite where none was sent.
    pub slow_start_rate: f64,
    /// The item's version.
    pub version: u64,
    /// What its upstreams speak; `h1` where none was sent.
    pub protocol: String,
    /// Whether its upstreams want the connection sealed.
    pub tls: bool,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head to come in.
    pub head_timeout: i64,
    /// Time a connection may stay idle.
    pub idle_timeout: i64,
    /// The item's version.
    pub version: u64,
}

impl Default for ClientLimits {
    /// What holds until an operator sends limits: wide, so that nothing proper is turned away.
    fn default() -> Self {
        ClientLimits {
            max_head_bytes: 64 << 10,
            max_body_bytes: 256 << 20,
            head_timeout: 10_000_000,
            idle_timeout: 60_000_000,
            version: 0,
        }
    }
}

/// What is wrong with a call: where, why, and what mends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// The item's name, its position (`depots[0].lanes[2]`) where it has none, or `body`.
    pub item: String,
    /// The key in the item.
    pub key: String,
    /// What is wrong and, in brackets, what mends it.
    pub reason: String,
}

impl ConfigurationError {
    pub(crate) fn new(item: impl Into<String>, key: impl Into<String>, reason: impl Into<String>) -> Self {
        ConfigurationError { item: item.into(), key: key.into(), reason: reason.into() }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "item {}, key {}: {}", self.item, self.key, self.reason)
    }
}

impl std::error::Error for ConfigurationError {}

/// An item's version.
pub(crate) trait Versioned {
    fn version(&self) -> u64;
}

impl Versioned for Route {
    fn version(&self) -> u64 {
        self.version
    }
}

impl Versioned for Destination {
    fn version(&self) -> u64 {
        self.version
    }
}

impl Versioned for ClientLimits {
    fn version(&self) -> u64 {
        self.version
    }
}

/// An item as it is used and as it was sent, with the fields that are not known here.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Item<T> {
    pub parsed: T,
    /// Its JSON, without blanks.
    pub raw_json: String,
}

impl<T: PartialEq> PartialEq for Item<T> {
    /// The same content: order of keys and the way a number is written don't matter.
    fn eq(&self, other: &Self) -> bool {
        self.parsed == other.parsed
            && (self.raw_json == other.raw_json || canonical(&self.raw_json) == canonical(&other.raw_json))
    }
}

/// What holds for a name.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum Entry<T> {
    Set(Item<T>),
    /// Kept so that an older setting of the name does not come back. `order` counts the drops of a configuration.
    Dropped {
        version: u64,
        order: u64,
    },
}

impl<T: PartialEq> PartialEq for Entry<T> {
    /// Equal if they mean the same; when an item was dropped doesn't matter.
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Entry::Set(a), Entry::Set(b)) => a == b,
            (Entry::Dropped { version: a, .. }, Entry::Dropped { version: b, .. }) => a == b,
            _ => false,
        }
    }
}

impl<T: Versioned> Entry<T> {
    pub fn version(&self) -> u64 {
        match self {
            Entry::Set(item) => item.parsed.version(),
            Entry::Dropped { version, .. } => *version,
        }
    }
}

impl<T> Entry<T> {
    pub fn item(&self) -> Option<&Item<T>> {
        match self {
            Entry::Set(item) => Some(item),
            Entry::Dropped { .. } => None,
        }
    }

    pub fn parsed(&self) -> Option<&T> {
        self.item().map(|item| &item.parsed)
    }
}

/// Names and what holds for them.
pub(crate) type Entries<T> = BTreeMap<String, Entry<T>>;

/// One call of the operator, checked as far as it can be without the present configuration. Holds at most what a body
/// of [`crate::MAX_BODY_BYTES`] bytes says.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationChange {
    pub(crate) routes: Entries<Route>,
    pub(crate) destinations: Entries<Destination>,
    pub(crate) limits: Option<Item<ClientLimits>>,
}

impl ConfigurationChange {
    /// Without these items.
    pub(crate) fn without(&self, known: &[(ItemKind, &str)]) -> ConfigurationChange {
        let mut rest = self.clone();
        for (kind, name) in known {
            match kind {
                ItemKind::Route => rest.routes.remove(*name).is_some(),
                ItemKind::Destination => rest.destinations.remove(*name).is_some(),
                _ => false,
            };
        }
        rest
    }

    /// All that it says.
    pub(crate) fn said(&self) -> impl Iterator<Item = Said<'_>> {
        let routes = self.routes.iter().map(|(name, entry)| Said::route(name, entry));
        let destinations = self.destinations.iter().map(|(name, entry)| Said::destination(name, entry));
        routes.chain(destinations).chain(self.limits.as_ref().map(Said::limits))
    }

    /// Whether the call names no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many items the call sets or drops.
    pub fn len(&self) -> usize {
        self.routes.len() + self.destinations.len() + usize::from(self.limits.is_some())
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
