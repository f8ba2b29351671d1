//! One attempt of a request, as it is to be sent.
use crate::body_buffer::BodyBuffer;
use crate::cancellation::CancellationToken;
use crate::forwarding_headers::ForwardingHeaders;
use crate::wire::RequestHead;
use silvercross_time::Duration;
use std::net::SocketAddr;
use std::rc::Rc;

/// One attempt of a request.
pub(super) struct OutgoingAttempt {
    /// The request's head.
    pub(super) head: Rc<RequestHead>,
    /// Its body.
    pub(super) body: Rc<BodyBuffer>,
    /// What the gate is told of it.
    pub(super) forwarding: ForwardingHeaders,
    /// How long the request's sender still waits.
    pub(super) time_left: Duration,
    /// The address of the upstream's gate.
    pub(super) gate: SocketAddr,
    /// The upstream's id.
    pub(super) upstream: String,
    /// Of one that may run once: cancelled when its client has left, and it ends if it has not begun. Others are dropped with their
    /// request.
    pub(super) cancellation: Option<Rc<CancellationToken>>,
}

impl OutgoingAttempt {
    /// The request's attempt id; empty if it has none.
    pub(super) fn attempt_id(&self) -> &str {
        self.head.attempt_id.as_deref().unwrap_or("")
    }
}
