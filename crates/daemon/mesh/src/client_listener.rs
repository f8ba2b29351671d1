//! Accepts the requests of clients on this machine, and of its upstream: one task for each connection, one request at
//! a time on it.
//!
//! The decision module behind `service_balancer` chooses the upstream of a request and decides about retries and
//! hedging. The listener reads the request, carries out the module's steps and sends the response.
//!
//! Start reading in `client_listener/client_connection.rs`, then `route.rs` and `request_run.rs`.
mod attempt;
mod attempt_query;
mod attempt_result;
mod client_connection;
mod client_departure;
mod client_response;
mod idle_wait;
mod listener;
mod outgoing_attempt;
mod request_run;
mod route;
mod streamed_request;

pub(crate) use listener::listen;
