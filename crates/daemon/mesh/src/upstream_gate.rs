//! The gate: the only path to the upstream on this machine, for this sidecar's own clients and for other sidecars.
//!
//! `silvercross-admission` decides which requests are admitted. The gate carries the decisions out on sockets and
//! records whether the first byte of a request may have been written. It handles no routes and no other upstreams.
//!
//! Start reading in `upstream_gate/delivery.rs`, and for requests of other sidecars in `upstream_gate/listener.rs`.
mod admission;
mod attempt_queries;
mod counting;
mod delivery;
mod delivery_request;
mod limits;
mod listener;
mod responses;
mod sidecar_connection;
mod sidecar_request;
mod state;
mod streamed_request;
mod timer;

pub(crate) use delivery::deliver;
pub(crate) use delivery_request::Delivery;
#[cfg(test)]
pub(crate) use limits::{MEMORY_RETRY_AFTER, SIDECAR_CONNECTION_DIVISOR};
pub(crate) use listener::listen;
pub(crate) use state::UpstreamGate;
pub(crate) use timer::run_timer;
