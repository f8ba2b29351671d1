//! A reader's progress at one node.
use crate::cursor::Watermark;
use crate::filter::Filter;
use std::collections::{BTreeMap, BTreeSet};

/// A reader's progress. Of the cursor it came with, it keeps only what this node is behind of once it has read to the end.
#[derive(Debug)]
pub struct Reader {
    pub(crate) filter: Filter,
    /// Of the cursor it came with.
    pub(crate) base: BTreeMap<String, Watermark>,
    /// Keys that the filter last let through; empty unless it looks at contents. At most [`crate::Limits::max_keys`].
    pub(crate) inside: BTreeSet<String>,
    /// The serial that it reads next.
    pub(crate) next_serial: u64,
    /// How many events had been dropped when it came.
    pub(crate) dropped_at_open: u64,
    /// How many events had been dropped when it last read.
    pub(crate) dropped_at_read: u64,
    /// Keys without room that it was told of, by kind.
    pub(crate) reported_full: BTreeMap<String, u64>,
    /// It has read before.
    pub(crate) has_begun: bool,
}
