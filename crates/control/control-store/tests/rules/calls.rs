//! Calls and reads: forwarding, outcomes in time, and rejected messages and keys.

use crate::common::cluster::{others, Cluster, NotesMessage, KEY};
use crate::common::notes::Notes;
use silvercross_control_store::*;
use silvercross_time::Duration;
use std::collections::BTreeMap;

#[test]
fn the_same_change_is_acknowledged_again_anywhere() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    for (node, token) in [(owner, 1), (x, 2), (y, 3), (owner, 4)] {
        cluster.call(node, token, &[(1, 1, 7), (2, 1, 7)]);
        assert!(
            matches!(cluster.answers[&token], CallOutcome::Committed { changed, .. } if changed == (token == 1))
        );
    }
    cluster.call(x, 5, &[(3, 1, 8), (1, 1, 8)]);
    assert!(matches!(&cluster.answers[&5], CallOutcome::Rejected(r) if r.conflict));
    cluster.call(y, 6, &[(3, 1, 0)]);
    assert!(matches!(&cluster.answers[&6], CallOutcome::Rejected(r) if !r.conflict));
    assert!(!cluster.read(y, 7).0.contains_key(&3), "nothing of a rejected call is in force");
}

#[test]
fn a_call_without_a_quorum_is_unknown_in_time() {
    let mut cluster = Cluster::new(3);
    cluster.isolate(0);
    cluster.isolate(1);
    cluster.isolate(2);
    for node in 0..3 {
        cluster.call(node, node as u64, &[(1, 1, 7)]);
    }
    cluster.advance(Duration::from_millis(790));
    assert!(cluster.answers.is_empty());
    cluster.advance(Duration::from_millis(20));
    assert_eq!(cluster.answers.len(), 3);
    assert!(cluster.answers.values().all(|v| *v == CallOutcome::Unknown));
}

#[test]
fn a_paused_owner_that_resumes_answers_no_read() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, y) = others(owner);
    cluster.cut_links.extend([(x, owner), (y, owner)]);
    cluster.call(x, 1, &[(1, 1, 7)]);
    cluster.advance(Duration::from_millis(600));
    assert!(cluster.is_committed(1));
    // It does not know yet that it was superseded. Its messages arrive, but nobody confirms its epoch.
    cluster.stores[owner].read(cluster.now, 2, KEY);
    cluster.run();
    assert!(!cluster.answers.contains_key(&2));
    cluster.cut_links.clear();
    cluster.advance(Duration::from_millis(600));
    assert!(matches!(&cluster.answers[&2], CallOutcome::Value { value, .. } if value.0.contains_key(&1)));
}

#[test]
fn a_forwarded_call_is_served_under_its_epoch_alone_and_once() {
    let (mut cluster, owner) = Cluster::settled();
    let (x, _) = others(owner);
    let epoch = cluster.owned(owner).epoch;
    let old = Epoch { round: 0, owner: owner as u32 };
    let forward = |id, epoch| Message::Forward {
        id,
        key: KEY.into(),
        epoch,
        request: Request::Change(vec![(1, id, id)]),
    };
    cluster.receive(owner, x, 1, forward(5, old));
    cluster.run();
    assert!(cluster.read(owner, 1).0.is_empty(), "a late call does nothing under a later ownership");
    for _ in 0..2 {
        cluster.receive(owner, x, 1, forward(6, epoch));
        cluster.run();
    }
    assert_eq!(cluster.owned(owner).revision.sequence, 2, "a duplicate is served once");
}

#[test]
fn unknown_senders_and_keys_beyond_the_limit_are_rejected() {
    let (mut cluster, owner) = Cluster::settled();
    let key = "k".repeat(300);
    cluster.stores[owner].receive(
        cluster.now,
        Node(77),
        1,
        Message::Lagging {
            key: KEY.into(),
            epoch: Epoch::default(),
            accepted: Revision::default(),
            needs_snapshot: true,
        },
    );
    assert_eq!(cluster.stores[owner].metrics().unknown_senders, 1);
    cluster.stores[owner].call(cluster.now, 1, &key, vec![(1, 1, 1)]);
    cluster.run();
    assert!(matches!(cluster.answers[&1], CallOutcome::Rejected(_)));
    for k in 0..5000u64 {
        cluster.stores[owner].call(cluster.now, 10 + k, &format!("key-{k}"), vec![(1, 1, 1)]);
        cluster.stores[owner].take_effects();
    }
    assert_eq!(cluster.stores[owner].key_states().len(), 4096);
}

#[test]
fn messages_survive_encoding_and_decoding() {
    let epoch = Epoch { round: 3, owner: 1 };
    let value = Notes(BTreeMap::from([(1, (2, 3))]));
    let base = Revision { epoch, sequence: 3 };
    let messages: [NotesMessage; 4] = [
        Message::Append {
            key: KEY.into(),
            epoch,
            revision: Revision { epoch, sequence: 4 },
            base,
            changes: vec![vec![(1, 2, 3)]],
            more: false,
        },
        Message::SnapshotChunk {
            key: KEY.into(),
            revision: base,
            offset: 2,
            total_bytes: 9,
            digest: SnapshotDigest { first: 1, second: 2 },
            bytes: vec![7; 3],
        },
        Message::ForwardReply {
            id: 9,
            epoch,
            reply: ForwardReply::Answered(CallOutcome::Value { revision: Revision::default(), value }),
        },
        Message::RepairRequest { incarnation: Incarnation { count: 1, nonce: 2 } },
    ];
    for message in messages {
        let bytes = bitcode::encode(&message);
        assert_eq!(bitcode::decode::<NotesMessage>(&bytes).ok(), Some(message));
        assert!(bitcode::decode::<NotesMessage>(&bytes[..bytes.len() - 1]).is_err());
    }
}
