//! What all items that an operator sends have in common, decided without I/O: each has a name and a version, the highest
//! version of a name stands, and a withdrawn name leaves a tombstone so that an older version does not come back.
//!
//! This package knows no kind of item: routes and destinations are in `silvercross-mesh-config`, members in
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
