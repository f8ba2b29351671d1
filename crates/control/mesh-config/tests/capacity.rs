//! What a configuration costs by its size. Run by hand:
//! `cargo test --release -p silvercross-mesh-config --test capacity -- --ignored --nocapture`

use serde_json::{json, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration, ConfigurationChange, RoutingTable};
use std::time::Instant;

/// Services, routes and remembered drops of each row; the last but one is the size that is expected in two years.
const SIZES: [(usize, usize, usize); 5] =
    [(9, 12, 0), (93, 200, 0), (310, 1_000, 5_500), (930, 3_000, 5_500), (930, 3_000, 65_536)];
/// Items in one call.
const CALL: usize = 500;
/// Times that a step is repeated for its mean.
const REPEATS: u32 = 20;

fn patch(body: &Value) -> ConfigurationChange {
    parse_change(body.to_string().as_bytes()).expect("a valid call")
}

fn path_prefix(index: usize, service: usize, version: u64) -> Value {
    json!({"name": format!("r-{index:05}"), "lane": format!("/service-{service}/part-{index}/"), "routeKind": "safe",
        "deadlineS": 4, "targetS": 0.6, "priority": 2, "destination": format!("service-{service:04}"), "attempts": 2,
        "edition": version})
}

fn destination(index: usize) -> Value {
    json!({"name": format!("service-{index:04}"), "healthPath": "/health", "lineCap": 130, "protocol": "h1",
        "sealed": false, "coldS": 3.0, "coldRateS": 21.0, "edition": 1})
}

fn configuration(services: usize, routes: usize, drops: usize) -> Configuration {
    let mut made = Configuration::default();
    let all: Vec<Value> = (0..services).map(destination).collect();
    for some in all.chunks(CALL) {
        made.apply(&patch(&json!({"deliver": {"destinations": some}}))).expect("taken");
    }
    let all: Vec<Value> = (0..routes).map(|index| path_prefix(index, index % services, 1)).collect();
    for some in all.chunks(CALL) {
        let depots = json!([{"depot": "shop.example", "lanes": some}]);
        made.apply(&patch(&json!({"deliver": {"depots": depots}}))).expect("taken");
    }
    let all: Vec<Value> =
        (0..drops).map(|index| json!({"name": format!("old-{index:05}"), "edition": 3})).collect();
    for some in all.chunks(CALL) {
        made.apply(&patch(&json!({"withdraw": {"routes": some}}))).expect("taken");
    }
    made
}

/// Mean microseconds of one run.
fn micros(mut run: impl FnMut()) -> f64 {
    let began = Instant::now();
    for _ in 0..REPEATS {
        run();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

#[test]
#[ignore = "by hand, in release"]
fn cost_of_a_configuration_by_its_size() {
    println!("services, routes, drops | value, bytes | a change, bytes | us: apply, encode, decode, table");
    for (services, routes, drops) in SIZES {
        let made = configuration(services, routes, drops);
        let bytes = bitcode::encode(&made);
        let depots = json!([{"depot": "shop.example", "lanes": [path_prefix(0, 1, 2)]}]);
        let change = patch(&json!({"deliver": {"depots": depots}}));
        let apply = micros(|| {
            let mut tried = made.clone();
            assert_eq!(tried.apply(&change), Ok(true));
        });
        let encode = micros(|| drop(bitcode::encode(&made)));
        let decode = micros(|| drop(bitcode::decode::<Configuration>(&bytes).expect("readable")));
        let table = micros(|| drop(RoutingTable::new(&made)));
        println!(
            "{services:>4} {routes:>5} {drops:>6} | {:>9} | {:>5} | {apply:>8.0} {encode:>8.0} {decode:>8.0} {table:>8.0}",
            bytes.len(),
            bitcode::encode(&change).len(),
        );
    }
}
