//! Two calls under one version, and the same call again: what is done, what is refused, and that a call that was taken
//! is done again whatever was sent since.

mod model;

use std::collections::{BTreeMap, BTreeSet};

use model::{Item, Model, Said, Said::*};
use serde_json::{json, Value};
use silvercross_control_store::State;
#[cfg(feature = "mutants")]
use silvercross_mesh_config::mutation::Mutation;
use silvercross_mesh_config::{
    parse_update, ConfigurationUpdate, VersionedConfiguration, MAX_ITEMS, MAX_SUPERSEDED, MAX_TOMBSTONES,
};

fn call(body: Value) -> ConfigurationUpdate {
    parse_update(body.to_string().as_bytes()).unwrap()
}

fn service(name: &str, version: u64, path: &str) -> Value {
    json!({"name": name, "healthPath": path, "edition": version})
}

fn route(name: &str, version: u64, to: &str, deadline: f64) -> Value {
    let path_prefix = format!("/{name}/");
    json!({"name": name, "lane": path_prefix, "routeKind": "safe", "deadlineS": deadline, "destination": to, "edition": version})
}

fn set(services: &[Value], routes: &[Value]) -> Value {
    json!({"deliver": {"destinations": services, "depots": [{"depot": "x.example", "lanes": routes}]}})
}

fn drop(list: &str, name: &str, version: u64) -> Value {
    json!({"withdraw": {list: [{"name": name, "edition": version}]}})
}

fn member(version: u64, key: &str) -> Value {
    json!({"deliver": {"members": [{"name": "ana", "key": key, "plan": "full", "edition": version}]}})
}

fn limits(version: u64, idle: Value) -> Value {
    json!({"deliver": {"sizeLimits": {"idleS": idle, "edition": version}}})
}

/// What is said; a refusal leaves nothing behind.
fn say(state: &mut VersionedConfiguration, call: &ConfigurationUpdate) -> Said {
    let before = state.clone();
    match state.apply(call) {
        Ok(changed) => {
            assert_eq!(changed, *state != before);
            if changed {
                Done
            } else {
                Again
            }
        }
        Err(refusal) => {
            assert_eq!(*state, before, "{}", refusal.reason);
            if refusal.conflict {
                Conflict
            } else {
                Invalid
            }
        }
    }
}

