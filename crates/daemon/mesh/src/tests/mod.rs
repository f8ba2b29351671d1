//! Tests of whole sidecars in one process, on sockets of loopback. They stand inside the package because a program has no
//! library to import: they call its private items, and hand to sidecars what membership would bring.
mod changes;
mod data_path;
mod forwarding_headers;
mod graceful_stop;
mod idle_timeout;
mod interrupted_requests;
mod large_bodies;
#[cfg(feature = "mutants")]
mod mutations_detected;
mod response_replay;
pub(crate) mod support;
mod upstream_gate;
