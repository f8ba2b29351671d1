//! Group membership and failure detection: SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips,
//! Currey 2017). Datagrams, full-state exchanges and the current time are inputs; datagrams, exchanges to start and events are
//! outputs. The package does no I/O, reads no clock and takes all randomness from a seed. It does not depend on requests,
//! sockets or discovery. What a sidecar derives from the membership as a whole is defined in [`view`]. Start reading at
//! [`members`], then [`table`].
#![deny(missing_docs, unreachable_pub)]
#![forbid(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod config;
pub mod drains;
pub mod identity;
pub mod limits;
pub mod members;
pub mod metrics;
pub mod replay_window;
pub mod suspicion;
pub mod table;
pub mod time;
pub mod updates;
pub mod view;
pub mod wire;

pub use config::{Config, Mutant};
pub use drains::Drain;
pub use identity::{Identity, Incarnation, InvalidIdentity};
pub use members::{Event, Exchange, Members, Start};
pub use metrics::Metrics;
pub use table::{MemberRecord, State};
pub use time::Micros;
pub use view::View;
