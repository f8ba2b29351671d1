//! Which replicas vote while the replica set changes, and under which replica set.

use crate::spare::{after_replacement, with_spare};
use silvercross_control_store::*;
use silvercross_time::Duration;

/// A sender outside the replica set: a decided replica set is valid whoever sends it.
const UNKNOWN_NODE: usize = 9;

/// An owner writes while it can reach only a removed replica. Returns whether that is acknowledged, and
/// whether the others have it afterwards.
fn append_to_a_removed_replica(mutation: Option<Mutation>) -> (bool, bool) {
    let (mut cluster, owner, x, _) = after_replacement(mutation);
    let rest: Vec<usize> = (0..4).filter(|n| *n != owner && *n != x).collect();
    cluster.cut_links.retain(|way| *way != (owner, x) && *way != (x, owner));
    let replica_set = cluster.stores[owner].replica_set().clone();
    cluster.receive_replica_set(x, owner, &replica_set);
    cluster.run();
    cluster.cut_links.extend(rest.iter().flat_map(|n| [(owner, *n), (*n, owner)]));
    cluster.call(owner, 2, &[(2, 1, 8)]);
    // Delivered directly: the owner does not send to a node outside the replica set.
    let OwnedKey { key, epoch, revision } = cluster.owned(owner);
    let version = cluster.stores[owner].replica_set().version;
    let base = cluster.key_state(x).accepted;
    let changes = vec![vec![(2, 1, 8)]];
    let message = Message::Append {
        key,
        epoch,
        revision: Revision { epoch, sequence: revision.sequence + 1 },
        base,
        changes,
        more: false,
    };
    cluster.receive(x, owner, version, message);
    cluster.run();
    let committed = cluster.is_committed(2);
    cluster.isolate(owner);
    cluster.isolate(x);
    cluster.advance(Duration::from_secs(4));
    (committed, cluster.read(rest[0], 3).0.contains_key(&2))
}

