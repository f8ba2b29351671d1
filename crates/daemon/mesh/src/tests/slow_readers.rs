//! Bodies whose readers pause for longer than a hop waits for written bytes to be acknowledged.
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

/// Bytes of an upload that a sidecar holds in memory, and that its upstream's system has no room for before it is read.
const BUFFERED_BODY_BYTES: usize = 900_000;

/// An upstream that reads an upload later.
async fn pause_in_buffered_upload(location: UpstreamLocation) {
    let pair = SidecarPair::start(location).await;
    let mut client = begin_request(&pair, "up", BUFFERED_BODY_BYTES).await;
    let body = patterned_bytes(BUFFERED_BODY_BYTES);
    client.send(&body).await;
    let mut upstream = accept_connection(&pair.upstream).await;
    let head = upstream.read_head().await;
    let received = read_after_pause(&mut upstream, &head).await;
    assert!(received.is_complete && received.bytes == body, "{location:?}: {} bytes", received.bytes.len());
    upstream.send(upstream_response_head(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
    assert_eq!(status(&client.read_head().await), "200", "{location:?}");
    // The connection carries a further request.
    client.send(b"POST /up/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: next\r\nContent-Length: 2\r\n\r\nok").await;
    let head = upstream.read_head().await;
    assert!(upstream.read_body(&head).await.is_complete);
    upstream.send(upstream_response_head(&head, 200, "Content-Length: 0\r\n").as_bytes()).await;
    assert_eq!(status(&client.read_head().await), "200", "{location:?}");
}

/// An upstream that answers an upload before it reads it.
async fn answer_before_buffered_upload() {
    let pair = SidecarPair::start(UpstreamLocation::SameSidecar).await;
    let mut client = begin_request(&pair, "up", BUFFERED_BODY_BYTES).await;
    client.send(&patterned_bytes(BUFFERED_BODY_BYTES)).await;
    let mut upstream = accept_connection(&pair.upstream).await;
    let head = upstream.read_head().await;
    upstream.send(upstream_response_head(&head, 413, "Content-Length: 0\r\n").as_bytes()).await;
    assert_eq!(status(&client.read_head().await), "413");
}

/// Guards against a sidecar that takes the upstream beside it for vanished because it reads a request later: uploads were broken
/// off with their upstream at work.
#[test]
fn an_upstream_that_reads_an_upload_later_gets_it_whole() {
    support::run(async {
        tokio::join!(
            pause_in_buffered_upload(UpstreamLocation::SameSidecar),
            pause_in_buffered_upload(UpstreamLocation::OtherSidecar),
            answer_before_buffered_upload(),
        );
    });
}

/// Guards against a hop that takes a slow reader for a peer that has vanished: the system acknowledges nothing for which its
/// reader leaves no room, and the connection was reset in the middle of the body.
#[test]
fn a_reader_that_pauses_gets_its_whole_body() {
    support::run(async {
        tokio::join!(pause_in_response(), pause_in_upload());
    });
}
