//! Connections for calls: one task per connection, which serves one call at a time.
use super::acceptor::{Accepted, Acceptor};
use super::call::{find, Call, ReceivedCall};
use super::changes::abandoned;
use super::response::CallResponse;
use crate::event_stream;
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::wire::{self, Connection, PeerKind, ReadError, RequestHead};
use silvercross_mesh_config::MAX_BODY_BYTES;
use silvercross_net::http::MessageError;
use silvercross_time::Instant as LocalInstant;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{timeout, Instant};

/// A connection without a call is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for reading the head of a call, and again for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Concurrent connections; further ones are closed at once.
pub(super) const MAX_CONNECTIONS: u64 = 256;
/// Input after the last response is read and discarded for at most this long.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accept connections and serve these calls until the process ends.
pub(crate) async fn listen(
    node_state: Rc<NodeState>,
    listener: TcpListener,
    calls: &'static [&'static Call],
) {
    let open = Rc::new(Cell::new(0));
    let mut acceptor = Acceptor::new(&node_state, listener);
    loop {
        let Ok(Accepted { stream, opened_after }) = acceptor.accept(&node_state).await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            node_state.reject_connection(ConnectionKind::Call);
            continue;
        }
        open.set(open.get() + 1);
        let (node_state, open) = (node_state.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let mut connection = Connection::new(stream, PeerKind::External(MAX_HEAD_BYTES));
            let reader = serve_connection(&node_state, &mut connection, opened_after, calls).await;
            open.set(open.get() - 1);
            // Event streams have a limit of their own, so the connection no longer counts here.
            if let Some(EventReader { open, request, body }) = reader {
                event_stream::serve(node_state, connection, *request, body, open).await;
            }
        });
    }
}

/// A call for the event stream, which takes over its connection.
struct EventReader {
    open: GaugeGuard,
    request: Box<RequestHead>,
    body: Vec<u8>,
}

/// What a connection does after a call.
enum Next {
    Call,
    End,
    Events(EventReader),
}

/// Serve calls until the connection ends or an event stream takes it over.
async fn serve_connection(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    opened_after: LocalInstant,
    calls: &[&Call],
) -> Option<EventReader> {
    loop {
        match serve_call(node_state, connection, opened_after, calls).await {
            Next::Call => {}
            Next::End => return None,
            Next::Events(reader) => return Some(reader),
        }
    }
}

async fn serve_call(
    node_state: &Rc<NodeState>,
    connection: &mut Connection,
    opened_after: LocalInstant,
    calls: &[&Call],
) -> Next {
    if !connection.wait_for_bytes(IDLE_TIMEOUT).await {
        return Next::End;
    }
    // Open from its first byte until its response is written: a stopping process ends once nothing is open.
    let open = GaugeGuard::new(&node_state.counters, |counters| &counters.open_control_calls);
    let request = match connection.read_request_head(IDLE_TIMEOUT, READ_TIMEOUT, MAX_BODY_BYTES).await {
        Ok(request) => request,
        Err(ReadError::Invalid(error)) => return respond_unreadable(connection, &error).await,
        Err(_) => return Next::End,
    };
    if request.expects_continue && connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
        return Next::End;
    }
    let body = match timeout(READ_TIMEOUT, connection.read_body(request.framing, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::Invalid(error))) => return respond_unreadable(connection, &error).await,
        _ => return Next::End,
    };
    let serves_events = find(calls, "GET", super::calls::STATE.path).is_ok();
    if serves_events && event_stream::is_event_stream_call(&request) {
        return Next::Events(EventReader { open, request: Box::new(request), body });
    }
    let response = match find(calls, &request.method, &request.target) {
        Ok(found) => {
            let received_at = Instant::now();
            let (name, target) = (found.name, request.target.as_str());
            let received = ReceivedCall { name, target, body, connection, opened_after, received_at };
            handle(node_state, found.call, &received).await
        }
        Err(error) => CallResponse::error(error.status(), "no such call"),
    };
    let response = response.with_bounded_redirections(&request.target);
    // While stopping, close the connection so that the caller connects to another node.
    let close = !request.keep_alive || node_state.stopping();
    let (lines, content) = (response.lines.as_bytes(), response.body.as_bytes());
    let bytes = wire::encode_response(response.status, lines, content, close, false);
    if connection.write(&bytes).await.is_err() {
        return Next::End;
    }
    if close {
        connection.close_gracefully(DRAIN_TIMEOUT).await;
        return Next::End;
    }
    Next::Call
}

/// Handle a call, for as long as its caller waits if it ends with its caller.
async fn handle(node_state: &Rc<NodeState>, call: &Call, received: &ReceivedCall<'_>) -> CallResponse {
    let handler = (call.handler)(node_state, received);
    if !call.ends_with_caller {
        return handler.await;
    }
    tokio::select! {
        biased;
        () = received.connection.wait_until_closed_by_peer() => abandoned(node_state, received),
        response = handler => response,
    }
}

/// Respond to a call that can't be read. Its remaining input is read and discarded: closing with unread input would reset
/// the connection, and the caller could lose the response.
async fn respond_unreadable(connection: &mut Connection, error: &MessageError) -> Next {
    let bytes = wire::encode_response(wire::error_status(error), b"", b"", true, false);
    if connection.write(&bytes).await.is_ok() {
        connection.close_gracefully(DRAIN_TIMEOUT).await;
    }
    Next::End
}
