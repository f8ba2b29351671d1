//! A folder in memory that loses power between any two operations, runs full, and fails as it is told to.
use super::super::folder::Folder;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};

/// An operation that no sync covers yet.
#[derive(Clone, Debug)]
enum Change {
    Write(usize, Vec<u8>),
    Length(usize),
}

#[derive(Clone, Debug, Default)]
struct Content {
    current: Vec<u8>,
    synced: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Made(String, usize),
    Renamed(String, String, usize),
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the folder was synced.
    unsynced: Vec<NameChange>,
    /// Operations that change something, so far.
    done: usize,
    /// Power goes after so many.
    power: Option<usize>,
    /// Writes find no room after so many operations.
    full: Option<usize>,
    /// This kind of operation fails, and how.
    fails: Option<(Operation, ErrorKind)>,
    /// Once alone, as a disk that tells of an error only to whoever asks first.
    once: bool,
}

/// Kinds of operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Operation {
    Open,
    Create,
    Read,
    Write,
    Sync,
    Rename,
    FolderSync,
}

/// Of the operations that no sync covers, which a loss of power leaves.
#[derive(Clone, Copy, Debug)]
pub(super) enum Kept {
    None,
    All,
    Even,
    Odd,
    Last,
    NotLast,
    /// The first half of each write.
    Torn,
    /// The second half of each write.
    TornFront,
}

pub(super) const KEPT: [Kept; 8] =
    [Kept::None, Kept::All, Kept::Even, Kept::Odd, Kept::Last, Kept::NotLast, Kept::Torn, Kept::TornFront];

/// The folder; a clone is the same one.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryFolder(Arc<Mutex<Inner>>);

/// A file of it.
#[derive(Debug)]
pub(super) struct File(MemoryFolder, usize);

impl Inner {
    fn may(&mut self, what: Operation) -> Result<(), Error> {
        if let Some((_, kind)) = self.fails.filter(|f| f.0 == what) {
            if self.once {
                self.fails = None;
            }
            return Err(kind.into());
        }
        if matches!(what, Operation::Open | Operation::Read) {
            return Ok(());
        }
        if self.power.is_some_and(|power| self.done >= power) {
            return Err(Error::other("no power"));
        }
        let grows = matches!(what, Operation::Write | Operation::Create);
        if grows && self.full.is_some_and(|full| self.done >= full) {
            return Err(ErrorKind::StorageFull.into());
        }
        self.done += 1;
        Ok(())
    }
}

fn apply(bytes: &mut Vec<u8>, op: &Change) {
    match op {
        Change::Length(len) => bytes.resize(*len, 0),
        Change::Write(at, data) => {
            if bytes.len() < at + data.len() {
                bytes.resize(at + data.len(), 0);
            }
            bytes[*at..at + data.len()].copy_from_slice(data);
        }
    }
}

fn left(content: &Content, kept: Kept) -> Vec<u8> {
    let mut bytes = content.synced.clone();
    let last = content.unsynced.len().saturating_sub(1);
    for (i, op) in content.unsynced.iter().enumerate() {
        let there = match kept {
            Kept::None => false,
            Kept::All | Kept::Torn | Kept::TornFront => true,
            Kept::Even => i % 2 == 0,
            Kept::Odd => i % 2 == 1,
            Kept::Last => i == last,
            Kept::NotLast => i != last,
        };
        match (op, kept) {
            _ if !there => {}
            (Change::Write(at, data), Kept::Torn) => {
                apply(&mut bytes, &Change::Write(*at, data[..data.len() / 2].to_vec()))
            }
            (Change::Write(at, data), Kept::TornFront) => {
                let half = data.len() / 2;
                apply(&mut bytes, &Change::Write(at + half, data[half..].to_vec()));
            }
            _ => apply(&mut bytes, op),
        }
    }
    bytes
}

