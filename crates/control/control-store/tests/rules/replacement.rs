//! Replacement of an unreachable replica by a spare node.

use crate::common::cluster::KEY;
use crate::spare::{after_replacement, with_spare};
use silvercross_control_store::*;
use silvercross_time::Duration;

#[test]
fn an_unreachable_replica_is_replaced_and_another_may_be_lost_then() {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.isolate(x);
    cluster.advance(Duration::from_secs(6));
    assert_eq!(cluster.stores[y].replica_set().version, 1, "no candidate");
    cluster.announce_candidates();
    cluster.advance(Duration::from_secs(4));
    for node in [owner, y, 3] {
        assert!(cluster.stores[node].is_voter() && !cluster.stores[node].replica_set().is_joint());
        assert_eq!(cluster.disks[node].metadata.as_ref().map(|m| m.replica_set.version), Some(3));
        assert!(!cluster.members(node).contains(&(x as u32)));
    }
    cluster.isolate(owner);
    cluster.advance(Duration::from_secs(4));
    cluster.call(y, 2, &[(2, 1, 8)]);
    cluster.advance(Duration::from_millis(700));
    assert!(cluster.is_committed(2));
    let value = cluster.read(3, 3);
    assert!(value.0.contains_key(&1) && value.0.contains_key(&2));
}

#[test]
fn a_replica_unreachable_briefly_or_for_a_minority_is_not_replaced() {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.announce_candidates();
    cluster.isolate(x);
    cluster.advance(Duration::from_millis(3_500));
    cluster.rejoin(x);
    cluster.advance(Duration::from_secs(3));
    // Only one of three considers it unreachable, which is no majority.
    cluster.cut_links.extend([(owner, x), (x, owner)]);
    cluster.stores[owner].set_reachable(cluster.now, Node(x as u32), false);
    cluster.stores[x].set_reachable(cluster.now, Node(owner as u32), false);
    cluster.advance(Duration::from_secs(8));
    for node in 0..4 {
        assert!(cluster.stores[node].replica_set().version <= 1, "{:?}", cluster.stores[node].replica_set());
    }
    assert_eq!(cluster.stores[y].metrics().replica_sets_adopted, 0);
}

#[test]
fn a_replacement_is_abandoned_if_the_leaving_replica_is_back_or_the_joining_one_is_lost() {
    for back in [true, false] {
        let (mut cluster, owner, x, y) = with_spare();
        cluster.isolate(x);
        cluster.announce_candidates();
        // The joining replica receives nothing, so it is never repaired.
        cluster.cut_links.extend([(owner, 3), (y, 3)]);
        cluster.advance(Duration::from_millis(4_700));
        assert!(cluster.stores[owner].replica_set().is_joint() || cluster.stores[y].replica_set().is_joint());
        assert!(!cluster.stores[3].is_voter());
        if back {
            cluster.rejoin(x);
            cluster.cut_links.extend([(owner, 3), (y, 3)]);
        } else {
            cluster.isolate(3);
        }
        cluster.advance(Duration::from_secs(if back { 3 } else { 7 }));
        for node in [owner, y] {
            assert!(!cluster.stores[node].replica_set().is_joint());
            assert_eq!(cluster.members(node), vec![0, 1, 2]);
        }
        assert_eq!(cluster.read(y, 2).0.get(&1), Some(&(1, 7)));
    }
}

#[test]
fn a_joining_replica_that_is_wiped_is_repaired_again_and_all_may_lose_power_in_the_middle() {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.isolate(x);
    cluster.announce_candidates();
    cluster.advance(Duration::from_millis(4_150));
    assert!(cluster.stores[owner].replica_set().is_joint(), "replacement in progress");
    for node in [owner, y, 3] {
        cluster.restart(node);
    }
    cluster.advance(Duration::from_millis(100));
    cluster.wipe(3);
    cluster.announce_candidates();
    cluster.advance(Duration::from_secs(5));
    assert!(cluster.stores[3].is_voter() && !cluster.stores[3].replica_set().is_joint());
    assert_eq!(cluster.members(3), cluster.members(owner));
    cluster.isolate(owner);
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.read(3, 2).0.get(&1), Some(&(1, 7)));
}

