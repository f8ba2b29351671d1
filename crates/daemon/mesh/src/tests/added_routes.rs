//! Routes that are added to a running sidecar.
use crate::tests::support::routes::{deliver_routes, route, RouteItem};
use crate::tests::support::{
    self, answer_all, bind_upstream, status, SidecarOptions, TestConnection, ATTEMPT_ID_LINE,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

const ADDED_ROUTES: usize = 24;
const CLIENTS: usize = 24;
const REQUESTS_PER_CLIENT: usize = 56;
/// Requests sent on the first route before the others are added, so that it has statistics.
const REQUESTS_BEFORE: usize = 200;

/// The number of served requests.
#[derive(Default)]
struct Served {
    on_first_route: Cell<u64>,
    on_added_routes: Cell<u64>,
}

/// Sends requests alternately on an added route and on the first one.
async fn send_in_turn(client: usize, to: SocketAddr, added_route: String, served: Rc<Served>) {
    let mut connection = TestConnection::connect(to).await;
    for number in 0..REQUESTS_PER_CLIENT {
        let is_added = number % 2 == 0;
        let route = if is_added { added_route.as_str() } else { "safe" };
        let request = format!("GET /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: c{client}-{number}\r\n\r\n");
        connection.send(request.as_bytes()).await;
        let head = connection.read_head().await;
        connection.read_body(&head).await;
        if status(&head) == "200" {
            let counter = if is_added { &served.on_added_routes } else { &served.on_first_route };
            counter.set(counter.get() + 1);
        }
    }
}

/// More clients than the upstream has slots send requests alternately on old and new routes.
#[test]
fn routes_added_later_are_served_like_the_first() {
    support::run(async {
        let upstream = bind_upstream().await;
        answer_all(upstream.listener);
        let unused_address = bind_upstream().await.address;
        let origin = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
        let gate = support::start_sidecar(2, upstream.address, SidecarOptions::default()).await;
        gate.send_heartbeat();
        origin.learn_sidecar(&gate);
        let mut connection = TestConnection::connect(origin.outbound).await;
        for _ in 0..REQUESTS_BEFORE {
            let request = format!("GET /safe/x HTTP/1.1\r\nHost: h\r\n{ATTEMPT_ID_LINE}\r\n");
            connection.send(request.as_bytes()).await;
            let head = connection.read_head().await;
            connection.read_body(&head).await;
            assert_eq!(status(&head), "200");
        }
        let names: Vec<String> = (0..ADDED_ROUTES).map(|number| format!("later-{number}")).collect();
        let items: Vec<String> = names
            .iter()
            .map(|name| route(RouteItem { version: 7, ..RouteItem::new(name, "safe") }))
            .collect();
        origin.apply_change(&deliver_routes(&items));
        gate.apply_change(&deliver_routes(&items));
        let served: Rc<Served> = Rc::default();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let name = names[client % ADDED_ROUTES].clone();
                tokio::task::spawn_local(send_in_turn(client, origin.outbound, name, served.clone()))
            })
            .collect();
        for client in clients {
            client.await.expect("completed without panic");
        }
        let (first, added) = (served.on_first_route.get(), served.on_added_routes.get());
        assert!(first > 0 && added * 10 >= first * 9, "{first} on the first route, {added} on added ones");
    });
}
