//! The encoding of every message and datagram between machines, compared with fixed bytes: machines with
//! different builds communicate with each other.

use bitcode::{DecodeOwned, Encode};
use silvercross_mesh_membership::{
    ControlEntry, Datagram, EntryRevision, MembershipMessage, Node, NodeRecord, RecordVersion, Revision,
    TreePosition,
};
use silvercross_time::Duration;
use std::fmt::{Debug, Write};

/// One line per value: its name and its encoding in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

/// Adds the line of a value to `lines` after decoding the encoded value.
fn add<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("a string grows");
}

type Message = MembershipMessage<(u16, String)>;

fn record(node: u32) -> NodeRecord<(u16, String)> {
    NodeRecord {
        node: Node(node),
        incarnation: 1_700_000_000_000,
        sequence: 300,
        zone: "zone-a".to_string(),
        is_control: true,
        gone: false,
        body: (9_000, "body".to_string()),
    }
}

fn position() -> TreePosition {
    TreePosition { path: vec![Node(7), Node(0x7f00_0001)], peers: vec![Node(2)], full: true }
}

fn control_entry() -> ControlEntry {
    ControlEntry {
        key: "configuration".to_string(),
        revision: Revision::new(3, 0x7f00_0001, 70_000),
        bytes: vec![0, 1, 255],
    }
}

fn entry_revisions() -> Vec<EntryRevision> {
    let of = |key: &str, revision| EntryRevision { key: key.to_string(), revision };
    vec![
        of("configuration", Revision::new(3, 0x7f00_0001, 70_000)),
        of("evacuation/a", Revision::new(1, 2, 3)),
    ]
}

#[test]
fn messages_and_datagrams_are_encoded_as_they_always_were() {
    let versions = vec![record(7).version(), RecordVersion { gone: true, ..record(8).version() }];
    let messages: Vec<(&str, Message)> = vec![
        (
            "hello",
            MembershipMessage::Hello {
                record: record(7),
                digest: 1 << 60,
                known_items: 12,
                position: position(),
            },
        ),
        (
            "keep-alive",
            MembershipMessage::KeepAlive { digest: 5, wants_reply: true, position: TreePosition::default() },
        ),
        ("bucket-digests", MembershipMessage::BucketDigests { digests: vec![1, 1 << 31] }),
        (
            "version-index",
            MembershipMessage::VersionIndex {
                buckets: vec![0, 200],
                records: versions,
                entries: entry_revisions(),
            },
        ),
        (
            "fetch",
            MembershipMessage::Fetch {
                nodes: vec![Node(7), Node(8)],
                keys: vec!["configuration".to_string()],
            },
        ),
        (
            "update",
            MembershipMessage::Update {
                records: vec![NodeRecord { gone: true, ..record(8) }],
                entries: vec![control_entry()],
            },
        ),
        (
            "snapshot",
            MembershipMessage::Snapshot {
                records: vec![record(7), record(8)],
                entries: vec![control_entry()],
            },
        ),
        ("freshness-request", MembershipMessage::FreshnessRequest { number: 9 }),
        (
            "freshness-reply",
            MembershipMessage::FreshnessReply { number: 9, revisions: Some(entry_revisions()) },
        ),
        ("freshness-reply-none", MembershipMessage::FreshnessReply { number: 9, revisions: None }),
    ];
    let datagrams = vec![
        ("heartbeat", Datagram::Heartbeat { incarnation: 1_700_000_000_000, sequence: 300 }),
        ("declared-dead", Datagram::DeclaredDead { incarnation: 1_700_000_000_000, sequence: 300 }),
        ("suspect", Datagram::Suspect { suspect: Node(7), incarnation: 4 }),
        ("suspect-confirmed", Datagram::SuspectConfirmed { suspect: Node(7), incarnation: 4 }),
        (
            "suspect-alive",
            Datagram::SuspectAlive { suspect: Node(7), incarnation: 4, elapsed: Duration::from_millis(750) },
        ),
    ];
    let mut lines = String::new();
    for (name, message) in messages {
        add(&mut lines, &format!("message/{name}"), message);
    }
    for (name, datagram) in datagrams {
        add(&mut lines, &format!("datagram/{name}"), datagram);
    }
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
