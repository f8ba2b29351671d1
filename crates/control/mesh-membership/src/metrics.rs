//! Counters of one node since its start.

/// Counters since the start.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Metrics {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes of control entries, and of records at 64 each, that came and were known already.
    pub redundant_bytes: u64,
    /// Versions of control entries that were superseded before a link took them, and so were not sent on it.
    pub entries_superseded: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Nodes that other watchers were asked about.
    pub nodes_suspected: u64,
    /// Nodes that were declared gone here.
    pub nodes_declared_gone: u64,
    /// Times that a record of this node, not written by it, was refuted.
    pub records_refuted: u64,
    /// Changes of parent.
    pub parent_changes: u64,
    /// Version indexes sent.
    pub indexes_sent: u64,
    /// Requests for what a majority has, sent up; at a control node, reads of the control store.
    pub freshness_requests: u64,
    /// Records, control entries and names beyond a limit, dropped.
    pub rejected_items: u64,
}
