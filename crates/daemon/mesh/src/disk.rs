//! The control store's disk: redb on a thread of its own, one transaction for what has gathered, told of once it is synced. A write that
//! finds no room is tried again until there is some; a sync that fails ends the process. A file is set aside only if its content is
//! shown to be damaged. Why: `docs/design/control.md`.
mod folder;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod trial;
mod watched;

use crate::control_value::ControlValue;
use folder::{Folder, OnDisk};
use redb::backends::InMemoryBackend;
use redb::{Database, Error, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError};
use silvercross_control_store::{Metadata, StoredKey, StoredState};
use std::io::ErrorKind;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use watched::{no_room, Notes, Trouble, Watched};

const KEYS: TableDefinition<&str, &[u8]> = TableDefinition::new("keys");
const MARKER: TableDefinition<&str, &[u8]> = TableDefinition::new("marker");
const ROSTER: &str = "roster";
/// In `MARKER`: written to see whether there is room again. Nobody reads it.
const PROBE: &str = "room";
/// Bytes of it: with less room than this the next writes would find none again.
const PROBED: usize = 16 * 1024;
const FILE: &str = "ledger.redb";
/// A file until it is whole: what bears the name above was made to its end and synced.
const NEW: &str = "ledger.new";
/// Damaged files. Each is kept, for it is the evidence; with both there the operator is asked.
const ASIDE: [&str; 2] = ["ledger.unreadable", "ledger.unreadable.2"];
/// Memory for pages of the file.
const CACHE: usize = 1 << 20;
/// Files up to this size are read through memory where the disk has no room to open them.
const COPIED: u64 = 64 << 20;
/// So much of them at a time.
const PIECE: usize = 64 * 1024;
/// Writes that share a transaction at most.
const GATHERED: usize = 64;
/// A disk without room is tried again after this.
const RETRY: Duration = Duration::from_secs(1);

/// One transaction.
pub struct Write {
    /// Its number, told back.
    pub number: u64,
    /// The metadata record, if it is to be written.
    pub metadata: Option<Metadata>,
    /// The keys' new content.
    pub keys: Vec<StoredKey<ControlValue>>,
}

/// Writes go in here.
pub type Writes = mpsc::Sender<Write>;

/// What the disk tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// This write and all before it are synced.
    Synced(u64),
    /// It takes no more, and why. Writes under way are tried again.
    Full(String),
    /// It takes writes again.
    Room,
    /// What it holds is unknown from here on: the process has to end. Nothing is told after this.
    Failed(String),
}

/// What is on the disk, and what goes on there.
pub struct Opened {
    /// As it was read.
    pub disk: StoredState<ControlValue>,
    /// A file was set aside, now or at an earlier start: an empty disk is a lost one and no new one, whatever the settings say.
    pub lost: bool,
    /// Why a file was set aside now.
    pub set_aside: Option<String>,
    /// Where writes go in.
    pub writes: Writes,
    /// What becomes of them.
    pub told: UnboundedReceiver<Told>,
}

/// Why the disk can't be used.
#[derive(Clone, Debug, PartialEq)]
pub enum Failed {
    /// Another process has it open.
    InUse(String),
    /// The content is shown to be damaged.
    Damaged(String),
    /// There is no room.
    NoRoom(String),
    /// A sync failed.
    Sync(String),
    /// Anything else: nothing is known against the content.
    Plain(String),
}

impl Failed {
    fn in_use(place: &str) -> Failed {
        Failed::InUse(format!("{place}: another process uses it (end that one, or name another dataDir)"))
    }

    /// An error of a file or folder itself.
    fn io(place: &str, e: &std::io::Error) -> Failed {
        if no_room(e) {
            return Failed::NoRoom(format!("{place}: {e}"));
        }
        Failed::Plain(format!("{place}: {e} (mend the disk, its rights or the limits of this process)"))
    }

