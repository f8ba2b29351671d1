//! The disk: who may open it, what is set aside, a disk that is full, and power that goes between any two operations.
use super::folder::{Folder, OnDisk};
use super::trial::{Trial, What};
use super::*;
use silvercross_control_store::{Epoch, ReplicaSet, Revision};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

fn write(number: u64, keys: &[(&str, u64)], metadata: bool) -> Write {
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
    Write { number, metadata, keys: keys.iter().map(stored).collect() }
}

/// What is written one after the other.
fn writes() -> Vec<Write> {
    vec![
        write(1, &[], true),
        write(2, &[("a", 1), ("b", 1)], false),
        write(3, &[("a", 2)], false),
        write(4, &[("b", 3), ("c", 3)], true),
    ]
}

/// What stands after the first so many of them.
fn standing(many: usize) -> StoredState<ControlValue> {
    let mut disk = StoredState::default();
    for w in writes().into_iter().take(many) {
        disk.metadata = w.metadata.or(disk.metadata);
        for stored in w.keys {
            disk.keys.retain(|k| k.key != stored.key);
            disk.keys.push(stored);
        }
    }
    disk.keys.sort_by(|a, b| a.key.cmp(&b.key));
    disk
}

/// A whole life on a folder: opened, written to, closed in the middle and opened again. How many writes were told to be synced, and
/// how many were asked for.
fn life(folder: &Trial) -> (usize, usize) {
    let (mut told, mut asked) = (0, 0);
    let mut keeper = None;
    for w in writes() {
        if asked == 2 {
            keeper = None;
        }
        if keeper.is_none() {
            let Ok(found) = find(folder.clone()) else { return (told, asked) };
            assert_eq!(found.disk, standing(told));
            keeper = Some(found.keeper);
        }
        let Some(k) = &mut keeper else { return (told, asked) };
        asked += 1;
        k.pending.push(w);
        for said in k.attempt() {
            match said {
                Told::Synced(_) => told += 1,
                Told::Failed(_) => return (told, asked),
                Told::Full(_) | Told::Room => {}
            }
        }
    }
    (told, asked)
}

#[test]
fn power_that_goes_after_any_operation_leaves_what_was_told() {
    let whole = Trial::default();
    assert_eq!(life(&whole), (4, 4));
    let (mut cases, mut ahead) = (0, 0);
    for power in 0..=whole.done() {
        let folder = Trial::default();
        folder.power_until(power);
        let (told, asked) = life(&folder);
        for (how, after) in folder.after_power_loss() {
            let case = format!("power after {power} operations, {how}");
            let found = find(after.clone()).unwrap_or_else(|e| panic!("{case}: {e}"));
            let stands = (told..=asked).find(|many| standing(*many) == found.disk);
            let stands =
                stands.unwrap_or_else(|| panic!("{case}: {told} were told, and {:?} stands", found.disk));
            assert!(!found.lost, "{case}: a good file was set aside");
            // And it goes on.
            let mut keeper = found.keeper;
            keeper.pending.push(write(9, &[("z", 9)], true));
            assert_eq!(keeper.attempt(), [Told::Synced(9)], "{case}");
            drop(keeper);
            let again = find(after).unwrap_or_else(|e| panic!("{case}: {e}")).disk;
            assert_eq!(again.keys.len(), standing(stands).keys.len() + 1, "{case}");
            cases += 1;
            ahead += usize::from(stands > told);
        }
    }
    println!(
        "{} operations, {cases} cases, {ahead} of them with a write there that was not told",
        whole.done()
    );
    assert!(cases >= 600 && ahead >= 4, "{cases} cases, {ahead} ahead");
}

/// A whole file of redb's in which one record can't be decoded.
fn unreadable_record() -> Vec<u8> {
    let folder = Trial::default();
    let keeper = find(folder.clone()).expect("opens").keeper;
    let tx = keeper.db.as_ref().expect("open").db.begin_write().expect("begun");
    tx.open_table(MARKER).expect("a table");
    tx.open_table(KEYS).expect("a table").insert("a", [255; 3].as_slice()).expect("there");
    tx.commit().expect("synced");
    drop(keeper);
    folder.bytes(FILE).expect("a file")
}

