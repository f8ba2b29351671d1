//! The encoding of every message between replicas and of every stored record, compared with fixed bytes:
//! replicas of different builds exchange messages and read each other's disks.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::{
    AcceptedReplicaSet, CallOutcome, Epoch, ForwardReply, Incarnation, Incarnations, KeyPosition, KeySummary,
    Member, Message, Metadata, Node, NodeIncarnation, Rejection, ReplicaSet, Request, Revision,
    SnapshotDigest, StoredKey, Vote,
};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

type StringMessage = Message<String, u64>;

/// Adds the line of a value to `lines`, after decoding the value from its encoding.
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

fn position(key: String, sequence: u64) -> KeyPosition {
    KeyPosition { key, epoch: epoch(), sequence }
}

fn incarnation() -> Incarnation {
    Incarnation { count: 2, nonce: 0x1122_3344_5566_7788 }
}

fn incarnations() -> Incarnations {
    Incarnations {
        own: incarnation(),
        others: vec![NodeIncarnation { node: Node(2), incarnation: Incarnation { count: 1, nonce: 9 } }],
    }
}

fn replica_set() -> ReplicaSet {
    ReplicaSet {
        version: 4,
        members: [(1, 1), (2, 1), (3, 1), (4, 4)]
            .map(|(node, joined_in)| Member { node: Node(node), joined_in })
            .to_vec(),
        leaving: Some(Node(3)),
        joining: Some(Node(4)),
    }
}

fn vote() -> Vote {
    Vote {
        promised: epoch(),
        accepted: Some(AcceptedReplicaSet {
            epoch: Epoch { round: 299, owner: 2 },
            replica_set: replica_set(),
        }),
    }
}

fn messages(lines: &mut String) {
    let (at, key) = (revision(), key);
    let all: Vec<(&str, StringMessage)> = vec![
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
                revision: Revision { sequence: 70_002, ..at },
                base: at,
                changes: vec![7, 1 << 40],
                more: true,
            },
        ),
        (
            "kept",
            Message::Appended { key: key(), epoch: epoch(), sequence: 70_000, incarnations: incarnations() },
        ),
        ("behind", Message::Lagging { key: key(), epoch: epoch(), accepted: at, needs_snapshot: true }),
        ("fetch", Message::SnapshotRequest { key: key(), revision: at, offset: 65_536 }),
        (
            "piece",
            Message::SnapshotChunk {
                key: key(),
                revision: at,
                offset: 65_536,
                total_bytes: 65_539,
                digest: SnapshotDigest { first: 1 << 40, second: 9 },
                bytes: vec![1, 2, 255],
            },
        ),
        ("higher", Message::HigherEpoch { key: key(), epoch: epoch() }),
        ("confirm", Message::ConfirmEpoch { key: key(), epoch: epoch(), round: 12 }),
        ("confirmed", Message::EpochConfirmed { key: key(), epoch: epoch(), round: 12 }),
        ("resigned", Message::OwnershipReleased { key: key(), epoch: epoch() }),
        ("heartbeat", Message::Heartbeat { keys: vec![position(key(), 70_000), position("b".into(), 1)] }),
        (
            "forward-change",
            Message::Forward { id: 5, key: key(), epoch: epoch(), request: Request::Change(900) },
        ),
        ("forward-read", Message::Forward { id: 6, key: key(), epoch: epoch(), request: Request::Read }),
        (
            "forward-whole",
            Message::Forward { id: 7, key: key(), epoch: epoch(), request: Request::ReadValue },
        ),
        (
            "verdict-done",
            Message::ForwardReply {
                id: 5,
                epoch: epoch(),
                reply: ForwardReply::Answered(CallOutcome::Committed { revision: at, changed: true }),
            },
        ),
        (
            "verdict-refused",
            Message::ForwardReply {
                id: 5,
                epoch: epoch(),
                reply: ForwardReply::Answered(CallOutcome::Rejected(Rejection {
                    conflict: true,
                    reason: "why".into(),
                })),
            },
        ),
        (
            "verdict-value",
            Message::ForwardReply {
                id: 7,
                epoch: epoch(),
                reply: ForwardReply::Answered(CallOutcome::Value { revision: at, value: "content".into() }),
            },
        ),
        (
            "verdict-unsettled",
            Message::ForwardReply {
                id: 5,
                epoch: epoch(),
                reply: ForwardReply::Answered(CallOutcome::Unknown),
            },
        ),
        ("verdict-at", Message::ForwardReply { id: 6, epoch: epoch(), reply: ForwardReply::ReadAt(at) }),
        (
            "verdict-not-owner",
            Message::ForwardReply { id: 6, epoch: epoch(), reply: ForwardReply::NotOwner(epoch()) },
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
            Message::ConfirmedPositions { incarnation: incarnation(), keys: vec![position(key(), 70_000)] },
        ),
        ("propose", Message::PrepareReplicaSet { epoch: epoch(), replaced: Some(Node(3)) }),
        (
            "proposed",
            Message::ReplicaSetPromise {
                epoch: epoch(),
                accepted: Some(AcceptedReplicaSet { epoch: epoch(), replica_set: replica_set() }),
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
fn message_and_record_encodings_are_unchanged() {
    let mut lines = String::new();
    messages(&mut lines);
    let record =
        StoredKey { key: key(), promised: epoch(), accepted: revision(), value: "content".to_string() };
    add(&mut lines, "disk/key", record);
    let metadata = Metadata {
        replica_set: replica_set(),
        vote: vote(),
        incarnation: incarnation(),
        incarnations: vec![NodeIncarnation { node: Node(2), incarnation: incarnation() }],
    };
    add(&mut lines, "disk/metadata", metadata);
    add(&mut lines, "disk/metadata-first", Metadata::default());
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
