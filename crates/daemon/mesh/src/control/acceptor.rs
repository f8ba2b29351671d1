//! Accepting connections, and a time after which each was opened.
use crate::node_state::NodeState;
use silvercross_time::Instant;
use std::future::poll_fn;
use std::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::unconstrained;

/// An accepted connection.
pub(super) struct Accepted {
    pub(super) stream: TcpStream,
    /// The connection was opened after this.
    pub(super) opened_after: Instant,
}

/// Accepts connections.
pub(super) struct Acceptor {
    listener: TcpListener,
    /// The connections that are in the queue now were opened after this.
    opened_after: Instant,
}

impl Acceptor {
    /// Creates it for a listener of this process.
    pub(super) fn new(node_state: &NodeState, listener: TcpListener) -> Self {
        Acceptor { listener, opened_after: node_state.started_at() }
    }

    /// Accepts a connection.
    ///
    /// # Errors
    /// Those of the socket.
    pub(super) async fn accept(&mut self, node_state: &NodeState) -> io::Result<Accepted> {
        let mut was_empty = false;
        let next = poll_fn(|context| {
            let polled = self.listener.poll_accept(context);
            was_empty |= polled.is_pending();
            polled
        });
        // Not interrupted by the runtime, so that only an empty queue looks like one.
        let accepted = unconstrained(next).await;
        if was_empty {
            self.opened_after = node_state.arrived_after();
        }
        let (stream, _) = accepted?;
        Ok(Accepted { stream, opened_after: self.opened_after })
    }
}
