//! Tests of the call listener. Inside the crate, since a binary can't be imported.
use super::listener::MAX_CONNECTIONS;
use super::{listen, READY_CALLS};
use crate::tests::support::{self, SidecarOptions, TestConnection};

#[test]
fn calls_beyond_the_limit_are_closed_and_counted() {
    support::run(async {
        let unused_address = support::bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let support::BoundUpstream { listener, address: call_address } = support::bind_upstream().await;
        tokio::task::spawn_local(listen(sidecar.node_state.clone(), listener, &READY_CALLS));
        let mut open = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            open.push(TestConnection::connect(call_address).await);
        }
        assert_eq!(TestConnection::connect(call_address).await.receive().await, 0);
        assert_eq!(sidecar.node_state.counters.rejected_calls.get(), 1);
        open[0].send(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").await;
        assert_eq!(support::status(&open[0].read_head().await), "200");
    });
}
