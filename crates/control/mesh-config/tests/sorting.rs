//! Calls of the operator, what they put in force, and where requests go then.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use silvercross_control_store::{Rejection, State};
use silvercross_mesh_config::{
    parse_change, ClientLimits, Configuration, ConfigurationChange, RouteKind, RoutingTable, MAX_ITEMS,
    MAX_TOMBSTONES,
};

fn patch(body: Value) -> ConfigurationChange {
    parse_change(body.to_string().as_bytes()).unwrap()
}

fn path_prefix(name: &str, path_prefix: &str, to: &str, version: u64) -> Value {
    json!({"name": name, "lane": path_prefix, "routeKind": "safe", "deadlineS": 4, "destination": to, "edition": version})
}

fn routes(virtual_host: &str, lanes: &[Value]) -> Value {
    json!({"deliver": {"depots": [{"depot": virtual_host, "lanes": lanes}]}})
}

fn to(name: &str, version: u64) -> Value {
    json!({"name": name, "healthPath": "/health", "lineCap": 130, "edition": version})
}

fn services(names: &[&str]) -> Value {
    json!({"deliver": {"destinations": names.iter().map(|name| to(name, 1)).collect::<Vec<_>>()}})
}

fn drops(list: &str, name: &str, version: u64) -> Value {
    json!({"withdraw": {list: [{"name": name, "edition": version}]}})
}

/// A configuration with services a and b and one route.
fn started() -> Configuration {
    let mut started = Configuration::default();
    assert_eq!(started.apply(&patch(services(&["a", "b"]))), Ok(true));
    assert_eq!(started.apply(&patch(routes("x.example", &[path_prefix("r", "/p/", "a", 5)]))), Ok(true));
    started
}

/// Refused, with nothing changed.
fn refused(configuration: &mut Configuration, body: Value) -> Rejection {
    let before = configuration.clone();
    let refusal = configuration.apply(&patch(body)).unwrap_err();
    assert_eq!(*configuration, before);
    assert_eq!(configuration.to_json(), before.to_json());
    refusal
}

