//! What is wrong with a call of the operator.

use silvercross_config_item::{ItemError, ItemProblem};
use silvercross_throttle::MemberProblem;
use thiserror::Error;

use crate::wire::{DELIVER, ROUTES_OF_HOST, VIRTUAL_HOST, WITHDRAW};

/// What is wrong with a call: where, why, and what mends it. The item is named by its name, by its position
/// (`members[2]`) where it has none, or it is `body`.
pub type ConfigurationError = ItemError<ConfigurationProblem>;

/// What may be wrong with a call; in brackets what mends it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigurationProblem {
    /// What may be wrong with any item.
    #[error(transparent)]
    Item(#[from] ItemProblem),
    /// What may be wrong with a member.
    #[error(transparent)]
    Member(MemberProblem),
    /// The body is too long.
    #[error("is above {max_bytes} bytes (send fewer items in a call)")]
    BodyTooLong {
        /// The longest body that is read.
        max_bytes: usize,
    },
    /// The body is no JSON.
    #[error("can't be read whole: {parser} (send one whole JSON object)")]
    NoJson {
        /// What the parser of JSON says.
        parser: String,
    },
    /// The body is some other JSON.
    #[error("is not an object (send {{\"{DELIVER}\":{{...}},\"{WITHDRAW}\":{{...}}}})")]
    BodyIsNoObject,
    /// A list that is not known here has items, which would be acknowledged and lost.
    #[error("is not known here and can't be kept (send {})", known.join(", "))]
    UnknownList {
        /// The lists that are known.
        known: Vec<&'static str>,
    },
    /// A value is not of the kind that its key needs.
    #[error("{0} (mend the value)")]
    WrongValue(figment::error::Kind),
    /// A group of routes is no object.
    #[error("is not an object (send {{\"{VIRTUAL_HOST}\":HOST,\"{ROUTES_OF_HOST}\":[...]}})")]
    VirtualHostIsNoObject,
    /// A virtual host is named by an empty text.
    #[error("is empty (give the host)")]
    EmptyVirtualHost,
    /// A virtual host has no name.
    #[error("is missing or not a string (give the host)")]
    NoVirtualHost,
    /// Two routes have one path prefix of one virtual host.
    #[error("{path_prefix} of {virtual_host} is route {other}'s (keep one of them there)")]
    PathPrefixTaken {
        /// The path prefix.
        path_prefix: String,
        /// The virtual host.
        virtual_host: String,
        /// The route that has it.
        other: String,
    },
    /// A path prefix is none.
    #[error("must begin and end with a slash (give a prefix like /a/b/)")]
    MalformedPathPrefix,
    /// A route's kind is none that is known.
    #[error("is not a kind of route (give safe, unsafe or upload)")]
    UnknownRouteKind,
    /// A route allows no attempt.
    #[error("must be at least 1 (give how many upstreams one try may reach)")]
    NoAttempts,
    /// A route has a destination and a split.
    #[error("stands beside destination (give one of the two)")]
    SplitAndDestination,
    /// A route has neither a destination nor a split.
    #[error("is missing, and so is split (give one of them)")]
    NoDestination,
    /// A destination in a split has no name, or the split has no destinations.
    #[error("is empty (name a destination)")]
    EmptyDestination,
    /// A share of a split is no weight.
    #[error("is below 0 or too large (give finite shares, 0 or above)")]
    ShareOutOfRange,
    /// All shares of a split are 0.
    #[error("is 0 for all (give one destination a share above 0)")]
    AllSharesZero,
    /// A path for health checks can't stand in a request line.
    #[error("must begin with a slash and hold visible ASCII only (give a path like /health)")]
    MalformedHealthPath,
    /// A destination takes no connection.
    #[error("must be at least 1 (give how many connections an upstream takes)")]
    NoConnections,
    /// A slow start is shorter than none.
    #[error("must not be below 0 (give the seconds)")]
    NegativeSlowStart,
    /// A rate for the slow start is below 0.
    #[error("must not be below 0 (give the requests a second)")]
    NegativeSlowStartRate,
    /// A limit of bytes is 0.
    #[error("must be above 0 (give the bytes)")]
    NoBytes,
    /// A route names a destination that would not be there.
    #[error("names {destination}, which is no destination here (send that destination as well)")]
    UnknownDestination {
        /// The destination.
        destination: String,
    },
    /// A destination is withdrawn that a route needs.
    #[error("is withdrawn while route {route} names it (move that route first)")]
    DestinationInUse {
        /// That route.
        route: String,
    },
    /// The members' items would be too large together.
    #[error("would be {bytes} bytes, above {max_bytes} (withdraw some, or send shorter items)")]
    MemberListTooLarge {
        /// How large they would be.
        bytes: usize,
        /// How large they may be.
        max_bytes: usize,
    },
    /// Nothing is known of a name, and its version is one at which it may have been withdrawn.
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
