//! The client against a mesh of the real program.
use serde_json::{json, Value};
use silvercross_testbed::mesh::MeshPlan;
use silvercross_testbed::upstream::UpstreamBehaviour;
use silvercross_testbed::{program, wait_until, Testbed, WAIT_TIMEOUT};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

async fn start_testbed() -> Testbed {
    let program = program::find().expect("the program is built");
    Testbed::start(&MeshPlan::default(), UpstreamBehaviour::default(), &program).await.expect("it starts")
}

struct Ran {
    code: i32,
    out: String,
    err: String,
}

fn run(testbed: &Testbed, at: usize, args: &[&str]) -> Ran {
    let said: Output = Command::new(env!("CARGO_BIN_EXE_silvercrossctl"))
        .args(args)
        .args(["--at", &testbed.mesh.control(at).to_string()])
        .output()
        .expect("it runs");
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    Ran { code: said.status.code().unwrap_or(-1), out: text(&said.stdout), err: text(&said.stderr) }
}

fn json_of(ran: &Ran) -> Value {
    serde_json::from_str(&ran.out).unwrap_or_else(|e| panic!("{e}: {} {}", ran.out, ran.err))
}

fn file(testbed: &Testbed, name: &str, text: &str) -> PathBuf {
    let path = testbed.mesh.dir().join(name);
    std::fs::write(&path, text).expect("written");
    path
}

