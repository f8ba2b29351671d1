//! Messages on a link between two nodes. They are handled in `events`.
use crate::control_entry::{ControlEntry, EntryRevision};
use crate::limits::{MAX_PATH_NODES, MAX_REPORTED_PEERS};
use crate::node::Node;
use crate::record::{NodeRecord, RecordVersion};
use bitcode::{Decode, Encode};

/// A node's position in the relay tree, as it reports it to its neighbours.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, Default, PartialEq, Debug, Encode, Decode)]
pub struct TreePosition {
    /// The node and its ancestors up to a control node; empty if it reaches no control node. At most 32.
    pub path: Vec<Node>,
    /// For a control node, the other control nodes that it is linked with. At most 64.
    pub peers: Vec<Node>,
    /// Whether it has more children than it should.
    pub full: bool,
}

impl TreePosition {
    /// Truncates the lists to their limits: a neighbour may report anything.
    pub(crate) fn bounded(mut self) -> Self {
        self.path.truncate(MAX_PATH_NODES);
        self.peers.truncate(MAX_REPORTED_PEERS);
        self
    }
}

/// A message on a link.
///
/// Encoded between nodes: order of the variants, and order and types of their fields, are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum MembershipMessage<T> {
    /// First message of each side.
    Hello {
        /// The sender's own record.
        record: NodeRecord<T>,
        /// Digest of all versions that the sender knows.
        digest: u64,
        /// Number of records and control entries that the sender knows.
        known_items: u32,
        /// The sender's position in the tree.
        position: TreePosition,
    },
    /// Keeps the link alive and compares digests.
    KeepAlive {
        /// Digest of all versions that the sender knows.
        digest: u64,
        /// Whether a keep-alive is expected in return.
        wants_reply: bool,
        /// The sender's position in the tree.
        position: TreePosition,
    },
    /// Digests of the version buckets. Answered with a [`VersionIndex`](Self::VersionIndex) of the buckets
    /// that differ.
    BucketDigests {
        /// One digest for each bucket.
        digests: Vec<u32>,
    },
    /// The versions in some buckets; without buckets, an announcement of newer control entries. The
    /// receiver sends or announces what is newer on its side and fetches what is newer on the sender's.
    VersionIndex {
        /// The bucket numbers.
        buckets: Vec<u8>,
        /// Versions of all records in the buckets.
        records: Vec<RecordVersion>,
        /// Revisions of all control entries in the buckets.
        entries: Vec<EntryRevision>,
    },
    /// Requests missing records and control entries. Answered with [`Update`](Self::Update)s.
    Fetch {
        /// Nodes whose records are requested.
        nodes: Vec<Node>,
        /// Keys of the requested control entries.
        keys: Vec<String>,
    },
    /// Changed records and control entries.
    Update {
        /// Newer records.
        records: Vec<NodeRecord<T>>,
        /// Newer control entries.
        entries: Vec<ControlEntry>,
    },
    /// Everything known, or a chunk of it, for a node that knows nothing yet.
    Snapshot {
        /// Records of the nodes that are not gone.
        records: Vec<NodeRecord<T>>,
        /// Control entries.
        entries: Vec<ControlEntry>,
    },
    /// Asks for the revisions that a majority of the control replicas has. Forwarded up the tree.
    FreshnessRequest {
        /// Request number chosen by the sender.
        number: u64,
    },
    /// Reply to a request: the revisions that a majority had at some time after the request was sent.
    FreshnessReply {
        /// The number of the request.
        number: u64,
        /// One revision for each key that was ever written; `None` if no majority was reached.
        revisions: Option<Vec<EntryRevision>>,
    },
}
