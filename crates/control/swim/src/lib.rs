//! Who is in the fleet: each member's view of the others, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
//! local health multiplier (Dadgar, Phillips, Currey 2017). Datagrams, exchanges and time go in; datagrams, exchanges to begin
//! and events come out. No I/O, no clock, no chance but the seed's. It must not know of requests, sockets or discovery; what a sidecar does
//! with a view is in [`view`], in one place. Go on reading at [`members`], then [`table`].
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
