//! A planned replacement: a replica announces that it is stopping and is replaced while it is still running.
//! With a fault at each of its messages and writes, nothing acknowledged may be lost, and the others have to
//! answer again in time.

mod common;

use common::cluster::{others, Cluster};
use common::replacement::{Fault, Replacement};
use silvercross_control_store::*;
use silvercross_time::Duration;
use std::collections::BTreeMap;

fn steps(owner_leaves: bool, mutation: Option<Mutation>) -> usize {
    const MANY: usize = 1_000_000;
    let mut replacement = Replacement::new(owner_leaves, mutation);
    replacement.cluster.steps_left = Some(MANY);
    replacement.stop_gracefully();
    MANY - replacement.cluster.steps_left.take().expect("it is set")
}

/// Injects a fault at one step of a planned replacement. Returns how long the others take to answer, if the
/// case applies.
fn time_to_answer_after(
    owner_leaves: bool,
    step: usize,
    fault: Fault,
    target: usize,
    mutation: Option<Mutation>,
) -> Option<Duration> {
    let mut replacement = Replacement::new(owner_leaves, mutation);
    replacement.cluster.steps_left = Some(step);
    replacement.stop_gracefully();
    replacement.cluster.steps_left = None;
    let has_left = fault == Fault::LostAsLeavingStops;
    if has_left && (replacement.is_leaving_needed() || target == replacement.leaving) {
        return None;
    }
    replacement.inject(fault, target);
    let is_live =
        |n: &usize| (fault == Fault::Nothing || *n != target) && !(has_left && *n == replacement.leaving);
    let remaining: Vec<usize> = (0..4).filter(is_live).collect();
    let after = replacement.time_to_answer(&remaining).expect("no majority answers");
    replacement.assert_nothing_lost(&remaining);
    if step.is_multiple_of(16) && !has_left {
        check_one_more_loss(&mut replacement, fault, target);
    }
    Some(after)
}

/// After everything but the permanent losses has recovered, another replica may be lost.
fn check_one_more_loss(replacement: &mut Replacement, fault: Fault, target: usize) {
    replacement.cluster.advance_by_deadlines(Duration::from_secs(3));
    replacement.cluster.paused.clear();
    replacement.cluster.advance_by_deadlines(Duration::from_secs(4));
    if fault == Fault::Stops {
        replacement.cluster.cut_links.clear();
        replacement.cluster.restart(target);
    }
    // The leaving replica restarts with its old disk.
    if !matches!(fault, Fault::Lost | Fault::LostAndPowerLoss) || target != replacement.leaving {
        replacement.cluster.restart(replacement.leaving);
    }
    replacement.cluster.advance_by_deadlines(Duration::from_secs(8));
    let lost = matches!(fault, Fault::Lost | Fault::LostAndPowerLoss).then_some(target);
    let remaining: Vec<usize> = (0..4).filter(|n| Some(*n) != lost).collect();
    let set = replacement.cluster.stores[remaining[0]].replica_set().clone();
    assert!(
        !set.is_joint() && remaining.iter().all(|n| *replacement.cluster.stores[*n].replica_set() == set),
        "{set:?}"
    );
    let members: Vec<usize> = set.members.iter().map(|member| member.node.0 as usize).collect();
    assert!(
        members.iter().all(|n| remaining.contains(n) && replacement.cluster.stores[*n].is_voter()),
        "{set:?}, {lost:?}"
    );
    replacement.assert_nothing_lost(&remaining);
    replacement.cluster.isolate(members[0]);
    replacement.cluster.advance_by_deadlines(Duration::from_secs(1));
    replacement.assert_nothing_lost(&members[1..]);
}

const FAULTS: [Fault; 7] = [
    Fault::Nothing,
    Fault::Lost,
    Fault::Wiped,
    Fault::Paused,
    Fault::LostAndPowerLoss,
    Fault::LostAsLeavingStops,
    Fault::Stops,
];

