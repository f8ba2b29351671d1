//! Answers and connections as they should not be, at the places where the data path has to see it. Every cut of a request on its
//! way: `cut_points_tests`.
use crate::forwarding_headers::{self, GateStatus};
use crate::tests::support::{self, status, value, Sidecar, SidecarOptions, TestConnection};
use crate::wire::{Connection, PeerKind, MAX_BUFFERED_BODY_BYTES};
use crate::{control, peer_connection};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

/// What an upstream saw.
#[derive(Default)]
struct Seen {
    connections: Cell<usize>,
    ids: RefCell<Vec<String>>,
}

/// An upstream that answers each request with the next of these texts, `{id}` replaced.
async fn scripted(texts: &[&str]) -> (SocketAddr, Rc<Seen>) {
    let (listener, at) = support::station().await;
    let seen = Rc::new(Seen::default());
    let texts = Rc::new(RefCell::new(texts.iter().rev().map(|t| t.to_string()).collect::<Vec<_>>()));
    let saw = seen.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            saw.connections.set(saw.connections.get() + 1);
            let (texts, saw) = (texts.clone(), saw.clone());
            tokio::task::spawn_local(async move {
                let mut talk = TestConnection::over(stream);
                loop {
                    let head = talk.head().await;
                    if head.is_empty() {
                        return;
                    }
                    let Some(text) = texts.borrow_mut().pop() else { return };
                    talk.body(&head).await;
                    let id = value(&head, "attempt-id").unwrap_or_default();
                    saw.ids.borrow_mut().push(id.clone());
                    talk.say(text.replace("{id}", &id).as_bytes()).await;
                }
            });
        }
    });
    (at, seen)
}

/// An origin, and a gate before such an upstream.
async fn mesh(texts: &[&str]) -> (Sidecar, Sidecar, Rc<Seen>) {
    let (_, nobody) = support::station().await;
    let (at, seen) = scripted(texts).await;
    let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
    let gate = support::sidecar(2, at, SidecarOptions::default()).await;
    gate.beat();
    origin.hears_of(&gate);
    (origin, gate, seen)
}

async fn ask(origin: &Sidecar, route: &str, id: &str) -> (String, Vec<u8>) {
    let mut client = TestConnection::to(origin.at).await;
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    client.say(text.as_bytes()).await;
    let head = client.head().await;
    let (body, whole) = client.body(&head).await;
    assert!(whole, "{head}");
    (status(&head).to_string(), body)
}

#[test]
fn only_a_response_with_its_attempt_id_counts_and_only_the_upstream_promises_that_nothing_ran() {
    let cases = [
        // Without an id it may be any request's: a failure, and the word that nothing ran.
        ("once", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 503 X\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", "502"),
        // These promise that nothing ran, which this upstream has not said.
        ("once", "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 429 X\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", "502"),
        ("once", "HTTP/1.1 408 X\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", "502"),
        // A success did run, whatever else it says.
        (
            "once",
            "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nNot-Delivered: x\r\nContent-Length: 0\r\n\r\n",
            "502",
        ),
        // And those that are as they should be.
        ("once", "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n", "503"),
        ("once", "HTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "500"),
        ("once", "HTTP/1.1 404 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "404"),
        ("safe", "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n", "503"),
    ];
    for (route, text, want) in cases {
        support::run(async move {
            let (origin, ..) = mesh(&[text; 8]).await;
            assert_eq!(ask(&origin, route, "a").await.0, want, "{route}: {text}");
        });
    }
}

const OWN: &str = "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nok";

fn node_state(id: &str, length: usize) -> String {
    format!("POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nContent-Length: {length}\r\n\r\n")
}

/// What a client writes, whether it closes its half behind that, the statuses that it gets, and what reaches the upstream.
type Written<'t> = (&'t str, String, bool, &'t [&'t str], &'t [&'t str]);

