//! The idle timeout of client connections, also while the limit changes.
use crate::idle_timeout::{keep_alive_header, IdleTimeout, CLOSE_DELAY};
use crate::tests::support::{
    self, bind_upstream, header_value, status, SidecarOptions, TestConnection, ATTEMPT_ID_LINE,
};
use silvercross_time::{Duration, Instant};

/// A time and the limit that is set at that time, both in seconds.
type LimitChange = (i64, i64);

/// Changes of the limit, the time at which the timeout is evaluated, and the expected timeout, in seconds.
struct Case<'c> {
    changes: &'c [LimitChange],
    looked_at: i64,
    kept: i64,
}

fn second(seconds: i64) -> Instant {
    Instant::ZERO + Duration::from_secs(seconds)
}

#[test]
fn a_connection_that_became_idle_under_a_longer_limit_keeps_it() {
    let cases = [
        Case { changes: &[], looked_at: 5, kept: 60 },
        Case { changes: &[(0, 15)], looked_at: 5, kept: 15 },
        Case { changes: &[(0, 15), (4, 2)], looked_at: 14, kept: 15 },
        Case { changes: &[(0, 15), (4, 2)], looked_at: 21, kept: 2 },
        Case { changes: &[(0, 15), (4, 2), (5, 4), (6, 3)], looked_at: 19, kept: 15 },
        Case { changes: &[(0, 2), (4, 15)], looked_at: 5, kept: 15 },
        Case { changes: &[(0, 9), (1, 15), (2, 9), (16, 3)], looked_at: 24, kept: 15 },
    ];
    for (number, Case { changes, looked_at, kept }) in cases.into_iter().enumerate() {
        let mut idle_timeout = IdleTimeout::default();
        for (at, limit) in changes {
            idle_timeout.set_limit(second(*at), Duration::from_secs(*limit));
        }
        assert_eq!(
            idle_timeout.close_after(second(looked_at), Duration::from_secs(60)),
            Duration::from_secs(kept) + CLOSE_DELAY,
            "case {number}"
        );
    }
    for (idle_ms, seconds) in [(None, None), (Some(900), None), (Some(15_700), Some(15))] {
        let header = seconds.map(|seconds| format!("Keep-Alive: timeout={seconds}\r\n"));
        assert_eq!(keep_alive_header(idle_ms.map(Duration::from_millis)), header);
    }
}

/// Sends a request with a header of this many bytes; returns the status and the response's Keep-Alive value.
async fn request(connection: &mut TestConnection, filler_bytes: usize) -> (String, Option<String>) {
    let filler = "x".repeat(filler_bytes);
    let request = format!("GET /none HTTP/1.1\r\nHost: h\r\nFiller: {filler}\r\n{ATTEMPT_ID_LINE}\r\n");
    connection.send(request.as_bytes()).await;
    let head = connection.read_head().await;
    connection.read_body(&head).await;
    (status(&head).to_string(), header_value(&head, "keep-alive"))
}

/// The next request on an idle connection is subject to the limits in force when it arrives.
#[test]
fn an_idle_connection_is_not_closed_by_a_shorter_limit_and_its_next_request_uses_the_newest() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        sidecar.set_limits(2, 15.0, 300);
        let mut connection = TestConnection::connect(sidecar.outbound).await;
        assert_eq!(request(&mut connection, 1).await, ("404".into(), Some("timeout=15".into())));
        assert!(connection.is_open_and_quiet().await);
        for (version, idle_seconds) in [(3, 0.001), (4, 30.0)] {
            sidecar.set_limits(version, idle_seconds, 16384);
            assert!(connection.is_open_and_quiet().await);
        }
        assert_eq!(request(&mut connection, 4000).await, ("404".into(), Some("timeout=30".into())));
    });
}

/// Two connections are idle under a short limit; one sidecar's limit is then raised.
#[test]
fn an_idle_connection_is_closed_in_time_and_kept_by_a_longer_limit() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        let lengthening = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let unchanged = support::start_sidecar(2, unused_address, SidecarOptions::default()).await;
        for sidecar in [&lengthening, &unchanged] {
            *sidecar.node_state.idle_timeout.borrow_mut() = IdleTimeout::default();
            sidecar.set_limits(2, 0.05, 16384);
        }
        let mut kept = TestConnection::connect(lengthening.outbound).await;
        let mut closed = TestConnection::connect(unchanged.outbound).await;
        for connection in [&mut kept, &mut closed] {
            assert_eq!(request(connection, 1).await, ("404".into(), None));
        }
        lengthening.set_limits(3, 30.0, 16384);
        assert_eq!(closed.receive().await, 0);
        assert!(kept.is_open_and_quiet().await);
        assert_eq!(request(&mut kept, 1).await, ("404".into(), Some("timeout=30".into())));
    });
}
