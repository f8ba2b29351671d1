//! The feed against real processes: owners change, nodes are killed, the reader's own node among them.
use serde_json::{json, Value};
use silvercross_testbed::http_connection::call;
use silvercross_testbed::mesh::MeshPlan;
use silvercross_testbed::operator::{patch, Route};
use silvercross_testbed::testbed::{get_json, METRICS_PATH};
use silvercross_testbed::upstream::UpstreamBehaviour;
use silvercross_testbed::{client::RequestKind, program, wait_until, Testbed, WAIT_TIMEOUT};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

struct Follower(Child);

impl Drop for Follower {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Follow at these nodes, into a file.
fn follow(testbed: &Testbed, at: &[usize], to: &Path, more: &[&str]) -> Follower {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvercrossctl"));
    command.args(["events", "--follow", "--json"]).args(more);
    for m in at {
        command.args(["--at", &testbed.mesh.control(*m).to_string()]);
    }
    let out = File::create(to).expect("a file");
    Follower(command.stdin(Stdio::null()).stdout(out).stderr(Stdio::null()).spawn().expect("it runs"))
}

fn lines(path: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    // The last line may be on its way.
    let whole = text.rfind('\n').map_or("", |end| &text[..=end]);
    whole.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
}

fn number(place: &Value) -> (u64, u64, u64, bool) {
    let text = place.as_str().unwrap_or_default();
    let mut parts = text.trim_end_matches('!').split('.').map(|p| p.parse::<u64>().unwrap_or(0));
    let mut next = || parts.next().unwrap_or(0);
    (next(), next(), next(), text.ends_with('!'))
}

/// Nothing twice; in order; what was skipped is told.
fn check_events(all: &[Value]) -> BTreeMap<String, Value> {
    let mut last: BTreeMap<String, Value> = BTreeMap::new();
    for event in all.iter().filter(|l| l["key"].is_string()) {
        let key = event["key"].as_str().unwrap_or_default().to_string();
        if let Some(before) = last.get(&key) {
            let (a, b) = (number(&before["place"]), number(&event["place"]));
            assert!(a < b, "{key}: {before} then {event}");
            assert!(event["after"].is_string(), "as if nothing had been told: {event}");
            let (p, missed) = (number(&event["after"]), event["missed"].as_u64());
            if (p.0, p.1) == (b.0, b.1) {
                assert_eq!(missed.map(|m| m.min(b.2 - p.2)), missed, "{event}");
            }
            if key.starts_with("item/") {
                let skipped = b.2 - a.2 - 1;
                assert!(missed.unwrap_or(skipped) >= skipped, "untold editions: {before} then {event}");
            }
            assert!(missed != Some(0) || before["state"] != event["state"], "twice: {event}");
        }
        last.insert(key, event.clone());
    }
    last
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_goes_from_node_to_node_without_a_gap_untold() {
    let program = program::find().expect("the program is built");
    let plan = MeshPlan { arguments: vec!["--feed"], ..MeshPlan::default() };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let side = testbed.mesh.side_machines().start;
    let path = testbed.mesh.dir().join("events");
    let _reader = follow(&testbed, &[side, side + 1, 0], &path, &[]);
    wait_until("the feed is there", WAIT_TIMEOUT, || std::future::ready(lines(&path).len() > 10))
        .await
        .expect("lines");

    let route = Route::of("bakery", RequestKind::Safe);
    let has = |all: &[Value], key: &str, so: &dyn Fn(&Value) -> bool| {
        all.iter().any(|e| e["key"] == key && so(&e["state"]))
    };
    for edition in 2..=12u64 {
        let mut other = route.clone();
        other.name = format!("r-extra-{}", edition % 3);
        other.path_prefix = format!("/extra-{}/", edition % 3);
        testbed
            .operator
            .patch(&patch(&[route.clone(), other], &[], edition).clone())
            .await
            .expect("acknowledged");
        match edition {
            // The reader's node goes; then the one that it went to stands still; then an owner is lost.
            4 => testbed.mesh.kill(side).expect("killed"),
            6 => testbed.mesh.freeze(side + 1).expect("frozen"),
            7 => testbed.mesh.kill(1).expect("killed"),
            8 => testbed.mesh.thaw(side + 1).expect("thawed"),
            9 => testbed.mesh.start(side, false).expect("started"),
            10 => testbed.mesh.start(1, false).expect("started"),
            _ => {}
        }
        if edition == 5 {
            let key = format!("node/{}", testbed.mesh.machines[side].address);
            wait_until("gone is told", WAIT_TIMEOUT, || {
                std::future::ready(has(&lines(&path), &key, &|s| s["is"] == "gone"))
            })
            .await
            .expect("told");
        }
    }
    // An upstream leaves, a name is dropped, a zone is evacuated, a call is refused.
    let upstream = testbed.upstreams.remove(&(side + 2)).expect("there");
    assert!(upstream.drain().await);
    assert!(upstream.sign_off().await);
    testbed.operator.patch(&patch(&[], &["r-extra-0"], 20)).await.expect("acknowledged");
    let zone = testbed.mesh.machines[side].zone.clone();
    testbed.operator.set_evacuated(&zone, true).await.expect("acknowledged");
    let upstream = format!("upstream/{}", testbed.mesh.machines[side + 2].address);
    let evacuation = format!("evacuation/{zone}");
    let node = format!("node/{}", testbed.mesh.machines[side].address);
    let end = wait_until("all of it is told", WAIT_TIMEOUT * 2, || {
        let all = lines(&path);
        let so = has(&all, "item/route/r-extra-0", &|s| s["set"] == false)
            && has(&all, "item/route/r-bakery-safe", &|s| s["edition"] == 12)
            && has(&all, &upstream, &|s| s["is"] == "none")
            && has(&all, &evacuation, &|s| s["on"] == true)
            && all
                .iter()
                .rev()
                .find(|e| e["key"] == node.as_str())
                .is_some_and(|e| e["state"]["is"] == "there");
        std::future::ready(so)
    });
    end.await.unwrap_or_else(|e| panic!("{e}: {}", std::fs::read_to_string(&path).unwrap_or_default()));
    // A page at any other node, from nothing, ends in the same states. The reader goes on: an order's key is claimed anew after it.
    for m in [0, side + 3] {
        wait_until("the same states", WAIT_TIMEOUT, || async {
            let said =
                call(testbed.mesh.control(m), "GET", "/-/Post.Events", b"", Duration::from_secs(2)).await;
            let body = said.map(|a| a.body).unwrap_or_default();
            let all: Vec<Value> =
                String::from_utf8_lossy(&body).lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
            let (there, last) = (check_events(&all), check_events(&lines(&path)));
            let same = |(key, e): (&String, &Value)| last.get(key).is_none_or(|l| l["state"] == e["state"]);
            !there.is_empty() && there.iter().all(same)
        })
        .await
        .expect("equal pictures");
    }
    // Refusals are told by the node that refused.
    let body = json!({ "deliver": { "destinations": [{ "name": "bakery", "lineCap": 1, "edition": 1 }] } })
        .to_string();
    let said = call(testbed.mesh.control(0), "POST", "/-/Config.Patch", body.as_bytes(), WAIT_TIMEOUT)
        .await
        .expect("answered");
    assert_eq!(said.status, 409);
    let page = call(testbed.mesh.control(0), "GET", "/-/Post.Events?kind=refused", b"", WAIT_TIMEOUT)
        .await
        .expect("answered");
    assert!(String::from_utf8_lossy(&page.body).contains("stands already"));
    assert_eq!(
        get_json(testbed.mesh.control(0), METRICS_PATH).await["feed"]["followers"].as_u64().map(|n| n <= 1),
        Some(true)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_word_there_is_no_feed() {
    let program = program::find().expect("the program is built");
    let plan = MeshPlan { side_count: 1, services: vec!["bakery".to_string()], ..MeshPlan::default() };
    let testbed = Testbed::start(&plan, UpstreamBehaviour::default(), &program).await.expect("it starts");
    let said =
        call(testbed.mesh.control(0), "GET", "/-/Post.Events", b"", WAIT_TIMEOUT).await.expect("answered");
    assert!(said.status == 404 && String::from_utf8_lossy(&said.body).contains("--feed"));
    assert!(get_json(testbed.mesh.control(0), METRICS_PATH).await["feed"].is_null());
}
