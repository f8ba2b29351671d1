//! Lost disks: a replica votes only once it is repaired, and what it said with the lost disk no longer
//! counts.

use crate::common::cluster::{others, Cluster};
use crate::common::notes::Notes;
use silvercross_control_store::*;
use silvercross_time::Duration;

#[test]
fn a_wiped_replica_is_no_voter_until_repaired() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.cut_links.insert((owner, y));
    cluster.call(owner, 1, &[(1, 1, 7)]);
    assert!(cluster.is_committed(1));
    // The other replica with the change is wiped and the owner is lost: the remaining one must not answer
    // alone.
    cluster.isolate(owner);
    cluster.wipe(x);
    cluster.isolate(owner);
    cluster.advance(Duration::from_secs(3));
    assert!(!cluster.stores[x].is_voter());
    cluster.call(y, 2, &[(1, 1, 9)]);
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.answers.get(&2), Some(&CallOutcome::Unknown));
    cluster.rejoin(owner);
    cluster.advance(Duration::from_secs(3));
    assert!(cluster.stores[x].is_voter());
    assert_eq!(cluster.read(y, 3).0.get(&1), Some(&(1, 7)));
    assert!(cluster.disks[x].metadata.is_some() && cluster.disks[x].keys[0].value.0.contains_key(&1));
}

#[test]
fn what_was_acknowledged_survives_a_wipe_and_power_loss_of_the_others() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.call(x, 1, &[(1, 1, 7)]);
    assert!(cluster.is_committed(1));
    cluster.wipe(owner);
    cluster.restart(x);
    cluster.restart(y);
    cluster.advance(Duration::from_secs(4));
    assert!(cluster.stores.iter().all(|l| l.is_voter()));
    assert!(cluster.owner().is_some(), "owned again without any call");
    assert_eq!(cluster.read(owner, 2).0.get(&1), Some(&(1, 7)));
}

/// A replica confirms an append, loses its disk while the confirmation is in flight, and is repaired before
/// the owner has synced. Returns whether the change is acknowledged when the confirmation arrives, and
/// whether it is there without the owner.
fn confirmation_from_a_lost_disk(mutation: Option<Mutation>) -> (bool, bool) {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    #[cfg(feature = "mutants")]
    if let Some(mutation) = mutation {
        cluster.stores[owner].set_mutation(mutation);
    }
    assert!(mutation.is_none() || cfg!(feature = "mutants"));
    cluster.stalled_disks.insert(owner);
    cluster.cut_links.insert((owner, y));
    cluster.held_links.insert((x, owner));
    cluster.call(owner, 1, &[(1, 1, 7)]);
    let at = cluster
        .messages
        .iter()
        .position(|m| matches!(m.message, Message::Appended { sequence: 2, .. }))
        .expect("appended");
    let confirmation = cluster.messages.remove(at).expect("appended").message;
    cluster.held_links.clear();
    // Repaired from what the others had on disk, which does not include the owner's append yet.
    let (own, other) = (cluster.disks[owner].keys.clone(), cluster.disks[y].keys.clone());
    cluster.cut_links.extend([(owner, x), (y, x)]);
    cluster.disks[x] = StoredState::default();
    cluster.restart(x);
    let replica_set = cluster.stores[y].replica_set().clone();
    cluster.receive(x, y, 1, Message::ReplicaSet { replica_set });
    cluster.run();
    let incarnation = cluster.repairing_as[&x];
    cluster.cut_links.remove(&(y, x));
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
        cluster.receive(x, from, 1, message);
    }
    cluster.run();
    assert!(cluster.stores[x].is_voter());
    cluster.cut_links.insert((y, x));
    cluster.receive(owner, x, 1, confirmation);
    cluster.sync(owner);
    cluster.run();
    cluster.sync(owner);
    cluster.run();
    let done = cluster.is_committed(1);
    cluster.cut_links.remove(&(y, x));
    cluster.isolate(owner);
    cluster.advance(Duration::from_secs(4));
    (done, cluster.read(y, 2).0.contains_key(&1))
}

#[test]
fn confirmations_from_a_lost_disk_do_not_count() {
    assert_eq!(confirmation_from_a_lost_disk(None), (false, false));
}

#[cfg(feature = "mutants")]
#[test]
fn counting_what_a_lost_disk_confirmed_is_caught() {
    assert_eq!(
        confirmation_from_a_lost_disk(Some(Mutation::CountsEarlierIncarnations)),
        (true, false),
        "acknowledged and lost"
    );
}
