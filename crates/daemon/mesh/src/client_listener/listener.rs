//! Accepts connections of clients.
use super::client_connection::serve_connection;
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::wire::{Connection, PeerKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The share of the file descriptors, as a divisor, that clients' connections may use. The rest is for other sidecars
/// and the upstream.
const CLIENT_CONNECTION_DIVISOR: u64 = 2;
/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of clients until the process closes its listeners.
pub(crate) async fn listen(node_state: Rc<NodeState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Connections that have not been accepted by now are closed with the listener, and their requests are not
            // read.
            _ = node_state.listeners_closing() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let max_open = node_state.settings.max_descriptors / CLIENT_CONNECTION_DIVISOR;
        if node_state.counters.client_connections.get() >= max_open {
            node_state.reject_connection(ConnectionKind::Outbound);
            continue;
        }
        let node_state = node_state.clone();
        let gauge = GaugeGuard::new(&node_state.counters, |counters| &counters.client_connections);
        tokio::task::spawn_local(async move {
            let _gauge = gauge;
            // The limit on the size of heads is set before each request is read.
            serve_connection(&node_state, Connection::new(stream, PeerKind::External(0))).await;
        });
    }
}