#[test]
fn a_damaged_file_is_set_aside_and_is_never_new_again() {
    let whole = Trial::default();
    life(&whole);
    let good = whole.bytes(FILE).expect("a file");
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
        let begin = || {
            let folder = Trial::default();
            folder.put(FILE, bytes.clone());
            folder
        };
        let folder = begin();
        let found = find(folder.clone()).unwrap_or_else(|e| panic!("{which}: {e}"));
        assert!(found.lost && found.set_aside.is_some() && found.disk == StoredState::default(), "{which}");
        // What redb itself could open has its note in it that it was open.
        let evidence = folder.bytes(ASIDE[0]);
        let opens = which.contains("table") || which.contains("record");
        assert!(evidence.as_ref().is_some_and(|e| opens || *e == bytes), "{which}: the evidence");
        drop(found);
        // Power lost at any operation in the middle of it: it is lost all the same, whatever is there.
        for power in 0..=folder.done() {
            let folder = begin();
            folder.power_until(power);
            drop(find(folder.clone()));
            for (how, after) in folder.after_power_loss() {
                let found = find(after).unwrap_or_else(|e| panic!("{which}, {power}, {how}: {e}"));
                assert!(found.lost, "{which}, power after {power}, {how}: taken for a new disk");
            }
        }
        // A second one keeps the first, a third one is the operator's.
        folder.put(FILE, vec![8; 5000]);
        assert!(find(folder.clone()).is_ok_and(|f| f.lost), "{which}");
        folder.put(FILE, vec![9; 5000]);
        let third = find(folder.clone()).err();
        assert!(matches!(&third, Some(Failed::Plain(why)) if why.contains("replace the disk")), "{third:?}");
        assert!(ASIDE.map(|a| folder.bytes(a)) == [evidence, Some(vec![8; 5000])], "{which}: both are kept");
        assert!(folder.bytes(FILE) == Some(vec![9; 5000]), "{which}: the third is left as it is");
        // A folder that can't be synced does not hold the new name for sure.
        let folder = begin();
        folder.fail_once(What::FolderSync, ErrorKind::Other);
        let failed = find(folder).err();
        assert!(matches!(failed, Some(Failed::Sync(_))), "{which}: {failed:?}");
    }
}

#[test]
fn no_error_but_damage_touches_the_file() {
    let whole = Trial::default();
    life(&whole);
    let good = whole.bytes(FILE).expect("a file");
    let cases = [
        (What::Open, ErrorKind::PermissionDenied, 2),
        (What::Open, ErrorKind::Other, 2),
        (What::Read, ErrorKind::Other, 2),
        (What::Write, ErrorKind::Other, 2),
        (What::Write, ErrorKind::ReadOnlyFilesystem, 2),
        (What::Sync, ErrorKind::Other, 74),
        (What::Sync, ErrorKind::StorageFull, 74),
        (What::FolderSync, ErrorKind::Other, 74),
    ];
    for (what, kind, code) in cases {
        let folder = Trial::default();
        folder.put(FILE, good.clone());
        folder.fail(Some((what, kind)));
        let failed = find(folder.clone()).err().unwrap_or_else(|| panic!("{what:?} {kind}: it opened"));
        assert_eq!(failed.code(), code, "{what:?} {kind}: {failed:?}");
        assert_eq!(folder.names(), [FILE], "{what:?} {kind}");
        folder.fail(None);
        assert_eq!(find(folder).expect("opens").disk, standing(4), "{what:?} {kind}: all is there");
    }
}

#[test]
fn a_disk_that_fills_up_at_any_operation_ends_nothing_and_loses_nothing() {
    let whole = Trial::default();
    life(&whole);
    let mut waited = 0;
    for full in 0..whole.done() {
        let folder = Trial::default();
        folder.full_from(Some(full));
        let (told, asked) = life(&folder);
        assert_eq!(asked, 4, "full from {full}: the life ended");
        waited += usize::from(told < 4);
        // The next process starts while the disk is still full: it has what was told, and says that there is no room.
        let next = folder.after_kill();
        let found = find(next.clone()).unwrap_or_else(|e| panic!("full from {full}: {e}"));
        assert!(
            (told..=4).any(|many| standing(many) == found.disk),
            "full from {full}: {told} told, {:?}",
            found.disk
        );
        assert!(found.keeper.full.is_some() && !found.lost, "full from {full}");
        let mut keeper = found.keeper;
        assert_eq!(keeper.attempt(), [], "full from {full}: told once");
        // Power may go then too.
        for (how, after) in next.after_power_loss() {
            let found = find(after).unwrap_or_else(|e| panic!("full from {full}, {how}: {e}")).disk;
            assert!((told..=4).any(|many| standing(many) == found), "full from {full}, {how}: {found:?}");
        }
        // Room again: all that waited is written, and that is told.
        keeper.pending.extend(writes());
        next.full_from(None);
        let said = keeper.attempt();
        assert_eq!(said[0], Told::Room, "full from {full}");
        assert_eq!(said[1..], [1, 2, 3, 4].map(Told::Synced), "full from {full}");
        drop(keeper);
        assert_eq!(find(next).expect("opens").disk, standing(4), "full from {full}");
    }
    assert!(waited > 20, "{waited} lives in which a write waited");
}