#[test]
fn client_bytes_become_exactly_the_requests_that_were_sent() {
    const CHUNKS: &str =
        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n\
                          2;x=y\r\nok\r\n0\r\nAttempt-Id: t\r\n\r\n";
    let inner = node_state("smuggled", 0);
    let two = format!("{}{}", node_state("a", 0), node_state("b", 0));
    let none = format!(
        "POST /none HTTP/1.1\r\nHost: h\r\nAttempt-Id: n\r\nContent-Length: {}\r\n\r\n",
        2 * MAX_BUFFERED_BODY_BYTES
    );
    let twice = format!(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 0\r\nTransfer-Encoding: \
                         chunked\r\n\r\n0\r\n\r\n{inner}"
    );
    let unread =
        format!("{none}{}{inner}", "x".repeat(MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES / 2));
    let cases: [Written<'_>; 9] = [
        ("half closed", node_state("a", 0), true, &["200"], &["a"]),
        ("pipelined", two.clone(), false, &["200", "200"], &["a", "b"]),
        ("pipelined, half closed", two, true, &["200", "200"], &["a", "b"]),
        (
            "trailers, then another",
            format!("{CHUNKS}{}", node_state("b", 0)),
            false,
            &["200", "200"],
            &["a", "b"],
        ),
        (
            "a request within a body",
            format!("{}{inner}", node_state("a", inner.len())),
            false,
            &["200"],
            &["a"],
        ),
        ("an answer before a body's end", unread, false, &["404"], &[]),
        ("two framings", twice, false, &["400"], &[]),
        ("cut in its body", format!("{}abc", node_state("a", 4)), true, &[], &[]),
        ("no id", node_state("", 0), false, &["400"], &[]),
    ];
    for (name, bytes, closes, want, ids) in cases {
        support::run(async move {
            let (origin, _, seen) = mesh(&[OWN; 8]).await;
            let mut client = TestConnection::to(origin.at).await;
            // Where it is answered before its end, the rest finds a closed connection.
            let _ = client.stream.write_all(bytes.as_bytes()).await;
            if closes {
                let _ = client.stream.shutdown().await;
            }
            for status_wanted in want {
                let head = client.head().await;
                assert_eq!(status(&head), *status_wanted, "{name}: {head}");
                client.body(&head).await;
            }
            // Nothing else comes of it: it is closed, or serves the next request.
            if !closes && client.stream.write_all(node_state("last", 0).as_bytes()).await.is_ok() {
                let head = client.head().await;
                assert!(
                    head.is_empty() || value(&head, "attempt-id").as_deref() == Some("last"),
                    "{name}: {head}"
                );
            } else {
                assert_eq!(client.head().await, "", "{name}");
            }
            let ran: Vec<String> = seen.ids.borrow().iter().filter(|id| *id != "last").cloned().collect();
            assert_eq!(ran, ids, "{name}");
        });
    }
}

#[test]
fn a_connection_with_surplus_bytes_carries_no_further_request() {
    const OTHER: &str = "HTTP/1.1 200 X\r\nAttempt-Id: zz\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nno";
    let (before, behind, byte) = (format!("{OTHER}{OWN}"), format!("{OWN}{OTHER}"), format!("{OWN}X"));
    let huge = OWN.replace("Content", "Keep-Alive: timeout=18446744073709551615\r\nContent");
    let short = OWN.replace("Content", "Keep-Alive: timeout=0\r\nContent");
    for (first, lines) in [(&before, 2), (&behind, 2), (&byte, 2), (&short, 2), (&huge, 1)] {
        support::run(async move {
            let (origin, _, seen) = mesh(&[first, OWN]).await;
            for id in ["a", "b"] {
                assert_eq!(ask(&origin, "once", id).await, ("200".to_string(), b"ok".to_vec()), "{first}");
            }
            assert_eq!(seen.connections.get(), lines, "{first}");
        });
    }
}

/// What came since the reactor last looked is seen all the same.
#[test]
fn a_byte_on_an_idle_connection_is_seen_before_reuse() {
    support::run(async {
        for closes in [false, true] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let at = listener.local_addr().expect("bound");
            let stream = peer_connection::connect(None, at, std::time::Duration::from_secs(5))
                .await
                .expect("a connection");
            let (mut other, _) = listener.accept().expect("a connection");
            let line = Connection::new(stream, PeerKind::Sidecar);
            assert!(line.is_reusable());
            // No await from here on: the reactor has no chance to hear of it.
            if closes {
                drop(other);
            } else {
                other.write_all(b"X").expect("written");
            }
            assert!(!line.is_reusable(), "closes: {closes}");
        }
    });
}

#[test]
fn a_control_call_rejected_unread_gets_its_response_before_an_orderly_close() {
    support::run(async {
        let (_, nobody) = support::station().await;
        let sidecar = support::sidecar(1, nobody, SidecarOptions::default()).await;
        let (listener, at) = support::station().await;
        tokio::task::spawn_local(control::listen(
            sidecar.node_state.clone(),
            listener,
            &control::CONTROL_CALLS,
        ));
        let large = silvercross_mesh_config::MAX_BODY_BYTES + 1;
        for (framing, want) in
            [(format!("Content-Length: {large}"), "413"), ("Transfer-Encoding: gzip".to_string(), "400")]
        {
            let mut call = TestConnection::to(at).await;
            let mut bytes =
                format!("POST /-/Config.Patch HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n").into_bytes();
            bytes.extend([b'x'; 64 * 1024]);
            call.say(&bytes).await;
            assert_eq!(status(&call.head().await), want, "{framing}");
            let _ = call.stream.shutdown().await;
            let mut rest = Vec::new();
            let end = tokio::io::AsyncReadExt::read_to_end(&mut call.stream, &mut rest).await;
            assert_eq!(end.map_err(|e| e.kind()), Ok(0), "{framing}");
        }
    });
}

