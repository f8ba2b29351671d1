//! A folder in memory that loses power between any two operations, runs full, and fails as it is told to.
use super::folder::Folder;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};

/// An operation that no sync covers yet.
#[derive(Clone, Debug)]
enum Op {
    Write(usize, Vec<u8>),
    Length(usize),
}

#[derive(Clone, Debug, Default)]
struct Content {
    now: Vec<u8>,
    synced: Vec<u8>,
    since: Vec<Op>,
}

#[derive(Clone, Debug)]
enum Name {
    Made(String, usize),
    Renamed(String, String, usize),
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    lasting: BTreeMap<String, usize>,
    /// Since the folder was synced.
    since: Vec<Name>,
    /// Operations that change something, so far.
    done: usize,
    /// Power goes after so many.
    power: Option<usize>,
    /// Writes find no room after so many operations.
    full: Option<usize>,
    /// This kind of operation fails, and how.
    fails: Option<(What, ErrorKind)>,
    /// Once alone, as a disk that tells of an error only to whoever asks first.
    once: bool,
}

/// Kinds of operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
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
pub enum Kept {
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

pub const KEPT: [Kept; 8] =
    [Kept::None, Kept::All, Kept::Even, Kept::Odd, Kept::Last, Kept::NotLast, Kept::Torn, Kept::TornFront];

/// The folder; a clone is the same one.
#[derive(Clone, Debug, Default)]
pub struct Trial(Arc<Mutex<Inner>>);

/// A file of it.
#[derive(Debug)]
pub struct File(Trial, usize);

impl Inner {
    fn may(&mut self, what: What) -> Result<(), Error> {
        if let Some((_, kind)) = self.fails.filter(|f| f.0 == what) {
            if self.once {
                self.fails = None;
            }
            return Err(kind.into());
        }
        if matches!(what, What::Open | What::Read) {
            return Ok(());
        }
        if self.power.is_some_and(|power| self.done >= power) {
            return Err(Error::other("no power"));
        }
        let grows = matches!(what, What::Write | What::Create);
        if grows && self.full.is_some_and(|full| self.done >= full) {
            return Err(ErrorKind::StorageFull.into());
        }
        self.done += 1;
        Ok(())
    }
}

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(len) => bytes.resize(*len, 0),
        Op::Write(at, data) => {
            if bytes.len() < at + data.len() {
                bytes.resize(at + data.len(), 0);
            }
            bytes[*at..at + data.len()].copy_from_slice(data);
        }
    }
}

fn left(content: &Content, kept: Kept) -> Vec<u8> {
    let mut bytes = content.synced.clone();
    let last = content.since.len().saturating_sub(1);
    for (i, op) in content.since.iter().enumerate() {
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
            (Op::Write(at, data), Kept::Torn) => {
                apply(&mut bytes, &Op::Write(*at, data[..data.len() / 2].to_vec()))
            }
            (Op::Write(at, data), Kept::TornFront) => {
                let half = data.len() / 2;
                apply(&mut bytes, &Op::Write(at + half, data[half..].to_vec()));
            }
            _ => apply(&mut bytes, op),
        }
    }
    bytes
}

