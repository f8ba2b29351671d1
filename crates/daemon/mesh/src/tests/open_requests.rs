//! Open requests complete unaffected when the settings file, the configuration or the process state changes.
use crate::reload::{self, ReloadOutcome};
use crate::tests::support::routes::{deliver_routes, route, withdraw_routes, RouteItem};
use crate::tests::support::{
    self, bind_upstream, patterned_bytes, status, upstream_response_head, BoundUpstream, ReceivedBody,
    Sidecar, SidecarOptions, StartedSidecar, TestConnection, ATTEMPT_ID_LINE,
};
use crate::wire::MAX_BUFFERED_BODY_BYTES;
use std::path::{Path, PathBuf};

/// A change that is made while a request is open.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The settings file is reloaded with other seeds and bounds.
    Settings,
    /// The request's route is withdrawn.
    RouteWithdrawn,
    /// All routes of the request's service are withdrawn.
    AllRoutesWithdrawn,
    /// The route is moved to another service, which has no upstream.
    RouteMoved,
    /// The route gets a shorter timeout, one attempt and another priority.
    RouteAltered,
    /// Limits are set that the request would exceed.
    Limits,
    /// The process is told to stop.
    Stop,
}

const CHANGES: [Change; 7] = [
    Change::Settings,
    Change::RouteWithdrawn,
    Change::AllRoutesWithdrawn,
    Change::RouteMoved,
    Change::RouteAltered,
    Change::Limits,
    Change::Stop,
];

/// A request that is open during the change.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    method: &'static str,
    route: &'static str,
    body_bytes: usize,
    response_bytes: usize,
}

const REQUESTS: [OpenRequest; 4] = [
    OpenRequest { method: "GET", route: "safe", body_bytes: 0, response_bytes: 500 },
    OpenRequest { method: "POST", route: "once", body_bytes: 900, response_bytes: 500 },
    OpenRequest { method: "POST", route: "up", body_bytes: 2 * MAX_BUFFERED_BODY_BYTES, response_bytes: 500 },
    OpenRequest { method: "GET", route: "safe", body_bytes: 0, response_bytes: 2 * MAX_BUFFERED_BODY_BYTES },
];

/// The bytes of a large body that are sent before the change.
const FIRST_PART_BYTES: usize = MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES / 2;

impl Change {
    fn apply(self, sidecar: &Sidecar, of_route: &str, path: &Path, settings: &str) {
        let kind = match of_route {
            "safe" => "safe",
            "up" => "upload",
            _ => "unsafe",
        };
        match self {
            Change::Settings => {
                let text = format!("{settings}seeds: ['127.0.0.9:1']\nbounds: ['drainS=0.1', 'graceS=2']\n");
                std::fs::write(path, text).expect("written");
                sidecar.node_state.settings_file.begin(path);
                let outcome = reload::reload(&sidecar.node_state, true);
                assert!(matches!(outcome, ReloadOutcome::Reloaded { in_force, .. } if in_force.len() == 2));
            }
            Change::RouteWithdrawn => sidecar.apply_change(&withdraw_routes(&[of_route])),
            Change::AllRoutesWithdrawn => sidecar.apply_change(&withdraw_routes(&["safe", "once", "up"])),
            Change::RouteMoved => {
                let item = "{\"name\":\"other\",\"healthPath\":\"/\",\"lineCap\":9,\"coldS\":0,\"coldRateS\":0,\"edition\":5}";
                sidecar.apply_change(&format!("{{\"deliver\":{{\"destinations\":[{item}]}}}}"));
                let moved = RouteItem { service: "other", version: 6, ..RouteItem::new(of_route, kind) };
                sidecar.apply_change(&deliver_routes(&[route(moved)]));
            }
            Change::RouteAltered => {
                let altered = route(RouteItem { max_attempts: 1, version: 5, ..RouteItem::new(of_route, kind) });
                let altered = altered.replace("20,", "0.001,").replace("\"priority\":1", "\"priority\":7");
                sidecar.apply_change(&deliver_routes(&[altered]));
            }
            Change::Limits => sidecar.apply_change(
                "{\"deliver\":{\"sizeLimits\":{\"envelopeBytes\":10,\"contentBytes\":1,\"envelopeS\":0.001,\"idleS\":0.001,\
                 \"edition\":5}}}",
            ),
            Change::Stop => sidecar.node_state.begin_stop(),
        }
    }
}

/// Changes both sidecars while a request is open between them: a small request has reached its upstream in full, a large
/// one in part; of a large response, the client has a part.
async fn change_while_open(change: Change, request: OpenRequest, path: &Path) {
    let OpenRequest { method, route, body_bytes, response_bytes } = request;
    let case = format!("{change:?} {request:?}");
    let BoundUpstream { listener, address } = bind_upstream().await;
    let unused_address = bind_upstream().await.address;
    let origin = support::start_sidecar_with_settings(1, unused_address, SidecarOptions::default()).await;
    let gate = support::start_sidecar_with_settings(2, address, SidecarOptions::default()).await;
    gate.sidecar.send_heartbeat();
    origin.sidecar.learn_sidecar(&gate.sidecar);
    let apply = || {
        for StartedSidecar { sidecar, settings } in [&origin, &gate] {
            change.apply(sidecar, route, path, settings);
        }
    };
    let mut client = TestConnection::connect(origin.sidecar.outbound).await;
    let body = patterned_bytes(body_bytes);
    let head = format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}Content-Length: {body_bytes}\r\n\r\n"
    );
    client.send(head.as_bytes()).await;
    let first = if body_bytes > MAX_BUFFERED_BODY_BYTES { FIRST_PART_BYTES } else { body_bytes };
    client.send(&body[..first]).await;
    let (stream, _) = listener.accept().await.expect("accepted connection");
    let mut upstream = TestConnection::from_stream(stream);
    let request_head = upstream.read_head().await;
    if response_bytes < MAX_BUFFERED_BODY_BYTES {
        apply();
    }
    client.send(&body[first..]).await;
    let received = upstream.read_body(&request_head).await;
    assert!(received == ReceivedBody { bytes: body, is_complete: true }, "{case}");
    let response_body = patterned_bytes(response_bytes);
    let framing = format!("Content-Length: {response_bytes}\r\n");
    upstream.send(upstream_response_head(&request_head, 200, &framing).as_bytes()).await;
    let (head, received) = if response_bytes > MAX_BUFFERED_BODY_BYTES {
        let first = upstream.send(&response_body[..FIRST_PART_BYTES]);
        let (head, ()) = tokio::join!(client.read_head(), first);
        apply();
        let rest = upstream.send(&response_body[FIRST_PART_BYTES..]);
        let (received, ()) = tokio::join!(client.read_body(&head), rest);
        (head, received)
    } else {
        upstream.send(&response_body).await;
        let head = client.read_head().await;
        let received = client.read_body(&head).await;
        (head, received)
    };
    assert_eq!(status(&head), "200", "{case}: {head}");
    assert!(received == ReceivedBody { bytes: response_body, is_complete: true }, "{case}: {head}");
    assert_eq!(gate.sidecar.node_state.counters.delivered_requests.get(), 1, "{case}");
}

#[test]
fn open_requests_complete_whatever_changes_meanwhile() {
    support::run(async {
        let name = format!("silvercross-mesh-changes-{}.yaml", std::process::id());
        let path: PathBuf = std::env::temp_dir().join(name);
        for change in CHANGES {
            for request in REQUESTS {
                change_while_open(change, request, &path).await;
            }
        }
        std::fs::remove_file(&path).expect("file is removed");
    });
}
