//! A wiped replica is repaired, or a lost one replaced. With another fault at each message and write of that,
//! as far as it has to be tolerated, nothing acknowledged may be lost, and the others have to answer again in
//! time.

mod common;

use common::replacement::{Fault, Replacement};
use silvercross_control_store::*;
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// The operation in progress when the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    /// A replica that has the last change together with the owner only is wiped, and repaired.
    Repair,
    /// That replica is lost permanently, and replaced by the spare node.
    Replacement,
}

/// Runs the operation for this many steps.
fn begin(op: Operation, steps_left: usize) -> Replacement {
    let mut replacement = Replacement::new(false, None);
    match op {
        Operation::Repair => {
            replacement.cluster.isolate(3);
            replacement.cluster.steps_left = Some(steps_left);
            replacement.cluster.wipe(replacement.leaving);
        }
        Operation::Replacement => {
            replacement.cluster.isolate(replacement.leaving);
            replacement.cluster.announce_membership();
            replacement.cluster.advance_by_deadlines(Duration::from_millis(3_900));
            replacement.cluster.steps_left = Some(steps_left);
        }
    }
    let other = (0..3).find(|n| *n != replacement.leaving).expect("another");
    replacement.call(other, 3);
    replacement.cluster.advance_by_deadlines(Duration::from_secs(2));
    replacement
}

/// Whether another permanent loss has to be tolerated: the repaired replica votes, or a majority of the new
/// replica set has that set on disk.
fn tolerates_another_loss(replacement: &Replacement, op: Operation) -> bool {
    match op {
        Operation::Repair => {
            replacement.cluster.stores[replacement.leaving].is_voter()
                && replacement.cluster.disks[replacement.leaving].metadata.is_some()
        }
        Operation::Replacement => {
            let set = replacement.cluster.stores[3].replica_set();
            let at = |n: &Node| {
                replacement.cluster.disks[n.0 as usize].metadata.as_ref().map(|m| m.replica_set.version)
            };
            let have = set.members.iter().filter(|m| at(&m.node) == Some(set.version)).count();
            set.version == 3 && have * 2 > set.members.len()
        }
    }
}

/// How long the others take to answer, if the fault has to be tolerated.
fn time_to_answer_after(op: Operation, step: usize, fault: Fault, target: usize) -> Option<Duration> {
    let mut replacement = begin(op, step);
    let absent = if op == Operation::Repair { 3 } else { replacement.leaving };
    let affected = if op == Operation::Repair { replacement.leaving } else { 3 };
    let is_tolerated = match fault {
        Fault::Lost | Fault::LostAndPowerLoss => tolerates_another_loss(&replacement, op),
        Fault::Wiped => target == affected || tolerates_another_loss(&replacement, op),
        _ => true,
    };
    if target == absent || !is_tolerated {
        return None;
    }
    replacement.cluster.steps_left = None;
    replacement.inject(fault, target);
    let is_absent = matches!(fault, Fault::Lost | Fault::LostAndPowerLoss | Fault::Paused);
    let remaining: Vec<usize> = (0..4).filter(|n| *n != absent && !(is_absent && *n == target)).collect();
    let from = replacement.cluster.now;
    if fault == Fault::Paused {
        // The paused node may be needed for a majority, since another one is already absent.
        replacement.cluster.advance_by_deadlines(Duration::from_secs(1));
        replacement.cluster.paused.clear();
    }
    replacement.time_to_answer(&remaining).expect("no majority answers");
    let after = replacement.cluster.now - from;
    replacement.assert_nothing_lost(&remaining);
    Some(after)
}

#[test]
fn at_each_step_of_a_repair_or_a_replacement_another_fault_is_tolerated() {
    const MANY: usize = 1_000_000;
    let faults =
        [Fault::Nothing, Fault::Lost, Fault::Wiped, Fault::Paused, Fault::PowerLoss, Fault::LostAndPowerLoss];
    for op in [Operation::Repair, Operation::Replacement] {
        let steps = MANY - begin(op, MANY).cluster.steps_left.expect("it is set");
        let mut longest: BTreeMap<Fault, (usize, Duration)> = BTreeMap::new();
        for (step, target) in (0..=steps).flat_map(|s| (0..4).map(move |v| (s, v))) {
            for fault in faults {
                let run = || time_to_answer_after(op, step, fault, target);
                let after = std::panic::catch_unwind(run)
                    .unwrap_or_else(|_| panic!("{op:?}, {fault:?} of {target} at step {step}/{steps}"));
                let Some(after) = after else { continue };
                let known = longest.entry(fault).or_default();
                *known = (known.0 + 1, known.1.max(after));
            }
        }
        println!("{op:?}, {steps} steps; faults, and after how long the others answer at most: {longest:?}");
        for fault in faults {
            let (injected, after) = longest[&fault];
            assert!(
                injected >= 10 && after <= Duration::from_millis(2_500),
                "{op:?}, {fault:?}: {injected}, {after}"
            );
        }
    }
}
