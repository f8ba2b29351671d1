//! What operators read off the real program: every key of its state, of its counters and of its members' list, held to the
//! keys that version 0.1.0 told (`data/pages.keys`).
use serde_json::{json, Value};
use silvercross_testbed::client::{Client, Outcome, RequestKind};
use silvercross_testbed::identifiers::attempt_id;
use silvercross_testbed::mesh::MeshPlan;
use silvercross_testbed::testbed::{get_json, METRICS_PATH, STATE_PATH};
use silvercross_testbed::upstream::UpstreamBehaviour;
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::collections::BTreeSet;

/// One line per key: the page, then the path to the key.
const KEYS: &str = include_str!("data/pages.keys");
const PAGES: [&str; 3] = [STATE_PATH, METRICS_PATH, "/-/Members.List"];

/// The paths of all keys in a value; items of a list share one.
fn keys(at: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let path = format!("{at}.{key}");
                keys(&path, value, found);
                found.insert(path);
            }
        }
        Value::Array(list) => list.iter().for_each(|value| keys(&format!("{at}[]"), value, found)),
        _ => {}
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_pages_for_operators_keep_their_keys() {
    let program = program::find().expect("the program is built");
    let testbed = Testbed::start(&MeshPlan::default(), UpstreamBehaviour::default(), &program)
        .await
        .expect("it starts");
    let members = json!({ "deliver": {
        "members": [{ "name": "ana", "key": "k", "plan": "trial", "lapsesInS": 600, "edition": 1 }],
        "membership": { "header": "x-member", "edition": 1 } } });
    testbed.operator.patch(&members).await.expect("acknowledged");
    let side = testbed.mesh.side_machines().start;
    let at = testbed.mesh.control(side);
    wait_until("the member is there", WAIT_TIMEOUT, || async {
        get_json(at, PAGES[2]).await["members"][0]["name"] == "ana"
    })
    .await
    .expect("told");
    // So that services are listed among the counters.
    let mut client = Client::new(testbed.mesh.outbound(side));
    let target = format!("{}x", RequestKind::Safe.path_prefix(&testbed.services()[0]));
    assert!(matches!(client.send(&target, &attempt_id(), b"").await, Outcome::Answer(a) if a.status == 200));

    let mut found = BTreeSet::new();
    // Which control machine owns something differs from run to run.
    for m in testbed.mesh.control_machines().chain([side]) {
        let kind = if m == side { "side" } else { "core" };
        for page in PAGES {
            let value = get_json(testbed.mesh.control(m), page).await;
            assert!(value.is_object(), "{page}: {value}");
            keys(&format!("{kind} {page} "), &value, &mut found);
        }
    }
    let found: String = found.iter().map(|key| format!("{key}\n")).collect();
    let lost: Vec<&str> = KEYS.lines().filter(|key| !found.lines().any(|line| line == *key)).collect();
    assert!(lost.is_empty(), "keys that are no longer told: {lost:#?}");
    assert!(found == KEYS, "keys are told that were not before; all of them:\n{found}");
}
