//! Writes all pending writes in one transaction and reports which are synced.
use super::database::OpenDatabase;
use super::error::DiskError;
use super::folder::Folder;
use super::io_faults::IoFault;
use super::messages::{DiskEvent, DiskRequest};

/// The database and the writes pending for it.
pub(super) struct Writer<F: Folder> {
    pub(super) folder: F,
    /// `None` while it can't be opened.
    pub(super) database: Option<OpenDatabase>,
    /// The file has existed. If it is missing now its content is lost, so it must not be created again.
    pub(super) file_created: bool,
    /// Writes not synced yet, in order. Bounded by the number that the store has in flight.
    pub(super) pending: Vec<DiskRequest>,
    /// The error while the disk is out of space.
    pub(super) out_of_space: Option<DiskError>,
}

impl<F: Folder> Writer<F> {
    /// Tries to write all pending writes. After running out of space, also checks that there is space again.
    pub(super) fn attempt(&mut self) -> Vec<DiskEvent> {
        match self.write_pending() {
            Ok(()) => {
                let space_available = self.out_of_space.take().map(|_| DiskEvent::SpaceAvailable);
                let synced = self.pending.drain(..).map(|request| request.synced_event());
                space_available.into_iter().chain(synced).collect()
            }
            Err(error @ DiskError::OutOfSpace { .. }) => {
                // redb accepts no writes after an error. The next attempt opens the file again, and what the failed
                // transaction left on disk is rolled back or overwritten.
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
        // A failed write may be repaired by a later one; after a failed sync the content on disk is unknown.
        match open.faults.take() {
            Some(IoFault::Sync) => {
                Err(DiskError::SyncFailed { path: open.path.clone(), cause: "a sync failed".to_string() })
            }
            _ => Ok(()),
        }
    }
}
