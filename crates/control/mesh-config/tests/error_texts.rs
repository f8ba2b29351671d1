//! The texts that operators see for rejected calls must match `data/error_texts.txt`.

use serde_json::{json, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, parse_update, VersionedConfiguration, MAX_TOMBSTONES};
use std::fmt::Write;

/// One line per call: its label, then the text.
const EXPECTED: &str = include_str!("data/error_texts.txt");

/// A valid call; most rejected ones differ from it in one place.
fn valid() -> Value {
    json!({"deliver": {
        "destinations": [{"name": "a", "healthPath": "/health", "lineCap": 130, "edition": 1}],
        "sizeLimits": {"envelopeBytes": 1, "contentBytes": 1, "envelopeS": 0.5, "idleS": 15, "edition": 1},
        "depots": [
            {"depot": "x.example", "lanes": [
                {"name": "r", "lane": "/p/", "routeKind": "safe", "deadlineS": 4, "destination": "a", "edition": 1},
                {"name": "q", "lane": "/q/", "routeKind": "safe", "deadlineS": 4, "destination": "a", "edition": 1}]},
            {"depot": "x.example", "lanes": []}],
        "members": [
            {"name": "m", "key": "k1", "plan": "trial", "lapsesAt": 1790000100.5, "edition": 1,
                "slowing": {"fullShare": 0.4, "spanS": 40, "steps": 4}},
            {"name": "n", "keys": ["k2", "k3"], "plan": "full", "edition": 2.0}],
        "membership": {"header": "Workshop-Key", "unknown": "refuse", "edition": 1}},
        "withdraw": {"routes": [{"name": "old", "edition": 1}], "destinations": [],
            "members": [{"name": "gone", "edition": 1}]}})
}

