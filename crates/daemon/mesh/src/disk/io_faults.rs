//! A file under redb that notes which of its operations failed: redb reports an error, but not of which operation.
use redb::{BackendError, StorageBackend};
use std::io::{Error, ErrorKind};
use std::ops::Bound;
use std::sync::{Arc, Mutex, PoisonError};

/// What went wrong with the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IoFault {
    /// A write, or a new length, found no space: nothing is acknowledged that is not synced.
    OutOfSpace,
    /// A sync failed: what the disk holds of the writes before it is unknown, and another sync would not tell.
    Sync,
}

/// The first fault since it was last taken; a failed sync goes before all others. A clone is the same log.
#[derive(Clone, Debug, Default)]
pub(super) struct IoFaultLog(Arc<Mutex<Option<IoFault>>>);

impl IoFaultLog {
    fn note(&self, fault: IoFault) {
        let mut noted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if noted.is_none() || fault == IoFault::Sync {
            *noted = Some(fault);
        }
    }

    /// What went wrong, if anything; forgotten with this call.
    pub(super) fn take(&self) -> Option<IoFault> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Whether the error says that the disk, or this user's quota on it, has no space.
pub(super) fn is_out_of_space(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}

/// A file and the faults noted of it.
#[derive(Debug)]
pub(super) struct FaultRecordingBackend<B> {
    pub(super) content: B,
    pub(super) faults: IoFaultLog,
}

impl<B> FaultRecordingBackend<B> {
    fn note_out_of_space(&self, result: Result<(), Error>) -> Result<(), Error> {
        result.inspect_err(|error| {
            if is_out_of_space(error) {
                self.faults.note(IoFault::OutOfSpace);
            }
        })
    }
}

type Edge = Bound<u64>;

impl<B: StorageBackend> StorageBackend for FaultRecordingBackend<B> {
    fn len(&self) -> Result<u64, Error> {
        self.content.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.content.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.note_out_of_space(self.content.set_len(len))
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.note_out_of_space(self.content.write(offset, data))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.content.sync_data().inspect_err(|_| self.faults.note(IoFault::Sync))
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
