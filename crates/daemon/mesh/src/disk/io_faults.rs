//! A storage backend for redb that records which file operation failed: redb's errors don't tell.
use redb::{BackendError, StorageBackend};
use std::io::{Error, ErrorKind};
use std::ops::Bound;
use std::sync::{Arc, Mutex, PoisonError};

/// A failed operation on the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IoFault {
    /// A write or an extension of the file ran out of space. Recoverable, since unsynced writes are not acknowledged.
    OutOfSpace,
    /// A sync failed: which of the earlier writes are on disk is unknown, and repeating the sync would not tell.
    Sync,
}

/// The first fault since the last call of `take`; a failed sync takes precedence over others. Clones share their content.
#[derive(Clone, Debug, Default)]
pub(super) struct IoFaultLog(Arc<Mutex<Option<IoFault>>>);

impl IoFaultLog {
    fn record(&self, fault: IoFault) {
        let mut recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if recorded.is_none() || fault == IoFault::Sync {
            *recorded = Some(fault);
        }
    }

    /// Returns the recorded fault, if any, and clears it.
    pub(super) fn take(&self) -> Option<IoFault> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Whether the error means that the disk is full or the user's quota is exhausted.
pub(super) fn is_out_of_space(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
}

/// A file and the faults recorded on it.
#[derive(Debug)]
pub(super) struct FaultRecordingBackend<B> {
    pub(super) content: B,
    pub(super) faults: IoFaultLog,
}

impl<B> FaultRecordingBackend<B> {
    fn record_out_of_space(&self, result: Result<(), Error>) -> Result<(), Error> {
        result.inspect_err(|error| {
            if is_out_of_space(error) {
                self.faults.record(IoFault::OutOfSpace);
            }
        })
    }
}

type RangeBound = Bound<u64>;

impl<B: StorageBackend> StorageBackend for FaultRecordingBackend<B> {
    fn len(&self) -> Result<u64, Error> {
        self.content.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.content.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.record_out_of_space(self.content.set_len(len))
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.record_out_of_space(self.content.write(offset, data))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.content.sync_data().inspect_err(|_| self.faults.record(IoFault::Sync))
    }

    fn close(&self) -> Result<(), Error> {
        self.content.close()
    }

    fn try_lock_range(&self, start: RangeBound, end: RangeBound) -> Result<bool, BackendError> {
        self.content.try_lock_range(start, end)
    }

    fn try_lock_shared_range(&self, start: RangeBound, end: RangeBound) -> Result<bool, BackendError> {
        self.content.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: RangeBound, end: RangeBound) -> Result<(), BackendError> {
        self.content.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: RangeBound, end: RangeBound) -> Result<(), BackendError> {
        self.content.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: RangeBound, end: RangeBound) -> Result<(), BackendError> {
        self.content.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: RangeBound, end: RangeBound) -> Result<bool, BackendError> {
        self.content.query_lock_range(start, end)
    }
}
