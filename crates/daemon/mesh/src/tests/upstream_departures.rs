//! Departures of upstreams: what a sidecar does with what others remember, and when it acknowledges.
use crate::control::{self, CONTROL_CALLS};
use crate::node_state::{Departure, NodeState, SidecarVersion, Tombstone, TOMBSTONE_RETENTION};
use crate::tests::support::{
    self, bind_upstream, call, scripted_mesh, status, Sidecar, SidecarOptions, TestConnection, GOOD_RESPONSE,
};
use silvercross_mesh_membership::Node;
use std::net::SocketAddr;
use std::rc::Rc;

fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        "{{\"destination\":\"quotes\",\"zone\":\"a\",\"slots\":8,\"state\":\"{state}\",\"coldLeftS\":0,\"sequence\":{sequence}}}"
    )
}

async fn start_calls(node_state: &Rc<NodeState>) -> SocketAddr {
    let calls = bind_upstream().await;
    tokio::task::spawn_local(control::listen(node_state.clone(), calls.listener, &CONTROL_CALLS));
    calls.address
}

async fn call_status(at: SocketAddr, path: &str, body: &str) -> String {
    let mut connection = TestConnection::connect(at).await;
    status(&call(&mut connection, "POST", path, body).await.head).to_string()
}

/// A tombstone of the upstream of a sidecar, from before the sidecar's restart.
fn earlier_tombstone(sidecar: &Sidecar, departure: Departure) -> Tombstone {
    let version = SidecarVersion { incarnation: 0, sequence: 1 };
    Tombstone { id: format!("i-{}", sidecar.ip), sidecar: Node(sidecar.ip.to_bits()), version, departure }
}

/// Guards against a late heartbeat that brings back an upstream whose departure an earlier process has acknowledged, whether
/// the heartbeat or the word of the other nodes comes first.
#[test]
fn a_late_heartbeat_does_not_bring_back_what_an_earlier_process_has_let_go() {
    support::run(async {
        for (departure, comes_first, expected) in [
            (Departure::Ended, true, "409"),
            (Departure::Ended, false, "409"),
            (Departure::Draining, true, "200"),
            (Departure::Draining, false, "200"),
        ] {
            let mesh = scripted_mesh(&[GOOD_RESPONSE; 4]).await;
            let calls = start_calls(&mesh.gate.node_state).await;
            let tombstone = earlier_tombstone(&mesh.gate, departure);
            let path = format!("/-/Stations.Heartbeat/{}", tombstone.id);
            if !comes_first {
                assert_eq!(support::post(&mesh.origin, "once", "before").await.status, "200");
            }
            for sidecar in [&mesh.gate, &mesh.origin] {
                assert!(sidecar.node_state.learn_tombstone(&tombstone, TOMBSTONE_RETENTION));
                assert!(!sidecar.node_state.learn_tombstone(&tombstone, TOMBSTONE_RETENTION), "nothing new");
            }
            for sequence in [5, 6] {
                assert_eq!(call_status(calls, &path, &heartbeat("ready", sequence)).await, expected);
            }
            // The origin still has a record that lists the upstream as ready; clients of both machines ask.
            mesh.origin.learn_sidecar(&mesh.gate);
            let reached = mesh.log.attempt_ids.borrow().len();
            for (from, id) in [(&mesh.origin, "o"), (&mesh.gate, "g")] {
                assert_eq!(support::post(from, "once", id).await.status, "503", "{departure:?}");
            }
            assert_eq!(mesh.log.attempt_ids.borrow().len(), reached, "{departure:?} {comes_first}");
            // Another incarnation is believed at once.
            assert_eq!(
                call_status(calls, "/-/Stations.Heartbeat/i-new", &heartbeat("ready", 1)).await,
                "200"
            );
            assert_eq!(support::post(&mesh.gate, "once", "new").await.status, "200");
        }
    });
}

/// Guards against a departure that is acknowledged although no other node has it.
#[test]
fn a_departure_that_nobody_confirms_is_not_acknowledged() {
    support::run(async {
        let address = bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, address, SidecarOptions::default()).await;
        sidecar.send_heartbeat();
        let calls = start_calls(&sidecar.node_state).await;
        // It knows another node, and has no link.
        sidecar.learn_control_node("127.0.0.9:1".parse().expect("address"), "a", false, &[]);
        let id = format!("i-{}", sidecar.ip);
        let (beat, sign_off) = (format!("/-/Stations.Heartbeat/{id}"), format!("/-/Stations.SignOff/{id}"));
        assert_eq!(call_status(calls, &beat, &heartbeat("draining", 2)).await, "503");
        assert_eq!(call_status(calls, &sign_off, "").await, "503");
        assert_eq!(sidecar.node_state.counters.unconfirmed_departures.get(), 2);
        // What was not acknowledged binds this process all the same.
        assert_eq!(call_status(calls, &beat, &heartbeat("ready", 3)).await, "409");
    });
}
