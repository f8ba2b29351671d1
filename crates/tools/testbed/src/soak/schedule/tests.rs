//! Schedules bear what the mesh is to bear, and overlap.
use super::*;

#[test]
fn a_schedule_keeps_most_control_machines_and_overlaps() {
    let (mut overlapping, mut signals_at_end) = (0, 0);
    for seed in 0..200 {
        let drawing =
            Drawing { span: Duration::from_secs(12), machines: 12, control_count: 3, has_links: true };
        let all = draw(seed, &drawing);
        assert_eq!(all, draw(seed, &drawing), "equal seeds, equal schedules");
        let is_planned_end = |fault: &&Fault| fault.kind == FaultKind::Terminate;
        for end in all.iter().filter(is_planned_end) {
            let is_ending_signal =
                |fault: &&Fault| matches!(fault.kind, FaultKind::TerminateAgain | FaultKind::ReloadAtEnd);
            let others = all.iter().filter(|other| !is_ending_signal(other));
            let clashing = others.filter(|other| other.machine == end.machine && overlaps(other, end));
            assert_eq!(clashing.count(), 1, "seed {seed}: {end} and another fault of its machine");
        }
        assert_eq!(all.iter().filter(is_planned_end).count(), 5, "half of the sides, rounded up");
        for signal in
            all.iter().filter(|fault| fault.kind.is_mere_signal() && fault.kind != FaultKind::Reload)
        {
            let is_its_end =
                |end: &&Fault| end.machine == signal.machine && end.at <= signal.at && signal.at < end.until;
            let ends: Vec<&Fault> = all.iter().filter(is_planned_end).filter(is_its_end).collect();
            assert_eq!(ends.len(), 1, "seed {seed}: {signal} is for a process that ends");
            signals_at_end += 1;
        }
        let is_drawn_over = |fault: &Fault| !is_planned_end(&fault) && fault.at != fault.until;
        let faults: Vec<Fault> = all.iter().copied().filter(is_drawn_over).collect();
        for (number, fault) in faults.iter().enumerate() {
            let others: Vec<Fault> = faults.iter().copied().filter(|other| other != fault).collect();
            assert!(fits(fault, &others[..number.min(others.len())], 3), "seed {seed}: {fault}");
            overlapping +=
                usize::from(others.iter().any(|other| other.at < fault.until && fault.at < other.until));
        }
    }
    assert!(overlapping > 1_000, "{overlapping}");
    assert!(signals_at_end > 500, "{signals_at_end}");
}

#[test]
fn departures_are_drawn_in_all_kinds_and_kills_clash_with_no_other_fault() {
    let (mut killed_at_once, mut received_elsewhere, mut signing_off) = (0, 0, 0);
    for seed in 0..200 {
        let drawing =
            Drawing { span: Duration::from_secs(12), machines: 12, control_count: 3, has_links: true };
        let faults = draw(seed, &drawing);
        let departures = draw_departures(seed, &drawing, &faults);
        assert_eq!(departures, draw_departures(seed, &drawing, &faults), "equal seeds, equal schedules");
        for departure in &departures {
            let Departure { machine, at, kills, .. } = *departure;
            let of_machine = departures.iter().filter(|other| other.machine == machine);
            assert!(of_machine.count() == 1 && machine >= drawing.control_count, "seed {seed}: {departure}");
            let span = Fault { at, until: at + Duration::from_secs(3), ..Fault::none(machine) };
            let strikes = |fault: &&Fault| {
                fault.machine == machine && fault.at != fault.until && overlaps(fault, &span)
            };
            let is_struck = faults.iter().filter(strikes).any(|fault| !fault.kind.is_mere_signal());
            assert!(kills == 0 || !is_struck, "seed {seed}: {departure}");
            killed_at_once += usize::from(kills > 0 && departure.killed_after == Duration::ZERO);
            received_elsewhere += usize::from(departure.receiver != machine);
            signing_off += usize::from(departure.announcement == Announcement::SignOff);
        }
    }
    assert!(
        killed_at_once > 50 && received_elsewhere > 50 && signing_off > 200,
        "{killed_at_once} {received_elsewhere} {signing_off}"
    );
}
