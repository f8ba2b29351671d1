//! Calls with the same version and repeated calls: which are applied, which are rejected, and that a repeat of an
//! accepted call is acknowledged whatever was sent since.

mod model;

use std::collections::{BTreeMap, BTreeSet};

use model::{Item, Model, Outcome, Outcome::*};
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

fn destination(name: &str, version: u64, path: &str) -> Value {
    json!({"name": name, "healthPath": path, "edition": version})
}

fn route(name: &str, version: u64, destination: &str, deadline: f64) -> Value {
    let path_prefix = format!("/{name}/");
    json!({"name": name, "lane": path_prefix, "routeKind": "safe", "deadlineS": deadline, "destination": destination, "edition": version})
}

fn set(destinations: &[Value], routes: &[Value]) -> Value {
    json!({"deliver": {"destinations": destinations, "depots": [{"depot": "x.example", "lanes": routes}]}})
}

fn withdrawal(list: &str, name: &str, version: u64) -> Value {
    json!({"withdraw": {list: [{"name": name, "edition": version}]}})
}

fn member(version: u64, key: &str) -> Value {
    json!({"deliver": {"members": [{"name": "ana", "key": key, "plan": "full", "edition": version}]}})
}

fn limits(version: u64, idle: Value) -> Value {
    json!({"deliver": {"sizeLimits": {"idleS": idle, "edition": version}}})
}

/// The outcome of a call; checks that a rejected call changes nothing.
fn apply(state: &mut VersionedConfiguration, call: &ConfigurationUpdate) -> Outcome {
    let before = state.clone();
    match state.apply(call) {
        Ok(changed) => {
            assert_eq!(changed, *state != before);
            if changed {
                Applied
            } else {
                Unchanged
            }
        }
        Err(rejection) => {
            assert_eq!(*state, before, "{}", rejection.reason);
            if rejection.conflict {
                Conflict
            } else {
                Invalid
            }
        }
    }
}

