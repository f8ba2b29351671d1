//! The state of one process of the mesh, shared between its tasks.
//!
//! [`NodeState`] (`state.rs`) holds the parts. The operations on them are methods of [`NodeState`] in the
//! other files, one file for each concern. Data types and rules that do not depend on [`NodeState`] are in
//! files of their own (`in_force.rs`, `local_upstream.rs`, `upstream_lists.rs`, `counters.rs`). Each part is
//! in a cell, whose borrow never outlives a statement or block and is never held across an `await`.
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
mod orders;
mod other_nodes;
mod own_record;
mod readiness;
mod reloading;
mod state;
mod stopping;
mod tombstones;
mod unrouted_requests;
mod upstream_claims;
mod upstream_departures;
mod upstream_health;
mod upstream_heartbeats;
mod upstream_lists;

pub(crate) use counters::{ConnectionKind, GaugeGuard};
pub(crate) use departed_request::DepartedRequest;
pub(crate) use departures::DepartedPeer;
#[cfg(test)]
pub(crate) use departures::DepartureCounts;
pub(crate) use in_force::ZoneOrder;
pub(crate) use invariants::Invariant;
pub(crate) use local_upstream::Heartbeat;
#[cfg(test)]
pub(crate) use readiness::NotReady;
pub(crate) use state::NodeState;
pub(crate) use tombstones::{Departure, SidecarVersion, Tombstone, TombstoneTable, TOMBSTONE_RETENTION};
pub(crate) use upstream_claims::ClaimOutcome;
