//! Unversioned changes: none is carried out after a later one was acknowledged, wherever it lay.

use crate::common::cluster::{others, Cluster, KEY};
use crate::common::notes::{Notes, UNVERSIONED};
use silvercross_control_store::*;
use silvercross_time::Duration;

const ITEM: u8 = 1;
/// Contents of changes.
const FIRST: u64 = 7;
const SECOND: u64 = 8;
const LATE: u64 = 9;

fn content(value: &Notes) -> u64 {
    value.0.get(&ITEM).map_or(0, |(_, content)| *content)
}

/// A call of an unversioned change under an epoch.
fn call_under(cluster: &mut Cluster, node: usize, token: u64, content: u64, epoch: Epoch) {
    let read = ReadEpoch { epoch, called_at: cluster.now };
    cluster.stores[node].call_under(cluster.now, token, KEY, vec![(ITEM, UNVERSIONED, content)], read);
}

/// The epoch that a read through a node returns.
fn read_epoch(cluster: &mut Cluster, node: usize, token: u64) -> Epoch {
    cluster.read(node, token);
    match &cluster.answers[&token] {
        CallOutcome::Value { revision, .. } => revision.epoch,
        other => panic!("no value: {other:?}"),
    }
}

/// Reads, then changes under the epoch that was read, and returns that epoch.
fn change(cluster: &mut Cluster, node: usize, token: u64, content: u64) -> Epoch {
    let epoch = read_epoch(cluster, node, token);
    call_under(cluster, node, token + 1, content, epoch);
    cluster.run();
    assert!(cluster.is_committed(token + 1), "{:?}", cluster.answers.get(&(token + 1)));
    epoch
}

#[test]
fn a_change_under_an_epoch_that_is_over_is_not_carried_out() {
    for node in 0..3 {
        let (mut cluster, owner) = Cluster::settled();
        let early = read_epoch(&mut cluster, node, 1);
        change(&mut cluster, others(owner).0, 2, SECOND);
        call_under(&mut cluster, node, 4, LATE, early);
        cluster.run();
        assert_eq!(cluster.answers[&4], CallOutcome::Unknown, "through {node}");
        assert_eq!(content(&cluster.read(node, 5)), SECOND);
    }
}

#[test]
fn a_change_that_changes_nothing_ends_the_epoch_as_well() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    change(&mut cluster, x, 1, SECOND);
    let early = read_epoch(&mut cluster, y, 3);
    change(&mut cluster, x, 4, SECOND);
    assert!(matches!(cluster.answers[&5], CallOutcome::Committed { changed: false, .. }));
    call_under(&mut cluster, y, 6, LATE, early);
    cluster.run();
    assert_eq!(cluster.answers[&6], CallOutcome::Unknown);
    assert_eq!(content(&cluster.read(owner, 7)), SECOND);
}

/// The message lies on a link while a later change is acknowledged.
#[test]
fn a_forwarded_change_that_arrives_after_a_later_one_is_not_carried_out() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    let early = read_epoch(&mut cluster, x, 1);
    cluster.held_links.insert((x, owner));
    call_under(&mut cluster, x, 2, LATE, early);
    cluster.run();
    change(&mut cluster, y, 3, SECOND);
    cluster.held_links.clear();
    cluster.run();
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.answers[&2], CallOutcome::Unknown);
    assert_eq!(content(&cluster.read(owner, 5)), SECOND);
}

/// It is served under the epoch that it names and no other, so it is not sent to the next owner.
#[test]
fn a_change_is_not_sent_to_the_next_owner() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    let early = read_epoch(&mut cluster, x, 1);
    cluster.paused.insert(owner);
    call_under(&mut cluster, x, 2, LATE, early);
    cluster.run();
    cluster.isolate(owner);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.answers[&2], CallOutcome::Unknown);
    let epoch = read_epoch(&mut cluster, y, 3);
    assert_ne!(epoch, early);
    assert_eq!(content(&cluster.read(y, 4)), 0);
    cluster.paused.clear();
    cluster.rejoin(owner);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(content(&cluster.read(x, 5)), 0);
}

#[test]
fn of_two_changes_under_one_epoch_one_is_carried_out() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    let epoch = read_epoch(&mut cluster, x, 1);
    call_under(&mut cluster, x, 2, FIRST, epoch);
    call_under(&mut cluster, y, 3, SECOND, epoch);
    call_under(&mut cluster, owner, 4, LATE, epoch);
    cluster.run();
    let committed: Vec<u64> = (2..5).filter(|token| cluster.is_committed(*token)).collect();
    assert_eq!(committed.len(), 1, "{:?}", cluster.answers);
    let contents = [FIRST, SECOND, LATE];
    assert_eq!(content(&cluster.read(x, 5)), contents[committed[0] as usize - 2]);
}

#[test]
fn a_cancelled_call_is_neither_answered_nor_carried_out() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, _) = others(owner);
    let epoch = read_epoch(&mut cluster, owner, 1);
    call_under(&mut cluster, owner, 2, FIRST, epoch);
    // An append is in flight; the next change waits in the queue.
    call_under(&mut cluster, owner, 3, LATE, epoch);
    cluster.stores[owner].cancel(3);
    cluster.run();
    assert!(cluster.is_committed(2) && !cluster.answers.contains_key(&3));
    assert_eq!(content(&cluster.read(x, 4)), FIRST);
}

/// A process that stood still sees what came meanwhile before its timers run.
#[test]
fn a_call_whose_time_is_over_is_not_sent_on() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, _) = others(owner);
    let old = cluster.owned(owner).epoch;
    cluster.held_links.insert((x, owner));
    cluster.stores[x].call(cluster.now, 1, KEY, vec![(ITEM, 1, LATE)]);
    cluster.run();
    let forwarded = cluster.messages.iter().find_map(|in_flight| match in_flight.message {
        Message::Forward { id, .. } => Some(id),
        _ => None,
    });
    cluster.messages.clear();
    cluster.held_links.clear();
    cluster.now += Duration::from_secs(2);
    let reply = ForwardReply::NotOwner(old);
    let id = forwarded.expect("it was forwarded");
    cluster.receive(x, owner, 1, Message::ForwardReply { id, epoch: old, reply });
    cluster.run();
    assert_eq!(cluster.answers[&1], CallOutcome::Unknown);
    assert_eq!(content(&cluster.read(x, 2)), 0);
}

#[test]
fn calls_that_wait_while_the_epoch_ends_are_answered() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    let epoch = read_epoch(&mut cluster, x, 1);
    call_under(&mut cluster, x, 2, FIRST, epoch);
    for (node, token) in [(owner, 3), (x, 4), (y, 5)] {
        cluster.stores[node].read(cluster.now, token, KEY);
    }
    cluster.run();
    cluster.advance(Duration::from_millis(300));
    for token in 3..6 {
        assert!(
            matches!(cluster.answers.get(&token), Some(CallOutcome::Value { .. })),
            "{:?}",
            cluster.answers
        );
    }
}

/// The rule broken on purpose: the late change goes through.
#[cfg(feature = "mutants")]
#[test]
fn an_epoch_that_goes_on_after_an_unversioned_change_is_caught() {
    let (mut cluster, owner) = Cluster::settled();
    cluster.set_mutation(Some(Mutation::KeepsEpochAfterUnversionedChange));
    let (x, y) = others(owner);
    let early = read_epoch(&mut cluster, x, 1);
    change(&mut cluster, y, 2, SECOND);
    call_under(&mut cluster, x, 4, LATE, early);
    cluster.run();
    assert_eq!(content(&cluster.read(owner, 5)), LATE);
}
