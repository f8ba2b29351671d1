//! Exchanges one request and its response on a connection.
use super::body_sender::BodySender;
use super::outcome::{ExchangeOutcome, ReceivedResponse};
use super::pool::ConnectionPool;
use super::request::OutgoingRequest;
use super::streamed_body::StreamedBody;
use crate::body_budget::BodyReservation;
use crate::body_buffer::BodyBuffer;
use crate::wire::{Connection, PartialResponse, PeerKind, ReadError};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

/// Sends a request on a connection and reads its response. `reservation` is for the response's body.
pub(crate) async fn exchange(
    pool: &ConnectionPool,
    mut connection: Connection,
    request: OutgoingRequest<'_>,
    reservation: BodyReservation,
) -> ExchangeOutcome {
    if request.body.is_none() && connection.peer != PeerKind::Sidecar {
        return exchange_with_upstream(pool, connection, &request, reservation).await;
    }
    if connection.write(request.bytes).await.is_err() {
        return ExchangeOutcome::NotSent;
    }
    match request.body {
        Some(body) => exchange_with_body(pool, connection, &request, body, reservation).await,
        None => match read_response(&mut connection, &request, reservation).await {
            Ok(received) => finish(pool, connection, None, &request, received),
            Err(_) => ExchangeOutcome::ResponseLost,
        },
    }
}

/// Reads the response to a request that was written completely.
async fn read_response(
    connection: &mut Connection,
    request: &OutgoingRequest<'_>,
    reservation: BodyReservation,
) -> Result<PartialResponse, ReadError> {
    let expected = request.response_request(false);
    let Some(cancellation) = request.cancellation else {
        return connection.read_response(expected, reservation).await;
    };
    let Some(mut write) = connection.take_write_half() else { return Err(ReadError::Interrupted) };
    let received = {
        let reading = connection.read_response(expected, reservation);
        tokio::pin!(reading);
        tokio::select! {
            biased;
            received = &mut reading => received,
            () = cancellation.cancelled() => {
                // Returns without restoring the write half, so the half-closed connection is not reused.
                let _ = write.shutdown().await;
                return reading.await;
            }
        }
    };
    connection.restore_write_half(write);
    received
}

/// Continues the exchange of a request with a body after its head was written.
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
        let reading = connection.read_response(request.response_request(true), reserved);
        let first_response = tokio::select! {
            biased;
            first_response = reading => first_response,
            // None of the body was sent, so the request can't run.
            () = cancelled(request) => return ExchangeOutcome::NotSent,
        };
        match first_response {
            Ok(PartialResponse { mut response, remainder: None }) if response.status == 100 => {
                reservation = response.reservation.take();
            }
            // A final response before any of the body was requested. The body was not sent, so the connection can't
            // be reused.
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
    let sender = BodySender::spawn(write, connection.peer, body.clone());
    read_while_sending(pool, connection, sender, request, reservation).await
}

/// Exchanges a request that is buffered completely with an upstream, which may read a part of it late, or answer before
/// it has read it.
async fn exchange_with_upstream(
    pool: &ConnectionPool,
    mut connection: Connection,
    request: &OutgoingRequest<'_>,
    reservation: BodyReservation,
) -> ExchangeOutcome {
    let Ok(sent) = connection.write_available(request.bytes) else { return ExchangeOutcome::NotSent };
    if sent == request.bytes.len() {
        return match read_response(&mut connection, request, reservation).await {
            Ok(received) => finish(pool, connection, None, request, received),
            Err(_) => ExchangeOutcome::ResponseLost,
        };
    }
    let Some(write) = connection.take_write_half() else { return ExchangeOutcome::ResponseLost };
    let sender = BodySender::spawn_rest(write, connection.peer, request.bytes[sent..].to_vec());
    read_while_sending(pool, connection, sender, request, reservation).await
}

/// Reads the response while the rest of the request is being sent.
async fn read_while_sending(
    pool: &ConnectionPool,
    mut connection: Connection,
    mut sender: BodySender,
    request: &OutgoingRequest<'_>,
    reservation: BodyReservation,
) -> ExchangeOutcome {
    match connection.read_response(request.response_request(false), reservation).await {
        Ok(received) if received.remainder.is_none() => {
            // The request was sent and the response received, so the connection can be reused.
            if let Some(write) = sender.finished().await {
                connection.restore_write_half(write);
            }
            finish(pool, connection, None, request, received)
        }
        Ok(received) => finish(pool, connection, Some(sender), request, received),
        Err(_) => ExchangeOutcome::ResponseLost,
    }
}

/// Checks that a response belongs to its request, and returns the connection to the pool or keeps it for the
/// remainder.
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

/// Returns once the request has been cancelled.
async fn cancelled(request: &OutgoingRequest<'_>) {
    match request.cancellation {
        Some(cancellation) => cancellation.cancelled().await,
        None => std::future::pending().await,
    }
}
