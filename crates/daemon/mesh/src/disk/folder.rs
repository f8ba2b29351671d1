//! The data folder of the control store and the file operations that this module needs.
//!
//! Behind a trait, so that tests can simulate a power loss between any two operations.
use super::error::DiskError;
use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};

/// A folder of files that redb can work on.
pub(super) trait Folder: Send + 'static {
    /// An open file.
    type Content: StorageBackend;

    /// Opens the file of this name; `None` if it does not exist.
    fn open(&self, name: &str) -> Result<Option<Self::Content>, Error>;
    /// Creates an empty file, replacing an existing one of this name.
    fn create(&self, name: &str) -> Result<Self::Content, Error>;
    /// Renames a file. Durable once the folder is synced.
    fn rename(&self, from: &str, to: &str) -> Result<(), Error>;
    /// Syncs the folder, which makes created and renamed files durable under their names.
    fn sync(&self) -> Result<(), Error>;
    /// The path of the folder, for messages to the operator.
    fn path(&self) -> String;
}

/// A folder in the file system, locked against other processes of this program while this value lives.
#[derive(Debug)]
pub(super) struct DataFolder {
    path: PathBuf,
    /// Holds the lock, where the system supports locks on folders; redb locks the database file itself.
    handle: File,
}

impl DataFolder {
    /// Locks the folder, and creates it first if it does not exist.
    ///
    /// # Errors
    /// [`DiskError::InUse`] if another process holds the lock; [`DiskError::Inaccessible`] for any other I/O error.
    pub(super) fn lock(path: &Path) -> Result<DataFolder, DiskError> {
        let inaccessible = |error: Error| DiskError::Inaccessible {
            path: format!("dataDir {}", path.display()),
            cause: error.to_string(),
        };
        if !path.exists() {
            std::fs::create_dir_all(path).map_err(inaccessible)?;
            // A new folder is durable only once its parent is synced.
            if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent).and_then(|parent| parent.sync_all()).map_err(inaccessible)?;
            }
        }
        let handle = File::open(path).map_err(inaccessible)?;
        match handle.try_lock() {
            Err(TryLockError::WouldBlock) => Err(DiskError::InUse { path: path.display().to_string() }),
            // Where folders can't be locked, redb's lock on the file is the only one.
            Ok(()) | Err(TryLockError::Error(_)) => Ok(DataFolder { path: path.to_owned(), handle }),
        }
    }

    fn file(&self, name: &str, create: bool) -> Result<File, Error> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(create).truncate(create).open(self.path.join(name))
    }
}

impl Folder for DataFolder {
    type Content = FileBackend;

    fn open(&self, name: &str) -> Result<Option<FileBackend>, Error> {
        match self.file(name, false) {
            Ok(file) => backend(file).map(Some),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn create(&self, name: &str) -> Result<FileBackend, Error> {
        backend(self.file(name, true)?)
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), Error> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&self) -> Result<(), Error> {
        self.handle.sync_all()
    }

    fn path(&self) -> String {
        self.path.display().to_string()
    }
}

fn backend(file: File) -> Result<FileBackend, Error> {
    FileBackend::new(file).map_err(Error::other)
}
