//! The judge of a fleet: a history of what was done to it and what was seen of it from outside ([`history`]), and checkers
//! that say whether that keeps what was promised ([`membership`], [`records`] with [`linear`]). It shares no code and no type with what it judges, and
//! knows neither sockets nor simulated time: both drivers of rehearsals write the same history.
#![forbid(unsafe_code)]

pub mod history;
pub mod idempotency;
pub mod linearizability;
pub mod membership;

pub use history::{Event, EventKind, History, ListedMember, MemberList, MemberState, Process};
