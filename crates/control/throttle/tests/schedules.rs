//! Random schedules of clock steps, owner changes, partitions, frozen and restarted nodes, and renewals, checked
//! against the reference model.

mod common;

use common::{schedule, Simulation};

#[test]
fn drawn_schedules_agree_with_the_plain_model() {
    bolero::check!().with_type::<(u64, Vec<(u8, u8)>)>().with_iterations(1_000).for_each(
        |(seed, schedule)| {
            let schedule = &schedule[..schedule.len().min(40)];
            let outcome = Simulation::new(*seed, None).run(schedule);
            assert_eq!(outcome, Ok(()), "seed {seed}, {schedule:?}");
        },
    );
}

/// A renewal's lapse reaches a node before its item: the step belongs to the new edition, so it did not decrease.
#[test]
fn a_renewal_known_from_its_lapse_first_is_not_a_decrease() {
    let schedule = [
        (248, 118),
        (10, 184),
        (149, 123),
        (158, 151),
        (43, 19),
        (149, 117),
        (72, 121),
        (190, 23),
        (89, 223),
        (210, 18),
        (107, 183),
        (17, 124),
        (240, 31),
        (3, 17),
        (7, 106),
        (46, 254),
        (79, 175),
        (161, 168),
        (196, 101),
        (186, 180),
        (124, 66),
        (155, 106),
        (166, 135),
        (60, 212),
        (90, 40),
        (253, 218),
        (194, 0),
    ];
    assert_eq!(Simulation::new(15083530161350803441, None).run(&schedule), Ok(()));
}

/// `cargo test -p silvercross-throttle --release --test schedules -- --ignored --nocapture`
#[test]
#[ignore = "minutes without optimisation"]
fn a_hundred_thousand_schedules() {
    const SCHEDULES: u64 = 100_000;
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    let parts: Vec<_> = (0..threads)
        .map(|part| {
            std::thread::spawn(move || {
                let mut counts = (0, 0, 0);
                for seed in (part..SCHEDULES).step_by(threads as usize) {
                    let mut simulation = Simulation::new(seed, None);
                    let outcome = simulation.run(&schedule(seed));
                    assert_eq!(outcome, Ok(()), "seed {seed}");
                    counts = (counts.0 + 1, counts.1 + simulation.begins, counts.2 + simulation.steps);
                }
                counts
            })
        })
        .collect();
    let mut sum = (0, 0, 0);
    for part in parts {
        let counts = part.join().expect("a schedule failed");
        sum = (sum.0 + counts.0, sum.1 + counts.1, sum.2 + counts.2);
    }
    println!("{} schedules, {} lapses begun, {} steps", sum.0, sum.1, sum.2);
    assert_eq!(sum.0, SCHEDULES);
}
