//! The event loop without `run`: each test calls the handlers for readiness step by step.
use super::*;
use silvercross_facade::{Clock, Health, Host};
use std::io::{BufRead, Write};
use std::net::TcpStream;

/// An event loop with one client whose request was sent to an upstream that does not respond.
fn with_a_request() -> (EventLoop, TcpStream, TcpListener) {
    let upstream = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("set");
    let settings = r#"{"areas":["a"],"classes":[{"name":"read","aim_s":2,"deadline_s":6,"effect":"once"}],
        "limits":{"attempts_cap":3,"connect_timeout_s":0.25,"may_cancel":true},"rules":{}}"#;
    let value = serde_json::from_str(settings).expect("JSON");
    let (settings, front) = silvercross_settings::read_value(value).expect("settings");
    let host = Host {
        name: "s".into(),
        address: upstream.local_addr().ok(),
        zone: "a".into(),
        kind: "k".into(),
        cell: 0,
        health: Health::Ready,
        size: 1.0,
        started_ms: 0,
    };
    let bounds = Bounds {
        descriptors: 64,
        buffer_bytes: 1 << 24,
        connect_timeout: 250_000,
        completion_timeout: 100_000,
        upstream_idle_timeout: None,
    };
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("accepted");
    let parts = Parts {
        registry: Registry::new().expect("a poller"),
        balancer: Balancer::new(settings, front, 1, &[host], Clock::system()),
        listen_at: listener.local_addr().expect("bound"),
        listener: Some(listener),
        stops: UnixStream::pair().expect("a pair").0,
        reloads: UnixStream::pair().expect("a pair").0,
        reread: Box::new(|| Err("no file".into())),
        discovery: upstream.local_addr().ok(),
        gateway: None,
        management_listener: None,
        classes: vec!["read".into()],
        seat: None,
        peers: None,
        seq: 0,
        bounds,
        log: Logger::root(slog::Discard, slog::o!()),
    };
    let mut l = EventLoop::new(parts).expect("made");
    client
        .write_all(b"GET /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: read\r\n\r\n")
        .expect("written");
    while l.requests.is_empty() {
        l.accept();
        l.connections.from_applications().into_iter().for_each(|h| l.ready(h));
    }
    (l, client, upstream)
}

fn answer(client: &mut TcpStream) -> String {
    let mut line = String::new();
    io::BufReader::new(client).read_line(&mut line).expect("an answer");
    line
}

#[test]
fn a_panic_over_a_client_answers_that_client_and_no_more() {
    let (mut l, mut client, _upstream) = with_a_request();
    let handle = l.connections.from_applications()[0];
    l.catch_panic(Some(handle), |_| panic!("on purpose"));
    assert!(answer(&mut client).starts_with("HTTP/1.1 502 "));
    assert_eq!((l.requests.len(), l.balancer.unanswered(), l.counts.panics), (0, 0, 1));
}

#[test]
fn a_panic_over_an_attempt_ends_that_attempt() {
    let (mut l, mut client, _upstream) = with_a_request();
    let attempt = l.requests.iter().next().and_then(|(_, r)| r.attempts[0]).expect("one");
    while !matches!(l.connections.upstream(attempt).map(|c| c.work), Some(Work::Busy(_, Stage::Waiting))) {
        l.ready(attempt);
    }
    l.catch_panic(Some(attempt), |_| panic!("on purpose"));
    // It may have been executed and must not be executed twice, so it fails as if the connection had broken.
    assert!(answer(&mut client).starts_with("HTTP/1.1 502 "));
    assert_eq!((l.requests.len(), l.balancer.unanswered()), (0, 0));
}

#[test]
fn a_connection_between_requests_is_idle_and_never_stalls() {
    // Regression test: an empty input buffer that was not returned made the connection look like one in the middle of a
    // request.
    let (mut l, _client, _upstream) = with_a_request();
    let at = l.listen_at;
    let before = l.connections.from_applications();
    let mut other = TcpStream::connect(at).expect("accepted");
    other.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").expect("written");
    while l.connections.applications == before.len() {
        l.accept();
    }
    let new = l.connections.from_applications().into_iter().find(|h| !before.contains(h)).expect("accepted");
    let out = l.pool.in_use();
    other.set_nonblocking(true).expect("set");
    while matches!(other.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
        l.ready(new);
    }
    let c = l.connections.application(new).expect("open");
    assert!(c.is_idle() && c.stalled_at.is_none());
    assert_eq!(l.pool.in_use(), out, "it holds no buffer");
}

