//! Queries a gate for the outcome of an attempt whose connection broke.
use super::connect::connect;
use super::outcome::ReceivedResponse;
use super::request::OutgoingRequest;
use crate::body_budget::BodyReservation;
use crate::wire::{Connection, PartialResponse, PeerKind};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The result of an attempt query.
pub(crate) enum QueryOutcome {
    /// The attempt's response, or the gate's own status.
    Response(Box<ReceivedResponse>),
    /// Nothing listens at the gate's address: the process that had the attempt has ended.
    ProcessEnded,
    /// The gate gave no valid answer, so the query may be repeated.
    NoAnswer,
}

/// Queries a gate for the outcome of an attempt, on a new connection.
pub(crate) async fn query_attempt(
    from: IpAddr,
    to: SocketAddr,
    connect_timeout: Duration,
    request: OutgoingRequest<'_>,
    reservation: BodyReservation,
) -> QueryOutcome {
    let stream = match connect(Some(from), to, connect_timeout).await {
        Ok(stream) => stream,
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return QueryOutcome::ProcessEnded,
        Err(_) => return QueryOutcome::NoAnswer,
    };
    let mut connection = Connection::new(stream, PeerKind::Sidecar);
    if connection.write(request.bytes).await.is_err() {
        return QueryOutcome::NoAnswer;
    }
    match connection.read_response(request.response_request(false), reservation).await {
        Ok(PartialResponse { response, remainder: None }) if request.is_answered_by(&response) => {
            QueryOutcome::Response(Box::new(ReceivedResponse { response, remainder: None }))
        }
        _ => QueryOutcome::NoAnswer,
    }
}
