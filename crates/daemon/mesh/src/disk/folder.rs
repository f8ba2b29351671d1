//! The folder that the control state lies in: the few calls that `disk` makes of it, so that a test can take the power away between
//! any two of them.
use super::Failed;
use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};

/// A folder.
pub trait Folder: Send + 'static {
    /// An open file.
    type Content: StorageBackend;

    /// The file of this name, if there is one.
    fn open(&self, name: &str) -> Result<Option<Self::Content>, Error>;
    /// A new and empty file, in the place of one of this name.
    fn create(&self, name: &str) -> Result<Self::Content, Error>;
    /// Gives a file another name. Lasts once the folder is synced.
    fn rename(&self, from: &str, to: &str) -> Result<(), Error>;
    /// Makes the names last.
    fn sync(&self) -> Result<(), Error>;
    /// Its name, for the operator.
    fn name(&self) -> String;
}

/// A folder of this machine, which no other process of this program may use while this is held.
pub struct OnDisk {
    path: PathBuf,
    /// Locked, where the machine has locks for folders; the lock of the file in it is redb's.
    handle: File,
}

impl OnDisk {
    /// Takes the folder, made if it is not there.
    pub fn take(path: &Path) -> Result<OnDisk, Failed> {
        let plain = |e: Error| Failed::Plain(format!("dataDir {}: {e}", path.display()));
        if !path.exists() {
            std::fs::create_dir_all(path).map_err(plain)?;
            // Its own name lasts once the folder above is synced.
            if let Some(above) = path.parent().filter(|above| !above.as_os_str().is_empty()) {
                File::open(above).and_then(|above| above.sync_all()).map_err(plain)?;
            }
        }
        let handle = File::open(path).map_err(plain)?;
        match handle.try_lock() {
            Err(TryLockError::WouldBlock) => Err(Failed::in_use(&path.display().to_string())),
            // Where there are no locks for folders redb's own is all there is.
            Ok(()) | Err(TryLockError::Error(_)) => Ok(OnDisk { path: path.to_owned(), handle }),
        }
    }

    fn file(&self, name: &str, create: bool) -> Result<File, Error> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(create).truncate(create).open(self.path.join(name))
    }
}

impl Folder for OnDisk {
    type Content = FileBackend;

    fn open(&self, name: &str) -> Result<Option<FileBackend>, Error> {
        match self.file(name, false) {
            Ok(file) => content(file).map(Some),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn create(&self, name: &str) -> Result<FileBackend, Error> {
        content(self.file(name, true)?)
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), Error> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&self) -> Result<(), Error> {
        self.handle.sync_all()
    }

    fn name(&self) -> String {
        self.path.display().to_string()
    }
}

fn content(file: File) -> Result<FileBackend, Error> {
    FileBackend::new(file).map_err(Error::other)
}
