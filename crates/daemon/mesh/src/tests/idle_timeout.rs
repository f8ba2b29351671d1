//! How long clients' connections may be idle, also while the limit changes.
use crate::idle_timeout::{keep_alive_header, IdleTimeout, CLOSE_DELAY};
use crate::tests::support::{self, SidecarOptions, TestConnection};
use silvercross_time::{Duration, Instant};

const S: i64 = 1_000_000;

/// Limits set when; looked at when; closed after.
type Case<'c> = (&'c [(i64, i64)], i64, i64);

#[test]
fn a_connection_that_became_idle_under_a_longer_limit_keeps_it() {
    let cases: [Case; 7] = [
        (&[], 5 * S, 60 * S),
        (&[(0, 15 * S)], 5 * S, 15 * S),
        (&[(0, 15 * S), (4 * S, 2 * S)], 14 * S, 15 * S),
        (&[(0, 15 * S), (4 * S, 2 * S)], 21 * S, 2 * S),
        (&[(0, 15 * S), (4 * S, 2 * S), (5 * S, 4 * S), (6 * S, 3 * S)], 19 * S, 15 * S),
        (&[(0, 2 * S), (4 * S, 15 * S)], 5 * S, 15 * S),
        (&[(0, 9 * S), (S, 15 * S), (2 * S, 9 * S), (16 * S, 3 * S)], 24 * S, 15 * S),
    ];
    for (n, (set, now, span)) in cases.into_iter().enumerate() {
        let mut idle_timeout = IdleTimeout::default();
        set.iter().for_each(|(at, idle)| {
            idle_timeout.set_limit(Instant::from_micros(*at), Duration::from_micros(*idle));
        });
        assert_eq!(
            idle_timeout.close_after(Instant::from_micros(now), Duration::from_micros(60 * S)),
            Duration::from_micros(span) + CLOSE_DELAY,
            "case {n}"
        );
    }
    for (idle, said) in [(None, None), (Some(900_000), None), (Some(15_700_000), Some(15))] {
        assert_eq!(
            keep_alive_header(idle.map(Duration::from_micros)),
            said.map(|s| format!("Keep-Alive: timeout={s}\r\n"))
        );
    }
}

async fn asked(talk: &mut TestConnection, filler: usize) -> (String, Option<String>) {
    let filler = "x".repeat(filler);
    talk.say(format!("GET /none HTTP/1.1\r\nHost: h\r\nFiller: {filler}\r\n{}\r\n", support::ID).as_bytes())
        .await;
    let said = talk.head().await;
    talk.body(&said).await;
    (support::status(&said).to_string(), support::value(&said, "keep-alive"))
}

/// The next request on a connection that rested goes by the limits in force as it comes.
#[test]
fn an_idle_connection_is_not_closed_by_a_shorter_limit_and_its_next_request_uses_the_newest() {
    support::run(async {
        let (_, nobody) = support::station().await;
        let sidecar = support::sidecar(1, nobody, SidecarOptions::default()).await;
        sidecar.limits(2, 15.0, 300);
        let mut talk = TestConnection::to(sidecar.at).await;
        assert_eq!(asked(&mut talk, 1).await, ("404".into(), Some("timeout=15".into())));
        assert!(talk.is_open().await);
        for (edition, idle) in [(3, 0.001), (4, 30.0)] {
            sidecar.limits(edition, idle, 16384);
            assert!(talk.is_open().await);
        }
        assert_eq!(asked(&mut talk, 4000).await, ("404".into(), Some("timeout=30".into())));
    });
}

/// Two connections rest under a short limit, one at a sidecar where a longer one comes meanwhile.
#[test]
fn an_idle_connection_is_closed_in_time_and_kept_by_a_longer_limit() {
    support::run(async {
        let (_, nobody) = support::station().await;
        let (one, other) = (
            support::sidecar(1, nobody, SidecarOptions::default()).await,
            support::sidecar(2, nobody, SidecarOptions::default()).await,
        );
        for sidecar in [&one, &other] {
            *sidecar.node_state.idle_timeout.borrow_mut() = IdleTimeout::default();
            sidecar.limits(2, 0.05, 16384);
        }
        let (mut kept, mut ends) = (TestConnection::to(one.at).await, TestConnection::to(other.at).await);
        for talk in [&mut kept, &mut ends] {
            assert_eq!(asked(talk, 1).await, ("404".into(), None));
        }
        one.limits(3, 30.0, 16384);
        assert_eq!(ends.more().await, 0);
        assert!(kept.is_open().await);
        assert_eq!(asked(&mut kept, 1).await, ("404".into(), Some("timeout=30".into())));
    });
}
