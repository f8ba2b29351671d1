//! Invalid or early upstream responses.
use crate::tests::support::{
    self, bind_upstream, header_value, post, scripted_mesh, status, upload_head, BoundUpstream, ScriptedMesh,
    Sidecar, SidecarOptions, TestConnection, GOOD_RESPONSE,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[test]
fn only_a_response_with_its_attempt_id_counts_and_only_the_upstream_promises_that_nothing_ran() {
    let cases = [
        // Without an attempt id the response may belong to any request, so neither a failure nor a promise that nothing ran
        // counts.
        ("once", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 503 X\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", "502"),
        // These statuses promise that nothing ran, which this upstream has not stated.
        ("once", "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 429 X\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 408 X\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", "502"),
        // A successful request ran, which contradicts Not-Delivered.
        (
            "once",
            "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nNot-Delivered: x\r\nContent-Length: 0\r\n\r\n",
            "502",
        ),
        // Valid responses.
        ("once", "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n", "503"),
        ("once", "HTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "500"),
        ("once", "HTTP/1.1 404 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "404"),
        ("safe", "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "503"),
    ];
    for (route, text, expected) in cases {
        support::run(async move {
            let ScriptedMesh { origin, .. } = scripted_mesh(&[text; 8]).await;
            assert_eq!(post(&origin, route, "a").await.status, expected, "{route}: {text}");
        });
    }
}

/// Starts an upstream that answers after each request's head, reads no further, and keeps all connections open; returns the
/// attempt ids that it received.
fn answer_heads(listener: TcpListener, text: &'static str) -> Rc<RefCell<Vec<String>>> {
    let attempt_ids = Rc::new(RefCell::new(Vec::new()));
    let seen = attempt_ids.clone();
    tokio::task::spawn_local(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = TestConnection::from_stream(stream);
            let head = connection.read_head().await;
            let id = header_value(&head, "attempt-id").unwrap_or_default();
            connection.send(text.replace("{id}", &id).as_bytes()).await;
            seen.borrow_mut().push(id);
            open.push(connection);
        }
    });
    attempt_ids
}

/// Uploads a body that consists of request lines, and reads the response's head during the upload.
async fn upload_until_answered(origin: &Sidecar, id: &str, body_bytes: usize) -> String {
    let mut client = TestConnection::connect(origin.outbound).await;
    client.send(upload_head(id, body_bytes).as_bytes()).await;
    let (mut read, mut write) = client.stream.into_split();
    // The write may fail: the connection may be closed after an early response.
    let writing = tokio::task::spawn_local(async move {
        let body = "POST /once/x HTTP/1.1\r\n\r\n".repeat(body_bytes / 25 + 1);
        let _ = write.write_all(&body.as_bytes()[..body_bytes]).await;
        write
    });
    let mut received = Vec::new();
    while !received.windows(4).any(|w| w == b"\r\n\r\n") {
        let length = read.read_buf(&mut received).await.unwrap_or(0);
        assert!(length > 0, "{id}, {body_bytes}: {received:?}");
    }
    writing.abort();
    String::from_utf8_lossy(&received).into_owned()
}

/// An early response is used, its connection is not reused, and the unread part of the body is never parsed as a request.
#[test]
fn a_response_before_the_request_is_complete_counts_and_ends_the_connection() {
    const REJECTED: &str =
        "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n";
    const FAILED: &str = "HTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n";
    const OF_ANOTHER: &str =
        "HTTP/1.1 503 X\r\nAttempt-Id: zz\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n";
    for (text, expected) in [(REJECTED, "503"), (FAILED, "500"), (GOOD_RESPONSE, "200"), (OF_ANOTHER, "504")]
    {
        for body_bytes in [20_000, MAX_BUFFERED_BODY_BYTES + 4_000_000] {
            support::run_paused(async move {
                let unused_address = bind_upstream().await.address;
                let BoundUpstream { listener, address } = bind_upstream().await;
                let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
                let gate = support::start_sidecar(2, address, SidecarOptions::default()).await;
                gate.send_heartbeat();
                origin.learn_sidecar(&gate);
                let attempt_ids = answer_heads(listener, text);
                for id in ["a", "b"] {
                    let head = upload_until_answered(&origin, id, body_bytes).await;
                    assert_eq!(status(&head), expected, "{body_bytes}");
                }
                let ran = attempt_ids.borrow().clone();
                assert!(ran.iter().all(|id| ["a", "b"].contains(&id.as_str())), "{ran:?}");
                // Each request used its own connection, although the upstream kept all of them open.
                assert_eq!(ran.iter().filter(|id| *id == "b").count(), 1, "{ran:?}");
            });
        }
    }
}
