//! Waits for a client's next request, applying changes of the idle timeout.
use crate::node_state::NodeState;
use crate::wire::{Connection, ConnectionEvent};
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// Waits for a client's next request. Returns `false` if the connection is to be closed instead.
pub(super) async fn wait_for_request(node_state: &Rc<NodeState>, connection: &mut Connection) -> bool {
    let (idle_since, idle_since_timer) = (node_state.now(), Instant::now());
    let close_after = || {
        let default = node_state.routing_table().limits().idle_timeout;
        node_state.idle_timeout.borrow().close_after(node_state.now(), default)
    };
    while !connection.has_unread_bytes() {
        let deadline = idle_since_timer + close_after().to_std();
        tokio::select! {
            biased;
            // Checks first for input that was received by the deadline.
            event = timeout_at(deadline, connection.wait_for_event()) => match event {
                Ok(ConnectionEvent::Received) => return true,
                Ok(ConnectionEvent::Closed | ConnectionEvent::Broken) => return false,
                // A longer limit may be in force by now.
                Err(_) if node_state.now() - idle_since < close_after() => {}
                Err(_) => return false,
            },
            // A stopping process closes idle connections immediately. Clients reconnect elsewhere.
            _ = node_state.idle_connections_closing() => return connection.has_unread_bytes(),
        }
    }
    true
}
