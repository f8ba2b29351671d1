//! Compatibility with a store written by version 0.1.0 (`tests/data/control-store-0.1.0`): it is read, written and read
//! again.
use super::super::database::DATABASE_FILE;
use super::super::{open, DiskEvent, DiskWrite};
use crate::control_value::ControlValue;
use silvercross_control_store::{Node, Revision, StoredKey, StoredState};
use std::fmt::Write as _;
use std::path::PathBuf;

const STORE: &[u8] = include_bytes!("../../../tests/data/control-store-0.1.0/control-store.redb");
/// One line per record of the store: its key, then its bytes in hexadecimal.
const RECORDS: &str = include_str!("../../../tests/data/control-store-0.1.0/records.hex");
/// The configuration in the store, as returned to operators.
const CONFIGURATION: &str = include_str!("../../../tests/data/control-store-0.1.0/configuration.json");

/// Creates a temporary folder with a copy of the store.
fn copy_store(name: &str) -> PathBuf {
    let folder_path = std::env::temp_dir().join(format!("silvercross-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder_path);
    std::fs::create_dir_all(&folder_path).expect("made");
    std::fs::write(folder_path.join(DATABASE_FILE), STORE).expect("copied");
    folder_path
}

fn line(name: &str, bytes: &[u8]) -> String {
    let mut line = format!("{name} ");
    bytes.iter().for_each(|byte| write!(line, "{byte:02x}").expect("a string grows"));
    line + "\n"
}

fn lines(disk: &StoredState<ControlValue>) -> String {
    let metadata = disk.metadata.iter().map(|m| line("metadata", &bitcode::encode(m)));
    let keys = disk.keys.iter().map(|k| line(&k.key, &bitcode::encode(k)));
    metadata.chain(keys).collect()
}

fn value<'a>(disk: &'a StoredState<ControlValue>, key: &str) -> &'a ControlValue {
    &disk.keys.iter().find(|stored| stored.key == key).expect("the key is there").value
}

#[test]
fn a_store_of_version_0_1_0_is_read_written_and_read_again() {
    let folder_path = copy_store("old-store");
    let mut opened = open(&folder_path).expect("opens");
    assert!(!opened.content_lost && opened.quarantined.is_none());
    let mut disk = opened.disk;
    assert!(lines(&disk) == RECORDS, "the records have changed; they are now:\n{}", lines(&disk));
    let metadata = disk.metadata.as_ref().expect("formatted");
    let nodes: Vec<Node> = metadata.replica_set.members.iter().map(|member| member.node).collect();
    assert_eq!(nodes, [1, 2, 3].map(|last| Node(0x7f4d_0900 | last)));
    let ControlValue::Configuration(configuration) = value(&disk, "configuration") else {
        panic!("another form of the configuration")
    };
    assert_eq!(configuration.to_json(), CONFIGURATION.trim_end());
    assert_eq!(*value(&disk, "evacuation/quay"), ControlValue::Evacuation(true));

    // Write as a replica does: a changed key, a new key and the metadata.
    let changed = disk.keys.iter_mut().find(|stored| stored.key == "evacuation/quay").expect("there");
    changed.accepted = Revision { sequence: changed.accepted.sequence + 1, ..changed.accepted };
    changed.value = ControlValue::Evacuation(false);
    let added = StoredKey {
        key: "evacuation/wood".to_string(),
        value: ControlValue::Evacuation(true),
        ..changed.clone()
    };
    let written = vec![changed.clone(), added.clone()];
    disk.keys.push(added);
    let metadata = disk.metadata.as_mut().expect("formatted");
    metadata.replica_set.version += 1;
    let write = DiskWrite { number: 1, metadata: Some(metadata.clone()), keys: written };
    opened.writes.send(write.into()).expect("the thread runs");
    assert_eq!(opened.events.blocking_recv(), Some(DiskEvent::Synced(1)));
    drop(opened.writes);
    // The thread releases the folder once the last sender is dropped.
    assert_eq!(opened.events.blocking_recv(), None);

    let again = open(&folder_path).expect("opens");
    assert!(!again.content_lost && again.quarantined.is_none());
    assert_eq!(again.disk, disk);
    drop(again);
    std::fs::remove_dir_all(&folder_path).expect("removed");
}
