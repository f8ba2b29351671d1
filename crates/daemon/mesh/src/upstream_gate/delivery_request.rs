//! A request as it is passed to the gate.
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::ForwardingHeaders;
use crate::response_replay_cache::ReplayEntry;
use crate::wire::RequestHead;
use silvercross_time::Duration;
use std::cell::Cell;
use std::rc::Rc;

/// A request to be delivered to the upstream.
pub(crate) struct Delivery<'d> {
    /// The head of the request.
    pub(crate) head: &'d RequestHead,
    /// The forwarding headers from its origin.
    pub(crate) forwarding: &'d ForwardingHeaders,
    /// The body of the request.
    pub(crate) body: &'d Rc<BodyBuffer>,
    /// How long its sender waits for the response.
    pub(crate) timeout: Duration,
    /// The id of the upstream that the request is intended for.
    pub(crate) expected_upstream: Option<&'d str>,
    /// The entry in the replay cache, if the request is not idempotent and came from another sidecar.
    pub(crate) replay_entry: Option<&'d ReplayEntry>,
    /// Set just before the first byte is written to the upstream.
    pub(crate) has_begun: &'d Cell<bool>,
}

impl<'d> Delivery<'d> {
    /// Creates the delivery of a request that came from another sidecar.
    pub(super) fn from_sidecar(
        head: &'d RequestHead,
        forwarding: &'d ForwardingHeaders,
        body: &'d Rc<BodyBuffer>,
        replay_entry: Option<&'d ReplayEntry>,
        has_begun: &'d Cell<bool>,
    ) -> Self {
        Delivery {
            head,
            forwarding,
            body,
            timeout: head.timeout_or_default(),
            expected_upstream: head.expected_upstream.as_deref(),
            replay_entry,
            has_begun,
        }
    }
}
