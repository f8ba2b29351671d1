//! The scenarios in simulated time: each holds what it expects, and a run repeats to the byte.
use silvercross_emulator::baselines::NAMED;
use silvercross_emulator::script::Script;
use silvercross_emulator::virtual_time::play;
use silvercross_emulator::Policy;

fn all() -> Vec<Script> {
    let folder = format!("{}/../../../scenarios", env!("CARGO_MANIFEST_DIR"));
    let mut paths: Vec<_> =
        std::fs::read_dir(folder).expect("a folder").map(|e| e.expect("an entry").path()).collect();
    paths.sort();
    // Those of a fleet of processes are played by the rehearsal's own tests.
    paths.retain(|p| !std::fs::read_to_string(p).expect("text").contains("[fleet]"));
    let read = |p: &std::path::PathBuf| {
        let script = Script::parse(&std::fs::read_to_string(p).expect("text")).expect("a good script");
        assert_eq!(Some(script.name.as_str()), p.file_stem().and_then(|s| s.to_str()));
        script
    };
    paths.iter().map(read).collect()
}

#[test]
fn each_scenario_holds_what_it_expects() {
    for script in all() {
        let mut f = play(&script, script.seed, Policy::Module);
        if script.sidecars() < 100 {
            let worth = NAMED.map(|(name, pick)| {
                (name.to_string(), play(&script, script.seed, Policy::Plain(pick)).served_worth)
            });
            f.baselines = worth.into_iter().collect();
            f.expect(&script.expects);
        }
        assert!(f.is_good(), "{}: {:?} {:?} {:?}", script.name, f.rules, f.breaches, f.expectations);
    }
}

#[test]
fn equal_seeds_give_equal_bytes_and_others_do_not() {
    let script = all().into_iter().find(|s| s.name == "sidecars-die").expect("there");
    let bytes = |seed| serde_json::to_vec(&play(&script, seed, Policy::Module)).expect("JSON");
    assert_eq!(bytes(3), bytes(3));
    assert_ne!(bytes(3), bytes(4));
}
