//! What goes over a link between two nodes. Only the form: what is done with a message stands in `events`.
use crate::control_entry::{ControlEntry, EntryRevision};
use crate::limits::{MAX_PATH_NODES, MAX_REPORTED_PEERS};
use crate::node::Node;
use crate::record::{NodeRecord, RecordVersion};
use bitcode::{Decode, Encode};

/// Where a node stands in the relay tree, as it reports to its neighbours.
///
/// Encoded between nodes: order and types of the fields are part of the wire format.
#[derive(Clone, Default, PartialEq, Debug, Encode, Decode)]
pub struct TreePosition {
    /// Itself and its parents up to a control node; empty when no control node is reached. At most 32.
    pub path: Vec<Node>,
    /// Of a control node: the other control nodes that it has links to. At most 64.
    pub peers: Vec<Node>,
    /// It has more children than it should.
    pub full: bool,
}

impl TreePosition {
    /// The position with its lists cut to their limits: a neighbour may report anything.
    pub(crate) fn bounded(mut self) -> Self {
        self.path.truncate(MAX_PATH_NODES);
        self.peers.truncate(MAX_REPORTED_PEERS);
        self
    }
}

/// What goes over a link.
///
/// Encoded between nodes: order of the variants, and order and types of their fields, are part of the wire format.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum MembershipMessage<T> {
    /// The first message of each side.
    Hello {
        /// The sender's own record.
        record: NodeRecord<T>,
        /// Over all versions that the sender knows.
        digest: u64,
        /// How many records and control entries the sender knows.
        known_items: u32,
        /// Where the sender stands.
        position: TreePosition,
    },
    /// Keeps the link, and compares.
    KeepAlive {
        /// Over all versions that the sender knows.
        digest: u64,
        /// Whether this is to be answered.
        wants_reply: bool,
        /// Where the sender stands.
        position: TreePosition,
    },
    /// Digests of the buckets that versions are divided into. Answered with a [`VersionIndex`](Self::VersionIndex) of
    /// those that differ.
    BucketDigests {
        /// One for each bucket.
        digests: Vec<u32>,
    },
    /// The versions in some buckets. Answered with what is newer here, and what is wanted.
    VersionIndex {
        /// The buckets.
        buckets: Vec<u8>,
        /// The versions of all records in them.
        records: Vec<RecordVersion>,
        /// The revisions of all control entries in them.
        entries: Vec<EntryRevision>,
    },
    /// Records and control entries that are missing. Answered with an [`Update`](Self::Update).
    Fetch {
        /// Whose records.
        nodes: Vec<Node>,
        /// Which control entries.
        keys: Vec<String>,
    },
    /// Changes.
    Update {
        /// Newer records.
        records: Vec<NodeRecord<T>>,
        /// Newer control entries.
        entries: Vec<ControlEntry>,
    },
    /// Everything, or a chunk of it, for a node that knows nothing yet.
    Snapshot {
        /// Records of the nodes that are there.
        records: Vec<NodeRecord<T>>,
        /// Control entries.
        entries: Vec<ControlEntry>,
    },
    /// Asks what a majority of the control replicas has. Goes up the tree.
    FreshnessRequest {
        /// The sender's own number for it.
        number: u64,
    },
    /// The answer: all revisions that a majority had at some time after the request was sent.
    FreshnessReply {
        /// As in the request.
        number: u64,
        /// Each key that was ever written; `None`: no majority was reached.
        revisions: Option<Vec<EntryRevision>>,
    },
}
