//! A disk that can be broken: what is written stays in memory until a sync brings it to the file, so that a kill loses what was
//! not synced; syncs are slow, fail, find no room, or tear, as a file beside the store says. Only the rehearsal's own copy of
//! the sidecar opens its store on it.
use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The file beside the store that says how the disk is: `slow MS`, `fail`, `full` or `torn`.
pub fn control(store: &Path) -> PathBuf {
    store.with_extension("disk")
}

#[derive(Debug, Default)]
struct Held {
    image: Vec<u8>,
    /// What is not yet in the file.
    dirty: Vec<(usize, usize)>,
}

#[derive(Debug)]
struct Disk {
    file: File,
    control: PathBuf,
    held: Mutex<Held>,
}

/// Open a store's file on such a disk.
pub fn open(path: &Path) -> io::Result<Box<dyn StorageBackend>> {
    let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
    let mut image = vec![0; file.metadata()?.len() as usize];
    file.read_exact_at(&mut image, 0)?;
    let held = Mutex::new(Held { image, dirty: Vec::new() });
    Ok(Box::new(Disk { file, control: control(path), held }))
}

impl Disk {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bring(&self, held: &Held, parts: &[(usize, usize)]) -> io::Result<()> {
        for (from, to) in parts {
            if let Some(bytes) = held.image.get(*from..(*to).min(held.image.len())) {
                self.file.write_all_at(bytes, *from as u64)?;
            }
        }
        self.file.sync_data()
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.held().image.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let held = self.held();
        let from = offset as usize;
        let bytes = held.image.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        if std::fs::read_to_string(&self.control).is_ok_and(|s| s.trim() == "full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.held().image.resize(len as usize, 0);
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        let said = std::fs::read_to_string(&self.control).unwrap_or_default();
        let mut words = said.split_whitespace();
        match words.next() {
            Some("slow") => {
                let ms = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
                std::thread::sleep(std::time::Duration::from_millis(ms));
            }
            Some("fail") => return Err(io::Error::other("the disk failed (rehearsed)")),
            Some("full") => return Err(io::ErrorKind::StorageFull.into()),
            Some("torn") => {
                // Half of what was to be synced is there, the last part of it by half, and the power is gone.
                let held = self.held();
                let mut half = held.dirty[..held.dirty.len().div_ceil(2)].to_vec();
                if let Some(last) = half.last_mut() {
                    last.1 = last.0 + (last.1 - last.0) / 2;
                }
                let _ = self.bring(&held, &half);
                std::process::abort();
            }
            _ => {}
        }
        let mut held = self.held();
        let parts = std::mem::take(&mut held.dirty);
        let done = self.bring(&held, &parts);
        if done.is_err() {
            held.dirty = parts;
        }
        done
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut held = self.held();
        let (from, to) = (offset as usize, offset as usize + data.len());
        held.image.get_mut(from..to).ok_or(io::ErrorKind::UnexpectedEof)?.copy_from_slice(data);
        held.dirty.push((from, to));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_not_synced_is_lost_and_a_failed_sync_says_so() {
        let dir = tempfile::tempdir().expect("made");
        let path = dir.path().join("records.redb");
        {
            let disk = open(&path).expect("opened");
            disk.set_len(8).expect("sized");
            disk.write(0, b"abcd").expect("written");
            disk.sync_data().expect("synced");
            disk.write(4, b"efgh").expect("written");
        }
        assert_eq!(std::fs::read(&path).expect("read"), b"abcd\0\0\0\0");
        let disk = open(&path).expect("opened");
        std::fs::write(control(&path), "fail").expect("said");
        assert!(disk.sync_data().is_err());
        std::fs::write(control(&path), "full").expect("said");
        assert!(disk.set_len(99).is_err() && disk.sync_data().is_err());
    }
}