#[test]
fn a_write_without_room_is_tried_again_in_its_order_and_a_failed_sync_is_the_end() {
    let folder = Trial::default();
    let mut keeper = find(folder.clone()).expect("opens").keeper;
    folder.full_from(Some(0));
    let mut all = writes().into_iter();
    keeper.pending.extend(all.next());
    assert!(matches!(keeper.attempt()[..], [Told::Full(_)]));
    keeper.pending.extend(all.next());
    assert_eq!(keeper.attempt(), []);
    folder.full_from(None);
    assert_eq!(keeper.attempt(), [Told::Room, Told::Synced(1), Told::Synced(2)]);
    folder.fail(Some((What::Sync, ErrorKind::StorageFull)));
    keeper.pending.extend(all.next());
    let said = keeper.attempt();
    assert!(matches!(&said[..], [Told::Failed(_)]), "{said:?}: no sync is tried twice, whatever its error");
    // Any other error of a write is the end as well.
    folder.fail(Some((What::Write, ErrorKind::Other)));
    let mut keeper = find(folder.after_kill()).err();
    assert!(matches!(keeper.take(), Some(Failed::Plain(_))));
}

#[test]
fn a_file_that_is_gone_is_not_made_anew_under_a_running_process() {
    let folder = Trial::default();
    life(&folder);
    let mut keeper = find(folder.clone()).expect("opens").keeper;
    folder.full_from(Some(0));
    keeper.pending.push(write(5, &[("a", 5)], false));
    assert!(matches!(keeper.attempt()[..], [Told::Full(_)]));
    folder.rename(FILE, "elsewhere").expect("renamed");
    folder.full_from(None);
    assert!(matches!(keeper.attempt()[..], [Told::Failed(_)]));
}

#[test]
fn a_key_written_again_takes_the_room_of_its_old_content() {
    let folder = Trial::default();
    let mut keeper = find(folder.clone()).expect("opens").keeper;
    let names: Vec<String> = (0..64).map(|k| format!("key-{k}")).collect();
    let mut sizes = Vec::new();
    for number in 1..=240 {
        let keys: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), number)).collect();
        keeper.pending.push(write(number, &keys, true));
        assert_eq!(keeper.attempt(), [Told::Synced(number)]);
        sizes.push(folder.bytes(FILE).map_or(0, |bytes| bytes.len()));
    }
    assert_eq!(sizes[39], sizes[239], "bytes after 40 writes and after 240");
}

/// A folder of its own for each test.
fn place() -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let place = std::env::temp_dir().join(format!("silvercross-disk-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&place);
    place
}

#[test]
fn a_folder_in_use_is_left_as_it_is() {
    let place = place();
    let mut running = find(OnDisk::take(&place).expect("taken")).expect("opens").keeper;
    running.pending.extend(writes());
    assert_eq!(running.attempt().len(), 4);
    let names = || {
        std::fs::read_dir(&place)
            .expect("a folder")
            .map(|e| e.expect("a name").file_name())
            .collect::<Vec<_>>()
    };
    let second = open(&place).err().expect("the folder is in use");
    assert!(
        matches!(&second, Failed::InUse(why) if why.contains(&place.display().to_string())),
        "{second:?}"
    );
    assert_eq!((second.code(), names()), (2, vec![FILE.into()]));
    assert!(matches!(OnDisk::take(&place).err(), Some(Failed::InUse(_))), "whatever it has open in there");
    running.pending.push(write(5, &[("a", 7)], false));
    assert_eq!(running.attempt(), [Told::Synced(5)], "the running one goes on");
    drop(running);
    // A program that takes redb's lock alone, as earlier versions did.
    let other = Database::builder().create(place.join(FILE)).expect("opens");
    let second = open(&place).err().expect("the file is in use");
    assert!(matches!(second, Failed::InUse(_)), "{second:?}");
    assert_eq!(names(), [FILE]);
    drop(other);
    let opened = open(&place).expect("opens");
    assert_eq!(opened.disk.keys.iter().find(|k| k.key == "a").map(|k| k.promised.round), Some(7));
    assert!(!opened.lost);
    drop(opened);
    std::fs::remove_dir_all(&place).expect("removed");
}
