//! Counters of one node.

/// Counters since the start of the node.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Metrics {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes received that were already known: control entries by size, records at 64 bytes each.
    pub redundant_bytes: u64,
    /// Versions of control entries that were superseded before they were sent on a link.
    pub entries_superseded: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Times that this node asked the other watchers about a silent node.
    pub nodes_suspected: u64,
    /// Nodes that this node declared gone.
    pub nodes_declared_gone: u64,
    /// Times that this node refuted a record of itself that it didn't write.
    pub records_refuted: u64,
    /// Changes of parent.
    pub parent_changes: u64,
    /// Version indexes sent.
    pub indexes_sent: u64,
    /// Freshness requests sent to the parent; at a control node, reads of the control store.
    pub freshness_requests: u64,
    /// Records, control entries and names dropped because they exceed a limit.
    pub rejected_items: u64,
}
