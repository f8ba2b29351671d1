//! The gate: the one way to the upstream on this machine, for clients of this sidecar and for other sidecars.
//!
//! What is let through is `silvercross-admission`'s decision; here it is carried out on sockets, and it is known for certain
//! whether a byte was written. Knows no route and no other upstream. Read on in `upstream_gate/delivery.rs`, for requests of
//! other sidecars in `upstream_gate/listener.rs`.
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
