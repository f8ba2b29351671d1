//! What the start makes of the folder: the content is read; a damaged file is quarantined and a new one begun; any other error
//! leaves everything as it is.
use super::database::{read_through_copy, OpenDatabase, DATABASE_FILE};
use super::error::DiskError;
use super::folder::Folder;
use super::writer::Writer;
use crate::control_value::ControlValue;
use silvercross_control_store::StoredState;

/// File names of damaged databases. Each is kept, for it is the evidence; with both taken the operator is asked.
pub(super) const QUARANTINE_FILES: [&str; 2] = ["ledger.unreadable", "ledger.unreadable.2"];

/// What was found at the start.
pub(super) struct Recovered<F: Folder> {
    /// The content; empty if there was none or it was damaged.
    pub(super) disk: StoredState<ControlValue>,
    /// A file was quarantined, now or at an earlier start: an empty disk is one that lost its content, not a new one.
    pub(super) content_lost: bool,
    /// Why a file was quarantined now.
    pub(super) quarantined: Option<DiskError>,
    /// Who writes from here on.
    pub(super) writer: Writer<F>,
}

/// Reads what the folder holds and gets it ready for writes. A disk without space is no error: what it holds is read, and the
/// writer says that it takes no writes.
///
/// # Errors
/// Whatever else keeps the folder from being used; nothing is changed then.
pub(super) fn recover<F: Folder>(folder: F) -> Result<Recovered<F>, DiskError> {
    let path = folder.path();
    let mut quarantined = None;
    let mut disk = StoredState::default();
    let mut opened = match OpenDatabase::open(&folder, true) {
        Ok(database) => database.read_all().map(|content| {
            disk = content;
            database
        }),
        // Without space to open it, what is there can still be read.
        Err(out_of_space @ DiskError::OutOfSpace { .. }) => read_through_copy(&folder).and_then(|content| {
            disk = content;
            Err(out_of_space)
        }),
        Err(e) => Err(e),
    };
    if let Err(damaged @ DiskError::Damaged { .. }) = &opened {
        quarantined = Some(damaged.clone());
        quarantine(&folder)?;
        disk = StoredState::default();
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
    Ok(Recovered { disk, content_lost, quarantined, writer })
}

/// Gives the database a quarantine name and makes that durable.
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
