//! The client of a case: sends requests before and after the interrupted one, on one connection for as long as it stays
//! open.
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

/// The longest that a client waits for a response, in paused time.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(120);
/// After this time all delayed bytes have arrived and all attempt records have expired.
const SETTLING_TIME: Duration = Duration::from_secs(90);

/// The response that a client received to one request.
pub(super) struct ClientResponse {
    pub(super) status: String,
    /// The response's attempt id.
    pub(super) id: String,
    /// The upstream's stamp.
    pub(super) stamp: Option<String>,
    pub(super) body: Vec<u8>,
}

/// All responses that a client received.
pub(super) struct Conversation {
    /// By attempt id; `None`: no response.
    pub(super) responses: BTreeMap<&'static str, Option<ClientResponse>>,
    /// Bytes were received beyond the expected responses.
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

/// Sends all requests of a case and waits for [`SETTLING_TIME`] to pass.
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
        let stream = TcpStream::connect(origin.outbound).await.expect("open connection");
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
