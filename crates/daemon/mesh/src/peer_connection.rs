//! Connections to other sidecars and to the upstream on this machine: the pool, and the exchange of one request and
//! its response on a connection.
//!
//! Reports how far a failed exchange had come. Whether anything is sent again is decided in `client_listener`. Start
//! reading in `peer_connection/exchange.rs`.
mod attempt_query;
mod body_sender;
mod connect;
mod exchange;
mod health_check;
mod outcome;
mod pool;
mod request;
mod streamed_body;

pub(crate) use attempt_query::{query_attempt, QueryOutcome};
#[cfg(test)]
pub(crate) use connect::MAX_UNACKNOWLEDGED;
pub(crate) use connect::{allow_slow_reader, connect, set_liveness_options};
pub(crate) use exchange::exchange;
pub(crate) use health_check::{check_health, HealthReport};
pub(crate) use outcome::{ExchangeOutcome, ReceivedResponse};
pub(crate) use pool::ConnectionPool;
pub(crate) use request::OutgoingRequest;
pub(crate) use streamed_body::StreamedBody;