#[test]
fn an_unreadable_attempt_query_is_answered_may_have_run() {
    support::run(async {
        let (_, gate, _) = mesh(&[]).await;
        for (host, want) in [("gate", GateStatus::MayHaveRun), ("h", GateStatus::Unavailable)] {
            let mut hop = TestConnection::to(gate.inbound).await;
            let text = format!("GET / HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: a\r\nWaybill: ffff\r\n\r\n");
            hop.say(text.as_bytes()).await;
            let word =
                value(&hop.head().await, "waybill-return").and_then(|t| forwarding_headers::decode(&t));
            assert_eq!(word, Some(want), "{host}");
        }
    });
}

/// An upstream that answers behind a request's head and reads no more: its answer counts, the connection carries nothing further,
/// and what is unread of a body is nowhere taken for a request.
#[test]
fn a_response_before_the_request_is_complete_counts_and_ends_the_connection() {
    const AWAY: &str =
        "HTTP/1.1 503 X\r\nAttempt-Id: {id}\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n";
    const FAILED: &str = "HTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 0\r\n\r\n";
    const OTHER: &str =
        "HTTP/1.1 503 X\r\nAttempt-Id: zz\r\nNot-Delivered: full\r\nContent-Length: 0\r\n\r\n";
    for (text, want) in [(AWAY, "503"), (FAILED, "500"), (OWN, "200"), (OTHER, "504")] {
        for length in [20_000, MAX_BUFFERED_BODY_BYTES + 4_000_000] {
            support::run_paused(async move {
                let (_, nobody) = support::station().await;
                let (listener, at) = support::station().await;
                let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
                let gate = support::sidecar(2, at, SidecarOptions::default()).await;
                gate.beat();
                origin.hears_of(&gate);
                let heads = Rc::new(RefCell::new(Vec::new()));
                let seen = heads.clone();
                tokio::task::spawn_local(async move {
                    let mut open = Vec::new();
                    while let Ok((stream, _)) = listener.accept().await {
                        let mut talk = TestConnection::over(stream);
                        let head = talk.head().await;
                        let id = value(&head, "attempt-id").unwrap_or_default();
                        talk.say(text.replace("{id}", &id).as_bytes()).await;
                        seen.borrow_mut().push(id);
                        open.push(talk);
                    }
                });
                for id in ["a", "b"] {
                    let mut client = TestConnection::to(origin.at).await;
                    let head = node_state(id, length)
                        .replace("\r\n\r\n", "\r\nDeadline-Ms: 3000\r\n\r\n")
                        .replace("once", "up");
                    client.say(head.as_bytes()).await;
                    let (read, mut write) = client.stream.into_split();
                    // Answered before its end, the rest may find a closed connection.
                    let writes = tokio::task::spawn_local(async move {
                        let _ = write
                            .write_all(
                                &"POST /once/x HTTP/1.1\r\n\r\n".repeat(length / 25 + 1).as_bytes()[..length],
                            )
                            .await;
                        write
                    });
                    let mut read = read;
                    let mut come = Vec::new();
                    while !come.windows(4).any(|w| w == b"\r\n\r\n") {
                        let n = tokio::io::AsyncReadExt::read_buf(&mut read, &mut come).await.unwrap_or(0);
                        assert!(n > 0, "{want}, {length}: {come:?}");
                    }
                    assert_eq!(status(&String::from_utf8_lossy(&come)), want, "{length}");
                    writes.abort();
                }
                let ran = heads.borrow().clone();
                assert!(ran.iter().all(|id| ["a", "b"].contains(&id.as_str())), "{ran:?}");
                // Each on a connection of its own, though the upstream kept them all open.
                assert_eq!(ran.iter().filter(|id| *id == "b").count(), 1, "{ran:?}");
            });
        }
    }
}

/// A body that stalls is answered 408 as long as none of it went on; else nothing is promised.
#[test]
fn a_stalled_body_is_answered_408_only_if_none_of_it_was_forwarded() {
    for (length, sent, promised) in [
        (1000, 10, true),
        (2 * MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES - 1, true),
        (3 * MAX_BUFFERED_BODY_BYTES, 2 * MAX_BUFFERED_BODY_BYTES, false),
    ] {
        support::run_paused(async move {
            let (origin, _, seen) = mesh(&[OWN]).await;
            let mut client = TestConnection::to(origin.at).await;
            let head = node_state("a", length)
                .replace("\r\n\r\n", "\r\nDeadline-Ms: 3000\r\n\r\n")
                .replace("once", "up");
            client.say(head.as_bytes()).await;
            client.say(&vec![b'x'; sent]).await;
            let head = client.head().await;
            assert_eq!(status(&head) == "408", promised, "{sent} of {length}: {head}");
            assert!(!matches!(status(&head), "421" | "429" | "503"), "{sent} of {length}: {head}");
            assert!(seen.ids.borrow().is_empty() || !promised);
        });
    }
}
