//! One request and its response on a connection.
use super::body_sender::BodySender;
use super::outcome::{ExchangeOutcome, ReceivedResponse};
use super::pool::ConnectionPool;
use super::request::OutgoingRequest;
use super::streamed_body::StreamedBody;
use crate::body_budget::BodyReservation;
use crate::body_buffer::BodyBuffer;
use crate::wire::{Connection, PartialResponse};
use std::rc::Rc;

/// Send a request on a connection and read its response. `reservation`: for the response's body.
pub(crate) async fn exchange(
    pool: &ConnectionPool,
    mut connection: Connection,
    request: OutgoingRequest<'_>,
    reservation: BodyReservation,
) -> ExchangeOutcome {
    if connection.write(request.bytes).await.is_err() {
        return ExchangeOutcome::NotSent;
    }
    match request.body {
        Some(body) => exchange_with_body(pool, connection, &request, body, reservation).await,
        None => match connection.read_response(request.response_request(false), reservation).await {
            Ok(received) => finish(pool, connection, None, &request, received),
            Err(_) => ExchangeOutcome::ResponseLost,
        },
    }
}

/// The exchange from the written head on, where the body follows it.
async fn exchange_with_body(
    pool: &ConnectionPool,
    mut connection: Connection,
    request: &OutgoingRequest<'_>,
    body: &Rc<BodyBuffer>,
    reservation: BodyReservation,
) -> ExchangeOutcome {
    let mut reservation = Some(reservation);
    if request.awaits_continue {
        let Some(reserved) = reservation.take() else { return ExchangeOutcome::ResponseLost };
        match connection.read_response(request.response_request(true), reserved).await {
            Ok(PartialResponse { mut response, remainder: None }) if response.status == 100 => {
                reservation = response.reservation.take();
            }
            // A final response before any of the body was taken. The body is unsent, so the connection is not reused.
            Ok(mut received) => {
                received.response.keep_alive = false;
                return finish(pool, connection, None, request, received);
            }
            Err(_) => return ExchangeOutcome::ResponseLost,
        }
    }
    let (Some(write), Some(reservation)) = (connection.take_write_half(), reservation) else {
        return ExchangeOutcome::ResponseLost;
    };
    let mut sender = BodySender::spawn(write, body.clone());
    match connection.read_response(request.response_request(false), reservation).await {
        Ok(received) if received.remainder.is_none() => {
            // A connection whose two directions are done is whole again.
            if let Some(write) = sender.finished().await {
                connection.restore_write_half(write);
            }
            finish(pool, connection, None, request, received)
        }
        Ok(received) => finish(pool, connection, Some(sender), request, received),
        Err(_) => ExchangeOutcome::ResponseLost,
    }
}

/// Check that a response belongs to its request, and return its connection to the pool or keep it for the remainder.
fn finish(
    pool: &ConnectionPool,
    connection: Connection,
    sender: Option<BodySender>,
    request: &OutgoingRequest<'_>,
    received: PartialResponse,
) -> ExchangeOutcome {
    let PartialResponse { response, remainder } = received;
    if !request.is_answered_by(&response) {
        return ExchangeOutcome::ResponseLost;
    }
    let address = request.to;
    if let Some(incarnation) = response.gate_incarnation {
        pool.set_gate_incarnation(address, incarnation);
    }
    let (keep_alive, idle_timeout_seconds) = (response.keep_alive, response.idle_timeout_seconds);
    let remainder = match remainder {
        Some(decoder) => Some(Box::new(StreamedBody {
            connection,
            decoder,
            sender,
            address,
            keep_alive,
            idle_timeout_seconds,
            deadline: None,
            guards: Vec::new(),
        })),
        None => {
            if keep_alive && !connection.has_unread_bytes() && connection.has_both_halves() {
                pool.release(address, connection, idle_timeout_seconds);
            }
            None
        }
    };
    ExchangeOutcome::Response(Box::new(ReceivedResponse { response, remainder }))
}
