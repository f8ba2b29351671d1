//! A client's request whose body is still being received: it is read while the request is served, no faster than it
//! is sent on.
use super::client_departure::{wait_for_disconnect, ClientDeparture};
use super::client_response::{refuse, DISCARD_TIMEOUT};
use super::route::serve;
use crate::body_buffer::{BodyStreamWriter, StreamedBodyBuffer};
use crate::node_state::{DepartedPeer, DepartedRequest, NodeState};
use crate::wire::{Connection, ReadError, RequestHead};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout_at, Instant};

/// How a response was sent.
struct SentResponse {
    is_complete: bool,
    closes: bool,
}

/// Serves a request whose body is streamed and must be received by `deadline`. Returns whether the connection may
/// carry another one.
pub(super) async fn serve_streamed(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    head: &RequestHead,
    streamed: StreamedBodyBuffer,
    decoder: &mut Decoder,
    deadline: Instant,
) -> bool {
    let StreamedBodyBuffer { body, writer } = streamed;
    let Some(mut write) = connection.take_write_half() else { return false };
    let is_responding = Cell::new(false);
    let departure = Rc::new(ClientDeparture::new());
    // Declared outside the block, so that it is dropped after the work in it.
    let mut _departed = None;
    let ended = {
        let responding = async {
            let mut response = serve(node_state, head, &body, &departure).await;
            is_responding.set(true);
            // If part of the body was not read, the connection can't be reused.
            let closes = !head.keep_alive || head.is_http_10 || node_state.stopping() || !body.is_at_end();
            let encoded = response.encode(node_state, head, closes);
            let closes = closes || encoded.remainder == Some(Framing::UntilClose);
            let is_complete = write.write_all(&encoded.bytes).await.is_ok()
                && match encoded.remainder {
                    Some(framing) => response.forward_remainder(node_state, &mut write, framing).await,
                    None => true,
                };
            SentResponse { is_complete, closes }
        };
        let receiving = receive(connection, &writer, decoder, deadline, &is_responding, &departure);
        tokio::select! {
            sent = responding => Ok(sent),
            error = receiving => {
                if matches!(error, ReadError::Interrupted) {
                    _departed = Some(DepartedRequest::new(node_state, DepartedPeer::Client));
                }
                Err(error)
            }
        }
    };
    connection.restore_write_half(write);
    match ended {
        Ok(SentResponse { is_complete: false, .. }) => {
            connection.reset_on_close();
            false
        }
        Ok(SentResponse { closes: true, .. }) => {
            connection.close_gracefully(DISCARD_TIMEOUT).await;
            false
        }
        Ok(_) => true,
        // Part of the body may have reached an upstream. It is not certain that the request has not run, so no 408 is
        // sent, which would guarantee that.
        Err(ReadError::TimedOut) => false,
        Err(error) => refuse(connection, error).await,
    }
}

/// Receives the body, then watches for the client's disconnect. Returns only if the request ends by that: the body
/// was interrupted, or the client has disconnected and its request is not carried on.
async fn receive(
    connection: &mut Connection,
    writer: &BodyStreamWriter,
    decoder: &mut Decoder,
    deadline: Instant,
    is_responding: &Cell<bool>,
    departure: &ClientDeparture,
) -> ReadError {
    tokio::select! {
        () = writer.wait_until_requested() => {}
        // Part of the body is missing, so the request can't run.
        _ = wait_for_disconnect(connection) => return ReadError::Interrupted,
    }
    let received = timeout_at(deadline, writer.feed(connection, decoder)).await;
    match received.unwrap_or(Err(ReadError::TimedOut)) {
        Ok(()) => {
            let disconnect = wait_for_disconnect(connection).await;
            match departure.take_effect(disconnect).await {
                Some(_) => ReadError::Interrupted,
                None => std::future::pending().await,
            }
        }
        Err(error) if !is_responding.get() && !matches!(error, ReadError::Closed) => error,
        Err(_) => std::future::pending().await,
    }
}
