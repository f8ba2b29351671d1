//! The client's side of a case: requests before and behind the one that is interrupted, on one connection as long as that
//! lasts.
use super::case::{Case, RequestKind};
use super::message_reader::{Message, MessageReader};
use super::relay::Plan;
use super::upstream::INTERRUPTED_ID;
use crate::tests::support::{header_value, patterned_bytes, status, Sidecar};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// No client waits longer, in paused time.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Whatever is still on its way has arrived by then, and all attempts are forgotten.
const SETTLING_TIME: Duration = Duration::from_secs(90);

/// What a client got for one request.
pub(super) struct ClientResponse {
    pub(super) status: String,
    /// The response's attempt id.
    pub(super) id: String,
    /// The upstream's stamp.
    pub(super) stamp: Option<String>,
    pub(super) body: Vec<u8>,
}

/// What a client got in all.
pub(super) struct Conversation {
    /// By attempt id; `None`: no response.
    pub(super) responses: BTreeMap<&'static str, Option<ClientResponse>>,
    /// More was received than was asked for.
    pub(super) has_surplus: bool,
}

/// The body of a request.
pub(super) fn request_body(request: RequestKind) -> Vec<u8> {
    match request {
        RequestKind::Safe => Vec::new(),
        RequestKind::Once => b"0123456789".to_vec(),
        RequestKind::HeldBackUpload => patterned_bytes(20_000),
        RequestKind::LargeUpload => patterned_bytes(MAX_BUFFERED_BODY_BYTES + 70_000),
    }
}

fn encode_request(request: RequestKind, id: &str) -> Vec<u8> {
    let (method, route) = match request {
        RequestKind::Safe => ("GET", "safe"),
        RequestKind::Once => ("POST", "once"),
        RequestKind::HeldBackUpload | RequestKind::LargeUpload => ("POST", "up"),
    };
    let body = request_body(request);
    let length = match request {
        RequestKind::Safe => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let head = format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n{length}\r\n"
    );
    [head.into_bytes(), body].concat()
}

/// Send all requests of a case, and wait until everything has settled.
pub(super) async fn converse(case: Case, origin: &Sidecar, plan: &Plan) -> Conversation {
    let mut connection = None;
    let mut responses = BTreeMap::new();
    let before: &[&str] = if case.is_warm { &["v", "w"] } else { &[] };
    for id in before {
        responses.insert(*id, exchange(&mut connection, origin, RequestKind::Once, id).await);
    }
    plan.is_armed.set(true);
    let response = exchange(&mut connection, origin, case.request, INTERRUPTED_ID).await;
    responses.insert(INTERRUPTED_ID, response);
    plan.resume();
    for id in ["y", "z"] {
        responses.insert(id, exchange(&mut connection, origin, RequestKind::Once, id).await);
    }
    tokio::time::sleep(SETTLING_TIME).await;
    Conversation { responses, has_surplus: connection.is_some_and(|open| open.has_surplus()) }
}

async fn exchange(
    connection: &mut Option<MessageReader>,
    origin: &Sidecar,
    request: RequestKind,
    id: &str,
) -> Option<ClientResponse> {
    if connection.is_none() {
        let stream = TcpStream::connect(origin.outbound).await.expect("a connection");
        *connection = Some(MessageReader::new(stream));
    }
    let open = connection.as_mut()?;
    let response = timeout(CLIENT_TIMEOUT, async {
        open.stream.write_all(&encode_request(request, id)).await.ok()?;
        open.read().await
    });
    let Some(Message { head, body }) = response.await.ok().flatten() else {
        *connection = None;
        return None;
    };
    if header_value(&head, "connection").is_some() {
        *connection = None;
    }
    let (id, stamp) =
        (header_value(&head, "attempt-id").unwrap_or_default(), header_value(&head, "postmark"));
    Some(ClientResponse { status: status(&head).to_string(), id, stamp, body })
}
