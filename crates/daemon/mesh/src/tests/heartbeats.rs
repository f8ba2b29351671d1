//! Heartbeats that an upstream sends to its sidecar.
use crate::control::{self, CONTROL_CALLS};
use crate::control_value::ControlValue;
use crate::tests::support::{
    self, bind_upstream, call, header_value, status, CallResponse, SidecarOptions, TestConnection,
};
use silvercross_mesh_membership::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest permitted response to a heartbeat.
const MAX_RESPONSE_BYTES: usize = 4096;
const HEARTBEAT: &str = "/-/Stations.Heartbeat/i-127.0.0.1";
const SIGN_OFF: &str = "/-/Stations.SignOff/i-127.0.0.1";

fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        "{{\"destination\":\"quotes\",\"zone\":\"a\",\"slots\":8,\"state\":\"{state}\",\"coldLeftS\":0,\"sequence\":{sequence}}}"
    )
}

/// Heartbeats are answered while more requests are open than the upstream has slots, and while the process stops.
#[test]
fn heartbeats_are_answered_in_few_bytes_while_all_else_waits() {
    support::run(async {
        let upstream = bind_upstream().await;
        let sidecar = support::start_sidecar(1, upstream.address, SidecarOptions::default()).await;
        sidecar.send_heartbeat();
        let calls = bind_upstream().await;
        tokio::task::spawn_local(control::listen(sidecar.node_state.clone(), calls.listener, &CONTROL_CALLS));
        // The upstream accepts connections but never responds.
        let mut waiting: Vec<TestConnection> = Vec::new();
        for number in 0..40 {
            let mut client = TestConnection::connect(sidecar.outbound).await;
            let request = format!(
                "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: h{number}\r\nContent-Length: 0\r\n\r\n"
            );
            client.send(request.as_bytes()).await;
            waiting.push(client);
        }
        let (_silent, _) = upstream.listener.accept().await.expect("accepted connection");
        let long = "x".repeat(8000);
        let cases: BTreeMap<&str, (String, &str)> = [
            ("ready", (heartbeat("ready", 2), "200")),
            ("again, late", (heartbeat("ready", 1), "200")),
            ("unknown key", (format!("{{\"{long}\":1}}"), "400")),
            ("state of another type", (format!("{{\"state\":{{\"{long}\":1}}}}"), "400")),
            ("slots of another type", (format!("{{\"slots\":\"{long}\"}}"), "400")),
            ("draining", (heartbeat("draining", 3), "200")),
        ]
        .into();
        let mut connection = TestConnection::connect(calls.address).await;
        for (name, (body, expected)) in &cases {
            let CallResponse { head, body } = call(&mut connection, "POST", HEARTBEAT, body).await;
            assert_eq!(status(&head), *expected, "{name}");
            assert!(head.len() + body.len() <= MAX_RESPONSE_BYTES, "{name}: {}", body.len());
        }
        sidecar.node_state.begin_stop();
        let CallResponse { head, .. } = call(&mut connection, "POST", SIGN_OFF, "").await;
        assert_eq!((status(&head), header_value(&head, "connection").as_deref()), ("200", Some("close")));
        let mut connection = TestConnection::connect(calls.address).await;
        let CallResponse { head, .. } =
            call(&mut connection, "POST", HEARTBEAT, &heartbeat("ready", 4)).await;
        assert_eq!(status(&head), "409");
    });
}

/// Answers health checks with so much of the warm-up left.
async fn answer_health(listener: tokio::net::TcpListener, left_ms: u64) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut connection = TestConnection::from_stream(stream);
        tokio::task::spawn_local(async move {
            while !connection.read_head().await.is_empty() {
                let head = format!("HTTP/1.1 503 Bad\r\nStation: i-127.0.0.1\r\nCold-Ms: {left_ms}\r\nContent-Length: 0\r\n\r\n");
                connection.send(head.as_bytes()).await;
            }
        });
    }
}

/// Guards against heartbeats from before that come after the end of an evacuation and end the pacing of an upstream that has
/// turned cold since.
#[test]
fn late_heartbeats_do_not_end_the_warm_up_after_an_evacuation() {
    support::run(async {
        for (left_ms, is_paced) in [(30_000, true), (0, false)] {
            let upstream = bind_upstream().await;
            let sidecar = support::start_sidecar(1, upstream.address, SidecarOptions::default()).await;
            tokio::task::spawn_local(answer_health(upstream.listener, left_ms));
            let node_state = &sidecar.node_state;
            sidecar.apply_change(
                "{\"deliver\":{\"destinations\":[{\"name\":\"quotes\",\"healthPath\":\"/health\",\"lineCap\":50,\"coldS\":40,\"coldRateS\":5,\"edition\":2}]}}",
            );
            sidecar.send_heartbeat();
            for (change, is_evacuated) in [(1, true), (2, false)] {
                let value = ControlValue::Evacuation(is_evacuated);
                node_state.apply_control_entry("evacuation/a", Revision::new(1, 1, change), value);
            }
            let ended_at = node_state.now();
            // The health response comes first, as an upstream answers within milliseconds.
            tokio::time::sleep(Duration::from_millis(200)).await;
            for sequence in [5, 6] {
                let late = serde_json::from_str(&heartbeat("ready", sequence)).expect("a heartbeat");
                assert!(node_state.upstream_heartbeat("i-127.0.0.1", late));
            }
            let known =
                node_state.gate.with_admission(|admission| admission.upstream()).expect("an upstream");
            let paced_for = known.warming_until - ended_at;
            assert_eq!(
                paced_for > silvercross_time::Duration::from_secs(25),
                is_paced,
                "{left_ms}: {paced_for:?}"
            );
        }
    });
}
