//! Where the machine's clients, and its upstream, bring their requests: one task a connection, one request at a time on it.
//!
//! Which upstream a request goes to, and whether it is retried or hedged, is decided by the module behind
//! `service_balancer`; here it is read, sent as the module says, and answered. Read on in
//! `client_listener/client_connection.rs`, then `route.rs` and `request_run.rs`.
mod attempt;
mod attempt_query;
mod attempt_result;
mod client_connection;
mod client_departure;
mod client_response;
mod idle_wait;
mod listener;
mod open_request;
mod outgoing_attempt;
mod request_run;
mod route;
mod streamed_request;

pub(crate) use listener::listen;
