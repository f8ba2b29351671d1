//! Each rule stepped by hand, on three replicas.

mod common;

use common::bench::{others, Bench, KEY, L};
use common::Notes;
use silvercross_control_store::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn an_answer_waits_for_the_second_sync() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.slow_disk.extend([x, y]);
    b.call(owner, 1, &[(1, 1, 7)]);
    assert!(!b.answers.contains_key(&1), "the owner alone has synced");
    b.sync(x);
    b.run();
    assert!(b.done(1));
    // And the other way round: two others without the owner's own sync are more than half as well.
    b.slow_disk = BTreeSet::from([owner, y]);
    b.call(owner, 2, &[(1, 2, 8)]);
    assert!(!b.answers.contains_key(&2));
    b.sync(y);
    b.run();
    assert!(b.done(2));
}

#[test]
fn an_epoch_is_durable_before_it_is_promised() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.slow_disk.extend([x, y]);
    b.part(owner);
    b.pass(2_500_000);
    b.sync(x);
    b.sync(y);
    b.run();
    b.slow_disk.clear();
    b.run();
    b.pass(1_000_000);
    let claims = |b: &Bench| b.messages.iter().filter(|l| matches!(l.3, Message::Claim { .. })).count();
    assert_eq!(claims(&b), 0);
    for node in [x, y] {
        let promised = b.ledgers[node].key_states()[0].promised;
        assert_eq!(b.disks[node].keys[0].promised, promised, "what is told is on disk");
    }
    // A claim that is not synced is heard of by nobody, a promise neither.
    let epoch = Epoch { round: 99, owner: x as u32 };
    b.slow_disk.insert(y);
    b.ledgers[y].receive(b.now, Node(x as u32), 1, Message::Claim { key: KEY.into(), epoch });
    b.held.insert((y, x));
    b.run();
    let promise = |b: &Bench| b.messages.iter().any(|l| matches!(l.3, Message::Promise { .. }));
    assert!(!promise(&b));
    b.sync(y);
    b.run();
    assert!(promise(&b));
}

#[test]
fn an_old_owners_copy_is_refused_and_its_calls_go_on() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    // Cut off without knowing: it goes on believing.
    b.cut.extend([(x, owner), (y, owner), (owner, x), (owner, y)]);
    b.call(x, 1, &[(1, 1, 7)]);
    b.pass(600_000);
    assert!(b.done(1), "the call was served by another after the owner said nothing");
    b.call(owner, 2, &[(1, 1, 9)]);
    assert!(!b.answers.contains_key(&2));
    let before = b.disks[x].keys.clone();
    b.cut.clear();
    b.pass(400_000);
    assert_eq!(b.disks[x].keys, before, "nothing of the old owner was taken");
    let refused = |node: usize| b.ledgers[node].metrics().rejected_lower_epoch;
    assert!(refused(x) + refused(y) > 0);
    assert!(
        matches!(b.answers.get(&2), Some(CallOutcome::Rejected(r)) if r.conflict),
        "its call met the later owner"
    );
}

#[test]
fn a_take_over_adopts_the_highest_accepted() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    // Only the owner and one other have it when it is acknowledged.
    b.cut.insert((owner, y));
    b.call(owner, 1, &[(1, 1, 7), (2, 1, 7)]);
    assert!(b.done(1));
    b.part(owner);
    b.pass(3_000_000);
    assert_ne!(b.owner(), Some(owner).filter(|_| b.ledgers[owner].owned_keys().is_empty()));
    for (node, token) in [(x, 2), (y, 3)] {
        assert_eq!(b.read(node, token).0.get(&1), Some(&(1, 7)));
    }
}

#[test]
fn a_wiped_replica_is_no_voter_until_repaired() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.cut.insert((owner, y));
    b.call(owner, 1, &[(1, 1, 7)]);
    assert!(b.done(1));
    // The other copy is wiped and the owner is gone: who is left may not answer without it.
    b.part(owner);
    b.wipe(x);
    b.part(owner);
    b.pass(3_000_000);
    assert!(!b.ledgers[x].is_voter());
    b.call(y, 2, &[(1, 1, 9)]);
    b.pass(1_000_000);
    assert_eq!(b.answers.get(&2), Some(&CallOutcome::Unknown));
    b.join(owner);
    b.pass(3_000_000);
    assert!(b.ledgers[x].is_voter());
    assert_eq!(b.read(y, 3).0.get(&1), Some(&(1, 7)));
    assert!(b.disks[x].metadata.is_some() && b.disks[x].keys[0].value.0.contains_key(&1));
}

