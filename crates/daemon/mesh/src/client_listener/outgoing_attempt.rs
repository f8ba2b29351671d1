//! An attempt of a request, as it is to be sent.
use crate::body_buffer::BodyBuffer;
use crate::cancellation::CancellationToken;
use crate::forwarding_headers::ForwardingHeaders;
use crate::wire::RequestHead;
use silvercross_time::Duration;
use std::net::SocketAddr;
use std::rc::Rc;

/// An attempt of a request.
pub(super) struct OutgoingAttempt {
    /// The head of the request.
    pub(super) head: Rc<RequestHead>,
    /// The body of the request.
    pub(super) body: Rc<BodyBuffer>,
    /// The forwarding headers for the gate.
    pub(super) forwarding: ForwardingHeaders,
    /// How long the request's sender still waits for the response.
    pub(super) time_left: Duration,
    /// The address of the upstream's gate.
    pub(super) gate: SocketAddr,
    /// The upstream's id.
    pub(super) upstream: String,
    /// For non-idempotent requests: cancelled when the client has disconnected, which ends the attempt if it has not
    /// begun. Other attempts are dropped with their request.
    pub(super) cancellation: Option<Rc<CancellationToken>>,
}

impl OutgoingAttempt {
    /// The attempt id of the request; empty if it has none.
    pub(super) fn attempt_id(&self) -> &str {
        self.head.attempt_id.as_deref().unwrap_or("")
    }
}
