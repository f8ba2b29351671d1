//! Limits of the gate towards other sidecars: head size and number of connections.
use crate::forwarding_headers::{self, GateStatus};
use crate::tests::support::{
    self, bind_upstream, header_value, status, upstream_response_head, SidecarOptions, TestConnection,
};
use crate::upstream_gate::{MEMORY_RETRY_AFTER, SIDECAR_CONNECTION_DIVISOR};

/// The limits on header lines and bytes of a client's request head.
const MAX_HEADER_LINES: usize = 64;
const MAX_HEAD_BYTES: usize = 16_384;

fn request_with(header_lines: usize, filler_bytes: usize) -> String {
    let more = "X-More: 1\r\n".repeat(header_lines - 3);
    let filler = "a".repeat(filler_bytes);
    format!(
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {header_lines}-{filler_bytes}\r\n{more}X: {filler}\r\n\r\n"
    )
}

/// The headers that a sidecar adds must not push a request head over the limit of the next sidecar.
#[test]
fn the_largest_head_of_a_client_passes_between_sidecars() {
    support::run(async {
        let upstream = bind_upstream().await;
        let unused_address = bind_upstream().await.address;
        let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let gate = support::start_sidecar(2, upstream.address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        origin.learn_sidecar(&gate);
        tokio::task::spawn_local(async move {
            let (stream, _) = upstream.listener.accept().await.expect("accepted connection");
            let mut connection = TestConnection::from_stream(stream);
            loop {
                let head = connection.read_head().await;
                if head.is_empty() {
                    return;
                }
                connection.send(upstream_response_head(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
            }
        });
        let max_filler_bytes = MAX_HEAD_BYTES - request_with(MAX_HEADER_LINES, 0).len() - 4;
        for (header_lines, filler_bytes, expected) in [
            (MAX_HEADER_LINES, max_filler_bytes, "200"),
            (MAX_HEADER_LINES, max_filler_bytes + 20, "431"),
            (MAX_HEADER_LINES + 1, 0, "431"),
        ] {
            let mut client = TestConnection::connect(origin.outbound).await;
            client.send(request_with(header_lines, filler_bytes).as_bytes()).await;
            let head = client.read_head().await;
            assert_eq!(status(&head), expected, "{header_lines} lines, {filler_bytes}");
        }
    });
}

#[test]
fn connections_beyond_the_limit_are_told_that_nothing_began() {
    const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    support::run(async {
        let address = bind_upstream().await.address;
        let options =
            SidecarOptions { descriptors: 2 * SIDECAR_CONNECTION_DIVISOR, ..SidecarOptions::default() };
        let gate = support::start_sidecar(2, address, options).await;
        let counters = &gate.node_state.counters;
        let mut first = TestConnection::connect(gate.inbound).await;
        let mut second = TestConnection::connect(gate.inbound).await;
        // A partial head keeps both connections from being idle.
        first.send(b"GET").await;
        second.send(b"GET").await;
        while counters.hop_connections.get() < 2 || counters.idle_hop_connections.get() > 0 {
            tokio::task::yield_now().await;
        }
        let mut third = TestConnection::connect(gate.inbound).await;
        let head = third.read_head().await;
        let status = header_value(&head, "waybill-return").and_then(|t| forwarding_headers::decode(&t));
        assert_eq!(status, Some(GateStatus::Overloaded(MEMORY_RETRY_AFTER)));
        assert_eq!((counters.hop_connections.get(), counters.rejected_hops.get()), (2, 1));
        drop(first);
        while counters.hop_connections.get() > 1 {
            tokio::task::yield_now().await;
        }
        let mut fourth = TestConnection::connect(gate.inbound).await;
        fourth.send(REQUEST).await;
        assert!(header_value(&fourth.read_head().await, "waybill-life").is_some());
        // An idle connection is closed to admit a new one.
        let mut fifth = TestConnection::connect(gate.inbound).await;
        assert_eq!(fourth.receive().await, 0);
        fifth.send(REQUEST).await;
        assert!(header_value(&fifth.read_head().await, "waybill-life").is_some());
        assert_eq!((counters.hop_connections.get(), counters.rejected_hops.get()), (2, 1));
    });
}
