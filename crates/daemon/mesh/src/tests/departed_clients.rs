//! Clients that disconnect while their requests are served: each hop ends the request at once, and the upstream sees its
//! connection end.
use crate::node_state::{DepartedPeer, DepartureCounts};
use crate::tests::support::{
    self, accept_request, bind_upstream, patterned_bytes, status, upstream_response_head, Sidecar,
    SidecarOptions, SidecarPair, TestConnection, UpstreamLocation, ATTEMPT_ID_LINE, SERVICE,
    UPSTREAM_LOCATIONS,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use silvercross_admission::Load;
use std::cell::Cell;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum DepartureKind {
    /// It closes the connection with a FIN.
    Closes,
    /// It resets the connection.
    Resets,
    /// It closes only its sending direction.
    HalfCloses,
    /// It sends part of another request, then closes the connection.
    ClosesBehindNextRequest,
}

const DEPARTURE_KINDS: [DepartureKind; 4] = [
    DepartureKind::Closes,
    DepartureKind::Resets,
    DepartureKind::HalfCloses,
    DepartureKind::ClosesBehindNextRequest,
];

/// Concurrent requests that the upstream accepts.
const SLOTS: usize = 8;

/// An origin, a gate and its upstream, ready for requests.
struct Mesh {
    origin: Sidecar,
    gate: Sidecar,
    upstream: TcpListener,
    sent_requests: Cell<usize>,
}

impl Mesh {
    async fn start(upstream_location: UpstreamLocation) -> Mesh {
        let SidecarPair { origin, gate, upstream } = SidecarPair::start(upstream_location).await;
        Mesh { origin, gate, upstream, sent_requests: Cell::new(0) }
    }

    /// Sends a request, and returns the client's and the upstream's connection once the upstream has received all of it.
    async fn begin_request(&self, route: &str) -> (TestConnection, TestConnection) {
        let client = self.send_request(route, &[]).await;
        let upstream = accept_request(&self.upstream).await;
        (client, upstream)
    }

    async fn send_request(&self, route: &str, body: &[u8]) -> TestConnection {
        let mut client = TestConnection::connect(self.origin.outbound).await;
        self.sent_requests.set(self.sent_requests.get() + 1);
        let lines =
            format!("Attempt-Id: a{}\r\nContent-Length: {}\r\n", self.sent_requests.get(), body.len());
        let head = format!("POST /{route}/x HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
        client.send(head.as_bytes()).await;
        client.send(body).await;
        client
    }

    fn load(&self) -> Load {
        self.gate.node_state.gate.with_admission(|admission| admission.load())
    }

    /// Waits until no request is left on any hop.
    async fn wait_until_idle(&self) {
        while self.load().in_flight + self.load().pending > 0
            || self.origin.node_state.counters.open_requests.get() > 0
        {
            tokio::task::yield_now().await;
        }
    }

    fn departures(&self) -> DepartureCounts {
        self.origin.node_state.departures.counts(DepartedPeer::Client)
    }

    /// Asserts that no upstream is avoided and no request was counted as rejected or failed.
    fn assert_no_failures(&self, case: &str) {
        let balancer = self.origin.node_state.service_balancer(SERVICE).expect("known service");
        assert_eq!(balancer.upstream_counts().avoided, 0, "{case}: the upstream must not be avoided");
        let (origin, gate) = (&self.origin.node_state.counters, &self.gate.node_state.counters);
        assert_eq!((origin.failed_requests.get(), gate.rejected_by_gate.get()), (0, 0), "{case}");
    }
}

/// Disconnects the client; returns its connection if it is only half-closed.
async fn disconnect(mut client: TestConnection, departure: DepartureKind) -> Option<TestConnection> {
    match departure {
        DepartureKind::Closes => None,
        DepartureKind::Resets => {
            let socket = socket2::SockRef::from(&client.stream);
            socket.set_linger(Some(std::time::Duration::ZERO)).expect("SO_LINGER is set");
            None
        }
        DepartureKind::HalfCloses => {
            client.stream.shutdown().await.expect("half-closed");
            Some(client)
        }
        DepartureKind::ClosesBehindNextRequest => {
            client.send(b"GET /safe/next HTTP/1.1\r\nHost: h\r\n").await;
            None
        }
    }
}

#[test]
fn a_client_that_leaves_ends_its_repeatable_request_on_every_hop() {
    support::run(async {
        for upstream_location in UPSTREAM_LOCATIONS {
            for departure in DEPARTURE_KINDS {
                let case = format!("{upstream_location:?} {departure:?}");
                let mesh = Mesh::start(upstream_location).await;
                let (client, mut upstream) = mesh.begin_request("safe").await;
                let _half_closed = disconnect(client, departure).await;
                assert_eq!(upstream.receive().await, 0, "{case}: the upstream connection must end");
                mesh.wait_until_idle().await;
                mesh.assert_no_failures(&case);
                assert_eq!((mesh.departures().departures, mesh.departures().outlived), (1, 0), "{case}");
            }
        }
    });
}

/// A request that may have begun runs to its end; a client that still reads gets the response.
#[test]
fn what_may_run_once_and_has_begun_is_carried_on() {
    support::run(async {
        for upstream_location in UPSTREAM_LOCATIONS {
            for departure in DEPARTURE_KINDS {
                for body in [vec![], patterned_bytes(40_000)] {
                    let case = format!("{upstream_location:?} {departure:?} {}", body.len());
                    let mesh = Mesh::start(upstream_location).await;
                    let client = mesh.send_request("once", &body).await;
                    let mut upstream = accept_request(&mesh.upstream).await;
                    let half_closed = disconnect(client, departure).await;
                    while mesh.departures().departures == 0 {
                        tokio::task::yield_now().await;
                    }
                    assert!(upstream.is_open_and_quiet().await, "{case}");
                    let head = upstream_response_head(
                        &format!("x\r\n{ATTEMPT_ID_LINE}"),
                        200,
                        "Content-Length: 0\r\n",
                    );
                    upstream.send(head.as_bytes()).await;
                    mesh.wait_until_idle().await;
                    mesh.assert_no_failures(&case);
                    assert_eq!(mesh.departures().carried_on, 1, "{case}");
                    assert_eq!(
                        mesh.gate.node_state.counters.delivered_requests.get(),
                        1,
                        "{case}: delivered once"
                    );
                    if let Some(mut client) = half_closed {
                        assert_eq!(status(&client.read_head().await), "200", "{case}");
                    }
                }
            }
        }
    });
}

/// The place in the gate's queue is freed at once, whatever the kind of request.
#[test]
fn what_waits_at_a_gate_is_dropped_when_its_client_leaves() {
    support::run(async {
        for upstream_location in UPSTREAM_LOCATIONS {
            for route in ["safe", "once"] {
                let case = format!("{upstream_location:?} {route}");
                let mesh = Mesh::start(upstream_location).await;
                let mut running = Vec::new();
                let waiting = loop {
                    let client = mesh
                        .send_request(if mesh.load().in_flight < SLOTS { "once" } else { route }, &[])
                        .await;
                    while mesh.load().in_flight + mesh.load().pending < mesh.sent_requests.get() {
                        tokio::task::yield_now().await;
                    }
                    if mesh.load().pending > 0 {
                        break client;
                    }
                    running.push((client, accept_request(&mesh.upstream).await));
                };
                assert!(running.len() >= SLOTS, "{case}");
                // After an orderly close, a request that may run once could still begin for a moment.
                disconnect(
                    waiting,
                    if route == "once" { DepartureKind::Resets } else { DepartureKind::Closes },
                )
                .await;
                while mesh.load().pending > 0 {
                    tokio::task::yield_now().await;
                }
                mesh.assert_no_failures(&case);
                let delivered = mesh.gate.node_state.counters.delivered_requests.get();
                assert_eq!(delivered, running.len() as u64, "{case}");
            }
        }
    });
}

/// Until a request has reached an upstream, its client's departure ends it, whatever it waits for.
#[test]
fn what_waits_for_an_upstream_or_for_its_body_is_dropped_when_its_client_leaves() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        for (route, body_bytes) in [("safe", 0), ("once", 0), ("up", 2 * MAX_BUFFERED_BODY_BYTES)] {
            let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
            let mut client = TestConnection::connect(origin.outbound).await;
            let head = format!(
                "POST /{route}/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}Content-Length: {body_bytes}\r\n\r\n"
            );
            client.send(head.as_bytes()).await;
            client.send(&patterned_bytes(body_bytes / 2)).await;
            while origin.node_state.counters.open_requests.get() == 0 && body_bytes == 0 {
                tokio::task::yield_now().await;
            }
            drop(client);
            while origin.node_state.counters.open_requests.get() > 0
                || origin.node_state.counters.client_connections.get() > 0
            {
                tokio::task::yield_now().await;
            }
            assert_eq!(origin.node_state.counters.refused_requests.get(), 0, "{route}");
        }
    });
}