#[test]
fn a_table_of_calls_and_repeats() {
    let a = |version, path| set(&[destination("a", version, path)], &[]);
    let to_b = || set(&[destination("b", 1, "/b")], &[route("r", 5, "b", 1.0)]);
    let moved = || set(&[], &[route("r", 6, "a", 1.0)]);
    let cases: Vec<(&str, Vec<(Value, Outcome)>)> = vec![
        ("a repeat", vec![(a(1, "/x"), Applied), (a(1, "/x"), Unchanged)]),
        (
            "same version, different content",
            vec![(a(1, "/x"), Applied), (a(1, "/y"), Conflict), (a(1, "/x"), Unchanged)],
        ),
        (
            "a repeat and a conflicting call after both were superseded",
            vec![
                (a(1, "/x"), Applied),
                (a(2, "/z"), Applied),
                (a(1, "/y"), Conflict),
                (a(1, "/x"), Unchanged),
            ],
        ),
        (
            "superseded before it arrived: acknowledged, and its version is recorded",
            vec![
                (a(9, "/z"), Applied),
                (a(4, "/x"), Applied),
                (a(4, "/y"), Conflict),
                (a(4, "/x"), Unchanged),
            ],
        ),
        (
            "superseded more than once",
            vec![
                (a(1, "/x"), Applied),
                (a(2, "/y"), Applied),
                (a(3, "/z"), Applied),
                (a(2, "/x"), Conflict),
                (a(1, "/z"), Conflict),
                (a(1, "/x"), Unchanged),
                (a(2, "/y"), Unchanged),
            ],
        ),
        (
            "set and withdrawn at the same version",
            vec![
                (a(1, "/x"), Applied),
                (withdrawal("destinations", "a", 1), Conflict),
                (withdrawal("destinations", "a", 2), Applied),
                (a(2, "/x"), Conflict),
                (a(3, "/x"), Applied),
                (withdrawal("destinations", "a", 1), Conflict),
                (withdrawal("destinations", "a", 2), Unchanged),
                (a(2, "/x"), Conflict),
                (a(1, "/x"), Unchanged),
            ],
        ),
        (
            "repeats after the withdrawal, and a repeat of the withdrawal",
            vec![
                (a(1, "/x"), Applied),
                (withdrawal("destinations", "a", 3), Applied),
                (a(1, "/x"), Unchanged),
                (withdrawal("destinations", "a", 3), Unchanged),
                (a(2, "/x"), Applied),
                (a(2, "/y"), Conflict),
                (a(4, "/y"), Applied),
                (withdrawal("destinations", "a", 3), Unchanged),
            ],
        ),
        (
            "a route to a destination that was withdrawn later, and that destination",
            vec![
                (a(1, "/x"), Applied),
                (to_b(), Applied),
                (moved(), Applied),
                (withdrawal("destinations", "b", 2), Applied),
                (to_b(), Unchanged),
                (set(&[], &[route("r", 7, "b", 1.0)]), Invalid),
                (withdrawal("destinations", "a", 2), Invalid),
            ],
        ),
        (
            "a withdrawal that would not be valid now",
            vec![
                (a(1, "/x"), Applied),
                (withdrawal("destinations", "a", 2), Applied),
                (set(&[destination("a", 3, "/x")], &[route("r", 1, "a", 1.0)]), Applied),
                (withdrawal("destinations", "a", 2), Unchanged),
                (withdrawal("destinations", "a", 4), Invalid),
            ],
        ),
        (
            "a path prefix that another route has now",
            vec![
                (set(&[destination("a", 1, "/x")], &[route("r", 1, "a", 1.0)]), Applied),
                (withdrawal("routes", "r", 2), Applied),
                (
                    json!({"deliver": {"depots": [{"depot": "x.example", "lanes": [{"name": "s", "lane": "/r/",
                        "routeKind": "safe", "deadlineS": 1, "destination": "a", "edition": 1}]}]}}),
                    Applied,
                ),
                (set(&[destination("a", 1, "/x")], &[route("r", 1, "a", 1.0)]), Unchanged),
                (set(&[], &[route("r", 3, "a", 1.0)]), Invalid),
            ],
        ),
        (
            "one item superseded, another in conflict, a third new: nothing is applied",
            vec![
                (set(&[destination("a", 1, "/x"), destination("b", 1, "/x")], &[]), Applied),
                (a(2, "/z"), Applied),
                (
                    set(
                        &[destination("a", 1, "/x"), destination("b", 1, "/y"), destination("c", 1, "/x")],
                        &[],
                    ),
                    Conflict,
                ),
                (set(&[destination("a", 1, "/y"), destination("c", 1, "/x")], &[]), Conflict),
                (set(&[destination("a", 1, "/x"), destination("b", 1, "/x")], &[]), Unchanged),
                (set(&[destination("c", 1, "/y")], &[]), Applied),
            ],
        ),
        (
            "a superseded version in a call with an invalid item is not recorded",
            vec![
                (a(5, "/z"), Applied),
                (set(&[destination("a", 3, "/x")], &[route("r", 1, "none", 1.0)]), Invalid),
                (a(3, "/y"), Applied),
                (a(3, "/x"), Conflict),
            ],
        ),
        (
            "valid only after another call was accepted",
            vec![
                (set(&[], &[route("r", 1, "a", 1.0)]), Invalid),
                (a(1, "/x"), Applied),
                (set(&[], &[route("r", 1, "a", 1.0)]), Applied),
                (set(&[], &[route("r", 1, "a", 1.0)]), Unchanged),
            ],
        ),
        (
            "the same content in another notation",
            vec![
                (limits(1, json!(15)), Applied),
                (limits(2, json!(1)), Applied),
                (json!({"deliver": {"sizeLimits": {"edition": 1.0, "idleS": 15.0}}}), Unchanged),
                (json!({"deliver": {"sizeLimits": {"edition": 2.0, "idleS": 1e0}}}), Unchanged),
                (limits(1, json!(16)), Conflict),
            ],
        ),
        (
            "another host is different content",
            vec![
                (set(&[destination("a", 1, "/x")], &[route("r", 1, "a", 1.0)]), Applied),
                (set(&[], &[route("r", 2, "a", 1.0)]), Applied),
                (
                    json!({"deliver": {"depots": [{"depot": "y.example", "lanes": [route("r", 1, "a", 1.0)]}]}}),
                    Conflict,
                ),
                (set(&[], &[route("r", 1, "a", 1.0)]), Unchanged),
            ],
        ),
        (
            "members, and one name used by several kinds",
            vec![
                (member(1, "k1"), Applied),
                (member(2, "k2"), Applied),
                (member(1, "k3"), Conflict),
                (member(1, "k1"), Unchanged),
                (withdrawal("members", "ana", 3), Applied),
                (member(2, "k2"), Unchanged),
                (member(3, "k2"), Conflict),
                (set(&[destination("ana", 1, "/x")], &[route("ana", 1, "ana", 1.0)]), Applied),
            ],
        ),
    ];
    for (name, calls) in cases {
        let mut state = VersionedConfiguration::default();
        for (i, (body, expected)) in calls.into_iter().enumerate() {
            assert_eq!(apply(&mut state, &call(body)), expected, "{name}, call {i}");
            // A decoded state must behave like the original: it is stored on disk and sent between nodes.
            state = bitcode::decode(&bitcode::encode(&state)).unwrap();
        }
    }
}