#[test]
fn a_removed_replica_that_returns_is_a_candidate_and_forwards_calls() {
    let (mut cluster, _, x, y) = after_replacement(None);
    assert!(cluster.stores[x].is_voter(), "it doesn't know of its removal yet");
    cluster.rejoin(x);
    cluster.advance(Duration::from_secs(4));
    assert!(cluster.stores[x].is_outside() && !cluster.stores[x].is_voter());
    cluster.call(x, 2, &[(2, 1, 8)]);
    cluster.advance(Duration::from_millis(700));
    assert!(cluster.is_committed(2), "{:?}", cluster.answers.get(&2));
    assert!(cluster.read(x, 3).0.contains_key(&2));
    // It may join again, without its earlier state until it is repaired.
    cluster.announce_candidates();
    let gone = (0..4).find(|n| cluster.members(y).contains(&(*n as u32)) && *n != y).expect("another");
    cluster.isolate(gone);
    cluster.advance(Duration::from_secs(8));
    assert!(cluster.stores[x].is_voter() && cluster.members(y).contains(&(x as u32)));
    assert!(cluster.read(x, 4).0.contains_key(&2));
}

#[test]
fn a_wiped_replica_asks_for_the_replica_set_and_does_not_vote_under_its_configured_one() {
    let (mut cluster, owner, _, y) = after_replacement(None);
    // Its configured replicas still include the removed one, and not the new one.
    cluster.isolate(owner);
    cluster.wipe(y);
    cluster.advance(Duration::from_secs(1));
    assert!(!cluster.stores[y].is_voter(), "the joining replica alone is no majority");
    cluster.rejoin(owner);
    cluster.advance(Duration::from_secs(3));
    assert!(cluster.stores[y].is_voter());
    assert_eq!(cluster.members(y), cluster.members(3));
}

#[test]
fn at_rest_with_a_spare_one_nothing_more_is_sent() {
    let (mut cluster, owner, _, _) = with_spare();
    cluster.announce_candidates();
    cluster.advance(Duration::from_secs(2));
    let mut messages = 0;
    for _ in 0..1000 {
        cluster.now += Duration::from_millis(10);
        for node in 0..4 {
            cluster.stores[node].tick(cluster.now);
            let sent = cluster.stores[node]
                .take_effects()
                .iter()
                .filter(|d| matches!(d, Effect::Send { .. }))
                .count();
            assert!(node == owner || sent == 0);
            messages += sent;
        }
        for node in (0..4).filter(|n| *n != owner) {
            let epoch = cluster.owned(owner).epoch;
            let keys = vec![KeyPosition { key: KEY.to_owned(), epoch, sequence: 1 }];
            if cluster.members(owner).contains(&(node as u32)) {
                cluster.receive(node, owner, 1, Message::Heartbeat { keys });
            }
        }
    }
    assert!((18..=22).contains(&messages), "{messages} in ten seconds");
}

#[test]
fn replacing_a_reachable_replica_does_not_prevent_replacing_a_lost_one() {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.isolate(y);
    let mut replica_set = cluster.stores[owner].replica_set().clone();
    replica_set.version += 1;
    replica_set.members.push(Member { node: Node(3), joined_in: replica_set.version });
    (replica_set.leaving, replica_set.joining) = (Some(Node(x as u32)), Some(Node(3)));
    let version = replica_set.version;
    cluster.stores[owner].receive(cluster.now, Node(9), version, Message::ReplicaSet { replica_set });
    cluster.advance(Duration::from_secs(2));
    assert!(!cluster.stores[owner].replica_set().is_joint(), "abandoned");
    cluster.call(x, 2, &[(2, 1, 8)]);
    cluster.advance(Duration::from_millis(700));
    assert!(cluster.is_committed(2));
    cluster.announce_candidates();
    cluster.advance(Duration::from_secs(5));
    let mut left = vec![owner as u32, x as u32, 3];
    left.sort();
    assert_eq!(cluster.members(owner), left);
    assert!(cluster.stores[3].is_voter() && cluster.read(3, 3).0.contains_key(&2));
}
