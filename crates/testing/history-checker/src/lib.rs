//! The history of a fleet, and the checkers that say whether it keeps what was promised.
//!
//! [`history`] is what was done to a fleet and what was seen of it from outside; [`membership`] and [`idempotency`] (with
//! [`linearizability`]) hold it against the promises and report each [`Violation`]. They share no code and no type with what they
//! check, and know neither sockets nor simulated time: both drivers of the scenario runner write the same history.
//!
//! Go on reading at [`history`], then the table of properties at the top of either checker.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod history;
pub mod idempotency;
mod keyed_entry;
pub mod linearizability;
mod member_lists;
pub mod membership;
mod operation;
mod report;
mod truth;
mod violation;

pub use history::{DirectedLink, Event, EventKind, History, ListedMember, MemberList, MemberState, Process};
pub use keyed_entry::{KeyedEntry, KeyedState};
pub use operation::{Answer, Invocation};
pub use violation::{Property, Violation, ViolationLog, MAX_VIOLATION_SAMPLES};
