//! Tests of whole sidecars in one process, on loopback sockets. They are part of the binary crate because they use its
//! private items; records and configuration are applied directly instead of through membership.
mod added_routes;
mod connection_reuse;
mod control_redirects;
mod departed_clients;
mod forwarding_headers;
mod graceful_stop;
mod heartbeats;
mod idle_timeout;
mod interrupted_requests;
mod large_bodies;
#[cfg(feature = "mutants")]
mod mutations_detected;
mod open_requests;
mod request_framing;
mod response_replay;
mod response_validation;
mod slow_readers;
mod stopping;
pub(crate) mod support;
mod under_way_at_stop;
mod upstream_departures;
mod upstream_gate;
