//! Requests that arrive while a sidecar stops.
use super::support::{
    self, bind_upstream, header_value, status, upstream_response_head, BoundUpstream, SidecarOptions,
    TestConnection,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Starts an upstream that serves each request, and returns its request count.
fn count_requests(listener: TcpListener) -> Rc<Cell<u32>> {
    let requests = Rc::new(Cell::new(0));
    let counted = requests.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = counted.clone();
            tokio::task::spawn_local(async move {
                let mut connection = TestConnection::from_stream(stream);
                loop {
                    let head = connection.read_head().await;
                    if head.is_empty() {
                        return;
                    }
                    counted.set(counted.get() + 1);
                    let response_head = upstream_response_head(&head, 200, "Content-Length: 2\r\n");
                    connection.send(format!("{response_head}ok").as_bytes()).await;
                }
            });
        }
    });
    requests
}

/// Late in the grace period a request is rejected with Retry-After before it reaches an upstream, unless its timeout ends
/// before the process does: the sidecar might have to abandon it while an upstream runs it.
#[test]
fn late_in_its_grace_a_sidecar_rejects_what_it_might_have_to_give_up() {
    support::run_paused(async {
        let BoundUpstream { listener, address } = bind_upstream().await;
        let requests = count_requests(listener);
        let unused_address = bind_upstream().await.address;
        let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let gate = support::start_sidecar(2, address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        origin.learn_sidecar(&gate);
        origin.node_state.begin_stop();
        // The grace period is 6 s, so all responses are due 5 s after the signal.
        for (advance_ms, timeout_ms, expected, delivered) in
            [(2000, 5000, "200", 1), (1000, 5000, "503", 1), (0, 500, "200", 2), (1700, 500, "503", 2)]
        {
            tokio::time::advance(Duration::from_millis(advance_ms)).await;
            gate.send_heartbeat();
            origin.learn_sidecar(&gate);
            let mut client = TestConnection::connect(origin.outbound).await;
            let request = format!(
                "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a{advance_ms}-{timeout_ms}\r\nDeadline-Ms: {timeout_ms}\r\n\r\n"
            );
            client.send(request.as_bytes()).await;
            let head = client.read_head().await;
            assert_eq!((status(&head), requests.get()), (expected, delivered), "{head}");
            assert_eq!(header_value(&head, "retry-after").is_some(), expected == "503", "{head}");
        }
    });
}
