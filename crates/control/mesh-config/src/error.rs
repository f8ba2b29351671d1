//! Errors of an operator's call.

use silvercross_config_item::{ItemError, ItemProblem};
use silvercross_throttle::MemberProblem;
use thiserror::Error;

use crate::wire::{DELIVER, ROUTES_OF_HOST, VIRTUAL_HOST, WITHDRAW};

/// Why a call is invalid: where, why, and how to fix it. The item is identified by its name, by its position
/// (`members[2]`) if it has no name, or it is `body`.
pub type ConfigurationError = ItemError<ConfigurationProblem>;

/// Problems that a call can have; the text says in parentheses how to fix them.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigurationProblem {
    /// A problem that items of any kind can have.
    #[error(transparent)]
    Item(#[from] ItemProblem),
    /// A problem of a member.
    #[error(transparent)]
    Member(MemberProblem),
    /// The body is too long.
    #[error("is above {max_bytes} bytes (send fewer items in a call)")]
    BodyTooLong {
        /// Maximum length of a body.
        max_bytes: usize,
    },
    /// The body is not valid JSON.
    #[error("can't be read whole: {parser} (send one whole JSON object)")]
    InvalidJson {
        /// The error message of the JSON parser.
        parser: String,
    },
    /// The body is valid JSON but not an object.
    #[error("is not an object (send {{\"{DELIVER}\":{{...}},\"{WITHDRAW}\":{{...}}}})")]
    BodyIsNoObject,
    /// An unknown list has items, which would be acknowledged and then lost.
    #[error("is not known here and can't be kept (send {})", known.join(", "))]
    UnknownList {
        /// The known lists.
        known: Vec<&'static str>,
    },
    /// A value does not have the type that its key requires.
    #[error("{0} (mend the value)")]
    WrongValue(figment::error::Kind),
    /// A group of routes is not an object.
    #[error("is not an object (send {{\"{VIRTUAL_HOST}\":HOST,\"{ROUTES_OF_HOST}\":[...]}})")]
    VirtualHostIsNoObject,
    /// The name of a virtual host is empty.
    #[error("is empty (give the host)")]
    EmptyVirtualHost,
    /// The name of a virtual host is missing or not a string.
    #[error("is missing or not a string (give the host)")]
    NoVirtualHost,
    /// Two routes have the same path prefix on the same virtual host.
    #[error("{path_prefix} of {virtual_host} is route {other}'s (keep one of them there)")]
    PathPrefixTaken {
        /// The path prefix.
        path_prefix: String,
        /// The virtual host.
        virtual_host: String,
        /// The other route with this prefix.
        other: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("must begin and end with a slash (give a prefix like /a/b/)")]
    MalformedPathPrefix,
    /// A route's kind is unknown.
    #[error("is not a kind of route (give safe, unsafe or upload)")]
    UnknownRouteKind,
    /// A route allows no attempts.
    #[error("must be at least 1 (give how many upstreams one try may reach)")]
    NoAttempts,
    /// A route has both a destination and a split.
    #[error("stands beside destination (give one of the two)")]
    SplitAndDestination,
    /// A route has neither a destination nor a split.
    #[error("is missing, and so is split (give one of them)")]
    NoDestination,
    /// The name of a destination is empty, or a split has no destinations.
    #[error("is empty (name a destination)")]
    EmptyDestination,
    /// A share of a split is negative or not finite, or the sum of the shares is not finite.
    #[error("is below 0 or too large (give finite shares, 0 or above)")]
    ShareOutOfRange,
    /// All shares of a split are 0.
    #[error("is 0 for all (give one destination a share above 0)")]
    AllSharesZero,
    /// A health check path is not valid in a request line.
    #[error("must begin with a slash and hold visible ASCII only (give a path like /health)")]
    MalformedHealthPath,
    /// A destination allows no connections.
    #[error("must be at least 1 (give how many connections an upstream takes)")]
    NoConnections,
    /// The duration of a slow start is below 0.
    #[error("must not be below 0 (give the seconds)")]
    NegativeSlowStart,
    /// The rate of a slow start is below 0.
    #[error("must not be below 0 (give the requests a second)")]
    NegativeSlowStartRate,
    /// A size limit is 0.
    #[error("must be above 0 (give the bytes)")]
    NoBytes,
    /// A route names a destination that would not exist.
    #[error("names {destination}, which is no destination here (send that destination as well)")]
    UnknownDestination {
        /// The destination.
        destination: String,
    },
    /// A withdrawn destination is used by a route.
    #[error("is withdrawn while route {route} names it (move that route first)")]
    DestinationInUse {
        /// The route.
        route: String,
    },
    /// The members' items would be too large in total.
    #[error("would be {bytes} bytes, above {max_bytes} (withdraw some, or send shorter items)")]
    MemberListTooLarge {
        /// The resulting size.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// No entry is stored under a name, and the item may have been withdrawn at this version or a later one.
    #[error(
        "{version} is not above {floor}, up to which names like it were dropped and are no longer known (raise the edition \
         above that)"
    )]
    VersionNotAboveFloor {
        /// The version.
        version: u64,
        /// The highest version at which the name may have been withdrawn.
        floor: u64,
    },
}
