//! The feed against real processes: owners change, nodes are killed, the reader's own node among them.
use serde_json::{json, Value};
use silvercross_testbed::line::call;
use silvercross_testbed::mesh::Plan;
use silvercross_testbed::operator::{patch, Route};
use silvercross_testbed::station::Manner;
use silvercross_testbed::village::{told, LIMIT};
use silvercross_testbed::{client::Kind, program, until, Village};
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
fn follow(v: &Village, at: &[usize], to: &Path, more: &[&str]) -> Follower {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silvercrossctl"));
    command.args(["events", "--follow", "--json"]).args(more);
    for m in at {
        command.args(["--at", &v.mesh.control(*m).to_string()]);
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
fn judge(all: &[Value]) -> BTreeMap<String, Value> {
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
                let told = b.2 - a.2 - 1;
                assert!(missed.unwrap_or(told) >= told, "untold editions: {before} then {event}");
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
    let plan = Plan { words: vec!["--feed"], ..Plan::default() };
    let mut v = Village::open(&plan, Manner::default(), &program).await.expect("it starts");
    let side = v.mesh.sides().start;
    let path = v.mesh.dir().join("events");
    let _reader = follow(&v, &[side, side + 1, 0], &path, &[]);
    until("the feed is there", LIMIT, || std::future::ready(lines(&path).len() > 10)).await.expect("lines");

    let route = Route::of("bakery", Kind::Safe);
    let has = |all: &[Value], key: &str, so: &dyn Fn(&Value) -> bool| {
        all.iter().any(|e| e["key"] == key && so(&e["state"]))
    };
    for edition in 2..=12u64 {
        let mut other = route.clone();
        other.name = format!("r-extra-{}", edition % 3);
        other.lane = format!("/extra-{}/", edition % 3);
        v.operator.patch(&patch(&[route.clone(), other], &[], edition).clone()).await.expect("acknowledged");
        match edition {
            // The reader's node goes; then the one that it went to stands still; then an owner is lost.
            4 => v.mesh.kill(side).expect("killed"),
            6 => v.mesh.freeze(side + 1).expect("frozen"),
            7 => v.mesh.kill(1).expect("killed"),
            8 => v.mesh.thaw(side + 1).expect("thawed"),
            9 => v.mesh.start(side, false).expect("started"),
            10 => v.mesh.start(1, false).expect("started"),
            _ => {}
        }
        if edition == 5 {
            let key = format!("node/{}", v.mesh.machines[side].ip);
            until("gone is told", LIMIT, || {
                std::future::ready(has(&lines(&path), &key, &|s| s["is"] == "gone"))
            })
            .await
            .expect("told");
        }
    }
    // An upstream leaves, a name is dropped, a zone is evacuated, a call is refused.
    let station = v.stations.remove(&(side + 2)).expect("there");
    assert!(station.drain().await);
    assert!(station.sign_off().await);
    v.operator.patch(&patch(&[], &["r-extra-0"], 20)).await.expect("acknowledged");
    let zone = v.mesh.machines[side].zone.clone();
    v.operator.evacuate(&zone, true).await.expect("acknowledged");
    let upstream = format!("upstream/{}", v.mesh.machines[side + 2].ip);
    let evacuation = format!("evacuation/{zone}");
    let node = format!("node/{}", v.mesh.machines[side].ip);
    let end = until("all of it is told", LIMIT * 2, || {
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
    let last = judge(&lines(&path));

    // A page at any other node, from nothing, ends in the same states.
    for m in [0, side + 3] {
        until("the same states", LIMIT, || async {
            let said = call(v.mesh.control(m), "GET", "/-/Post.Events", b"", Duration::from_secs(2)).await;
            let body = said.map(|a| a.body).unwrap_or_default();
            let all: Vec<Value> =
                String::from_utf8_lossy(&body).lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
            let there = judge(&all);
            let same = |(key, e): (&String, &Value)| last.get(key).is_none_or(|l| l["state"] == e["state"]);
            !there.is_empty() && there.iter().all(same)
        })
        .await
        .expect("equal pictures");
    }
    // Refusals are told by the node that refused.
    let body = json!({ "deliver": { "destinations": [{ "name": "bakery", "lineCap": 1, "edition": 1 }] } })
        .to_string();
    let said =
        call(v.mesh.control(0), "POST", "/-/Config.Patch", body.as_bytes(), LIMIT).await.expect("answered");
    assert_eq!(said.status, 409);
    let page =
        call(v.mesh.control(0), "GET", "/-/Post.Events?kind=refused", b"", LIMIT).await.expect("answered");
    assert!(String::from_utf8_lossy(&page.body).contains("stands already"));
    assert_eq!(
        told(v.mesh.control(0), "/-/Post.Figures").await["feed"]["followers"].as_u64().map(|n| n <= 1),
        Some(true)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_word_there_is_no_feed() {
    let program = program::find().expect("the program is built");
    let plan = Plan { side: 1, services: vec!["bakery".to_string()], ..Plan::default() };
    let v = Village::open(&plan, Manner::default(), &program).await.expect("it starts");
    let said = call(v.mesh.control(0), "GET", "/-/Post.Events", b"", LIMIT).await.expect("answered");
    assert!(said.status == 404 && String::from_utf8_lossy(&said.body).contains("--feed"));
    assert!(told(v.mesh.control(0), "/-/Post.Figures").await["feed"].is_null());
}
