//! Tests of locking, quarantine, full disks, and power loss between any two operations.
//!
//! Inside the crate, since recovery over a folder in memory and single attempts of the writer are not public.
mod departures;
mod memory_folder;
mod old_store;

use super::database::{DATABASE_FILE, KEYS_TABLE, MARKER_TABLE};
use super::folder::{DataFolder, Folder};
use super::recovery::{recover, QUARANTINE_FILES};
use super::{open, DiskError, DiskEvent, DiskWrite};
use crate::control_value::ControlValue;
use memory_folder::{MemoryFolder, Operation};
use redb::Database;
use silvercross_control_store::{Epoch, Metadata, ReplicaSet, Revision, StoredKey, StoredState};
use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

fn write(number: u64, keys: &[(&str, u64)], metadata: bool) -> DiskWrite {
    let stored = |(key, round): &(&str, u64)| StoredKey {
        key: (*key).to_string(),
        promised: Epoch { round: *round, owner: 1 },
        accepted: Revision::default(),
        value: ControlValue::Evacuation(round % 2 == 0),
    };
    let metadata = metadata.then(|| Metadata {
        replica_set: ReplicaSet { version: number, ..ReplicaSet::default() },
        ..Metadata::default()
    });
    DiskWrite { number, metadata, keys: keys.iter().map(stored).collect() }
}

/// The writes of a test, in order.
fn writes() -> Vec<DiskWrite> {
    vec![
        write(1, &[], true),
        write(2, &[("a", 1), ("b", 1)], false),
        write(3, &[("a", 2)], false),
        write(4, &[("b", 3), ("c", 3)], true),
    ]
}

/// The expected content after the first `count` of [`writes`].
fn content_after(count: usize) -> StoredState<ControlValue> {
    let mut disk = StoredState::default();
    for w in writes().into_iter().take(count) {
        disk.metadata = w.metadata.or(disk.metadata);
        for stored in w.keys {
            disk.keys.retain(|k| k.key != stored.key);
            disk.keys.push(stored);
        }
    }
    disk.keys.sort_by(|a, b| a.key.cmp(&b.key));
    disk
}

/// Applies all writes to one folder, which is closed and opened again halfway. Returns how many writes were acknowledged
/// and how many were requested.
fn write_all(folder: &MemoryFolder) -> (usize, usize) {
    let (mut acknowledged, mut requested) = (0, 0);
    let mut writer = None;
    for w in writes() {
        if requested == 2 {
            writer = None;
        }
        if writer.is_none() {
            let Ok(found) = recover(folder.clone()) else { return (acknowledged, requested) };
            assert_eq!(found.disk, content_after(acknowledged));
            writer = Some(found.writer);
        }
        let Some(k) = &mut writer else { return (acknowledged, requested) };
        requested += 1;
        k.pending.push(w.into());
        for events in k.attempt() {
            match events {
                DiskEvent::Synced(_) => acknowledged += 1,
                DiskEvent::Failed(_) => return (acknowledged, requested),
                DiskEvent::DeparturesSynced(_) | DiskEvent::OutOfSpace(_) | DiskEvent::SpaceAvailable => {}
            }
        }
    }
    (acknowledged, requested)
}

#[test]
fn power_loss_after_any_operation_keeps_every_acknowledged_write() {
    let whole = MemoryFolder::default();
    assert_eq!(write_all(&whole), (4, 4));
    let (mut cases, mut ahead) = (0, 0);
    for power in 0..=whole.operations() {
        let folder = MemoryFolder::default();
        folder.power_lost_after(power);
        let (acknowledged, requested) = write_all(&folder);
        for (how, after) in folder.after_power_loss() {
            let case = format!("power after {power} operations, {how}");
            let found = recover(after.clone()).unwrap_or_else(|e| panic!("{case}: {e}"));
            let stands = (acknowledged..=requested).find(|count| content_after(*count) == found.disk);
            let stands = stands.unwrap_or_else(|| {
                panic!("{case}: {acknowledged} were acknowledged, and the disk holds {:?}", found.disk)
            });
            assert!(!found.content_lost, "{case}: a good file was quarantined");
            // Further writes succeed.
            let mut writer = found.writer;
            writer.pending.push(write(9, &[("z", 9)], true).into());
            assert_eq!(writer.attempt(), [DiskEvent::Synced(9)], "{case}");
            drop(writer);
            let again = recover(after).unwrap_or_else(|e| panic!("{case}: {e}")).disk;
            assert_eq!(again.keys.len(), content_after(stands).keys.len() + 1, "{case}");
            cases += 1;
            ahead += usize::from(stands > acknowledged);
        }
    }
    println!(
        "{} operations, {cases} cases, {ahead} of them with an unacknowledged write on disk",
        whole.operations()
    );
    assert!(cases >= 600 && ahead >= 4, "{cases} cases, {ahead} ahead");
}

