//! Who writes: puts all that is pending into one transaction and says what is synced.
use super::database::OpenDatabase;
use super::error::DiskError;
use super::folder::Folder;
use super::io_faults::IoFault;
use super::messages::{DiskEvent, DiskWrite};

/// The database and what is to be written to it.
pub(super) struct Writer<F: Folder> {
    pub(super) folder: F,
    /// `None` while it can't be opened.
    pub(super) database: Option<OpenDatabase>,
    /// The file has been there: if it is gone its content is lost, and a new one would not have it.
    pub(super) file_created: bool,
    /// Not synced yet, in order. As many as the store has under way.
    pub(super) pending: Vec<DiskWrite>,
    /// Why it takes no writes.
    pub(super) out_of_space: Option<DiskError>,
}

impl<F: Folder> Writer<F> {
    /// Tries to write all that is pending; without space before, also whether there is some now.
    pub(super) fn attempt(&mut self) -> Vec<DiskEvent> {
        match self.write_pending() {
            Ok(()) => {
                let space_available = self.out_of_space.take().map(|_| DiskEvent::SpaceAvailable);
                let synced = self.pending.drain(..).map(|write| DiskEvent::Synced(write.number));
                space_available.into_iter().chain(synced).collect()
            }
            Err(error @ DiskError::OutOfSpace { .. }) => {
                // After an error redb takes nothing more; the file is opened again with the next try, and what of the failed
                // transaction came onto the disk is undone or overwritten by then.
                self.database = None;
                let is_first = self.out_of_space.replace(error.clone()).is_none();
                is_first.then_some(DiskEvent::OutOfSpace(error)).into_iter().collect()
            }
            Err(error) => vec![DiskEvent::Failed(error)],
        }
    }

    fn write_pending(&mut self) -> Result<(), DiskError> {
        if self.database.is_none() {
            self.database = Some(OpenDatabase::open(&self.folder, !self.file_created)?);
            self.file_created = true;
        }
        let Some(open) = &self.database else { return Ok(()) };
        let probe_space = self.out_of_space.is_some();
        open.write(&self.pending, probe_space)
            .map_err(|error| DiskError::from_redb(&open.path, error, &open.faults))?;
        // A failed write to the file may be made up for by a later one; after a failed sync nobody knows what the disk holds.
        match open.faults.take() {
            Some(IoFault::Sync) => {
                Err(DiskError::SyncFailed { path: open.path.clone(), cause: "a sync failed".to_string() })
            }
            _ => Ok(()),
        }
    }
}
