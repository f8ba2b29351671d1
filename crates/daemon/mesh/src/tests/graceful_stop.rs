//! Requests that come while a sidecar stops.
use super::support::{self, status, value, SidecarOptions, TestConnection};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// An upstream that serves each request, and how many it got.
fn count_requests(listener: TcpListener) -> Rc<Cell<u32>> {
    let requests = Rc::new(Cell::new(0));
    let counted = requests.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = counted.clone();
            tokio::task::spawn_local(async move {
                let mut connection = TestConnection::over(stream);
                loop {
                    let head = connection.head().await;
                    let Some(id) = value(&head, "attempt-id") else { return };
                    counted.set(counted.get() + 1);
                    let text = format!(
                        "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nok"
                    );
                    connection.say(text.as_bytes()).await;
                }
            });
        }
    });
    requests
}

/// Late in the grace a request is rejected with when to come back, and nothing of it reaches an upstream, unless its timeout
/// ends before the process does: the sidecar would give it up with an upstream at work.
#[test]
fn late_in_its_grace_a_sidecar_rejects_what_it_might_have_to_give_up() {
    support::run_paused(async {
        let (listener, upstream) = support::station().await;
        let requests = count_requests(listener);
        let (_, nobody) = support::station().await;
        let origin = support::sidecar(1, nobody, SidecarOptions::default()).await;
        let gate = support::sidecar(2, upstream, SidecarOptions::default()).await;
        gate.beat();
        origin.hears_of(&gate);
        origin.node_state.begin_stop();
        // The grace is 6 s, so that all is answered 5 s after the signal.
        for (advance, timeout_ms, want, reached) in
            [(2000, 5000, "200", 1), (1000, 5000, "503", 1), (0, 500, "200", 2), (1700, 500, "503", 2)]
        {
            tokio::time::advance(Duration::from_millis(advance)).await;
            gate.beat();
            origin.hears_of(&gate);
            let mut client = TestConnection::to(origin.at).await;
            let request = format!("GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a{advance}-{timeout_ms}\r\nDeadline-Ms: {timeout_ms}\r\n\r\n");
            client.say(request.as_bytes()).await;
            let head = client.head().await;
            assert_eq!((status(&head), requests.get()), (want, reached), "{head}");
            assert_eq!(value(&head, "retry-after").is_some(), want == "503", "{head}");
        }
    });
}
