//! Mesh membership: which nodes are in the mesh, which nodes monitor each other, the relay tree that
//! updates travel down, and how all nodes converge on the same state.
//!
//! No I/O, no clock, no threads: the caller passes in messages, datagrams, link events and the time, and
//! executes the [`Effect`]s returned by [`Membership::take_effects`]. The same sequence of calls produces
//! the same effects.
//!
//! - A [`NodeRecord`] is written by its own node; the highest (incarnation, sequence, gone) wins
//!   everywhere. Watchers may only set `gone` on the latest record written by the node, which refutes it
//!   with a higher `sequence`. This is the incarnation rule of SWIM (Das, Gupta and Motivala, 2002, section
//!   4.2).
//! - Updates flood over the links of the tree; a node doesn't forward what is not newer than what it knows.
//!   At most one version of a control entry is in flight on a link at a time, followed by the newest one.
//! - Neighbours compare digests about once a second; where they differ, the versions in the differing
//!   buckets are listed and only what is missing is sent (anti-entropy).
//! - Every node sends heartbeats to its next few nodes on a ring. They declare it gone only when several of
//!   them agree or after a failed probe, and not while they may be isolated or have just been stalled.
//! - After a start, a node asks up the tree for the revisions that a majority of the control replicas has,
//!   and is current once it has them.
//!
//! Start reading at [`Membership`] (`membership.rs`), which lists the files that implement its roles.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod anti_entropy;
mod config;
mod control_entry;
mod control_links;
mod control_quorum;
mod datagram;
mod effect;
mod entry_outbox;
mod entry_requests;
mod events;
mod freshness;
mod freshness_check;
mod freshness_requests;
mod hash;
mod limits;
mod link;
mod link_keepalive;
mod membership;
mod message;
mod metrics;
mod node;
mod own_record;
mod parent_candidates;
mod placement;
mod record;
mod relay_tree;
#[cfg(test)]
mod tests;
mod timing;
mod updates;
mod version_table;
mod watch;
mod watching;

pub use config::MembershipConfig;
pub use control_entry::{ControlEntry, EntryRevision, EntryView, Revision};
pub use control_quorum::ControlQuorum;
pub use datagram::Datagram;
pub use effect::Effect;
pub use freshness::{Freshness, Mutation};
pub use limits::{MAX_CONTROL_ENTRIES, MAX_CONTROL_ENTRY_BYTES, MAX_NAME_BYTES, MAX_NODES};
pub use limits::{TREE_FANOUT, WATCHER_COUNT};
pub use membership::Membership;
pub use message::{MembershipMessage, TreePosition};
pub use metrics::Metrics;
pub use node::Node;
pub use record::{NodeRecord, RecordVersion};
pub use timing::ENTRY_REQUEST_TIMEOUT;
pub use timing::{CONTROL_KEEPALIVE_INTERVAL, CONTROL_LINK_TIMEOUT, KEEPALIVE_INTERVAL, LINK_TIMEOUT};
pub use timing::{FRESHNESS_READ_INTERVAL, FRESHNESS_REQUEST_TIMEOUT, FRESHNESS_RETRY_DELAY};
pub use timing::{GONE_RECORD_RETENTION, STALL_THRESHOLD, UNROOTED_PARENT_TIMEOUT};
pub use timing::{HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, SUSPECT_REPLY_TIMEOUT};
pub use timing::{LINK_CONNECT_TIMEOUT, LINK_RETRY_DELAY, NEXT_DIAL_DELAY, PARENT_RETRY_DELAY};
pub use timing::{READINESS_GRACE, READINESS_TIMEOUT};
