//! Durable storage of a holder of records: one redb database in the member's folder, written by a thread of its own so that
//! no sync blocks the event loop. A write is committed and synced before its completion is reported to the loop. redb
//! detects torn and foreign files, for which a log file would need code of its own; unlike SQLite it is not written in C; and
//! it accepts another storage backend, with which tests inject disk faults.
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use silvercross_idempotency_store::Epoch;
use silvercross_raft::{Entry, HardState, PersistentState, Snapshot, Write};
use std::io::{self, Write as _};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

/// Name of the database file in the member's folder.
pub const FILE: &str = "records.redb";
/// Size of the database's cache, in bytes.
const CACHE_BYTES: usize = 8 * 1024 * 1024;
/// [`Meta`] of each group, by the group's number.
const META: TableDefinition<u32, &[u8]> = TableDefinition::new("meta");
/// Snapshot of each group, by the group's number.
const SNAPSHOT: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot");
/// Log entries, by the group's number and the entry's index.
const LOG: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("log");
/// Identity of the member that the store belongs to, under key 0.
const OWNER: TableDefinition<u32, u64> = TableDefinition::new("owner");

/// Opens the storage backend of the database in place of the file. Only tests and simulations supply one.
pub type OpenDisk = fn(&Path) -> io::Result<Box<dyn StorageBackend>>;

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Meta {
    epoch: u64,
    hard: HardState,
    writes: u64,
}

/// Stored state of each group: its number, epoch and Raft state.
pub type Kept = Vec<(u32, Epoch, PersistentState)>;

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// Number of the group.
    pub group: u32,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// The write's number.
    pub number: u64,
    /// Whether the write is durable. If not, its outcome is unknown and nothing more is written.
    pub well: bool,
}

/// The event loop's handle to the store and its thread.
pub struct Store {
    to: Sender<(u32, Epoch, Write)>,
    done: Receiver<Done>,
    /// Becomes readable when a write is done; non-blocking.
    pub wake: Option<UnixStream>,
    path: PathBuf,
}

/// Identifies the file at a path, so that a copy can be told from the original: device, inode, and creation time, since inode
/// numbers are reused. Without a creation time (not every file system has one) device and inode have to do.
pub fn file_identity(path: &Path) -> Option<String> {
    let m = std::fs::metadata(path).ok()?;
    let made = m.created().ok().and_then(|t| t.duration_since(std::time::UNIX_EPOCH).ok());
    Some(format!("{:x}:{:x}:{:x}", m.dev(), m.ino(), made.map_or(0, |t| t.as_nanos())))
}

/// Renames a store that must not be used any more: its data stays, and no member votes from it.
pub fn set_aside(path: &Path) -> io::Result<()> {
    let free = |n: &u32| !path.with_extension(format!("aside-{n}")).exists();
    match (1..1000).find(free) {
        Some(n) => std::fs::rename(path, path.with_extension(format!("aside-{n}"))),
        None => std::fs::remove_file(path),
    }
}

#[derive(Debug)]
struct Backing(Box<dyn StorageBackend>);

impl StorageBackend for Backing {
    fn len(&self) -> Result<u64, io::Error> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.0.set_len(len)
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.0.write(offset, data)
    }
    fn close(&self) -> Result<(), io::Error> {
        self.0.close()
    }
}

impl Store {
    /// Opens the store of this owner, and creates it if it does not exist. The error is a single line.
    pub fn open(path: &Path, owner: u64, disk: Option<OpenDisk>) -> Result<(Self, Kept), String> {
        let fault = |e: &dyn std::fmt::Display| {
            format!("folder: {}: {e}; move the file away, and the member is somebody new", path.display())
        };
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        let database = match disk {
            None => builder.create(path),
            Some(open) => builder.create_with_backend(Backing(open(path).map_err(|e| fault(&e))?)),
        };
        let database = database.map_err(|e| fault(&e))?;
        let kept = prepare(&database, owner).map_err(|e| fault(&e))?;
        let kept = kept.ok_or_else(|| fault(&"it is another member's"))?;
        let (to, jobs) = channel::<(u32, Epoch, Write)>();
        let (tell, done) = channel::<Done>();
        let (wake, mut wakes) = UnixStream::pair().map_err(|e| fault(&e))?;
        wake.set_nonblocking(true).map_err(|e| fault(&e))?;
        wakes.set_nonblocking(true).map_err(|e| fault(&e))?;
        let work = move || {
            // Writes that are queued together, of any group, share one sync.
            while let Ok(first) = jobs.recv() {
                let batch: Vec<_> = std::iter::once(first).chain(jobs.try_iter().take(63)).collect();
                let said: Vec<_> = batch.iter().map(|(g, e, w)| (*g, *e, w.number)).collect();
                let well = commit(&database, batch).is_ok();
                for (group, epoch, number) in said {
                    if tell.send(Done { group, epoch, number, well }).is_err() {
                        return;
                    }
                }
                let _ = wakes.write_all(b"d");
                if !well {
                    return;
                }
            }
        };
        std::thread::Builder::new().name("records".into()).spawn(work).map_err(|e| fault(&e))?;
        Ok((Store { to, done, wake: Some(wake), path: path.to_path_buf() }, kept))
    }

