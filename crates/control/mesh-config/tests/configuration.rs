//! Applying calls of the operator to a configuration.

mod common;

use std::collections::BTreeMap;

use common::{change, destination, initial_configuration, route, routes, withdrawal};
use serde_json::{json, Value};
use silvercross_control_store::{Rejection, State};
use silvercross_mesh_config::{
    parse_change, Configuration, ConfigurationChange, RouteKind, RoutingTable, WeightedDestination,
    MAX_ITEMS, MAX_TOMBSTONES,
};
use silvercross_time::Duration;

/// The rejection of a call; checks that nothing changed.
fn rejected(configuration: &mut Configuration, body: Value) -> Rejection {
    let before = configuration.clone();
    let rejection = configuration.apply(&change(body)).unwrap_err();
    assert_eq!(*configuration, before);
    assert_eq!(configuration.to_json(), before.to_json());
    rejection
}

#[test]
fn the_highest_version_wins() {
    let mut c = initial_configuration();
    let moved = routes("x.example", &[route("r", "/p/", "b", 9)]);
    assert_eq!(c.apply(&change(moved.clone())), Ok(true));
    assert_eq!(c.apply(&change(moved)), Ok(false), "a repeat");
    assert_eq!(
        c.apply(&change(routes("x.example", &[route("r", "/p/", "a", 5)]))),
        Ok(false),
        "an older version"
    );
    assert_eq!(
        c.routes().next().unwrap().split,
        [WeightedDestination { name: "b".to_string(), weight: 1.0 }]
    );
    // A route that moves to another host is still the same item.
    assert_eq!(c.apply(&change(routes("y.example", &[route("r", "/p/", "b", 10)]))), Ok(true));
    assert_eq!(c.routes().count(), 1);
    assert_eq!(c.apply(&change(withdrawal("routes", "r", 12))), Ok(true));
    assert_eq!(c.apply(&change(withdrawal("routes", "r", 12))), Ok(false));
    assert_eq!(
        c.apply(&change(routes("x.example", &[route("r", "/p/", "a", 11)]))),
        Ok(false),
        "stays withdrawn"
    );
    assert_eq!(c.routes().count(), 0);
    // A withdrawal leaves a tombstone even if the item never existed.
    assert_eq!(c.apply(&change(withdrawal("routes", "later", 3))), Ok(true));
    assert_eq!(c.apply(&change(routes("x.example", &[route("later", "/l/", "a", 2)]))), Ok(false));
    // A superseded item may name a withdrawn destination: it changes nothing and is still acknowledged.
    assert_eq!(c.apply(&change(withdrawal("destinations", "a", 20))), Ok(true));
    assert_eq!(c.apply(&change(routes("x.example", &[route("r", "/p/", "a", 5)]))), Ok(false));
    // A superseded item in one call with a new one.
    let mixed = routes("x.example", &[route("r", "/old/", "a", 5), route("new", "/p/", "b", 5)]);
    assert_eq!(c.apply(&change(mixed)), Ok(true));
    assert_eq!(c.routes().map(|r| r.name.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn the_same_version_with_different_content_is_a_conflict() {
    let mut c = initial_configuration();
    let rejection =
        rejected(&mut c, routes("x.example", &[route("n", "/n/", "a", 1), route("r", "/p/", "b", 5)]));
    assert!(
        rejection.conflict && rejection.reason.starts_with("item r, key edition: "),
        "{}",
        rejection.reason
    );
    assert!(rejected(&mut c, routes("z.example", &[route("r", "/p/", "a", 5)])).conflict, "another host");
    assert!(rejected(&mut c, withdrawal("routes", "r", 5)).conflict);
    assert!(c.apply(&change(withdrawal("routes", "r", 6))).is_ok());
    assert!(rejected(&mut c, routes("x.example", &[route("r", "/p/", "a", 6)])).conflict);
    // The order of keys and the notation of numbers are not part of the content.
    let limits =
        |text: &str| parse_change(format!("{{\"deliver\":{{\"sizeLimits\":{text}}}}}").as_bytes()).unwrap();
    assert_eq!(c.apply(&limits("{\"idleS\":15,\"edition\":2,\"note\":[1]}")), Ok(true));
    assert_eq!(c.apply(&limits("{\"note\":[1.0],\"edition\":2.0,\"idleS\":15.0}")), Ok(false));
    assert!(c.apply(&limits("{\"idleS\":15,\"edition\":2,\"note\":[2]}")).unwrap_err().conflict);
    assert_eq!(c.apply(&limits("{\"idleS\":1,\"edition\":1}")), Ok(false));
}

#[test]
fn a_call_with_an_invalid_result_is_rejected_as_a_whole() {
    let mut c = initial_configuration();
    let cases = [
        (
            routes("x.example", &[route("n", "/n/", "a", 1), route("m", "/m/", "none", 1)]),
            "item m, key destination",
        ),
        (routes("X.EXAMPLE:80", &[route("n", "/p/", "a", 1)]), "item n, key lane"),
        (withdrawal("destinations", "a", 9), "item a, key name"),
    ];
    for (body, reason) in cases {
        let rejection = rejected(&mut c, body);
        assert!(!rejection.conflict && rejection.reason.starts_with(reason), "{}", rejection.reason);
    }
    // One call may replace a route by another with the same prefix, and move a route off a withdrawn destination.
    let swap = json!({"deliver": {"depots": [{"depot": "x.example", "lanes":
        [route("r", "/r/", "b", 6), route("n", "/p/", "b", 1)]}]},
        "withdraw": {"destinations": [{"name": "a", "edition": 2}]}});
    assert_eq!(c.apply(&change(swap)), Ok(true));

    let many: Vec<Value> = (0..MAX_ITEMS).map(|i| destination(&format!("d{i}"), 1)).collect();
    let rejection = rejected(&mut c, json!({"deliver": {"destinations": many}}));
    assert!(rejection.reason.starts_with("item body, key items"), "{}", rejection.reason);
}

#[test]
fn the_oldest_tombstones_are_removed_at_the_limit() {
    let mut c = initial_configuration();
    assert_eq!(c.apply(&change(withdrawal("routes", "first", 9))), Ok(true));
    let many = |from: usize, to: usize| {
        let names = (from..to).map(|i| json!({"name": format!("n{i}"), "edition": 1})).collect::<Vec<_>>();
        change(json!({"withdraw": {"routes": names}}))
    };
    assert_eq!(c.apply(&many(0, MAX_TOMBSTONES - 1)), Ok(true));
    let first = change(routes("x.example", &[route("first", "/f/", "a", 8)]));
    assert_eq!(c.clone().apply(&first), Ok(false));
    assert_eq!(c.apply(&many(MAX_TOMBSTONES, MAX_TOMBSTONES + 1)), Ok(true));
    assert_eq!(c.apply(&many(0, MAX_TOMBSTONES - 1)), Ok(false), "the newer tombstones are kept");
    assert_eq!(c.apply(&first), Ok(true));
}

#[test]
fn items_are_returned_as_sent() {
    let first = json!({"destinations": [
        {"name": "a", "zeta": {"k": [1, 0.1, null]}, "healthPath": "/h", "lineCap": 130, "protocol": "h1",
            "sealed": false, "coldS": 3.0, "coldRateS": 21.25, "edition": 7}],
        "sizeLimits": {"envelopeBytes": 16384, "contentBytes": 67108864, "envelopeS": 3, "idleS": 0.1, "edition": 7},
        "depots": [{"depot": "x.example", "lanes": [
            {"name": "r", "lane": "/p/", "routeKind": "unsafe", "deadlineS": 4, "targetS": 0.6, "priority": 2,
                "split": [{"destination": "a", "share": 90}, {"destination": "a", "share": 0}], "attempts": 2,
                "edition": 7, "deliveryRegions": ["south"], "unknown": "käse \" \n"}]}]});
    let mut c = Configuration::default();
    assert!(c.is_empty());
    assert_eq!(c.to_json(), "{\"destinations\":[],\"depots\":[]}");
    let change = change(json!({"deliver": first, "withdraw": {"routes": []}}));
    let decoded: ConfigurationChange = bitcode::decode(&bitcode::encode(&change)).unwrap();
    assert_eq!(decoded, change);
    assert_eq!(c.apply(&decoded), Ok(true));
    assert_eq!(c.to_json(), first.to_string());
    assert_eq!(bitcode::decode::<Configuration>(&bitcode::encode(&c)).unwrap(), c);
    let r = c.routes().next().unwrap();
    assert_eq!(
        (r.kind, r.deadline, r.latency_target, r.priority, r.max_attempts),
        (RouteKind::Unsafe, Duration::from_secs(4), Duration::from_millis(600), 2, 2)
    );
    assert_eq!((r.regions.as_slice(), r.split.len()), (["south".to_string()].as_slice(), 2));
    let d = c.destinations().next().unwrap();
    assert_eq!(
        (d.health_path.as_str(), d.max_connections, d.slow_start, d.slow_start_rate),
        ("/h", 130, Duration::from_secs(3), 21.25)
    );
    assert_eq!(
        (c.limits().unwrap().idle_timeout, c.limits().unwrap().max_head_bytes),
        (Duration::from_millis(100), 16384)
    );
    assert_eq!(
        RoutingTable::new(&c).routes().next().unwrap().split.len(),
        1,
        "a destination with a share of 0 is left out"
    );
}

/// In any order of calls the highest version of each name wins, as in a plain map.
#[test]
fn any_order_of_calls_gives_the_same_configuration() {
    type Edit = (u8, u8);
    bolero::check!().with_type::<(Vec<Vec<Edit>>, Vec<u8>)>().with_iterations(500).for_each(|(calls, order)| {
        // The content is a function of name and version, so that no two calls conflict.
        let call = |edits: &[Edit]| {
            let (mut set, mut tombstones) = (BTreeMap::new(), BTreeMap::new());
            for (name, version) in edits {
                let (name, version) = (format!("r{}", name % 4), u64::from(version % 8));
                if version % 3 == 2 {
                    tombstones.insert(name.clone(), json!({"name": name, "edition": version}));
                } else {
                    let destination = if version % 2 == 0 { "a" } else { "b" };
                    set.insert(name.clone(), route(&name, &format!("/{name}/{}/", version / 4), destination, version));
                }
            }
            let (set, tombstones) = (set.into_values().collect::<Vec<_>>(), tombstones.into_values().collect::<Vec<_>>());
            json!({"deliver": {"depots": [{"depot": "h", "lanes": set}]}, "withdraw": {"routes": tombstones}})
        };
        let bodies: Vec<Value> = calls.iter().take(12).map(|edits| call(&edits[..edits.len().min(6)])).collect();
        let mut shuffled: Vec<&Value> = bodies.iter().collect();
        for (i, other) in order.iter().enumerate().take(shuffled.len()) {
            let other = *other as usize % shuffled.len();
            shuffled.swap(i, other);
        }
        let (mut one, mut other) = (initial_configuration(), initial_configuration());
        let mut model: BTreeMap<String, (u64, Option<Value>)> = BTreeMap::new();
        for body in &bodies {
            one.apply(&change(body.clone())).unwrap();
            let set = body["deliver"]["depots"][0]["lanes"].as_array().unwrap().iter().map(|v| (v, true));
            for (item, set) in set.chain(body["withdraw"]["routes"].as_array().unwrap().iter().map(|v| (v, false))) {
                let version = item["edition"].as_u64().unwrap();
                let slot = model.entry(item["name"].as_str().unwrap().to_string()).or_insert((0, None));
                if version >= slot.0 {
                    *slot = (version, set.then(|| item.clone()));
                }
            }
        }
        for body in shuffled {
            other.apply(&change(body.clone())).unwrap();
        }
        assert_eq!(one, other);
        assert_eq!(one.to_json(), other.to_json());
        let json: Value = serde_json::from_str(&one.to_json()).unwrap();
        let virtual_hosts = json["depots"].as_array().unwrap();
        let h = virtual_hosts.iter().find(|virtual_host| virtual_host["depot"] == "h");
        let in_force: Vec<Value> = h.map_or(Vec::new(), |h| h["lanes"].as_array().unwrap().clone());
        assert_eq!(in_force, model.into_values().filter_map(|(_, value)| value).collect::<Vec<_>>());
    });
}
