//! In the package, because a binary has no library to import.
use super::{reload, ReloadOutcome};
use crate::tests::support::{self, SidecarOptions};
use silvercross_admission::UpstreamState;
use silvercross_time::Duration;

fn reloaded(in_force: &[&'static str], need_restart: &[&'static str]) -> ReloadOutcome {
    ReloadOutcome::Reloaded { in_force: in_force.to_vec(), need_restart: need_restart.to_vec() }
}

#[test]
fn what_can_change_takes_hold_the_rest_is_named_and_a_broken_file_changes_nothing() {
    support::run(async {
        let at = support::bind_upstream().await.address;
        let support::StartedSidecar { sidecar, settings: text } =
            support::start_sidecar_with_settings(1, at, SidecarOptions::default()).await;
        let node_state = &sidecar.node_state;
        let path = std::env::temp_dir().join(format!("silvercross-mesh-reload-{}.yaml", std::process::id()));
        let write = |text: &str| std::fs::write(&path, text).expect("written");
        write(&text);
        node_state.settings_file.begin(&path);
        assert_eq!(reload(node_state, false), ReloadOutcome::Unchanged);
        assert_eq!(reload(node_state, true), reloaded(&[], &[]));
        let more = "heartbeatS: 0.7\nseeds: ['127.0.0.9:1']\nbounds: ['drainS=0', 'retrySlack=6']\n";
        write(&format!("{text}{more}"));
        assert_eq!(reload(node_state, false), reloaded(&["seeds", "heartbeatS", "bounds"], &[]));
        let reloadable = node_state.reloadable.get();
        let limits = reloadable.limits;
        assert_eq!(reloadable.heartbeat_interval, Duration::from_millis(700));
        assert_eq!((limits.drain_timeout, limits.retry_allowance), (Duration::ZERO, 6.0));
        // The gate applies the new limits: a draining upstream gets no more requests.
        sidecar.send_heartbeat();
        let draining = "{\"destination\":\"quotes\",\"state\":\"draining\",\"slots\":8,\"sequence\":2}";
        node_state
            .upstream_heartbeat("i-127.0.0.1", serde_json::from_str(draining).expect("valid heartbeat"));
        let state =
            node_state.gate.with_admission(|admission| admission.upstream().map(|upstream| upstream.state));
        assert!(
            matches!(state, Some(UpstreamState::Draining(until)) if until <= node_state.now()),
            "{state:?}"
        );
        write("zone: ''\n");
        assert!(matches!(reload(node_state, false), ReloadOutcome::Unusable(_)));
        assert_eq!(reload(node_state, false), ReloadOutcome::Unchanged);
        assert_eq!(node_state.reloadable.get(), reloadable);
        write(&format!("{text}{more}").replace("destination: quotes", "destination: other"));
        assert_eq!(reload(node_state, false), reloaded(&[], &["destination"]));
        std::fs::remove_file(&path).expect("removed");
        assert!(matches!(reload(node_state, false), ReloadOutcome::Unusable(_)));
    });
}
