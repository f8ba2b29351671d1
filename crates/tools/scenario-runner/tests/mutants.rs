//! The judge is judged: members broken on purpose, each caught by the script that stands for the rule, and by the property
//! meant. Run by `cargo test -p silvercross-scenario-runner --features mutants --test mutants`.
use silvercross_scenario_runner::fleet::{sim, FleetScript};
use silvercross_swim::Mutant;

fn script(name: &str) -> FleetScript {
    let path = format!("{}/../../../scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    FleetScript::parse(&std::fs::read_to_string(path).expect("there")).expect("good")
}

#[test]
fn each_way_to_break_a_member_is_caught_by_its_script() {
    for (mutant, name, property) in [
        (Mutant::NoRefutation, "members-partition", "not_found"),
        (Mutant::IdentityByName, "members-restart", "reborn"),
        (Mutant::DrainsExpire, "members-drain-dark", "drain_lost"),
        (Mutant::FailedNotCounted, "members-partition", "halved"),
    ] {
        let script = script(name);
        let (sound, _) = sim::play_broken(&script, script.seed, None);
        assert!(sound.breaches.is_empty(), "{name}: {:?}", sound.breaches);
        let (broken, _) = sim::play_broken(&script, script.seed, Some(mutant));
        let seen: Vec<&String> = broken.figures.keys().filter(|k| k.starts_with("breaches.")).collect();
        assert!(
            broken.figures.contains_key(&format!("breaches.{property}")),
            "{mutant:?} in {name}: {seen:?}"
        );
    }
}

/// A start that is not counted is not lost for good, since what others hold of it is refuted; but each restart is then a flap,
/// that has to be refuted, and none may be.
#[test]
fn a_start_that_is_not_counted_makes_each_restart_a_flap() {
    let mut script = script("members-restart");
    script.faults.retain(|f| f.at < 90.0);
    script.fleet.length = 90.0;
    let refutations = |mutant| {
        let (f, _) = sim::play_broken(&script, script.seed, mutant);
        f.figures.get("refutations").copied().unwrap_or(0.0)
    };
    assert_eq!(refutations(None), 0.0);
    assert!(refutations(Some(Mutant::IncarnationNotKept)) >= 7.0);
}

/// Two that don't see each other are asked after through others, and nobody so much as suspects them. Without that each suspects the
/// other again and again, and only refutation keeps both in.
#[test]
fn without_others_help_a_single_cut_link_brings_suspicions() {
    let mut script = script("members-one-way");
    script.faults.retain(|f| f.who == [5] && f.to == [6]);
    let suspicions = |mutant| {
        let (f, _) = sim::play_broken(&script, script.seed, mutant);
        f.figures.get("suspicions").copied().unwrap_or(0.0)
    };
    assert_eq!(suspicions(None), 0.0);
    assert!(suspicions(Some(Mutant::NoIndirectProbes)) >= 2.0);
}

/// A third of the fleet is late for as long as the script lasts: the late ones accuse the healthy, and each accusation has to be
/// refuted. A member that doubts itself probes less often and waits longer: it accuses less.
#[test]
fn without_doubt_of_itself_a_late_member_accuses_more() {
    let mut script = script("members-slow-peer");
    script.faults.truncate(1);
    script.faults[0].lasts = Some(150.0);
    let accusations = |mutant| {
        let (f, _) = sim::play_broken(&script, script.seed, mutant);
        f.figures.get("suspicions").copied().unwrap_or(0.0)
    };
    let (sound, broken) = (accusations(None), accusations(Some(Mutant::NoLocalHealth)));
    assert!(broken > 1.5 * sound, "{sound} with doubt, {broken} without");
}
