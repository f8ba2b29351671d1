//! Counts the requests that are open.
use crate::node_state::NodeState;

/// A request counts as open for as long as this lives.
pub(super) struct OpenRequestGuard<'p>(&'p NodeState);

impl<'p> OpenRequestGuard<'p> {
    /// Count a request.
    pub(super) fn new(node_state: &'p NodeState) -> Self {
        node_state.counters.requests.set(node_state.counters.requests.get() + 1);
        node_state.open_requests.set(node_state.open_requests.get() + 1);
        OpenRequestGuard(node_state)
    }
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
