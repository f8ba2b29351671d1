//! A soak: the real program under drawn kills, pauses, cuts, SIGHUPs and lost answers that overlap, over a series of SIGTERMs and links thin
//! beside the configuration, while changes come as fast as they are acknowledged, clients leave in the middle of their requests, and others use
//! their connections until the process is gone, some of them for responses and uploads longer than any buffer, which they read slowly. What is claimed is checked from outside: each change that
//! was acknowledged is in force at every node that has been undisturbed for a while, and no request for a route that stands is
//! answered 404; nothing is sent to an upstream whose departure was acknowledged, also if all processes are killed right after; every upstream that is there is sent to in the end. The program's own invariants are read from its logs, which outlive each process.
//!
//! Read on at `soak/run.rs`, then `soak/schedule.rs` (faults, by seed), `soak/loss.rs` (the loss of all processes at the end) and `soak/watch.rs` (what is checked).
mod changes;
mod clients;
mod departures;
mod long_requests;
mod loss;
mod player;
mod run;
mod schedule;
mod watch;

pub(crate) use changes::{write_changes, Acknowledged};
pub use run::{play, run, SoakOptions, SoakResult, MAX_LINKED_SIDES};
pub(crate) use watch::{Disturbances, CONTACT};
