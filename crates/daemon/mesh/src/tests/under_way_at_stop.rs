//! What is under way when a process is told to stop counts as open until its client has it all: a stopping process ends once
//! nothing is open.
use crate::tests::support::{
    self, accept_connection, accept_request, patterned_bytes, status, ReceivedBody, SidecarPair,
    TestConnection, UpstreamLocation, ATTEMPT_ID_LINE, UPSTREAM_LOCATIONS,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use tokio::net::TcpSocket;

/// Bytes of a response that is passed on while it comes.
const RESPONSE_BYTES: usize = 3 * MAX_BUFFERED_BODY_BYTES;
/// Of these, what the upstream has sent when the processes are told to stop.
const FIRST_PART_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES;

/// Turns of all tasks in which a process has done what it does without further events.
const TURNS: usize = 200;
/// The receive buffer of a client that reads slowly.
const SLOW_READER_BUFFER_BYTES: u32 = 4096;

impl SidecarPair {
    fn is_busy(&self) -> [bool; 2] {
        [self.origin.node_state.is_busy(), self.gate.node_state.is_busy()]
    }

    /// Lets the processes work until neither has anything open.
    async fn wait_until_idle(&self) {
        while self.is_busy() != [false, false] {
            tokio::task::yield_now().await;
        }
    }

    /// Lets all tasks of the processes have many turns.
    async fn take_turns(&self) {
        for _ in 0..TURNS {
            tokio::task::yield_now().await;
        }
    }

    /// Connects a client whose system takes few bytes that it has not read.
    async fn connect_slow_reader(&self) -> TestConnection {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_recv_buffer_size(SLOW_READER_BUFFER_BYTES).expect("SO_RCVBUF is set");
        let stream = socket.connect(self.origin.outbound).await.expect("open connection");
        TestConnection::from_stream(stream)
    }
}

/// How the length of a response is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    ContentLength,
    Chunked,
    /// The client understands no chunks, and the response ends with its connection.
    UntilClose,
}

/// A request whose response is passed on while it comes.
#[derive(Clone, Copy, Debug)]
struct Case {
    upstream_location: UpstreamLocation,
    route: &'static str,
    body_bytes: usize,
    framing: Framing,
}

impl Case {
    fn all() -> Vec<Case> {
        let mut cases = Vec::new();
        for upstream_location in UPSTREAM_LOCATIONS {
            for (route, body_bytes) in [("safe", 0), ("once", 900), ("up", FIRST_PART_BYTES)] {
                for framing in [Framing::ContentLength, Framing::Chunked, Framing::UntilClose] {
                    cases.push(Case { upstream_location, route, body_bytes, framing });
                }
            }
        }
        cases
    }

    fn request(self) -> Vec<u8> {
        let Case { route, body_bytes, framing, .. } = self;
        let version = if framing == Framing::UntilClose { "1.0" } else { "1.1" };
        let head = format!(
            "POST /{route}/x HTTP/{version}\r\nHost: h\r\n{ATTEMPT_ID_LINE}Content-Length: {body_bytes}\r\n\r\n"
        );
        [head.into_bytes(), patterned_bytes(body_bytes)].concat()
    }