fn many_withdrawals(from: usize, to: usize, version: u64) -> ConfigurationUpdate {
    let names: Vec<Value> =
        (from..to).map(|i| json!({"name": format!("n{i}"), "edition": version})).collect();
    call(json!({"withdraw": {"routes": names}}))
}

/// Beyond the limit tombstones are removed; the items they withdrew must not come back.
#[test]
fn after_65536_withdrawals_nothing_comes_back() {
    for (list, first, second) in [
        ("destinations", set(&[destination("a", 4, "/x")], &[]), set(&[destination("a", 6, "/y")], &[])),
        ("members", member(4, "k"), member(6, "l")),
    ] {
        let first = call(first);
        let name = if list == "members" { "ana" } else { "a" };
        let named = format!("\"name\":\"{name}\"");
        let mut state = VersionedConfiguration::default();
        assert_eq!(apply(&mut state, &first), Applied);
        assert_eq!(apply(&mut state, &call(withdrawal(list, name, 7))), Applied);
        if list == "members" {
            let names: Vec<Value> =
                (0..MAX_TOMBSTONES).map(|i| json!({"name": format!("n{i}"), "edition": 2})).collect();
            assert_eq!(apply(&mut state, &call(json!({"withdraw": {"members": names}}))), Applied);
        } else {
            assert_eq!(apply(&mut state, &many_withdrawals(0, MAX_TOMBSTONES, 2)), Applied);
        }
        let forgotten = state.clone();
        // Both were accepted: repeats are acknowledged and change nothing.
        assert_eq!(apply(&mut state, &first), Unchanged, "{list}");
        assert_eq!(apply(&mut state, &call(withdrawal(list, name, 7))), Unchanged);
        // An unknown version that is not above the floor may have been withdrawn, so it is a conflict.
        assert_eq!(apply(&mut state, &call(second)), Conflict);
        assert_eq!(state, forgotten);
        assert!(!state.current.to_json().contains(&named));
        // A later version is accepted.
        let later = if list == "members" { member(8, "k") } else { set(&[destination("a", 8, "/x")], &[]) };
        assert_eq!(apply(&mut state, &call(later)), Applied);
        assert!(state.current.to_json().contains(&named));
        assert_eq!(apply(&mut state, &first), Unchanged);
    }
}

/// Few names share the floor of a removed tombstone; the others are accepted at any version.
#[test]
fn one_removed_tombstone_blocks_few_other_names() {
    let mut state = VersionedConfiguration::default();
    assert_eq!(apply(&mut state, &call(withdrawal("routes", "high", u64::MAX))), Applied);
    assert_eq!(apply(&mut state, &many_withdrawals(0, MAX_TOMBSTONES, 1)), Applied);
    let accepted = (0..500).filter(|i| {
        let body = set(&[destination(&format!("d{i}"), 1, "/x")], &[]);
        state.apply(&call(body)).is_ok()
    });
    assert!(accepted.count() >= 480);
}