    /// An error of redb's. What was noted of the file goes first; of all others only what redb says of the content itself
    /// speaks against it.
    fn redb(place: &str, e: impl Into<Error>, notes: &Notes) -> Failed {
        let e = e.into();
        let why = format!("{place}: {e}");
        match (notes.take(), &e) {
            (Some(Trouble::Sync), _) => Failed::Sync(why),
            (Some(Trouble::NoRoom), _) => Failed::NoRoom(why),
            (None, Error::DatabaseAlreadyOpen | Error::LockProtocolMismatch) => Failed::in_use(place),
            (
                None,
                Error::Corrupted(_)
                | Error::TableTypeMismatch { .. }
                | Error::TableIsMultimap(_)
                | Error::TypeDefinitionChanged { .. },
            ) => Failed::Damaged(why),
            // No file of redb's, or it ends before it should.
            (None, Error::Io(e)) if matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
                Failed::Damaged(why)
            }
            (None, Error::Io(e)) => Failed::io(place, e),
            (None, _) => Failed::Plain(why),
        }
    }

    /// What the process ends with.
    pub fn code(&self) -> i32 {
        match self {
            Failed::Sync(_) => 74,
            _ => 2,
        }
    }
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Failed::InUse(why)
        | Failed::Damaged(why)
        | Failed::NoRoom(why)
        | Failed::Sync(why)
        | Failed::Plain(why)) = self;
        f.write_str(why)
    }
}

impl std::error::Error for Failed {}

/// Opens what is there, or begins anew, and starts the thread.
pub fn open(dir: &Path) -> Result<Opened, Failed> {
    let found = find(OnDisk::take(dir)?)?;
    let (writes, todo) = mpsc::channel::<Write>();
    let (tell, told) = unbounded_channel();
    let keeper = found.keeper;
    let thread = std::thread::Builder::new().name("ledger".to_string()).stack_size(512 * 1024);
    thread.spawn(move || keep(keeper, &todo, &tell)).map_err(|e| Failed::Plain(e.to_string()))?;
    Ok(Opened { disk: found.disk, lost: found.lost, set_aside: found.set_aside, writes, told })
}

/// The thread, until nobody writes any more or the disk has failed.
fn keep<F: Folder>(mut keeper: Keeper<F>, todo: &mpsc::Receiver<Write>, tell: &UnboundedSender<Told>) {
    if let Some(why) = &keeper.full {
        let _ = tell.send(Told::Full(why.clone()));
    }
    loop {
        if keeper.full.is_some() {
            std::thread::sleep(RETRY);
        } else {
            let Ok(first) = todo.recv() else { return };
            keeper.pending.push(first);
        }
        // What has gathered meanwhile shares a sync. The store has few writes under way at a time.
        keeper.pending.extend(todo.try_iter().take(GATHERED));
        for told in keeper.attempt() {
            let failed = matches!(told, Told::Failed(_));
            if tell.send(told).is_err() || failed {
                return;
            }
        }
    }
}

/// What was found at the start.
struct Found<F: Folder> {
    disk: StoredState<ControlValue>,
    lost: bool,
    set_aside: Option<String>,
    keeper: Keeper<F>,
}

/// Reads what is there. Damaged content is set aside; any other error leaves all as it is.
fn find<F: Folder>(folder: F) -> Result<Found<F>, Failed> {
    let place = folder.name();
    let mut set_aside = None;
    let mut disk = StoredState::default();
    let mut opened = match begin(&folder, true) {
        Ok(db) => read_in(&db).map(|found| {
            disk = found;
            db
        }),
        // Without room to open it, what is there can still be read.
        Err(Failed::NoRoom(why)) => read_copy(&folder).and_then(|found| {
            disk = found;
            Err(Failed::NoRoom(why))
        }),
        Err(e) => Err(e),
    };
    if let Err(Failed::Damaged(why)) = &opened {
        set_aside = Some(why.clone());
        put_aside(&folder)?;
        disk = StoredState::default();
        opened = begin(&folder, true);
    }
    let (db, full) = match opened {
        Ok(db) => (Some(db), None),
        Err(Failed::NoRoom(why)) => (None, Some(why)),
        Err(e) => return Err(e),
    };
    let mut lost = false;
    for name in ASIDE {
        lost |= folder.open(name).map_err(|e| Failed::io(&place, &e))?.is_some();
    }
    let made = db.is_some() || folder.open(FILE).map_err(|e| Failed::io(&place, &e))?.is_some();
    let keeper = Keeper { folder, db, made, pending: Vec::new(), full };
    Ok(Found { disk, lost, set_aside, keeper })
}

