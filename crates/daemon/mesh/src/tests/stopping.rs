//! How a stopping process announces it: to the platform, to clients, to control callers and to other sidecars.
use crate::control::{self, READY_CALLS};
use crate::tests::support::{
    self, answer_all, bind_upstream, call, header_value, status, CallResponse, SidecarOptions,
    TestConnection, ATTEMPT_ID_LINE,
};

#[test]
fn a_stopping_process_announces_it_to_all() {
    support::run(async {
        let upstream = bind_upstream().await;
        answer_all(upstream.listener);
        let unused_address = bind_upstream().await.address;
        let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let gate = support::start_sidecar(2, upstream.address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        sidecar.learn_sidecar(&gate);
        let calls = bind_upstream().await;
        tokio::task::spawn_local(control::listen(sidecar.node_state.clone(), calls.listener, &READY_CALLS));
        let mut platform = TestConnection::connect(calls.address).await;
        let mut client = TestConnection::connect(sidecar.outbound).await;
        for is_stopping in [false, true] {
            if is_stopping {
                sidecar.node_state.begin_stop();
            }
            let CallResponse { head: ready_head, body: ready_body } =
                call(&mut platform, "GET", "/-/ready", "").await;
            let reports_stopping =
                status(&ready_head) == "503" && String::from_utf8_lossy(&ready_body).contains("stopping");
            assert_eq!(
                (reports_stopping, sidecar.node_state.stopping()),
                (is_stopping, is_stopping),
                "{ready_head}"
            );
            let request = format!("GET /safe/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}\r\n");
            client.send(request.as_bytes()).await;
            let response_head = client.read_head().await;
            client.read_body(&response_head).await;
            assert_eq!(status(&response_head), "200");
            for head in [ready_head, response_head] {
                assert_eq!(header_value(&head, "connection").is_some(), is_stopping, "{head}");
            }
            assert_eq!(sidecar.node_state.own_record_body().stopping, is_stopping);
        }
        assert_eq!(client.receive().await, 0);
    });
}
