//! One replicated log, by Raft: "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014; sections are
//! written RP) and Ongaro's dissertation "Consensus: Bridging Theory and Practice" (2014; written D) for pre-vote, leadership
//! transfer, changes of voters one at a time with learners, linearizable reads and snapshots in chunks. Messages, time and
//! completed writes go in; messages, writes to make durable and entries to apply come out. No I/O, no clock, no chance but the
//! seed's. It must not know what an entry means. Go on reading at [`replica`], then [`log`].
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

/// A voter or learner, by the identity that membership draws: a process whose folder was lost is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node(pub u64);
