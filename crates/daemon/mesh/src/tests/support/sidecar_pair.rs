//! A client's sidecar, the sidecar beside an upstream, and the upstream's listener.
use super::{bind_upstream, start_sidecar, BoundUpstream, Sidecar, SidecarOptions, TestConnection};
use tokio::net::TcpListener;

/// The sidecar that the upstream is attached to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum UpstreamLocation {
    /// The sidecar that the client is connected to.
    SameSidecar,
    /// Another sidecar.
    OtherSidecar,
}

pub(crate) const UPSTREAM_LOCATIONS: [UpstreamLocation; 2] =
    [UpstreamLocation::SameSidecar, UpstreamLocation::OtherSidecar];

/// An origin and a gate, which may be the same sidecar, and the upstream, ready for requests.
pub(crate) struct SidecarPair {
    pub(crate) origin: Sidecar,
    pub(crate) gate: Sidecar,
    pub(crate) upstream: TcpListener,
}

impl SidecarPair {
    pub(crate) async fn start(upstream_location: UpstreamLocation) -> SidecarPair {
        let BoundUpstream { listener, address } = bind_upstream().await;
        let gate = start_sidecar(2, address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        gate.learn_sidecar(&gate);
        let origin = match upstream_location {
            UpstreamLocation::SameSidecar => gate.clone(),
            UpstreamLocation::OtherSidecar => {
                let unused_address = bind_upstream().await.address;
                let origin = start_sidecar(1, unused_address, SidecarOptions::default()).await;
                origin.learn_sidecar(&gate);
                origin
            }
        };
        SidecarPair { origin, gate, upstream: listener }
    }
}

/// Accepts a connection of a sidecar at its upstream.
pub(crate) async fn accept_connection(upstream: &TcpListener) -> TestConnection {
    let (stream, _) = upstream.accept().await.expect("accepted connection");
    TestConnection::from_stream(stream)
}

/// Accepts a connection of a sidecar at its upstream and reads a request on it.
pub(crate) async fn accept_request(upstream: &TcpListener) -> TestConnection {
    let mut connection = accept_connection(upstream).await;
    let head = connection.read_head().await;
    assert!(connection.read_body(&head).await.is_complete, "{head}");
    connection
}
