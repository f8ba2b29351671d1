//! A soak: the real program under drawn kills, pauses, cuts and lost answers that overlap, over links thin beside the
//! configuration, while changes come as fast as they are acknowledged. What is claimed is checked from outside: each change that
//! was acknowledged is in force at every node that has been undisturbed for a while, and no request for a route that stands is
//! answered 404. The program's own invariants are read from its logs, which outlive each process.
//!
//! Read on at `soak/run.rs`, then `soak/schedule.rs` (faults, by seed) and `soak/watch.rs` (what is checked).
mod changes;
mod run;
mod schedule;
mod watch;

pub use run::{play, run, SoakOptions, SoakResult};
