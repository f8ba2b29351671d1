//! Tests of the gate as other sidecars meet it: the largest head, hops beyond the bound.
use crate::tests::support::{self, stamped, status, SidecarOptions, TestConnection};

/// What a sidecar adds to a head must not make it too large for the next one.
#[test]
fn the_largest_head_of_a_client_passes_between_sidecars() {
    support::run(async {
        let ((listener, at), (_, nobody)) = (support::station().await, support::station().await);
        let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
        let gate = support::sidecar(2, at, SidecarOptions::default()).await;
        gate.beat();
        origin.hears_of(&gate);
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut talk = TestConnection::over(stream);
            loop {
                let head = talk.head().await;
                if head.is_empty() {
                    return;
                }
                talk.say(stamped(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
            }
        });
        let ask = |lines: usize, fill: usize| {
            let more = "X-More: 1\r\n".repeat(lines - 3);
            format!(
                "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {lines}-{fill}\r\n{more}X: {}\r\n\r\n",
                "a".repeat(fill)
            )
        };
        let room = 16_384 - ask(64, 0).len() - 4;
        for (lines, fill, want) in [(64, room, "200"), (64, room + 20, "431"), (65, 0, "431")] {
            let mut client = TestConnection::to(origin.at).await;
            client.say(ask(lines, fill).as_bytes()).await;
            assert_eq!(status(&client.head().await), want, "{lines} lines, {fill}");
        }
    });
}

#[test]
fn connections_beyond_the_limit_are_told_that_nothing_began() {
    support::run(async {
        let (_, at) = support::station().await;
        let terms = SidecarOptions {
            descriptors: 2 * crate::upstream_gate::SIDECAR_CONNECTION_DIVISOR,
            ..SidecarOptions::default()
        };
        let gate = support::sidecar(2, at, terms).await;
        let counters = &gate.node_state.counters;
        let (mut one, mut two) =
            (TestConnection::to(gate.inbound).await, TestConnection::to(gate.inbound).await);
        // Neither is idle.
        one.say(b"GET").await;
        two.say(b"GET").await;
        while counters.hop_connections.get() < 2 || counters.idle_hop_connections.get() > 0 {
            tokio::task::yield_now().await;
        }
        let mut three = TestConnection::to(gate.inbound).await;
        let head = three.head().await;
        let word =
            support::value(&head, "waybill-return").and_then(|t| crate::forwarding_headers::decode(&t));
        assert_eq!(
            word,
            Some(crate::forwarding_headers::GateStatus::Overloaded(crate::upstream_gate::MEMORY_RETRY_AFTER))
        );
        assert_eq!((counters.hop_connections.get(), counters.rejected_hops.get()), (2, 1));
        drop(one);
        while counters.hop_connections.get() > 1 {
            tokio::task::yield_now().await;
        }
        let mut four = TestConnection::to(gate.inbound).await;
        four.say(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
        assert!(support::value(&four.head().await, "waybill-life").is_some());
        // An idle one makes place.
        let mut five = TestConnection::to(gate.inbound).await;
        assert_eq!(four.more().await, 0);
        five.say(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await;
        assert!(support::value(&five.head().await, "waybill-life").is_some());
        assert_eq!((counters.hop_connections.get(), counters.rejected_hops.get()), (2, 1));
    });
}
