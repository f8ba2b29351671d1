//! Helpers for upstreams that a test runs itself.
use super::{header_value, TestConnection};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// The listener of an upstream and its address.
pub(crate) struct BoundUpstream {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

/// Binds a free loopback address. Once the listener is dropped, connections to it are refused.
pub(crate) async fn bind_upstream() -> BoundUpstream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound listener");
    BoundUpstream { listener, address }
}

/// The head of an upstream's response to a request; `framing` is the header line that frames the body.
pub(crate) fn upstream_response_head(request_head: &str, status: u16, framing: &str) -> String {
    let id = header_value(request_head, "attempt-id").unwrap_or_default();
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nPostmark: p\r\n{framing}\r\n")
}

/// Answers each request on each connection with an empty response.
pub(crate) fn answer_all(listener: TcpListener) {
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(answer_connection(TestConnection::from_stream(stream)));
        }
    });
}

async fn answer_connection(mut connection: TestConnection) {
    loop {
        let head = connection.read_head().await;
        if head.is_empty() {
            return;
        }
        connection.read_body(&head).await;
        connection.send(upstream_response_head(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
    }
}