#[test]
fn a_table_of_calls_and_repeats() {
    let a = |version, path| set(&[service("a", version, path)], &[]);
    let to_b = || set(&[service("b", 1, "/b")], &[route("r", 5, "b", 1.0)]);
    let moved = || set(&[], &[route("r", 6, "a", 1.0)]);
    let cases: Vec<(&str, Vec<(Value, Said)>)> = vec![
        ("the same again", vec![(a(1, "/x"), Done), (a(1, "/x"), Again)]),
        ("one version, two contents", vec![(a(1, "/x"), Done), (a(1, "/y"), Conflict), (a(1, "/x"), Again)]),
        (
            "the same, overtaken, and the one that lost",
            vec![(a(1, "/x"), Done), (a(2, "/z"), Done), (a(1, "/y"), Conflict), (a(1, "/x"), Again)],
        ),
        (
            "overtaken before it came: acknowledged, and its version is taken",
            vec![(a(9, "/z"), Done), (a(4, "/x"), Done), (a(4, "/y"), Conflict), (a(4, "/x"), Again)],
        ),
        (
            "overtaken more than once",
            vec![
                (a(1, "/x"), Done),
                (a(2, "/y"), Done),
                (a(3, "/z"), Done),
                (a(2, "/x"), Conflict),
                (a(1, "/z"), Conflict),
                (a(1, "/x"), Again),
                (a(2, "/y"), Again),
            ],
        ),
        (
            "set and dropped under one version",
            vec![
                (a(1, "/x"), Done),
                (drop("destinations", "a", 1), Conflict),
                (drop("destinations", "a", 2), Done),
                (a(2, "/x"), Conflict),
                (a(3, "/x"), Done),
                (drop("destinations", "a", 1), Conflict),
                (drop("destinations", "a", 2), Again),
                (a(2, "/x"), Conflict),
                (a(1, "/x"), Again),
            ],
        ),
        (
            "after its drop, and the drop again",
            vec![
                (a(1, "/x"), Done),
                (drop("destinations", "a", 3), Done),
                (a(1, "/x"), Again),
                (drop("destinations", "a", 3), Again),
                (a(2, "/x"), Done),
                (a(2, "/y"), Conflict),
                (a(4, "/y"), Done),
                (drop("destinations", "a", 3), Again),
            ],
        ),
        (
            "a route to a service that was dropped since, and the service",
            vec![
                (a(1, "/x"), Done),
                (to_b(), Done),
                (moved(), Done),
                (drop("destinations", "b", 2), Done),
                (to_b(), Again),
                (set(&[], &[route("r", 7, "b", 1.0)]), Invalid),
                (drop("destinations", "a", 2), Invalid),
            ],
        ),
        (
            "a drop that would not be valid now",
            vec![
                (a(1, "/x"), Done),
                (drop("destinations", "a", 2), Done),
                (set(&[service("a", 3, "/x")], &[route("r", 1, "a", 1.0)]), Done),
                (drop("destinations", "a", 2), Again),
                (drop("destinations", "a", 4), Invalid),
            ],
        ),
        (
            "a place that another route has now",
            vec![
                (set(&[service("a", 1, "/x")], &[route("r", 1, "a", 1.0)]), Done),
                (drop("routes", "r", 2), Done),
                (
                    json!({"deliver": {"depots": [{"depot": "x.example", "lanes": [{"name": "s", "lane": "/r/",
                        "routeKind": "safe", "deadlineS": 1, "destination": "a", "edition": 1}]}]}}),
                    Done,
                ),
                (set(&[service("a", 1, "/x")], &[route("r", 1, "a", 1.0)]), Again),
                (set(&[], &[route("r", 3, "a", 1.0)]), Invalid),
            ],
        ),
        (
            "one item overtaken, another in conflict, a third new: nothing of it",
            vec![
                (set(&[service("a", 1, "/x"), service("b", 1, "/x")], &[]), Done),
                (a(2, "/z"), Done),
                (set(&[service("a", 1, "/x"), service("b", 1, "/y"), service("c", 1, "/x")], &[]), Conflict),
                (set(&[service("a", 1, "/y"), service("c", 1, "/x")], &[]), Conflict),
                (set(&[service("a", 1, "/x"), service("b", 1, "/x")], &[]), Again),
                (set(&[service("c", 1, "/y")], &[]), Done),
            ],
        ),
        (
            "an overtaken version beside something invalid is not taken",
            vec![
                (a(5, "/z"), Done),
                (set(&[service("a", 3, "/x")], &[route("r", 1, "none", 1.0)]), Invalid),
                (a(3, "/y"), Done),
                (a(3, "/x"), Conflict),
            ],
        ),
        (
            "valid only after another was taken",
            vec![
                (set(&[], &[route("r", 1, "a", 1.0)]), Invalid),
                (a(1, "/x"), Done),
                (set(&[], &[route("r", 1, "a", 1.0)]), Done),
                (set(&[], &[route("r", 1, "a", 1.0)]), Again),
            ],
        ),
        (
            "written otherwise",
            vec![
                (limits(1, json!(15)), Done),
                (limits(2, json!(1)), Done),
                (json!({"deliver": {"sizeLimits": {"edition": 1.0, "idleS": 15.0}}}), Again),
                (json!({"deliver": {"sizeLimits": {"edition": 2.0, "idleS": 1e0}}}), Again),
                (limits(1, json!(16)), Conflict),
            ],
        ),
        (
            "another host is another content",
            vec![
                (set(&[service("a", 1, "/x")], &[route("r", 1, "a", 1.0)]), Done),
                (set(&[], &[route("r", 2, "a", 1.0)]), Done),
                (
                    json!({"deliver": {"depots": [{"depot": "y.example", "lanes": [route("r", 1, "a", 1.0)]}]}}),
                    Conflict,
                ),
                (set(&[], &[route("r", 1, "a", 1.0)]), Again),
            ],
        ),
        (
            "members, and one name of several kinds",
            vec![
                (member(1, "k1"), Done),
                (member(2, "k2"), Done),
                (member(1, "k3"), Conflict),
                (member(1, "k1"), Again),
                (drop("members", "ana", 3), Done),
                (member(2, "k2"), Again),
                (member(3, "k2"), Conflict),
                (set(&[service("ana", 1, "/x")], &[route("ana", 1, "ana", 1.0)]), Done),
            ],
        ),
    ];
    for (name, calls) in cases {
        let mut state = VersionedConfiguration::default();
        for (at, (body, said)) in calls.into_iter().enumerate() {
            assert_eq!(say(&mut state, &call(body)), said, "{name}, call {at}");
            // What is on disk and on the links goes on as this does.
            state = bitcode::decode(&bitcode::encode(&state)).unwrap();
        }
    }
}