/// Injects each fault at each step. Returns the number of cases, and the longest time to an answer for each
/// fault.
fn inject_everywhere(faults: &[Fault], mutation: Option<Mutation>) -> (usize, BTreeMap<Fault, Duration>) {
    let mut longest = BTreeMap::new();
    let mut count = 0;
    for owner_leaves in [false, true] {
        let steps = steps(owner_leaves, mutation);
        assert!(steps > 60, "{steps} messages and writes");
        let at = (0..=steps).flat_map(|s| (0..4).map(move |v| (s, v)));
        for ((step, target), fault) in at.flat_map(|at| faults.iter().map(move |fault| (at, *fault))) {
            if fault == Fault::Nothing && target > 0 {
                continue;
            }
            let why =
                format!("{fault:?} of {target} at step {step} of {steps}, the owner leaves: {owner_leaves}");
            let run = || time_to_answer_after(owner_leaves, step, fault, target, mutation);
            let after = std::panic::catch_unwind(run).unwrap_or_else(|_| panic!("{why}"));
            let Some(after) = after else { continue };
            let known: &mut Duration = longest.entry(fault).or_default();
            *known = after.max(*known);
            count += 1;
        }
    }
    (count, longest)
}

#[test]
fn at_each_step_of_a_planned_replacement_one_node_may_be_lost() {
    let (count, longest) = inject_everywhere(&FAULTS, None);
    println!("{count} faults; the others answer after, at most: {longest:?}");
    for fault in FAULTS {
        let most = match fault {
            Fault::Nothing => Duration::ZERO,
            // A paused owner's link stays up.
            Fault::Paused => Duration::from_secs(1),
            _ => Duration::from_millis(700),
        };
        assert!(longest[&fault] <= most, "{fault:?}: {}", longest[&fault]);
    }
}

#[cfg(feature = "mutants")]
#[test]
#[should_panic(expected = "LostAsLeavingStops")]
fn a_leaving_replica_that_stops_before_the_others_vote_is_caught() {
    inject_everywhere(&[Fault::LostAsLeavingStops], Some(Mutation::StopsBeforeReplicaSetInForce));
}

/// The joining replica's disk syncs nothing, so it is never repaired. Returns whether the leaving replica is
/// still needed, and how long the remaining ones take to answer after another one is lost permanently.
fn joining_replica_never_repaired(mutation: Option<Mutation>) -> (bool, Option<Duration>) {
    let mut replacement = Replacement::new(false, mutation);
    replacement.cluster.stalled_disks.insert(3);
    replacement.cluster.begin_graceful_stop(replacement.leaving);
    replacement.cluster.advance_by_deadlines(Duration::from_secs(5));
    let still_needed = replacement.is_leaving_needed();
    if !still_needed {
        replacement.cluster.isolate(replacement.leaving);
    }
    let lost = (0..3).find(|n| *n != replacement.leaving).expect("another");
    replacement.cluster.isolate(lost);
    let remaining: Vec<usize> =
        (0..3).filter(|n| *n != lost && (still_needed || *n != replacement.leaving)).collect();
    let after = replacement.time_to_answer(&remaining);
    if after.is_some() {
        replacement.assert_nothing_lost(&remaining);
    }
    (still_needed, after)
}

#[test]
fn a_leaving_replica_stays_until_the_joining_one_is_repaired() {
    let (still_needed, after) = joining_replica_never_repaired(None);
    assert!(
        still_needed && after.is_some_and(|after| after <= Duration::from_millis(2_500)),
        "{still_needed}, {after:?}"
    );
}

#[cfg(feature = "mutants")]
#[test]
fn a_leaving_replica_that_is_removed_before_the_joining_one_is_repaired_is_caught() {
    assert_eq!(
        joining_replica_never_repaired(Some(Mutation::RemovesLeavingReplicaEarly)),
        (false, None),
        "no majority"
    );
}

