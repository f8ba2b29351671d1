//! Bodies that are streamed, and the budget of buffered ones.
use crate::tests::support::{self, bytes, stamped, status, value, SidecarOptions, TestConnection, ID};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::cell::Cell;
use std::rc::Rc;

const LARGE: usize = 6 * MAX_BUFFERED_BODY_BYTES + 12_345;

/// An origin that knows of `gates` sidecars, each with its own upstream.
async fn mesh(gates: u8) -> (support::Sidecar, Vec<(support::Sidecar, tokio::net::TcpListener)>) {
    let (_, nobody) = support::station().await;
    let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
    let mut all = Vec::new();
    for last in 2..2 + gates {
        let (listener, at) = support::station().await;
        let gate = support::sidecar(last, at, SidecarOptions::default()).await;
        origin.hears_of(&gate);
        all.push((gate, listener));
    }
    (origin, all)
}

#[test]
fn large_request_and_response_bodies_are_streamed_in_bounded_memory() {
    support::run(async {
        for (chunked, here) in [(false, false), (true, false), (false, true)] {
            let (origin, gate, listener) = match here {
                true => {
                    let (listener, at) = support::station().await;
                    let origin = support::sidecar(1, at, SidecarOptions::default()).await;
                    (origin.clone(), origin, listener)
                }
                false => {
                    let (origin, mut gates) = mesh(1).await;
                    let (gate, listener) = gates.remove(0);
                    (origin, gate, listener)
                }
            };
            gate.beat();
            let (sent, back) = (bytes(LARGE), bytes(LARGE - 77));
            let most = Rc::new(Cell::new(0));
            let (stores, peak, answer) = (
                [origin.node_state.body_budget.clone(), gate.node_state.body_budget.clone()],
                most.clone(),
                back.clone(),
            );
            let upstream = tokio::task::spawn_local(async move {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut talk = TestConnection::over(stream);
                let head = talk.head().await;
                let (body, whole) = talk.body(&head).await;
                peak.set(stores.iter().map(|s| s.reserved_bytes()).max().unwrap_or(0));
                let framing = match chunked {
                    true => "Transfer-Encoding: chunked\r\n".to_string(),
                    false => format!("Content-Length: {}\r\n", answer.len()),
                };
                talk.say(stamped(&head, 200, &framing).as_bytes()).await;
                for piece in answer.chunks(100_000) {
                    if chunked {
                        talk.say(format!("{:x}\r\n", piece.len()).as_bytes()).await;
                    }
                    talk.say(piece).await;
                    peak.set(peak.get().max(stores.iter().map(|s| s.reserved_bytes()).max().unwrap_or(0)));
                    if chunked {
                        talk.say(b"\r\n").await;
                    }
                }
                if chunked {
                    talk.say(b"0\r\n\r\n").await;
                }
                (head, body, whole)
            });
            let mut client = TestConnection::to(origin.at).await;
            let framing = match chunked {
                true => "Transfer-Encoding: chunked\r\n".to_string(),
                false => format!("Content-Length: {LARGE}\r\n"),
            };
            client.say(format!("POST /up/x HTTP/1.1\r\nHost: h\r\n{ID}{framing}\r\n").as_bytes()).await;
            if chunked {
                for piece in sent.chunks(70_000) {
                    client.say(format!("{:x}\r\n", piece.len()).as_bytes()).await;
                    client.say(piece).await;
                    client.say(b"\r\n").await;
                }
                client.say(b"0\r\n\r\n").await;
            } else {
                client.say(&sent).await;
            }
            let head = client.head().await;
            assert_eq!(status(&head), "200", "{head}");
            let (body, whole) = client.body(&head).await;
            assert!(whole && body == back);
            let (head, body, whole) = upstream.await.expect("it ends");
            assert!(whole && body == sent);
            assert_eq!(value(&head, "sender").as_deref(), Some("quotes"));
            assert!(value(&head, "expect").is_none() && value(&head, "waybill").is_none(), "{head}");
            assert!(most.get() <= 2 * (MAX_BUFFERED_BODY_BYTES as u64 + 65_536), "{}", most.get());
            // The same connection serves on.
            client.say(format!("GET /none HTTP/1.1\r\nHost: h\r\n{ID}\r\n").as_bytes()).await;
            assert_eq!(status(&client.head().await), "404");
            assert_eq!(
                (
                    origin.node_state.body_budget.reserved_bytes(),
                    gate.node_state.body_budget.reserved_bytes()
                ),
                (0, 0)
            );
        }
    });
}