    /// Queues a write; `false` if the thread has ended and nothing is written any more.
    pub fn write(&self, group: u32, epoch: Epoch, write: Write) -> bool {
        self.to.send((group, epoch, write)).is_ok()
    }

    /// Returns the next completed write, if there is one.
    pub fn poll(&self) -> Option<Done> {
        self.done.try_recv().ok()
    }

    /// Sets the store aside for good, because it failed or is older than what was promised from it.
    pub fn give_up(&self) -> io::Result<()> {
        set_aside(&self.path)
    }
}

fn encode<T: Serialize>(what: &T) -> Vec<u8> {
    // Encoding into a growable vector does not fail.
    postcard::to_allocvec(what).unwrap_or_default()
}

fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, redb::Error> {
    postcard::from_bytes(bytes).map_err(|_| redb::Error::Corrupted("stored data cannot be decoded".into()))
}

/// Creates the tables if needed and returns the stored state; `None` if the store belongs to another member.
fn prepare(database: &Database, owner: u64) -> Result<Option<Kept>, redb::Error> {
    let made = database.begin_write()?;
    {
        made.open_table(META)?;
        made.open_table(SNAPSHOT)?;
        made.open_table(LOG)?;
        let mut owners = made.open_table(OWNER)?;
        let held = owners.get(0)?.map(|o| o.value());
        match held {
            None => {
                owners.insert(0, owner)?;
            }
            Some(held) if held != owner => return Ok(None),
            Some(_) => {}
        }
    }
    made.commit()?;
    let all = database.begin_read()?;
    let (meta, snapshots, log) = (all.open_table(META)?, all.open_table(SNAPSHOT)?, all.open_table(LOG)?);
    let mut kept = Vec::new();
    for held in meta.iter()? {
        let (group, bytes) = held?;
        let (group, m): (u32, Meta) = (group.value(), read(bytes.value())?);
        let snapshot: Option<Snapshot> = snapshots.get(group)?.map(|s| read(s.value())).transpose()?;
        let snapshot = snapshot.unwrap_or_default();
        let mut entries = Vec::new();
        for (n, held) in log.range((group, 0)..(group + 1, 0))?.enumerate() {
            let (at, bytes) = held?;
            if at.value().1 != snapshot.index + 1 + n as u64 {
                return Err(redb::Error::Corrupted("an entry is missing".into()));
            }
            entries.push(read::<Entry>(bytes.value())?);
        }
        let durable = PersistentState { hard_state: m.hard, snapshot, entries, writes: m.writes };
        kept.push((group, Epoch(m.epoch), durable));
    }
    Ok(Some(kept))
}

