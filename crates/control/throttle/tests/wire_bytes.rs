//! Fixed encodings of members, lapses and their changes: these are stored on disk and sent between nodes of different
//! builds.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::State;
use silvercross_throttle::{parse_members, LapseChange, LapseState, MemberList, UnixTime};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const TABLE: &str = include_str!("data/wire.hex");

/// Appends the line of a value to `lines`, after checking that its encoding decodes to the same value.
fn add<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("writing to a string does not fail");
}

const DELIVER: &str = r#"{
    "members": [
        {"name": "ana", "key": "k1", "plan": "full", "edition": 1},
        {"name": "ben", "keys": ["k2", "k3"], "plan": "trial", "lapsesInS": 60, "edition": 2,
         "slowing": {"fullShare": 0.1, "spanS": 3600, "steps": 6}},
        {"name": "cai", "key": "k4", "plan": "trial", "lapsesAt": 1700000000.5, "edition": 3}
    ],
    "membership": {"header": "X-Member", "unknown": "refuse", "edition": 1}
}"#;
const WITHDRAW: &str = r#"{"members": [{"name": "dee", "edition": 7}]}"#;

#[test]
fn members_and_lapses_are_encoded_as_they_always_were() {
    let map = |text: &str| serde_json::from_str(text).expect("a JSON object");
    let change = parse_members(&map(DELIVER), &map(WITHDRAW)).expect("valid");
    let mut list = MemberList::default();
    assert_eq!(list.apply(&change), Ok(true));
    let lapse = LapseState {
        version: Some(2),
        due: Some(UnixTime::from_micros(1_700_000_000_000_000)),
        begun: true,
        step: 3,
        total_steps: 6,
        renewals: 1,
    };

    let mut lines = String::new();
    add(&mut lines, "sent", change);
    add(&mut lines, "roll", list);
    add(&mut lines, "roll/empty", MemberList::default());
    add(&mut lines, "lapse", lapse);
    add(&mut lines, "lapse/none", LapseState::default());
    add(&mut lines, "change/renew", LapseChange::Renew { version: 2, total_steps: 6 });
    add(
        &mut lines,
        "change/due",
        LapseChange::Due { version: 2, at: UnixTime::from_micros(1_700_000_000_000_000) },
    );
    add(&mut lines, "change/begin", LapseChange::Begin { version: 2 });
    add(&mut lines, "change/step", LapseChange::Step { version: 2, to: 4 });
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