/// An intact redb file in which one record can't be decoded.
fn unreadable_record() -> Vec<u8> {
    let folder = MemoryFolder::default();
    let writer = recover(folder.clone()).expect("opens").writer;
    let tx = writer.database.as_ref().expect("open").database.begin_write().expect("begun");
    tx.open_table(MARKER_TABLE).expect("a table");
    tx.open_table(KEYS_TABLE).expect("a table").insert("a", [255; 3].as_slice()).expect("there");
    tx.commit().expect("synced");
    drop(writer);
    folder.bytes(DATABASE_FILE).expect("a file")
}

#[test]
fn a_damaged_file_is_quarantined_and_its_disk_never_counts_as_new() {
    let whole = MemoryFolder::default();
    write_all(&whole);
    let good = whole.bytes(DATABASE_FILE).expect("a file");
    let mut half = good.clone();
    half.truncate(good.len() / 2);
    let mut nameless = good.clone();
    let tables: Vec<usize> = (0..good.len() - 4).filter(|at| &good[*at..at + 4] == b"keys").collect();
    tables.iter().for_each(|at| nameless[at + 1] = b'x');
    let damaged = [
        ("no file of redb's", vec![7; 9000]),
        ("half of it", half),
        ("empty", Vec::new()),
        ("no table of keys", nameless),
        ("a record of another form", unreadable_record()),
    ];
    for (which, bytes) in damaged {
        let damaged_folder = || {
            let folder = MemoryFolder::default();
            folder.put(DATABASE_FILE, bytes.clone());
            folder
        };
        let folder = damaged_folder();
        let found = recover(folder.clone()).unwrap_or_else(|e| panic!("{which}: {e}"));
        assert!(
            found.content_lost && found.quarantined.is_some() && found.disk == StoredState::default(),
            "{which}"
        );
        // redb marks a file that it opens, so a file that it could open differs from the original.
        let evidence = folder.bytes(QUARANTINE_FILES[0]);
        let opens = which.contains("table") || which.contains("record");
        assert!(evidence.as_ref().is_some_and(|e| opens || *e == bytes), "{which}: the evidence");
        drop(found);
        // A power loss at any operation of the quarantine: the loss of the content is still detected.
        for power in 0..=folder.operations() {
            let folder = damaged_folder();
            folder.power_lost_after(power);
            drop(recover(folder.clone()));
            for (how, after) in folder.after_power_loss() {
                let found = recover(after).unwrap_or_else(|e| panic!("{which}, {power}, {how}: {e}"));
                assert!(found.content_lost, "{which}, power after {power}, {how}: taken for a new disk");
            }
        }
        // A second damaged file keeps the first one; a third one is left to the operator.
        folder.put(DATABASE_FILE, vec![8; 5000]);
        assert!(recover(folder.clone()).is_ok_and(|f| f.content_lost), "{which}");
        folder.put(DATABASE_FILE, vec![9; 5000]);
        let third = recover(folder.clone()).err();
        assert!(
            matches!(&third, Some(full @ DiskError::QuarantineFull { .. }) if full.to_string().contains("replace the disk")),
            "{third:?}"
        );
        assert!(
            QUARANTINE_FILES.map(|a| folder.bytes(a)) == [evidence, Some(vec![8; 5000])],
            "{which}: both are kept"
        );
        assert!(folder.bytes(DATABASE_FILE) == Some(vec![9; 5000]), "{which}: the third is left as it is");
        // A folder that can't be synced does not hold the new name for sure.
        let folder = damaged_folder();
        folder.fail_once(Operation::FolderSync, ErrorKind::Other);
        let failed = recover(folder).err();
        assert!(matches!(failed, Some(DiskError::SyncFailed { .. })), "{which}: {failed:?}");
    }
}

