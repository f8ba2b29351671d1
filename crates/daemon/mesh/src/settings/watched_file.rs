//! Whether the settings file has changed since it was read last.
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// What is looked at to see a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    modified: SystemTime,
    length: u64,
}

/// The settings file as it was last looked at.
#[derive(Default)]
pub(crate) struct WatchedSettingsFile {
    path: RefCell<Option<PathBuf>>,
    /// `None`: it could not be looked at.
    seen: Cell<Option<FileStamp>>,
}

fn stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileStamp { modified: metadata.modified().ok()?, length: metadata.len() })
}

impl WatchedSettingsFile {
    /// This is the file, read a moment ago.
    pub(crate) fn begin(&self, path: &Path) {
        self.seen.set(stamp(path));
        *self.path.borrow_mut() = Some(path.to_path_buf());
    }

    /// The path, if the file looks different from when it was seen last, or if `always`; it counts as seen from here on.
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
