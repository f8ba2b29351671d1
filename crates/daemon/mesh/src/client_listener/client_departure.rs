//! What a client's leaving means to its request.
//!
//! A client that closes its sending direction counts as one that has left: a closed connection looks the same until something is
//! written to it. Work that may be repeated, or of which nothing was sent, ends at once and on every hop. What may run once and was
//! sent is carried on, as it may have begun: after [`HALF_CLOSE_GRACE`] nothing more is begun for it, and a gate that has not passed it
//! to its upstream yet drops it.
use super::client_response::ClientResponse;
use crate::cancellation::CancellationToken;
use crate::mutation::{self, Mutation};
use crate::wire::{Connection, ConnectionEvent};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Bytes of further requests that are received while one is served. A client that has sent more is not watched any further: its
/// leaving is noticed with the response, at the request's deadline at the latest.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// A request that may run once can still begin for so long after its client has closed in order: it may have closed its sending
/// direction only, and wait for the response.
const HALF_CLOSE_GRACE: Duration = Duration::from_millis(250);

/// How a client has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientExit {
    /// It closed its connection, or its sending direction, in order.
    Closed {
        /// When that was seen first.
        since: Instant,
    },
    /// The connection broke: nobody reads a response.
    Broken,
}

/// How far a request has come, as far as its client's leaving goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SentState {
    /// Nothing of it was sent.
    Unsent,
    /// It was sent, and may be repeated.
    SentRepeatable,
    /// It was sent, and may run once.
    SentOnce,
}

/// Whether the client of a request has left, and what follows.
pub(super) struct ClientDeparture {
    /// Cancelled when the client has left.
    token: Rc<CancellationToken>,
    state: Cell<SentState>,
}

impl ClientDeparture {
    /// Of a request that was just read.
    pub(super) fn new() -> Self {
        ClientDeparture { token: Rc::default(), state: Cell::new(SentState::Unsent) }
    }

    /// Cancelled when the client has left.
    pub(super) fn token(&self) -> &Rc<CancellationToken> {
        &self.token
    }

    /// Whether the client has left.
    pub(super) fn has_left(&self) -> bool {
        self.token.is_cancelled()
    }

    /// An attempt is about to be sent.
    pub(super) fn attempt_started(&self, is_idempotent: bool) {
        self.state.set(if is_idempotent { SentState::SentRepeatable } else { SentState::SentOnce });
    }

    /// The client has left: returns when that takes effect. What it is answered, if its request ends here; `None`: it is carried on.
    pub(super) async fn take_effect(&self, exit: ClientExit) -> Option<ClientResponse> {
        if let (ClientExit::Closed { since }, SentState::SentOnce) = (exit, self.state.get()) {
            sleep_until(since + HALF_CLOSE_GRACE).await;
        }
        self.leave()
    }

    fn leave(&self) -> Option<ClientResponse> {
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

/// Return once the client has closed its connection, or that has broken. Bytes of further requests that come first are kept.
pub(super) async fn wait_until_left(connection: &mut Connection) -> ClientExit {
    while connection.unread_length() < MAX_PIPELINED_BYTES {
        match connection.wait_for_event().await {
            ConnectionEvent::Received => {}
            ConnectionEvent::Closed => return ClientExit::Closed { since: connection.closed_since() },
            ConnectionEvent::Broken => return ClientExit::Broken,
        }
    }
    std::future::pending().await
}