#[test]
fn no_error_but_damage_touches_the_file() {
    let whole = MemoryFolder::default();
    write_all(&whole);
    let good = whole.bytes(DATABASE_FILE).expect("a file");
    let cases = [
        (Operation::Open, ErrorKind::PermissionDenied, 2),
        (Operation::Open, ErrorKind::Other, 2),
        (Operation::Read, ErrorKind::Other, 2),
        (Operation::Write, ErrorKind::Other, 2),
        (Operation::Write, ErrorKind::ReadOnlyFilesystem, 2),
        (Operation::Sync, ErrorKind::Other, 74),
        (Operation::Sync, ErrorKind::StorageFull, 74),
        (Operation::FolderSync, ErrorKind::Other, 74),
    ];
    for (what, kind, code) in cases {
        let folder = MemoryFolder::default();
        folder.put(DATABASE_FILE, good.clone());
        folder.fail(Some((what, kind)));
        let failed = recover(folder.clone()).err().unwrap_or_else(|| panic!("{what:?} {kind}: it opened"));
        assert_eq!(failed.exit_code(), code, "{what:?} {kind}: {failed:?}");
        assert_eq!(folder.names(), [DATABASE_FILE], "{what:?} {kind}");
        folder.fail(None);
        assert_eq!(
            recover(folder).expect("opens").disk,
            content_after(4),
            "{what:?} {kind}: the content is intact"
        );
    }
}

#[test]
fn a_disk_that_fills_up_at_any_operation_ends_nothing_and_loses_nothing() {
    let whole = MemoryFolder::default();
    write_all(&whole);
    let mut waiting_runs = 0;
    for full in 0..whole.operations() {
        let folder = MemoryFolder::default();
        folder.out_of_space_from(Some(full));
        let (acknowledged, requested) = write_all(&folder);
        assert_eq!(requested, 4, "full from {full}: writing stopped");
        waiting_runs += usize::from(acknowledged < 4);
        // The next process starts while the disk is still full: it reads what was acknowledged and is out of space.
        let next = folder.after_kill();
        let found = recover(next.clone()).unwrap_or_else(|e| panic!("full from {full}: {e}"));
        assert!(
            (acknowledged..=4).any(|count| content_after(count) == found.disk),
            "full from {full}: {acknowledged} acknowledged, {:?}",
            found.disk
        );
        assert!(found.writer.out_of_space.is_some() && !found.content_lost, "full from {full}");
        let mut writer = found.writer;
        assert_eq!(writer.attempt(), [], "full from {full}: acknowledged once");
        // A power loss while the disk is full.
        for (how, after) in next.after_power_loss() {
            let found = recover(after).unwrap_or_else(|e| panic!("full from {full}, {how}: {e}")).disk;
            assert!(
                (acknowledged..=4).any(|count| content_after(count) == found),
                "full from {full}, {how}: {found:?}"
            );
        }
        // With space again all pending writes are written and acknowledged.
        writer.pending.extend(writes().into_iter().map(Into::into));
        next.out_of_space_from(None);
        let events = writer.attempt();
        assert_eq!(events[0], DiskEvent::SpaceAvailable, "full from {full}");
        assert_eq!(events[1..], [1, 2, 3, 4].map(DiskEvent::Synced), "full from {full}");
        drop(writer);
        assert_eq!(recover(next).expect("opens").disk, content_after(4), "full from {full}");
    }
    assert!(waiting_runs > 20, "{waiting_runs} runs in which a write had to wait");
}

