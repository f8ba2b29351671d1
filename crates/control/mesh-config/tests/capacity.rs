//! Cost of a configuration by its size. Run manually:
//! `cargo test --release -p silvercross-mesh-config --test capacity -- --ignored --nocapture`

use serde_json::{json, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration, ConfigurationChange, RoutingTable};
use std::time::Instant;

/// Destinations, routes and tombstones of each row; the last but one is the size expected in two years.
const SIZES: [(usize, usize, usize); 5] =
    [(9, 12, 0), (93, 200, 0), (310, 1_000, 5_500), (930, 3_000, 5_500), (930, 3_000, 65_536)];
const ITEMS_PER_CALL: usize = 500;
/// Runs of each step over which its mean time is taken.
const REPEATS: u32 = 20;

fn change(body: &Value) -> ConfigurationChange {
    parse_change(body.to_string().as_bytes()).expect("valid")
}

fn route(index: usize, service: usize, version: u64) -> Value {
    json!({"name": format!("r-{index:05}"), "lane": format!("/service-{service}/part-{index}/"), "routeKind": "safe",
        "deadlineS": 4, "targetS": 0.6, "priority": 2, "destination": format!("service-{service:04}"), "attempts": 2,
        "edition": version})
}

fn destination(index: usize) -> Value {
    json!({"name": format!("service-{index:04}"), "healthPath": "/health", "lineCap": 130, "protocol": "h1",
        "sealed": false, "coldS": 3.0, "coldRateS": 21.0, "edition": 1})
}

fn configuration(destinations: usize, routes: usize, tombstones: usize) -> Configuration {
    let mut configuration = Configuration::default();
    let all: Vec<Value> = (0..destinations).map(destination).collect();
    for chunk in all.chunks(ITEMS_PER_CALL) {
        configuration.apply(&change(&json!({"deliver": {"destinations": chunk}}))).expect("accepted");
    }
    let all: Vec<Value> = (0..routes).map(|index| route(index, index % destinations, 1)).collect();
    for chunk in all.chunks(ITEMS_PER_CALL) {
        let virtual_hosts = json!([{"depot": "shop.example", "lanes": chunk}]);
        configuration.apply(&change(&json!({"deliver": {"depots": virtual_hosts}}))).expect("accepted");
    }
    let all: Vec<Value> =
        (0..tombstones).map(|index| json!({"name": format!("old-{index:05}"), "edition": 3})).collect();
    for chunk in all.chunks(ITEMS_PER_CALL) {
        configuration.apply(&change(&json!({"withdraw": {"routes": chunk}}))).expect("accepted");
    }
    configuration
}

/// Mean time of one run, in microseconds.
fn mean_micros(mut run: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..REPEATS {
        run();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

#[test]
#[ignore = "run manually in release mode"]
fn cost_of_a_configuration_by_its_size() {
    println!("destinations, routes, tombstones | configuration, bytes | change, bytes | us: apply, encode, decode, table");
    for (destinations, routes, tombstones) in SIZES {
        let configuration = configuration(destinations, routes, tombstones);
        let bytes = bitcode::encode(&configuration);
        let virtual_hosts = json!([{"depot": "shop.example", "lanes": [route(0, 1, 2)]}]);
        let change = change(&json!({"deliver": {"depots": virtual_hosts}}));
        let apply = mean_micros(|| {
            let mut copy = configuration.clone();
            assert_eq!(copy.apply(&change), Ok(true));
        });
        let encode = mean_micros(|| drop(bitcode::encode(&configuration)));
        let decode = mean_micros(|| drop(bitcode::decode::<Configuration>(&bytes).expect("decodes")));
        let table = mean_micros(|| drop(RoutingTable::new(&configuration)));
        println!(
            "{destinations:>4} {routes:>5} {tombstones:>6} | {:>9} | {:>5} | {apply:>8.0} {encode:>8.0} {decode:>8.0} {table:>8.0}",
            bytes.len(),
            bitcode::encode(&change).len(),
        );
    }
}
