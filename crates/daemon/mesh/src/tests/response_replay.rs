//! Requests that may run once, and what a gate remembers of them for origins whose connection broke.
use crate::response_replay_cache::{
    AttemptOutcome, ReplayCacheLoad, ResponseReplayCache, StoredResponse, MEMORY_DIVISOR,
};
use crate::tests::support::{self, stamped, status, Relay, Sidecar, SidecarOptions, TestConnection, Way};
use rand_core::SeedableRng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Semaphore;

/// An upstream that runs requests one at a time, each once it is let.
struct Upstream {
    at: SocketAddr,
    ran: Rc<RefCell<Vec<String>>>,
    came: Rc<Semaphore>,
    go: Rc<Semaphore>,
}

async fn upstream() -> Upstream {
    let (listener, at) = support::station().await;
    let (ran, came, go) =
        (Rc::new(RefCell::default()), Rc::new(Semaphore::new(0)), Rc::new(Semaphore::new(0)));
    let up = Upstream { at, ran, came, go };
    let (ran, came, go) = (up.ran.clone(), up.came.clone(), up.go.clone());
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (ran, came, go) = (ran.clone(), came.clone(), go.clone());
            tokio::task::spawn_local(async move {
                let mut talk = TestConnection::over(stream);
                loop {
                    let head = talk.head().await;
                    if head.is_empty() {
                        return;
                    }
                    ran.borrow_mut().push(support::value(&head, "attempt-id").unwrap_or_default());
                    came.add_permits(1);
                    go.acquire().await.expect("open").forget();
                    talk.say(stamped(&head, 200, "Content-Length: 2\r\n").as_bytes()).await;
                    talk.say(b"ok").await;
                }
            });
        }
    });
    up
}

struct Mesh {
    origin: Sidecar,
    gate: Sidecar,
    relay: Relay,
    up: Upstream,
}

async fn mesh() -> Mesh {
    let (_, nobody) = support::station().await;
    let up = upstream().await;
    let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
    let gate = support::sidecar(2, up.at, SidecarOptions::default()).await;
    gate.beat();
    let relay = Relay::between(&origin, &gate).await;
    Mesh { origin, gate, relay, up }
}