fn many_drops(from: usize, to: usize, version: u64) -> ConfigurationUpdate {
    let names: Vec<Value> =
        (from..to).map(|i| json!({"name": format!("n{i}"), "edition": version})).collect();
    call(json!({"withdraw": {"routes": names}}))
}

/// Past the bound a drop is no longer known by name. What it dropped stays dropped all the same.
#[test]
fn after_65536_withdrawals_nothing_comes_back() {
    for (list, first, second) in [
        ("destinations", set(&[service("a", 4, "/x")], &[]), set(&[service("a", 6, "/y")], &[])),
        ("members", member(4, "k"), member(6, "l")),
    ] {
        let first = call(first);
        let name = if list == "members" { "ana" } else { "a" };
        let named = format!("\"name\":\"{name}\"");
        let mut state = VersionedConfiguration::default();
        assert_eq!(say(&mut state, &first), Done);
        assert_eq!(say(&mut state, &call(drop(list, name, 7))), Done);
        if list == "members" {
            let names: Vec<Value> =
                (0..MAX_TOMBSTONES).map(|i| json!({"name": format!("n{i}"), "edition": 2})).collect();
            assert_eq!(say(&mut state, &call(json!({"withdraw": {"members": names}}))), Done);
        } else {
            assert_eq!(say(&mut state, &many_drops(0, MAX_TOMBSTONES, 2)), Done);
        }
        let forgotten = state.clone();
        // Both were taken: acknowledged again, and nothing comes of it.
        assert_eq!(say(&mut state, &first), Again, "{list}");
        assert_eq!(say(&mut state, &call(drop(list, name, 7))), Again);
        // Not known, and no higher: it may have been dropped, so it is not taken, and the operator is told what to do.
        assert_eq!(say(&mut state, &call(second)), Conflict);
        assert_eq!(state, forgotten);
        assert!(!state.current.to_json().contains(&named));
        // A later one is taken as always.
        let later = if list == "members" { member(8, "k") } else { set(&[service("a", 8, "/x")], &[]) };
        assert_eq!(say(&mut state, &call(later)), Done);
        assert!(state.current.to_json().contains(&named));
        assert_eq!(say(&mut state, &first), Again);
    }
}

/// Few names share the floor of a drop that was forgotten: others are taken at any version.
#[test]
fn one_forgotten_withdrawal_blocks_few_other_names() {
    let mut state = VersionedConfiguration::default();
    assert_eq!(say(&mut state, &call(drop("routes", "high", u64::MAX))), Done);
    assert_eq!(say(&mut state, &many_drops(0, MAX_TOMBSTONES, 1)), Done);
    let taken = (0..500).filter(|i| {
        let body = set(&[service(&format!("d{i}"), 1, "/x")], &[]);
        state.apply(&call(body)).is_ok()
    });
    assert!(taken.count() >= 480);
}

