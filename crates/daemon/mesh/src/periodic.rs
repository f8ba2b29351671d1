//! What only the passing of time tells: an upstream that fell silent, settings that changed, connections that expired.
use crate::metrics::metrics_report;
use crate::node_state::NodeState;
use crate::reload;
use silvercross_time::Duration;
use slog::{debug, warn};
use std::rc::Rc;

/// Time between two looks. A process that stands still for longer than a second has missed some.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// The settings file is looked at so often.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// The metrics go to the log so often, at the level of debugging.
const METRICS_INTERVAL: Duration = Duration::from_secs(2);

/// Look after what only time tells, for as long as the process lives.
pub(crate) async fn run(node_state: Rc<NodeState>) {
    let mut metrics_logged_at = node_state.now();
    let mut settings_checked_at = metrics_logged_at;
    let mut published_replica_set = Vec::new();
    let mut rollbacks = 0;
    loop {
        tokio::time::sleep(LOOK_INTERVAL.to_std()).await;
        let now = node_state.now();
        node_state.note_awake();
        node_state.check_newest_in_force();
        node_state.check_local_upstream();
        log_rollbacks(&node_state, &mut rollbacks);
        let replica_set = node_state.known_replica_set();
        if replica_set != published_replica_set {
            published_replica_set = replica_set;
            node_state.publish_own_record();
        }
        node_state.pool.close_expired();
        node_state.response_replay_cache.remove_expired();
        if now - settings_checked_at >= SETTINGS_INTERVAL {
            settings_checked_at = now;
            reload::reload(&node_state, false);
        }
        node_state.stream_own_record();
        if now - metrics_logged_at >= METRICS_INTERVAL {
            metrics_logged_at = now;
            debug!(node_state.log, "metrics"; "all" => metrics_report(&node_state).to_string());
        }
    }
}

/// Say so when the disk was found to hold an older state than it had confirmed; `known` are those that were logged.
fn log_rollbacks(node_state: &NodeState, known: &mut u64) {
    let rollbacks = node_state.peers.control_store(|store| store.metrics().disk_rollbacks).unwrap_or(0);
    if rollbacks > *known {
        *known = rollbacks;
        warn!(node_state.log, "disk went back to an older state, the other replicas repair it"; "times" => rollbacks);
    }
}
