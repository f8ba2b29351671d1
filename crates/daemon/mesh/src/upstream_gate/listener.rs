//! Accepts or rejects connections of other sidecars.
use super::limits::{
    ACCEPT_RETRY_DELAY, DISCARD_TIMEOUT, MAX_CONCURRENT_REJECTIONS, MEMORY_RETRY_AFTER,
    SIDECAR_CONNECTION_DIVISOR,
};
use super::sidecar_connection::serve_connection;
use crate::forwarding_headers::{self, GateStatus};
use crate::node_state::{ConnectionKind, GaugeGuard, NodeState};
use crate::peer_connection::set_liveness_options;
use crate::wire::header_names::GATE_STATUS;
use crate::wire::{encode_response, Connection, PeerKind};
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections of other sidecars until the process ends.
pub(crate) async fn listen(node_state: Rc<NodeState>, listener: TcpListener) {
    let rejections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        set_liveness_options(&stream);
        if !make_room(&node_state) {
            node_state.reject_connection(ConnectionKind::Inbound);
            if rejections.get() < MAX_CONCURRENT_REJECTIONS {
                rejections.set(rejections.get() + 1);
                let rejections = rejections.clone();
                tokio::task::spawn_local(async move {
                    reject(stream).await;
                    rejections.set(rejections.get() - 1);
                });
            }
            continue;
        }
        let node_state = node_state.clone();
        let gauge = GaugeGuard::new(&node_state.counters, |counters| &counters.hop_connections);
        tokio::task::spawn_local(async move {
            let _gauge = gauge;
            serve_connection(&node_state, Connection::new(stream, PeerKind::Sidecar)).await;
        });
    }
}

/// Returns whether another connection may be accepted. At the limit it evicts the connection that has been idle
/// longest, if there is one.
fn make_room(node_state: &NodeState) -> bool {
    let counters = &node_state.counters;
    let open = counters.hop_connections.get();
    let evicting = node_state.gate.evictions_pending.get();
    let max_open = (node_state.settings.max_descriptors / SIDECAR_CONNECTION_DIVISOR).max(1);
    if open - evicting.min(open) < max_open {
        return true;
    }
    if counters.idle_hop_connections.get() > evicting {
        node_state.gate.evictions_pending.set(evicting + 1);
        node_state.gate.evict_idle.notify_one();
        return true;
    }
    false
}

/// Rejects a connection, so that its sidecar retries elsewhere. Nothing has been read from it, so no request has
/// begun.
async fn reject(stream: TcpStream) {
    let mut connection = Connection::new(stream, PeerKind::Sidecar);
    let status = forwarding_headers::encode(&GateStatus::Overloaded(MEMORY_RETRY_AFTER));
    let lines = format!("{GATE_STATUS}: {status}\r\n");
    let bytes = encode_response(503, lines.as_bytes(), b"", true, false);
    if connection.write(&bytes).await.is_ok() {
        connection.close_gracefully(DISCARD_TIMEOUT).await;
    }
}