/// Another replica is lost permanently as the leaving one starts to stop, and the joining replica syncs
/// nothing for a while, so that the replacement is abandoned. Returns when the leaving replica may stop; the
/// remaining ones must have a majority then.
fn joining_replica_late(owner_leaves: bool, lost: usize, late: Duration) -> Duration {
    let mut replacement = Replacement::new(owner_leaves, None);
    let leaving = replacement.leaving;
    replacement.cluster.stalled_disks.insert(3);
    replacement.cluster.begin_graceful_stop(leaving);
    replacement.cluster.isolate(lost);
    let from = replacement.cluster.now;
    replacement.cluster.advance_by_deadlines(late);
    replacement.cluster.stalled_disks.clear();
    replacement.cluster.sync(3);
    replacement.wait_while_leaving_needed(from + Duration::from_secs(20));
    let after = replacement.cluster.now - from;
    replacement.cluster.isolate(leaving);
    let remaining: Vec<usize> = (0..4).filter(|n| *n != lost && *n != leaving).collect();
    assert!(
        replacement.time_to_answer(&remaining).is_some(),
        "no majority after the leaving replica stopped"
    );
    replacement.assert_nothing_lost(&remaining);
    after
}

#[test]
fn a_leaving_replica_may_stop_soon_when_another_is_lost_and_the_joining_one_is_late() {
    for late in [0, 500, 1_000, 1_500, 2_000, 2_500].map(Duration::from_millis) {
        for (owner_leaves, lost) in [false, true].into_iter().flat_map(|o| (0..3).map(move |n| (o, n))) {
            if lost == Replacement::new(owner_leaves, None).leaving {
                continue;
            }
            let after = joining_replica_late(owner_leaves, lost, late);
            assert!(after <= late + Duration::from_millis(1_500), "{late} late, {lost} lost: {after}");
        }
    }
}

/// The replacement is abandoned while another replica is lost permanently, and the joining one learns that
/// late: until then it doesn't offer itself as a candidate. Returns whether the leaving replica keeps running
/// all the same, until the remaining ones have a majority.
fn abandonment_not_yet_known(owner_leaves: bool) -> bool {
    let mut replacement = Replacement::new(owner_leaves, None);
    let leaving = replacement.leaving;
    let rest: Vec<usize> = (0..3).filter(|n| *n != leaving).collect();
    replacement.cluster.stalled_disks.insert(3);
    replacement.cluster.begin_graceful_stop(leaving);
    assert!(replacement.cluster.stores[3].replica_set().is_joint());
    replacement.cluster.isolate(rest[0]);
    let ways = [(leaving, 3), (rest[1], 3)];
    replacement.cluster.cut_links.extend(ways);
    replacement.cluster.advance_by_deadlines(Duration::from_millis(2_500));
    assert!(
        !replacement.cluster.stores[leaving].replica_set().is_joint()
            && replacement.cluster.stores[3].replica_set().is_joint()
    );
    let still_needed = replacement.is_leaving_needed();
    replacement.cluster.cut_links.retain(|way| !ways.contains(way));
    replacement.cluster.stalled_disks.clear();
    replacement.cluster.sync(3);
    replacement.cluster.announce_membership();
    replacement.cluster.advance_by_deadlines(Duration::from_secs(4));
    assert!(!replacement.is_leaving_needed(), "it may stop now");
    replacement.cluster.isolate(leaving);
    assert!(
        replacement.time_to_answer(&[rest[1], 3]).is_some(),
        "no majority after the leaving replica stopped"
    );
    replacement.assert_nothing_lost(&[rest[1], 3]);
    still_needed
}

#[test]
fn a_leaving_replica_stays_while_the_joining_one_has_not_heard_that_the_replacement_was_abandoned() {
    assert_eq!([false, true].map(abandonment_not_yet_known), [true, true]);
}