impl MemoryFolder {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics in here")
    }

    /// How many operations there were.
    pub(super) fn operations(&self) -> usize {
        self.inner().done
    }

    /// Power goes after so many operations from the start.
    pub(super) fn power_lost_after(&self, operations: usize) {
        self.inner().power = Some(operations);
    }

    /// Writes find no room after so many operations; `None`: there is room.
    pub(super) fn out_of_space_from(&self, operations: Option<usize>) {
        self.inner().full = operations;
    }

    /// Operations of this kind fail so; `None`: all goes well.
    pub(super) fn fail(&self, how: Option<(Operation, ErrorKind)>) {
        let mut inner = self.inner();
        (inner.fails, inner.once) = (how, false);
    }

    /// The next one of this kind fails.
    pub(super) fn fail_once(&self, what: Operation, kind: ErrorKind) {
        let mut inner = self.inner();
        (inner.fails, inner.once) = (Some((what, kind)), true);
    }

    /// Operation the folder holds.
    pub(super) fn names(&self) -> Vec<String> {
        self.inner().names.keys().cloned().collect()
    }

    /// A file's content, and a way to put another there.
    pub(super) fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.inner();
        inner.names.get(name).map(|file| inner.files[*file].current.clone())
    }

    pub(super) fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.inner();
        let file = inner.files.len();
        inner.files.push(Content { current: bytes.clone(), synced: bytes, unsynced: Vec::new() });
        inner.names.insert(name.to_string(), file);
        inner.durable_names.insert(name.to_string(), file);
    }

    /// All that a loss of power now could leave: each unsynced name kept or lost by itself, for each way in which unsynced writes are.
    pub(super) fn after_power_loss(&self) -> Vec<(String, MemoryFolder)> {
        let inner = self.inner();
        let mut all = Vec::new();
        for names in 0..1_u32 << inner.unsynced.len() {
            let mut durable_names = inner.durable_names.clone();
            for (_, name) in inner.unsynced.iter().enumerate().filter(|(i, _)| names >> i & 1 == 1) {
                match name {
                    NameChange::Made(name, file) => durable_names.insert(name.clone(), *file),
                    NameChange::Renamed(from, to, file) => {
                        durable_names.retain(|name, known| name != from || known != file);
                        durable_names.insert(to.clone(), *file)
                    }
                };
            }
            for kept in KEPT {
                let after = MemoryFolder::default();
                for (name, file) in &durable_names {
                    after.put(name, left(&inner.files[*file], kept));
                }
                all.push((format!("names {names:b}, writes {kept:?}"), after));
            }
        }
        all
    }

    /// As the next process finds it after this one was killed.
    pub(super) fn after_kill(&self) -> MemoryFolder {
        let mut inner = self.inner().clone();
        (inner.done, inner.power) = (0, None);
        inner.full = inner.full.map(|_| 0);
        MemoryFolder(Arc::new(Mutex::new(inner)))
    }
}

impl Folder for MemoryFolder {
    type Content = File;

    fn open(&self, name: &str) -> Result<Option<File>, Error> {
        let mut inner = self.inner();
        inner.may(Operation::Open)?;
        Ok(inner.names.get(name).map(|file| File(self.clone(), *file)))
    }

    fn create(&self, name: &str) -> Result<File, Error> {
        let mut inner = self.inner();
        inner.may(Operation::Create)?;
        let file = inner.files.len();
        inner.files.push(Content::default());
        inner.names.insert(name.to_string(), file);
        inner.unsynced.push(NameChange::Made(name.to_string(), file));
        Ok(File(self.clone(), file))
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), Error> {
        let mut inner = self.inner();
        inner.may(Operation::Rename)?;
        let file = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_string(), file);
        inner.unsynced.push(NameChange::Renamed(from.to_string(), to.to_string(), file));
        Ok(())
    }

    fn sync(&self) -> Result<(), Error> {
        let mut inner = self.inner();
        inner.may(Operation::FolderSync)?;
        inner.durable_names = inner.names.clone();
        inner.unsynced.clear();
        Ok(())
    }

    fn path(&self) -> String {
        "memory".to_string()
    }
}

impl StorageBackend for File {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.inner().files[self.1].current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.may(Operation::Read)?;
        let at = offset as usize;
        let piece = inner.files[self.1].current.get(at..at + out.len()).ok_or(ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(piece);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(Change::Length(len as usize))
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(Change::Write(offset as usize, data.to_vec()))
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.may(Operation::Sync)?;
        let content = &mut inner.files[self.1];
        content.synced = content.current.clone();
        content.unsynced.clear();
        Ok(())
    }
}

impl File {
    fn change(&self, op: Change) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.may(Operation::Write)?;
        let content = &mut inner.files[self.1];
        apply(&mut content.current, &op);
        content.unsynced.push(op);
        Ok(())
    }
}
