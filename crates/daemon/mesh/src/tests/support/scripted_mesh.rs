//! An origin and a gate, with an upstream that sends scripted responses.
use super::{
    bind_upstream, header_value, start_sidecar, status, ReceivedBody, Sidecar, SidecarOptions, TestConnection,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A valid response; `{id}` is replaced by the attempt id.
pub(crate) const GOOD_RESPONSE: &str =
    "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nok";

/// What an upstream received.
#[derive(Default)]
pub(crate) struct UpstreamLog {
    pub(crate) connections: Cell<usize>,
    pub(crate) attempt_ids: RefCell<Vec<String>>,
}

/// An origin, and a gate in front of a scripted upstream.
pub(crate) struct ScriptedMesh {
    pub(crate) origin: Sidecar,
    pub(crate) gate: Sidecar,
    pub(crate) log: Rc<UpstreamLog>,
}

/// Starts an origin and a gate whose upstream answers each request with the next of these texts, `{id}` replaced.
pub(crate) async fn scripted_mesh(texts: &[&str]) -> ScriptedMesh {
    let unused_address = bind_upstream().await.address;
    let log = Rc::new(UpstreamLog::default());
    let address = scripted_upstream(texts, log.clone()).await;
    let origin = start_sidecar(1, unused_address, SidecarOptions::default()).await;
    let gate = start_sidecar(2, address, SidecarOptions::default()).await;
    gate.send_heartbeat();
    origin.learn_sidecar(&gate);
    ScriptedMesh { origin, gate, log }
}

async fn scripted_upstream(texts: &[&str], log: Rc<UpstreamLog>) -> SocketAddr {
    let upstream = bind_upstream().await;
    let texts: Vec<String> = texts.iter().rev().map(|text| text.to_string()).collect();
    let texts = Rc::new(RefCell::new(texts));
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = upstream.listener.accept().await {
            log.connections.set(log.connections.get() + 1);
            let connection = TestConnection::from_stream(stream);
            tokio::task::spawn_local(answer_by_script(connection, texts.clone(), log.clone()));
        }
    });
    upstream.address
}

async fn answer_by_script(
    mut connection: TestConnection,
    texts: Rc<RefCell<Vec<String>>>,
    log: Rc<UpstreamLog>,
) {
    loop {
        let head = connection.read_head().await;
        if head.is_empty() {
            return;
        }
        let Some(text) = texts.borrow_mut().pop() else { return };
        connection.read_body(&head).await;
        let id = header_value(&head, "attempt-id").unwrap_or_default();
        log.attempt_ids.borrow_mut().push(id.clone());
        connection.send(text.replace("{id}", &id).as_bytes()).await;
    }
}

/// The response that a client received.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ClientResult {
    pub(crate) status: String,
    pub(crate) body: Vec<u8>,
}

/// Sends an empty POST on a new connection.
pub(crate) async fn post(origin: &Sidecar, route: &str, id: &str) -> ClientResult {
    let mut client = TestConnection::connect(origin.outbound).await;
    let request = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    client.send(request.as_bytes()).await;
    let head = client.read_head().await;
    let ReceivedBody { bytes, is_complete } = client.read_body(&head).await;
    assert!(is_complete, "{head}");
    ClientResult { status: status(&head).to_string(), body: bytes }
}

/// The head of a POST that may run once.
pub(crate) fn post_head(id: &str, body_bytes: usize) -> String {
    format!("POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nContent-Length: {body_bytes}\r\n\r\n")
}

/// The head of an upload with a deadline of three seconds.
pub(crate) fn upload_head(id: &str, body_bytes: usize) -> String {
    post_head(id, body_bytes).replace("\r\n\r\n", "\r\nDeadline-Ms: 3000\r\n\r\n").replace("once", "up")
}
