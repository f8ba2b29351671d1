//! Requests of other sidecars.
use crate::forwarding_headers::ForwardingHeaders;
use crate::response_replay_cache::ReplayEntry;
use crate::wire::RequestHead;

/// A request of another sidecar, without its body.
pub(super) struct SidecarRequest {
    /// The head of the request.
    pub(super) head: RequestHead,
    /// The forwarding headers from its origin; `None` if they can't be decoded or are of another version.
    pub(super) forwarding: Option<ForwardingHeaders>,
    /// The entry in the replay cache, if the request is not idempotent.
    pub(super) replay_entry: Option<ReplayEntry>,
    /// The incarnation of this process, if the response has to state it.
    pub(super) incarnation: Option<u64>,
}
