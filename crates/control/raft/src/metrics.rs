//! Counters of a replica. Nothing is decided by them.

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Elections it started.
    pub campaigns: u64,
    /// Terms it led.
    pub terms_led: u64,
    /// Times it stepped down because a majority of voters did not answer.
    pub step_downs: u64,
    /// Entries that were truncated in favour of a leader's.
    pub entries_truncated: u64,
    /// Snapshots installed from a leader.
    pub snapshots_installed: u64,
    /// Messages dropped because the outgoing queue was full.
    pub messages_dropped: u64,
}
