//! What the gate counts of the requests that pass it.
use crate::node_state::NodeState;

/// Count a request that the gate rejected.
pub(super) fn count_rejection(node_state: &NodeState) {
    let counter = &node_state.counters.rejected_by_gate;
    counter.set(counter.get() + 1);
}

/// Count a request that goes on though its origin's connection has broken.
pub(super) fn count_orphaned(node_state: &NodeState) {
    let counter = &node_state.counters.orphaned_requests;
    counter.set(counter.get() + 1);
}

/// Count a request that is written to the upstream.
pub(super) fn count_delivered(node_state: &NodeState) {
    let counter = &node_state.counters.delivered_requests;
    counter.set(counter.get() + 1);
}
