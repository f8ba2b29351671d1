//! Counts the requests that are open, and those that were read.
use crate::node_state::NodeState;

/// Counts a request that has been read.
pub(super) fn count_request(node_state: &NodeState) {
    node_state.counters.requests.set(node_state.counters.requests.get() + 1);
}

/// Counts a request as open until it is dropped.
pub(super) struct OpenRequestGuard<'p>(&'p NodeState);

impl<'p> OpenRequestGuard<'p> {
    /// Counts a request as open.
    pub(super) fn new(node_state: &'p NodeState) -> Self {
        node_state.open_requests.set(node_state.open_requests.get() + 1);
        OpenRequestGuard(node_state)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
