//! Control nodes and sidecars in one world of simulated time, on the deciding code that the mesh's program runs.
//!
//! Each control node runs a `ControlStore` and a `Membership`, each sidecar a `Membership`; they are connected to each other
//! as `silvercross-mesh` does it in its module `peers`. Everything around them is a model here: connections that keep the
//! order of what they carry, partitions that hold it back, datagrams that get lost, processes that crash or freeze, disks that
//! lose what was not synced. Operators change and read the state; faults strike meanwhile; then all is healed.
//!
//! The files form layers; each uses only those above it in this list:
//!
//! - what was seen: [`history`], and `checker`, which holds it against a plain map and shares no type with the deciders;
//! - plain state: `content`, `disk`, `plan`, `report`, `error`, `link`, `event`, `node`, `operator_state`, and [`world`], which holds all of it;
//! - one machine: `network`, `calls`, `majority_reads`, `orders`, `effects` (does what the deciders want done), `node_events`,
//!   `lifecycle`;
//! - who acts on it: `operators`, `fault_tolerance`, `fault_end`, `faults`;
//! - `driver` plays the queue of events, `rest` says whether all has come to rest, [`schedule`] plays one drawn schedule as a
//!   whole.
//!
//! Equal seeds give equal schedules. To replay a seed with a trace: `SEED=17 cargo test -p silvercross-control-sim --test drawn
//! one_schedule -- --ignored --nocapture`.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod calls;
mod checker;
mod content;
mod convert;
mod disk;
mod driver;
mod effects;
mod error;
mod event;
mod fault_end;
mod fault_tolerance;
mod faults;
pub mod history;
mod lifecycle;
mod link;
mod majority_reads;
mod network;
mod node;
mod node_events;
mod operator_state;
mod operators;
mod orders;
mod plan;
mod report;
mod rest;
pub mod schedule;
mod trace;
mod violation;
pub mod world;

pub use checker::{check, READY_WAIT_LIMIT};
pub use content::{Change, Item, Items};
pub use disk::{PendingWrite, Storage};
pub use error::{ScheduleError, Unrest};
pub use link::{ConnectionId, Direction, NodeStatus};
pub use node::SimulatedNode;
pub use operator_state::{Call, CallToken};
pub use plan::{key_name, OrderHandling, ScenarioPlan};
pub use report::{FaultKind, Report};
pub use schedule::{run, run_with_membership_mutation, run_with_orders, trace};
pub use violation::Violation;
pub use world::World;
