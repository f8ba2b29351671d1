//! Control calls at nodes without control state are redirected to a node that holds it.
use crate::control::{self, CONTROL_CALLS};
use crate::tests::support::{
    self, bind_upstream, call, header_value, status, CallResponse, SidecarOptions, TestConnection,
};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;

/// Follows redirects as a caller would; returns the statuses.
async fn follow(mut to: SocketAddr, path: &str) -> Vec<String> {
    let (mut path, mut statuses) = (path.to_string(), Vec::new());
    loop {
        let mut connection = TestConnection::connect(to).await;
        let CallResponse { head, .. } = call(&mut connection, "GET", &path, "").await;
        statuses.push(status(&head).to_string());
        let Some(location) = header_value(&head, "location") else {
            return statuses;
        };
        let location = location.strip_prefix("http://").and_then(|t| t.split_once('/'));
        let (host, rest) = location.expect("absolute redirect");
        (to, path) = (host.parse().expect("socket address"), format!("/{rest}"));
    }
}

/// Two nodes each take the other for a control node, though neither is one; the redirects must not loop.
#[test]
fn a_control_call_is_redirected_at_most_twice() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        let mut addresses = Vec::new();
        let mut sidecars = Vec::new();
        for last_octet in [1, 2] {
            let sidecar = support::start_sidecar(last_octet, unused_address, SidecarOptions::default()).await;
            let calls = TcpListener::bind((sidecar.node_state.settings.ip, 0)).await.expect("free port");
            addresses.push(calls.local_addr().expect("bound listener"));
            tokio::task::spawn_local(control::listen(sidecar.node_state.clone(), calls, &CONTROL_CALLS));
            sidecars.push(sidecar);
        }
        assert_eq!(follow(addresses[0], "/-/Config.Get").await, ["503"]);
        let both: Vec<Ipv4Addr> = sidecars.iter().map(|s| s.node_state.settings.ip).collect();
        sidecars[0].learn_control_node(addresses[1], "a", false, &both);
        sidecars[1].learn_control_node(addresses[0], "a", false, &both);
        for path in ["/-/Config.Get", "/-/Config.Get?x=1", "/-/Config.Get?x=1&via=0"] {
            assert_eq!(follow(addresses[0], path).await, ["307", "307", "503"], "{path}");
        }
        assert_eq!(follow(addresses[0], "/-/Config.Get?via=1").await, ["307", "503"]);
        for path in ["/-/Config.Get?via=2", "/-/Config.Get?via=x", "/-/Config.Get?via=99999999999"] {
            assert_eq!(follow(addresses[0], path).await, ["503"], "{path}");
        }
    });
}

/// A node as its record describes it: the last octet of its address, its zone, and the nodes that it names as control
/// nodes.
struct KnownNode<'k> {
    last_octet: u8,
    zone: &'k str,
    stopping: bool,
    named: &'k [u8],
}

/// A node in zone a.
fn zone_a_node(last_octet: u8, stopping: bool, named: &[u8]) -> KnownNode<'_> {
    KnownNode { last_octet, zone: "a", stopping, named }
}

/// A node in zone b.
fn zone_b_node(last_octet: u8, named: &[u8]) -> KnownNode<'_> {
    KnownNode { last_octet, zone: "b", stopping: false, named }
}

#[test]
fn a_control_call_is_redirected_to_a_node_that_most_name() {
    support::run(async {
        let unused_address = bind_upstream().await.address;
        let cases: [(&[KnownNode], Option<u8>); 6] = [
            (&[zone_b_node(11, &[]), zone_a_node(12, false, &[11])], None),
            (&[zone_b_node(11, &[11, 12, 13]), zone_a_node(12, false, &[11, 12, 13])], Some(12)),
            // Node 11 was removed from the control nodes and has not learned of it.
            (
                &[
                    zone_a_node(11, false, &[11, 12, 13]),
                    zone_b_node(12, &[12, 13, 14]),
                    zone_b_node(13, &[12, 13, 14]),
                    zone_b_node(14, &[12, 13, 14]),
                ],
                Some(12),
            ),
            (&[zone_a_node(11, true, &[11, 12]), zone_b_node(12, &[11, 12])], Some(12)),
            (&[zone_a_node(11, true, &[11])], Some(11)),
            (&[zone_a_node(11, false, &[11, 12]), zone_a_node(12, false, &[])], Some(11)),
        ];
        for (number, (known, expected)) in cases.into_iter().enumerate() {
            let sidecar = support::start_sidecar(1, unused_address, SidecarOptions::default()).await;
            let ip = |last_octet: &u8| Ipv4Addr::new(127, 0, 0, *last_octet);
            for node in known {
                let named: Vec<Ipv4Addr> = node.named.iter().map(ip).collect();
                sidecar.learn_control_node(
                    (ip(&node.last_octet), 9).into(),
                    node.zone,
                    node.stopping,
                    &named,
                );
            }
            let redirected_to = sidecar.node_state.control_address().map(|address| address.ip());
            assert_eq!(redirected_to, expected.map(|octet| ip(&octet).into()), "case {number}");
        }
    });
}
