//! A simulated folder in memory with power loss between any two operations, a full disk, and injected errors.
use super::super::folder::Folder;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};

/// A change of a file's content.
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
    Created(String, usize),
    Renamed(String, String, usize),
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the folder was synced.
    unsynced: Vec<NameChange>,
    /// Number of modifying operations so far.
    operation_count: usize,
    /// Power is lost after this many operations.
    operations_before_power_loss: Option<usize>,
    /// The disk is full after this many operations.
    operations_before_full: Option<usize>,
    /// Kind of operation that fails, and the kind of its error.
    injected_error: Option<(Operation, ErrorKind)>,
    /// Only the next operation of that kind fails, like a disk that reports an error only once.
    fails_once: bool,
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

/// Which unsynced writes survive a power loss.
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

/// The folder; clones share their content.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryFolder(Arc<Mutex<Inner>>);

/// A file in the folder.
#[derive(Debug)]
pub(super) struct File(MemoryFolder, usize);

impl Inner {
    fn begin(&mut self, what: Operation) -> Result<(), Error> {
        if let Some((_, kind)) = self.injected_error.filter(|f| f.0 == what) {
            if self.fails_once {
                self.injected_error = None;
            }
            return Err(kind.into());
        }
        if matches!(what, Operation::Open | Operation::Read) {
            return Ok(());
        }
        if self.operations_before_power_loss.is_some_and(|power| self.operation_count >= power) {
            return Err(Error::other("no power"));
        }
        let grows = matches!(what, Operation::Write | Operation::Create);
        if grows && self.operations_before_full.is_some_and(|full| self.operation_count >= full) {
            return Err(ErrorKind::StorageFull.into());
        }
        self.operation_count += 1;
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

fn content_after_power_loss(content: &Content, kept: Kept) -> Vec<u8> {
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

    /// Number of modifying operations so far.
    pub(super) fn operations(&self) -> usize {
        self.inner().operation_count
    }

    /// Simulates a power loss after this many operations in total.
    pub(super) fn power_lost_after(&self, operations: usize) {
        self.inner().operations_before_power_loss = Some(operations);
    }

    /// Simulates a full disk after this many operations in total; `None`: there is space.
    pub(super) fn out_of_space_from(&self, operations: Option<usize>) {
        self.inner().operations_before_full = operations;
    }

    /// Makes all operations of a kind fail; `None`: no errors.
    pub(super) fn fail(&self, how: Option<(Operation, ErrorKind)>) {
        let mut inner = self.inner();
        (inner.injected_error, inner.fails_once) = (how, false);
    }

    /// Makes the next operation of this kind fail.
    pub(super) fn fail_once(&self, what: Operation, kind: ErrorKind) {
        let mut inner = self.inner();
        (inner.injected_error, inner.fails_once) = (Some((what, kind)), true);
    }

    /// Names of the files in the folder.
    pub(super) fn names(&self) -> Vec<String> {
        self.inner().names.keys().cloned().collect()
    }

    /// Current content of a file.
    pub(super) fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.inner();
        inner.names.get(name).map(|file| inner.files[*file].current.clone())
    }

    /// Adds or replaces a file, durably.
    pub(super) fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.inner();
        let file = inner.files.len();
        inner.files.push(Content { current: bytes.clone(), synced: bytes, unsynced: Vec::new() });
        inner.names.insert(name.to_string(), file);
        inner.durable_names.insert(name.to_string(), file);
    }

    /// Possible states after a power loss: every subset of the unsynced name changes, with every [`Kept`] of unsynced writes.
    pub(super) fn after_power_loss(&self) -> Vec<(String, MemoryFolder)> {
        let inner = self.inner();
        let mut all = Vec::new();
        for names in 0..1_u32 << inner.unsynced.len() {
            let mut durable_names = inner.durable_names.clone();
            for (_, name) in inner.unsynced.iter().enumerate().filter(|(i, _)| names >> i & 1 == 1) {
                match name {
                    NameChange::Created(name, file) => durable_names.insert(name.clone(), *file),
                    NameChange::Renamed(from, to, file) => {
                        durable_names.retain(|name, known| name != from || known != file);
                        durable_names.insert(to.clone(), *file)
                    }
                };
            }
            for kept in KEPT {
                let after = MemoryFolder::default();
                for (name, file) in &durable_names {
                    after.put(name, content_after_power_loss(&inner.files[*file], kept));
                }
                all.push((format!("names {names:b}, writes {kept:?}"), after));
            }
        }
        all
    }

    /// The folder as the next process finds it after this one was killed.
    pub(super) fn after_kill(&self) -> MemoryFolder {
        let mut inner = self.inner().clone();
        (inner.operation_count, inner.operations_before_power_loss) = (0, None);
        inner.operations_before_full = inner.operations_before_full.map(|_| 0);
        MemoryFolder(Arc::new(Mutex::new(inner)))
    }
}

impl Folder for MemoryFolder {
    type Content = File;

    fn open(&self, name: &str) -> Result<Option<File>, Error> {
        let mut inner = self.inner();
        inner.begin(Operation::Open)?;
        Ok(inner.names.get(name).map(|file| File(self.clone(), *file)))
    }

    fn create(&self, name: &str) -> Result<File, Error> {
        let mut inner = self.inner();
        inner.begin(Operation::Create)?;
        let file = inner.files.len();
        inner.files.push(Content::default());
        inner.names.insert(name.to_string(), file);
        inner.unsynced.push(NameChange::Created(name.to_string(), file));
        Ok(File(self.clone(), file))
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), Error> {
        let mut inner = self.inner();
        inner.begin(Operation::Rename)?;
        let file = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_string(), file);
        inner.unsynced.push(NameChange::Renamed(from.to_string(), to.to_string(), file));
        Ok(())
    }

    fn sync(&self) -> Result<(), Error> {
        let mut inner = self.inner();
        inner.begin(Operation::FolderSync)?;
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
        inner.begin(Operation::Read)?;
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
        inner.begin(Operation::Sync)?;
        let content = &mut inner.files[self.1];
        content.synced = content.current.clone();
        content.unsynced.clear();
        Ok(())
    }
}

impl File {
    fn change(&self, op: Change) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.begin(Operation::Write)?;
        let content = &mut inner.files[self.1];
        apply(&mut content.current, &op);
        content.unsynced.push(op);
        Ok(())
    }
}
