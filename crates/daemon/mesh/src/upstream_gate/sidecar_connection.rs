//! A connection of another sidecar, which carries one request at a time.
use super::attempt_queries::answer_query;
use super::counting::count_orphaned;
use super::delivery::deliver;
use super::delivery_request::Delivery;
use super::limits::{DISCARD_TIMEOUT, IDLE_TIMEOUT, MEMORY_RETRY_AFTER, RECEIVE_TIMEOUT};
use super::responses::{encode_for_origin, status_response, store_response};
use super::sidecar_request::SidecarRequest;
use super::streamed_request::serve_streamed;
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus, ATTEMPT_QUERY_HOST, ENCODING_VERSION};
use crate::node_state::{DepartedPeer, DepartedRequest, GaugeGuard, NodeState};
use crate::peer_connection::allow_slow_reader;
use crate::wire::{Connection, ConnectionEvent, ReadError, RequestHead, MAX_BUFFERED_BODY_BYTES};
use silvercross_net::stream::Decoder;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::timeout;

/// State of a connection from earlier requests.
#[derive(Default)]
struct ConnectionHistory {
    /// Whether this process's incarnation has been stated.
    incarnation_stated: bool,
    /// The replay key of the last request, if it was not idempotent. The next request on the connection shows that
    /// the origin has received the response.
    last_replay_key: Option<u64>,
}

/// Serves the requests of a connection until it ends.
pub(super) async fn serve_connection(node_state: &Rc<NodeState>, mut connection: Connection) {
    let mut history = ConnectionHistory::default();
    while serve_one(node_state, &mut connection, &mut history).await {}
}

/// Serves one request. Returns whether the connection may carry another one.
async fn serve_one(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    history: &mut ConnectionHistory,
) -> bool {
    if !wait_for_request(node_state, connection).await {
        return false;
    }
    let _open = GaugeGuard::new(&node_state.counters, |counters| &counters.open_hop_requests);
    let Ok(mut head) = connection.read_request_head(IDLE_TIMEOUT, RECEIVE_TIMEOUT, usize::MAX).await else {
        return false;
    };
    let forwarding = decode_forwarding(&mut head);
    let cache = &node_state.response_replay_cache;
    if let Some(replay_key) = history.last_replay_key.take() {
        cache.acknowledge(replay_key);
    }
    if let Some(query) = forwarding.as_ref().filter(|forwarding| forwarding.is_query) {
        answer_query(node_state, connection, &head, query.replay_key).await;
        return false;
    }
    let incarnation =
        (!std::mem::replace(&mut history.incarnation_stated, true)).then_some(cache.incarnation);
    let replay_entry = match &forwarding {
        Some(forwarding) if !forwarding.is_idempotent && forwarding.replay_key != 0 => {
            match cache.begin(forwarding.replay_key) {
                Ok(replay_entry) => Some(replay_entry),
                Err(_) => return false,
            }
        }
        _ => None,
    };
    history.last_replay_key = replay_entry.as_ref().map(|entry| entry.replay_key());
    let request = SidecarRequest { head, forwarding, replay_entry, incarnation };
    let content_length = request.head.content_length();
    if request.head.expects_continue || content_length.is_none_or(|n| n > MAX_BUFFERED_BODY_BYTES) {
        return serve_streamed(node_state, connection, request).await;
    }
    serve_buffered(node_state, connection, request).await
}

/// Removes the forwarding headers from a request's head, so that they are not forwarded, and decodes them.
fn decode_forwarding(head: &mut RequestHead) -> Option<ForwardingHeaders> {
    let encoded = head.forwarding_headers.take()?;
    let forwarding = forwarding_headers::decode::<ForwardingHeaders>(&encoded)?;
    (forwarding.version == ENCODING_VERSION).then_some(forwarding)
}

/// Waits for a request and returns whether one has arrived. An idle connection may be evicted for a new one.
async fn wait_for_request(node_state: &Rc<NodeState>, connection: &mut Connection) -> bool {
    let _gauge = GaugeGuard::new(&node_state.counters, |counters| &counters.idle_hop_connections);
    let gate = &node_state.gate;
    tokio::select! {
        has_arrived = connection.wait_for_bytes(IDLE_TIMEOUT) => has_arrived,
        () = gate.evict_idle.notified() => {
            gate.evictions_pending.set(gate.evictions_pending.get().saturating_sub(1));
            false
        }
    }
}

