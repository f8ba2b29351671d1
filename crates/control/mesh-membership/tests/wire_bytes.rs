//! The encoding of every letter and datagram between machines, held to fixed bytes: machines of different builds talk to
//! each other.

use bitcode::{DecodeOwned, Encode};
use silvercross_mesh_membership::{Datagram, Letter, Node, Page, Record, Standing, Version};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

/// Adds the line of a value to `lines`, after reading the value back from its encoding.
fn add<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("a string grows");
}

type Said = Letter<(u16, String)>;

fn record(node: u32) -> Record<(u16, String)> {
    Record {
        node: Node(node),
        life: 1_700_000_000_000,
        seq: 300,
        zone: "zone-a".to_string(),
        core: true,
        gone: false,
        body: (9_000, "body".to_string()),
    }
}

fn standing() -> Standing {
    Standing { path: vec![Node(7), Node(0x7f00_0001)], peers: vec![Node(2)], full: true }
}

fn page() -> Page {
    Page { key: "configuration".to_string(), revision: (3, 0x7f00_0001, 70_000), bytes: vec![0, 1, 255] }
}

fn keyed() -> Vec<(String, (u64, u64, u64))> {
    vec![("configuration".to_string(), (3, 0x7f00_0001, 70_000)), ("evacuation/a".to_string(), (1, 2, 3))]
}

#[test]
fn letters_and_datagrams_are_encoded_as_they_always_were() {
    let versions = vec![record(7).version(), Version { gone: true, ..record(8).version() }];
    let letters: Vec<(&str, Said)> = vec![
        ("hello", Letter::Hello { record: record(7), digest: 1 << 60, known: 12, standing: standing() }),
        ("pulse", Letter::Pulse { digest: 5, ask: true, standing: Standing::default() }),
        ("sums", Letter::Sums { sums: vec![1, 1 << 31] }),
        ("index", Letter::Index { parts: vec![0, 200], records: versions, pages: keyed() }),
        ("want", Letter::Want { records: vec![Node(7), Node(8)], pages: vec!["configuration".to_string()] }),
        ("news", Letter::News { records: vec![Record { gone: true, ..record(8) }], pages: vec![page()] }),
        ("snapshot", Letter::Snapshot { records: vec![record(7), record(8)], pages: vec![page()] }),
        ("freshness-request", Letter::FreshnessRequest { number: 9 }),
        ("freshness-reply", Letter::FreshnessReply { number: 9, revisions: Some(keyed()) }),
        ("freshness-reply-none", Letter::FreshnessReply { number: 9, revisions: None }),
    ];
    let datagrams = vec![
        ("beat", Datagram::Beat { life: 1_700_000_000_000, seq: 300 }),
        ("dead", Datagram::Dead { life: 1_700_000_000_000, seq: 300 }),
        ("ask", Datagram::Ask { about: Node(7), life: 4 }),
        ("agree", Datagram::Agree { about: Node(7), life: 4 }),
        ("heard", Datagram::Heard { about: Node(7), life: 4, ago: 750_000 }),
    ];
    let mut lines = String::new();
    for (name, letter) in letters {
        add(&mut lines, &format!("letter/{name}"), letter);
    }
    for (name, datagram) in datagrams {
        add(&mut lines, &format!("datagram/{name}"), datagram);
    }
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
