//! Requests that may run at most once, and the gate's record of them for origins whose connection broke.
use crate::forwarding_headers::{self, ForwardingHeaders, GateStatus, ENCODING_VERSION};
use crate::node_state::DepartedPeer;
use crate::response_replay_cache::{
    AttemptOutcome, ReplayCacheLoad, ResponseReplayCache, StoredResponse, MEMORY_DIVISOR,
};
use crate::tests::support::{
    self, bind_upstream, header_value, scripted_mesh, status, upstream_response_head, Relay, RelayAction,
    ScriptedMesh, Sidecar, SidecarOptions, TestConnection, SERVICE,
};
use rand_core::SeedableRng;
use silvercross_time::Duration;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Semaphore;

/// An upstream that answers each request only when a permit is available.
#[derive(Clone)]
struct GatedUpstream {
    address: SocketAddr,
    /// Attempt ids of the received requests.
    ran: Rc<RefCell<Vec<String>>>,
    /// One permit per received request.
    received: Rc<Semaphore>,
    /// One permit per response that may be sent.
    permitted: Rc<Semaphore>,
}

impl GatedUpstream {
    async fn start() -> GatedUpstream {
        let bound = bind_upstream().await;
        let upstream = GatedUpstream {
            address: bound.address,
            ran: Rc::default(),
            received: Rc::new(Semaphore::new(0)),
            permitted: Rc::new(Semaphore::new(0)),
        };
        let accepting = upstream.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = bound.listener.accept().await {
                let connection = TestConnection::from_stream(stream);
                tokio::task::spawn_local(accepting.clone().serve(connection));
            }
        });
        upstream
    }

    async fn serve(self, mut connection: TestConnection) {
        loop {
            let head = connection.read_head().await;
            if head.is_empty() {
                return;
            }
            self.ran.borrow_mut().push(header_value(&head, "attempt-id").unwrap_or_default());
            self.received.add_permits(1);
            self.permitted.acquire().await.expect("open semaphore").forget();
            connection.send(upstream_response_head(&head, 200, "Content-Length: 2\r\n").as_bytes()).await;
            connection.send(b"ok").await;
        }
    }

    /// Waits for one more request to arrive.
    async fn wait_for_request(&self) {
        self.received.acquire().await.expect("open semaphore").forget();
    }
}

/// An origin and a gate with a relay between them.
struct RelayedMesh {
    origin: Sidecar,
    gate: Sidecar,
    relay: Relay,
    upstream: GatedUpstream,
}