#[test]
fn what_was_acknowledged_survives_a_wipe_and_power_loss_of_the_others() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.call(x, 1, &[(1, 1, 7)]);
    assert!(b.done(1));
    b.wipe(owner);
    b.restart(x);
    b.restart(y);
    b.pass(4_000_000);
    assert!(b.ledgers.iter().all(|l| l.is_voter()));
    assert!(b.owner().is_some(), "taken again without any call");
    assert_eq!(b.read(owner, 2).0.get(&1), Some(&(1, 7)));
}

/// A replica keeps a copy, loses its disk while its word is under way, and is repaired before the owner has synced: whether
/// the change is acknowledged once that word comes, and whether it is there without the owner.
fn word_of_a_lost_disk(broken: Option<Mutation>) -> (bool, bool) {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    #[cfg(feature = "mutants")]
    if let Some(broken) = broken {
        b.ledgers[owner].set_mutation(broken);
    }
    assert!(broken.is_none() || cfg!(feature = "mutants"));
    b.slow_disk.insert(owner);
    b.cut.insert((owner, y));
    b.held.insert((x, owner));
    b.call(owner, 1, &[(1, 1, 7)]);
    let at =
        b.messages.iter().position(|l| matches!(l.3, Message::Appended { sequence: 2, .. })).expect("kept");
    let kept = b.messages.remove(at).expect("kept").3;
    b.held.clear();
    // Repaired from what the others had on disk: the owner's copy was not there yet when it was asked.
    let (own, other) = (b.disks[owner].keys.clone(), b.disks[y].keys.clone());
    b.cut.extend([(owner, x), (y, x)]);
    b.disks[x] = StoredState::default();
    b.restart(x);
    let replica_set = b.ledgers[y].replica_set().clone();
    b.ledgers[x].receive(b.now, Node(y as u32), 1, Message::ReplicaSet { replica_set });
    b.run();
    let incarnation = b.recovering[&x];
    b.cut.remove(&(y, x));
    for (from, keys) in [(y, other), (owner, own)] {
        let held =
            |s: StoredKey<Notes>| KeySummary { key: s.key, promised: s.promised, accepted: s.accepted };
        let keys = keys.into_iter().map(held).collect();
        let message = Message::RepairReply {
            incarnation,
            keys,
            vote: Vote::default(),
            incarnations: Incarnations::default(),
        };
        b.ledgers[x].receive(b.now, Node(from as u32), 1, message);
    }
    b.run();
    assert!(b.ledgers[x].is_voter());
    b.cut.insert((y, x));
    b.ledgers[owner].receive(b.now, Node(x as u32), 1, kept);
    b.sync(owner);
    b.run();
    b.sync(owner);
    b.run();
    let done = b.done(1);
    b.cut.remove(&(y, x));
    b.part(owner);
    b.pass(4_000_000);
    (done, b.read(y, 2).0.contains_key(&1))
}

