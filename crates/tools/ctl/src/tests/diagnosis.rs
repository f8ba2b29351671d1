//! A healthy mesh has no findings, and each planted fault is named.
use crate::diagnosis::diagnose;
use crate::mesh_client::{MeshView, NodeAnswer};
use crate::wire::{NodeMetrics, NodeState};
use serde_json::{json, Value};
use std::net::IpAddr;

fn address(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

fn record(n: u8, is_control: bool) -> Value {
    let upstream =
        json!({ "id": format!("u{n}"), "service": "quotes", "slots": 4, "draining": false, "silent": false });
    json!({ "node": address(n), "zone": "a", "core": is_control, "gone": false, "leaving": false, "life": 1, "seq": 1,
        "at": if is_control { Value::Null } else { upstream } })
}

fn answer(n: u8, records: &[Value]) -> NodeAnswer {
    let is_control = n <= 3;
    let keys = json!([{ "key": "configuration", "role": if n == 1 { "owner" } else { "holder" } }]);
    let control_state =
        json!({ "voter": true, "roster": ["10.0.0.1", "10.0.0.2", "10.0.0.3"], "keys": keys });
    let state = json!({ "node": format!("m{n}"), "ip": address(n), "core": is_control, "zones": ["a"],
        "version": "1", "ready": true, "configured": true, "evacuated": [], "nodes": records, "newsAgeUs": 1000,
        "parent": if is_control { Value::Null } else { json!("10.0.0.1") },
        "revisions": [{ "key": "configuration", "round": 2, "owner": "10.0.0.1", "change": 7 }],
        "ledger": if is_control { control_state } else { Value::Null } });
    let metrics = json!({ "desks": [{ "service": "quotes", "listed": 3, "avoided": 0 }], "strangers": 0, "shutOut": 0 });
    NodeAnswer {
        state: Some(NodeState::new(state)),
        metrics: Some(NodeMetrics::new(metrics)),
        ..NodeAnswer::default()
    }
}

/// Three control nodes and three sidecars, all healthy.
fn healthy() -> MeshView {
    let records: Vec<Value> = (1..=6).map(|n| record(n, n <= 3)).collect();
    (1..=6).map(|n| (address(n), answer(n, &records))).collect()
}

fn state(view: &mut MeshView, n: u8) -> &mut Value {
    view.get_mut(&address(n)).expect("there").state.as_mut().expect("answered").json_mut()
}

fn all(view: &mut MeshView, change: impl Fn(&mut Value)) {
    view.values_mut().filter_map(|answer| answer.state.as_mut()).for_each(|state| change(state.json_mut()));
}

/// A fault that is planted in a healthy mesh.
struct Planted {
    /// The name it is to be found under.
    name: &'static str,
    /// What the finding is to be about.
    about: &'static str,
    plant: fn(&mut MeshView),
}

const fn planted(name: &'static str, about: &'static str, plant: fn(&mut MeshView)) -> Planted {
    Planted { name, about, plant }
}

#[test]
fn a_healthy_mesh_has_no_findings_and_each_planted_fault_is_named() {
    assert_eq!(diagnose(&healthy(), None), []);
    let faults: [Planted; 18] = [
        planted("silent", "10.0.0.5", |view| drop(view.insert(address(5), NodeAnswer::default()))),
        planted("taken for gone", "m5", |view| {
            state(view, 6)["nodes"][4]["gone"] = json!(true);
        }),
        planted("unknown", "m5", |view| {
            drop(state(view, 2)["nodes"].as_array_mut().expect("list").remove(4))
        }),
        planted("no configuration", "m4", |view| state(view, 4)["configured"] = json!(false)),
        planted("cut off", "m4", |view| state(view, 4)["parent"] = Value::Null),
        planted("stale", "m4", |view| state(view, 4)["newsAgeUs"] = json!(9_000_000)),
        planted("not ready", "m4", |view| state(view, 4)["ready"] = json!(false)),
        planted("behind", "m6", |view| state(view, 6)["revisions"][0]["change"] = json!(6)),
        planted("evacuation differs", "a", |view| state(view, 6)["evacuated"] = json!(["a"])),
        planted("upstream silent", "m5", |view| {
            all(view, |state| state["nodes"][4]["at"]["silent"] = json!(true))
        }),
        planted("upstream twice", "u4", |view| {
            all(view, |state| state["nodes"][4]["at"]["id"] = json!("u4"))
        }),
        planted("no upstream usable", "quotes", |view| {
            all(view, |state| (3..6).for_each(|n| state["nodes"][n]["at"]["draining"] = json!(true)))
        }),
        planted("avoids all", "m4", |view| {
            let answer = view.get_mut(&address(4)).expect("there");
            answer.metrics.as_mut().expect("answered").json_mut()["desks"][0]["avoided"] = json!(3);
        }),
        planted("upstreams differ", "m4", |view| {
            state(view, 4)["nodes"][5]["at"]["draining"] = json!(true);
        }),
        planted("replica sets differ", "control state", |view| {
            state(view, 2)["ledger"]["roster"] = json!(["10.0.0.2"]);
        }),
        planted("repairing", "m3", |view| state(view, 3)["ledger"]["voter"] = json!(false)),
        planted("no owner", "configuration", |view| {
            state(view, 1)["ledger"]["keys"][0]["role"] = json!("claiming");
        }),
        planted("zones differ", "10.0.0.2", |view| state(view, 2)["zones"] = json!(["b"])),
    ];
    for fault in faults {
        let mut view = healthy();
        (fault.plant)(&mut view);
        let found = diagnose(&view, None);
        let is_named = found.iter().any(|f| f.name == fault.name && f.about.contains(fault.about));
        assert!(is_named, "{}: {found:?}", fault.name);
    }
    let configuration =
        json!({ "depots": [{ "depot": "h", "lanes": [{ "name": "r", "destination": "nobody" }] }] });
    assert_eq!(diagnose(&healthy(), Some(&configuration))[0].name, "service without upstreams");
}