#[test]
fn a_write_without_room_is_tried_again_in_its_order_and_a_failed_sync_is_the_end() {
    let folder = MemoryFolder::default();
    let mut writer = recover(folder.clone()).expect("opens").writer;
    folder.out_of_space_from(Some(0));
    let mut all = writes().into_iter();
    writer.pending.extend(all.next().map(Into::into));
    assert!(matches!(writer.attempt()[..], [DiskEvent::OutOfSpace(_)]));
    writer.pending.extend(all.next().map(Into::into));
    assert_eq!(writer.attempt(), []);
    folder.out_of_space_from(None);
    assert_eq!(writer.attempt(), [DiskEvent::SpaceAvailable, DiskEvent::Synced(1), DiskEvent::Synced(2)]);
    folder.fail(Some((Operation::Sync, ErrorKind::StorageFull)));
    writer.pending.extend(all.next().map(Into::into));
    let events = writer.attempt();
    assert!(
        matches!(&events[..], [DiskEvent::Failed(_)]),
        "{events:?}: a failed sync must not be retried, whatever its error"
    );
    // Any other write error is final as well.
    folder.fail(Some((Operation::Write, ErrorKind::Other)));
    let mut writer = recover(folder.after_kill()).err();
    assert!(matches!(writer.take(), Some(DiskError::Inaccessible { .. })));
}

#[test]
fn a_file_that_is_gone_is_not_made_anew_under_a_running_process() {
    let folder = MemoryFolder::default();
    write_all(&folder);
    let mut writer = recover(folder.clone()).expect("opens").writer;
    folder.out_of_space_from(Some(0));
    writer.pending.push(write(5, &[("a", 5)], false).into());
    assert!(matches!(writer.attempt()[..], [DiskEvent::OutOfSpace(_)]));
    folder.rename(DATABASE_FILE, "elsewhere").expect("renamed");
    folder.out_of_space_from(None);
    assert!(matches!(writer.attempt()[..], [DiskEvent::Failed(_)]));
}

#[test]
fn a_key_written_again_takes_the_room_of_its_old_content() {
    let folder = MemoryFolder::default();
    let mut writer = recover(folder.clone()).expect("opens").writer;
    let names: Vec<String> = (0..64).map(|k| format!("key-{k}")).collect();
    let mut sizes = Vec::new();
    for number in 1..=240 {
        let keys: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), number)).collect();
        writer.pending.push(write(number, &keys, true).into());
        assert_eq!(writer.attempt(), [DiskEvent::Synced(number)]);
        sizes.push(folder.bytes(DATABASE_FILE).map_or(0, |bytes| bytes.len()));
    }
    assert_eq!(sizes[39], sizes[239], "bytes after 40 writes and after 240");
}

/// A path for a temporary folder, unique to each test.
fn temp_folder() -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let folder_path = std::env::temp_dir().join(format!("silvercross-disk-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder_path);
    folder_path
}

#[test]
fn a_folder_in_use_is_left_as_it_is() {
    let folder_path = temp_folder();
    let mut running = recover(DataFolder::lock(&folder_path).expect("taken")).expect("opens").writer;
    running.pending.extend(writes().into_iter().map(Into::into));
    assert_eq!(running.attempt().len(), 4);
    let names = || {
        std::fs::read_dir(&folder_path)
            .expect("a folder")
            .map(|e| e.expect("a name").file_name())
            .collect::<Vec<_>>()
    };
    let second = open(&folder_path).err().expect("the folder is in use");
    assert!(
        matches!(&second, in_use @ DiskError::InUse { .. } if in_use.to_string().contains(&folder_path.display().to_string())),
        "{second:?}"
    );
    assert_eq!((second.exit_code(), names()), (2, vec![DATABASE_FILE.into()]));
    assert!(
        matches!(DataFolder::lock(&folder_path).err(), Some(DiskError::InUse { .. })),
        "the folder itself is locked"
    );
    running.pending.push(write(5, &[("a", 7)], false).into());
    assert_eq!(running.attempt(), [DiskEvent::Synced(5)], "the running process can still write");
    drop(running);
    // Another program that holds only redb's lock on the file, as earlier versions did.
    let other = Database::builder().create(folder_path.join(DATABASE_FILE)).expect("opens");
    let second = open(&folder_path).err().expect("the file is in use");
    assert!(matches!(second, DiskError::InUse { .. }), "{second:?}");
    assert_eq!(names(), [DATABASE_FILE]);
    drop(other);
    let opened = open(&folder_path).expect("opens");
    assert_eq!(opened.disk.keys.iter().find(|k| k.key == "a").map(|k| k.promised.round), Some(7));
    assert!(!opened.content_lost);
    drop(opened);
    std::fs::remove_dir_all(&folder_path).expect("removed");
}
