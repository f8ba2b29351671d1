//! A wiped replica is repaired, or one that is gone for good is replaced. At each message and each write of that something else
//! goes wrong, as far as it is to be borne: nothing that was acknowledged is lost, and the others answer again in time.

mod common;

use common::case::{Blow, Case};
use silvercross_control_store::*;
use std::collections::BTreeMap;

/// What is under way when it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Under {
    /// The replica that alone has the last change with the owner is wiped, and repaired.
    Repair,
    /// It is lost for good, and replaced by the spare one.
    Replacement,
}

/// So far as the fuse goes.
fn begin(under: Under, fuse: usize) -> Case {
    let mut case = Case::new(false, None);
    match under {
        Under::Repair => {
            case.b.part(3);
            case.b.fuse = Some(fuse);
            case.b.wipe(case.leaver);
        }
        Under::Replacement => {
            case.b.part(case.leaver);
            case.b.gossip();
            case.b.go(3_900_000);
            case.b.fuse = Some(fuse);
        }
    }
    let other = (0..3).find(|n| *n != case.leaver).expect("another");
    case.call(other, 3);
    case.b.go(2_000_000);
    case
}

/// Whether one more loss for good is to be borne: the repaired one votes, or more than half of the new replica set have it on
/// disk.
fn stands(case: &Case, under: Under) -> bool {
    match under {
        Under::Repair => {
            case.b.ledgers[case.leaver].is_voter() && case.b.disks[case.leaver].metadata.is_some()
        }
        Under::Replacement => {
            let set = case.b.ledgers[3].replica_set();
            let at = |n: &Node| case.b.disks[n.0 as usize].metadata.as_ref().map(|m| m.replica_set.version);
            let have = set.members.iter().filter(|m| at(&m.0) == Some(set.version)).count();
            set.version == 3 && have * 2 > set.members.len()
        }
    }
}

/// After how long the others answer, where it is to be borne.
fn struck(under: Under, step: usize, blow: Blow, victim: usize) -> Option<Micros> {
    let mut case = begin(under, step);
    let absent = if under == Under::Repair { 3 } else { case.leaver };
    let under_way = if under == Under::Repair { case.leaver } else { 3 };
    let borne = match blow {
        Blow::Lost | Blow::LostAndPower => stands(&case, under),
        Blow::Wiped => victim == under_way || stands(&case, under),
        _ => true,
    };
    if victim == absent || !borne {
        return None;
    }
    case.b.fuse = None;
    case.strike(blow, victim);
    let gone = matches!(blow, Blow::Lost | Blow::LostAndPower | Blow::Frozen);
    let there: Vec<usize> = (0..4).filter(|n| *n != absent && !(gone && *n == victim)).collect();
    let from = case.b.now;
    if blow == Blow::Frozen {
        // Until then it may be needed: one is gone already.
        case.b.go(1_000_000);
        case.b.frozen.clear();
    }
    case.answers_after(&there).expect("no majority answers");
    let after = case.b.now - from;
    case.whole(&there);
    Some(after)
}

#[test]
fn at_each_step_of_a_repair_or_a_replacement_the_next_may_strike() {
    const MANY: usize = 1_000_000;
    let blows = [Blow::Nothing, Blow::Lost, Blow::Wiped, Blow::Frozen, Blow::Power, Blow::LostAndPower];
    for under in [Under::Repair, Under::Replacement] {
        let steps = MANY - begin(under, MANY).b.fuse.expect("it is set");
        let mut longest: BTreeMap<Blow, (usize, Micros)> = BTreeMap::new();
        for (step, victim) in (0..=steps).flat_map(|s| (0..4).map(move |v| (s, v))) {
            for blow in blows {
                let run = || struck(under, step, blow, victim);
                let after = std::panic::catch_unwind(run)
                    .unwrap_or_else(|_| panic!("{under:?}, {blow:?} of {victim} at step {step} of {steps}"));
                let Some(after) = after else { continue };
                let known = longest.entry(blow).or_default();
                *known = (known.0 + 1, known.1.max(after));
            }
        }
        println!(
            "{under:?}, {steps} steps; strikes, and after how long the others answer at most: {longest:?}"
        );
        for blow in blows {
            let (strikes, after) = longest[&blow];
            assert!(strikes >= 10 && after <= 2_500_000, "{under:?}, {blow:?}: {strikes}, {after} us");
        }
    }
}