/// One call supersedes as many items as can be in force: the most recent versions are still known, and repeats of all
/// are acknowledged.
#[test]
fn the_history_is_bounded() {
    let all = |version: u64| {
        let destinations: Vec<Value> =
            (0..MAX_ITEMS).map(|i| destination(&format!("d{i:05}"), version, "/x")).collect();
        call(set(&destinations, &[]))
    };
    let mut state = VersionedConfiguration::default();
    let mut sizes = BTreeSet::new();
    for version in 1..=4 {
        assert_eq!(apply(&mut state, &all(version)), Applied);
        sizes.insert(bitcode::encode(&state.history).len());
    }
    assert!(*sizes.last().unwrap() <= 2 * MAX_SUPERSEDED * 16 + 64, "{sizes:?}");
    let other = |i: usize, version| call(set(&[destination(&format!("d{i:05}"), version, "/y")], &[]));
    assert_eq!(apply(&mut state.clone(), &other(MAX_ITEMS - 1, 3)), Conflict);
    assert_eq!(apply(&mut state.clone(), &other(MAX_ITEMS - MAX_SUPERSEDED, 3)), Conflict);
    for version in 1..=4 {
        assert!(matches!(apply(&mut state.clone(), &all(version)), Applied | Unchanged), "{version}");
    }
}

fn body(items: &[Item]) -> ConfigurationUpdate {
    let select = |route: bool, tombstones: bool| {
        items.iter().filter(move |item| item.0 == route && item.3.is_none() == tombstones)
    };
    let withdrawn = |route| -> Vec<Value> {
        select(route, true).map(|(_, n, v, _)| json!({"name": format!("{n}"), "edition": v})).collect()
    };
    let routes: Vec<Value> = select(true, false)
        .map(|(_, n, v, content)| route(&n.to_string(), *v, &content.unwrap_or_default().to_string(), 1.0))
        .collect();
    let destinations: Vec<Value> = select(false, false)
        .map(|(_, n, v, path)| destination(&n.to_string(), *v, &format!("/{}", path.unwrap_or_default())))
        .collect();
    let mut value = set(&destinations, &routes);
    value["withdraw"] = json!({"routes": withdrawn(true), "destinations": withdrawn(false)});
    call(value)
}

/// A random call; an even first byte repeats an earlier call instead.
type RandomCall = (u8, Vec<(u8, u8)>);

/// Compares the state with the model; returns the numbers of repeats and of conflicts.
fn check_against_model(calls: &[RandomCall]) -> Result<(usize, usize), String> {
    let (mut state, mut model) = (VersionedConfiguration::default(), Model::default());
    let mut sent: Vec<Vec<Item>> = Vec::new();
    let mut accepted: BTreeSet<Vec<Item>> = BTreeSet::new();
    let (mut repeats, mut conflicts) = (0, 0);
    for (selector, items) in calls.iter().take(40) {
        let new_items = || {
            let mut by_name = BTreeMap::new();
            for (bits, content) in items.iter().take(3) {
                let content = Some(content % 4).filter(|c| *c < 3);
                by_name.insert((bits & 1 == 0, (bits >> 1) % 3), (u64::from(bits >> 3) % 5, content));
            }
            by_name.into_iter().map(|((r, n), (v, c))| (r, n, v, c)).collect::<Vec<Item>>()
        };
        let items = match sent.len() {
            n if n > 0 && selector % 2 == 0 => sent[*selector as usize / 2 % n].clone(),
            _ => new_items(),
        };
        let expected = model.apply(&items);
        let outcome = apply(&mut state, &body(&items));
        if outcome != expected {
            return Err(format!("{items:?} after {sent:?}: got {outcome:?}, expected {expected:?}"));
        }
        repeats += usize::from(outcome == Unchanged && !items.is_empty());
        conflicts += usize::from(outcome == Conflict);
        if matches!(outcome, Applied | Unchanged) {
            accepted.insert(items.clone());
        } else if accepted.contains(&items) {
            return Err(format!("{items:?} was accepted and is rejected after {sent:?}"));
        }
        sent.push(items);
        for number in 0..3 {
            let name = number.to_string();
            let destination = state
                .current
                .configuration
                .routes()
                .find(|r| r.name == name)
                .map(|r| r.split[0].name.clone());
            if destination != model.in_force(true, number).map(|content| content.to_string()) {
                return Err(format!("route {number} has destination {destination:?} after {sent:?}"));
            }
            let path = state.current.configuration.destinations().find(|d| d.name == name);
            let path = path.map(|d| d.health_path.clone());
            if path != model.in_force(false, number).map(|content| format!("/{content}")) {
                return Err(format!("destination {number} has path {path:?} after {sent:?}"));
            }
        }
    }
    Ok((repeats, conflicts))
}