#[test]
fn bad_calls_name_item_and_key() {
    let good = json!({"deliver": {
        "destinations": [to("a", 1)],
        "sizeLimits": {"envelopeBytes": 1, "contentBytes": 1, "envelopeS": 0.5, "idleS": 15, "edition": 1},
        "depots": [
            {"depot": "x.example", "lanes": [path_prefix("r", "/p/", "a", 1), path_prefix("q", "/q/", "a", 1)]},
            {"depot": "x.example", "lanes": []}]},
        "withdraw": {"routes": [{"name": "old", "edition": 1}]}});
    assert!(parse_change(good.to_string().as_bytes()).is_ok());
    let r = "/deliver/depots/0/lanes/0";
    let d = "/deliver/destinations/0";
    // Where the good call is changed, to what (nothing: the key is taken out), and what the fault names.
    let table = [
        (r, "name", json!(""), "depots[0].lanes[0]", "name"),
        (r, "name", json!("n".repeat(257)), "depots[0].lanes[0]", "name"),
        (r, "name", Value::Null, "depots[0].lanes[0]", "name"),
        (r, "lane", json!("/p"), "r", "lane"),
        (r, "lane", json!("p/"), "r", "lane"),
        (r, "lane", json!("/q/"), "r", "lane"),
        (r, "routeKind", json!("Safe"), "r", "routeKind"),
        (r, "routeKind", Value::Null, "r", "routeKind"),
        (r, "deadlineS", json!(0), "r", "deadlineS"),
        (r, "deadlineS", json!(-1.5), "r", "deadlineS"),
        (r, "deadlineS", json!("4"), "r", "deadlineS"),
        (r, "deadlineS", Value::Null, "r", "deadlineS"),
        (r, "targetS", json!(0), "r", "targetS"),
        (r, "attempts", json!(0), "r", "attempts"),
        (r, "priority", json!(-1), "r", "priority"),
        (r, "priority", json!(0.5), "r", "priority"),
        (r, "edition", json!(-7), "r", "edition"),
        (r, "edition", json!(1.5), "r", "edition"),
        (r, "edition", Value::Null, "r", "edition"),
        (r, "destination", Value::Null, "r", "destination"),
        (r, "destination", json!(""), "r", "destination"),
        (r, "split", json!([]), "r", "split"),
        (r, "split", json!([{"destination": "a", "share": 1}]), "r", "split"),
        (r, "deliveryRegions", json!([1]), "r", "deliveryRegions"),
        ("/deliver/depots/0/lanes/1", "name", json!("r"), "r", "name"),
        ("/deliver/depots/0", "depot", json!(""), "depots[0]", "depot"),
        ("/deliver/depots/0", "depot", json!(" :80"), "depots[0]", "depot"),
        ("/deliver/depots/1", "depot", Value::Null, "depots[1]", "depot"),
        ("/deliver/depots/0", "lanes", json!({}), "depots[0]", "lanes"),
        ("/deliver/depots/0", "lanes", json!([7]), "depots[0].lanes[0]", "item"),
        (d, "lineCap", json!(0), "a", "lineCap"),
        (d, "coldS", json!(-1), "a", "coldS"),
        (d, "coldRateS", json!(-0.1), "a", "coldRateS"),
        (d, "healthPath", json!("/h HTTP/1.1\r\nX: y"), "a", "healthPath"),
        (d, "sealed", json!(1), "a", "sealed"),
        ("/deliver/sizeLimits", "idleS", json!(0), "sizeLimits", "idleS"),
        ("/deliver/sizeLimits", "contentBytes", json!(0), "sizeLimits", "contentBytes"),
        ("/deliver/sizeLimits", "edition", Value::Null, "sizeLimits", "edition"),
        ("/withdraw/routes/0", "edition", Value::Null, "old", "edition"),
        ("/withdraw/routes/0", "name", json!("r"), "r", "edition"),
        ("/withdraw", "routes", json!("r"), "withdraw", "routes"),
        ("/deliver", "tenants", json!([{"name": "t"}]), "deliver", "tenants"),
        ("", "deliver", json!([]), "body", "deliver"),
    ];
    for (at, key, value, item, named) in table {
        let mut bad = good.clone();
        let map = bad.pointer_mut(at).unwrap().as_object_mut().unwrap();
        if value.is_null() {
            map.remove(key);
        } else {
            map.insert(key.into(), value);
        }
        let fault = parse_change(bad.to_string().as_bytes()).expect_err(&bad.to_string());
        assert_eq!((fault.item.as_str(), fault.key.as_str()), (item, named), "{fault}");
        assert!(fault.reason.contains('(') && !fault.reason.is_empty(), "{fault}");
    }
    for (shares, fine) in [(vec![0, 0], false), (vec![-1, 2], false), (vec![0, 3], true)] {
        let split: Vec<Value> =
            shares.iter().map(|share| json!({"destination": "a", "share": share})).collect();
        let body = routes(
            "x",
            &[json!({"name": "r", "lane": "/", "routeKind": "upload", "deadlineS": 1,
            "split": split, "edition": 1})],
        );
        assert_eq!(
            parse_change(body.to_string().as_bytes()).map_err(|f| f.key).map(|_| ()),
            match fine {
                true => Ok(()),
                false => Err("share".to_string()),
            }
        );
    }
    let whole = good.to_string();
    for cut in 0..whole.len() {
        assert_eq!(parse_change(&whole.as_bytes()[..cut]).unwrap_err().item, "body");
    }
    for body in ["null", "[]", "{}{}", "{\"deliver\":{\"sizeLimits\":{\"idleS\":1e999}}}", "\"\\ud800\""] {
        assert_eq!(parse_change(body.as_bytes()).unwrap_err().item, "body", "{body}");
    }
    assert!(parse_change(&vec![b' '; 9 << 20]).is_err());
    assert!(parse_change(b"{\"deliver\":{},\"withdraw\":null,\"dispatchMode\":\"x\"}").unwrap().is_empty());
}

#[test]
fn any_bytes_are_read_without_panic() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(3000).for_each(|bytes| {
        let _ = parse_change(bytes);
        // The same at the places where a call holds values.
        let text = String::from_utf8_lossy(bytes);
        for body in [
            format!("{{\"deliver\":{text}}}"),
            format!("{{\"deliver\":{{\"depots\":[{{\"depot\":\"x\",\"lanes\":[{{\"name\":{text}}}]}}]}}}}"),
            format!("{{\"deliver\":{{\"sizeLimits\":{{\"edition\":1,\"idleS\":{text}}}}}}}"),
        ] {
            let _ = parse_change(body.as_bytes());
        }
    });
}