/// Location, key and new value of each change to the valid call; `null` removes the key.
fn changes() -> Vec<(&'static str, &'static str, Value)> {
    let route = "/deliver/depots/0/lanes/0";
    let destination = "/deliver/destinations/0";
    let (trial, full, header) = ("/deliver/members/0", "/deliver/members/1", "/deliver/membership");
    let limits = "/deliver/sizeLimits";
    vec![
        ("", "deliver", json!([])),
        ("", "withdraw", json!(1)),
        ("", "dispatch", json!({"x": 1})),
        ("/deliver", "tenants", json!([{"name": "t"}])),
        ("/withdraw", "tenants", json!([{"name": "t"}])),
        ("/deliver", "destinations", json!({})),
        ("/deliver", "destinations", json!([3])),
        ("/deliver", "depots", json!("x")),
        ("/deliver", "depots", json!(["x"])),
        ("/deliver", "sizeLimits", json!(3)),
        ("/deliver", "members", json!({})),
        ("/deliver", "members", json!([7])),
        ("/deliver", "membership", json!(7)),
        ("/withdraw", "routes", json!("r")),
        ("/withdraw", "routes", json!([1])),
        ("/withdraw", "members", json!(2)),
        (route, "name", json!("")),
        (route, "name", json!("n".repeat(257))),
        (route, "name", json!(7)),
        (route, "name", Value::Null),
        (route, "name", json!("q")),
        (route, "lane", json!("/p")),
        (route, "lane", json!(7)),
        (route, "lane", json!("/q/")),
        (route, "lane", Value::Null),
        (route, "routeKind", json!("Safe")),
        (route, "routeKind", Value::Null),
        (route, "deadlineS", json!(0)),
        (route, "deadlineS", json!("4")),
        (route, "deadlineS", Value::Null),
        (route, "targetS", json!(-1)),
        (route, "targetS", json!([])),
        (route, "attempts", json!(0)),
        (route, "attempts", json!(-1)),
        (route, "attempts", json!("many")),
        (route, "priority", json!(-1)),
        (route, "priority", json!(0.5)),
        (route, "edition", json!(-7)),
        (route, "edition", json!(1.5)),
        (route, "edition", json!(true)),
        (route, "edition", Value::Null),
        (route, "destination", Value::Null),
        (route, "destination", json!("")),
        (route, "destination", json!(["a"])),
        (route, "split", json!([])),
        (route, "split", json!([{"destination": "a", "share": 1}])),
        (route, "split", json!([{"destination": "a"}])),
        (route, "split", json!([{"destination": "a", "share": "x"}])),
        (route, "deliveryRegions", json!([1])),
        ("/deliver/depots/0/lanes/1", "name", json!("r")),
        ("/deliver/depots/0", "depot", json!("")),
        ("/deliver/depots/0", "depot", json!(" :80")),
        ("/deliver/depots/1", "depot", Value::Null),
        ("/deliver/depots/0", "lanes", json!({})),
        ("/deliver/depots/0", "lanes", json!([7])),
        (destination, "name", Value::Null),
        (destination, "lineCap", json!(0)),
        (destination, "lineCap", json!("x")),
        (destination, "coldS", json!(-1)),
        (destination, "coldRateS", json!(-0.1)),
        (destination, "healthPath", json!("/h HTTP/1.1\r\nX: y")),
        (destination, "healthPath", json!("h")),
        (destination, "protocol", json!(1)),
        (destination, "sealed", json!(1)),
        (destination, "edition", Value::Null),
        (limits, "idleS", json!(0)),
        (limits, "envelopeS", json!(-1)),
        (limits, "contentBytes", json!(0)),
        (limits, "envelopeBytes", json!(0)),
        (limits, "envelopeBytes", json!(-1)),
        (limits, "edition", Value::Null),
        ("/withdraw/routes/0", "edition", Value::Null),
        ("/withdraw/routes/0", "name", json!("r")),
        ("/withdraw/routes/0", "name", json!("")),
        ("/withdraw/routes/0", "name", json!("n".repeat(257))),
        (trial, "name", json!("")),
        (trial, "name", json!(1)),
        (trial, "name", json!("n".repeat(257))),
        (trial, "name", Value::Null),
        (trial, "name", json!("n")),
        (trial, "key", Value::Null),
        (trial, "key", json!("a key")),
        (trial, "key", json!(7)),
        (trial, "key", json!("k2")),
        (trial, "keys", json!(["k4"])),
        (full, "keys", json!([])),
        (full, "keys", json!("k")),
        (full, "keys", json!(["x", "x"])),
        (full, "keys", json!(["k".repeat(257)])),
        (full, "keys", json!(vec!["k"; 17])),
        (trial, "plan", json!("Trial")),
        (trial, "plan", json!("full")),
        (trial, "plan", json!(1)),
        (trial, "plan", Value::Null),
        (trial, "lapsesAt", Value::Null),
        (trial, "lapsesAt", json!(0)),
        (trial, "lapsesAt", json!("soon")),
        (trial, "lapsesAt", json!(1790000000000000u64)),
        (trial, "lapsesInS", json!(5)),
        (full, "lapsesInS", json!(5)),
        (full, "lapsesAt", json!(5)),
        (trial, "slowing", json!([])),
        (trial, "slowing", json!({"fullShare": 0.6})),
        (trial, "slowing", json!({"fullShare": "x"})),
        (trial, "slowing", json!({"steps": 0})),
        (trial, "slowing", json!({"steps": 1001})),
        (trial, "slowing", json!({"steps": -1})),
        (trial, "slowing", json!({"spanS": 2, "steps": 3})),
        (trial, "edition", json!(1.5)),
        (trial, "edition", Value::Null),
        (header, "header", json!("Host")),
        (header, "header", json!("a b")),
        (header, "header", json!(4)),
        (header, "header", Value::Null),
        (header, "unknown", json!("drop")),
        (header, "edition", Value::Null),
        ("/withdraw/members/0", "edition", Value::Null),
        ("/withdraw/members/0", "name", json!("m")),
    ]
}

/// Invalid splits, for a route without a destination.
fn splits() -> [Value; 5] {
    let share = |share: f64| json!({"destination": "a", "share": share});
    [
        json!([]),
        json!([share(-1.0), share(2.0)]),
        json!([share(0.0), share(0.0)]),
        json!([share(1e308), share(1e308)]),
        json!([share(1.0), {"destination": "", "share": 1}]),
    ]
}

/// Bodies that are not a call.
fn malformed() -> Vec<Vec<u8>> {
    let mut bodies: Vec<Vec<u8>> =
        ["", "null", "[]", "{}{}", "{\"deliver\":{\"sizeLimits\":{\"idleS\":1e999}}}"]
            .iter()
            .map(|body| body.as_bytes().to_vec())
            .collect();
    bodies.push(vec![b' '; (8 << 20) + 1]);
    bodies
}

