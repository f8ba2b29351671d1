//! Drawn schedules: the real leases, count and timer against the slow plain counter.

mod common;

use common::{Totals, World};

/// `QUOTA_SEEDS=FROM..TO` repeats or widens the search.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("QUOTA_SEEDS").ok().and_then(|s| {
        let (from, to) = s.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(0..if cfg!(debug_assertions) { 400 } else { 100_000 })
}

#[test]
fn drawn_schedules_keep_to_the_plain_counter() {
    let seeds = seeds();
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(8);
    let parts: Vec<_> = (0..threads)
        .map(|thread| {
            let mine = seeds.clone().filter(move |seed| seed % threads == thread);
            std::thread::spawn(move || {
                let mut sum = Totals::default();
                for seed in mine {
                    let totals = World::new(seed).run().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                    sum.accepted += totals.accepted;
                    sum.rejected += totals.rejected;
                    sum.repeats += totals.repeats;
                    sum.owners += totals.owners;
                    sum.faults += totals.faults;
                    sum.lost_leases += totals.lost_leases;
                    sum.exact += totals.exact;
                }
                sum
            })
        })
        .collect();
    let totals: Vec<Totals> = parts.into_iter().map(|part| part.join().expect("no schedule fails")).collect();
    let sum = |of: fn(&Totals) -> u64| totals.iter().map(of).sum::<u64>();
    println!(
        "{} schedules: {} accepted, {} rejected, {} known repeats, {} owners changed, {} faults, {} leases lost, {} exact",
        seeds.end - seeds.start,
        sum(|t| t.accepted),
        sum(|t| t.rejected),
        sum(|t| t.repeats),
        sum(|t| t.owners),
        sum(|t| t.faults),
        sum(|t| t.lost_leases),
        sum(|t| t.exact)
    );
    // A search in which nothing was at stake would prove nothing.
    for (what, least) in [
        (sum(|t| t.rejected), 100),
        (sum(|t| t.owners), 50),
        (sum(|t| t.lost_leases), 20),
        (sum(|t| t.exact), 20),
    ] {
        assert!(what >= least || seeds.end - seeds.start < 400);
    }
}
