//! Heartbeats that an upstream sends to its sidecar.
use crate::control::{self, CONTROL_CALLS};
use crate::tests::support::{
    self, bind_upstream, call, header_value, status, CallResponse, SidecarOptions, TestConnection,
};
use std::collections::BTreeMap;

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
