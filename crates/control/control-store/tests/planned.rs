//! A replica is replaced in plan: it says that it stops and is replaced while it is still there. At each message and each write
//! of that something else goes wrong: nothing that was acknowledged is lost, and the others answer again in time.

mod common;

use common::bench::{others, Bench};
use common::case::{Blow, Case};
use silvercross_control_store::*;
use std::collections::BTreeMap;

fn steps(owner_leaves: bool, broken: Option<Mutation>) -> usize {
    const MANY: usize = 1_000_000;
    let mut case = Case::new(owner_leaves, broken);
    case.b.fuse = Some(MANY);
    case.leave();
    MANY - case.b.fuse.take().expect("it is set")
}

/// Strikes at one step of a planned replacement; after how long the others answer, if they are to.
fn struck(
    owner_leaves: bool,
    step: usize,
    blow: Blow,
    victim: usize,
    broken: Option<Mutation>,
) -> Option<Micros> {
    let mut case = Case::new(owner_leaves, broken);
    case.b.fuse = Some(step);
    case.leave();
    case.b.fuse = None;
    let ends = blow == Blow::LostAsTheLeaverEnds;
    if ends && (case.b.ledgers[case.leaver].still_needed() || victim == case.leaver) {
        return None;
    }
    case.strike(blow, victim);
    let left = |n: &usize| (blow == Blow::Nothing || *n != victim) && !(ends && *n == case.leaver);
    let there: Vec<usize> = (0..4).filter(left).collect();
    let after = case.answers_after(&there).expect("no majority answers");
    case.whole(&there);
    if step.is_multiple_of(16) && !ends {
        comes_to_rest(&mut case, blow, victim);
    }
    Some(after)
}

/// All is whole again but for what is lost, and one more may go.
fn comes_to_rest(case: &mut Case, blow: Blow, victim: usize) {
    case.b.go(3_000_000);
    case.b.frozen.clear();
    case.b.go(4_000_000);
    if blow == Blow::Ends {
        case.b.cut.clear();
        case.b.restart(victim);
    }
    // The leaver starts again with the disk that it had.
    if !matches!(blow, Blow::Lost | Blow::LostAndPower) || victim != case.leaver {
        case.b.restart(case.leaver);
    }
    case.b.go(8_000_000);
    let lost = matches!(blow, Blow::Lost | Blow::LostAndPower).then_some(victim);
    let there: Vec<usize> = (0..4).filter(|n| Some(*n) != lost).collect();
    let set = case.b.ledgers[there[0]].replica_set().clone();
    assert!(!set.joint() && there.iter().all(|n| *case.b.ledgers[*n].replica_set() == set), "{set:?}");
    let members: Vec<usize> = set.members.iter().map(|m| m.0 .0 as usize).collect();
    assert!(members.iter().all(|n| there.contains(n) && case.b.ledgers[*n].is_voter()), "{set:?}, {lost:?}");
    case.whole(&there);
    case.b.part(members[0]);
    case.b.go(1_000_000);
    case.whole(&members[1..]);
}

const BLOWS: [Blow; 7] = [
    Blow::Nothing,
    Blow::Lost,
    Blow::Wiped,
    Blow::Frozen,
    Blow::LostAndPower,
    Blow::LostAsTheLeaverEnds,
    Blow::Ends,
];

/// All blows at all steps: how many, and after how long the others answer at most, by blow.
fn all_struck(blows: &[Blow], broken: Option<Mutation>) -> (usize, BTreeMap<Blow, Micros>) {
    let mut longest = BTreeMap::new();
    let mut all = 0;
    for owner_leaves in [false, true] {
        let steps = steps(owner_leaves, broken);
        assert!(steps > 60, "{steps} messages and writes");
        let at = (0..=steps).flat_map(|s| (0..4).map(move |v| (s, v)));
        for ((step, victim), blow) in at.flat_map(|at| blows.iter().map(move |blow| (at, *blow))) {
            if blow == Blow::Nothing && victim > 0 {
                continue;
            }
            let why =
                format!("{blow:?} of {victim} at step {step} of {steps}, the owner leaves: {owner_leaves}");
            let run = || struck(owner_leaves, step, blow, victim, broken);
            let after = std::panic::catch_unwind(run).unwrap_or_else(|_| panic!("{why}"));
            let Some(after) = after else { continue };
            let known: &mut Micros = longest.entry(blow).or_default();
            *known = after.max(*known);
            all += 1;
        }
    }
    (all, longest)
}

