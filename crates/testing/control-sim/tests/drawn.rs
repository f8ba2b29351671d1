//! Drawn schedules of control machines and sidecars, held against a plain map.

use silvercross_control_sim::{run, trace, Report};
use std::collections::BTreeMap;
use std::time::Instant;

fn played(seed: u64) -> Report {
    run(seed, None).unwrap_or_else(|why| panic!("seed {seed}: {why}"))
}

#[test]
fn some_fixed_schedules_break_no_rule() {
    let reports: Vec<Report> = (0..200).map(played).collect();
    let sum = |get: fn(&Report) -> u64| reports.iter().map(get).sum::<u64>();
    assert!(sum(|r| r.acknowledged_past_a_cut) > 100, "calls are acknowledged past a cut");
    assert!(sum(|r| r.repeats_after_done) > 100, "calls are sent again after they were acknowledged");
    assert!(sum(|r| r.replica_sets) > 10, "replicas are replaced");
    assert!(sum(|r| r.met) > 500, "faults meet calls under way");
}

#[test]
fn drawn_schedules_break_no_rule() {
    bolero::check!().with_iterations(100).with_type::<u64>().for_each(|seed| {
        played(*seed);
    });
}

fn print(from: u64, reports: &[Report], broken: &[(u64, String)], began: Instant) {
    let sum = |get: fn(&Report) -> u64| reports.iter().map(get).sum::<u64>();
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    for (name, count) in reports.iter().flat_map(|report| &report.faults) {
        *faults.entry(name).or_default() += count;
    }
    let all = reports.len() + broken.len();
    let (simulated, rested) = (sum(|r| r.simulated as u64), reports.iter().map(|r| r.rested_in).max());
    println!("seeds {from} to {}: {} broke a rule", from + all as u64 - 1, broken.len());
    println!("{:.1} s, {:.1} h simulated", began.elapsed().as_secs_f64(), simulated as f64 / 3.6e9);
    println!(
        "calls {} (sent again {}): done {}, of these again {}, conflicts {}, invalid {}, unsettled {}, unanswered {}; reads {}",
        sum(|r| r.calls),
        sum(|r| r.repeats),
        sum(|r| r.done),
        sum(|r| r.repeats_after_done),
        sum(|r| r.conflicts),
        sum(|r| r.invalid),
        sum(|r| r.unsettled),
        sum(|r| r.unanswered),
        sum(|r| r.reads),
    );
    println!(
        "faults {faults:?}; with a call under way {}, in a joint change {}",
        sum(|r| r.met),
        sum(|r| r.met_joint)
    );
    println!(
        "starts of control machines {}, of sidecars {}; ready fresh {}, by the bound {}, configured {}",
        sum(|r| r.starts[0]),
        sum(|r| r.starts[1]),
        sum(|r| r.ready[0]),
        sum(|r| r.ready[1]),
        sum(|r| r.ready[2]),
    );
    println!(
        "acknowledged past a cut {}, changes of the replica set {}, at rest at most {} us after the heal",
        sum(|r| r.acknowledged_past_a_cut),
        sum(|r| r.replica_sets),
        rested.unwrap_or(0),
    );
}

/// `SCHEDULES=100000 SEED=1000000 cargo test --release -p silvercross-control-sim --test drawn -- --ignored --nocapture`
#[test]
#[ignore = "as many schedules as SCHEDULES says, from SEED, on THREADS threads"]
fn many_schedules_break_no_rule() {
    let number = |name: &str, or| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (from, count, threads) =
        (number("SEED", 0), number("SCHEDULES", 2_000), number("THREADS", 3).clamp(1, 3));
    let began = Instant::now();
    let work = |thread: u64| -> Vec<(u64, Result<Report, String>)> {
        let mine = (from..from + count).filter(|seed| seed % threads == thread);
        mine.map(|seed| {
            let played = std::panic::catch_unwind(|| run(seed, None)).unwrap_or(Err("panicked".to_owned()));
            if let Err(why) = &played {
                println!("seed {seed}: {why}");
            }
            (seed, played)
        })
        .collect()
    };
    let all: Vec<_> = std::thread::scope(|scope| {
        let hands: Vec<_> = (0..threads).map(|thread| scope.spawn(move || work(thread))).collect();
        hands.into_iter().flat_map(|hand| hand.join().expect("it catches what panics")).collect()
    });
    let (mut reports, mut broken) = (Vec::new(), Vec::new());
    for (seed, played) in all {
        match played {
            Ok(report) => reports.push(report),
            Err(why) => broken.push((seed, why)),
        }
    }
    print(from, &reports, &broken, began);
    assert!(broken.is_empty(), "{} of {count} broke a rule", broken.len());
}

/// `SEED=17 cargo test -p silvercross-control-sim --test drawn one_schedule -- --ignored --nocapture`
#[test]
#[ignore = "the schedule of SEED, printed"]
fn one_schedule() {
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(0);
    let played = trace(seed);
    println!("{played:?}");
    assert!(played.is_ok(), "seed {seed}");
}
