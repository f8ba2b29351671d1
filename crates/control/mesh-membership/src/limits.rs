//! Size limits, and the fan-out of the ring and the tree.

/// Number of children of a relay, and of nodes of a zone directly below its control node.
pub const TREE_FANOUT: usize = 4;
/// Number of ring nodes that monitor a node.
pub const WATCHER_COUNT: usize = 3;
/// Maximum number of records. At the limit the record that has been gone longest is evicted; if there is
/// none, further unknown nodes are dropped.
pub const MAX_NODES: usize = 4_096;
/// Maximum number of control entries. Further keys are dropped and counted as rejected.
pub const MAX_CONTROL_ENTRIES: usize = 4_096;
/// Maximum size of a control entry's value in bytes. Larger ones are dropped and counted as rejected.
pub const MAX_CONTROL_ENTRY_BYTES: usize = 4 << 20;
/// Maximum length of a zone name or control entry key in bytes. Longer ones are dropped and counted as
/// rejected.
pub const MAX_NAME_BYTES: usize = 512;
/// Number of control nodes remembered after their records are removed.
pub(crate) const MAX_FORMER_CONTROL_NODES: usize = 16;
/// Maximum number of nodes in a reported path; a longer list is truncated.
pub(crate) const MAX_PATH_NODES: usize = 32;
/// Maximum number of linked control nodes that a control node reports; a longer list is truncated.
pub(crate) const MAX_REPORTED_PEERS: usize = 64;
/// Maximum number of links that a sidecar opens at the same time.
pub(crate) const MAX_CONCURRENT_DIALS: usize = 3;