#[test]
fn a_large_request_rejected_by_one_gate_is_sent_whole_to_another() {
    support::run(async {
        let (origin, gates) = mesh(2).await;
        // The first gate has heard of no upstream, so it turns all away.
        gates[1].0.beat();
        let sent = bytes(LARGE);
        let mut gates = gates.into_iter();
        let ((first, _one), (second, listener)) = (gates.next().expect("two"), gates.next().expect("two"));
        let want = sent.clone();
        let upstream = tokio::task::spawn_local(async move {
            for _ in 0..4 {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut talk = TestConnection::over(stream);
                let head = talk.head().await;
                let (body, whole) = talk.body(&head).await;
                assert!(whole && body == want);
                talk.say(stamped(&head, 200, "Connection: close\r\nContent-Length: 0\r\n").as_bytes()).await;
            }
        });
        for i in 0..4 {
            let mut client = TestConnection::to(origin.at).await;
            let head = format!(
                "POST /up/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {i}\r\nContent-Length: {LARGE}\r\n\r\n"
            );
            client.say(head.as_bytes()).await;
            client.say(&sent).await;
            let head = client.head().await;
            assert_eq!(status(&head), "200", "{head}");
        }
        upstream.await.expect("it ends");
        assert!(
            first.node_state.body_budget.reserved_bytes() == 0
                && second.node_state.counters.delivered_requests.get() == 4
        );
    });
}

#[test]
fn a_response_that_breaks_off_does_not_appear_complete() {
    support::run(async {
        for (framing, version) in [
            ("Transfer-Encoding: chunked\r\n", "1.1"),
            ("Content-Length: 9000000\r\n", "1.1"),
            ("Transfer-Encoding: chunked\r\n", "1.0"),
        ] {
            let (origin, mut gates) = mesh(1).await;
            let (gate, listener) = gates.remove(0);
            gate.beat();
            tokio::task::spawn_local(async move {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut talk = TestConnection::over(stream);
                let head = talk.head().await;
                talk.say(stamped(&head, 200, framing).as_bytes()).await;
                let piece = bytes(2 * MAX_BUFFERED_BODY_BYTES);
                if framing.starts_with('T') {
                    talk.say(format!("{:x}\r\n", piece.len()).as_bytes()).await;
                }
                talk.say(&piece).await;
            });
            let mut client = TestConnection::to(origin.at).await;
            let ask = format!("GET /safe/x HTTP/{version}\r\nHost: h\r\n{ID}\r\n");
            client.say(ask.as_bytes()).await;
            let head = client.head().await;
            assert_eq!(status(&head), "200", "{head}");
            if version == "1.0" {
                // No length and no chunks: only a reset tells.
                let mut room = vec![0; 1 << 16];
                let end = loop {
                    match tokio::io::AsyncReadExt::read(&mut client.stream, &mut room).await {
                        Ok(0) => break None,
                        Ok(_) => {}
                        Err(e) => break Some(e.kind()),
                    }
                };
                assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
            } else {
                assert!(!client.body(&head).await.1);
            }
        }
    });
}

#[test]
fn bodies_beyond_the_buffer_budget_are_refused_with_retry_after() {
    support::run(async {
        let (_, nobody) = support::station().await;
        let terms = SidecarOptions { memory: 4 * 100_000, ..SidecarOptions::default() };
        let origin = support::sidecar(1, nobody, terms).await;
        for n in [99_000, 200_000, 99_000] {
            let mut client = TestConnection::to(origin.at).await;
            client
                .say(format!("POST /up/x HTTP/1.1\r\nHost: h\r\n{ID}Content-Length: {n}\r\n\r\n").as_bytes())
                .await;
            let _ = tokio::io::AsyncWriteExt::write_all(&mut client.stream, &bytes(n)).await;
            let head = client.head().await;
            assert_eq!(status(&head), "503", "{head}");
            assert!(value(&head, "retry-after").is_some());
            let closed = value(&head, "connection").is_some();
            assert_eq!(closed, n > 100_000, "{head}");
        }
        assert_eq!(
            (
                origin.node_state.counters.rejected_for_memory.get(),
                origin.node_state.body_budget.reserved_bytes()
            ),
            (1, 0)
        );
    });
}