#[test]
fn at_each_step_of_a_planned_replacement_one_machine_may_go() {
    let (all, longest) = all_struck(&BLOWS, None);
    println!("{all} strikes; the others answer after, at most, in us: {longest:?}");
    for blow in BLOWS {
        let most = match blow {
            Blow::Nothing => 0,
            // A frozen owner is not told.
            Blow::Frozen => 1_000_000,
            _ => 700_000,
        };
        assert!(longest[&blow] <= most, "{blow:?}: {} us", longest[&blow]);
    }
}

#[cfg(feature = "mutants")]
#[test]
#[should_panic(expected = "LostAsTheLeaverEnds")]
fn a_leaver_that_ends_before_the_others_stand_is_caught() {
    all_struck(&[Blow::LostAsTheLeaverEnds], Some(Mutation::StopsBeforeReplicaSetInForce));
}

/// The newcomer's disk syncs nothing, so it is never repaired. Whether the leaver may end all the same, and after how long
/// those that are left answer when another one is lost for good.
fn newcomer_never_repaired(broken: Option<Mutation>) -> (bool, Option<Micros>) {
    let mut case = Case::new(false, broken);
    case.b.slow_disk.insert(3);
    case.b.leave(case.leaver);
    case.b.go(5_000_000);
    let still_needed = case.b.ledgers[case.leaver].still_needed();
    if !still_needed {
        case.b.part(case.leaver);
    }
    let lost = (0..3).find(|n| *n != case.leaver).expect("another");
    case.b.part(lost);
    let there: Vec<usize> = (0..3).filter(|n| *n != lost && (still_needed || *n != case.leaver)).collect();
    let after = case.answers_after(&there);
    if after.is_some() {
        case.whole(&there);
    }
    (still_needed, after)
}

#[test]
fn a_leaver_stays_until_the_newcomer_is_repaired() {
    let (still_needed, after) = newcomer_never_repaired(None);
    assert!(still_needed && after.is_some_and(|after| after <= 2_500_000), "{still_needed}, {after:?}");
}

#[cfg(feature = "mutants")]
#[test]
fn a_leaver_that_is_dropped_before_the_newcomer_is_repaired_is_caught() {
    assert_eq!(
        newcomer_never_repaired(Some(Mutation::RemovesLeavingReplicaEarly)),
        (false, None),
        "no majority"
    );
}

/// As the leaver is told to stop another replica is lost for good, and the newcomer syncs nothing for so long, so that the change
/// is abandoned. After how long the leaver may end; those that are left then have a majority.
fn newcomer_late(owner_leaves: bool, lost: usize, late: Micros) -> Micros {
    let mut case = Case::new(owner_leaves, None);
    let leaver = case.leaver;
    case.b.slow_disk.insert(3);
    case.b.leave(leaver);
    case.b.part(lost);
    let from = case.b.now;
    case.b.go(late);
    case.b.slow_disk.clear();
    case.b.sync(3);
    while case.b.ledgers[leaver].still_needed() && case.b.now < from + 20_000_000 {
        case.b.go(20_000);
    }
    let after = case.b.now - from;
    case.b.part(leaver);
    let there: Vec<usize> = (0..4).filter(|n| *n != lost && *n != leaver).collect();
    assert!(case.answers_after(&there).is_some(), "no majority once the leaver ended");
    case.whole(&there);
    after
}

#[test]
fn a_leaver_may_end_soon_when_another_is_lost_and_the_newcomer_is_late() {
    for late in [0, 500_000, 1_000_000, 1_500_000, 2_000_000, 2_500_000] {
        for (owner_leaves, lost) in [false, true].into_iter().flat_map(|o| (0..3).map(move |n| (o, n))) {
            if lost == Case::new(owner_leaves, None).leaver {
                continue;
            }
            let after = newcomer_late(owner_leaves, lost, late);
            assert!(after <= late + 1_500_000, "{late} us late, {lost} lost: {after} us");
        }
    }
}

