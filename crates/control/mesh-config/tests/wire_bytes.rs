//! The encodings of configurations, changes and histories must match fixed bytes: they are stored on disk and sent
//! between machines with different builds. The items are those of `data/call.json`.

use bitcode::{DecodeOwned, Encode};
use silvercross_control_store::State;
use silvercross_mesh_config::{
    parse_change, parse_update, Configuration, ConfigurationWithMembers, VersionedConfiguration,
};
use std::fmt::{Debug, Write};

/// One line per value: its name, then its encoding in hexadecimal.
const EXPECTED: &str = include_str!("data/wire.hex");

/// Appends the line of a value, after checking that its encoding decodes to the same value.
fn add_line<T: Encode + DecodeOwned + PartialEq + Debug>(lines: &mut String, name: &str, value: T) {
    let bytes = bitcode::encode(&value);
    assert_eq!(bitcode::decode::<T>(&bytes).as_ref().ok(), Some(&value), "{name}");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("writing to a string succeeds");
}

const CALL: &[u8] = include_bytes!("data/call.json");
/// A later version of one item of the call.
const LATER: &[u8] =
    br#"{"deliver":{"destinations":[{"name":"a","healthPath":"/h","lineCap":1,"edition":9}]}}"#;

#[test]
fn encodings_match_fixed_bytes() {
    let call = parse_update(CALL).expect("valid");
    let later = parse_change(LATER).expect("valid");
    let mut configuration = Configuration::default();
    assert_eq!(configuration.apply(&call.configuration), Ok(true));
    let mut with_members = ConfigurationWithMembers::default();
    assert_eq!(with_members.apply(&call), Ok(true));
    let mut versioned = VersionedConfiguration::default();
    assert_eq!(versioned.merge(&call.configuration, &call.members), Ok(true));
    assert_eq!(versioned.merge(&later, &Default::default()), Ok(true));
    assert!(!versioned.history.is_empty());

    let mut lines = String::new();
    add_line(&mut lines, "change", call.configuration.clone());
    add_line(&mut lines, "change/one-item", later);
    add_line(&mut lines, "call", call);
    add_line(&mut lines, "configuration", configuration);
    add_line(&mut lines, "whole", with_members);
    add_line(&mut lines, "tracked", versioned);
    add_line(&mut lines, "configuration/empty", Configuration::default());
    add_line(&mut lines, "whole/empty", ConfigurationWithMembers::default());
    add_line(&mut lines, "tracked/empty", VersionedConfiguration::default());
    assert!(lines == EXPECTED, "the encoding has changed; it is now:\n{lines}");
}
