//! A request as it is sent on a connection.
use crate::body_buffer::BodyBuffer;
use crate::cancellation::CancellationToken;
use crate::wire::{Response, ResponseRequest};
use std::net::SocketAddr;
use std::rc::Rc;

/// A request to be sent on a connection.
pub(crate) struct OutgoingRequest<'o> {
    /// The connection's other end.
    pub(crate) to: SocketAddr,
    /// The encoded head, and the body if that is buffered whole and not held back.
    pub(crate) bytes: &'o [u8],
    /// The body, if it is sent behind `bytes`.
    pub(crate) body: Option<&'o Rc<BodyBuffer>>,
    /// The body is held back until the other end asks for it (100 Continue).
    pub(crate) awaits_continue: bool,
    /// The attempt id; empty: neither the request nor its response has one.
    pub(crate) attempt_id: &'o str,
    /// It is a HEAD request.
    pub(crate) is_head_request: bool,
    /// When this is cancelled, the other end is told that the request may be dropped if it has not begun: by the end of this sending
    /// direction. The response is read all the same.
    pub(crate) cancellation: Option<&'o CancellationToken>,
}

impl OutgoingRequest<'_> {
    /// The request as the reader of its response needs to know it.
    pub(super) fn response_request(&self, awaits_continue: bool) -> ResponseRequest<'_> {
        ResponseRequest {
            attempt_id: self.attempt_id,
            is_head_request: self.is_head_request,
            awaits_continue,
        }
    }

    /// Whether a response shows that it is to this request and to no other. A gate that rejects a connection has read no
    /// attempt id: its status is the first response of a new connection.
    pub(super) fn is_answered_by(&self, response: &Response) -> bool {
        self.attempt_id.is_empty()
            || response.attempt_id.as_deref() == Some(self.attempt_id)
            || response.gate_status.is_some()
    }
}