    /// The head of the upstream's response, and its body as two parts that are sent one after the other.
    fn response(self) -> [Vec<u8>; 2] {
        let is_chunked = self.framing != Framing::ContentLength;
        let line = match is_chunked {
            true => "Transfer-Encoding: chunked\r\n".to_string(),
            false => format!("Content-Length: {RESPONSE_BYTES}\r\n"),
        };
        let head = support::upstream_response_head(&format!("x\r\n{ATTEMPT_ID_LINE}"), 200, &line);
        let body = patterned_bytes(RESPONSE_BYTES);
        let (first, rest) = body.split_at(FIRST_PART_BYTES);
        let chunk = |bytes: &[u8]| match is_chunked {
            true => [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat(),
            false => bytes.to_vec(),
        };
        let end: &[u8] = if is_chunked { b"0\r\n\r\n" } else { b"" };
        [[head.into_bytes(), chunk(first)].concat(), [&chunk(rest), end].concat()]
    }

    /// Reads the rest of a response body of which `received` has come.
    async fn read_rest(self, client: &mut TestConnection, head: &str) -> ReceivedBody {
        if self.framing != Framing::UntilClose {
            return client.read_body(head).await;
        }
        let bytes = client.read_bytes(usize::MAX).await;
        ReceivedBody { is_complete: true, bytes }
    }
}

/// Guards against LOST: a process that was told to stop counted a request only until its response began, ended while it
/// passed the response on, and cut it off (review case 2).
#[test]
fn a_response_that_is_passed_on_keeps_a_stopping_process_until_its_client_has_it() {
    support::run(async {
        for case in Case::all() {
            let mesh = SidecarPair::start(case.upstream_location).await;
            let mut client = TestConnection::connect(mesh.origin.outbound).await;
            let request = case.request();
            let ((), mut upstream) = tokio::join!(client.send(&request), accept_request(&mesh.upstream));
            let [first, rest] = case.response();
            let (head, ()) = tokio::join!(client.read_head(), upstream.send(&first));
            assert_eq!(status(&head), "200", "{case:?}: {head}");
            mesh.origin.node_state.begin_stop();
            mesh.gate.node_state.begin_stop();
            assert_eq!(mesh.is_busy(), [true, true], "{case:?}: the client has only the first part");
            let (body, ()) = tokio::join!(case.read_rest(&mut client, &head), upstream.send(&rest));
            let expected = ReceivedBody { bytes: patterned_bytes(RESPONSE_BYTES), is_complete: true };
            assert!(body == expected, "{case:?}: {} bytes", body.bytes.len());
            drop(client);
            mesh.wait_until_idle().await;
        }
    });
}

/// Guards against LOST: a client that reads slowly lost what its system had not taken of a response when its connection was
/// closed meanwhile and it sent its next request: the system resets a closed connection on which something comes.
#[test]
fn a_slow_reader_gets_its_whole_response_from_a_connection_that_is_closed_behind_it() {
    support::run(async {
        for bytes in [MAX_BUFFERED_BODY_BYTES - 1, 2 * MAX_BUFFERED_BODY_BYTES] {
            let mesh = SidecarPair::start(UpstreamLocation::OtherSidecar).await;
            let mut client = mesh.connect_slow_reader().await;
            let request = format!("GET /safe/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}\r\n");
            client.send(request.as_bytes()).await;
            let mut upstream = accept_request(&mesh.upstream).await;
            let framing = format!("Content-Length: {bytes}\r\n");
            let head = support::upstream_response_head(&format!("x\r\n{ATTEMPT_ID_LINE}"), 200, &framing);
            upstream.send(&[head.into_bytes(), patterned_bytes(bytes)].concat()).await;
            while mesh.gate.node_state.is_busy() {
                tokio::task::yield_now().await;
            }
            mesh.take_turns().await;
            mesh.origin.node_state.begin_stop();
            mesh.origin.node_state.close_idle_connections();
            mesh.take_turns().await;
            client.send(request.as_bytes()).await;
            let was_busy = mesh.origin.node_state.is_busy();
            let head = client.read_head().await;
            let body = client.read_body(&head).await;
            assert!(
                body.is_complete && body.bytes == patterned_bytes(bytes),
                "{} of {bytes}",
                body.bytes.len()
            );
            assert!(was_busy, "{bytes}: the process would have ended before");
            drop(client);
            mesh.wait_until_idle().await;
        }
    });
}

/// Guards against a process that ends while a request is coming in, of which its client would never hear.
#[test]
fn a_request_that_is_still_coming_in_keeps_a_stopping_process() {
    support::run(async {
        let mesh = SidecarPair::start(UpstreamLocation::OtherSidecar).await;
        let head = format!("POST /once/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}Content-Length: 9\r\n\r\n");
        for part in [&head[..9], &head] {
            for (address, expected) in
                [(mesh.origin.outbound, [true, false]), (mesh.gate.inbound, [false, true])]
            {
                let mut client = TestConnection::connect(address).await;
                client.send(part.as_bytes()).await;
                mesh.take_turns().await;
                assert_eq!(mesh.is_busy(), expected, "{address}: {part:?}");
                drop(client);
                mesh.wait_until_idle().await;
            }
        }
    });
}

/// Guards against a process that ends before the reason why a request is refused has been read.
#[test]
fn a_refused_request_keeps_a_stopping_process_until_its_client_has_the_reason() {
    support::run(async {
        let mesh = SidecarPair::start(UpstreamLocation::OtherSidecar).await;
        let mut client = TestConnection::connect(mesh.origin.outbound).await;
        client.send(b"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\nunread").await;
        assert_eq!(status(&client.read_head().await), "413");
        assert!(mesh.origin.node_state.is_busy());
        drop(client);
        mesh.wait_until_idle().await;
    });
}

/// The same with an upstream that responds before it has the whole body: neither direction is cut off.
#[test]
fn a_response_that_comes_during_its_upload_keeps_a_stopping_process_until_both_are_whole() {
    support::run(async {
        let mesh = SidecarPair::start(UpstreamLocation::OtherSidecar).await;
        let mut client = TestConnection::connect(mesh.origin.outbound).await;
        let upload = patterned_bytes(RESPONSE_BYTES);
        let case = Case {
            upstream_location: UpstreamLocation::OtherSidecar,
            route: "up",
            body_bytes: RESPONSE_BYTES,
            framing: Framing::ContentLength,
        };
        let request = case.request();
        let (sent_before, sent_after) = request.split_at(request.len() - MAX_BUFFERED_BODY_BYTES);
        let accepting = async {
            let mut upstream = accept_connection(&mesh.upstream).await;
            let head = upstream.read_head().await;
            let first = upstream.read_bytes(MAX_BUFFERED_BODY_BYTES).await;
            (upstream, head, first)
        };
        let ((), (mut upstream, request_head, mut received)) =
            tokio::join!(client.send(sent_before), accepting);
        let [first, rest] = case.response();
        let (head, ()) = tokio::join!(client.read_head(), upstream.send(&first));
        mesh.origin.node_state.begin_stop();
        mesh.gate.node_state.begin_stop();
        assert_eq!(mesh.is_busy(), [true, true], "{request_head}");
        let left = RESPONSE_BYTES - received.len();
        let (rest_received, ()) = tokio::join!(upstream.read_bytes(left), client.send(sent_after));
        received.extend(rest_received);
        assert!(received == upload, "{} bytes of the upload", received.len());
        let (body, ()) = tokio::join!(case.read_rest(&mut client, &head), upstream.send(&rest));
        assert!(
            body.is_complete && body.bytes == patterned_bytes(RESPONSE_BYTES),
            "{} bytes",
            body.bytes.len()
        );
        drop(client);
        mesh.wait_until_idle().await;
    });
}
