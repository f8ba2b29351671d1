//! Periodic checks: for a silent upstream, changed settings and expired connections.
use crate::metrics::metrics_report;
use crate::node_state::NodeState;
use crate::reload;
use silvercross_time::Duration;
use slog::{debug, warn};
use std::rc::Rc;

/// Interval of the checks. A process that was suspended for more than a second has missed some.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of the turns of the event loop that are recorded.
const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings file is checked.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which expired departures are deleted from the disk.
const DEPARTURE_EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the metrics are logged, at debug level.
const METRICS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the periodic checks until the process ends.
pub(crate) async fn run(node_state: Rc<NodeState>) {
    let mut metrics_logged_at = node_state.now();
    let mut settings_checked_at = metrics_logged_at;
    let mut published_replica_set = Vec::new();
    let mut departures_expired_at = metrics_logged_at;
    let mut rollbacks = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL.to_std()).await;
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
        let deletes_expired = now - departures_expired_at >= DEPARTURE_EXPIRY_INTERVAL;
        if deletes_expired {
            departures_expired_at = now;
        }
        node_state.peers.write_departures(&node_state, deletes_expired);
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

/// Records the turns of the event loop. Runs as long as the process.
pub(crate) async fn record_event_loop_turns(node_state: Rc<NodeState>) {
    loop {
        tokio::time::sleep(TURN_INTERVAL.to_std()).await;
        node_state.record_event_loop_turn();
    }
}

/// Logs when the disk was found to hold an older state than it had confirmed; `known` counts those already logged.
fn log_rollbacks(node_state: &NodeState, known: &mut u64) {
    let rollbacks = node_state.peers.control_store(|store| store.metrics().disk_rollbacks).unwrap_or(0);
    if rollbacks > *known {
        *known = rollbacks;
        warn!(node_state.log, "disk went back to an older state, the other replicas repair it"; "times" => rollbacks);
    }
}
