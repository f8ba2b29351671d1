//! Which connections may be reused for another request.
use crate::peer_connection;
use crate::tests::support::{self, post, scripted_mesh, ClientResult, ScriptedMesh, GOOD_RESPONSE};
use crate::wire::{Connection, PeerKind};
use std::io::Write;
use std::time::Duration;

#[test]
fn a_connection_with_surplus_bytes_carries_no_further_request() {
    const OF_ANOTHER: &str = "HTTP/1.1 200 X\r\nAttempt-Id: zz\r\nPostmark: p\r\nContent-Length: 2\r\n\r\nno";
    let before = format!("{OF_ANOTHER}{GOOD_RESPONSE}");
    let behind = format!("{GOOD_RESPONSE}{OF_ANOTHER}");
    let byte = format!("{GOOD_RESPONSE}X");
    let with_keep_alive =
        |header: &str| GOOD_RESPONSE.replace("Content", &format!("Keep-Alive: {header}\r\nContent"));
    let long = with_keep_alive("timeout=18446744073709551615");
    let short = with_keep_alive("timeout=0");
    for (first, connections) in [(&before, 2), (&behind, 2), (&byte, 2), (&short, 2), (&long, 1)] {
        support::run(async move {
            let ScriptedMesh { origin, log, .. } = scripted_mesh(&[first, GOOD_RESPONSE]).await;
            for id in ["a", "b"] {
                let expected = ClientResult { status: "200".to_string(), body: b"ok".to_vec() };
                assert_eq!(post(&origin, "once", id).await, expected, "{first}");
            }
            assert_eq!(log.connections.get(), connections, "{first}");
        });
    }
}

/// Bytes or a close that arrived since the reactor last polled must prevent reuse.
#[test]
fn a_byte_on_an_idle_connection_is_seen_before_reuse() {
    support::run(async {
        for closes in [false, true] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
            let address = listener.local_addr().expect("bound listener");
            let stream = peer_connection::connect(None, address, Duration::from_secs(5))
                .await
                .expect("open connection");
            let (mut other_end, _) = listener.accept().expect("accepted connection");
            let connection = Connection::new(stream, PeerKind::Sidecar);
            assert!(connection.is_reusable());
            // No await from here on, so the reactor cannot observe the event.
            if closes {
                drop(other_end);
            } else {
                other_end.write_all(b"X").expect("written");
            }
            assert!(!connection.is_reusable(), "closes: {closes}");
        }
    });
}
