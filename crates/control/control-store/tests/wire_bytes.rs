//! The encoding of every message between replicas and of every stored record, held to fixed bytes: replicas of different
//! builds talk to each other, and read each other's disks.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::{
    Epoch, Forwarded, Held, Incarnation, Incarnations, Message, Metadata, Node, Refusal, ReplicaSet, Request,
    Revision, Stored, Verdict, Vote,
};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

type Said = Message<String, u64>;

/// Adds the line of a value to `lines`, after reading the value back from its encoding.
fn add<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("a string grows");
}

fn key() -> String {
    "zone/a".to_string()
}

fn epoch() -> Epoch {
    Epoch { round: 300, owner: 0x7f00_0001 }
}

fn revision() -> Revision {
    Revision { epoch: epoch(), seq: 70_000 }
}

fn incarnation() -> Incarnation {
    Incarnation { count: 2, nonce: 0x1122_3344_5566_7788 }
}

fn incarnations() -> Incarnations {
    Incarnations { mine: incarnation(), others: vec![(Node(2), Incarnation { count: 1, nonce: 9 })] }
}

fn replica_set() -> ReplicaSet {
    ReplicaSet {
        version: 4,
        members: vec![(Node(1), 1), (Node(2), 1), (Node(3), 1), (Node(4), 4)],
        leaving: Some(Node(3)),
        coming: Some(Node(4)),
    }
}

fn vote() -> Vote {
    Vote { promised: epoch(), accepted: Some((Epoch { round: 299, owner: 2 }, replica_set())) }
}

fn messages(lines: &mut String) {
    let (at, key) = (revision(), key);
    let all: Vec<(&str, Said)> = vec![
        ("claim", Message::Claim { key: key(), epoch: epoch() }),
        (
            "promise",
            Message::Promise { key: key(), epoch: epoch(), accepted: at, incarnations: incarnations() },
        ),
        ("yield", Message::Yield { key: key(), epoch: epoch() }),
        (
            "copy",
            Message::Copy {
                key: key(),
                epoch: epoch(),
                to: Revision { seq: 70_002, ..at },
                base: at,
                changes: vec![7, 1 << 40],
                more: true,
            },
        ),
        ("kept", Message::Kept { key: key(), epoch: epoch(), seq: 70_000, incarnations: incarnations() }),
        ("behind", Message::Behind { key: key(), epoch: epoch(), accepted: at, whole: true }),
        ("fetch", Message::Fetch { key: key(), at, offset: 65_536 }),
        (
            "piece",
            Message::Piece {
                key: key(),
                at,
                offset: 65_536,
                total: 65_539,
                digest: (1 << 40, 9),
                bytes: vec![1, 2, 255],
            },
        ),
        ("higher", Message::Higher { key: key(), epoch: epoch() }),
        ("confirm", Message::Confirm { key: key(), epoch: epoch(), round: 12 }),
        ("confirmed", Message::Confirmed { key: key(), epoch: epoch(), round: 12 }),
        ("resigned", Message::Resigned { key: key(), epoch: epoch() }),
        ("heartbeat", Message::Heartbeat { keys: vec![(key(), epoch(), 70_000), ("b".into(), epoch(), 1)] }),
        ("forward-change", Message::Forward { id: 5, key: key(), under: epoch(), ask: Request::Change(900) }),
        ("forward-read", Message::Forward { id: 6, key: key(), under: epoch(), ask: Request::Read }),
        ("forward-whole", Message::Forward { id: 7, key: key(), under: epoch(), ask: Request::Whole }),
        (
            "verdict-done",
            Message::Verdict {
                id: 5,
                under: epoch(),
                forwarded: Forwarded::Given(Verdict::Done { revision: at, changed: true }),
            },
        ),
        (
            "verdict-refused",
            Message::Verdict {
                id: 5,
                under: epoch(),
                forwarded: Forwarded::Given(Verdict::Refused(Refusal {
                    conflict: true,
                    reason: "why".into(),
                })),
            },
        ),
        (
            "verdict-value",
            Message::Verdict {
                id: 7,
                under: epoch(),
                forwarded: Forwarded::Given(Verdict::Value { revision: at, value: "content".into() }),
            },
        ),
        (
            "verdict-unsettled",
            Message::Verdict { id: 5, under: epoch(), forwarded: Forwarded::Given(Verdict::Unsettled) },
        ),
        ("verdict-at", Message::Verdict { id: 6, under: epoch(), forwarded: Forwarded::At(at) }),
        (
            "verdict-not-owner",
            Message::Verdict { id: 6, under: epoch(), forwarded: Forwarded::NotOwner(epoch()) },
        ),
        ("recover", Message::Recover { incarnation: incarnation() }),
        (
            "recovered",
            Message::Recovered {
                incarnation: incarnation(),
                keys: vec![Held { key: key(), promised: epoch(), accepted: at }],
                vote: vote(),
                incarnations: incarnations(),
            },
        ),
        ("outlived", Message::Outlived { incarnation: incarnation() }),
        ("ask-replica-set", Message::AskReplicaSet),
        ("replica-set", Message::ReplicaSet { replica_set: replica_set() }),
        ("in-force", Message::InForce),
        ("had-kept", Message::HadKept { incarnation: incarnation(), keys: vec![(key(), epoch(), 70_000)] }),
        ("propose", Message::Propose { epoch: epoch(), gone: Some(Node(3)) }),
        (
            "proposed",
            Message::Proposed {
                epoch: epoch(),
                accepted: Some((epoch(), replica_set())),
                incarnations: incarnations(),
            },
        ),
        ("accept", Message::Accept { epoch: epoch(), replica_set: replica_set() }),
        ("accepted", Message::Accepted { epoch: epoch(), incarnations: incarnations() }),
        ("overruled", Message::Overruled { epoch: epoch() }),
    ];
    for (name, message) in all {
        add(lines, &format!("message/{name}"), message);
    }
}

#[test]
fn messages_and_records_are_encoded_as_they_always_were() {
    let mut lines = String::new();
    messages(&mut lines);
    let record = Stored { key: key(), promised: epoch(), accepted: revision(), value: "content".to_string() };
    add(&mut lines, "disk/key", record);
    let metadata = Metadata {
        replica_set: replica_set(),
        vote: vote(),
        incarnation: incarnation(),
        incarnations: vec![(Node(2), incarnation())],
    };
    add(&mut lines, "disk/metadata", metadata);
    add(&mut lines, "disk/metadata-first", Metadata::default());
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
