//! Waits for a client's next request, by the idle timeouts in force meanwhile.
use crate::node_state::NodeState;
use crate::wire::{Connection, ConnectionEvent};
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// Wait for a client's next request; `false`: none comes on this connection.
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
            // What has been received by the deadline is looked at first.
            event = timeout_at(deadline, connection.wait_for_event()) => match event {
                Ok(ConnectionEvent::Received) => return true,
                Ok(ConnectionEvent::Closed | ConnectionEvent::Broken) => return false,
                // A longer limit may be in force by now.
                Err(_) if node_state.now() - idle_since < close_after() => {}
                Err(_) => return false,
            },
            // A process that stops closes idle connections at once; clients open new ones elsewhere.
            _ = node_state.idle_connections_closing() => return connection.has_unread_bytes(),
        }
    }
    true
}
