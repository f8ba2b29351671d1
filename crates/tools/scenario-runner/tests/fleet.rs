//! Fleets: every script of one in simulated time, schedules drawn by seed, and real processes with faults between them. Nothing
//! here asserts this machine's clock: times are in protocol periods of the run, and a run that the machine was too busy for is
//! void and played again.
use silvercross_scenario_runner::fleet::{hunt, sim, FleetScript};
use std::path::PathBuf;
use std::process::Command;

fn folder() -> PathBuf {
    PathBuf::from(format!("{}/../../../scenarios", env!("CARGO_MANIFEST_DIR")))
}

fn script(name: &str) -> FleetScript {
    let text = std::fs::read_to_string(folder().join(format!("{name}.toml"))).expect("there");
    FleetScript::parse(&text).expect("good")
}

#[test]
fn each_script_keeps_its_promises_in_simulated_time() {
    for name in ["crash", "partition", "one-way", "slow-peer", "restart", "strangers", "drain-dark"]
        .map(|n| format!("members-{n}"))
    {
        let mut s = script(&name);
        // Only processes serve requests and count what came to an upstream.
        s.expects.retain(|e| e.figure != "served" && !e.figure.starts_with("drained_late"));
        let f = sim::play(&s, s.seed);
        assert!(f.is_good(), "{name}: {:?} {:?}", f.breaches, f.expectations);
    }
}

#[test]
fn drawn_schedules_keep_all_promises_and_equal_seeds_give_equal_histories() {
    let s = script("members-partition");
    let broken: Vec<(u64, Vec<String>)> =
        hunt::hunt(&s, 1, 81).into_iter().map(|(seed, f)| (seed, f.breaches)).collect();
    assert!(broken.is_empty(), "{broken:?}");
    let drawn = hunt::draw(&s, 7);
    assert_eq!(sim::play_whole(&drawn, 7).1, sim::play_whole(&drawn, 7).1);
    assert_ne!(sim::play_whole(&drawn, 7).1, sim::play_whole(&drawn, 8).1);
}

#[test]
fn what_is_drawn_can_be_written_and_read_again() {
    let drawn = hunt::draw(&script("members-partition"), 12);
    let text = hunt::as_text(&drawn).expect("written");
    assert_eq!(FleetScript::parse(&text).expect("read").faults, drawn.faults);
}

/// Play a script on processes: what the program said, and its figures.
fn on_processes(text: &str, name: &str) -> serde_json::Value {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("written");
    for _ in 0..4 {
        let mut command = Command::new(env!("CARGO_BIN_EXE_silvercross-scenario-runner"));
        let out =
            command.arg("run").arg(&path).args(["--mode", "sockets", "--json", "-"]).output().expect("run");
        let said = String::from_utf8_lossy(&out.stdout).into_owned();
        let why = String::from_utf8_lossy(&out.stderr).into_owned();
        let v: serde_json::Value =
            serde_json::from_str(&said).unwrap_or_else(|_| panic!("{name}: {said}{why}"));
        if v["void"].is_null() {
            assert!(out.status.success(), "{name}: {v:#}");
            return v;
        }
    }
    panic!("{name}: this machine is too busy for any run to count");
}

const FLEET: &str = "[fleet]\nmembers = 5\nperiod_ms = 100.0\ngather = 20.0\nseeds = 2\n";

#[test]
fn processes_agree_after_two_of_five_are_killed_and_one_comes_back_elsewhere() {
    let text = format!(
        "name = \"ci-crash\"\n{FLEET}length = 130.0\n\
         [[fault]]\nat = 3.0\nkind = \"kill\"\nwho = [1, 3]\n\
         [[fault]]\nat = 50.0\nkind = \"start-moved\"\nwho = [3]\n\
         [[expect]]\nfigure = \"view.part\"\nleast = 1.0\n[[expect]]\nfigure = \"agreed_after\"\nmost = 75.0\n"
    );
    let v = on_processes(&text, "ci-crash");
    assert_eq!(v["breaches"], serde_json::json!([]));
}

#[test]
fn processes_cut_in_two_serve_on_keep_a_drain_and_find_each_other_again() {
    let text = format!(
        "name = \"ci-cut\"\n{FLEET}length = 150.0\nrequests_per_s = 5.0\n\
         [[fault]]\nat = 3.0\nkind = \"drain\"\nwho = [0]\n\
         [[fault]]\nat = 20.0\nlasts = 45.0\nkind = \"cut\"\nwho = [0, 1, 2]\nto = [3, 4]\n\
         [[expect]]\nfigure = \"view.part\"\nleast = 1.0\n[[expect]]\nfigure = \"senders.least\"\nleast = 5.0\n\
         [[expect]]\nfigure = \"drained_late.s-0\"\nmost = 0.0\n[[expect]]\nfigure = \"agreed_after\"\nmost = 80.0\n"
    );
    let v = on_processes(&text, "ci-cut");
    assert!(v["figures"]["datagrams_lost"].as_f64().is_some_and(|n| n > 0.0), "no fault met a datagram");
}
