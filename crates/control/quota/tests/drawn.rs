//! Random schedules: leases, quota state and window timer against the reference model.

mod common;

use common::{Totals, World};

/// The seeds to run; `QUOTA_SEEDS=FROM..TO` overrides them.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("QUOTA_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(0..if cfg!(debug_assertions) { 400 } else { 100_000 })
}

#[test]
fn random_schedules_match_the_model() {
    let seeds = seeds();
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(8);
    let workers: Vec<_> = (0..threads)
        .map(|thread| {
            let own_seeds = seeds.clone().filter(move |seed| seed % threads == thread);
            std::thread::spawn(move || {
                let mut sum = Totals::default();
                for seed in own_seeds {
                    let totals =
                        World::new(seed).run().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                    sum.accepted += totals.accepted;
                    sum.rejected += totals.rejected;
                    sum.repeats += totals.repeats;
                    sum.owner_changes += totals.owner_changes;
                    sum.faults += totals.faults;
                    sum.lost_leases += totals.lost_leases;
                    sum.checked_exactly += totals.checked_exactly;
                }
                sum
            })
        })
        .collect();
    let totals: Vec<Totals> =
        workers.into_iter().map(|worker| worker.join().expect("no schedule fails")).collect();
    let sum = |field: fn(&Totals) -> u64| totals.iter().map(field).sum::<u64>();
    println!(
        "{} schedules: {} accepted, {} rejected, {} known repeats, {} owner changes, {} faults, {} leases lost, {} checked exactly",
        seeds.end - seeds.start,
        sum(|t| t.accepted),
        sum(|t| t.rejected),
        sum(|t| t.repeats),
        sum(|t| t.owner_changes),
        sum(|t| t.faults),
        sum(|t| t.lost_leases),
        sum(|t| t.checked_exactly)
    );
    // The schedules must contain enough rejections, owner changes, lost leases and exact checks to be meaningful.
    for (count, min) in [
        (sum(|t| t.rejected), 100),
        (sum(|t| t.owner_changes), 50),
        (sum(|t| t.lost_leases), 20),
        (sum(|t| t.checked_exactly), 20),
    ] {
        assert!(count >= min || seeds.end - seeds.start < 400);
    }
}