/// Applies the writes in order in one transaction, and syncs it.
fn commit(database: &Database, batch: Vec<(u32, Epoch, Write)>) -> Result<(), redb::Error> {
    let all = database.begin_write()?;
    {
        let mut meta = all.open_table(META)?;
        let (mut snapshots, mut log) = (all.open_table(SNAPSHOT)?, all.open_table(LOG)?);
        for (group, epoch, write) in batch {
            let held: Option<Meta> = meta.get(group)?.map(|m| read(m.value())).transpose()?;
            let mut m = held.unwrap_or_default();
            if m.epoch != epoch.0 {
                // A new epoch of the group keeps no data of the previous one.
                m = Meta { epoch: epoch.0, ..Meta::default() };
                snapshots.remove(group)?;
                log.retain_in((group, 0)..(group + 1, 0), |_, _| false)?;
            }
            (m.hard, m.writes) = (write.hard_state.unwrap_or(m.hard), write.number);
            if let Some(cut) = write.truncate_from {
                log.retain_in((group, cut)..(group + 1, 0), |_, _| false)?;
            }
            if let Some(snapshot) = &write.snapshot {
                log.retain_in((group, 0)..(group, snapshot.index + 1), |_, _| false)?;
                snapshots.insert(group, encode(snapshot).as_slice())?;
            }
            for (index, entry) in &write.entries {
                log.insert((group, *index), encode(entry).as_slice())?;
            }
            meta.insert(group, encode(&m).as_slice())?;
        }
    }
    all.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use silvercross_raft::{Group, Node, Payload};

    fn entry(n: u8) -> Entry {
        Entry { term: 1, at_ms: 5, payload: Payload::Command(vec![n]) }
    }

    fn wait_for_write(store: &Store) -> Done {
        loop {
            match store.poll() {
                Some(done) => return done,
                None => std::thread::yield_now(),
            }
        }
    }

    #[test]
    fn what_was_written_is_there_again_and_equals_what_memory_would_hold() {
        let dir = create_test_directory("store");
        let path = dir.join(FILE);
        let epoch = Epoch(1 << 40);
        let group = Group::of(vec![Node(7)]);
        let snapshot = |index| Snapshot { index, term: 1, at_ms: 5, group: group.clone(), data: vec![1, 2] };
        let writes = [
            Write {
                number: 1,
                hard_state: Some(HardState { term: 1, vote: Some(Node(7)) }),
                snapshot: Some(snapshot(1)),
                ..Write::default()
            },
            Write { number: 2, entries: (2..8).map(|i| (i, entry(i as u8))).collect(), ..Write::default() },
            Write { number: 3, truncate_from: Some(6), entries: [(6, entry(66))].into(), ..Write::default() },
            Write { number: 4, snapshot: Some(snapshot(4)), ..Write::default() },
        ];
        let mut like = PersistentState::default();
        {
            let (store, kept) = Store::open(&path, 9, None).expect("opened");
            assert!(kept.is_empty());
            for w in writes {
                like.apply(w.clone());
                assert!(store.write(3, epoch, w));
                assert!(wait_for_write(&store).well);
            }
        }
        let (store, kept) = reopen(&path, 9);
        let (g, e, d) = kept.first().expect("kept");
        assert_eq!((*g, *e, d.hard_state, d.writes), (3, epoch, like.hard_state, 4));
        assert_eq!((&d.snapshot, &d.entries), (&like.snapshot, &like.entries));
        // A new epoch keeps no data of this one.
        assert!(store.write(3, Epoch(2 << 40), Write { number: 1, ..Write::default() }));
        assert!(wait_for_write(&store).well);
        drop(store);
        let (store, kept) = reopen(&path, 9);
        assert_eq!(kept[0].2.entries, vec![]);
        drop(store);
        let why = loop {
            match Store::open(&path, 8, None) {
                Err(why) if why.contains("another member's") => break why,
                Err(_) => std::thread::yield_now(),
                Ok(_) => panic!("another one's store was opened"),
            }
        };
        assert!(why.contains("move the file away"), "{why}");
        let before = file_identity(&path);
        std::fs::copy(&path, dir.join("copy")).expect("copied");
        assert_ne!(file_identity(&dir.join("copy")), before);
        set_aside(&path).expect("moved");
        assert!(!path.exists() && dir.join("records.aside-1").exists());
        std::fs::remove_dir_all(&dir).expect("removed");
    }

    /// Opens the store again, retrying until the thread of the previous one has closed the file.
    fn reopen(path: &Path, owner: u64) -> (Store, Kept) {
        loop {
            match Store::open(path, owner, None) {
                Ok(all) => return all,
                Err(_) => std::thread::yield_now(),
            }
        }
    }

    #[test]
    fn a_spoilt_store_is_told() {
        let dir = create_test_directory("spoilt");
        std::fs::write(dir.join(FILE), b"not a store at all").expect("written");
        let Err(why) = Store::open(&dir.join(FILE), 9, None) else { panic!("a spoilt store was taken") };
        assert!(why.contains("somebody new") && !why.contains('\n'), "{why}");
        std::fs::remove_dir_all(&dir).expect("removed");
    }

    fn create_test_directory(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("silvercross-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("made");
        dir
    }
}
