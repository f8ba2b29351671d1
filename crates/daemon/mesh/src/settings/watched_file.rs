//! Detects whether the settings file has changed since it was last read.
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// File metadata that is compared to detect a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    modified: SystemTime,
    length: u64,
}

/// The settings file and its metadata at the last check.
#[derive(Default)]
pub(crate) struct WatchedSettingsFile {
    path: RefCell<Option<PathBuf>>,
    /// `None`: its metadata could not be read.
    seen: Cell<Option<FileStamp>>,
}

fn stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileStamp { modified: metadata.modified().ok()?, length: metadata.len() })
}

impl WatchedSettingsFile {
    /// Starts watching the file, which was just read.
    pub(crate) fn begin(&self, path: &Path) {
        self.seen.set(stamp(path));
        *self.path.borrow_mut() = Some(path.to_path_buf());
    }

    /// Returns the path if the file's metadata changed since the last check, or if `always`, and records the new metadata.
    pub(crate) fn changed(&self, always: bool) -> Option<PathBuf> {
        let path = self.path.borrow().clone()?;
        let stamp = stamp(&path);
        if !always && stamp == self.seen.get() {
            return None;
        }
        self.seen.set(stamp);
        Some(path)
    }
}