#[test]
fn without_buffers_a_request_is_refused_not_dropped() {
    let (mut l, _client, _upstream) = with_a_request();
    let mut late = TcpStream::connect(l.listen_at).expect("accepted");
    let hoard: Vec<_> = std::iter::from_fn(|| l.pool.take_for_response()).collect();
    late.write_all(b"GET /api HTTP/1.1\r\n\r\n").expect("written");
    let before = l.connections.applications;
    while l.connections.applications == before {
        l.accept();
    }
    let handle = *l.connections.from_applications().last().expect("accepted");
    while l.connections.application(handle).is_some_and(|c| c.state == State::Reading) {
        l.ready(handle);
    }
    assert!(answer(&mut late).starts_with("HTTP/1.1 503 "));
    hoard.into_iter().for_each(|b| l.pool.put_back(b));
}

/// Another client's request, and the connection of its attempt.
fn another_request(l: &mut EventLoop, id: &str) -> (TcpStream, Handle) {
    let mut client = TcpStream::connect(l.listen_at).expect("accepted");
    let text = format!("GET /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: read\r\n\r\n");
    client.write_all(text.as_bytes()).expect("written");
    let before = l.requests.len();
    while l.requests.len() == before {
        l.accept();
        l.connections.from_applications().into_iter().for_each(|h| l.ready(h));
    }
    let newest = l.requests.iter().max_by_key(|(h, _)| h.number()).and_then(|(_, r)| r.attempts[0]);
    (client, newest.expect("one"))
}

/// The upstream's end of an attempt's connection, found among all that its listener accepted.
fn other_end(l: &mut EventLoop, attempt: Handle, upstream: &TcpListener) -> TcpStream {
    let here = l.connections.upstream(attempt).and_then(|c| c.socket.get().local_addr().ok()).expect("bound");
    (0..8).filter_map(|_| upstream.accept().ok()).find(|(_, from)| *from == here).expect("accepted").0
}

fn is_delayed(l: &mut EventLoop, attempt: Handle) -> bool {
    l.connections
        .upstream(attempt)
        .is_some_and(|c| c.held && c.buffer.as_ref().is_some_and(|b| b.filled().len() == 1))
}

#[test]
fn a_connection_that_ends_before_the_last_byte_has_run_nothing() {
    let (mut l, _client, upstream) = with_a_request();
    // As after a connection broke: the last byte is delayed.
    l.delay_last_byte_until = Micros::MAX;
    let (mut client, attempt) = another_request(&mut l, "2");
    while !is_delayed(&mut l, attempt) {
        l.ready(attempt);
    }
    drop(other_end(&mut l, attempt, &upstream));
    while l.connections.upstream(attempt).is_some() {
        l.ready(attempt);
    }
    // It was not executed, so it is refused and the client may retry.
    assert!(answer(&mut client).starts_with("HTTP/1.1 503 "));
}

#[test]
fn the_last_byte_follows_on_a_connection_that_stands() {
    let (mut l, _client, upstream) = with_a_request();
    l.delay_last_byte_until = Micros::MAX;
    let (mut client, attempt) = another_request(&mut l, "2");
    while !is_delayed(&mut l, attempt) {
        l.ready(attempt);
    }
    let stream = other_end(&mut l, attempt, &upstream);
    let Some(Work::Busy(number, _)) = l.connections.upstream(attempt).map(|c| c.work) else {
        panic!("not busy")
    };
    l.send_last_byte(attempt, number);
    let mut lines = io::BufReader::new(&stream).lines();
    while !lines.next().expect("a whole head").expect("text").is_empty() {}
    (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
    while matches!(l.connections.upstream(attempt).map(|c| c.work), Some(Work::Busy(..))) {
        l.ready(attempt);
    }
    assert!(answer(&mut client).starts_with("HTTP/1.1 200 "));
}