/// A response that is too large to be buffered is aborted on every hop when its client disconnects.
#[test]
fn a_streamed_response_ends_when_its_client_leaves() {
    support::run(async {
        for upstream_location in UPSTREAM_LOCATIONS {
            for departure in DEPARTURE_KINDS {
                let case = format!("{upstream_location:?} {departure:?}");
                let mesh = Mesh::start(upstream_location).await;
                let (mut client, mut upstream) = mesh.begin_request("safe").await;
                let bytes = 4 * MAX_BUFFERED_BODY_BYTES;
                let framing = format!("Content-Length: {bytes}\r\n");
                let head = upstream_response_head(&format!("x\r\n{ATTEMPT_ID_LINE}"), 200, &framing);
                upstream.send(head.as_bytes()).await;
                let first = patterned_bytes(MAX_BUFFERED_BODY_BYTES + 1);
                let (received, ()) = tokio::join!(client.read_head(), upstream.send(&first));
                assert_eq!(status(&received), "200", "{case}");
                // The upstream sends nothing more, so no failed write to the client can reveal the departure.
                let _half_closed = disconnect(client, departure).await;
                assert_eq!(upstream.receive().await, 0, "{case}: the upstream connection must end");
                mesh.wait_until_idle().await;
            }
        }
    });
}

/// Whether the upstream sees a client's departure; used by the mutation tests.
#[cfg(feature = "mutants")]
pub(super) fn departure_is_detected() -> bool {
    let detected = std::rc::Rc::new(std::cell::Cell::new(false));
    let result = detected.clone();
    support::run(async move {
        let mesh = Mesh::start(UpstreamLocation::OtherSidecar).await;
        let (client, mut upstream) = mesh.begin_request("safe").await;
        drop(client);
        while mesh.departures().departures == 0 {
            tokio::task::yield_now().await;
        }
        result.set(!upstream.is_open_and_quiet().await);
    });
    detected.get()
}