/// Another replica is lost permanently at this step. Returns when the leaving replica may stop; the remaining
/// ones must have a majority then.
fn lost_before_the_leaving_one_stops(owner_leaves: bool, step: usize, lost: usize) -> Duration {
    let mut replacement = Replacement::new(owner_leaves, None);
    let leaving = replacement.leaving;
    replacement.cluster.steps_left = Some(step);
    replacement.stop_gracefully();
    replacement.cluster.steps_left = None;
    replacement.inject(Fault::Lost, lost);
    let from = replacement.cluster.now;
    replacement.wait_while_leaving_needed(from + Duration::from_secs(20));
    let after = replacement.cluster.now - from;
    replacement.cluster.isolate(leaving);
    let remaining: Vec<usize> = (0..4).filter(|n| *n != lost && *n != leaving).collect();
    assert!(
        replacement.time_to_answer(&remaining).is_some(),
        "no majority after the leaving replica stopped"
    );
    replacement.assert_nothing_lost(&remaining);
    after
}

#[test]
fn a_leaving_replica_may_stop_soon_at_whatever_step_another_is_lost() {
    let mut longest = Duration::ZERO;
    for owner_leaves in [false, true] {
        let leaving = Replacement::new(owner_leaves, None).leaving;
        let steps = steps(owner_leaves, None);
        for (step, lost) in (0..=steps).flat_map(|s| (0..4).map(move |n| (s, n))) {
            if lost != leaving {
                longest = longest.max(lost_before_the_leaving_one_stops(owner_leaves, step, lost));
            }
        }
    }
    println!("the leaving replica may stop after {longest} at most");
    assert!(longest <= Duration::from_millis(2_500), "{longest}");
}

/// Only the joining replica and one other have the new replica set and a change made under it. That other one
/// is wiped and repaired while the joining replica is unreachable, but the leaving replica is back with its
/// disk from the middle of the replacement, like the third one. Returns whether they acknowledge anything,
/// and whether the change is there once the joining replica is back.
fn wiped_after_the_replacement(mutation: Option<Mutation>) -> (bool, bool) {
    let mut replacement = Replacement::new(false, mutation);
    let leaving = replacement.leaving;
    let rest: Vec<usize> = (0..3).filter(|n| *n != leaving).collect();
    let (with, third) = (rest[0], rest[1]);
    replacement.cluster.begin_graceful_stop(leaving);
    assert!(
        replacement.cluster.stores[3].is_voter()
            && replacement.cluster.stores[leaving].replica_set().is_joint()
    );
    // The third replica misses the step to the new replica set.
    replacement.cluster.stalled_disks.insert(third);
    replacement
        .cluster
        .cut_links
        .extend((0..4).filter(|n| *n != third).flat_map(|n| [(n, third), (third, n)]));
    replacement.cluster.advance_by_deadlines(Duration::from_millis(1_500));
    assert!(
        !replacement.cluster.stores[with].replica_set().is_joint()
            && replacement.cluster.stores[with].is_voter()
    );
    replacement.call(with, 50);
    replacement.cluster.advance_by_deadlines(Duration::from_millis(1_500));
    assert!(replacement.cluster.is_committed(50), "{:?}", replacement.cluster.answers);
    replacement.cluster.stalled_disks.clear();
    replacement.cluster.disks[with] = StoredState::default();
    for node in 0..4 {
        replacement.cluster.isolate(node);
    }
    for node in [leaving, third, with] {
        replacement.cluster.restart_with_mutation(node, mutation);
    }
    replacement.cluster.cut_links.retain(|(a, b)| *a == 3 || *b == 3);
    replacement.cluster.link_all();
    replacement.cluster.announce_membership();
    replacement.cluster.advance_by_deadlines(Duration::from_secs(3));
    replacement.call(third, 51);
    replacement.cluster.advance_by_deadlines(Duration::from_secs(1));
    let alone = replacement.cluster.is_committed(51);
    replacement.cluster.cut_links.clear();
    replacement.cluster.link_all();
    replacement.cluster.advance_by_deadlines(Duration::from_secs(4));
    (alone, replacement.read(third).0.contains_key(&50))
}

#[test]
fn a_replica_wiped_after_the_replacement_is_not_repaired_under_the_joint_replica_set() {
    assert_eq!(wiped_after_the_replacement(None), (false, true));
}