impl Trial {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics in here")
    }

    /// How many operations there were.
    pub fn done(&self) -> usize {
        self.inner().done
    }

    /// Power goes after so many operations from the start.
    pub fn power_until(&self, operations: usize) {
        self.inner().power = Some(operations);
    }

    /// Writes find no room after so many operations; `None`: there is room.
    pub fn full_from(&self, operations: Option<usize>) {
        self.inner().full = operations;
    }

    /// Operations of this kind fail so; `None`: all goes well.
    pub fn fail(&self, how: Option<(What, ErrorKind)>) {
        let mut inner = self.inner();
        (inner.fails, inner.once) = (how, false);
    }

    /// The next one of this kind fails.
    pub fn fail_once(&self, what: What, kind: ErrorKind) {
        let mut inner = self.inner();
        (inner.fails, inner.once) = (Some((what, kind)), true);
    }

    /// What the folder holds.
    pub fn names(&self) -> Vec<String> {
        self.inner().names.keys().cloned().collect()
    }

    /// A file's content, and a way to put another there.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.inner();
        inner.names.get(name).map(|ino| inner.files[*ino].now.clone())
    }

    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.inner();
        let ino = inner.files.len();
        inner.files.push(Content { now: bytes.clone(), synced: bytes, since: Vec::new() });
        inner.names.insert(name.to_string(), ino);
        inner.lasting.insert(name.to_string(), ino);
    }

    /// All that a loss of power now could leave: each unsynced name kept or lost by itself, for each way in which unsynced writes are.
    pub fn after_power_loss(&self) -> Vec<(String, Trial)> {
        let inner = self.inner();
        let mut all = Vec::new();
        for names in 0..1_u32 << inner.since.len() {
            let mut lasting = inner.lasting.clone();
            for (_, name) in inner.since.iter().enumerate().filter(|(i, _)| names >> i & 1 == 1) {
                match name {
                    Name::Made(name, ino) => lasting.insert(name.clone(), *ino),
                    Name::Renamed(from, to, ino) => {
                        lasting.retain(|name, known| name != from || known != ino);
                        lasting.insert(to.clone(), *ino)
                    }
                };
            }
            for kept in KEPT {
                let after = Trial::default();
                for (name, ino) in &lasting {
                    after.put(name, left(&inner.files[*ino], kept));
                }
                all.push((format!("names {names:b}, writes {kept:?}"), after));
            }
        }
        all
    }

    /// As the next process finds it after this one was killed.
    pub fn after_kill(&self) -> Trial {
        let mut inner = self.inner().clone();
        (inner.done, inner.power) = (0, None);
        inner.full = inner.full.map(|_| 0);
        Trial(Arc::new(Mutex::new(inner)))
    }
}

impl Folder for Trial {
    type Content = File;

    fn open(&self, name: &str) -> Result<Option<File>, Error> {
        let mut inner = self.inner();
        inner.may(What::Open)?;
        Ok(inner.names.get(name).map(|ino| File(self.clone(), *ino)))
    }

    fn create(&self, name: &str) -> Result<File, Error> {
        let mut inner = self.inner();
        inner.may(What::Create)?;
        let ino = inner.files.len();
        inner.files.push(Content::default());
        inner.names.insert(name.to_string(), ino);
        inner.since.push(Name::Made(name.to_string(), ino));
        Ok(File(self.clone(), ino))
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), Error> {
        let mut inner = self.inner();
        inner.may(What::Rename)?;
        let ino = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_string(), ino);
        inner.since.push(Name::Renamed(from.to_string(), to.to_string(), ino));
        Ok(())
    }

    fn sync(&self) -> Result<(), Error> {
        let mut inner = self.inner();
        inner.may(What::FolderSync)?;
        inner.lasting = inner.names.clone();
        inner.since.clear();
        Ok(())
    }

    fn name(&self) -> String {
        "trial".to_string()
    }
}

impl StorageBackend for File {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.inner().files[self.1].now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.may(What::Read)?;
        let at = offset as usize;
        let piece = inner.files[self.1].now.get(at..at + out.len()).ok_or(ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(piece);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.change(Op::Length(len as usize))
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.change(Op::Write(offset as usize, data.to_vec()))
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.may(What::Sync)?;
        let content = &mut inner.files[self.1];
        content.synced = content.now.clone();
        content.since.clear();
        Ok(())
    }
}

impl File {
    fn change(&self, op: Op) -> Result<(), Error> {
        let mut inner = self.0.inner();
        inner.may(What::Write)?;
        let content = &mut inner.files[self.1];
        apply(&mut content.now, &op);
        content.since.push(op);
        Ok(())
    }
}
