//! The encoding of the configuration, of its changes and of its history, held to fixed bytes: they are kept on disks and sent
//! between machines of different builds. The items are those of `data/call.json`.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::State;
use silvercross_mesh_config::{
    parse_change, parse_update, Configuration, ConfigurationWithMembers, VersionedConfiguration,
};
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

const CALL: &[u8] = include_bytes!("data/call.json");
/// A later version of one item of the call.
const LATER: &[u8] =
    br#"{"deliver":{"destinations":[{"name":"a","healthPath":"/h","lineCap":1,"edition":9}]}}"#;

#[test]
fn configuration_and_changes_are_encoded_as_they_always_were() {
    let call = parse_update(CALL).expect("valid");
    let later = parse_change(LATER).expect("valid");
    let mut configuration = Configuration::default();
    assert_eq!(configuration.apply(&call.configuration), Ok(true));
    let mut whole = ConfigurationWithMembers::default();
    assert_eq!(whole.apply(&call), Ok(true));
    let mut tracked = VersionedConfiguration::default();
    assert_eq!(tracked.merge(&call.configuration, &call.members), Ok(true));
    assert_eq!(tracked.merge(&later, &Default::default()), Ok(true));
    assert!(!tracked.history.is_empty());

    let mut lines = String::new();
    add(&mut lines, "change", call.configuration.clone());
    add(&mut lines, "change/one-item", later);
    add(&mut lines, "call", call);
    add(&mut lines, "configuration", configuration);
    add(&mut lines, "whole", whole);
    add(&mut lines, "tracked", tracked);
    add(&mut lines, "configuration/empty", Configuration::default());
    add(&mut lines, "whole/empty", ConfigurationWithMembers::default());
    add(&mut lines, "tracked/empty", VersionedConfiguration::default());
    assert!(lines == TABLE, "the encoding has changed; it is now:\n{lines}");
}
