//! Requests that are fragmented, pipelined, truncated or ambiguously framed.
use crate::control;
use crate::tests::support::{
    self, bind_upstream, header_value, post_head, scripted_mesh, status, upload_head, ScriptedMesh,
    SidecarOptions, TestConnection, GOOD_RESPONSE,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The bytes that a client writes, and the expected result.
struct Case<'t> {
    name: &'t str,
    bytes: String,
    /// Whether the client half-closes the connection after writing.
    closes: bool,
    statuses: &'t [&'t str],
    /// Attempt ids expected at the upstream.
    attempt_ids: &'t [&'t str],
}

fn cases() -> Vec<Case<'static>> {
    const CHUNKS: &str =
        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n\
         2;x=y\r\nok\r\n0\r\nAttempt-Id: t\r\n\r\n";
    let hidden = post_head("smuggled", 0);
    let two = format!("{}{}", post_head("a", 0), post_head("b", 0));
    let too_early = format!(
        "POST /none HTTP/1.1\r\nHost: h\r\nAttempt-Id: n\r\nContent-Length: {}\r\n\r\n{}{hidden}",
        2 * MAX_BUFFERED_BODY_BYTES,
        "x".repeat(MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES / 2)
    );
    let two_framings = format!(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 0\r\nTransfer-Encoding: \
         chunked\r\n\r\n0\r\n\r\n{hidden}"
    );
    let case =
        |name, bytes, closes, statuses, attempt_ids| Case { name, bytes, closes, statuses, attempt_ids };
    vec![
        case("half closed", post_head("a", 0), true, &["200"], &["a"]),
        case("pipelined", two.clone(), false, &["200", "200"], &["a", "b"]),
        case("pipelined, half closed", two, true, &["200", "200"], &["a", "b"]),
        case(
            "trailers, then another",
            format!("{CHUNKS}{}", post_head("b", 0)),
            false,
            &["200", "200"],
            &["a", "b"],
        ),
        case(
            "a request within a body",
            format!("{}{hidden}", post_head("a", hidden.len())),
            false,
            &["200"],
            &["a"],
        ),
        case("a response before a body's end", too_early, false, &["404"], &[]),
        case("two framings", two_framings, false, &["400"], &[]),
        case("broken off in its body", format!("{}abc", post_head("a", 4)), true, &[], &[]),
        case("no id", post_head("", 0), false, &["400"], &[]),
    ]
}

#[test]
fn client_bytes_become_exactly_the_requests_that_were_sent() {
    for Case { name, bytes, closes, statuses, attempt_ids } in cases() {
        support::run(async move {
            let ScriptedMesh { origin, log, .. } = scripted_mesh(&[GOOD_RESPONSE; 8]).await;
            let mut client = TestConnection::connect(origin.outbound).await;
            // The write may fail: an early response closes the connection.
            let _ = client.stream.write_all(bytes.as_bytes()).await;
            if closes {
                let _ = client.stream.shutdown().await;
            }
            for expected in statuses {
                let head = client.read_head().await;
                assert_eq!(status(&head), *expected, "{name}: {head}");
                client.read_body(&head).await;
            }
            // No further response follows: the connection is closed, or serves the next request.
            if !closes && client.stream.write_all(post_head("last", 0).as_bytes()).await.is_ok() {
                let head = client.read_head().await;
                let is_last = header_value(&head, "attempt-id").as_deref() == Some("last");
                assert!(head.is_empty() || is_last, "{name}: {head}");
            } else {
                assert_eq!(client.read_head().await, "", "{name}");
            }
            let all = log.attempt_ids.borrow();
            let ran: Vec<&String> = all.iter().filter(|id| *id != "last").collect();
            assert_eq!(ran, attempt_ids, "{name}");
        });
    }
}

#[test]
fn a_control_call_rejected_unread_gets_its_response_before_an_orderly_close() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let calls = bind_upstream().await;
        tokio::task::spawn_local(control::listen(
            sidecar.node_state.clone(),
            calls.listener,
            &control::CONTROL_CALLS,
        ));
        let too_large = silvercross_mesh_config::MAX_BODY_BYTES + 1;
        for (framing, expected) in
            [(format!("Content-Length: {too_large}"), "413"), ("Transfer-Encoding: gzip".to_string(), "400")]
        {
            let mut call = TestConnection::connect(calls.address).await;
            let mut bytes =
                format!("POST /-/Config.Patch HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n").into_bytes();
            bytes.extend([b'x'; 64 * 1024]);
            call.send(&bytes).await;
            assert_eq!(status(&call.read_head().await), expected, "{framing}");
            let _ = call.stream.shutdown().await;
            let mut rest = Vec::new();
            let end = call.stream.read_to_end(&mut rest).await;
            assert_eq!(end.map_err(|e| e.kind()), Ok(0), "{framing}");
        }
    });
}

/// 408 promises that the request has not run, which cannot be promised once a part of it was forwarded.
#[test]
fn a_stalled_body_is_answered_408_only_if_none_of_it_was_forwarded() {
    for (body_bytes, sent, is_promised) in [
        (1000, 10, true),
        (2 * MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES - 1, true),
        (3 * MAX_BUFFERED_BODY_BYTES, 2 * MAX_BUFFERED_BODY_BYTES, false),
    ] {
        support::run_paused(async move {
            let ScriptedMesh { origin, log, .. } = scripted_mesh(&[GOOD_RESPONSE]).await;
            let mut client = TestConnection::connect(origin.outbound).await;
            client.send(upload_head("a", body_bytes).as_bytes()).await;
            client.send(&vec![b'x'; sent]).await;
            let head = client.read_head().await;
            assert_eq!(status(&head) == "408", is_promised, "{sent} of {body_bytes}: {head}");
            assert!(!matches!(status(&head), "421" | "429" | "503"), "{sent} of {body_bytes}: {head}");
            assert!(log.attempt_ids.borrow().is_empty() || !is_promised);
        });
    }
}
