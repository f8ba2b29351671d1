//! One replicated log by Raft. Sections marked RP are those of "In Search of an Understandable Consensus Algorithm" (Ongaro and
//! Ousterhout, 2014); sections marked D are those of Ongaro's dissertation "Consensus: Bridging Theory and Practice" (2014),
//! which is followed for pre-vote, leadership transfer, single-server changes with learners, linearizable reads and snapshots in
//! chunks. Messages, time and completed writes go in; messages, writes to make durable and entries to apply come out. The crate
//! does no I/O, reads no clock and draws random numbers from its seed alone. It doesn't interpret commands.
//! Start reading at [`replica`], then [`log`].
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod config;
pub mod log;
pub mod message;
pub mod replica;

mod election;
mod follower;
mod leader;
mod metrics;
mod outcome;
mod output;
mod persistent_state;
mod proposal;
mod replication;
mod role;
mod state;
mod step;

pub use config::{Config, Mutation};
pub use log::{Entry, Group, HardState, Index, Payload, Snapshot, Term};
pub use message::{Envelope, Message};
pub use metrics::Metrics;
pub use outcome::{Apply, Ended, RaftError};
pub use persistent_state::{PersistentState, Write};
pub use replica::Replica;
pub use role::Progress;

use serde::{Deserialize, Serialize};

/// A voter or learner, by its identity in the membership. A process that lost its storage comes back as a different node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node(pub u64);
