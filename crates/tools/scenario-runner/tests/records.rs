//! What a fleet holds: every script in simulated time, schedules drawn by seed, and real processes robbed of their disks. Times
//! are in periods of the run; a run that the machine was too busy for is void and played again.
use silvercross_scenario_runner::fleet::{hunt, FleetScript};
use silvercross_scenario_runner::records::{draw::draw, sim};
use std::path::PathBuf;
use std::process::Command;

fn path(name: &str) -> PathBuf {
    PathBuf::from(format!("{}/../../../scenarios/records-{name}.toml", env!("CARGO_MANIFEST_DIR")))
}

fn script(name: &str) -> FleetScript {
    FleetScript::parse(&std::fs::read_to_string(path(name)).expect("there")).expect("good")
}

#[test]
fn each_script_keeps_its_promises_in_simulated_time() {
    for name in [
        "disk",
        "machine-lost",
        "majority-lost",
        "minority-lost",
        "partition",
        "quick",
        "race",
        "replace",
        "restart",
        "slow",
    ] {
        let s = script(name);
        let (f, _) = sim::play(&s, s.seed, None);
        assert!(f.is_good(), "{name}: {:?} {:?}", f.breaches, f.expectations);
    }
}

#[test]
fn drawn_schedules_keep_all_promises_and_equal_seeds_give_equal_histories() {
    let s = script("hunt");
    let broken: Vec<(u64, Vec<String>)> =
        hunt::hunt(&s, 1, 121).into_iter().map(|(seed, f)| (seed, f.breaches)).collect();
    assert!(broken.is_empty(), "{broken:?}");
    let drawn = draw(&s, 7);
    assert_eq!(sim::play(&drawn, 7, None).1, sim::play(&drawn, 7, None).1);
    assert_ne!(sim::play(&drawn, 7, None).1, sim::play(&drawn, 8, None).1);
}

#[test]
fn processes_that_lose_their_disks_lose_nothing_that_was_marked() {
    for _ in 0..3 {
        let mut command = Command::new(env!("CARGO_BIN_EXE_silvercross-scenario-runner"));
        let out = command.arg("run").arg(path("quick")).args(["--mode", "sockets", "--json", "-"]).output();
        let out = out.expect("run");
        let said = String::from_utf8_lossy(&out.stdout).into_owned();
        let why = String::from_utf8_lossy(&out.stderr).into_owned();
        let v: serde_json::Value = serde_json::from_str(&said).unwrap_or_else(|_| panic!("{said}{why}"));
        if v["void"].is_null() {
            assert!(out.status.success(), "{v:#}");
            return;
        }
    }
    panic!("this machine is too busy for any run to count");
}
