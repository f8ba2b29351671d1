//! Rules that all items of an operator share, without I/O: each has a name and a version, the highest version of a name
//! wins, and a withdrawn name leaves a tombstone so that an older version does not come back.
//!
//! The kinds of items are defined elsewhere: routes and destinations in `silvercross-mesh-config`, members in
//! `silvercross-throttle`, allowances in `silvercross-quota`. Start reading at [`Entry`], then [`newer_entries`].
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod canonical;
mod entry;
mod error;
mod merge;
mod parse;
mod route_kind;

pub use canonical::canonical_json;
pub use entry::{Entries, Entry, Item, Versioned};
pub use error::{ItemError, ItemProblem};
pub use merge::{
    forget_tombstones, newer_entries, newer_item, resulting_items, store_entries, MergeOutcome, NewerEntries,
    Tombstone,
};
pub use parse::{check_name, insert_entry, item_fields, item_label, item_list, MAX_NAME_BYTES};
pub use route_kind::RouteKind;
