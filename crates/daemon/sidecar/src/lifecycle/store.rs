//! What a holder of records keeps on its disk: one file in the member's folder, by redb, written by a thread of its own so that
//! no sync holds the loop. Each write is one transaction, synced before the loop hears of it. redb was chosen against
//! a log file of our own (the torn and the foreign file would have to be told by our own code) and SQLite (C); it also lets
//! another store stand under it, which rehearsals use to break disks.
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use silvercross_idempotency_store::Epoch;
use silvercross_raft::{Entry, HardState, PersistentState, Snapshot, Write};
use std::io::{self, Write as _};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

/// The file in the folder.
pub const FILE: &str = "records.redb";
/// Memory that the store may use for itself.
const CACHE: usize = 8 * 1024 * 1024;
/// What of each group is not in the log, by the group's number: [`Meta`].
const META: TableDefinition<u32, &[u8]> = TableDefinition::new("meta");
/// Each group's snapshot.
const SNAPSHOT: TableDefinition<u32, &[u8]> = TableDefinition::new("snapshot");
/// Entries by group and place.
const LOG: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("log");
/// Whose it is, under key 0.
const OWNER: TableDefinition<u32, u64> = TableDefinition::new("owner");

/// Opens what is under the store; none: the file itself. Only rehearsals bring one.
pub type OpenDisk = fn(&Path) -> io::Result<Box<dyn StorageBackend>>;

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Meta {
    epoch: u64,
    hard: HardState,
    writes: u64,
}

/// What each group's copy was, as it was kept.
pub type Kept = Vec<(u32, Epoch, PersistentState)>;

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// Which group.
    pub group: u32,
    /// Which epoch of it.
    pub epoch: Epoch,
    /// The write's number.
    pub number: u64,
    /// It is durable; else nothing is known of it, and nothing more is written.
    pub well: bool,
}

/// The store as the loop has it.
pub struct Store {
    to: Sender<(u32, Epoch, Write)>,
    done: Receiver<Done>,
    /// Becomes readable when something is done; not blocking.
    pub wake: Option<UnixStream>,
    path: PathBuf,
}

/// Which file a path is, so that a copy of it is told from it: device, inode, and when it was made, since an inode's number is
/// given again. A machine that does not tell when a file was made is taken without.
pub fn which(path: &Path) -> Option<String> {
    let m = std::fs::metadata(path).ok()?;
    let made = m.created().ok().and_then(|t| t.duration_since(std::time::UNIX_EPOCH).ok());
    Some(format!("{:x}:{:x}:{:x}", m.dev(), m.ino(), made.map_or(0, |t| t.as_nanos())))
}

/// Put a store aside that is not to be used any more: nothing is lost, and nobody votes by it.
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
    /// Open the store of this owner, made if it is not there. The error is one plain line.
    pub fn open(path: &Path, owner: u64, disk: Option<OpenDisk>) -> Result<(Self, Kept), String> {
        let fault = |e: &dyn std::fmt::Display| {
            format!("folder: {}: {e}; move the file away, and the member is somebody new", path.display())
        };
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE);
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
            // What comes from several groups at once shares a sync.
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

    /// Have something written; `false`: nothing is written any more.
    pub fn write(&self, group: u32, epoch: Epoch, write: Write) -> bool {
        self.to.send((group, epoch, write)).is_ok()
    }

    /// The next thing that is done.
    pub fn poll(&self) -> Option<Done> {
        self.done.try_recv().ok()
    }

    /// It failed, or is older than what was promised from it: never again.
    pub fn give_up(&self) -> io::Result<()> {
        set_aside(&self.path)
    }
}

fn code<T: Serialize>(what: &T) -> Vec<u8> {
    // Coding into a growing vector has nothing to fail on.
    postcard::to_allocvec(what).unwrap_or_default()
}

fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, redb::Error> {
    postcard::from_bytes(bytes).map_err(|_| redb::Error::Corrupted("what is kept can't be read".into()))
}

/// What is there; `None`: it is somebody else's.
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

/// All of these in one transaction, in order, and synced.
fn commit(database: &Database, batch: Vec<(u32, Epoch, Write)>) -> Result<(), redb::Error> {
    let all = database.begin_write()?;
    {
        let mut meta = all.open_table(META)?;
        let (mut snapshots, mut log) = (all.open_table(SNAPSHOT)?, all.open_table(LOG)?);
        for (group, epoch, write) in batch {
            let held: Option<Meta> = meta.get(group)?.map(|m| read(m.value())).transpose()?;
            let mut m = held.unwrap_or_default();
            if m.epoch != epoch.0 {
                // Another epoch of the group begins with nothing of the one before.
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
                snapshots.insert(group, code(snapshot).as_slice())?;
            }
            for (index, entry) in &write.entries {
                log.insert((group, *index), code(entry).as_slice())?;
            }
            meta.insert(group, code(&m).as_slice())?;
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

    fn wait(store: &Store) -> Done {
        loop {
            match store.poll() {
                Some(done) => return done,
                None => std::thread::yield_now(),
            }
        }
    }

    #[test]
    fn what_was_written_is_there_again_and_equals_what_memory_would_hold() {
        let dir = tempdir("store");
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
                assert!(wait(&store).well);
            }
        }
        let (store, kept) = reopened(&path, 9);
        let (g, e, d) = kept.first().expect("kept");
        assert_eq!((*g, *e, d.hard_state, d.writes), (3, epoch, like.hard_state, 4));
        assert_eq!((&d.snapshot, &d.entries), (&like.snapshot, &like.entries));
        // Another epoch has nothing of this one.
        assert!(store.write(3, Epoch(2 << 40), Write { number: 1, ..Write::default() }));
        assert!(wait(&store).well);
        drop(store);
        let (store, kept) = reopened(&path, 9);
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
        let before = which(&path);
        std::fs::copy(&path, dir.join("copy")).expect("copied");
        assert_ne!(which(&dir.join("copy")), before);
        set_aside(&path).expect("moved");
        assert!(!path.exists() && dir.join("records.aside-1").exists());
        std::fs::remove_dir_all(&dir).expect("removed");
    }

    /// The thread of the one before lets go of the file a moment after its store.
    fn reopened(path: &Path, owner: u64) -> (Store, Kept) {
        loop {
            match Store::open(path, owner, None) {
                Ok(all) => return all,
                Err(_) => std::thread::yield_now(),
            }
        }
    }

    #[test]
    fn a_spoilt_store_is_told() {
        let dir = tempdir("spoilt");
        std::fs::write(dir.join(FILE), b"not a store at all").expect("written");
        let Err(why) = Store::open(&dir.join(FILE), 9, None) else { panic!("a spoilt store was taken") };
        assert!(why.contains("somebody new") && !why.contains('\n'), "{why}");
        std::fs::remove_dir_all(&dir).expect("removed");
    }

    fn tempdir(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("silvercross-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("made");
        dir
    }
}
