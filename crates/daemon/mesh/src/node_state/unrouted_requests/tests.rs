//! Tests of requests that arrive before their route.
use super::*;
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration};

const CHANGE_JSON: &str = r#"{"deliver":{"destinations":[{"name":"quotes","healthPath":"/h","lineCap":10,"coldS":3,"coldRateS":20,"edition":1}],
  "depots":[{"depot":"shop.example","lanes":[{"name":"r","lane":"/quotes/","routeKind":"safe","deadlineS":5,"targetS":0.8,"priority":1,
  "destination":"quotes","attempts":2,"edition":1}]}]}}"#;

fn at(seconds: i64) -> Instant {
    Instant::ZERO + Duration::from_secs(seconds)
}

#[test]
fn a_request_whose_route_comes_later_is_counted_with_its_wait() {
    let mut configuration = Configuration::default();
    let change = parse_change(CHANGE_JSON.as_bytes()).expect("a valid change");
    configuration.apply(&change).expect("applied");
    let table = RoutingTable::new(&configuration);
    let mut unrouted = UnroutedRequests::default();
    unrouted.reject(at(1), "shop.example", "/quotes/7");
    unrouted.reject(at(30), "shop.example", "/quotes/8");
    unrouted.reject(at(31), "shop.example", "/nothing/");
    assert_eq!(unrouted.table_changed(at(33), &RoutingTable::default()), 0);
    assert_eq!(
        unrouted.table_changed(at(34), &table),
        1,
        "the first is outside the window, the last has no route"
    );
    let counts = unrouted.counts();
    assert_eq!((counts.rejected, counts.route_came_late), (3, 1));
    assert_eq!(counts.longest_wait, Duration::from_secs(4));
    assert_eq!(unrouted.table_changed(at(35), &table), 0, "a request is counted once");
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut unrouted = UnroutedRequests::default();
    for _ in 0..MAX_REMEMBERED + 10 {
        unrouted.reject(at(1), "shop.example", "/quotes/");
    }
    unrouted.reject(at(1), "shop.example", &"x".repeat(MAX_ADDRESS_BYTES));
    assert_eq!(unrouted.remembered.len(), MAX_REMEMBERED);
    assert_eq!(unrouted.counts().rejected, MAX_REMEMBERED as u64 + 11);
}
