//! Counters of a replica. They don't affect its behaviour.

/// Counters since the replica was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Elections started, pre-votes not counted.
    pub campaigns: u64,
    /// Elections won.
    pub terms_led: u64,
    /// Times that it stepped down because a majority of voters didn't respond.
    pub step_downs: u64,
    /// Entries truncated because they conflicted with a leader's log.
    pub entries_truncated: u64,
    /// Snapshots installed from a leader.
    pub snapshots_installed: u64,
    /// Messages dropped because the outgoing queue was full.
    pub messages_dropped: u64,
}
