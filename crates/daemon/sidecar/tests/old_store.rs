//! Compatibility with the record store of version 0.1.0 (`data/records-store-0.1.0`): it is read, written to and read again.
use silvercross_idempotency_store::group_replica::CommandEntry;
use silvercross_idempotency_store::machine::StateMachine;
use silvercross_idempotency_store::Epoch;
use silvercross_raft::{Entry, Payload, PersistentState, Write};
use silvercross_sidecar::lifecycle::store::{Kept, Store, FILE};
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

const STORE: &[u8] = include_bytes!("data/records-store-0.1.0/records.redb");
/// The expected content of the store, one record a line: its name, then its bytes in hexadecimal.
const RECORDS: &str = include_str!("data/records-store-0.1.0/records.hex");
/// The identity of the member that wrote the store.
const OWNER: u64 = 0x8bff_85de_cadc_779d;

fn line<T: serde::Serialize>(lines: &mut String, name: &str, what: &T) {
    let bytes = postcard::to_allocvec(what).expect("encoded");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    writeln!(lines, "{name} {hex}").expect("a string grows");
}

/// All persisted records, and the state after applying the log, in the format of `RECORDS`.
fn lines(kept: &Kept) -> String {
    let mut lines = String::new();
    for (group, epoch, durable) in kept {
        line(&mut lines, &format!("group-{group}/epoch"), epoch);
        line(&mut lines, &format!("group-{group}/writes"), &durable.writes);
        line(&mut lines, &format!("group-{group}/term-and-vote"), &durable.hard_state);
        line(&mut lines, &format!("group-{group}/snapshot"), &durable.snapshot);
        for (i, entry) in durable.entries.iter().enumerate() {
            let index = durable.snapshot.index + 1 + i as u64;
            line(&mut lines, &format!("group-{group}/entry-{index}"), entry);
        }
        let state = applied(durable);
        let hex: String = state.snapshot().iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(lines, "group-{group}/state {hex}").expect("a string grows");
    }
    lines
}

fn applied(durable: &PersistentState) -> StateMachine {
    let mut machine = StateMachine::restore(&durable.snapshot.data).expect("a snapshot of this version");
    for (i, entry) in durable.entries.iter().enumerate() {
        if let Payload::Command(bytes) = &entry.payload {
            let line: CommandEntry = postcard::from_bytes(bytes).expect("a command");
            machine.apply(durable.snapshot.index + 1 + i as u64, entry.at_ms, line.office_ms, line.logged);
        }
    }
    machine
}

fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(started.elapsed() < Duration::from_secs(60), "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Opens the store, retrying because the thread of the previous store may still hold the file.
fn open(path: &Path) -> (Store, Kept) {
    until("the store", || Store::open(path, OWNER, None).ok())
}

#[test]
fn a_store_of_version_0_1_0_is_read_written_and_read_again() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("old-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("made");
    let path = dir.join(FILE);
    std::fs::write(&path, STORE).expect("copied");

    let (store, kept) = open(&path);
    assert!(lines(&kept) == RECORDS, "the records have changed; they are now:\n{}", lines(&kept));
    // Appends an entry behind the existing ones.
    let (group, epoch, before): &(u32, Epoch, PersistentState) = kept.first().expect("one group");
    let last = before.snapshot.index + before.entries.len() as u64;
    let added = Entry { payload: Payload::Nothing, ..before.entries.last().expect("entries").clone() };
    let write =
        Write { number: before.writes + 1, entries: [(last + 1, added.clone())].into(), ..Write::default() };
    assert!(store.write(*group, *epoch, write));
    assert!(until("the write", || store.poll()).well);
    drop(store);

    let (store, again) = open(&path);
    let after = &again.first().expect("one group").2;
    assert_eq!((after.writes, after.hard_state), (before.writes + 1, before.hard_state));
    assert_eq!(after.snapshot, before.snapshot);
    assert_eq!(after.entries, [before.entries.clone(), vec![added]].concat());
    drop(store);
    let _ = std::fs::remove_dir_all(&dir);
}
