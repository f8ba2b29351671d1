//! The configuration of the mesh, without I/O: parsing the items that an operator sends ([`parse_change`],
//! [`parse_update`]), deciding which of them are in force ([`Configuration`]: the highest version of each name wins,
//! whether it sets or withdraws; [`ConfigurationWithMembers`] includes members; [`VersionedConfiguration`] includes the
//! history of versions) and routing requests ([`RoutingTable`]).
//!
//! Replication (`silvercross-control-store`) and forwarding are separate. Rules common to all items are in
//! `silvercross-config-item`, members in `silvercross-throttle`.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod change;
mod client_limits;
mod configuration;
mod consistency;
mod delivered_size;
mod destination;
mod error;
mod history;
mod item_version;
#[doc(hidden)]
pub mod mutation;
mod parse;
mod rejection;
mod route;
mod routing_table;
mod versioned;
mod wire;
mod with_members;

pub use change::{ConfigurationChange, ConfigurationUpdate};
pub use client_limits::ClientLimits;
pub use configuration::{Configuration, NamedTombstone, MAX_TOMBSTONES};
pub use consistency::MAX_ITEMS;
pub use destination::Destination;
pub use error::{ConfigurationError, ConfigurationProblem};
pub use history::{History, MAX_SUPERSEDED};
pub use item_version::ItemKind;
pub use parse::{parse_change, parse_update, MAX_BODY_BYTES, MAX_DURATION};
pub use route::{Route, WeightedDestination};
pub use routing_table::RoutingTable;
pub use silvercross_config_item::{RouteKind, MAX_NAME_BYTES};
pub use versioned::VersionedConfiguration;
pub use with_members::{ConfigurationWithMembers, MAX_MEMBERS, MAX_MEMBER_LIST_BYTES, MAX_MEMBER_NAME_BYTES};