#[test]
fn random_calls_and_repeats_match_the_model() {
    let (mut repeats, mut conflicts) = (0, 0);
    let mut rng_state = 1_u64;
    for _ in 0..500 {
        let calls = random_calls(&mut rng_state);
        let (r, c) = check_against_model(&calls).unwrap_or_else(|error| panic!("{error}"));
        repeats += r;
        conflicts += c;
    }
    // The calls must contain enough repeats and conflicts to be meaningful.
    assert!(repeats > 1_000 && conflicts > 1_000, "{repeats} repeats, {conflicts} conflicts");
    bolero::check!().with_type::<Vec<RandomCall>>().with_iterations(500).for_each(|calls| {
        if let Err(error) = check_against_model(calls) {
            panic!("{error}");
        }
    });
}

/// Calls from a linear congruential generator.
fn random_calls(rng_state: &mut u64) -> Vec<RandomCall> {
    let mut byte = || {
        *rng_state =
            rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*rng_state >> 33) as u8
    };
    (0..30).map(|_| (byte(), (0..1 + byte() % 3).map(|_| (byte(), byte())).collect())).collect()
}

#[cfg(feature = "mutants")]
fn detected_error(mutation: Mutation) -> String {
    silvercross_mesh_config::mutation::set_mutation(Some(mutation));
    let mut rng_state = 1;
    let error = (0..2_000).find_map(|_| {
        let calls = random_calls(&mut rng_state);
        // `apply` panics if a rejected call changes the state.
        std::panic::catch_unwind(|| check_against_model(&calls))
            .unwrap_or_else(|_| Err("a rejected call changed the state".to_string()))
            .err()
    });
    silvercross_mesh_config::mutation::set_mutation(None);
    let error = error.unwrap_or_else(|| panic!("{mutation:?} was not detected"));
    println!("{mutation:?}: {error}");
    error
}

#[cfg(feature = "mutants")]
#[test]
fn same_version_of_two_operators_both_accepted_is_caught() {
    assert!(detected_error(Mutation::SameVersionTwice).contains("got Unchanged, expected Conflict"));
    assert!(detected_error(Mutation::SupersededForgotten).contains("expected Conflict"));
}

#[cfg(feature = "mutants")]
#[test]
fn repeat_rejected_after_a_later_change_is_caught() {
    assert!(detected_error(Mutation::RepeatRejected).contains("got Conflict, expected"));
}

#[cfg(feature = "mutants")]
#[test]
fn what_a_rejected_call_leaves_behind_is_caught() {
    assert!(detected_error(Mutation::RejectedCallRemembered).contains("changed the state"));
}

#[cfg(feature = "mutants")]
#[test]
fn a_withdrawn_item_that_comes_back_is_caught() {
    silvercross_mesh_config::mutation::set_mutation(Some(Mutation::TombstonesForgotten));
    let outcome = std::panic::catch_unwind(after_65536_withdrawals_nothing_comes_back);
    silvercross_mesh_config::mutation::set_mutation(None);
    let error = outcome.expect_err("not detected");
    assert!(error.downcast_ref::<String>().is_some_and(|error| error.contains("destinations")));
}
