//! Ownership of a key: promises, appends, their durability, and takeovers.

use crate::common::cluster::{others, Cluster, KEY};
use silvercross_control_store::*;
use silvercross_time::Duration;
use std::collections::BTreeSet;

#[test]
fn an_answer_waits_for_the_second_sync() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.stalled_disks.extend([x, y]);
    cluster.call(owner, 1, &[(1, 1, 7)]);
    assert!(!cluster.answers.contains_key(&1), "the owner alone has synced");
    cluster.sync(x);
    cluster.run();
    assert!(cluster.is_committed(1));
    // The other way round: two other replicas are a majority without the owner's own sync.
    cluster.stalled_disks = BTreeSet::from([owner, y]);
    cluster.call(owner, 2, &[(1, 2, 8)]);
    assert!(!cluster.answers.contains_key(&2));
    cluster.sync(y);
    cluster.run();
    assert!(cluster.is_committed(2));
}

#[test]
fn an_epoch_is_durable_before_it_is_promised() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.stalled_disks.extend([x, y]);
    cluster.isolate(owner);
    cluster.advance(Duration::from_millis(2_500));
    cluster.sync(x);
    cluster.sync(y);
    cluster.run();
    cluster.stalled_disks.clear();
    cluster.run();
    cluster.advance(Duration::from_secs(1));
    let claims = |cluster: &Cluster| {
        cluster.messages.iter().filter(|m| matches!(m.message, Message::Claim { .. })).count()
    };
    assert_eq!(claims(&cluster), 0);
    for node in [x, y] {
        let promised = cluster.key_state(node).promised;
        assert_eq!(cluster.disks[node].keys[0].promised, promised, "what was sent is on disk");
    }
    // Neither a claim nor a promise is sent before it is synced.
    let epoch = Epoch { round: 99, owner: x as u32 };
    cluster.stalled_disks.insert(y);
    cluster.receive(y, x, 1, Message::Claim { key: KEY.into(), epoch });
    cluster.held_links.insert((y, x));
    cluster.run();
    let promise =
        |cluster: &Cluster| cluster.messages.iter().any(|m| matches!(m.message, Message::Promise { .. }));
    assert!(!promise(&cluster));
    cluster.sync(y);
    cluster.run();
    assert!(promise(&cluster));
}

#[test]
fn an_old_owners_append_is_rejected_and_its_calls_are_rerouted() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    // Cut off without being told: it still acts as the owner.
    cluster.cut_links.extend([(x, owner), (y, owner), (owner, x), (owner, y)]);
    cluster.call(x, 1, &[(1, 1, 7)]);
    cluster.advance(Duration::from_millis(600));
    assert!(cluster.is_committed(1), "the call was served by another owner after a timeout");
    cluster.call(owner, 2, &[(1, 1, 9)]);
    assert!(!cluster.answers.contains_key(&2));
    let before = cluster.disks[x].keys.clone();
    cluster.cut_links.clear();
    cluster.advance(Duration::from_millis(400));
    assert_eq!(cluster.disks[x].keys, before, "nothing of the old owner was accepted");
    let rejected = |node: usize| cluster.stores[node].metrics().rejected_lower_epoch;
    assert!(rejected(x) + rejected(y) > 0);
    assert!(
        matches!(cluster.answers.get(&2), Some(CallOutcome::Rejected(r)) if r.conflict),
        "its call reached the later owner"
    );
}

#[test]
fn a_take_over_adopts_the_highest_accepted() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    // Only the owner and one other replica have the change when it is acknowledged.
    cluster.cut_links.insert((owner, y));
    cluster.call(owner, 1, &[(1, 1, 7), (2, 1, 7)]);
    assert!(cluster.is_committed(1));
    cluster.isolate(owner);
    cluster.advance(Duration::from_secs(3));
    assert_ne!(cluster.owner(), Some(owner).filter(|_| cluster.stores[owner].owned_keys().is_empty()));
    for (node, token) in [(x, 2), (y, 3)] {
        assert_eq!(cluster.read(node, token).0.get(&1), Some(&(1, 7)));
    }
}

#[test]
fn one_replica_alone_owns_at_once_and_five_tolerate_two_losses() {
    let mut cluster = Cluster::new(1);
    cluster.call(0, 1, &[(1, 1, 7)]);
    assert!(cluster.is_committed(1));
    let mut cluster = Cluster::new(5);
    cluster.advance(Duration::from_secs(1));
    cluster.call(3, 1, &[(1, 1, 7)]);
    assert!(cluster.is_committed(1));
    let owner = cluster.owner().expect("an owner");
    cluster.isolate(owner);
    cluster.isolate((owner + 1) % 5);
    cluster.advance(Duration::from_secs(3));
    cluster.call((owner + 2) % 5, 2, &[(1, 2, 8)]);
    cluster.advance(Duration::from_millis(300));
    assert!(cluster.is_committed(2));
    cluster.isolate((owner + 2) % 5);
    cluster.call((owner + 3) % 5, 3, &[(1, 3, 9)]);
    cluster.advance(Duration::from_millis(900));
    assert_eq!(cluster.answers.get(&3), Some(&CallOutcome::Unknown));
}

#[test]
fn at_rest_an_owner_sends_one_message_a_second_to_each_other() {
    let (mut cluster, owner) = Cluster::settled();
    cluster.advance(Duration::from_secs(2));
    let mut messages = 0;
    for _ in 0..1000 {
        cluster.now += Duration::from_millis(10);
        cluster.stores[owner].tick(cluster.now);
        messages +=
            cluster.stores[owner].take_effects().iter().filter(|d| matches!(d, Effect::Send { .. })).count();
    }
    assert!((18..=22).contains(&messages), "{messages} in ten seconds");
}

/// A replica promises a claim, restarts, and then receives an append of the old owner. Returns whether that
/// is acknowledged, and whether the new owner reads it.
fn promise_over_a_restart(mutation: Option<Mutation>) -> (bool, bool) {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    #[cfg(feature = "mutants")]
    if let Some(mutation) = mutation {
        cluster.stores[y].set_mutation(mutation);
    }
    assert!(mutation.is_none() || cfg!(feature = "mutants"));
    cluster.cut_links.extend([(owner, x), (x, owner), (owner, y)]);
    cluster.stores[x].set_reachable(cluster.now, Node(owner as u32), false);
    cluster.held_links.insert((y, x));
    cluster.call(x, 1, &[]);
    cluster.advance(Duration::from_millis(300));
    assert!(
        cluster.messages.iter().any(|m| matches!(m.message, Message::Promise { .. })),
        "the promise is in flight"
    );
    cluster.cut_links.insert((x, y));
    cluster.restart(y);
    cluster.cut_links.remove(&(owner, y));
    cluster.call(owner, 2, &[(1, 1, 7)]);
    let done = cluster.is_committed(2);
    cluster.cut_links.remove(&(x, y));
    cluster.held_links.clear();
    cluster.run();
    (done, cluster.read(x, 3).0.contains_key(&1))
}

#[test]
fn a_promise_holds_over_a_restart() {
    assert_eq!(promise_over_a_restart(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn a_promise_that_is_not_durable_is_caught() {
    assert_eq!(
        promise_over_a_restart(Some(Mutation::PromiseNotDurable)),
        (true, false),
        "acknowledged and lost"
    );
}