#[test]
fn a_removed_replica_votes_no_more() {
    assert_eq!(append_to_a_removed_replica(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn a_removed_replica_that_votes_is_caught() {
    assert_eq!(
        append_to_a_removed_replica(Some(Mutation::RemovedReplicaVotes)),
        (true, false),
        "acknowledged and lost"
    );
}

/// A change is acknowledged by the owner and one other replica, which is lost permanently. The replica that
/// lacks the change and the joining one learn of both steps of the replacement while the owner is away.
/// Returns whether another content of the same version is acknowledged without the owner.
fn joining_replica_before_its_repair(mutation: Option<Mutation>) -> bool {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.set_mutation(mutation);
    cluster.cut_links.insert((owner, y));
    cluster.call(owner, 2, &[(2, 1, 8)]);
    assert!(cluster.is_committed(2));
    cluster.isolate(x);
    cluster.isolate(owner);
    let mut replica_set = cluster.stores[y].replica_set().clone();
    replica_set.members.push(Member { node: Node(3), joined_in: replica_set.version + 1 });
    (replica_set.leaving, replica_set.joining) = (Some(Node(x as u32)), Some(Node(3)));
    for step in 0..2 {
        replica_set.version += 1;
        if step == 1 {
            replica_set.members.retain(|member| member.node != Node(x as u32));
            (replica_set.leaving, replica_set.joining) = (None, None);
        }
        for node in [y, 3] {
            cluster.receive_replica_set(node, owner, &replica_set);
        }
        cluster.run();
    }
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.stores[3].is_voter(), mutation.is_some());
    cluster.call(y, 3, &[(2, 1, 9)]);
    cluster.advance(Duration::from_millis(900));
    cluster.is_committed(3)
}

#[test]
fn a_joining_replica_is_no_voter_until_it_is_repaired() {
    assert!(!joining_replica_before_its_repair(None));
}

#[cfg(feature = "mutants")]
#[test]
fn a_joining_replica_that_votes_before_its_repair_is_caught() {
    assert!(
        joining_replica_before_its_repair(Some(Mutation::JoiningReplicaVotesUnrepaired)),
        "another content of a version that was acknowledged"
    );
}

/// A removed replica that does not know of its removal owns the key under the old replica set, together with
/// a replica that knows the new one. Returns whether their write is acknowledged, and whether the others have
/// it afterwards.
fn old_owner_after_the_replacement(mutation: Option<Mutation>) -> (bool, bool) {
    let (mut cluster, _, x, y) = after_replacement(mutation);
    // `x` still votes under the first replica set, and claims there with any replica that handles its
    // messages.
    let rest: Vec<usize> = (0..4).filter(|n| *n != x && *n != y).collect();
    cluster.cut_links.retain(|way| *way != (y, x) && *way != (x, y));
    cluster.cut_links.extend(rest.iter().flat_map(|n| [(y, *n), (*n, y)]));
    // It has the later owner's value, so none of these has a later one.
    let OwnedKey { key, epoch, revision } = cluster.owned(cluster.owner().expect("an owner"));
    let base = cluster.key_state(x).accepted;
    let message = Message::Append { key, epoch, revision, base, changes: Vec::new(), more: false };
    let version = cluster.stores[x].replica_set().version;
    cluster.stores[x].receive(cluster.now, Node(epoch.owner), version, message);
    cluster.run();
    assert!(mutation.is_none() || cluster.key_state(x).accepted == revision);
    cluster.stores[x].set_reachable(cluster.now, Node(y as u32), true);
    cluster.call(x, 2, &[(2, 1, 8)]);
    cluster.advance(Duration::from_millis(700));
    let committed = cluster.is_committed(2);
    cluster.isolate(x);
    cluster.isolate(y);
    cluster.advance(Duration::from_secs(4));
    (committed, cluster.read(rest[0], 3).0.contains_key(&2))
}

#[test]
fn an_old_replica_sets_owner_writes_nothing_after_the_replacement() {
    assert_eq!(old_owner_after_the_replacement(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn handling_messages_under_an_older_replica_set_is_caught() {
    assert_eq!(
        old_owner_after_the_replacement(Some(Mutation::AcceptsOlderReplicaSetMessages)),
        (true, false),
        "acknowledged and lost"
    );
}

/// In the middle of a replacement the owner reaches only the leaving replica, and writes; then the
/// replacement comes into force without them. Returns whether the write is acknowledged, and whether the
/// others have it.
fn append_with_the_old_majority_alone(mutation: Option<Mutation>) -> (bool, bool) {
    let (mut cluster, owner, x, y) = with_spare();
    cluster.set_mutation(mutation);
    let mut replica_set = cluster.stores[y].replica_set().clone();
    replica_set.version += 1;
    replica_set.members.push(Member { node: Node(3), joined_in: replica_set.version });
    (replica_set.leaving, replica_set.joining) = (Some(Node(x as u32)), Some(Node(3)));
    // All know the joint replica set, and the joining replica is repaired.
    for node in 0..4 {
        cluster.receive_replica_set(node, UNKNOWN_NODE, &replica_set);
    }
    cluster.run();
    // No links between `y` and the joining replica on one side, and the two others on the other.
    for (near, far) in [(owner, y), (owner, 3), (x, y), (x, 3)] {
        cluster.cut_links.extend([(near, far), (far, near)]);
        cluster.stores[near].set_reachable(cluster.now, Node(far as u32), false);
        cluster.stores[far].set_reachable(cluster.now, Node(near as u32), false);
    }
    cluster.call(owner, 2, &[(2, 1, 8)]);
    cluster.advance(Duration::from_millis(700));
    let committed = cluster.is_committed(2);
    // Decided by a majority of both replica sets before the cut: the replacement is in force.
    let mut next = replica_set.clone();
    next.version += 1;
    next.members.retain(|member| member.node != Node(x as u32));
    (next.leaving, next.joining) = (None, None);
    for node in [y, 3] {
        cluster.receive_replica_set(node, UNKNOWN_NODE, &next);
    }
    cluster.advance(Duration::from_secs(4));
    (committed, cluster.read(y, 3).0.contains_key(&2))
}

#[test]
fn in_the_middle_of_a_replacement_a_majority_of_both_replica_sets_is_needed() {
    assert_eq!(append_with_the_old_majority_alone(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn a_replacement_with_the_old_quorum_alone_is_caught() {
    assert_eq!(
        append_with_the_old_majority_alone(Some(Mutation::OldQuorumOnly)),
        (true, false),
        "acknowledged and lost"
    );
}
