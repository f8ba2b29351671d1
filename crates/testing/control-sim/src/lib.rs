//! Control machines and sidecars in one world of simulated time, on the deciding code that the mesh's program runs.
//!
//! Each control machine runs a `ControlStore` and a `Membership`, each sidecar a `Membership`; they are wired to each other as
//! `silvercross-mesh`'s `carriers.rs` does it. Everything around them is a model here: connections that keep the order of what
//! they carry, cuts that hold it back, datagrams that get lost, processes that crash or stand still, disks that lose what
//! was not synced. Operators change and read the state; faults strike meanwhile; then all is healed.
//!
//! - [`world`]: machines ([`machine`]), time ([`event`]); `wiring`: what the deciders want done.
//! - [`network`]: connections, datagrams, cuts.
//! - [`disk`]: what survives a crash and a loss of power.
//! - [`operators`]: calls, repeats, reads.
//! - [`faults`]: the faults that are drawn, and their end.
//! - [`schedule`]: one drawn schedule as a whole, and its report.
//! - [`judge`]: what was seen, in plain values, held against a plain map. It shares no type with the deciders.
#![forbid(unsafe_code)]

pub mod dice;
pub mod disk;
pub mod event;
pub mod faults;
pub mod items;
pub mod judge;
pub mod machine;
pub mod network;
pub mod operators;
pub mod schedule;
mod wiring;
pub mod world;

pub use judge::{judge, History, Life, Op, Said, Why};
pub use schedule::{run, run_unready, trace, Report};
pub use world::{Plan, World};
