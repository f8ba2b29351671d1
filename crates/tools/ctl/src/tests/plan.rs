//! A file is compared with the configuration in force and checked as a control node would check it.
use crate::items::{read, Position};
use crate::plan::plan;
use serde_json::{json, Value};

fn configuration() -> Value {
    json!({ "destinations": [{ "name": "quotes", "lineCap": 120, "edition": 3 }],
        "depots": [{ "depot": "shop.example", "lanes": [{ "name": "r-1", "lane": "/q/", "routeKind": "safe",
            "deadlineS": 5, "destination": "quotes", "edition": 7 }] }] })
}

const ROUTE: &str = "[routes.r-1]\ndepot = \"shop.example\"\nlane = \"/q/\"\nkind = \"safe\"\ndeadline_s = 5.0\ndestination = \"quotes\"\n";

#[test]
fn what_is_in_force_is_no_change_and_versions_rise_by_themselves() {
    let same = plan(read(ROUTE).expect("well-formed"), &configuration()).expect("valid");
    assert_eq!((same.changes().count(), same.diff().len()), (0, 0));
    let other =
        plan(read(&ROUTE.replace("5.0", "4")).expect("well-formed"), &configuration()).expect("valid");
    assert_eq!(other.diff(), ["~ route r-1 (edition 7 -> 8)", "    deadlineS: 5 -> 4"]);
    assert_eq!(other.patch()["deliver"]["depots"][0]["lanes"][0]["edition"], 8);
    assert_eq!(other.missing_from(&configuration()).len(), 1);
}

#[test]
fn faults_that_a_control_node_would_find_are_found_with_their_position() {
    for (text, line, column, word) in [
        (ROUTE.replace("\"quotes\"", "\"none\""), 6, 15, "no destination"),
        (ROUTE.replace("\"/q/\"", "\"q\""), 3, 8, "slash"),
        (format!("{}edition = 7\n", ROUTE.replace("5.0", "6")), 7, 11, "not above"),
        ("[withdraw]\ndestinations = [\"quotes\"]\n".to_string(), 2, 17, "move that route"),
    ] {
        let faults = plan(read(&text).expect("well-formed"), &configuration()).expect_err("faulty");
        assert_eq!(faults[0].position, Position { line, column }, "{faults:?}");
        assert!(faults[0].reason.contains(word), "{faults:?}");
    }
}
