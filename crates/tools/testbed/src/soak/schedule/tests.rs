//! Schedules bear what the mesh is to bear, and overlap.
use super::*;

#[test]
fn a_schedule_keeps_most_control_machines_and_overlaps() {
    let mut overlapping = 0;
    for seed in 0..200 {
        let drawing =
            Drawing { span: Duration::from_secs(12), machines: 12, control_count: 3, has_links: true };
        let all = draw(seed, &drawing);
        assert_eq!(all, draw(seed, &drawing), "equal seeds, equal schedules");
        let is_planned_end = |fault: &&Fault| fault.kind == FaultKind::Terminate;
        for end in all.iter().filter(is_planned_end) {
            let clashing = all.iter().filter(|other| other.machine == end.machine && overlaps(other, end));
            assert_eq!(clashing.count(), 1, "seed {seed}: {end} and another fault of its machine");
        }
        assert_eq!(all.iter().filter(is_planned_end).count(), 5, "half of the sides, rounded up");
        let faults: Vec<Fault> = all.iter().copied().filter(|fault| !is_planned_end(&fault)).collect();
        for (number, fault) in faults.iter().enumerate() {
            let others: Vec<Fault> = faults.iter().copied().filter(|other| other != fault).collect();
            assert!(fits(fault, &others[..number.min(others.len())], 3), "seed {seed}: {fault}");
            overlapping +=
                usize::from(others.iter().any(|other| other.at < fault.until && fault.at < other.until));
        }
    }
    assert!(overlapping > 1_000, "{overlapping}");
}