/// redb, and the notes on its file.
struct Open {
    db: Database,
    notes: Notes,
    place: String,
}

impl Open {
    fn on(place: String, content: impl StorageBackend) -> Result<Open, Failed> {
        let notes = Notes::default();
        let watched = Watched { content, notes: notes.clone() };
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        match builder.create_with_backend(watched) {
            Ok(db) => Ok(Open { db, notes, place }),
            Err(e) => Err(Failed::redb(&place, e, &notes)),
        }
    }
}

fn place_of(folder: &impl Folder) -> String {
    format!("{}/{FILE}", folder.name())
}

/// The file, made if there is none and there may be none; its name and all that stands in it last.
fn begin<F: Folder>(folder: &F, make: bool) -> Result<Open, Failed> {
    let place = place_of(folder);
    let io = |e: std::io::Error| Failed::io(&place, &e);
    let sync = |e: std::io::Error| Failed::Sync(format!("{place}: {e}"));
    let open = match folder.open(FILE).map_err(io)? {
        Some(content) => {
            synced(&place, &content)?;
            Open::on(place.clone(), content)?
        }
        None if !make => return Err(Failed::Plain(format!("{place}: the file is gone"))),
        None => {
            let open = Open::on(place.clone(), folder.create(NEW).map_err(io)?)?;
            folder.rename(NEW, FILE).map_err(io)?;
            open
        }
    };
    // Of an earlier start, too, the name may not last yet.
    folder.sync().map_err(sync)?;
    Ok(open)
}

/// What a process wrote that has ended since may not be synced; nothing is told of it before it is.
fn synced(place: &str, content: &impl StorageBackend) -> Result<(), Failed> {
    if content.len().map_err(|e| Failed::io(place, &e))? == 0 {
        return Err(Failed::Damaged(format!("{place}: the file is empty")));
    }
    content.sync_data().map_err(|e| Failed::Sync(format!("{place}: {e}")))
}

/// What stands in the file, read through a copy in memory: redb writes when it opens, and there is no room for that.
fn read_copy<F: Folder>(folder: &F) -> Result<StoredState<ControlValue>, Failed> {
    let place = place_of(folder);
    let io = |e: std::io::Error| Failed::io(&place, &e);
    let Some(content) = folder.open(FILE).map_err(io)? else { return Ok(StoredState::default()) };
    synced(&place, &content)?;
    folder.sync().map_err(|e| Failed::Sync(format!("{place}: {e}")))?;
    let len = content.len().map_err(io)?;
    if len > COPIED {
        return Err(Failed::Plain(format!("{place}: {len} bytes, and no room to open it (make room)")));
    }
    let copy = InMemoryBackend::new();
    copy.set_len(len).map_err(io)?;
    for at in (0..len).step_by(PIECE) {
        let mut piece = vec![0; PIECE.min((len - at) as usize)];
        content.read(at, &mut piece).and_then(|()| copy.write(at, &piece)).map_err(io)?;
    }
    read_in(&Open::on(place.clone(), copy)?)
}

/// Gives the file a name of its own and makes that last.
fn put_aside<F: Folder>(folder: &F) -> Result<(), Failed> {
    let place = folder.name();
    for name in ASIDE {
        if folder.open(name).map_err(|e| Failed::io(&place, &e))?.is_none() {
            folder.rename(FILE, name).map_err(|e| Failed::io(&place, &e))?;
            return folder.sync().map_err(|e| Failed::Sync(format!("{place}: {e}")));
        }
    }
    let all = ASIDE.join(" and ");
    Err(Failed::Plain(format!(
        "{place}: {FILE} is damaged, as were {all} (replace the disk, or move them away)"
    )))
}

