//! Startup: reads the content of the folder. A damaged file is quarantined and a new one created; any other error leaves
//! the files as they are.
use super::database::{read_through_copy, DiskContent, OpenDatabase, DATABASE_FILE};
use super::error::DiskError;
use super::folder::Folder;
use super::messages::StoredDeparture;
use super::writer::Writer;
use crate::control_value::ControlValue;
use silvercross_control_store::StoredState;

/// File names of quarantined databases. They are kept for diagnosis; with both taken the operator has to step in.
pub(super) const QUARANTINE_FILES: [&str; 2] = ["ledger.unreadable", "ledger.unreadable.2"];

/// The state of the folder at startup.
pub(super) struct Recovered<F: Folder> {
    /// The content; empty if there was no file or it was damaged.
    pub(super) disk: StoredState<ControlValue>,
    /// The stored departures of upstreams.
    pub(super) departures: Vec<StoredDeparture>,
    /// A file was quarantined, at this start or an earlier one: an empty store has lost its content and is not a new one.
    pub(super) content_lost: bool,
    /// Why a file was quarantined at this start.
    pub(super) quarantined: Option<DiskError>,
    /// Writes to the database from now on.
    pub(super) writer: Writer<F>,
}

/// Reads the content of the folder and prepares it for writes. A full disk is no error: the content is read, and the
/// writer is marked as out of space.
///
/// # Errors
/// Any other error that makes the folder unusable. Unless the database is damaged, its file is neither renamed nor
/// replaced then.
pub(super) fn recover<F: Folder>(folder: F) -> Result<Recovered<F>, DiskError> {
    let path = folder.path();
    let mut quarantined = None;
    let mut content = DiskContent::default();
    let mut opened = match OpenDatabase::open(&folder, true) {
        Ok(database) => database.read_all().map(|read| {
            content = read;
            database
        }),
        // A full disk prevents opening, but the content can still be read.
        Err(out_of_space @ DiskError::OutOfSpace { .. }) => read_through_copy(&folder).and_then(|read| {
            content = read;
            Err(out_of_space)
        }),
        Err(e) => Err(e),
    };
    if let Err(damaged @ DiskError::Damaged { .. }) = &opened {
        quarantined = Some(damaged.clone());
        quarantine(&folder)?;
        content = DiskContent::default();
        opened = OpenDatabase::open(&folder, true);
    }
    let (database, out_of_space) = match opened {
        Ok(database) => (Some(database), None),
        Err(error @ DiskError::OutOfSpace { .. }) => (None, Some(error)),
        Err(error) => return Err(error),
    };
    let exists = |name: &str| match folder.open(name) {
        Ok(file) => Ok(file.is_some()),
        Err(error) => Err(DiskError::from_io(&path, &error)),
    };
    let mut content_lost = false;
    for name in QUARANTINE_FILES {
        content_lost |= exists(name)?;
    }
    let file_created = database.is_some() || exists(DATABASE_FILE)?;
    let writer = Writer { folder, database, file_created, pending: Vec::new(), out_of_space };
    let DiskContent { control_state: disk, departures } = content;
    Ok(Recovered { disk, departures, content_lost, quarantined, writer })
}

/// Renames the database to a free quarantine name and syncs the folder.
fn quarantine<F: Folder>(folder: &F) -> Result<(), DiskError> {
    let path = folder.path();
    for name in QUARANTINE_FILES {
        if folder.open(name).map_err(|error| DiskError::from_io(&path, &error))?.is_none() {
            folder.rename(DATABASE_FILE, name).map_err(|error| DiskError::from_io(&path, &error))?;
            return folder.sync().map_err(|error| DiskError::from_sync(&path, &error));
        }
    }
    Err(DiskError::QuarantineFull { path, file: DATABASE_FILE, taken: QUARANTINE_FILES.join(" and ") })
}
