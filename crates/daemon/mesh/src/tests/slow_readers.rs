//! Streamed bodies whose readers pause for longer than a hop waits for written bytes to be acknowledged.
use crate::peer_connection::MAX_UNACKNOWLEDGED;
use crate::tests::support::{
    self, accept_connection, patterned_bytes, status, upstream_response_head, ReceivedBody, SidecarPair,
    TestConnection, UpstreamLocation,
};

/// Bytes of a body: more than the buffers of all systems on its way take before a reader that pauses.
const BODY_BYTES: usize = 32 << 20;

/// Sends the head of a request with a body of this many bytes.
async fn begin_request(pair: &SidecarPair, route: &str, body_bytes: usize) -> TestConnection {
    let mut client = TestConnection::connect(pair.origin.outbound).await;
    let head = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {route}\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    client.send(head.as_bytes()).await;
    client
}

/// Reads the body behind a head after a pause.
async fn read_after_pause(connection: &mut TestConnection, head: &str) -> ReceivedBody {
    tokio::time::sleep(2 * MAX_UNACKNOWLEDGED).await;
    connection.read_body(head).await
}

async fn pause_in_response() {
    let pair = SidecarPair::start(UpstreamLocation::OtherSidecar).await;
    let mut client = begin_request(&pair, "safe", 0).await;
    let mut upstream = accept_connection(&pair.upstream).await;
    let head = upstream.read_head().await;
    let framing = format!("Content-Length: {BODY_BYTES}\r\n");
    upstream.send(upstream_response_head(&head, 200, &framing).as_bytes()).await;
    let body = patterned_bytes(BODY_BYTES);
    let reading = async {
        let head = client.read_head().await;
        read_after_pause(&mut client, &head).await
    };
    let (received, ()) = tokio::join!(reading, upstream.send(&body));
    assert!(received.is_complete && received.bytes == body, "{} bytes", received.bytes.len());
}

async fn pause_in_upload() {
    let pair = SidecarPair::start(UpstreamLocation::OtherSidecar).await;
    let mut client = begin_request(&pair, "up", BODY_BYTES).await;
    let body = patterned_bytes(BODY_BYTES);
    let reading = async {
        let mut upstream = accept_connection(&pair.upstream).await;
        let head = upstream.read_head().await;
        let received = read_after_pause(&mut upstream, &head).await;
        upstream.send(upstream_response_head(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
        received
    };
    let (received, ()) = tokio::join!(reading, client.send(&body));
    assert!(received.is_complete && received.bytes == body, "{} bytes", received.bytes.len());
    assert_eq!(status(&client.read_head().await), "200");
}

/// Guards against a hop that takes a slow reader for a peer that has vanished: the system acknowledges nothing for which its
/// reader leaves no room, and the connection was reset in the middle of the body.
#[test]
fn a_reader_that_pauses_gets_its_whole_body() {
    support::run(async {
        tokio::join!(pause_in_response(), pause_in_upload());
    });
}
