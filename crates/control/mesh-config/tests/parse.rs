//! Errors of calls that cannot be parsed.

mod common;

use common::{destination, route, routes};
use serde_json::{json, Value};
use silvercross_mesh_config::parse_change;

#[test]
fn errors_name_item_and_key() {
    let valid = json!({"deliver": {
        "destinations": [destination("a", 1)],
        "sizeLimits": {"envelopeBytes": 1, "contentBytes": 1, "envelopeS": 0.5, "idleS": 15, "edition": 1},
        "depots": [
            {"depot": "x.example", "lanes": [route("r", "/p/", "a", 1), route("q", "/q/", "a", 1)]},
            {"depot": "x.example", "lanes": []}]},
        "withdraw": {"routes": [{"name": "old", "edition": 1}]}});
    assert!(parse_change(valid.to_string().as_bytes()).is_ok());
    let r = "/deliver/depots/0/lanes/0";
    let d = "/deliver/destinations/0";
    // Location, key and new value (null removes the key) of each change, then the item and the key that the error
    // names.
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
    for (at, key, value, item, error_key) in table {
        let mut changed = valid.clone();
        let map = changed.pointer_mut(at).unwrap().as_object_mut().unwrap();
        if value.is_null() {
            map.remove(key);
        } else {
            map.insert(key.into(), value);
        }
        let error = parse_change(changed.to_string().as_bytes()).expect_err(&changed.to_string());
        assert_eq!((error.item.as_str(), error.key.as_str()), (item, error_key), "{error}");
        assert!(error.problem.to_string().contains('('), "{error}");
    }
    for (shares, is_valid) in [(vec![0, 0], false), (vec![-1, 2], false), (vec![0, 3], true)] {
        let split: Vec<Value> =
            shares.iter().map(|share| json!({"destination": "a", "share": share})).collect();
        let body = routes(
            "x",
            &[json!({"name": "r", "lane": "/", "routeKind": "upload", "deadlineS": 1,
            "split": split, "edition": 1})],
        );
        assert_eq!(
            parse_change(body.to_string().as_bytes()).map_err(|error| error.key).map(|_| ()),
            match is_valid {
                true => Ok(()),
                false => Err("share".to_string()),
            }
        );
    }
    let text = valid.to_string();
    for length in 0..text.len() {
        assert_eq!(parse_change(&text.as_bytes()[..length]).unwrap_err().item, "body");
    }
    for body in ["null", "[]", "{}{}", "{\"deliver\":{\"sizeLimits\":{\"idleS\":1e999}}}", "\"\\ud800\""] {
        assert_eq!(parse_change(body.as_bytes()).unwrap_err().item, "body", "{body}");
    }
    assert!(parse_change(&vec![b' '; 9 << 20]).is_err());
    assert!(parse_change(b"{\"deliver\":{},\"withdraw\":null,\"dispatchMode\":\"x\"}").unwrap().is_empty());
}

#[test]
fn any_bytes_are_parsed_without_a_panic() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(3000).for_each(|bytes| {
        let _ = parse_change(bytes);
        // The same in place of values inside a call.
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
