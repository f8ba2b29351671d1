//! An upstream that runs and logs each request that arrives complete.
use super::case::UpstreamBehaviour;
use super::message_reader::{Message, MessageReader};
use crate::tests::support::header_value;
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The attempt id of the interrupted request.
pub(super) const INTERRUPTED_ID: &str = "x";

/// What an upstream did with one request.
pub(super) struct UpstreamRun {
    pub(super) id: String,
    pub(super) status: u16,
    /// Identifies the response to this request.
    pub(super) stamp: String,
    pub(super) body: Vec<u8>,
}

/// The requests that the upstreams of a case received, in order.
pub(super) type RunLog = Rc<RefCell<Vec<UpstreamRun>>>;

/// Starts an upstream; the first upstream that receives the interrupted request answers by `behaviour`.
pub(super) async fn start_upstream(ip: Ipv4Addr, behaviour: UpstreamBehaviour, log: RunLog) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).await.expect("free port");
    let address = listener.local_addr().expect("bound listener");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = log.clone();
            tokio::task::spawn_local(async move {
                let mut connection = MessageReader::new(stream);
                while let Some(request) = connection.read().await {
                    let bytes = respond(request, behaviour, &log);
                    if connection.stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The body of the response with this stamp.
pub(super) fn response_body(stamp: &str, is_long: bool) -> String {
    let fill = if is_long { MAX_BUFFERED_BODY_BYTES + 70_000 } else { 0 };
    format!("{stamp}{}#END", ".".repeat(fill))
}

fn respond(request: Message, behaviour: UpstreamBehaviour, log: &RunLog) -> Vec<u8> {
    let Message { head, body } = request;
    let id = header_value(&head, "attempt-id").unwrap_or_default();
    let mut log = log.borrow_mut();
    let is_first = id == INTERRUPTED_ID && !log.iter().any(|run| run.id == id);
    let status = match behaviour {
        UpstreamBehaviour::Fails if is_first => 500,
        UpstreamBehaviour::Rejects if is_first => 503,
        _ => 200,
    };
    let stamp = format!("{id}.{}", log.len());
    log.push(UpstreamRun { id: id.clone(), status, stamp: stamp.clone(), body });
    let is_long = behaviour == UpstreamBehaviour::ServesLong && id == INTERRUPTED_ID;
    let body = response_body(&stamp, is_long);
    let line = match status {
        503 => "Not-Delivered: full\r\n".to_string(),
        _ => format!("Postmark: {stamp}\r\n"),
    };
    let framed = match head.starts_with("GET") {
        true => format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        false => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
    };
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{line}{framed}").into_bytes()
}
