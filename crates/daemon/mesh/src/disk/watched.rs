//! A file under redb that notes which of its operations failed: redb tells an error, but not of what.
use redb::{BackendError, StorageBackend};
use std::io::{Error, ErrorKind};
use std::ops::Bound;
use std::sync::{Arc, Mutex, PoisonError};

/// What went wrong with the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A write, or a new length, found no room: nothing was told to be synced that is not.
    NoRoom,
    /// A sync failed: what is on the disk of the writes before it is unknown, and another sync would not tell.
    Sync,
}

/// The first trouble since it was last asked for; a failed sync goes before all others.
#[derive(Clone, Debug, Default)]
pub struct Notes(Arc<Mutex<Option<Trouble>>>);

impl Notes {
    fn note(&self, trouble: Trouble) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if known.is_none() || trouble == Trouble::Sync {
            *known = Some(trouble);
        }
    }

    /// What went wrong, if anything.
    pub fn take(&self) -> Option<Trouble> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Whether it says that the disk, or this user's part of it, has no room.
pub fn no_room(e: &Error) -> bool {
    matches!(e.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}

/// A file and the notes on it.
#[derive(Debug)]
pub struct Watched<B> {
    pub content: B,
    pub notes: Notes,
}

impl<B> Watched<B> {
    fn room(&self, said: Result<(), Error>) -> Result<(), Error> {
        said.inspect_err(|e| {
            if no_room(e) {
                self.notes.note(Trouble::NoRoom);
            }
        })
    }
}

type Edge = Bound<u64>;

impl<B: StorageBackend> StorageBackend for Watched<B> {
    fn len(&self) -> Result<u64, Error> {
        self.content.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.content.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.room(self.content.set_len(len))
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.room(self.content.write(offset, data))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.content.sync_data().inspect_err(|_| self.notes.note(Trouble::Sync))
    }

    fn close(&self) -> Result<(), Error> {
        self.content.close()
    }

    fn try_lock_range(&self, start: Edge, end: Edge) -> Result<bool, BackendError> {
        self.content.try_lock_range(start, end)
    }

    fn try_lock_shared_range(&self, start: Edge, end: Edge) -> Result<bool, BackendError> {
        self.content.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Edge, end: Edge) -> Result<(), BackendError> {
        self.content.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Edge, end: Edge) -> Result<(), BackendError> {
        self.content.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Edge, end: Edge) -> Result<(), BackendError> {
        self.content.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Edge, end: Edge) -> Result<bool, BackendError> {
        self.content.query_lock_range(start, end)
    }
}
