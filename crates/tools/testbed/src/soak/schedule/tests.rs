//! Schedules bear what the mesh is to bear, and overlap.
use super::*;

#[test]
fn a_schedule_keeps_most_control_machines_and_overlaps() {
    let mut overlapping = 0;
    for seed in 0..200 {
        let faults = draw(seed, Duration::from_secs(12), 12, 3);
        assert_eq!(faults, draw(seed, Duration::from_secs(12), 12, 3), "equal seeds, equal schedules");
        for (number, fault) in faults.iter().enumerate() {
            let others: Vec<Fault> = faults.iter().copied().filter(|other| other != fault).collect();
            assert!(fits(fault, &others[..number.min(others.len())], 3), "seed {seed}: {fault}");
            overlapping +=
                usize::from(others.iter().any(|other| other.at < fault.until && fault.at < other.until));
        }
    }
    assert!(overlapping > 1_000, "{overlapping}");
}
