//! What one process of the mesh knows, shared between its tasks.
//!
//! [`NodeState`] (`state.rs`) holds the parts. What is done with them is in the other files, one for each concern, as methods of
//! [`NodeState`]; each concern's own values and rules are in files that know nothing of it (`in_force.rs`, `local_upstream.rs`,
//! `upstream_lists.rs`, `counters.rs`). Each part stands behind a cell, whose borrow never outlives a statement or block and is
//! never held over an `await`.
mod balancers;
mod connections;
mod control_entries;
mod counters;
mod departed_request;
mod departures;
mod in_force;
mod invariant_checks;
mod invariants;
mod local_upstream;
mod other_nodes;
mod own_record;
mod readiness;
mod reloading;
mod state;
mod stopping;
mod unrouted_requests;
mod upstream_health;
mod upstream_heartbeats;
mod upstream_lists;

pub(crate) use counters::{ConnectionKind, GaugeGuard};
pub(crate) use departed_request::DepartedRequest;
pub(crate) use departures::DepartedPeer;
#[cfg(test)]
pub(crate) use departures::DepartureCounts;
pub(crate) use invariants::Invariant;
pub(crate) use local_upstream::Heartbeat;
#[cfg(test)]
pub(crate) use readiness::NotReady;
pub(crate) use state::NodeState;