/// The change is given up while another one is lost for good, and the newcomer hears of that late: it says that it is no
/// candidate. Whether the leaver is there all the same, until those that are left have a majority.
fn given_up_unheard(owner_leaves: bool) -> bool {
    let mut case = Case::new(owner_leaves, None);
    let leaver = case.leaver;
    let rest: Vec<usize> = (0..3).filter(|n| *n != leaver).collect();
    case.b.slow_disk.insert(3);
    case.b.leave(leaver);
    assert!(case.b.ledgers[3].replica_set().joint());
    case.b.part(rest[0]);
    let ways = [(leaver, 3), (rest[1], 3)];
    case.b.cut.extend(ways);
    case.b.go(2_500_000);
    assert!(!case.b.ledgers[leaver].replica_set().joint() && case.b.ledgers[3].replica_set().joint());
    let still_needed = case.b.ledgers[leaver].still_needed();
    case.b.cut.retain(|way| !ways.contains(way));
    case.b.slow_disk.clear();
    case.b.sync(3);
    case.b.gossip();
    case.b.go(4_000_000);
    assert!(!case.b.ledgers[leaver].still_needed(), "it may end now");
    case.b.part(leaver);
    assert!(case.answers_after(&[rest[1], 3]).is_some(), "no majority once the leaver ended");
    case.whole(&[rest[1], 3]);
    still_needed
}

#[test]
fn a_leaver_stays_while_the_newcomer_has_not_heard_that_it_was_given_up() {
    assert_eq!([false, true].map(given_up_unheard), [true, true]);
}

/// After how long the leaver may end if another one is lost for good at this step; those that are left then have a majority.
fn lost_before_the_leaver_ends(owner_leaves: bool, step: usize, lost: usize) -> Micros {
    let mut case = Case::new(owner_leaves, None);
    let leaver = case.leaver;
    case.b.fuse = Some(step);
    case.leave();
    case.b.fuse = None;
    case.strike(Blow::Lost, lost);
    let from = case.b.now;
    while case.b.ledgers[leaver].still_needed() && case.b.now < from + 20_000_000 {
        case.b.go(20_000);
    }
    let after = case.b.now - from;
    case.b.part(leaver);
    let there: Vec<usize> = (0..4).filter(|n| *n != lost && *n != leaver).collect();
    assert!(case.answers_after(&there).is_some(), "no majority once the leaver ended");
    case.whole(&there);
    after
}

#[test]
fn a_leaver_may_end_soon_at_whatever_step_another_is_lost() {
    let mut longest = 0;
    for owner_leaves in [false, true] {
        let leaver = Case::new(owner_leaves, None).leaver;
        let steps = steps(owner_leaves, None);
        for (step, lost) in (0..=steps).flat_map(|s| (0..4).map(move |n| (s, n))) {
            if lost != leaver {
                longest = longest.max(lost_before_the_leaver_ends(owner_leaves, step, lost));
            }
        }
    }
    println!("the leaver may end after {longest} us at most");
    assert!(longest <= 2_500_000, "{longest} us");
}

/// The new replica set stands at the newcomer and at one other, which alone have a change; that one is wiped and repaired while
/// the newcomer can't be reached, but the leaver is back on its disk from the middle of the change, like the third. Whether they
/// acknowledge anything, and whether the change is there when the newcomer is back.
fn wiped_when_the_change_is_in_force(broken: Option<Mutation>) -> (bool, bool) {
    let mut case = Case::new(false, broken);
    let leaver = case.leaver;
    let rest: Vec<usize> = (0..3).filter(|n| *n != leaver).collect();
    let (with, third) = (rest[0], rest[1]);
    case.b.leave(leaver);
    assert!(case.b.ledgers[3].is_voter() && case.b.ledgers[leaver].replica_set().joint());
    // The third misses the step to the new replica set, and goes then.
    case.b.slow_disk.insert(third);
    case.b.cut.extend((0..4).filter(|n| *n != third).flat_map(|n| [(n, third), (third, n)]));
    case.b.go(1_500_000);
    assert!(!case.b.ledgers[with].replica_set().joint() && case.b.ledgers[with].is_voter());
    case.call(with, 50);
    case.b.go(1_500_000);
    assert!(case.b.done(50), "{:?}", case.b.answers);
    case.b.slow_disk.clear();
    case.b.disks[with] = StoredState::default();
    for node in 0..4 {
        case.b.part(node);
    }
    for node in [leaver, third, with] {
        case.b.restart_as(node, broken);
    }
    case.b.cut.retain(|(a, b)| *a == 3 || *b == 3);
    case.b.link();
    case.b.gossip();
    case.b.go(3_000_000);
    case.call(third, 51);
    case.b.go(1_000_000);
    let alone = case.b.done(51);
    case.b.cut.clear();
    case.b.link();
    case.b.go(4_000_000);
    (alone, case.read(third).0.contains_key(&50))
}

