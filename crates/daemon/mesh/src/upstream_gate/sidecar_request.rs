//! A request of another sidecar.
use crate::forwarding_headers::ForwardingHeaders;
use crate::response_replay_cache::ReplayEntry;
use crate::wire::RequestHead;

/// A request of another sidecar, its body aside.
pub(super) struct SidecarRequest {
    /// Its head.
    pub(super) head: RequestHead,
    /// What its origin says of it; `None`: that can't be decoded, or is of another version.
    pub(super) forwarding: Option<ForwardingHeaders>,
    /// Its entry, if it may run once.
    pub(super) replay_entry: Option<ReplayEntry>,
    /// The incarnation of this process, if the response has to state it.
    pub(super) incarnation: Option<u64>,
}
