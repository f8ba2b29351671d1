//! A client's connection, whose requests are read and answered one after the other.
use super::client_departure::{wait_for_disconnect, ClientDeparture};
use super::client_response::{refuse, ClientResponse, DISCARD_TIMEOUT};
use super::idle_wait::wait_for_request;
use super::route::serve;
use super::streamed_request::serve_streamed;
use crate::body_buffer::BodyBuffer;
use crate::node_state::{DepartedPeer, DepartedRequest, GaugeGuard, NodeState};
use crate::wire::{Connection, PeerKind, ReadError, RequestHead};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use silvercross_time::Duration;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::time::{timeout_at, Instant};

/// How long input on a connection is discarded that is closed while it is idle.
const IDLE_DISCARD_TIMEOUT: StdDuration = StdDuration::ZERO;
/// Minimum timeout.
const MIN_TIMEOUT: Duration = Duration::from_micros(1);

/// Serves the requests of a connection until it ends.
pub(super) async fn serve_connection(node_state: &Rc<NodeState>, mut connection: Connection) {
    while serve_one(node_state, &mut connection).await {}
}

/// Serves one request, under the limits in force when it arrives. Returns whether the connection may carry another
/// one.
async fn serve_one(node_state: &Rc<NodeState>, connection: &mut Connection) -> bool {
    let has_request = wait_for_request(node_state, connection).await;
    // Open from its first byte until its client has the whole response, or has what an idle connection still holds of one: a
    // stopping process ends once nothing is open.
    let _open = GaugeGuard::new(&node_state.counters, |counters| &counters.open_requests);
    if !has_request {
        connection.close_gracefully(IDLE_DISCARD_TIMEOUT).await;
        return false;
    }
    let limits = node_state.routing_table().limits();
    let max_body_bytes = limits.max_body_bytes.min(usize::MAX as u64) as usize;
    let head_timeout = limits.head_timeout.max(MIN_TIMEOUT).to_std();
    connection.peer = PeerKind::External(limits.max_head_bytes);
    let mut head = match connection.read_request_head(head_timeout, head_timeout, max_body_bytes).await {
        Ok(head) => head,
        Err(error) => return refuse(connection, error).await,
    };
    if head.expects_continue && connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return false;
    }
    // Clients must not set the headers that sidecars exchange.
    head.forwarding_headers = None;
    head.expected_upstream = None;
    head.sender = Some(node_state.settings.upstream_service.clone());
    let deadline = Instant::now() + head.timeout_or_default().max(MIN_TIMEOUT).to_std();
    let mut decoder = Decoder::new(head.framing, max_body_bytes);
    let mut reservation = node_state.body_budget.reservation();
    let read = connection.read_body_prefix(&mut decoder, head.content_length(), &mut reservation, false);
    match timeout_at(deadline, read).await.unwrap_or(Err(ReadError::TimedOut)) {
        Ok(prefix) if prefix.is_complete => {
            count_request(node_state);
            let body = BodyBuffer::complete(prefix.bytes, reservation);
            serve_buffered(node_state, connection, &head, body).await
        }
        Ok(prefix) => {
            count_request(node_state);
            let body = BodyBuffer::streamed(prefix.bytes, head.content_length(), reservation);
            serve_streamed(node_state, connection, &head, body, &mut decoder, deadline).await
        }
        Err(error) => {
            if matches!(error, ReadError::BodyBudgetExhausted) {
                let counter = &node_state.counters.rejected_for_memory;
                counter.set(counter.get() + 1);
            }
            refuse(connection, error).await
        }
    }
}

/// Counts a request that has been read.
fn count_request(node_state: &NodeState) {
    let counter = &node_state.counters.requests;
    counter.set(counter.get() + 1);
}

/// Serves a request whose body is complete. Returns whether the connection may carry another one.
async fn serve_buffered(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    head: &RequestHead,
    body: Rc<BodyBuffer>,
) -> bool {
    let departure = Rc::new(ClientDeparture::new());
    let mut response = serve_watched(node_state, connection, head, &body, &departure).await;
    drop(body);
    let closes = !head.keep_alive || head.is_http_10 || node_state.stopping() || departure.has_disconnected();
    let encoded = response.encode(node_state, head, closes);
    let closes = closes || encoded.remainder == Some(Framing::UntilClose);
    if connection.write(&encoded.bytes).await.is_err() {
        return false;
    }
    if let Some(framing) = encoded.remainder {
        let Some(mut write) = connection.take_write_half() else { return false };
        let is_complete = tokio::select! {
            is_complete = response.forward_remainder(node_state, &mut write, framing) => is_complete,
            _ = wait_for_disconnect(connection) => false,
        };
        connection.restore_write_half(write);
        if !is_complete {
            connection.reset_on_close();
            return false;
        }
    }
    if closes {
        connection.close_gracefully(DISCARD_TIMEOUT).await;
    }
    !closes
}

/// Serves a request while watching its client, until there is a response or the client's disconnect ends the request.
async fn serve_watched(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    head: &RequestHead,
    body: &Rc<BodyBuffer>,
    departure: &Rc<ClientDeparture>,
) -> ClientResponse {
    // Declared before `serving`, so that it is dropped after it.
    let _departed;
    let serving = serve(node_state, head, body, departure);
    tokio::pin!(serving);
    let disconnect = tokio::select! {
        biased;
        response = &mut serving => return response,
        disconnect = wait_for_disconnect(connection) => disconnect,
    };
    let ended = tokio::select! {
        biased;
        response = &mut serving => return response,
        ended = departure.take_effect(disconnect) => ended,
    };
    match ended {
        Some(response) => {
            _departed = DepartedRequest::new(node_state, DepartedPeer::Client);
            response
        }
        None => {
            _departed = DepartedRequest::carried_on(node_state, DepartedPeer::Client);
            serving.await
        }
    }
}