impl Mesh {
    async fn ask(&self, id: &str) -> TestConnection {
        let mut client = TestConnection::to(self.origin.at).await;
        client
            .say(
                format!("POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            )
            .await;
        client
    }

    /// One request goes well; the origin then knows the gate's life, and its next hop is a new connection.
    async fn met(&self) {
        self.up.go.add_permits(1);
        assert_eq!(status(&self.ask("first").await.head().await), "200");
        self.up.came.acquire().await.expect("open").forget();
        self.origin.node_state.pool.close_idle(self.relay.at);
    }

    fn ran(&self, id: &str) -> usize {
        self.up.ran.borrow().iter().filter(|r| *r == id).count()
    }
}

#[test]
fn a_response_is_recovered_after_its_connection_breaks() {
    support::run(async {
        for way in [Way::CutWhenTold, Way::SwallowAnswer] {
            let m = mesh().await;
            m.relay.ways.borrow_mut().push_back(way);
            let mut client = m.ask("a").await;
            m.up.came.acquire().await.expect("open").forget();
            if way == Way::CutWhenTold {
                m.relay.cut.notify_one();
                // It goes on, and the origin's question waits for it.
                while m.gate.node_state.counters.orphaned_requests.get() == 0
                    || m.origin.node_state.counters.outcome_queries.get() == 0
                {
                    tokio::task::yield_now().await;
                }
            }
            m.up.go.add_permits(1);
            let head = client.head().await;
            assert_eq!(status(&head), "200", "{head}");
            assert!(support::value(&head, "waybill-life").is_none());
            assert_eq!((client.bytes(2).await, m.ran("a")), (b"ok".to_vec(), 1));
            assert_eq!(m.origin.node_state.counters.recovered_requests.get(), 1);
        }
    });
}

#[test]
fn a_request_never_received_is_retried_and_barred_if_it_arrives_late() {
    support::run(async {
        let m = mesh().await;
        m.met().await;
        m.relay.ways.borrow_mut().push_back(Way::KeepRequest);
        let mut client = m.ask("b").await;
        m.up.go.add_permits(1);
        let head = client.head().await;
        // Nothing ran, so it may have been placed again; else it is a promise.
        assert!(matches!(status(&head), "200" | "503"), "{head}");
        let ran = m.ran("b");
        assert_eq!(ran, usize::from(status(&head) == "200"));
        // The request itself, late.
        let mut late = TestConnection::to(m.gate.inbound).await;
        let kept = m.relay.kept.borrow().clone();
        assert!(!kept.is_empty());
        late.say(&kept).await;
        assert_eq!(late.head().await, "");
        assert_eq!(m.ran("b"), ran);
        assert_eq!(m.origin.node_state.counters.recovered_requests.get(), 1);
    });
}

#[test]
fn another_or_an_unknown_incarnation_proves_nothing() {
    support::run(async {
        for known in [false, true] {
            let m = mesh().await;
            if known {
                m.met().await;
            }
            m.relay.ways.borrow_mut().push_back(Way::KeepRequest);
            // Another process has taken the gate's place.
            let other = support::sidecar(2, m.up.at, SidecarOptions::default()).await;
            other.beat();
            if known {
                m.relay.to.set(other.inbound);
            }
            let mut client = m.ask("c").await;
            m.up.go.add_permits(1);
            let head = client.head().await;
            assert_eq!((status(&head), m.ran("c")), ("502", 0), "{head}");
        }
    });
}

#[test]
fn a_request_cancelled_by_its_origin_does_not_run_on() {
    support::run(async {
        let m = mesh().await;
        let bill = crate::forwarding_headers::ForwardingHeaders {
            version: crate::forwarding_headers::ENCODING_VERSION,
            service: "quotes".into(),
            is_retry: false,
            priority: 1,
            is_idempotent: false,
            latency_target: silvercross_time::Duration::from_secs(1),
            replay_key: 9,
            is_query: false,
        };
        let ask = |asks: bool| {
            let bill = crate::forwarding_headers::encode(&crate::forwarding_headers::ForwardingHeaders {
                is_query: asks,
                ..bill.clone()
            });
            format!("GET /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: d\r\nWaybill: {bill}\r\n\r\n")
        };
        let mut hop = TestConnection::to(m.gate.inbound).await;
        hop.say(ask(false).as_bytes()).await;
        m.up.came.acquire().await.expect("open").forget();
        drop(hop);
        while m.gate.node_state.gate.with_admission(|w| w.load()).0 > 0 {
            tokio::task::yield_now().await;
        }
        let mut asking = TestConnection::to(m.gate.inbound).await;
        asking.say(ask(true).as_bytes()).await;
        let head = asking.head().await;
        let word =
            support::value(&head, "waybill-return").and_then(|t| crate::forwarding_headers::decode(&t));
        assert_eq!(
            (word, m.gate.node_state.counters.orphaned_requests.get()),
            (Some(crate::forwarding_headers::GateStatus::MayHaveRun), 0)
        );
    });
}

#[test]
fn stored_responses_stay_within_their_limit_and_evicted_ones_may_have_run() {
    support::run(async {
        let clock = silvercross_facade::Clock::system();
        let all =
            ResponseReplayCache::new(clock, &mut rand_pcg::Pcg64Mcg::seed_from_u64(1), 100 * MEMORY_DIVISOR);
        for ticket in 1..=3 {
            let replay_entry = all.begin(ticket).expect("not known");
            replay_entry.set_begun();
            replay_entry
                .set_response(StoredResponse { bytes: Rc::new(vec![0; 40]), states_incarnation: false });
        }
        assert_eq!(all.load(), ReplayCacheLoad { entries: 3, response_bytes: 80 });
        assert!(matches!(all.query(1).await, AttemptOutcome::MayHaveRun));
        assert!(matches!(all.query(3).await, AttemptOutcome::Responded(_)));
        all.acknowledge(3);
        assert!(matches!(all.query(3).await, AttemptOutcome::MayHaveRun));
        assert!(all.begin(2).is_err());
        drop(all.begin(4).expect("not known"));
        assert!(matches!(all.query(4).await, AttemptOutcome::NotRun));
        assert!(matches!(all.query(5).await, AttemptOutcome::NeverReceived));
        assert!(all.begin(5).is_err());
        assert_eq!(all.load(), ReplayCacheLoad { entries: 5, response_bytes: 40 });
    });
}
