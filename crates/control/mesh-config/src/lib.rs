//! The mesh's configuration, decided without I/O: the items an operator sends ([`parse_change`]), what of them is in
//! force ([`Configuration`]: the highest edition of each name holds, whether it sets or drops; [`ConfigurationWithMembers`] once members
//! were sent; [`VersionedConfiguration`] with what stood before) and where a request goes ([`RoutingTable`]).
#![forbid(unsafe_code)]

mod canonical;
mod configuration;
mod history;
mod item;
#[doc(hidden)]
pub mod mutation;
mod read;
mod routing_table;
mod versioned;
mod with_members;

pub use configuration::{Configuration, MAX_ITEMS, MAX_TOMBSTONES};
pub use history::{History, MAX_SUPERSEDED};
pub use item::{
    ClientLimits, ConfigurationChange, ConfigurationError, Destination, Route, RouteKind, MAX_DURATION,
};
pub use read::{parse_change, parse_update, MAX_BODY_BYTES, MAX_NAME_BYTES};
pub use routing_table::RoutingTable;
pub use versioned::VersionedConfiguration;
pub use with_members::{
    ConfigurationUpdate, ConfigurationWithMembers, MAX_MEMBERS, MAX_MEMBER_LIST_BYTES, MAX_MEMBER_NAME_BYTES,
};