fn named(path: &Path) -> &str {
    path.to_str().expect("plain")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_mesh_is_looked_at_changed_backed_up_and_examined() {
    let mut testbed = start_testbed().await;
    let side = testbed.mesh.side_machines().start;

    // The same is seen from a control node and from a sidecar.
    for at in [0, side] {
        let nodes = run(&testbed, at, &["nodes", "--json"]);
        let list = json_of(&nodes);
        assert_eq!((nodes.code, list.as_array().map(Vec::len)), (0, Some(7)), "{}", nodes.out);
        // Each key has an owner soon after the start.
        wait_until("one owner for each key", WAIT_TIMEOUT, || {
            let ledger = run(&testbed, at, &["ledger", "--json"]);
            std::future::ready(
                ledger.code == 0 && json_of(&ledger)["holders"].as_array().map(Vec::len) == Some(3),
            )
        })
        .await
        .expect("owners");
        assert_eq!(json_of(&run(&testbed, at, &["upstreams", "--json"])).as_array().map(Vec::len), Some(4));
    }
    let table = run(&testbed, 0, &["ledger"]);
    assert!(table.out.contains("configuration") && table.out.contains("owner"), "{}", table.out);
    assert!(run(&testbed, 0, &["routes"]).out.contains("r-bakery-safe"));

    // What is given can be applied, and changes nothing.
    let got = run(&testbed, 0, &["get"]);
    let path = file(&testbed, "all.toml", &got.out);
    let again = run(&testbed, side, &["apply", named(&path), "--json"]);
    assert_eq!(
        (again.code, json_of(&again)["changed"].as_u64()),
        (0, Some(0)),
        "{} {}",
        again.out,
        again.err
    );

    // A change, first dry, then in force everywhere.
    let changed = got.out.replacen("deadline_s = 3", "deadline_s = 2.5", 1).replace("edition = 1\n", "");
    let path = file(&testbed, "changed.toml", &changed);
    let dry = run(&testbed, 0, &["apply", named(&path), "--dry-run"]);
    assert!(dry.code == 0 && dry.out.contains("deadlineS: 3 -> 2.5"), "{} {}", dry.out, dry.err);
    assert_eq!(run(&testbed, 0, &["get"]).out, got.out, "nothing was sent");
    let backup = testbed.mesh.dir().join("backup.json");
    assert_eq!(run(&testbed, 0, &["backup", named(&backup)]).code, 0);
    let applied = run(&testbed, side, &["apply", named(&path)]);
    assert!(
        applied.code == 0 && applied.out.contains("in force at all 7 nodes"),
        "{} {}",
        applied.out,
        applied.err
    );

    // Faults of a file are told whole, with their places, and nothing is sent.
    let bad = "[routes.r-new]\ndepot = \"h\"\nlane = \"x\"\nkind = \"odd\"\ndeadline_s = 1\ndestination = \"none\"\n\
        [destinations.b]\nlinecap = 1\n";
    let refused = run(&testbed, 0, &["apply", named(&file(&testbed, "bad.toml", bad))]);
    assert!(refused.code == 2 && refused.err.contains("bad.toml:8:1"), "{}", refused.err);

    // Another operator is faster, and with other content.
    let late = file(
        &testbed,
        "late.json",
        &json!({ "deliver": { "destinations": [{ "name": "bakery", "lineCap": 7, "edition": 1 }] } })
            .to_string(),
    );
    let lost = run(&testbed, 0, &["apply", named(&late)]);
    assert!(lost.code == 2 && lost.err.contains("not above 1"), "{}", lost.err);

    // Two operators at once, with other content at the same editions: one is told that it was not the one.
    let race: Vec<_> = [(0, 41), (side, 42)]
        .map(|(at, cap)| {
            let text =
                format!("[destinations.bakery]\nline_cap = {cap}\n[destinations.smithy]\nline_cap = {cap}\n");
            let path = file(&testbed, &format!("race-{cap}.toml"), &text);
            let mut command = Command::new(env!("CARGO_BIN_EXE_silvercrossctl"));
            command.args(["apply", named(&path), "--at", &testbed.mesh.control(at).to_string()]);
            (cap, command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it runs"))
        })
        .into_iter()
        .map(|(cap, mut child)| (cap, child.wait().expect("it ends").code()))
        .collect();
    let whole = json_of(&run(&testbed, 0, &["get", "--json"]));
    let caps: Vec<&Value> =
        whole["destinations"].as_array().into_iter().flatten().map(|d| &d["lineCap"]).collect();
    assert_eq!(caps[0], caps[1], "a call is whole: {race:?}");
    for (cap, code) in &race {
        // 0: it stands, or stood until the other read it and went above it; 1: overtaken; 4: refused.
        assert!(matches!(code, Some(0 | 1 | 4)), "{race:?}");
        assert!(
            *caps[0] != json!(cap) || *code == Some(0),
            "what stands was acknowledged: {race:?} {caps:?}"
        );
    }
    assert!(race.iter().any(|(cap, _)| *caps[0] == json!(cap)), "{race:?} {caps:?}");

    // The backup stands again, and what came after it is dropped where that is asked for.
    let more = file(&testbed, "more.toml", "[destinations.inn]\nline_cap = 3\n");
    assert_eq!(run(&testbed, 0, &["apply", named(&more)]).code, 0);
    let back = run(&testbed, 0, &["restore", named(&backup), "--exact"]);
    assert!(back.code == 0 && back.out.contains("- destination inn"), "{} {}", back.out, back.err);
    assert!(back.out.contains("deadlineS: 2.5 -> 3"), "{}", back.out);
    // A name that was dropped comes back above the edition of its drop.
    let whole = run(&testbed, 0, &["get", "--json"]);
    assert!(!whole.out.contains("\"inn\""));

    let zone = testbed.mesh.machines[side].zone.clone();
    assert_eq!(run(&testbed, side, &["evacuate", &zone]).code, 0);
    assert!(run(&testbed, 0, &["doctor"]).out.contains("- evacuated"));
    assert_eq!(run(&testbed, side, &["evacuate", &zone, "--end"]).code, 0);
    assert_eq!(run(&testbed, side, &["evacuate", "nowhere"]).code, 4);

    // The doctor: well, then with an upstream that is gone, a control node that is lost and a sidecar that stands still.
    let well = run(&testbed, 0, &["doctor"]);
    assert_eq!(well.code, 0, "{}", well.out);
    let page = testbed.mesh.dir().join("report.html");
    let report = run(&testbed, 0, &["report", named(&page), "--seconds", "1"]);
    assert!(
        report.code == 0 && std::fs::read_to_string(&page).expect("written").contains("<svg"),
        "{}",
        report.err
    );
    testbed.upstreams.remove(&side);
    testbed.mesh.kill(2).expect("killed");
    testbed.mesh.freeze(side + 1).expect("frozen");
    let mut last = String::new();
    wait_until("the doctor names all three", WAIT_TIMEOUT, || {
        let found = run(&testbed, 0, &["doctor", "--json"]);
        last = found.out;
        let all: Value = serde_json::from_str(&last).unwrap_or(Value::Null);
        let names: Vec<&str> =
            all["findings"].as_array().into_iter().flatten().filter_map(|f| f["name"].as_str()).collect();
        let so = found.code == 1 && ["upstream silent", "gone"].iter().all(|n| names.contains(n));
        std::future::ready(so && names.iter().filter(|n| ["gone", "silent"].contains(n)).count() == 2)
    })
    .await
    .unwrap_or_else(|e| panic!("{e}: {last}"));
    testbed.mesh.thaw(side + 1).expect("thawed");
}
