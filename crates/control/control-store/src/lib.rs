//! The mesh's control state as a protocol without I/O. Each key has one owner at a time, which replicates a
//! change to the other replicas before it answers, and which another node replaces under a higher epoch.
//! There is no common log and no leader of all keys.
//!
//! Each key is a register as in Paxos with a stable proposer: an owner collects promises for its epoch from a
//! quorum (prepare), takes over the latest accepted value, and from then on only sends accepts. The replica
//! set itself is decided the same way, through a joint replica set (Raft, section 6). Why nothing
//! acknowledged is lost: `docs/design/control-store.md`.
//!
//! The caller owns sockets, disk and clock. It reports events ([`ControlStore::receive`],
//! [`ControlStore::write_completed`], [`ControlStore::set_reachable`], [`ControlStore::tick`]) and after each
//! of these calls executes what [`ControlStore::take_effects`] returns.
//!
//! Where to start reading: `store` for the state, [`Message`] for what replicas send each other, `protocol`
//! for the rules, one file for each role.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod batch;
mod call;
mod change_log;
mod effect;
mod key_slot;
mod limits;
mod message;
mod metrics;
mod mutation;
mod proposal;
mod protocol;
mod repair;
mod replica_set;
mod snapshot;
mod store;
mod stored;
mod types;
mod value;
mod write_queue;

pub use call::ReadEpoch;
pub use effect::Effect;
pub use limits::SNAPSHOT_CHUNK_BYTES;
pub use message::{CallOutcome, ForwardReply, KeySummary, Message, Request};
pub use metrics::{KeyState, Metrics, OwnedKey, Role};
pub use mutation::Mutation;
pub use replica_set::{AcceptedReplicaSet, Member, ReplicaSet, Vote};
pub use snapshot::SnapshotDigest;
pub use store::{ControlStore, StartConfig};
pub use stored::{Metadata, StoredKey, StoredState};
pub use types::{Epoch, Incarnation, Incarnations, KeyPosition, Node, NodeIncarnation, Revision};
pub use value::{Rejection, State};