#[test]
fn what_a_lost_disk_had_kept_counts_no_more() {
    assert_eq!(word_of_a_lost_disk(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn counting_the_word_of_a_lost_disk_is_caught() {
    assert_eq!(
        word_of_a_lost_disk(Some(Mutation::CountsEarlierIncarnations)),
        (true, false),
        "acknowledged and lost"
    );
}

#[test]
fn the_same_change_is_acknowledged_again_anywhere() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    for (node, token) in [(owner, 1), (x, 2), (y, 3), (owner, 4)] {
        b.call(node, token, &[(1, 1, 7), (2, 1, 7)]);
        assert!(
            matches!(b.answers[&token], CallOutcome::Committed { changed, .. } if changed == (token == 1))
        );
    }
    b.call(x, 5, &[(3, 1, 8), (1, 1, 8)]);
    assert!(matches!(&b.answers[&5], CallOutcome::Rejected(r) if r.conflict));
    b.call(y, 6, &[(3, 1, 0)]);
    assert!(matches!(&b.answers[&6], CallOutcome::Rejected(r) if !r.conflict));
    assert!(!b.read(y, 7).0.contains_key(&3), "nothing of a refused call is in force");
}

#[test]
fn a_call_without_a_quorum_is_unsettled_in_time() {
    let mut b = Bench::new(3);
    b.part(0);
    b.part(1);
    b.part(2);
    for node in 0..3 {
        b.call(node, node as u64, &[(1, 1, 7)]);
    }
    b.pass(790_000);
    assert!(b.answers.is_empty());
    b.pass(20_000);
    assert_eq!(b.answers.len(), 3);
    assert!(b.answers.values().all(|v| *v == CallOutcome::Unknown));
}

#[test]
fn a_frozen_owner_that_wakes_answers_no_read() {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.cut.extend([(x, owner), (y, owner)]);
    b.call(x, 1, &[(1, 1, 7)]);
    b.pass(600_000);
    assert!(b.done(1));
    // It still believes, and its messages come through: nobody confirms.
    b.ledgers[owner].read(b.now, 2, KEY);
    b.run();
    assert!(!b.answers.contains_key(&2));
    b.cut.clear();
    b.pass(600_000);
    assert!(matches!(&b.answers[&2], CallOutcome::Value { value, .. } if value.0.contains_key(&1)));
}

#[test]
fn a_passed_call_is_served_under_its_epoch_alone_and_once() {
    let (mut b, owner) = Bench::settled();
    let (x, _) = others(owner);
    let epoch = b.ledgers[owner].owned_keys()[0].1;
    let old = Epoch { round: 0, owner: owner as u32 };
    let pass =
        |id, under| Message::Forward { id, key: KEY.into(), under, ask: Request::Change(vec![(1, id, id)]) };
    b.ledgers[owner].receive(b.now, Node(x as u32), 1, pass(5, old));
    b.run();
    assert!(b.read(owner, 1).0.is_empty(), "a late call does nothing under a later ownership");
    for _ in 0..2 {
        b.ledgers[owner].receive(b.now, Node(x as u32), 1, pass(6, epoch));
        b.run();
    }
    assert_eq!(b.ledgers[owner].owned_keys()[0].2.sequence, 2, "one that comes twice is served once");
}

#[test]
fn one_replica_alone_owns_at_once_and_five_bear_two_losses() {
    let mut b = Bench::new(1);
    b.call(0, 1, &[(1, 1, 7)]);
    assert!(b.done(1));
    let mut b = Bench::new(5);
    b.pass(1_000_000);
    b.call(3, 1, &[(1, 1, 7)]);
    assert!(b.done(1));
    let owner = b.owner().expect("an owner");
    b.part(owner);
    b.part((owner + 1) % 5);
    b.pass(3_000_000);
    b.call((owner + 2) % 5, 2, &[(1, 2, 8)]);
    b.pass(300_000);
    assert!(b.done(2));
    b.part((owner + 2) % 5);
    b.call((owner + 3) % 5, 3, &[(1, 3, 9)]);
    b.pass(900_000);
    assert_eq!(b.answers.get(&3), Some(&CallOutcome::Unknown));
}

#[test]
fn strangers_and_keys_beyond_the_bound_are_turned_away() {
    let (mut b, owner) = Bench::settled();
    let key = "k".repeat(300);
    b.ledgers[owner].receive(
        b.now,
        Node(77),
        1,
        Message::Behind {
            key: KEY.into(),
            epoch: Epoch::default(),
            accepted: Revision::default(),
            whole: true,
        },
    );
    assert_eq!(b.ledgers[owner].metrics().strangers, 1);
    b.ledgers[owner].call(b.now, 1, &key, vec![(1, 1, 1)]);
    b.run();
    assert!(matches!(b.answers[&1], CallOutcome::Rejected(_)));
    for k in 0..5000u64 {
        b.ledgers[owner].call(b.now, 10 + k, &format!("key-{k}"), vec![(1, 1, 1)]);
        b.ledgers[owner].take_effects();
    }
    assert_eq!(b.ledgers[owner].key_states().len(), 4096);
}

#[test]
fn at_rest_an_owner_sends_one_message_a_second_to_each_other() {
    let (mut b, owner) = Bench::settled();
    b.pass(2_000_000);
    let mut messages = 0;
    for _ in 0..1000 {
        b.now += 10_000;
        b.ledgers[owner].tick(b.now);
        messages +=
            b.ledgers[owner].take_effects().iter().filter(|d| matches!(d, Effect::Send { .. })).count();
    }
    assert!((18..=22).contains(&messages), "{messages} in ten seconds");
}

#[test]
fn messages_come_through_their_encoding() {
    let epoch = Epoch { round: 3, owner: 1 };
    let value = Notes(BTreeMap::from([(1, (2, 3))]));
    let base = Revision { epoch, sequence: 3 };
    let messages: [L; 4] = [
        Message::Append {
            key: KEY.into(),
            epoch,
            to: Revision { epoch, sequence: 4 },
            base,
            changes: vec![vec![(1, 2, 3)]],
            more: false,
        },
        Message::SnapshotChunk {
            key: KEY.into(),
            at: base,
            offset: 2,
            total: 9,
            digest: (1, 2),
            bytes: vec![7; 3],
        },
        Message::ForwardReply {
            id: 9,
            under: epoch,
            forwarded: ForwardReply::Answered(CallOutcome::Value { revision: Revision::default(), value }),
        },
        Message::RepairRequest { incarnation: Incarnation { count: 1, nonce: 2 } },
    ];
    for message in messages {
        let bytes = bitcode::encode(&message);
        assert_eq!(bitcode::decode::<L>(&bytes).ok(), Some(message));
        assert!(bitcode::decode::<L>(&bytes[..bytes.len() - 1]).is_err());
    }
}

/// A replica promises a claimer, restarts, and is then sent the old owner's copy: whether that is acknowledged, and
/// whether the claimer reads it.
fn promise_over_a_restart(broken: Option<Mutation>) -> (bool, bool) {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    #[cfg(feature = "mutants")]
    if let Some(broken) = broken {
        b.ledgers[y].set_mutation(broken);
    }
    assert!(broken.is_none() || cfg!(feature = "mutants"));
    b.cut.extend([(owner, x), (x, owner), (owner, y)]);
    b.ledgers[x].set_reachable(b.now, Node(owner as u32), false);
    b.held.insert((y, x));
    b.call(x, 1, &[]);
    b.pass(300_000);
    assert!(b.messages.iter().any(|l| matches!(l.3, Message::Promise { .. })), "on its way");
    b.cut.insert((x, y));
    b.restart(y);
    b.cut.remove(&(owner, y));
    b.call(owner, 2, &[(1, 1, 7)]);
    let done = b.done(2);
    b.cut.remove(&(x, y));
    b.held.clear();
    b.run();
    (done, b.read(x, 3).0.contains_key(&1))
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

/// Three and a spare one, settled; the owner and the others.
fn with_spare() -> (Bench, usize, usize, usize) {
    let mut b = Bench::with_spares(3, 1);
    b.pass(1_000_000);
    let owner = b.owner().expect("an owner");
    let (x, y) = others(owner);
    b.call(owner, 1, &[(1, 1, 7)]);
    assert!(b.done(1));
    (b, owner, x, y)
}

fn members(b: &Bench, node: usize) -> Vec<u32> {
    b.ledgers[node].replica_nodes().iter().map(|n| n.0).collect()
}

#[test]
fn a_replica_that_is_gone_is_replaced_and_another_may_go_then() {
    let (mut b, owner, x, y) = with_spare();
    b.part(x);
    b.pass(6_000_000);
    assert_eq!(b.ledgers[y].replica_set().version, 1, "nobody to come");
    b.tell_candidates();
    b.pass(4_000_000);
    for node in [owner, y, 3] {
        assert!(b.ledgers[node].is_voter() && !b.ledgers[node].replica_set().joint());
        assert_eq!(b.disks[node].metadata.as_ref().map(|m| m.replica_set.version), Some(3));
        assert!(!members(&b, node).contains(&(x as u32)));
    }
    b.part(owner);
    b.pass(4_000_000);
    b.call(y, 2, &[(2, 1, 8)]);
    b.pass(700_000);
    assert!(b.done(2));
    let value = b.read(3, 3);
    assert!(value.0.contains_key(&1) && value.0.contains_key(&2));
}

#[test]
fn who_is_away_for_less_or_for_some_alone_is_not_replaced() {
    let (mut b, owner, x, y) = with_spare();
    b.tell_candidates();
    b.part(x);
    b.pass(3_500_000);
    b.join(x);
    b.pass(3_000_000);
    // One of three sees it gone: that is not more than half.
    b.cut.extend([(owner, x), (x, owner)]);
    b.ledgers[owner].set_reachable(b.now, Node(x as u32), false);
    b.ledgers[x].set_reachable(b.now, Node(owner as u32), false);
    b.pass(8_000_000);
    for node in 0..4 {
        assert!(b.ledgers[node].replica_set().version <= 1, "{:?}", b.ledgers[node].replica_set());
    }
    assert_eq!(b.ledgers[y].metrics().replica_sets, 0);
}

#[test]
fn a_change_is_abandoned_if_who_leaves_is_back_or_the_newcomer_goes() {
    for back in [true, false] {
        let (mut b, owner, x, y) = with_spare();
        b.part(x);
        b.tell_candidates();
        // The newcomer hears nothing, so it is never repaired.
        b.cut.extend([(owner, 3), (y, 3)]);
        b.pass(4_700_000);
        assert!(b.ledgers[owner].replica_set().joint() || b.ledgers[y].replica_set().joint());
        assert!(!b.ledgers[3].is_voter());
        if back {
            b.join(x);
            b.cut.extend([(owner, 3), (y, 3)]);
        } else {
            b.part(3);
        }
        b.pass(if back { 3_000_000 } else { 7_000_000 });
        for node in [owner, y] {
            assert!(!b.ledgers[node].replica_set().joint());
            assert_eq!(members(&b, node), vec![0, 1, 2]);
        }
        assert_eq!(b.read(y, 2).0.get(&1), Some(&(1, 7)));
    }
}

#[test]
fn a_newcomer_that_is_wiped_again_is_repaired_again_and_all_may_lose_power_in_the_middle() {
    let (mut b, owner, x, y) = with_spare();
    b.part(x);
    b.tell_candidates();
    b.pass(4_150_000);
    assert!(b.ledgers[owner].replica_set().joint(), "in the middle");
    for node in [owner, y, 3] {
        b.restart(node);
    }
    b.pass(100_000);
    b.wipe(3);
    b.tell_candidates();
    b.pass(5_000_000);
    assert!(b.ledgers[3].is_voter() && !b.ledgers[3].replica_set().joint());
    assert_eq!(members(&b, 3), members(&b, owner));
    b.part(owner);
    b.pass(4_000_000);
    assert_eq!(b.read(3, 2).0.get(&1), Some(&(1, 7)));
}

/// Replaces `x` while its links are cut, without telling it.
fn replaced(broken: Option<Mutation>) -> (Bench, usize, usize, usize) {
    let (mut b, owner, x, y) = with_spare();
    b.broken(broken);
    b.part(x);
    b.tell_candidates();
    b.pass(7_000_000);
    assert!(!members(&b, y).contains(&(x as u32)) && b.ledgers[3].is_voter());
    // Ownerships begin that are later than what the removed one has claimed alone and claims next.
    let claimed = b.ledgers[x].key_states()[0].promised.round;
    loop {
        let owner = b.owner().unwrap_or(owner);
        if b.ledgers[owner].owned_keys()[0].1.round > claimed + 1 {
            return (b, owner, x, y);
        }
        b.restart(owner);
        b.broken(broken);
        b.pass(4_000_000);
    }
}

#[test]
fn a_removed_replica_that_returns_is_a_candidate_and_passes_calls() {
    let (mut b, _, x, y) = replaced(None);
    assert!(b.ledgers[x].is_voter(), "it doesn't know yet");
    b.join(x);
    b.pass(4_000_000);
    assert!(b.ledgers[x].is_outside() && !b.ledgers[x].is_voter());
    b.call(x, 2, &[(2, 1, 8)]);
    b.pass(700_000);
    assert!(b.done(2), "{:?}", b.answers.get(&2));
    assert!(b.read(x, 3).0.contains_key(&2));
    // And it may come again: what it had counts for nothing until it is repaired.
    b.tell_candidates();
    let gone = (0..4).find(|n| members(&b, y).contains(&(*n as u32)) && *n != y).expect("another");
    b.part(gone);
    b.pass(8_000_000);
    assert!(b.ledgers[x].is_voter() && members(&b, y).contains(&(x as u32)));
    assert!(b.read(x, 4).0.contains_key(&2));
}

#[test]
fn a_wiped_replica_asks_who_the_replicas_are_and_goes_by_no_hint() {
    let (mut b, owner, _, y) = replaced(None);
    // Its hints still name the one that was removed, and not the newcomer.
    b.part(owner);
    b.wipe(y);
    b.pass(1_000_000);
    assert!(!b.ledgers[y].is_voter(), "the newcomer alone is not more than half");
    b.join(owner);
    b.pass(3_000_000);
    assert!(b.ledgers[y].is_voter());
    assert_eq!(members(&b, y), members(&b, 3));
}

#[test]
fn at_rest_with_a_spare_one_nothing_more_is_sent() {
    let (mut b, owner, _, _) = with_spare();
    b.tell_candidates();
    b.pass(2_000_000);
    let mut messages = 0;
    for _ in 0..1000 {
        b.now += 10_000;
        for node in 0..4 {
            b.ledgers[node].tick(b.now);
            let sent =
                b.ledgers[node].take_effects().iter().filter(|d| matches!(d, Effect::Send { .. })).count();
            assert!(node == owner || sent == 0);
            messages += sent;
        }
        for node in (0..4).filter(|n| *n != owner) {
            let epoch = b.ledgers[owner].owned_keys()[0].1;
            let keys = vec![(KEY.to_owned(), epoch, 1)];
            if members(&b, owner).contains(&(node as u32)) {
                b.ledgers[node].receive(b.now, Node(owner as u32), 1, Message::Heartbeat { keys });
            }
        }
    }
    assert!((18..=22).contains(&messages), "{messages} in ten seconds");
}

/// An owner writes while it can reach nobody but who was removed: whether that is acknowledged, and whether the others
/// have it then.
fn word_of_a_removed_replica(broken: Option<Mutation>) -> (bool, bool) {
    let (mut b, owner, x, _) = replaced(broken);
    let rest: Vec<usize> = (0..4).filter(|n| *n != owner && *n != x).collect();
    b.cut.retain(|way| *way != (owner, x) && *way != (x, owner));
    let replica_set = b.ledgers[owner].replica_set().clone();
    b.ledgers[x].receive(b.now, Node(owner as u32), replica_set.version, Message::ReplicaSet { replica_set });
    b.run();
    b.cut.extend(rest.iter().flat_map(|n| [(owner, *n), (*n, owner)]));
    b.call(owner, 2, &[(2, 1, 8)]);
    // The copy is brought to the removed one, which is not in the replica set.
    let (key, epoch, at) = b.ledgers[owner].owned_keys()[0].clone();
    let version = b.ledgers[owner].replica_set().version;
    let base = b.ledgers[x].key_states()[0].accepted;
    let changes = vec![vec![(2, 1, 8)]];
    let message = Message::Append {
        key,
        epoch,
        to: Revision { epoch, sequence: at.sequence + 1 },
        base,
        changes,
        more: false,
    };
    b.ledgers[x].receive(b.now, Node(owner as u32), version, message);
    b.run();
    let done = b.done(2);
    b.part(owner);
    b.part(x);
    b.pass(4_000_000);
    (done, b.read(rest[0], 3).0.contains_key(&2))
}

#[test]
fn a_removed_replica_votes_no_more() {
    assert_eq!(word_of_a_removed_replica(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn a_removed_replica_that_votes_is_caught() {
    assert_eq!(
        word_of_a_removed_replica(Some(Mutation::RemovedReplicaVotes)),
        (true, false),
        "acknowledged and lost"
    );
}

/// A change is acknowledged by the owner and one other, which is lost for good. The one that lacks it and the newcomer
/// hear of the change's two steps while the owner is away: whether another content is acknowledged without it.
fn newcomer_before_its_repair(broken: Option<Mutation>) -> bool {
    let (mut b, owner, x, y) = with_spare();
    b.broken(broken);
    b.cut.insert((owner, y));
    b.call(owner, 2, &[(2, 1, 8)]);
    assert!(b.done(2));
    b.part(x);
    b.part(owner);
    let mut replica_set = b.ledgers[y].replica_set().clone();
    replica_set.members.push((Node(3), replica_set.version + 1));
    (replica_set.leaving, replica_set.joining) = (Some(Node(x as u32)), Some(Node(3)));
    for step in 0..2 {
        replica_set.version += 1;
        if step == 1 {
            replica_set.members.retain(|m| m.0 != Node(x as u32));
            (replica_set.leaving, replica_set.joining) = (None, None);
        }
        for node in [y, 3] {
            let replica_set = replica_set.clone();
            b.ledgers[node].receive(
                b.now,
                Node(owner as u32),
                replica_set.version,
                Message::ReplicaSet { replica_set },
            );
        }
        b.run();
    }
    b.pass(3_000_000);
    assert_eq!(b.ledgers[3].is_voter(), broken.is_some());
    b.call(y, 3, &[(2, 1, 9)]);
    b.pass(900_000);
    b.done(3)
}

#[test]
fn a_newcomer_is_no_voter_until_it_is_repaired() {
    assert!(!newcomer_before_its_repair(None));
}

#[cfg(feature = "mutants")]
#[test]
fn a_newcomer_that_votes_before_its_repair_is_caught() {
    assert!(
        newcomer_before_its_repair(Some(Mutation::JoiningReplicaVotesUnrepaired)),
        "another content of a version that was acknowledged"
    );
}

/// Who was removed and doesn't know it owns the key under the old replica set with one that knows: whether what they write is
/// acknowledged, and whether the others have it then.
fn old_owner_after_the_change(broken: Option<Mutation>) -> (bool, bool) {
    let (mut b, _, x, y) = replaced(broken);
    // x still votes under the first replica set, and claims there with whoever heeds it.
    let rest: Vec<usize> = (0..4).filter(|n| *n != x && *n != y).collect();
    b.cut.retain(|way| *way != (y, x) && *way != (x, y));
    b.cut.extend(rest.iter().flat_map(|n| [(y, *n), (*n, y)]));
    // It has the later owner's copy, so nobody that heeds it has more.
    let (key, epoch, at) = b.ledgers[b.owner().expect("an owner")].owned_keys()[0].clone();
    let base = b.ledgers[x].key_states()[0].accepted;
    let message = Message::Append { key, epoch, to: at, base, changes: Vec::new(), more: false };
    let version = b.ledgers[x].replica_set().version;
    b.ledgers[x].receive(b.now, Node(epoch.owner), version, message);
    b.run();
    assert!(broken.is_none() || b.ledgers[x].key_states()[0].accepted == at);
    b.ledgers[x].set_reachable(b.now, Node(y as u32), true);
    b.call(x, 2, &[(2, 1, 8)]);
    b.pass(700_000);
    let done = b.done(2);
    b.part(x);
    b.part(y);
    b.pass(4_000_000);
    (done, b.read(rest[0], 3).0.contains_key(&2))
}

#[test]
fn an_old_replica_sets_owner_writes_nothing_after_the_change() {
    assert_eq!(old_owner_after_the_change(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn an_old_replica_sets_owner_that_is_heeded_is_caught() {
    assert_eq!(
        old_owner_after_the_change(Some(Mutation::AcceptsOlderReplicaSetMessages)),
        (true, false),
        "acknowledged and lost"
    );
}

/// In the middle of a change the owner reaches who is to leave alone, and writes; then the change comes into force without
/// them: whether that is acknowledged, and whether the others have it.
fn joint_with_the_old_half_alone(broken: Option<Mutation>) -> (bool, bool) {
    let (mut b, owner, x, y) = with_spare();
    b.broken(broken);
    let mut replica_set = b.ledgers[y].replica_set().clone();
    replica_set.version += 1;
    replica_set.members.push((Node(3), replica_set.version));
    (replica_set.leaving, replica_set.joining) = (Some(Node(x as u32)), Some(Node(3)));
    // All know the joint replica set, and the newcomer is repaired.
    for node in 0..4 {
        let replica_set = replica_set.clone();
        b.ledgers[node].receive(b.now, Node(9), replica_set.version, Message::ReplicaSet { replica_set });
    }
    b.run();
    // y and the newcomer see neither of the others, and these don't see them.
    for (near, far) in [(owner, y), (owner, 3), (x, y), (x, 3)] {
        b.cut.extend([(near, far), (far, near)]);
        b.ledgers[near].set_reachable(b.now, Node(far as u32), false);
        b.ledgers[far].set_reachable(b.now, Node(near as u32), false);
    }
    b.call(owner, 2, &[(2, 1, 8)]);
    b.pass(700_000);
    let done = b.done(2);
    // Decided by more than half of both, before the cut: the change is in force.
    let mut next = replica_set.clone();
    next.version += 1;
    next.members.retain(|m| m.0 != Node(x as u32));
    (next.leaving, next.joining) = (None, None);
    for node in [y, 3] {
        let replica_set = next.clone();
        b.ledgers[node].receive(b.now, Node(9), replica_set.version, Message::ReplicaSet { replica_set });
    }
    b.pass(4_000_000);
    (done, b.read(y, 3).0.contains_key(&2))
}

#[test]
fn in_the_middle_of_a_change_more_than_half_of_both_is_needed() {
    assert_eq!(joint_with_the_old_half_alone(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn a_change_with_the_old_quorum_alone_is_caught() {
    assert_eq!(
        joint_with_the_old_half_alone(Some(Mutation::OldQuorumOnly)),
        (true, false),
        "acknowledged and lost"
    );
}

#[test]
fn a_change_begun_for_one_that_is_back_goes_on_when_another_is_lost() {
    let (mut b, owner, x, y) = with_spare();
    b.part(y);
    let mut replica_set = b.ledgers[owner].replica_set().clone();
    replica_set.version += 1;
    replica_set.members.push((Node(3), replica_set.version));
    (replica_set.leaving, replica_set.joining) = (Some(Node(x as u32)), Some(Node(3)));
    let version = replica_set.version;
    b.ledgers[owner].receive(b.now, Node(9), version, Message::ReplicaSet { replica_set });
    b.pass(2_000_000);
    assert!(!b.ledgers[owner].replica_set().joint(), "abandoned");
    b.call(x, 2, &[(2, 1, 8)]);
    b.pass(700_000);
    assert!(b.done(2));
    b.tell_candidates();
    b.pass(5_000_000);
    let mut left = vec![owner as u32, x as u32, 3];
    left.sort();
    assert_eq!(members(&b, owner), left);
    assert!(b.ledgers[3].is_voter() && b.read(3, 3).0.contains_key(&2));
}

/// All pieces of the key as it stands at its owner.
fn pieces(b: &mut Bench, owner: usize, asks: usize) -> Vec<L> {
    let (key, _, at) = b.ledgers[owner].owned_keys()[0].clone();
    let (mut pieces, mut offset) = (Vec::new(), 0);
    loop {
        let message = Message::SnapshotRequest { key: key.clone(), at, offset };
        b.ledgers[owner].receive(b.now, Node(asks as u32), 1, message);
        for effect in b.ledgers[owner].take_effects() {
            let Effect::Send { message, .. } = effect else { panic!("{effect:?}") };
            let Message::SnapshotChunk { total, bytes, .. } = &message else { panic!("{message:?}") };
            offset += bytes.len() as u64;
            let last = offset >= *total;
            pieces.push(message);
            if last {
                return pieces;
            }
        }
    }
}

/// A replica that is behind gets pieces by hand, of two revisions: whether it takes what is torn, lacks a piece, is of both, and
/// of the older one after the later.
fn snapshots(broken: Option<Mutation>) -> [bool; 4] {
    let (mut b, owner) = Bench::settled();
    let (x, y) = others(owner);
    b.broken(broken);
    b.ledgers.iter_mut().for_each(|l| l.set_snapshot_chunk_bytes(5));
    b.part(x);
    let mut sent = Vec::new();
    for version in [1, 2] {
        let change: Vec<_> = (0..30).map(|item| (item, version, 1_000 * version + u64::from(item))).collect();
        b.call(owner, version, &change);
        assert!(b.done(version));
        sent.push(pieces(&mut b, owner, y));
    }
    let [old, new] = [sent[0].clone(), sent[1].clone()];
    assert!(old.len() > 3 && old.len() == new.len());
    let values = |b: &Bench| b.disks[x].keys[0].value.clone();
    let nothing = values(&b);
    let mut brought = |pieces: Vec<L>| {
        for piece in pieces {
            b.ledgers[x].receive(b.now, Node(owner as u32), 1, piece);
        }
        b.run();
        (values(&b), b.ledgers[x].metrics().torn)
    };
    let mut torn = old.clone();
    let Message::SnapshotChunk { bytes, .. } = &mut torn[1] else { panic!("a piece") };
    bytes[0] ^= 0x80;
    let (is, count) = brought(torn);
    let torn = is != nothing;
    assert!(torn || count == 1);
    let lacks = brought(old[..2].iter().chain(&old[3..]).cloned().collect()).0 != nothing;
    let mixed = brought([&old[..2], &new[2..]].concat()).0 != nothing;
    let whole = brought(new.clone()).0;
    assert!(whole.0.iter().all(|(i, one)| *one == (2, 2_000 + u64::from(*i))) && whole.0.len() == 30);
    let older = brought(old).0 != whole;
    [torn, lacks, mixed, older]
}

#[test]
fn a_snapshot_torn_mixed_or_old_is_never_taken() {
    assert_eq!(snapshots(None), [false; 4]);
}

#[cfg(feature = "mutants")]
#[test]
fn a_snapshot_put_together_from_two_is_caught() {
    assert!(snapshots(Some(Mutation::MixesSnapshotRevisions))[2]);
}

#[cfg(feature = "mutants")]
#[test]
fn an_old_snapshot_over_a_newer_value_is_caught() {
    assert!(snapshots(Some(Mutation::InstallsOlderSnapshots))[3]);
}