/// All that stands in it.
fn read_in(open: &Open) -> Result<StoredState<ControlValue>, Failed> {
    let failed = |e: Error| Failed::redb(&open.place, e, &open.notes);
    let damaged = |e: bitcode::Error| Failed::Damaged(format!("{}: a record: {e}", open.place));
    let mut disk = StoredState { metadata: None, keys: Vec::new() };
    let tx = open.db.begin_read().map_err(|e| failed(e.into()))?;
    match tx.open_table(MARKER) {
        Ok(t) => {
            if let Some(bytes) = t.get(ROSTER).map_err(|e| failed(e.into()))? {
                disk.metadata = Some(bitcode::decode(bytes.value()).map_err(damaged)?);
            }
        }
        Err(TableError::TableDoesNotExist(_)) => return Ok(disk),
        Err(e) => return Err(failed(e.into())),
    }
    let keys = match tx.open_table(KEYS) {
        Ok(keys) => keys,
        Err(TableError::TableDoesNotExist(_)) if disk.metadata.is_none() => return Ok(disk),
        Err(TableError::TableDoesNotExist(_)) => {
            return Err(Failed::Damaged(format!("{}: metadata and no keys", open.place)))
        }
        Err(e) => return Err(failed(e.into())),
    };
    for entry in keys.iter().map_err(|e| failed(e.into()))? {
        let (_, bytes) = entry.map_err(|e| failed(e.into()))?;
        disk.keys.push(bitcode::decode(bytes.value()).map_err(damaged)?);
    }
    Ok(disk)
}

/// Who writes.
struct Keeper<F: Folder> {
    folder: F,
    /// `None` while it can't be opened.
    db: Option<Open>,
    /// The file is there: if it is gone its content is lost, and a new one would not have it.
    made: bool,
    /// Not synced yet, in order. As many as the store has under way.
    pending: Vec<Write>,
    /// Why it takes no writes.
    full: Option<String>,
}

impl<F: Folder> Keeper<F> {
    /// Tries to write all that is pending; without room before, whether there is some now.
    fn attempt(&mut self) -> Vec<Told> {
        match self.write() {
            Ok(()) => {
                let room = self.full.take().map(|_| Told::Room);
                room.into_iter().chain(self.pending.drain(..).map(|w| Told::Synced(w.number))).collect()
            }
            Err(Failed::NoRoom(why)) => {
                // After an error redb takes nothing more; the file is opened again with the next try, and what of the failed
                // transaction came onto the disk is undone or overwritten by then.
                self.db = None;
                let first = self.full.replace(why.clone()).is_none();
                first.then_some(Told::Full(why)).into_iter().collect()
            }
            Err(e) => vec![Told::Failed(e.to_string())],
        }
    }

    fn write(&mut self) -> Result<(), Failed> {
        if self.db.is_none() {
            self.db = Some(begin(&self.folder, !self.made)?);
            self.made = true;
        }
        let Some(open) = &self.db else { return Ok(()) };
        let probe = self.full.is_some();
        transaction(&open.db, &self.pending, probe).map_err(|e| Failed::redb(&open.place, e, &open.notes))?;
        // A write that only makes room in memory may fail and be made up for; a sync may not.
        match open.notes.take() {
            Some(Trouble::Sync) => Err(Failed::Sync(format!("{}: a sync failed", open.place))),
            _ => Ok(()),
        }
    }
}

fn transaction(db: &Database, all: &[Write], probe: bool) -> Result<(), Error> {
    let tx = db.begin_write()?;
    {
        let mut marker = tx.open_table(MARKER)?;
        let mut keys = tx.open_table(KEYS)?;
        if probe {
            marker.insert(PROBE, [0; PROBED].as_slice())?;
        }
        for w in all {
            if let Some(m) = &w.metadata {
                marker.insert(ROSTER, bitcode::encode(m).as_slice())?;
            }
            for k in &w.keys {
                keys.insert(k.key.as_str(), bitcode::encode(k).as_slice())?;
            }
        }
    }
    tx.commit()?;
    Ok(())
}
