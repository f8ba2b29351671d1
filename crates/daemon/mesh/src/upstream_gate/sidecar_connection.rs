//! One connection of another sidecar: one request after the other on it.
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
use crate::wire::{Connection, ConnectionEvent, ReadError, RequestHead, MAX_BUFFERED_BODY_BYTES};
use silvercross_net::stream::Decoder;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::timeout;

/// What was exchanged on a connection before.
#[derive(Default)]
struct ConnectionHistory {
    /// This process's incarnation was stated.
    incarnation_stated: bool,
    /// The last request that may run once: with the next request its origin shows that it has the response.
    last_replay_key: Option<u64>,
}

/// Serve the requests of a connection until it ends.
pub(super) async fn serve_connection(node_state: &Rc<NodeState>, mut connection: Connection) {
    let mut history = ConnectionHistory::default();
    while serve_one(node_state, &mut connection, &mut history).await {}
}

/// Serve one request; whether another may come.
async fn serve_one(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    history: &mut ConnectionHistory,
) -> bool {
    if !wait_for_request(node_state, connection).await {
        return false;
    }
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

/// Take what its origin says of a request out of its head: it goes no further.
fn decode_forwarding(head: &mut RequestHead) -> Option<ForwardingHeaders> {
    let encoded = head.forwarding_headers.take()?;
    let forwarding = forwarding_headers::decode::<ForwardingHeaders>(&encoded)?;
    (forwarding.version == ENCODING_VERSION).then_some(forwarding)
}

/// Whether a request has come; an idle connection may have to give way to another.
async fn wait_for_request(node_state: &Rc<NodeState>, connection: &mut Connection) -> bool {
    let _gauge = GaugeGuard::new(&node_state.counters, |counters| &counters.idle_hop_connections);
    let gate = &node_state.gate;
    tokio::select! {
        has_come = connection.wait_for_bytes(IDLE_TIMEOUT) => has_come,
        () = gate.evict_idle.notified() => {
            gate.evictions_pending.set(gate.evictions_pending.get().saturating_sub(1));
            false
        }
    }
}

/// Buffer a request's body, then serve the request. The size of a body was for the origin to limit.
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
        // A query that can't be decoded is not a rejected request: the attempt that it asks for may have run.
        let status = match head.host == ATTEMPT_QUERY_HOST {
            true => GateStatus::MayHaveRun,
            false => GateStatus::Unavailable,
        };
        let encoded = encode_for_origin(head, &mut status_response(status), incarnation, false);
        return connection.write(&encoded.bytes).await.is_ok();
    }
    respond(node_state, connection, request, &BodyBuffer::complete(body, reservation)).await
}

/// Deliver a request whose body is here whole and return its response; whether the connection may carry another one.
async fn respond(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    request: SidecarRequest,
    body: &Rc<BodyBuffer>,
) -> bool {
    let SidecarRequest { head, forwarding, replay_entry, incarnation } = request;
    let Some(forwarding) = forwarding else { return false };
    // Its origin's connection has broken, and the request goes on.
    let mut orphaned = None;
    // Its origin wants it dropped unless it has begun, and it has; the response may still be read.
    let mut carried_on = None;
    // Its origin has cancelled it. Dropped after the work.
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
                    // Its origin will ask for the response.
                    ConnectionEvent::Broken if replay_entry.is_some() => {
                        orphaned = Some(DepartedRequest::carried_on(node_state, DepartedPeer::Origin));
                        count_orphaned(node_state);
                    }
                    ConnectionEvent::Closed if replay_entry.is_some() && has_begun.get() => {
                        carried_on = Some(DepartedRequest::carried_on(node_state, DepartedPeer::Origin));
                    }
                    // It has not begun, and never will: its entry says so to whoever asks.
                    ConnectionEvent::Closed if replay_entry.is_some() => {
                        break status_response(GateStatus::Unavailable)
                    }
                    // An origin that hangs up has cancelled the attempt.
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
    let runs_once = !forwarding.is_idempotent;
    let is_complete = tokio::select! {
        is_complete = remainder.forward(&node_state.pool, &mut write, framing) => is_complete,
        () = wait_until_cancelled(connection, runs_once) => {
            _cancelled = DepartedRequest::new(node_state, DepartedPeer::Origin);
            false
        }
    };
    connection.restore_write_half(write);
    is_complete
}

/// Return once the origin of a request that may be repeated has hung up. One that may run once goes on until its response can't be
/// written.
async fn wait_until_cancelled(connection: &mut Connection, runs_once: bool) {
    if runs_once {
        std::future::pending::<()>().await;
    }
    connection.wait_for_event().await;
}