/// Well-formed calls that are rejected in the state after the calls before them.
fn rejected_by_state() -> Vec<(Vec<Value>, Value)> {
    let destination =
        |name: &str, version: u64| json!({"deliver": {"destinations": [{"name": name, "edition": version}]}});
    let route = |name: &str, path: &str, destination: &str, version: u64| {
        json!({"deliver": {"depots": [{"depot": "h", "lanes": [{"name": name, "lane": path, "routeKind": "safe",
            "deadlineS": 1, "destination": destination, "edition": version}]}]}})
    };
    let split = json!({"deliver": {"depots": [{"depot": "h", "lanes": [{"name": "s", "lane": "/s/", "routeKind": "safe",
        "deadlineS": 1, "split": [{"destination": "a", "share": 1}, {"destination": "z", "share": 1}], "edition": 1}]}]}});
    let member = |name: &str, key: &str, version: u64| json!({"deliver": {"members": [{"name": name, "key": key, "plan": "full", "edition": version}]}});
    let withdrawal = |list: &str, name: &str, version: u64| json!({"withdraw": {list: [{"name": name, "edition": version}]}});
    let initial_calls = || vec![destination("a", 1), route("r", "/p/", "a", 1), member("m", "k", 1)];
    let header = |name: &str| json!({"deliver": {"membership": {"header": name, "edition": 1}}});
    let limits = |idle: u64| json!({"deliver": {"sizeLimits": {"idleS": idle, "edition": 1}}});
    let mut cases: Vec<(Vec<Value>, Value)> = [
        withdrawal("destinations", "a", 1),
        withdrawal("destinations", "a", 2),
        route("n", "/n/", "none", 1),
        split,
        route("n", "/p/", "a", 1),
        route("r", "/o/", "a", 1),
        member("m", "l", 1),
        member("o", "k", 1),
        member(&"n".repeat(251), "l", 1),
        json!({"deliver": {"members": [{"name": "big", "key": "b", "plan": "full", "edition": 1, "pad": "x".repeat(1 << 20)}]}}),
        json!({"deliver": {"members": (0..=4_000).map(|n| json!({"name": format!("m{n}"), "key": format!("k{n}"),
            "plan": "full", "edition": 1})).collect::<Vec<_>>()}}),
        json!({"deliver": {"destinations": (0..=16_384).map(|n| json!({"name": format!("d{n}"), "edition": 1}))
            .collect::<Vec<_>>()}}),
    ]
    .into_iter()
    .map(|call| (initial_calls(), call))
    .collect();
    cases.push((vec![header("One")], header("Two")));
    cases.push((vec![limits(1)], limits(2)));
    // Superseded with different content.
    cases.push((
        vec![route("r", "/p/", "a", 2)].into_iter().chain([]).fold(initial_calls(), |mut calls, call| {
            calls.push(call);
            calls
        }),
        route("r", "/o/", "a", 1),
    ));
    // Withdrawn by a tombstone that has been removed.
    let many: Vec<Value> =
        (0..MAX_TOMBSTONES).map(|n| json!({"name": format!("n{n}"), "edition": 1})).collect();
    cases.push((
        vec![withdrawal("destinations", "first", 9), json!({"withdraw": {"destinations": many}})],
        destination("first", 8),
    ));
    cases
}

#[test]
fn error_texts_match_fixed_texts() {
    let mut texts = String::new();
    let mut add =
        |label: String, text: String| writeln!(texts, "{label}: {text}").expect("a string is writable");
    for (at, key, value) in changes() {
        let mut call = valid();
        let map = call.pointer_mut(at).and_then(Value::as_object_mut).expect("an object");
        let label = format!("{at}/{key} {}", value.to_string().chars().take(60).collect::<String>());
        if value.is_null() {
            map.remove(key);
        } else {
            map.insert(key.to_string(), value);
        }
        add(label, parse_update(call.to_string().as_bytes()).expect_err("rejected").to_string());
    }
    for (number, body) in malformed().iter().enumerate() {
        add(format!("malformed {number}"), parse_update(body).expect_err("rejected").to_string());
    }
    for split in splits() {
        let mut call = valid();
        let route =
            call.pointer_mut("/deliver/depots/0/lanes/0").and_then(Value::as_object_mut).expect("an object");
        route.remove("destination");
        route.insert("split".to_string(), split.clone());
        add(
            format!("split {split}"),
            parse_update(call.to_string().as_bytes()).expect_err("rejected").to_string(),
        );
    }
    add(
        "without members".to_string(),
        parse_change(valid().to_string().as_bytes()).expect_err("rejected").to_string(),
    );
    for (number, (before, call)) in rejected_by_state().iter().enumerate() {
        let parsed = |body: &Value| parse_update(body.to_string().as_bytes()).expect("well-formed");
        let mut state = VersionedConfiguration::default();
        for body in before {
            state.apply(&parsed(body)).expect("accepted");
        }
        let rejection = state.apply(&parsed(call)).expect_err("rejected");
        add(format!("refused {number}"), format!("conflict {}, {}", rejection.conflict, rejection.reason));
    }
    assert!(texts == EXPECTED, "the texts have changed; they are now:\n{texts}");
}
