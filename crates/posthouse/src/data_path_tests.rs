//! Answers and connections as they should not be, at the places where the data path has to see it. Every cut of a request on its
//! way: `cut_points_tests`.
use crate::trial::{self, status, value, Sidecar, Talk, Terms};
use crate::wire::{End, Line};
use crate::{control, hop};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;

/// An upstream that answers each request with the next of these texts, `{id}` replaced; counts connections.
async fn scripted(texts: &[&str]) -> (SocketAddr, Rc<Cell<usize>>) {
    let (listener, at) = trial::station().await;
    let lines = Rc::new(Cell::new(0));
    let texts = Rc::new(RefCell::new(texts.iter().rev().map(|t| t.to_string()).collect::<Vec<_>>()));
    let count = lines.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let texts = texts.clone();
            tokio::task::spawn_local(async move {
                let mut talk = Talk::over(stream);
                loop {
                    let head = talk.head().await;
                    if head.is_empty() {
                        return;
                    }
                    let Some(text) = texts.borrow_mut().pop() else { return };
                    let id = value(&head, "attempt-id").unwrap_or_default();
                    talk.say(text.replace("{id}", &id).as_bytes()).await;
                }
            });
        }
    });
    (at, lines)
}

/// An origin, and a gate before such an upstream.
async fn mesh(texts: &[&str]) -> (Sidecar, Sidecar, Rc<Cell<usize>>) {
    let (_, nobody) = trial::station().await;
    let (at, lines) = scripted(texts).await;
    let origin = trial::sidecar(1, nobody, Terms::default()).await;
    let gate = trial::sidecar(2, at, Terms::default()).await;
    gate.beat();
    origin.hears_of(&gate);
    (origin, gate, lines)
}

async fn ask(origin: &Sidecar, route: &str, id: &str) -> (String, Vec<u8>) {
    let mut client = Talk::to(origin.at).await;
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
fn only_an_answer_with_its_id_counts_and_only_the_upstreams_own_word_is_a_promise() {
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
        trial::run(async move {
            let (origin, ..) = mesh(&[text; 8]).await;
            assert_eq!(ask(&origin, route, "a").await.0, want, "{route}: {text}");
        });
    }
}

#[test]
fn a_connection_that_brought_more_than_its_answer_carries_no_further_request() {
    const OWN: &str = "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nok";
    const OTHER: &str = "HTTP/1.1 200 X\r\nAttempt-Id: zz\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nno";
    let (before, behind, byte) = (format!("{OTHER}{OWN}"), format!("{OWN}{OTHER}"), format!("{OWN}X"));
    let huge = OWN.replace("Content", "Keep-Alive: timeout=18446744073709551615\r\nContent");
    let short = OWN.replace("Content", "Keep-Alive: timeout=0\r\nContent");
    for (first, lines) in [(&before, 2), (&behind, 2), (&byte, 2), (&short, 2), (&huge, 1)] {
        trial::run(async move {
            let (origin, _, count) = mesh(&[first, OWN]).await;
            for id in ["a", "b"] {
                assert_eq!(ask(&origin, "once", id).await, ("200".to_string(), b"ok".to_vec()), "{first}");
            }
            assert_eq!(count.get(), lines, "{first}");
        });
    }
}

/// What came since the reactor last looked is seen all the same.
#[test]
fn a_byte_on_an_idle_connection_is_seen_before_the_connection_is_used_again() {
    trial::run(async {
        for closes in [false, true] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let at = listener.local_addr().expect("bound");
            let stream =
                hop::connect(None, at, std::time::Duration::from_secs(5)).await.expect("a connection");
            let (mut other, _) = listener.accept().expect("a connection");
            let line = Line::new(stream, End::Hop);
            assert!(line.is_fresh());
            // No await from here on: the reactor has no chance to hear of it.
            if closes {
                drop(other);
            } else {
                other.write_all(b"X").expect("written");
            }
            assert!(!line.is_fresh(), "closes: {closes}");
        }
    });
}

#[test]
fn a_call_that_is_refused_unread_gets_its_answer_before_an_orderly_close() {
    trial::run(async {
        let (_, nobody) = trial::station().await;
        let sidecar = trial::sidecar(1, nobody, Terms::default()).await;
        let (listener, at) = trial::station().await;
        tokio::task::spawn_local(control::listen(sidecar.post.clone(), listener, &control::CALLS));
        let large = silvercross_sorting::MAX_BODY + 1;
        for (framing, want) in
            [(format!("Content-Length: {large}"), "413"), ("Transfer-Encoding: gzip".to_string(), "400")]
        {
            let mut call = Talk::to(at).await;
            let mut bytes =
                format!("POST /-/Config.Patch HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n").into_bytes();
            bytes.extend([b'x'; 64 * 1024]);
            call.say(&bytes).await;
            assert_eq!(status(&call.head().await), want, "{framing}");
            let _ = tokio::io::AsyncWriteExt::shutdown(&mut call.stream).await;
            let mut rest = Vec::new();
            let end = tokio::io::AsyncReadExt::read_to_end(&mut call.stream, &mut rest).await;
            assert_eq!(end.map_err(|e| e.kind()), Ok(0), "{framing}");
        }
    });
}
