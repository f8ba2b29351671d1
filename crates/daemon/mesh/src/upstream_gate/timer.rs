//! Calls the admission controller at its deadlines.
use crate::node_state::NodeState;
use silvercross_time::Duration;
use std::rc::Rc;

/// Maximum interval between two checks of the controller's deadline.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Advances the controller's time until the process ends.
pub(crate) async fn run_timer(node_state: Rc<NodeState>) {
    loop {
        let now = node_state.now();
        let interval = node_state
            .gate
            .next_deadline()
            .map_or(MAX_INTERVAL, |deadline| (deadline - now).clamp(Duration::ZERO, MAX_INTERVAL));
        tokio::select! {
            _ = tokio::time::sleep(interval.to_std()) => {
                let now = node_state.now();
                node_state.gate.with_admission(|admission| admission.tick(now));
            }
            _ = node_state.gate.deadline_changed.notified() => {}
        }
    }
}
