//! Random schedules in simulated time, checked against a plain model.

mod common;

use common::simulation::{machine_count, Report, Simulation};
use std::collections::BTreeMap;

fn run(seed: u64) -> Report {
    match Simulation::new(seed, machine_count(seed), None).run() {
        Ok(report) => report,
        Err(why) => panic!("seed {seed}: {why}"),
    }
}

#[test]
fn drawn_schedules_lose_nothing() {
    bolero::check!().with_iterations(300).with_type::<u64>().for_each(|seed| {
        run(*seed);
    });
}

fn run_replacing(seed: u64) -> Report {
    let replicas = if seed.is_multiple_of(5) { 5 } else { 3 };
    let mut simulation = Simulation::with_spares(seed, replicas, 1 + (seed % 3) as usize, None);
    simulation.full_disks = std::env::var_os("FULL_DISKS").is_some();
    match simulation.run() {
        Ok(report) => report,
        Err(why) => panic!("seed {seed}: {why}"),
    }
}

#[test]
fn drawn_schedules_with_replacements_lose_nothing() {
    let mut changes = 0;
    for seed in 0..60 {
        changes += run_replacing(seed).replica_sets;
    }
    assert!(changes >= 40, "{changes} changes of the replica set");
}

/// With permanent losses and replacements if REPLACEMENTS is set, with full disks if FULL_DISKS is.
/// `SCHEDULES=20000 FROM=0 cargo test --release -p silvercross-control-store --test simulation -- --ignored
/// --nocapture`
#[test]
#[ignore = "runs the number of schedules in SCHEDULES"]
fn many_schedules_lose_nothing() {
    let number = |name: &str, or| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (from, count) = (number("FROM", 0), number("SCHEDULES", 2_000));
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get() as u64);
    let set = |name: &str| std::env::var_os(name).is_some();
    let run = match (set("REPLACEMENTS"), set("FULL_DISKS")) {
        (true, _) => run_replacing,
        (_, true) => run_filling,
        _ => run,
    };
    let work = |thread: u64| {
        let mut reports = Vec::new();
        for seed in (from..from + count).filter(|seed| seed % threads == thread) {
            reports.push(std::panic::catch_unwind(|| run(seed)).unwrap_or_else(|_| panic!("seed {seed}")));
        }
        reports
    };
    let reports: Vec<Report> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|t| scope.spawn(move || work(t))).collect();
        workers.into_iter().flat_map(|w| w.join().expect("a schedule failed")).collect()
    });
    let sum = |get: fn(&Report) -> u64| reports.iter().map(get).sum::<u64>();
    let mut faults: BTreeMap<&str, u64> = BTreeMap::new();
    for report in &reports {
        for (name, count) in &report.faults {
            *faults.entry(name).or_default() += count;
        }
    }
    println!(
        "{} schedules: {} calls, {} committed, {} rejected, {} unknown, {} reads, {} ownerships taken, {} messages with lost disks, {} replica sets, \
         faults {:?}, {} of them with a call open; settled at most {} after the heal",
        reports.len(),
        sum(|r| r.calls),
        sum(|r| r.committed),
        sum(|r| r.rejected),
        sum(|r| r.unknown),
        sum(|r| r.reads),
        sum(|r| r.ownerships_taken),
        sum(|r| r.stale_incarnations),
        sum(|r| r.replica_sets),
        faults,
        sum(|r| r.faults_with_open_calls),
        reports.iter().map(|r| r.settled_in).max().unwrap_or_default(),
    );
}

fn run_filling(seed: u64) -> Report {
    let mut simulation = Simulation::new(seed, machine_count(seed), None);
    simulation.full_disks = true;
    simulation.run().unwrap_or_else(|why| panic!("seed {seed}: {why}"))
}

#[test]
fn drawn_schedules_with_full_disks_lose_nothing() {
    let (mut full, mut committed) = (0, 0);
    for seed in 0..250 {
        let report = run_filling(seed);
        full += report.faults.get("full").copied().unwrap_or(0);
        committed += report.committed;
    }
    assert!(full >= 400 && committed >= 4_000, "{full} disks full, {committed} changes committed");
}

/// Regressions: a snapshot that was not needed was offered repeatedly, and a replica that received the same
/// append twice did not ask for the changes after it.
#[test]
fn schedules_that_once_failed_lose_nothing() {
    run(5_001_061);
    run_replacing(8_003_297);
}