/// Buffers a request's body, then serves the request. The origin has already enforced the limit on body sizes.
async fn serve_buffered(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    request: SidecarRequest,
) -> bool {
    let (head, incarnation) = (&request.head, request.incarnation);
    let mut decoder = Decoder::new(head.framing, MAX_BUFFERED_BODY_BYTES);
    let mut reservation = node_state.body_budget.reservation();
    let read = connection.read_body_prefix(&mut decoder, head.content_length(), &mut reservation, false);
    let body = match timeout(RECEIVE_TIMEOUT, read).await {
        Ok(Ok(prefix)) if prefix.is_complete => prefix.bytes,
        Ok(Err(ReadError::BodyBudgetExhausted)) => {
            let mut response = status_response(GateStatus::Overloaded(MEMORY_RETRY_AFTER));
            let encoded = encode_for_origin(head, &mut response, incarnation, true);
            let _ = connection.write(&encoded.bytes).await;
            connection.close_gracefully(DISCARD_TIMEOUT).await;
            return false;
        }
        _ => return false,
    };
    if request.forwarding.is_none() {
        // A query that can't be decoded must not be answered as a rejected request: the attempt it is about may have
        // run.
        let status = match head.host == ATTEMPT_QUERY_HOST {
            true => GateStatus::MayHaveRun,
            false => GateStatus::Unavailable,
        };
        let encoded = encode_for_origin(head, &mut status_response(status), incarnation, false);
        return connection.write(&encoded.bytes).await.is_ok();
    }
    respond(node_state, connection, request, &BodyBuffer::complete(body, reservation)).await
}

/// Delivers a request whose body is complete and returns its response to the origin. Returns whether the connection
/// may carry another request.
async fn respond(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    request: SidecarRequest,
    body: &Rc<BodyBuffer>,
) -> bool {
    let SidecarRequest { head, forwarding, replay_entry, incarnation } = request;
    let Some(forwarding) = forwarding else { return false };
    // Set when the origin's connection has broken and the request continues.
    let mut orphaned = None;
    // Set when the origin has closed its sending direction, which cancels a request that has not begun, but this one
    // has. The origin may still read the response.
    let mut carried_on = None;
    // Set when the origin has cancelled the request. Declared outside the delivery's block, so that it is dropped
    // after the delivery.
    let _cancelled;
    let has_begun = Cell::new(false);
    let mut received = {
        let delivery = Delivery::from_sidecar(&head, &forwarding, body, replay_entry.as_ref(), &has_begun);
        let delivering = deliver(node_state, delivery);
        tokio::pin!(delivering);
        loop {
            tokio::select! {
                received = &mut delivering => break received,
                event = connection.wait_for_event(), if orphaned.is_none() && carried_on.is_none() => match event {
                    // The origin will query the outcome.
                    ConnectionEvent::Broken if replay_entry.is_some() => {
                        orphaned = Some(DepartedRequest::carried_on(node_state, DepartedPeer::Origin));
                        count_orphaned(node_state);
                    }
                    ConnectionEvent::Closed if replay_entry.is_some() && has_begun.get() => {
                        carried_on = Some(DepartedRequest::carried_on(node_state, DepartedPeer::Origin));
                    }
                    // The request has not begun and will not: its replay entry records that for later queries.
                    ConnectionEvent::Closed if replay_entry.is_some() => {
                        break status_response(GateStatus::Unavailable)
                    }
                    // An origin that disconnects has cancelled the attempt.
                    ConnectionEvent::Broken | ConnectionEvent::Closed | ConnectionEvent::Received => {
                        _cancelled = DepartedRequest::new(node_state, DepartedPeer::Origin);
                        return false;
                    }
                }
            }
        }
    };
    let encoded = encode_for_origin(&head, &mut received, incarnation, false);
    let framing = encoded.remainder;
    let bytes = store_response(replay_entry, encoded, incarnation.is_some());
    if orphaned.is_some() || connection.write(&bytes).await.is_err() {
        return false;
    }
    let (Some(remainder), Some(framing)) = (received.remainder.take(), framing) else { return true };
    drop(received);
    let Some(mut write) = connection.take_write_half() else { return false };
    allow_slow_reader(write.as_ref());
    let is_non_idempotent = !forwarding.is_idempotent;
    let is_complete = tokio::select! {
        is_complete = remainder.forward(&node_state.pool, &mut write, framing) => is_complete,
        () = wait_until_cancelled(connection, is_non_idempotent) => {
            _cancelled = DepartedRequest::new(node_state, DepartedPeer::Origin);
            false
        }
    };
    connection.restore_write_half(write);
    is_complete
}

/// Returns once the origin of an idempotent request has disconnected. A non-idempotent request continues until its
/// response can't be written.
async fn wait_until_cancelled(connection: &mut Connection, is_non_idempotent: bool) {
    if is_non_idempotent {
        std::future::pending::<()>().await;
    }
    connection.wait_for_event().await;
}
