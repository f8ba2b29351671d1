//! Drawn schedules: the real purses, count and clerk against the slow plain counter.

mod common;

use common::{Told, World};

/// `FRANKING_SEEDS=FROM..TO` repeats or widens the search.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("FRANKING_SEEDS").ok().and_then(|s| {
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
                let mut sum = Told::default();
                for seed in mine {
                    let told = World::new(seed).run().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                    sum.accepted += told.accepted;
                    sum.refused += told.refused;
                    sum.repeats += told.repeats;
                    sum.owners += told.owners;
                    sum.faults += told.faults;
                    sum.lost_parts += told.lost_parts;
                    sum.exact += told.exact;
                }
                sum
            })
        })
        .collect();
    let told: Vec<Told> = parts.into_iter().map(|part| part.join().expect("no schedule fails")).collect();
    let sum = |of: fn(&Told) -> u64| told.iter().map(of).sum::<u64>();
    println!(
        "{} schedules: {} accepted, {} refused, {} known repeats, {} owners changed, {} faults, {} parts lost, {} exact",
        seeds.end - seeds.start,
        sum(|t| t.accepted),
        sum(|t| t.refused),
        sum(|t| t.repeats),
        sum(|t| t.owners),
        sum(|t| t.faults),
        sum(|t| t.lost_parts),
        sum(|t| t.exact)
    );
    // A search in which nothing was at stake would prove nothing.
    for (what, least) in [
        (sum(|t| t.refused), 100),
        (sum(|t| t.owners), 50),
        (sum(|t| t.lost_parts), 20),
        (sum(|t| t.exact), 20),
    ] {
        assert!(what >= least || seeds.end - seeds.start < 400);
    }
}
