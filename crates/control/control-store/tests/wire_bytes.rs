//! The encoding of every message between replicas and of every stored record, held to fixed bytes: replicas of different
//! builds talk to each other, and read each other's disks.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::{
    CallOutcome, Epoch, ForwardReply, Incarnation, Incarnations, KeySummary, Message, Metadata, Node,
    Rejection, ReplicaSet, Request, Revision, StoredKey, Vote,
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
    Revision { epoch: epoch(), sequence: 70_000 }
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
        joining: Some(Node(4)),
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
        ("yield", Message::ClaimRequest { key: key(), epoch: epoch() }),
        (
            "copy",
            Message::Append {
                key: key(),
                epoch: epoch(),
                to: Revision { sequence: 70_002, ..at },
                base: at,
                changes: vec![7, 1 << 40],
                more: true,
            },
        ),
        (
            "kept",
            Message::Appended { key: key(), epoch: epoch(), sequence: 70_000, incarnations: incarnations() },
        ),
        ("behind", Message::Behind { key: key(), epoch: epoch(), accepted: at, whole: true }),
        ("fetch", Message::SnapshotRequest { key: key(), at, offset: 65_536 }),
        (
            "piece",
            Message::SnapshotChunk {
                key: key(),
                at,
                offset: 65_536,
                total: 65_539,
                digest: (1 << 40, 9),
                bytes: vec![1, 2, 255],
            },
        ),
        ("higher", Message::HigherEpoch { key: key(), epoch: epoch() }),
        ("confirm", Message::ConfirmEpoch { key: key(), epoch: epoch(), round: 12 }),
        ("confirmed", Message::EpochConfirmed { key: key(), epoch: epoch(), round: 12 }),
        ("resigned", Message::OwnershipReleased { key: key(), epoch: epoch() }),
        ("heartbeat", Message::Heartbeat { keys: vec![(key(), epoch(), 70_000), ("b".into(), epoch(), 1)] }),
        ("forward-change", Message::Forward { id: 5, key: key(), under: epoch(), ask: Request::Change(900) }),
        ("forward-read", Message::Forward { id: 6, key: key(), under: epoch(), ask: Request::Read }),
        ("forward-whole", Message::Forward { id: 7, key: key(), under: epoch(), ask: Request::ReadValue }),
        (
            "verdict-done",
            Message::ForwardReply {
                id: 5,
                under: epoch(),
                forwarded: ForwardReply::Answered(CallOutcome::Committed { revision: at, changed: true }),
            },
        ),
        (
            "verdict-refused",
            Message::ForwardReply {
                id: 5,
                under: epoch(),
                forwarded: ForwardReply::Answered(CallOutcome::Rejected(Rejection {
                    conflict: true,
                    reason: "why".into(),
                })),
            },
        ),
        (
            "verdict-value",
            Message::ForwardReply {
                id: 7,
                under: epoch(),
                forwarded: ForwardReply::Answered(CallOutcome::Value {
                    revision: at,
                    value: "content".into(),
                }),
            },
        ),
        (
            "verdict-unsettled",
            Message::ForwardReply {
                id: 5,
                under: epoch(),
                forwarded: ForwardReply::Answered(CallOutcome::Unknown),
            },
        ),
        ("verdict-at", Message::ForwardReply { id: 6, under: epoch(), forwarded: ForwardReply::ReadAt(at) }),
        (
            "verdict-not-owner",
            Message::ForwardReply { id: 6, under: epoch(), forwarded: ForwardReply::NotOwner(epoch()) },
        ),
        ("recover", Message::RepairRequest { incarnation: incarnation() }),
        (
            "recovered",
            Message::RepairReply {
                incarnation: incarnation(),
                keys: vec![KeySummary { key: key(), promised: epoch(), accepted: at }],
                vote: vote(),
                incarnations: incarnations(),
            },
        ),
        ("outlived", Message::StaleIncarnation { incarnation: incarnation() }),
        ("ask-replica-set", Message::ReplicaSetRequest),
        ("replica-set", Message::ReplicaSet { replica_set: replica_set() }),
        ("in-force", Message::ReplicaSetInForce),
        (
            "had-kept",
            Message::AcknowledgedPositions {
                incarnation: incarnation(),
                keys: vec![(key(), epoch(), 70_000)],
            },
        ),
        ("propose", Message::PrepareReplicaSet { epoch: epoch(), gone: Some(Node(3)) }),
        (
            "proposed",
            Message::ReplicaSetPromise {
                epoch: epoch(),
                accepted: Some((epoch(), replica_set())),
                incarnations: incarnations(),
            },
        ),
        ("accept", Message::AcceptReplicaSet { epoch: epoch(), replica_set: replica_set() }),
        ("accepted", Message::ReplicaSetAccepted { epoch: epoch(), incarnations: incarnations() }),
        ("overruled", Message::HigherReplicaSetEpoch { epoch: epoch() }),
    ];
    for (name, message) in all {
        add(lines, &format!("message/{name}"), message);
    }
}

#[test]
fn messages_and_records_are_encoded_as_they_always_were() {
    let mut lines = String::new();
    messages(&mut lines);
    let record =
        StoredKey { key: key(), promised: epoch(), accepted: revision(), value: "content".to_string() };
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