/// As many as stand are overtaken by one call: the last of them are still known, and all are acknowledged again.
#[test]
fn what_is_remembered_is_bounded() {
    let all = |version: u64| {
        let services: Vec<Value> =
            (0..MAX_ITEMS).map(|i| service(&format!("d{i:05}"), version, "/x")).collect();
        call(set(&services, &[]))
    };
    let mut state = VersionedConfiguration::default();
    let mut sizes = BTreeSet::new();
    for version in 1..=4 {
        assert_eq!(say(&mut state, &all(version)), Done);
        sizes.insert(bitcode::encode(&state.history).len());
    }
    assert!(*sizes.last().unwrap() <= 2 * MAX_SUPERSEDED * 16 + 64, "{sizes:?}");
    let other = |i: usize, version| call(set(&[service(&format!("d{i:05}"), version, "/y")], &[]));
    assert_eq!(say(&mut state.clone(), &other(MAX_ITEMS - 1, 3)), Conflict);
    assert_eq!(say(&mut state.clone(), &other(MAX_ITEMS - MAX_SUPERSEDED, 3)), Conflict);
    for version in 1..=4 {
        assert!(matches!(say(&mut state.clone(), &all(version)), Done | Again), "{version}");
    }
}

fn body(items: &[Item]) -> ConfigurationUpdate {
    let pick = |route: bool, tombstones: bool| {
        items.iter().filter(move |item| item.0 == route && item.3.is_none() == tombstones)
    };
    let gone = |route| -> Vec<Value> {
        pick(route, true).map(|(_, n, v, _)| json!({"name": format!("{n}"), "edition": v})).collect()
    };
    let lanes: Vec<Value> = pick(true, false)
        .map(|(_, n, v, to)| route(&n.to_string(), *v, &to.unwrap_or_default().to_string(), 1.0))
        .collect();
    let services: Vec<Value> = pick(false, false)
        .map(|(_, n, v, content)| service(&n.to_string(), *v, &format!("/{}", content.unwrap_or_default())))
        .collect();
    let mut value = set(&services, &lanes);
    value["withdraw"] = json!({"routes": gone(true), "destinations": gone(false)});
    call(value)
}

/// One call drawn, or (first byte) one of the earlier ones again.
type Drawn = (u8, Vec<(u8, u8)>);

fn held_against_the_model(drawn: &[Drawn]) -> Result<(usize, usize), String> {
    let (mut state, mut model) = (VersionedConfiguration::default(), Model::default());
    let mut sent: Vec<Vec<Item>> = Vec::new();
    let mut taken: BTreeSet<Vec<Item>> = BTreeSet::new();
    let (mut again, mut conflicts) = (0, 0);
    for (which, items) in drawn.iter().take(40) {
        let drawn_items = || {
            let mut by_name = BTreeMap::new();
            for (what, content) in items.iter().take(3) {
                let content = Some(content % 4).filter(|c| *c < 3);
                by_name.insert((what & 1 == 0, (what >> 1) % 3), (u64::from(what >> 3) % 5, content));
            }
            by_name.into_iter().map(|((r, n), (v, c))| (r, n, v, c)).collect::<Vec<Item>>()
        };
        let items = match sent.len() {
            n if n > 0 && which % 2 == 0 => sent[*which as usize / 2 % n].clone(),
            _ => drawn_items(),
        };
        let right = model.say(&items);
        let said = say(&mut state, &body(&items));
        if said != right {
            return Err(format!("{items:?} after {sent:?}: {said:?} and not {right:?}"));
        }
        again += usize::from(said == Again && !items.is_empty());
        conflicts += usize::from(said == Conflict);
        if matches!(said, Done | Again) {
            taken.insert(items.clone());
        } else if taken.contains(&items) {
            return Err(format!("{items:?} was taken and is refused after {sent:?}"));
        }
        sent.push(items);
        for number in 0..3 {
            let name = number.to_string();
            let to = state
                .current
                .configuration
                .routes()
                .find(|r| r.name == name)
                .map(|r| r.split[0].name.clone());
            if to != model.standing(true, number).map(|to| to.to_string()) {
                return Err(format!("route {number} goes to {to:?} after {sent:?}"));
            }
            let path = state.current.configuration.destinations().find(|d| d.name == name);
            let path = path.map(|d| d.health_path.clone());
            if path != model.standing(false, number).map(|content| format!("/{content}")) {
                return Err(format!("service {number} is {path:?} after {sent:?}"));
            }
        }
    }
    Ok((again, conflicts))
}