impl RelayedMesh {
    async fn start() -> RelayedMesh {
        let unused_address = bind_upstream().await.address;
        let upstream = GatedUpstream::start().await;
        let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let gate = support::start_sidecar(2, upstream.address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        let relay = Relay::between(&origin, &gate).await;
        RelayedMesh { origin, gate, relay, upstream }
    }

    async fn post(&self, id: &str) -> TestConnection {
        let mut client = TestConnection::connect(self.origin.outbound).await;
        client.send(support::post_head(id, 0).as_bytes()).await;
        client
    }

    /// Sends one successful request, which tells the origin the gate's incarnation, and closes the pooled connection.
    async fn learn_incarnation(&self) {
        self.upstream.permitted.add_permits(1);
        assert_eq!(status(&self.post("first").await.read_head().await), "200");
        self.upstream.wait_for_request().await;
        self.origin.node_state.pool.close_idle(self.relay.address);
    }

    fn next_action(&self, action: RelayAction) {
        self.relay.actions.borrow_mut().push_back(action);
    }

    fn runs_of(&self, id: &str) -> usize {
        self.upstream.ran.borrow().iter().filter(|ran| *ran == id).count()
    }
}

#[test]
fn a_response_is_recovered_after_its_connection_breaks() {
    support::run(async {
        for action in [RelayAction::ResetWhenNotified, RelayAction::DropResponse] {
            let mesh = RelayedMesh::start().await;
            mesh.next_action(action);
            let mut client = mesh.post("a").await;
            mesh.upstream.wait_for_request().await;
            let (gate, origin) = (&mesh.gate.node_state.counters, &mesh.origin.node_state.counters);
            if action == RelayAction::ResetWhenNotified {
                mesh.relay.reset.notify_one();
                // The request keeps running, and the origin's query waits for its response.
                while gate.orphaned_requests.get() == 0 || origin.outcome_queries.get() == 0 {
                    tokio::task::yield_now().await;
                }
            }
            mesh.upstream.permitted.add_permits(1);
            let head = client.read_head().await;
            assert_eq!(status(&head), "200", "{head}");
            assert!(header_value(&head, "waybill-life").is_none());
            assert_eq!((client.read_bytes(2).await, mesh.runs_of("a")), (b"ok".to_vec(), 1));
            assert_eq!(origin.recovered_requests.get(), 1);
        }
    });
}

#[test]
fn a_request_never_received_is_retried_and_barred_if_it_arrives_late() {
    support::run(async {
        let mesh = RelayedMesh::start().await;
        mesh.learn_incarnation().await;
        mesh.next_action(RelayAction::KeepRequest);
        let mut client = mesh.post("b").await;
        mesh.upstream.permitted.add_permits(1);
        let head = client.read_head().await;
        // The request did not run, so either a retry succeeded or the client is told that nothing ran.
        assert!(matches!(status(&head), "200" | "503"), "{head}");
        let runs = mesh.runs_of("b");
        assert_eq!(runs, usize::from(status(&head) == "200"));
        // The original request arrives late.
        let mut late = TestConnection::connect(mesh.gate.inbound).await;
        let kept = mesh.relay.kept.borrow().clone();
        assert!(!kept.is_empty());
        late.send(&kept).await;
        assert_eq!(late.read_head().await, "");
        assert_eq!(mesh.runs_of("b"), runs);
        assert_eq!(mesh.origin.node_state.counters.recovered_requests.get(), 1);
    });
}

#[test]
fn another_or_an_unknown_incarnation_proves_nothing() {
    support::run(async {
        for is_known in [false, true] {
            let mesh = RelayedMesh::start().await;
            if is_known {
                mesh.learn_incarnation().await;
            }
            mesh.next_action(RelayAction::KeepRequest);
            // Another process replaces the gate.
            let other = support::start_sidecar(2, mesh.upstream.address, SidecarOptions::default()).await;
            other.send_heartbeat();
            if is_known {
                mesh.relay.to.set(other.inbound);
            }
            let mut client = mesh.post("c").await;
            mesh.upstream.permitted.add_permits(1);
            let head = client.read_head().await;
            assert_eq!((status(&head), mesh.runs_of("c")), ("502", 0), "{head}");
        }
    });
}

/// A request that may run at most once, as an origin sends it to a gate, or a query about its outcome.
fn once_request(replay_key: u64, is_query: bool) -> String {
    let forwarding = forwarding_headers::encode(&ForwardingHeaders {
        version: ENCODING_VERSION,
        service: SERVICE.into(),
        is_retry: false,
        priority: 1,
        is_idempotent: false,
        latency_target: Duration::from_secs(1),
        replay_key,
        is_query,
    });
    format!("GET /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: d{replay_key}\r\nWaybill: {forwarding}\r\n\r\n")
}

/// The status that a gate reports for an attempt.
async fn query_status(gate: &Sidecar, replay_key: u64) -> Option<GateStatus> {
    let mut querying = TestConnection::connect(gate.inbound).await;
    querying.send(once_request(replay_key, true).as_bytes()).await;
    let head = querying.read_head().await;
    header_value(&head, "waybill-return").and_then(|t| forwarding_headers::decode(&t))
}

/// An origin that disconnects cancels a request that has not begun: it never runs, and the gate reports so.
#[test]
fn a_request_cancelled_by_its_origin_before_it_began_never_runs() {
    support::run(async {
        let mesh = RelayedMesh::start().await;
        let gate = &mesh.gate.node_state;
        let load = || gate.gate.with_admission(|admission| admission.load());
        let (mut origins, mut replay_key) = (Vec::new(), 0);
        while load().pending == 0 {
            replay_key += 1;
            let mut origin = TestConnection::connect(mesh.gate.inbound).await;
            origin.send(once_request(replay_key, false).as_bytes()).await;
            origins.push(origin);
            while load().in_flight + load().pending < origins.len() {
                tokio::task::yield_now().await;
            }
        }
        let delivered = gate.counters.delivered_requests.get();
        drop(origins.pop());
        while load().pending > 0 {
            tokio::task::yield_now().await;
        }
        let rejected = gate.counters.rejected_by_gate.get();
        assert_eq!(query_status(&mesh.gate, replay_key).await, Some(GateStatus::Unavailable));
        assert_eq!((gate.counters.delivered_requests.get(), rejected), (delivered, 0));
        assert_eq!(gate.counters.orphaned_requests.get(), 0);
    });
}

/// Once begun, the request runs to its end, once, and its origin can query the response.
#[test]
fn a_request_that_may_run_once_runs_on_when_its_origin_hangs_up() {
    support::run(async {
        let mesh = RelayedMesh::start().await;
        let gate = &mesh.gate.node_state;
        let mut origin = TestConnection::connect(mesh.gate.inbound).await;
        origin.send(once_request(9, false).as_bytes()).await;
        mesh.upstream.wait_for_request().await;
        drop(origin);
        let counts = || gate.departures.counts(DepartedPeer::Origin);
        while counts().departures == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(gate.gate.with_admission(|admission| admission.load()).in_flight, 1, "still in flight");
        assert_eq!((counts().carried_on, gate.counters.orphaned_requests.get()), (1, 0));
        mesh.upstream.permitted.add_permits(1);
        let mut querying = TestConnection::connect(mesh.gate.inbound).await;
        querying.send(once_request(9, true).as_bytes()).await;
        assert_eq!(status(&querying.read_head().await), "200");
        assert_eq!(gate.counters.delivered_requests.get(), 1);
    });
}

#[test]
fn an_unreadable_attempt_query_is_answered_may_have_run() {
    support::run(async {
        let ScriptedMesh { gate, .. } = scripted_mesh(&[]).await;
        for (host, expected) in [("gate", GateStatus::MayHaveRun), ("h", GateStatus::Unavailable)] {
            let mut origin = TestConnection::connect(gate.inbound).await;
            let request = format!("GET / HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: a\r\nWaybill: ffff\r\n\r\n");
            origin.send(request.as_bytes()).await;
            let head = origin.read_head().await;
            let status = header_value(&head, "waybill-return").and_then(|t| forwarding_headers::decode(&t));
            assert_eq!(status, Some(expected), "{host}");
        }
    });
}

#[test]
fn stored_responses_stay_within_their_limit_and_evicted_ones_may_have_run() {
    support::run(async {
        let clock = silvercross_facade::Clock::system();
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
        let cache = ResponseReplayCache::new(clock, &mut rng, 100 * MEMORY_DIVISOR);
        for replay_key in 1..=3 {
            let entry = cache.begin(replay_key).expect("new replay key");
            entry.set_begun();
            entry.set_response(StoredResponse { bytes: Rc::new(vec![0; 40]), states_incarnation: false });
        }
        assert_eq!(cache.load(), ReplayCacheLoad { entries: 3, response_bytes: 80 });
        assert!(matches!(cache.query(1).await, AttemptOutcome::MayHaveRun));
        assert!(matches!(cache.query(3).await, AttemptOutcome::Responded(_)));
        cache.acknowledge(3);
        assert!(matches!(cache.query(3).await, AttemptOutcome::MayHaveRun));
        assert!(cache.begin(2).is_err());
        drop(cache.begin(4).expect("new replay key"));
        assert!(matches!(cache.query(4).await, AttemptOutcome::NotRun));
        assert!(matches!(cache.query(5).await, AttemptOutcome::NeverReceived));
        assert!(cache.begin(5).is_err());
        assert_eq!(cache.load(), ReplayCacheLoad { entries: 5, response_bytes: 40 });
    });
}
