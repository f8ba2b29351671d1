//! Bounds on what is kept, and the widths of ring and tree.

/// Children of a relay, and nodes of a zone directly below its control node.
pub const TREE_FANOUT: usize = 4;
/// Nodes on the ring that watch a node.
pub const WATCHER_COUNT: usize = 3;
/// Most records kept. At the limit the record that has been gone longest is evicted; further unknown nodes are dropped.
pub const MAX_NODES: usize = 4_096;
/// Most control entries kept. Further keys are dropped and counted as rejected.
pub const MAX_CONTROL_ENTRIES: usize = 4_096;
/// Longest value of a control entry in bytes. Longer ones are dropped and counted as rejected.
pub const MAX_CONTROL_ENTRY_BYTES: usize = 4 << 20;
/// Longest zone name or key of a control entry in bytes. Longer ones are dropped and counted as rejected.
pub const MAX_NAME_BYTES: usize = 512;
/// Control nodes remembered after their records are forgotten.
pub(crate) const MAX_FORMER_CONTROL_NODES: usize = 16;
/// Nodes in the path that a node reports: a longer list is cut.
pub(crate) const MAX_PATH_NODES: usize = 32;
/// Linked control nodes that a control node reports: a longer list is cut.
pub(crate) const MAX_REPORTED_PEERS: usize = 64;
/// Links of a sidecar that are being made at the same time.
pub(crate) const MAX_CONCURRENT_DIALS: usize = 3;
