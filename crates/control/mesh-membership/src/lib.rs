//! Who is in the mesh, who watches whom, the tree of relays that news goes down, and how news is kept in step.
//!
//! No I/O, no clock, no threads: the caller hands in letters, datagrams, links and the time, and carries out the
//! [`Effect`]s that [`Membership::take_effects`] gives back. Equal calls give equal effects.
//!
//! - A node's [`NodeRecord`] is written by the node itself; the highest (life, seq, gone) wins everywhere. Watchers may
//!   only add `gone` to what the node wrote last, and the node takes that back with a higher `sequence`.
//! - News floods over the links of the tree; what is not newer than what is known is not sent on.
//! - On every link digests are compared about once a second; where they differ, the parts that differ are listed
//!   and only what is missing is sent.
//! - Every node sends heartbeats to its next few nodes on a ring. These throw it out only together or after a
//!   failed try, and not when they may be cut off or were standing still themselves.
//! - A node that started asks up the tree what a majority of the control replicas has, and is current once it has that.
#![forbid(unsafe_code)]

mod freshness;
mod membership;
mod places;
mod table;
mod tree;
mod watch;

use bitcode::{Decode, Encode};
pub use freshness::{Freshness, Mutation};
pub use freshness::{
    FRESHNESS_READ_INTERVAL, FRESHNESS_REQUEST_TIMEOUT, FRESHNESS_RETRY_DELAY, READINESS_GRACE,
    READINESS_TIMEOUT,
};
pub use membership::{Membership, Metrics};

/// Time in microseconds on a clock that only moves forward.
pub type Micros = i64;
/// The version of a page: epoch, then whatever the owner counts; compared from the left.
pub type Revision = (u64, u64, u64);

/// Children of a relay, and nodes of a zone directly below its core node.
pub const TREE_FANOUT: usize = 4;
/// Nodes on the ring that watch a node.
pub const WATCHER_COUNT: usize = 3;
/// Between two heartbeats.
pub const HEARTBEAT_INTERVAL: Micros = 750_000;
/// A watched node that was not heard for so long is asked about.
pub const HEARTBEAT_TIMEOUT: Micros = 2_000_000;
/// How long the other watchers have for an answer.
pub const SUSPECT_REPLY_TIMEOUT: Micros = 150_000;
/// Between two pulses on a link.
pub const KEEPALIVE_INTERVAL: Micros = 900_000;
/// A link on which nothing came for so long is given up.
pub const LINK_TIMEOUT: Micros = 1_300_000;
/// Core nodes ask each other more often: one that is cut off from the others has to tell its children in time.
pub const CONTROL_KEEPALIVE_INTERVAL: Micros = 300_000;
/// A link between core nodes on which nothing came for so long is given up.
pub const CONTROL_LINK_TIMEOUT: Micros = 800_000;
/// When nothing came of a link after so long, the next one is tried as well.
pub const NEXT_DIAL_DELAY: Micros = 300_000;
/// A link that didn't come up in this time is given up.
pub const LINK_CONNECT_TIMEOUT: Micros = 1_000_000;
/// A better parent is tried again after so long with a substitute.
pub const PARENT_RETRY_DELAY: Micros = 3_000_000;
/// Between two tries of a core node for another, and of a node without any parent.
pub const LINK_RETRY_DELAY: Micros = 500_000;
/// How long a parent may be without a way to the core before its children look further.
pub const UNROOTED_PARENT_TIMEOUT: Micros = 200_000;
/// Nobody is accused by one that stood still for longer, until it has listened for [`HEARTBEAT_TIMEOUT`] again.
pub const STALL_THRESHOLD: Micros = 1_000_000;
/// How long a record is kept after its node was gone.
pub const GONE_RECORD_RETENTION: Micros = 60_000_000;
/// Most records kept. At the bound the record that has been gone longest makes place; strangers beyond are dropped.
pub const MAX_NODES: usize = 4_096;
/// Most pages kept. Further keys are dropped and counted as strangers.
pub const MAX_CONTROL_ENTRIES: usize = 4_096;
/// Longest page in bytes. Longer ones are dropped and counted as strangers.
pub const MAX_CONTROL_ENTRY_BYTES: usize = 4 << 20;
/// Longest zone name or page key in bytes. Longer ones are dropped and counted as strangers.
pub const MAX_NAME_BYTES: usize = 512;

/// A machine of the mesh, by its address.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Encode, Decode)]
pub struct Node(pub u32);

/// What a process knows when it starts.
#[derive(Clone, PartialEq, Debug)]
pub struct MembershipConfig {
    /// Itself.
    pub local_node: Node,
    /// Its zone.
    pub zone: String,
    /// Whether it is one of the machines that hold the control state.
    pub is_control: bool,
    /// Some core machines, which may be down.
    pub seeds: Vec<Node>,
    /// A proposal for its life; a higher one is taken when a record of it is found that it didn't write.
    pub incarnation: u64,
    /// For draws: another one at each start.
    pub random_seed: u64,
}

/// What is known of a node. The highest (life, seq, gone) wins everywhere.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct NodeRecord<T> {
    /// Whose record it is.
    pub node: Node,
    /// Rises with each start of the node.
    pub incarnation: u64,
    /// Rises within a life, with each change, from a drawn beginning.
    pub sequence: u64,
    /// The node's zone.
    pub zone: String,
    /// Whether the node holds the control state.
    pub is_control: bool,
    /// Signed off, or found dead by its watchers.
    pub gone: bool,
    /// What the node says of itself.
    pub body: T,
}

