//! Streamed bodies, and the memory budget of buffered bodies.
use crate::body_budget::BodyBudget;
use crate::tests::support::{
    self, bind_upstream, header_value, patterned_bytes, status, upstream_response_head, BoundUpstream,
    ReceivedBody, Sidecar, SidecarOptions, TestConnection, ATTEMPT_ID_LINE,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LARGE: usize = 6 * MAX_BUFFERED_BODY_BYTES + 12_345;

/// A sidecar and the listener of its upstream.
struct Gate {
    sidecar: Sidecar,
    upstream: TcpListener,
}

/// Starts an origin that knows `count` gates.
async fn start_mesh(count: u8) -> (Sidecar, Vec<Gate>) {
    let unused_address = bind_upstream().await.address;
    let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
    let mut gates = Vec::new();
    for last_octet in 2..2 + count {
        let BoundUpstream { listener, address } = bind_upstream().await;
        let sidecar = support::start_sidecar(last_octet, address, SidecarOptions::default()).await;
        origin.learn_sidecar(&sidecar);
        gates.push(Gate { sidecar, upstream: listener });
    }
    (origin, gates)
}

/// Starts an origin and a gate in front of an upstream; one sidecar is both if the upstream is local.
async fn start_pair(is_local: bool) -> (Sidecar, Gate) {
    if is_local {
        let BoundUpstream { listener, address } = bind_upstream().await;
        let origin = support::start_sidecar(1, address, SidecarOptions::default()).await;
        return (origin.clone(), Gate { sidecar: origin, upstream: listener });
    }
    let (origin, mut gates) = start_mesh(1).await;
    (origin, gates.remove(0))
}

/// A request as an upstream received it.
struct UpstreamRequest {
    head: String,
    body: ReceivedBody,
}

/// The largest reservation seen in any of these budgets.
struct PeakReservation {
    budgets: [Rc<BodyBudget>; 2],
    bytes: Cell<u64>,
}

impl PeakReservation {
    fn sample(&self) {
        let reserved = self.budgets.iter().map(|budget| budget.reserved_bytes()).max().unwrap_or(0);
        self.bytes.set(self.bytes.get().max(reserved));
    }
}

/// The header line that frames a body.
fn framing(is_chunked: bool, length: usize) -> String {
    match is_chunked {
        true => "Transfer-Encoding: chunked\r\n".to_string(),
        false => format!("Content-Length: {length}\r\n"),
    }
}

/// Sends a body in parts of this many bytes.
async fn send_body(
    connection: &mut TestConnection,
    body: &[u8],
    part_bytes: usize,
    is_chunked: bool,
    sent_part: impl Fn(),
) {
    for part in body.chunks(part_bytes) {
        if is_chunked {
            connection.send(format!("{:x}\r\n", part.len()).as_bytes()).await;
        }
        connection.send(part).await;
        sent_part();
        if is_chunked {
            connection.send(b"\r\n").await;
        }
    }
    if is_chunked {
        connection.send(b"0\r\n\r\n").await;
    }
}

/// Runs an upstream that reads one request and answers it with this body.
async fn answer_once(
    listener: TcpListener,
    response_body: Vec<u8>,
    is_chunked: bool,
    peak: Rc<PeakReservation>,
) -> UpstreamRequest {
    let (stream, _) = listener.accept().await.expect("accepted connection");
    let mut connection = TestConnection::from_stream(stream);
    let head = connection.read_head().await;
    let body = connection.read_body(&head).await;
    peak.sample();
    let framing = framing(is_chunked, response_body.len());
    connection.send(upstream_response_head(&head, 200, &framing).as_bytes()).await;
    send_body(&mut connection, &response_body, 100_000, is_chunked, || peak.sample()).await;
    UpstreamRequest { head, body }
}

#[test]
fn large_request_and_response_bodies_are_streamed_in_bounded_memory() {
    support::run(async {
        for (is_chunked, is_local) in [(false, false), (true, false), (false, true)] {
            let (origin, gate) = start_pair(is_local).await;
            gate.sidecar.send_heartbeat();
            let budgets = [&origin, &gate.sidecar].map(|sidecar| sidecar.node_state.body_budget.clone());
            let peak = Rc::new(PeakReservation { budgets, bytes: Cell::new(0) });
            let (body, response_body) = (patterned_bytes(LARGE), patterned_bytes(LARGE - 77));
            let answering = answer_once(gate.upstream, response_body.clone(), is_chunked, peak.clone());
            let upstream = tokio::task::spawn_local(answering);
            let mut client = TestConnection::connect(origin.outbound).await;
            let framing = framing(is_chunked, LARGE);
            let head = format!("POST /up/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}{framing}\r\n");
            client.send(head.as_bytes()).await;
            let part_bytes = if is_chunked { 70_000 } else { LARGE };
            send_body(&mut client, &body, part_bytes, is_chunked, || ()).await;
            let head = client.read_head().await;
            assert_eq!(status(&head), "200", "{head}");
            let received = client.read_body(&head).await;
            assert!(received == ReceivedBody { bytes: response_body, is_complete: true });
            let request = upstream.await.expect("completed without panic");
            assert!(request.body == ReceivedBody { bytes: body, is_complete: true });
            let head = request.head;
            assert_eq!(header_value(&head, "sender").as_deref(), Some("quotes"));
            assert!(
                header_value(&head, "expect").is_none() && header_value(&head, "waybill").is_none(),
                "{head}"
            );
            let max_reserved = 2 * (MAX_BUFFERED_BODY_BYTES as u64 + 65_536);
            assert!(peak.bytes.get() <= max_reserved, "{}", peak.bytes.get());
            // The connection is still usable.
            client.send(format!("GET /none HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}\r\n").as_bytes()).await;
            assert_eq!(status(&client.read_head().await), "404");
            let reserved = peak.budgets.each_ref().map(|budget| budget.reserved_bytes());
            assert_eq!(reserved, [0, 0]);
        }
    });
}

#[test]
fn a_large_request_rejected_by_one_gate_is_sent_whole_to_another() {
    const REQUESTS: u64 = 4;
    support::run(async {
        let (origin, gates) = start_mesh(2).await;
        let [first, second] = <[Gate; 2]>::try_from(gates).unwrap_or_else(|_| panic!("expected two gates"));
        // The first gate has received no heartbeat, so it rejects all requests.
        second.sidecar.send_heartbeat();
        let body = patterned_bytes(LARGE);
        let (listener, expected) = (second.upstream, body.clone());
        let upstream = tokio::task::spawn_local(async move {
            for _ in 0..REQUESTS {
                let (stream, _) = listener.accept().await.expect("accepted connection");
                let mut connection = TestConnection::from_stream(stream);
                let head = connection.read_head().await;
                let received = connection.read_body(&head).await;
                assert!(received.is_complete && received.bytes == expected);
                let framing = "Connection: close\r\nContent-Length: 0\r\n";
                connection.send(upstream_response_head(&head, 200, framing).as_bytes()).await;
            }
        });
        for id in 0..REQUESTS {
            let mut client = TestConnection::connect(origin.outbound).await;
            let head = format!(
                "POST /up/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nContent-Length: {LARGE}\r\n\r\n"
            );
            client.send(head.as_bytes()).await;
            client.send(&body).await;
            let head = client.read_head().await;
            assert_eq!(status(&head), "200", "{head}");
        }
        upstream.await.expect("completed without panic");
        assert_eq!(first.sidecar.node_state.body_budget.reserved_bytes(), 0);
        assert_eq!(second.sidecar.node_state.counters.delivered_requests.get(), REQUESTS);
    });
}

/// Reads until the connection ends; `None` if it was closed by a FIN, else the error.
async fn read_to_end(client: &mut TestConnection) -> Option<ErrorKind> {
    let mut buffer = vec![0; 1 << 16];
    loop {
        match client.stream.read(&mut buffer).await {
            Ok(0) => return None,
            Ok(_) => {}
            Err(e) => return Some(e.kind()),
        }
    }
}

#[test]
fn a_response_that_breaks_off_does_not_appear_complete() {
    support::run(async {
        for (framing, version) in [
            ("Transfer-Encoding: chunked\r\n", "1.1"),
            ("Content-Length: 9000000\r\n", "1.1"),
            ("Transfer-Encoding: chunked\r\n", "1.0"),
        ] {
            let (origin, mut gates) = start_mesh(1).await;
            let Gate { sidecar, upstream } = gates.remove(0);
            sidecar.send_heartbeat();
            tokio::task::spawn_local(async move {
                let (stream, _) = upstream.accept().await.expect("accepted connection");
                let mut connection = TestConnection::from_stream(stream);
                let head = connection.read_head().await;
                connection.send(upstream_response_head(&head, 200, framing).as_bytes()).await;
                let part = patterned_bytes(2 * MAX_BUFFERED_BODY_BYTES);
                if framing.starts_with('T') {
                    connection.send(format!("{:x}\r\n", part.len()).as_bytes()).await;
                }
                connection.send(&part).await;
            });
            let mut client = TestConnection::connect(origin.outbound).await;
            let request = format!("GET /safe/x HTTP/{version}\r\nHost: h\r\n{ATTEMPT_ID_LINE}\r\n");
            client.send(request.as_bytes()).await;
            let head = client.read_head().await;
            assert_eq!(status(&head), "200", "{head}");
            if version == "1.0" {
                // Without a length or chunks, only a reset shows that the response is incomplete.
                assert_eq!(read_to_end(&mut client).await, Some(ErrorKind::ConnectionReset));
            } else {
                assert!(!client.read_body(&head).await.is_complete);
            }
        }
    });
}

#[test]
fn bodies_beyond_the_buffer_budget_are_refused_with_retry_after() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        let options = SidecarOptions { memory_bytes: 4 * 100_000, ..SidecarOptions::default() };
        let origin = support::start_sidecar(1, unused_address, options).await;
        for body_bytes in [99_000, 200_000, 99_000] {
            let mut client = TestConnection::connect(origin.outbound).await;
            let head = format!(
                "POST /up/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}Content-Length: {body_bytes}\r\n\r\n"
            );
            client.send(head.as_bytes()).await;
            // The write may fail: an early rejection closes the connection.
            let _ = client.stream.write_all(&patterned_bytes(body_bytes)).await;
            let head = client.read_head().await;
            assert_eq!(status(&head), "503", "{head}");
            assert!(header_value(&head, "retry-after").is_some());
            let closes = header_value(&head, "connection").is_some();
            assert_eq!(closes, body_bytes > 100_000, "{head}");
        }
        let node_state = &origin.node_state;
        assert_eq!(node_state.counters.rejected_for_memory.get(), 1);
        assert_eq!(node_state.body_budget.reserved_bytes(), 0);
    });
}
