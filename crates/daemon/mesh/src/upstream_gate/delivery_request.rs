//! A request as it is handed to the gate.
use crate::body_buffer::BodyBuffer;
use crate::forwarding_headers::ForwardingHeaders;
use crate::response_replay_cache::ReplayEntry;
use crate::wire::RequestHead;
use silvercross_time::Duration;
use std::cell::Cell;
use std::rc::Rc;

/// A request to be delivered to the upstream.
pub(crate) struct Delivery<'d> {
    /// Its head.
    pub(crate) head: &'d RequestHead,
    /// What its origin says of it.
    pub(crate) forwarding: &'d ForwardingHeaders,
    /// Its body.
    pub(crate) body: &'d Rc<BodyBuffer>,
    /// How long its sender waits.
    pub(crate) timeout: Duration,
    /// The id of the upstream that it is meant for.
    pub(crate) expected_upstream: Option<&'d str>,
    /// Its entry, if it may run once and came from another sidecar.
    pub(crate) replay_entry: Option<&'d ReplayEntry>,
    /// Set when its first byte is about to be written to the upstream.
    pub(crate) has_begun: &'d Cell<bool>,
}

impl<'d> Delivery<'d> {
    /// Of a request that came from another sidecar.
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