impl<T> NodeRecord<T> {
    /// What records are ordered by.
    pub fn version(&self) -> RecordVersion {
        RecordVersion {
            node: self.node,
            incarnation: self.incarnation,
            sequence: self.sequence,
            gone: self.gone,
        }
    }
}

/// The version of a record.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Encode, Decode)]
pub struct RecordVersion {
    /// Whose record it is.
    pub node: Node,
    /// Its life.
    pub incarnation: u64,
    /// Its place within the life.
    pub sequence: u64,
    /// Whether it is gone.
    pub gone: bool,
}

/// A page of the control state, as it travels.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ControlEntry {
    /// What it is about.
    pub key: String,
    /// Its version.
    pub revision: Revision,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Where a node stands in the tree, as it tells its neighbours.
#[derive(Clone, Default, PartialEq, Debug, Encode, Decode)]
pub struct TreePosition {
    /// Itself and its parents up to a core node; empty when it has no way to the core. At most 32.
    pub path: Vec<Node>,
    /// Of a core node: the other core nodes that it has links to. At most 64.
    pub peers: Vec<Node>,
    /// It has more children than it should.
    pub full: bool,
}

/// What goes over a link.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum MembershipMessage<T> {
    /// The first letter of each side.
    Hello {
        /// The sender's own record.
        record: NodeRecord<T>,
        /// Over all versions that the sender knows.
        digest: u64,
        /// How many records and pages it knows.
        known: u32,
        /// Where it stands.
        position: TreePosition,
    },
    /// Keeps the link, and compares.
    KeepAlive {
        /// Over all versions that the sender knows.
        digest: u64,
        /// Whether this is to be answered.
        ask: bool,
        /// Where the sender stands.
        position: TreePosition,
    },
    /// Digests of the parts that versions are divided into. Answered with an index of those that differ.
    PartDigests {
        /// One for each part.
        digests: Vec<u32>,
    },
    /// The versions in some parts. Answered with what is newer here, and what is wanted.
    VersionIndex {
        /// The parts.
        parts: Vec<u8>,
        /// All records in them.
        records: Vec<RecordVersion>,
        /// All pages in them.
        entries: Vec<(String, Revision)>,
    },
    /// Records and pages that are missing. Answered with news.
    Fetch {
        /// Whose records.
        records: Vec<Node>,
        /// Which pages.
        entries: Vec<String>,
    },
    /// Changes.
    Update {
        /// Newer records.
        records: Vec<NodeRecord<T>>,
        /// Newer pages.
        entries: Vec<ControlEntry>,
    },
    /// Everything, or a piece of it, for one that knows nothing yet.
    Snapshot {
        /// Records of those that are there.
        records: Vec<NodeRecord<T>>,
        /// Pages.
        entries: Vec<ControlEntry>,
    },
    /// What does a majority of the control replicas have? Goes up the tree.
    FreshnessRequest {
        /// The sender's own number for it.
        number: u64,
    },
    /// The answer: all revisions that a majority had at some time after the request was sent.
    FreshnessReply {
        /// As in the request.
        number: u64,
        /// Each key that was ever written; `None`: no majority was reached.
        revisions: Option<Vec<(String, Revision)>>,
    },
}

/// What goes by datagram, and may be lost.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Datagram {
    /// A heartbeat, to watchers.
    Heartbeat {
        /// The sender's life.
        incarnation: u64,
        /// Its place within the life.
        sequence: u64,
    },
    /// To one that is believed gone and was heard: it may refute this.
    DeclaredDead {
        /// The life that is believed gone.
        incarnation: u64,
        /// Its place within the life.
        sequence: u64,
    },
    /// To another watcher: have you heard it?
    Suspect {
        /// The node in question.
        about: Node,
        /// Its life as far as known.
        incarnation: u64,
    },
    /// Nothing was heard of it here either.
    SuspectConfirmed {
        /// The node in question.
        about: Node,
        /// Its life as asked.
        incarnation: u64,
    },
    /// It was heard here, by the sender itself.
    SuspectAlive {
        /// The node in question.
        about: Node,
        /// Its life as asked.
        incarnation: u64,
        /// How long ago. What was heard by another is no newer for having been told.
        elapsed: Micros,
    },
}

/// What the caller is to do, or to know.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect<T> {
    /// Make a link; the outcome is told by `link_up` or `link_down`.
    OpenLink {
        /// To whom.
        to: Node,
    },
    /// Drop a link, or stop trying to make it. No `link_down` is needed.
    CloseLink {
        /// To whom.
        to: Node,
    },
    /// Send a letter over the link.
    SendMessage {
        /// To whom.
        to: Node,
        /// What.
        message: MembershipMessage<T>,
    },
    /// Send a datagram.
    SendDatagram {
        /// To whom.
        to: Node,
        /// What.
        datagram: Datagram,
    },
    /// See whether the node's machine takes a connection; the outcome is told by `tried`.
    Probe {
        /// Which node.
        node: Node,
    },
    /// Have a majority of the control replicas confirm the revisions of all keys; the outcome is told by `confirmed`.
    ConfirmRevisions {
        /// To be handed back with it.
        request_id: u64,
    },
    /// News of another node.
    RecordChanged(NodeRecord<T>),
    /// A newer page arrived.
    EntryChanged {
        /// What it is about.
        key: String,
        /// Its version.
        revision: Revision,
        /// Its content.
        bytes: Vec<u8>,
    },
}

/// Spreads the bits of a number.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub(crate) fn mix_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(mix(bytes.len() as u64), |sum, byte| mix(sum ^ u64::from(*byte)))
}
