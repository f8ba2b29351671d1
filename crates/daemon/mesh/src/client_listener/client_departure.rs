//! The effect of a client's disconnect on its request.
//!
//! A client that closes its sending direction counts as disconnected: until something is written, a closed connection
//! looks the same. Requests that are idempotent, or of which nothing was sent, end immediately and on every hop. A
//! non-idempotent request that was sent is carried on, since it may have begun: after [`HALF_CLOSE_GRACE`] no further
//! attempt of it is started, and a gate that has not yet passed it to its upstream drops it.
use super::client_response::ClientResponse;
use crate::cancellation::CancellationToken;
use crate::mutation::{self, Mutation};
use crate::wire::{Connection, ConnectionEvent};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Bytes of pipelined requests that are received while a request is served. A client that has sent more is no longer
/// watched: its disconnect is noticed when the response is written, or at the request's deadline.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// How long further attempts of a non-idempotent request may start after its client closed gracefully: it may have
/// closed only its sending direction, and still await the response.
const HALF_CLOSE_GRACE: Duration = Duration::from_millis(250);

/// How a client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientDisconnect {
    /// It closed its connection, or its sending direction, gracefully.
    Closed {
        /// When this was first seen.
        since: Instant,
    },
    /// The connection broke, so a response can't be read.
    Broken,
}

/// What was sent of a request, as far as it matters to the client's disconnect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SentState {
    /// No attempt was sent.
    Unsent,
    /// An attempt of an idempotent request was sent.
    SentRepeatable,
    /// An attempt of a non-idempotent request was sent.
    SentOnce,
}

/// Tracks whether the client of a request has disconnected, and the effect of that.
pub(super) struct ClientDeparture {
    /// Cancelled when the client has disconnected.
    token: Rc<CancellationToken>,
    state: Cell<SentState>,
}

impl ClientDeparture {
    /// Creates the state of a request that has just been read.
    pub(super) fn new() -> Self {
        ClientDeparture { token: Rc::default(), state: Cell::new(SentState::Unsent) }
    }

    /// Cancelled when the client has disconnected.
    pub(super) fn token(&self) -> &Rc<CancellationToken> {
        &self.token
    }

    /// Whether the client has disconnected.
    pub(super) fn has_disconnected(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Records that an attempt is about to be sent.
    pub(super) fn attempt_started(&self, is_idempotent: bool) {
        self.state.set(if is_idempotent { SentState::SentRepeatable } else { SentState::SentOnce });
    }

    /// Waits until the client's disconnect takes effect. Returns the response if that ends the request; `None` if the
    /// request is carried on.
    pub(super) async fn take_effect(&self, disconnect: ClientDisconnect) -> Option<ClientResponse> {
        if let (ClientDisconnect::Closed { since }, SentState::SentOnce) = (disconnect, self.state.get()) {
            sleep_until(since + HALF_CLOSE_GRACE).await;
        }
        self.mark_disconnected()
    }

    fn mark_disconnected(&self) -> Option<ClientResponse> {
        if mutation::is_active(Mutation::DepartedClientServed) {
            return None;
        }
        self.token.cancel();
        match self.state.get() {
            SentState::Unsent => Some(ClientResponse::not_run(503, "its client has left", None)),
            SentState::SentRepeatable => Some(ClientResponse::own(502, "its client has left")),
            SentState::SentOnce => None,
        }
    }
}

/// Returns once the client has closed its connection or the connection has broken. Bytes of pipelined requests that
/// arrive before are kept.
pub(super) async fn wait_for_disconnect(connection: &mut Connection) -> ClientDisconnect {
    while connection.unread_length() < MAX_PIPELINED_BYTES {
        match connection.wait_for_event().await {
            ConnectionEvent::Received => {}
            ConnectionEvent::Closed => return ClientDisconnect::Closed { since: connection.closed_since() },
            ConnectionEvent::Broken => return ClientDisconnect::Broken,
        }
    }
    std::future::pending().await
}
