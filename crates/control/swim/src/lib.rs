//! Who is in the fleet: each member's view of the others, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's doubt of
//! oneself (Dadgar, Phillips, Currey 2017). Datagrams, exchanges and time go in; datagrams, exchanges to begin and news come
//! out. No I/O, no clock, no chance but the seed's. It must not know of requests, sockets or discovery; what a sidecar does
//! with a view is in [`view`], in one place. Go on reading at [`members`], then [`table`].
#![forbid(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod config;
pub mod drains;
pub mod figures;
pub mod identity;
pub mod members;
pub mod rumours;
pub mod suspicion;
pub mod table;
pub mod view;
pub mod wire;

pub use config::{Config, Mutant};
pub use drains::Drain;
pub use figures::Figures;
pub use identity::{Identity, Incarnation};
pub use members::{Event, Exchange, Members, Start};
pub use table::{Card, State};
pub use view::View;

/// Microseconds, of a clock that only goes forward.
pub type Micros = i64;
