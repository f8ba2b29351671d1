//! Calls to a sidecar's control listeners.
use super::{ReceivedBody, TestConnection};

/// The response to a call.
pub(crate) struct CallResponse {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// Makes a call on a persistent connection.
pub(crate) async fn call(
    connection: &mut TestConnection,
    method: &str,
    path: &str,
    body: &str,
) -> CallResponse {
    let length = body.len();
    let request = format!("{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {length}\r\n\r\n{body}");
    connection.send(request.as_bytes()).await;
    let head = connection.read_head().await;
    let ReceivedBody { bytes, is_complete } = connection.read_body(&head).await;
    assert!(is_complete);
    CallResponse { head, body: bytes }
}
