//! Requests of other sidecars whose bodies are streamed. Few are received concurrently, and no body before it is
//! needed.
use super::admission::max_pending_time;
use super::counting::{count_orphaned, count_rejection};
use super::delivery::deliver;
use super::delivery_request::Delivery;
use super::limits::DISCARD_TIMEOUT;
use super::responses::{encode_for_origin, status_response, store_response};
use super::sidecar_request::SidecarRequest;
use crate::body_buffer::{BodyBuffer, BodyStreamWriter, StreamedBodyBuffer};
use crate::forwarding_headers::GateStatus;
use crate::node_state::{DepartedPeer, DepartedRequest, NodeState};
use crate::peer_connection::{allow_slow_reader, ReceivedResponse};
use crate::response_replay_cache::ReplayEntry;
use crate::wire::{Connection, ConnectionEvent, ReadError, RequestHead};
use silvercross_net::http::Framing;
use silvercross_net::stream::Decoder;
use silvercross_time::Duration;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Mutex, OwnedSemaphorePermit};
use tokio::time::timeout;

/// Whether a body may be received now.
enum UploadSlot {
    /// It may be received while the permit is held; `None` if the origin is already sending, so that no slot is
    /// needed.
    Granted(Option<OwnedSemaphorePermit>),
    /// It may not be received; the origin has been answered or has disconnected.
    Denied {
        /// Whether the connection may carry another request.
        keep_alive: bool,
    },
}

/// Serves a request whose body is streamed. Returns whether the connection may carry another one. An origin that
/// awaits `100 Continue` gets it once the request is admitted and a connection to the upstream is established.
pub(super) async fn serve_streamed(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    request: SidecarRequest,
) -> bool {
    let slot = match acquire_slot(node_state, connection, &request).await {
        UploadSlot::Granted(slot) => slot,
        UploadSlot::Denied { keep_alive } => return keep_alive,
    };
    let SidecarRequest { head, forwarding, replay_entry, incarnation } = request;
    let mut decoder = Decoder::new(head.framing, usize::MAX);
    let StreamedBodyBuffer { body, writer } =
        BodyBuffer::streamed(Vec::new(), head.content_length(), node_state.body_budget.reservation());
    let Some(write) = connection.take_write_half() else { return false };
    let (write, has_response) = (Mutex::new(write), Cell::new(false));
    let is_non_idempotent = forwarding.as_ref().is_some_and(|forwarding| !forwarding.is_idempotent);
    let has_begun = Cell::new(false);
    let responding = async {
        let received = match &forwarding {
            Some(forwarding) => {
                let delivery =
                    Delivery::from_sidecar(&head, forwarding, &body, replay_entry.as_ref(), &has_begun);
                deliver(node_state, delivery).await
            }
            None => status_response(GateStatus::Unavailable),
        };
        has_response.set(true);
        respond(node_state, &write, &head, received, replay_entry, incarnation).await
    };
    let receiving = async {
        let received =
            receive(connection, &writer, &mut decoder, &write, &has_response, head.expects_continue).await;
        drop(slot);
        match received {
            // The whole request has been received. If the connection breaks, the origin will query the outcome of a
            // non-idempotent request. If the origin closes its sending direction, such a request continues only if it
            // has begun.
            Ok(()) => match connection.wait_for_event().await {
                ConnectionEvent::Broken if is_non_idempotent => {
                    let _orphaned = DepartedRequest::carried_on(node_state, DepartedPeer::Origin);
                    count_orphaned(node_state);
                    std::future::pending().await
                }
                ConnectionEvent::Closed if is_non_idempotent && has_begun.get() => {
                    let _carried_on = DepartedRequest::carried_on(node_state, DepartedPeer::Origin);
                    std::future::pending().await
                }
                _ => DepartedRequest::new(node_state, DepartedPeer::Origin),
            },
            Err(_) if has_response.get() => std::future::pending().await,
            Err(_) => DepartedRequest::new(node_state, DepartedPeer::Origin),
        }
    };
    // `receiving` returns only if the attempt is cancelled: the origin disconnected during its body, or after it and
    // the request is not carried on.
    let is_complete = tokio::select! {
        is_complete = responding => is_complete,
        _cancelled = receiving => false,
    };
    connection.restore_write_half(write.into_inner());
    if is_complete && !decoder.is_done() && head.framing != Framing::Length(0) {
        // The response was sent before the whole body had arrived. The rest of the body is read and discarded, since
        // closing with unread input resets the connection and could lose the response.
        connection.close_gracefully(DISCARD_TIMEOUT).await;
        return false;
    }
    is_complete
}

/// Waits for a slot for a body that awaits `100 Continue`.
async fn acquire_slot(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    request: &SidecarRequest,
) -> UploadSlot {
    if !request.head.expects_continue {
        return UploadSlot::Granted(None);
    }
    let max_wait = request
        .forwarding
        .as_ref()
        .map_or(Duration::ZERO, |forwarding| max_pending_time(forwarding.latency_target).max(Duration::ZERO));
    let slot = node_state.gate.upload_slots.clone().acquire_owned();
    tokio::select! {
        slot = timeout(max_wait.to_std(), slot) => {
            if let Ok(Ok(slot)) = slot {
                return UploadSlot::Granted(Some(slot));
            }
            count_rejection(node_state);
            let mut response = status_response(GateStatus::Overloaded(max_wait));
            let encoded = encode_for_origin(&request.head, &mut response, request.incarnation, false);
            UploadSlot::Denied { keep_alive: connection.write(&encoded.bytes).await.is_ok() }
        }
        _ = connection.wait_for_event() => UploadSlot::Denied { keep_alive: false },
    }
}

/// Sends a response to the origin. Returns whether it was sent completely.
async fn respond(
    node_state: &Rc<NodeState>,
    write: &Mutex<OwnedWriteHalf>,
    head: &RequestHead,
    mut received: ReceivedResponse,
    replay_entry: Option<ReplayEntry>,
    incarnation: Option<u64>,
) -> bool {
    let mut write = write.lock().await;
    let encoded = encode_for_origin(head, &mut received, incarnation, false);
    let framing = encoded.remainder;
    let bytes = store_response(replay_entry, encoded, incarnation.is_some());
    if write.write_all(&bytes).await.is_err() {
        return false;
    }
    match (received.remainder.take(), framing) {
        (Some(remainder), Some(framing)) => {
            allow_slow_reader((*write).as_ref());
            remainder.forward(&node_state.pool, &mut *write, framing).await
        }
        _ => true,
    }
}

/// Sends `100 Continue` if the origin awaits it, once the body is needed, and receives the body.
async fn receive(
    connection: &mut Connection,
    writer: &BodyStreamWriter,
    decoder: &mut Decoder,
    write: &Mutex<OwnedWriteHalf>,
    has_response: &Cell<bool>,
    expects_continue: bool,
) -> Result<(), ReadError> {
    tokio::select! {
        () = writer.wait_until_requested() => {}
        event = connection.wait_for_event() => match event {
            ConnectionEvent::Received => writer.wait_until_requested().await,
            ConnectionEvent::Closed | ConnectionEvent::Broken => return Err(ReadError::Interrupted),
        },
    }
    if expects_continue {
        let mut write = write.lock().await;
        if !has_response.get() && write.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Err(ReadError::Interrupted);
        }
    }
    writer.feed(connection, decoder).await
}