#[test]
fn the_highest_edition_holds() {
    let mut c = started();
    let moved = routes("x.example", &[path_prefix("r", "/p/", "b", 9)]);
    assert_eq!(c.apply(&patch(moved.clone())), Ok(true));
    assert_eq!(c.apply(&patch(moved)), Ok(false), "again");
    assert_eq!(c.apply(&patch(routes("x.example", &[path_prefix("r", "/p/", "a", 5)]))), Ok(false), "late");
    assert_eq!(c.routes().next().unwrap().split, [("b".to_string(), 1.0)]);
    // A route keeps its name when it moves to another host.
    assert_eq!(c.apply(&patch(routes("y.example", &[path_prefix("r", "/p/", "b", 10)]))), Ok(true));
    assert_eq!(c.routes().count(), 1);
    assert_eq!(c.apply(&patch(drops("routes", "r", 12))), Ok(true));
    assert_eq!(c.apply(&patch(drops("routes", "r", 12))), Ok(false));
    assert_eq!(
        c.apply(&patch(routes("x.example", &[path_prefix("r", "/p/", "a", 11)]))),
        Ok(false),
        "stays dropped"
    );
    assert_eq!(c.routes().count(), 0);
    // A drop is remembered even where nothing stood yet.
    assert_eq!(c.apply(&patch(drops("routes", "later", 3))), Ok(true));
    assert_eq!(c.apply(&patch(routes("x.example", &[path_prefix("later", "/l/", "a", 2)]))), Ok(false));
    // What an overtaken item names may be gone: it changes nothing and stays acknowledged.
    assert_eq!(c.apply(&patch(drops("destinations", "a", 20))), Ok(true));
    assert_eq!(c.apply(&patch(routes("x.example", &[path_prefix("r", "/p/", "a", 5)]))), Ok(false));
    // An overtaken item beside a new one.
    let mixed = routes("x.example", &[path_prefix("r", "/old/", "a", 5), path_prefix("new", "/p/", "b", 5)]);
    assert_eq!(c.apply(&patch(mixed)), Ok(true));
    assert_eq!(c.routes().map(|r| r.name.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn one_edition_has_one_content() {
    let mut c = started();
    let refusal = refused(
        &mut c,
        routes("x.example", &[path_prefix("n", "/n/", "a", 1), path_prefix("r", "/p/", "b", 5)]),
    );
    assert!(refusal.conflict && refusal.reason.starts_with("item r, key edition: "), "{}", refusal.reason);
    assert!(
        refused(&mut c, routes("z.example", &[path_prefix("r", "/p/", "a", 5)])).conflict,
        "another host"
    );
    assert!(refused(&mut c, drops("routes", "r", 5)).conflict);
    assert!(c.apply(&patch(drops("routes", "r", 6))).is_ok());
    assert!(refused(&mut c, routes("x.example", &[path_prefix("r", "/p/", "a", 6)])).conflict);
    // The order of keys and the way a number is written are not content.
    let limits =
        |text: &str| parse_change(format!("{{\"deliver\":{{\"sizeLimits\":{text}}}}}").as_bytes()).unwrap();
    assert_eq!(c.apply(&limits("{\"idleS\":15,\"edition\":2,\"note\":[1]}")), Ok(true));
    assert_eq!(c.apply(&limits("{\"note\":[1.0],\"edition\":2.0,\"idleS\":15.0}")), Ok(false));
    assert!(c.apply(&limits("{\"idleS\":15,\"edition\":2,\"note\":[2]}")).unwrap_err().conflict);
    assert_eq!(c.apply(&limits("{\"idleS\":1,\"edition\":1}")), Ok(false));
}

#[test]
fn an_invalid_whole_is_refused_whole() {
    let mut c = started();
    let cases = [
        (
            routes("x.example", &[path_prefix("n", "/n/", "a", 1), path_prefix("m", "/m/", "none", 1)]),
            "item m, key destination",
        ),
        (routes("X.EXAMPLE:80", &[path_prefix("n", "/p/", "a", 1)]), "item n, key lane"),
        (drops("destinations", "a", 9), "item a, key name"),
    ];
    for (body, reason) in cases {
        let refusal = refused(&mut c, body);
        assert!(!refusal.conflict && refusal.reason.starts_with(reason), "{}", refusal.reason);
    }
    // Moving a route away and another into its place, or off a destination that goes, is one valid call.
    let swap = json!({"deliver": {"depots": [{"depot": "x.example", "lanes":
        [path_prefix("r", "/r/", "b", 6), path_prefix("n", "/p/", "b", 1)]}]},
        "withdraw": {"destinations": [{"name": "a", "edition": 2}]}});
    assert_eq!(c.apply(&patch(swap)), Ok(true));

    let many: Vec<Value> = (0..MAX_ITEMS).map(|i| to(&format!("d{i}"), 1)).collect();
    let refusal = refused(&mut c, json!({"deliver": {"destinations": many}}));
    assert!(refusal.reason.starts_with("item body, key items"), "{}", refusal.reason);
}

#[test]
fn the_first_drops_are_forgotten_at_the_bound() {
    let mut c = started();
    assert_eq!(c.apply(&patch(drops("routes", "first", 9))), Ok(true));
    let many = |from: usize, to: usize| {
        let names = (from..to).map(|i| json!({"name": format!("n{i}"), "edition": 1})).collect::<Vec<_>>();
        patch(json!({"withdraw": {"routes": names}}))
    };
    assert_eq!(c.apply(&many(0, MAX_TOMBSTONES - 1)), Ok(true));
    let first = patch(routes("x.example", &[path_prefix("first", "/f/", "a", 8)]));
    assert_eq!(c.clone().apply(&first), Ok(false));
    assert_eq!(c.apply(&many(MAX_TOMBSTONES, MAX_TOMBSTONES + 1)), Ok(true));
    assert_eq!(c.apply(&many(0, MAX_TOMBSTONES - 1)), Ok(false), "the later ones are kept");
    assert_eq!(c.apply(&first), Ok(true));
}

#[test]
fn what_was_sent_is_read_back() {
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
    let change = patch(json!({"deliver": first, "withdraw": {"routes": []}}));
    let carried: ConfigurationChange = bitcode::decode(&bitcode::encode(&change)).unwrap();
    assert_eq!(carried, change);
    assert_eq!(c.apply(&carried), Ok(true));
    assert_eq!(c.to_json(), first.to_string());
    assert_eq!(bitcode::decode::<Configuration>(&bitcode::encode(&c)).unwrap(), c);
    let r = c.routes().next().unwrap();
    assert_eq!(
        (r.kind, r.deadline, r.latency_target, r.priority, r.max_attempts),
        (RouteKind::Unsafe, 4_000_000, 600_000, 2, 2)
    );
    assert_eq!((r.regions.as_slice(), r.split.len()), (["south".to_string()].as_slice(), 2));
    let d = c.destinations().next().unwrap();
    assert_eq!(
        (d.health_path.as_str(), d.max_connections, d.slow_start, d.slow_start_rate),
        ("/h", 130, 3_000_000, 21.25)
    );
    assert_eq!((c.limits().unwrap().idle_timeout, c.limits().unwrap().max_head_bytes), (100_000, 16384));
    assert_eq!(RoutingTable::new(&c).routes().next().unwrap().split.len(), 1, "a share of 0 draws nothing");
}

#[test]
fn the_longest_lane_that_begins_the_path_is_found() {
    let mut c = started();
    let lanes = ["/", "/p/a/", "/p/a/b/c/", "/p/ab/", "/z/"];
    let lanes: Vec<Value> = lanes.iter().map(|l| path_prefix(l, l, "a", 1)).collect();
    c.apply(&patch(routes("X.Example", &lanes))).unwrap();
    c.apply(&patch(routes("[::1]:80", &[path_prefix("six", "/s/", "b", 1)]))).unwrap();
    let table = RoutingTable::new(&c);
    let find = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(find("x.example", "/p/a/x"), Some("/p/a/"));
    assert_eq!(find("X.EXAMPLE:8080", "/p/a/b/c/"), Some("/p/a/b/c/"));
    assert_eq!(find("x.example", "/p/a/b/d"), Some("/p/a/"));
    assert_eq!(find("x.example", "/p/ab"), Some("r"));
    assert_eq!(find("x.example", "/p/ac/d"), Some("r"));
    assert_eq!(find("x.example", "/p"), Some("/"));
    assert_eq!(find("x.example", "/p?q=/p/a/"), Some("/"));
    assert_eq!(find("x.example", "/zz/\u{10ffff}"), Some("/"));
    assert_eq!(find("x.example", "*"), None);
    assert_eq!(find("[::1]", "/s/x"), Some("six"));
    assert_eq!(find("[::1]:9", "/t/x"), None);
    assert_eq!(find("", "/"), None);
    assert!(table.destination("a").is_some() && table.destination("c").is_none());
    assert_eq!((table.destinations().count(), table.routes().count()), (2, 7));
    assert_eq!(table.limits(), ClientLimits::default());
}

/// Lookup against a walk over all routes.
#[test]
fn lookup_agrees_with_a_slow_one() {
    let text = |steps: &[u8]| {
        steps.iter().take(5).fold("/".to_string(), |s, b| s + ["a/", "b/", "ab/"][*b as usize % 3])
    };
    bolero::check!().with_type::<(Vec<(bool, Vec<u8>)>, bool, Vec<u8>, u8)>().with_iterations(500).for_each(
        |(drawn, host, path, cut)| {
            let host_of = |second: bool| if second { "b" } else { "a" };
            let mut lanes: BTreeMap<(&str, String), Value> = BTreeMap::new();
            for (second, steps) in drawn {
                let (host, text) = (host_of(*second), text(steps));
                let value = path_prefix(&format!("{host}{text}"), &text, "a", 1);
                lanes.insert((host, text), value);
            }
            let depots: Vec<Value> = lanes
                .iter()
                .map(|((host, _), path_prefix)| json!({"depot": host, "lanes": [path_prefix]}))
                .collect();
            let mut c = started();
            c.apply(&patch(json!({"deliver": {"depots": depots}}))).unwrap();
            let mut path = text(path);
            path.truncate(1 + *cut as usize);
            let slow = lanes.keys().filter(|(h, l)| *h == host_of(*host) && path.starts_with(l));
            let slow = slow
                .max_by_key(|(_, path_prefix)| path_prefix.len())
                .map(|(host, path_prefix)| format!("{host}{path_prefix}"));
            assert_eq!(
                RoutingTable::new(&c).find(host_of(*host), &path).map(|route| route.name.clone()),
                slow
            );
        },
    );
}

/// In whatever order calls arrive, the highest edition of each name holds, as in a plain map.
#[test]
fn any_order_ends_in_the_same() {
    type Edit = (u8, u8);
    bolero::check!().with_type::<(Vec<Vec<Edit>>, Vec<u8>)>().with_iterations(500).for_each(|(calls, order)| {
        // The content follows from name and edition, so that no two calls conflict.
        let call = |edits: &[Edit]| {
            let (mut set, mut tombstones) = (BTreeMap::new(), BTreeMap::new());
            for (name, version) in edits {
                let (name, version) = (format!("r{}", name % 4), u64::from(version % 8));
                if version % 3 == 2 {
                    tombstones.insert(name.clone(), json!({"name": name, "edition": version}));
                } else {
                    let to = if version % 2 == 0 { "a" } else { "b" };
                    set.insert(name.clone(), path_prefix(&name, &format!("/{name}/{}/", version / 4), to, version));
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
        let (mut one, mut other) = (started(), started());
        let mut plain: BTreeMap<String, (u64, Option<Value>)> = BTreeMap::new();
        for body in &bodies {
            one.apply(&patch(body.clone())).unwrap();
            let set = body["deliver"]["depots"][0]["lanes"].as_array().unwrap().iter().map(|v| (v, true));
            for (item, set) in set.chain(body["withdraw"]["routes"].as_array().unwrap().iter().map(|v| (v, false))) {
                let version = item["edition"].as_u64().unwrap();
                let slot = plain.entry(item["name"].as_str().unwrap().to_string()).or_insert((0, None));
                if version >= slot.0 {
                    *slot = (version, set.then(|| item.clone()));
                }
            }
        }
        for body in shuffled {
            other.apply(&patch(body.clone())).unwrap();
        }
        assert_eq!(one, other);
        assert_eq!(one.to_json(), other.to_json());
        let json: Value = serde_json::from_str(&one.to_json()).unwrap();
        let depots = json["depots"].as_array().unwrap();
        let h = depots.iter().find(|virtual_host| virtual_host["depot"] == "h");
        let standing: Vec<Value> = h.map_or(Vec::new(), |h| h["lanes"].as_array().unwrap().clone());
        assert_eq!(standing, plain.into_values().filter_map(|(_, value)| value).collect::<Vec<_>>());
    });
}
