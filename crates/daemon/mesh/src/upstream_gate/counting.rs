//! Counters of the requests that pass the gate.
use crate::node_state::NodeState;

/// Counts a request that the gate rejected.
pub(super) fn count_rejection(node_state: &NodeState) {
    let counter = &node_state.counters.rejected_by_gate;
    counter.set(counter.get() + 1);
}

/// Counts a request that continues after its origin's connection broke.
pub(super) fn count_orphaned(node_state: &NodeState) {
    let counter = &node_state.counters.orphaned_requests;
    counter.set(counter.get() + 1);
}

/// Counts a request that is written to the upstream.
pub(super) fn count_delivered(node_state: &NodeState) {
    let counter = &node_state.counters.delivered_requests;
    counter.set(counter.get() + 1);
}