#[test]
fn drawn_calls_and_repeats_agree_with_a_plain_model() {
    let (mut again, mut conflicts) = (0, 0);
    let mut dice = 1_u64;
    for _ in 0..500 {
        let drawn = drawn(&mut dice);
        let (a, c) = held_against_the_model(&drawn).unwrap_or_else(|why| panic!("{why}"));
        again += a;
        conflicts += c;
    }
    // They did meet what they are for.
    assert!(again > 1_000 && conflicts > 1_000, "{again} again, {conflicts} conflicts");
    bolero::check!().with_type::<Vec<Drawn>>().with_iterations(500).for_each(|drawn| {
        if let Err(why) = held_against_the_model(drawn) {
            panic!("{why}");
        }
    });
}

fn drawn(dice: &mut u64) -> Vec<Drawn> {
    let mut byte = || {
        *dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*dice >> 33) as u8
    };
    (0..30).map(|_| (byte(), (0..1 + byte() % 3).map(|_| (byte(), byte())).collect())).collect()
}

#[cfg(feature = "mutants")]
fn caught(broken: Mutation) -> String {
    silvercross_mesh_config::mutation::set_mutation(Some(broken));
    let mut dice = 1;
    let why = (0..2_000).find_map(|_| {
        let drawn = drawn(&mut dice);
        // A refusal that leaves something behind is found by `say` itself.
        std::panic::catch_unwind(|| held_against_the_model(&drawn))
            .unwrap_or_else(|_| Err("a refused call left something behind".to_string()))
            .err()
    });
    silvercross_mesh_config::mutation::set_mutation(None);
    let why = why.unwrap_or_else(|| panic!("{broken:?} was not found"));
    println!("{broken:?}: {why}");
    why
}

#[cfg(feature = "mutants")]
#[test]
fn same_version_of_two_operators_both_done_is_caught() {
    assert!(caught(Mutation::SameVersionTwice).contains("Again and not Conflict"));
    assert!(caught(Mutation::SupersededForgotten).contains("not Conflict"));
}

#[cfg(feature = "mutants")]
#[test]
fn repeat_rejected_after_a_later_change_is_caught() {
    assert!(caught(Mutation::RepeatRejected).contains("Conflict and not"));
}

#[cfg(feature = "mutants")]
#[test]
fn what_a_rejected_call_leaves_behind_is_caught() {
    assert!(caught(Mutation::RejectedCallRemembered).contains("left something behind"));
}

#[cfg(feature = "mutants")]
#[test]
fn a_withdrawn_item_that_comes_back_is_caught() {
    silvercross_mesh_config::mutation::set_mutation(Some(Mutation::TombstonesForgotten));
    let outcome = std::panic::catch_unwind(after_65536_withdrawals_nothing_comes_back);
    silvercross_mesh_config::mutation::set_mutation(None);
    let why = outcome.expect_err("not found");
    assert!(why.downcast_ref::<String>().is_some_and(|why| why.contains("destinations")));
}
