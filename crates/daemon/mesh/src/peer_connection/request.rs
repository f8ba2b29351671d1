//! A request as it is sent on a connection.
use crate::body_buffer::BodyBuffer;
use crate::cancellation::CancellationToken;
use crate::wire::{Response, ResponseRequest};
use std::net::SocketAddr;
use std::rc::Rc;

/// A request to be sent on a connection.
pub(crate) struct OutgoingRequest<'o> {
    /// The address that it is sent to.
    pub(crate) to: SocketAddr,
    /// The encoded head, followed by the body if that is completely buffered and not held back.
    pub(crate) bytes: &'o [u8],
    /// The body, if it is sent separately after `bytes`.
    pub(crate) body: Option<&'o Rc<BodyBuffer>>,
    /// Whether the body is sent only after the other end's `100 Continue`.
    pub(crate) awaits_continue: bool,
    /// The attempt id; empty if neither the request nor its response has one.
    pub(crate) attempt_id: &'o str,
    /// Whether it is a HEAD request.
    pub(crate) is_head_request: bool,
    /// When this is cancelled, the sending direction is closed. That tells the other end that it may drop the request
    /// if it has not begun. The response is still read.
    pub(crate) cancellation: Option<&'o CancellationToken>,
}

impl OutgoingRequest<'_> {
    /// Returns what the reader of the response needs to know of the request.
    pub(super) fn response_request(&self, awaits_continue: bool) -> ResponseRequest<'_> {
        ResponseRequest {
            attempt_id: self.attempt_id,
            is_head_request: self.is_head_request,
            awaits_continue,
        }
    }

    /// Returns whether a response belongs to this request. A gate that rejects a connection has not read an attempt
    /// id: its status is the first response of a new connection.
    pub(super) fn is_answered_by(&self, response: &Response) -> bool {
        self.attempt_id.is_empty()
            || response.attempt_id.as_deref() == Some(self.attempt_id)
            || response.gate_status.is_some()
    }
}
