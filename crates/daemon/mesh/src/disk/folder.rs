//! The folder that holds the control state: the few operations on it that this module needs.
//!
//! A trait, so that a test can take the power away between any two of them.
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

    /// The file of this name, if there is one.
    fn open(&self, name: &str) -> Result<Option<Self::Content>, Error>;
    /// A new and empty file, in the place of one of this name.
    fn create(&self, name: &str) -> Result<Self::Content, Error>;
    /// Gives a file another name. Durable once the folder is synced.
    fn rename(&self, from: &str, to: &str) -> Result<(), Error>;
    /// Makes the names durable.
    fn sync(&self) -> Result<(), Error>;
    /// Its path, for the operator.
    fn path(&self) -> String;
}

/// A folder of this machine. While this value lives no other process of this program can use the folder.
#[derive(Debug)]
pub(super) struct DataFolder {
    path: PathBuf,
    /// Locked, where the system has locks for folders; the lock of the file in it is redb's.
    handle: File,
}

impl DataFolder {
    /// Locks the folder, created if it is not there.
    ///
    /// # Errors
    /// [`DiskError::InUse`] if another process has it; [`DiskError::Inaccessible`] for whatever the system says.
    pub(super) fn lock(path: &Path) -> Result<DataFolder, DiskError> {
        let inaccessible = |error: Error| DiskError::Inaccessible {
            path: format!("dataDir {}", path.display()),
            cause: error.to_string(),
        };
        if !path.exists() {
            std::fs::create_dir_all(path).map_err(inaccessible)?;
            // Its own name is durable once the folder above is synced.
            if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent).and_then(|parent| parent.sync_all()).map_err(inaccessible)?;
            }
        }
        let handle = File::open(path).map_err(inaccessible)?;
        match handle.try_lock() {
            Err(TryLockError::WouldBlock) => Err(DiskError::InUse { path: path.display().to_string() }),
            // Where there are no locks for folders redb's own is all there is.
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
