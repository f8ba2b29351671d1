//! Accepts clients' connections.
use super::client_connection::serve_connection;
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::wire::{Connection, PeerKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Clients' connections may take this part of the file descriptors: the rest is for other sidecars and the upstream.
const CLIENT_CONNECTION_DIVISOR: u64 = 2;
/// After a failed accept, mostly for want of descriptors, the next one waits this long.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accept clients, until the process closes its listeners.
pub(crate) async fn listen(node_state: Rc<NodeState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Connections that are not accepted by now end with the listener, and their requests are not read.
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
            // The limit of heads is set with each request.
            serve_connection(&node_state, Connection::new(stream, PeerKind::External(0))).await;
        });
    }
}