#[cfg(feature = "mutants")]
#[test]
fn a_repair_under_a_superseded_replica_set_is_caught() {
    let mutation = Some(Mutation::RepairsUnderOvertakenReplicaSet);
    assert_eq!(wiped_after_the_replacement(mutation), (true, false), "acknowledged and lost");
}

#[test]
fn without_a_spare_node_a_rolling_restart_changes_no_replica_set_and_owners_hand_over_at_once() {
    let (mut cluster, first) = Cluster::settled();
    for node in (0..3).map(|n| (first + n) % 3) {
        cluster.announce_membership();
        cluster.begin_graceful_stop(node);
        let owner = cluster.owner().expect("an owner, at once");
        assert!(owner != node && !cluster.stores[node].is_still_needed());
        cluster.advance_by_deadlines(Duration::from_millis(500));
        cluster.isolate(node);
        cluster.call(owner, node as u64, &[(node as u8, 1, 7)]);
        assert!(cluster.is_committed(node as u64));
        cluster.cut_links.clear();
        cluster.restart(node);
        cluster.announce_membership();
        cluster.advance_by_deadlines(Duration::from_millis(1_500));
    }
    for store in &cluster.stores {
        assert_eq!((store.replica_set().version, store.metrics().replica_sets_adopted), (1, 0));
    }
}

/// A replica has the last change together with the owner only, and restarts on a disk from before that
/// change. Returns how often it detected that, and whether the change is in force after the owner is lost.
fn disk_rolled_back(mutation: Option<Mutation>) -> (u64, bool) {
    let (mut cluster, owner) = Cluster::settled();
    cluster.set_mutation(mutation);
    let (x, y) = others(owner);
    let before = cluster.disks[x].clone();
    cluster.cut_links.insert((owner, y));
    cluster.call(owner, 1, &[(1, 1, 7)]);
    assert!(cluster.is_committed(1));
    cluster.cut_links.remove(&(owner, y));
    cluster.disks[x] = before;
    cluster.restart_with_mutation(x, mutation);
    let found = cluster.stores[x].metrics().disk_rollbacks;
    cluster.isolate(owner);
    (found, cluster.read(y, 2).0.contains_key(&1))
}

#[test]
fn a_rolled_back_disk_is_detected_by_the_owner_and_repaired() {
    assert_eq!(disk_rolled_back(None), (1, true));
}

#[cfg(feature = "mutants")]
#[test]
fn voting_after_a_disk_rollback_is_caught() {
    assert_eq!(disk_rolled_back(Some(Mutation::VotesAfterDiskRollback)), (0, false), "acknowledged and lost");
}

#[test]
fn a_rolled_back_disk_is_treated_as_empty_until_it_is_repaired() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    let before = cluster.disks[x].clone();
    cluster.call(owner, 1, &[(1, 1, 7)]);
    cluster.cut_links.insert((y, x));
    cluster.disks[x] = before;
    for _ in 0..2 {
        // A restart in the middle of the repair changes nothing.
        cluster.restart(x);
        cluster.advance(Duration::from_secs(1));
        assert!(!cluster.stores[x].is_voter());
    }
    cluster.cut_links.clear();
    cluster.advance(Duration::from_secs(1));
    assert!(cluster.stores[x].is_voter());
    cluster.isolate(y);
    cluster.isolate(owner);
    cluster.rejoin(y);
    assert!(cluster.read(x, 2).0.contains_key(&1));
}

#[test]
fn a_lagging_replica_catches_up_within_a_second() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.cut_links.insert((owner, y));
    cluster.call(owner, 1, &[(1, 1, 7)]);
    cluster.cut_links.clear();
    assert!(cluster.is_committed(1) && cluster.key_state(y).accepted < cluster.key_state(x).accepted);
    cluster.advance_by_deadlines(Duration::from_secs(1));
    assert_eq!(cluster.key_state(y).accepted, cluster.key_state(x).accepted);
}
