//! A reader's progress at one node.
use crate::cursor::Watermark;
use crate::filter::Filter;
use std::collections::{BTreeMap, BTreeSet};

/// A reader's progress. Once it has read to the end, it keeps only the watermarks of its cursor that are ahead of this node.
#[derive(Debug)]
pub struct Reader {
    pub(crate) filter: Filter,
    /// The watermarks of the cursor that it was opened with, updated by later events of these keys.
    pub(crate) watermarks: BTreeMap<String, Watermark>,
    /// Keys whose last event matched the filter; empty unless the filter checks the content. At most
    /// [`crate::Limits::max_keys`].
    pub(crate) matching_keys: BTreeSet<String>,
    /// The serial number that it reads next.
    pub(crate) next_serial: u64,
    /// How many events had been dropped when it was opened.
    pub(crate) dropped_at_open: u64,
    /// How many events had been dropped when it last read.
    pub(crate) dropped_at_read: u64,
    /// Keys over the limit that were already reported to it, by kind.
    pub(crate) reported_over_limit: BTreeMap<String, u64>,
    /// Whether it has read before.
    pub(crate) has_begun: bool,
}
