//! Clients that leave while their requests are served: the upstream sees its connection end, on every hop and at once.
use crate::tests::support::{
    self, bind_upstream, BoundUpstream, Sidecar, SidecarOptions, TestConnection, ATTEMPT_ID_LINE,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// It closes in order.
    Closes,
    /// It resets the connection.
    Resets,
    /// It closes its sending direction only.
    HalfCloses,
    /// It closes with the beginning of a next request sent behind this one.
    ClosesBehindNextRequest,
}

const WAYS_OF_LEAVING: [Leaving; 4] =
    [Leaving::Closes, Leaving::Resets, Leaving::HalfCloses, Leaving::ClosesBehindNextRequest];

/// Where the upstream stands.
#[derive(Clone, Copy, Debug)]
enum UpstreamAt {
    /// Beside the sidecar that the client is connected to.
    SameSidecar,
    /// Beside another one.
    OtherSidecar,
}

/// Origin and upstream, ready for requests.
struct Mesh {
    origin: Sidecar,
    gate: Sidecar,
    upstream: TcpListener,
}

impl Mesh {
    async fn start(upstream_at: UpstreamAt) -> Mesh {
        let BoundUpstream { listener, address } = bind_upstream().await;
        let gate = support::start_sidecar(2, address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        gate.learn_sidecar(&gate);
        let origin = match upstream_at {
            UpstreamAt::SameSidecar => gate.clone(),
            UpstreamAt::OtherSidecar => {
                let nobody = bind_upstream().await.address;
                let origin = support::start_sidecar(1, nobody, SidecarOptions::default()).await;
                origin.learn_sidecar(&gate);
                origin
            }
        };
        Mesh { origin, gate, upstream: listener }
    }

    /// A client's request, and the upstream's end of it once it has all of it.
    async fn begin_request(&self, route: &str) -> (TestConnection, TestConnection) {
        let mut client = TestConnection::connect(self.origin.outbound).await;
        let request = format!("GET /{route}/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}\r\n");
        client.send(request.as_bytes()).await;
        let (stream, _) = self.upstream.accept().await.expect("a connection");
        let mut upstream = TestConnection::from_stream(stream);
        assert!(!upstream.read_head().await.is_empty());
        (client, upstream)
    }
}

/// The client leaves. What is left of it: a half-closed connection is still there.
async fn leave(mut client: TestConnection, way: Leaving) -> Option<TestConnection> {
    match way {
        Leaving::Closes => None,
        Leaving::Resets => {
            let socket = socket2::SockRef::from(&client.stream);
            socket.set_linger(Some(std::time::Duration::ZERO)).expect("an option of the socket");
            None
        }
        Leaving::HalfCloses => {
            client.stream.shutdown().await.expect("half-closed");
            Some(client)
        }
        Leaving::ClosesBehindNextRequest => {
            client.send(b"GET /safe/next HTTP/1.1\r\nHost: h\r\n").await;
            None
        }
    }
}

#[test]
fn a_client_that_leaves_ends_its_repeatable_request_on_every_hop() {
    support::run(async {
        for upstream_at in [UpstreamAt::SameSidecar, UpstreamAt::OtherSidecar] {
            for way in WAYS_OF_LEAVING {
                let case = format!("{upstream_at:?} {way:?}");
                let mesh = Mesh::start(upstream_at).await;
                let (client, mut upstream) = mesh.begin_request("safe").await;
                let _half_closed = leave(client, way).await;
                assert_eq!(upstream.receive().await, 0, "{case}: the upstream sees the end");
                let load = || mesh.gate.node_state.gate.with_admission(|admission| admission.load());
                while load().in_flight > 0 || mesh.origin.node_state.open_requests.get() > 0 {
                    tokio::task::yield_now().await;
                }
            }
        }
    });
}