#[test]
fn who_is_wiped_when_the_change_is_in_force_is_not_repaired_as_of_before() {
    assert_eq!(wiped_when_the_change_is_in_force(None), (false, true));
}

#[cfg(feature = "mutants")]
#[test]
fn a_repair_as_of_before_the_change_is_caught() {
    let broken = Some(Mutation::RepairsUnderOvertakenReplicaSet);
    assert_eq!(wiped_when_the_change_is_in_force(broken), (true, false), "acknowledged and lost");
}

#[test]
fn without_a_spare_one_a_rolling_restart_changes_nothing_and_owners_hand_on_at_once() {
    let (mut b, first) = Bench::settled();
    for node in (0..3).map(|n| (first + n) % 3) {
        b.gossip();
        b.leave(node);
        let owner = b.owner().expect("an owner, at once");
        assert!(owner != node && !b.ledgers[node].still_needed());
        b.go(500_000);
        b.part(node);
        b.call(owner, node as u64, &[(node as u8, 1, 7)]);
        assert!(b.done(node as u64));
        b.cut.clear();
        b.restart(node);
        b.gossip();
        b.go(1_500_000);
    }
    for ledger in &b.ledgers {
        assert_eq!((ledger.replica_set().version, ledger.metrics().replica_sets), (1, 0));
    }
}

/// One of three has the last change with the owner, and starts again on a disk from before that. Whether it finds that out,
/// and whether the change is in force when the owner is lost then.
fn disk_gone_back(broken: Option<Mutation>) -> (u64, bool) {
    let (mut b, owner) = Bench::settled();
    b.broken(broken);
    let (x, y) = others(owner);
    let before = b.disks[x].clone();
    b.cut.insert((owner, y));
    b.call(owner, 1, &[(1, 1, 7)]);
    assert!(b.done(1));
    b.cut.remove(&(owner, y));
    b.disks[x] = before;
    b.restart_as(x, broken);
    let found = b.ledgers[x].metrics().went_back;
    b.part(owner);
    (found, b.read(y, 2).0.contains_key(&1))
}

#[test]
fn a_disk_that_went_back_is_found_out_by_the_owner_and_repaired() {
    assert_eq!(disk_gone_back(None), (1, true));
}

#[cfg(feature = "mutants")]
#[test]
fn a_disk_that_went_back_and_votes_is_caught() {
    assert_eq!(disk_gone_back(Some(Mutation::VotesAfterDiskRollback)), (0, false), "acknowledged and lost");
}

#[test]
fn a_disk_that_went_back_is_as_good_as_empty_until_it_is_repaired() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    let before = b.disks[x].clone();
    b.call(owner, 1, &[(1, 1, 7)]);
    b.cut.insert((y, x));
    b.disks[x] = before;
    for _ in 0..2 {
        // Another start in the middle of the repair changes nothing.
        b.restart(x);
        b.pass(1_000_000);
        assert!(!b.ledgers[x].is_voter());
    }
    b.cut.clear();
    b.pass(1_000_000);
    assert!(b.ledgers[x].is_voter());
    b.part(y);
    b.part(owner);
    b.join(y);
    assert!(b.read(x, 2).0.contains_key(&1));
}

#[test]
fn one_that_is_behind_has_what_was_acknowledged_within_a_second() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.cut.insert((owner, y));
    b.call(owner, 1, &[(1, 1, 7)]);
    b.cut.clear();
    assert!(b.done(1) && b.ledgers[y].key_states()[0].accepted < b.ledgers[x].key_states()[0].accepted);
    b.go(1_000_000);
    assert_eq!(b.ledgers[y].key_states()[0].accepted, b.ledgers[x].key_states()[0].accepted);
}
