//! Errors of the disk, with advice for the operator.
use super::io_faults::{is_out_of_space, IoFault, IoFaultLog};
use redb::Error;
use std::fmt;
use std::io::ErrorKind;

/// Exit code of a process whose disk failed (`EX_IOERR`).
const EXIT_DISK_FAILED: i32 = 74;
/// Exit code of a process that can't start.
const EXIT_CANNOT_START: i32 = 2;

/// Why the disk can't be used. `path` is the file or folder, `cause` the message of the system or of redb.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum DiskError {
    /// Another process has the folder or the file open.
    InUse { path: String },
    /// The content is proven to be damaged.
    Damaged { path: String, cause: String },
    /// The content is damaged, and all quarantine file names are taken.
    QuarantineFull { path: String, file: &'static str, taken: String },
    /// The disk is full or the user's quota is exhausted.
    OutOfSpace { path: String, cause: String },
    /// The disk is out of space, and the file is too large to be read through a copy in memory.
    TooLargeToCopy { path: String, size_bytes: u64 },
    /// A sync failed, so the content on disk is unknown.
    SyncFailed { path: String, cause: String },
    /// Writing failed while the process was running, so the content on disk is unknown.
    FailedWhileRunning(Box<DiskError>),
    /// The writer thread has ended.
    ThreadEnded { cause: String },
    /// The file was removed while the process was running.
    FileMissing { path: String },
    /// The file or folder can't be opened, read or written; this does not imply damaged content.
    Inaccessible { path: String, cause: String },
    /// The writer thread could not be started.
    NoThread { cause: String },
}

impl DiskError {
    /// Converts an I/O error of a file or folder.
    pub(super) fn from_io(path: &str, error: &std::io::Error) -> DiskError {
        let (path, cause) = (path.to_string(), error.to_string());
        if is_out_of_space(error) {
            DiskError::OutOfSpace { path, cause }
        } else {
            DiskError::Inaccessible { path, cause }
        }
    }

    /// Converts the error of a failed sync of a file or folder.
    pub(super) fn from_sync(path: &str, error: &std::io::Error) -> DiskError {
        DiskError::SyncFailed { path: path.to_string(), cause: error.to_string() }
    }

    /// Converts an error of redb. A recorded fault of the file takes precedence; otherwise only redb's errors about the
    /// content count as damage.
    pub(super) fn from_redb(path: &str, error: impl Into<Error>, faults: &IoFaultLog) -> DiskError {
        let error = error.into();
        let (path, cause) = (path.to_string(), error.to_string());
        match (faults.take(), &error) {
            (Some(IoFault::Sync), _) => DiskError::SyncFailed { path, cause },
            (Some(IoFault::OutOfSpace), _) => DiskError::OutOfSpace { path, cause },
            (None, Error::DatabaseAlreadyOpen | Error::LockProtocolMismatch) => DiskError::InUse { path },
            (
                None,
                Error::Corrupted(_)
                | Error::TableTypeMismatch { .. }
                | Error::TableIsMultimap(_)
                | Error::TypeDefinitionChanged { .. },
            ) => DiskError::Damaged { path, cause },
            // Not a redb file, or a truncated one.
            (None, Error::Io(e)) if matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
                DiskError::Damaged { path, cause }
            }
            (None, Error::Io(e)) => DiskError::from_io(&path, e),
            (None, _) => DiskError::Inaccessible { path, cause },
        }
    }

    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            DiskError::SyncFailed { .. } | DiskError::FailedWhileRunning(_) => EXIT_DISK_FAILED,
            _ => EXIT_CANNOT_START,
        }
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiskError::InUse { path } => {
                write!(f, "{path}: another process uses it (end that one, or set another dataDir)")
            }
            DiskError::QuarantineFull { path, file, taken } => {
                write!(f, "{path}: {file} is damaged, as were {taken} (replace the disk, or move them away)")
            }
            DiskError::TooLargeToCopy { path, size_bytes } => {
                write!(f, "{path}: {size_bytes} bytes, and no space to open it (free space on the disk)")
            }
            DiskError::FileMissing { path } => {
                write!(f, "{path}: the file is missing (restore the disk, or replace this node)")
            }
            DiskError::Inaccessible { path, cause } => {
                write!(f, "{path}: {cause} (repair the disk, its permissions or the limits of this process)")
            }
            DiskError::NoThread { cause } => {
                write!(
                    f,
                    "the disk writer thread can't be started: {cause} (raise the limits of this process)"
                )
            }
            DiskError::FailedWhileRunning(error) => error.fmt(f),
            DiskError::ThreadEnded { cause } => {
                write!(f, "the disk writer thread has ended: {cause} (restart this process)")
            }
            DiskError::Damaged { path, cause }
            | DiskError::OutOfSpace { path, cause }
            | DiskError::SyncFailed { path, cause } => write!(f, "{path}: {cause}"),
        }
    }
}

impl std::error::Error for DiskError {}
