//! Limits and counters of a feed.

/// Limits on what a feed keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Keys. At the limit the key that ended longest ago is forgotten; if none has ended, the new one is not kept. Both are
    /// reported to readers as gaps.
    pub max_keys: usize,
    /// Events besides the newest of each key. At the limit the oldest is dropped.
    pub max_older_events: usize,
    /// Dropped events that are remembered, to be counted for slow readers. Beyond the limit, these counts are too low.
    pub max_dropped: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_keys: 32_768, max_older_events: 8_192, max_dropped: 65_536 }
    }
}

/// Counters of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Keys kept.
    pub keys: usize,
    /// Events kept.
    pub events: usize,
    /// Events dropped.
    pub dropped: u64,
    /// Keys forgotten, or not kept, because of [`Limits::max_keys`].
    pub forgotten: u64,
}
