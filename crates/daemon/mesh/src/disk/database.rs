//! The redb file: opening or creating it, reading it, and writing one transaction.
//!
//! Names of tables, keys and files are stored data and must not change, even where the code uses other terms.
use super::error::DiskError;
use super::folder::Folder;
use super::io_faults::{FaultRecordingBackend, IoFaultLog};
use super::messages::{DepartureWrite, DiskRequest, DiskWrite, StoredDeparture};
use crate::control_value::ControlValue;
use redb::backends::InMemoryBackend;
use redb::{
    Database, Error, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition, TableError,
    WriteTransaction,
};
use silvercross_control_store::StoredState;

/// Table of keys: maps a key's name to its [`silvercross_control_store::StoredKey`], encoded with bitcode.
pub(super) const KEYS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("keys");
/// Table of the records that exist once per database.
pub(super) const MARKER_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("marker");
/// Table of departures: maps an upstream's id to its [`StoredDeparture`], encoded with bitcode. Older builds ignore it.
const DEPARTURES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("departures");
/// Key, in the marker table, of the metadata record: replica set and votes, encoded with bitcode.
const METADATA_KEY: &str = "roster";
/// Key, in the marker table, of a record that is written to check that there is space again. Never read.
const SPACE_PROBE_KEY: &str = "room";
/// Size of that record in bytes: enough that the writes after it don't run out of space at once.
const SPACE_PROBE_BYTES: usize = 16 * 1024;
/// File name of the database.
pub(super) const DATABASE_FILE: &str = "ledger.redb";
/// File name of a database under creation; it is renamed to [`DATABASE_FILE`] once complete and synced.
const INCOMPLETE_FILE: &str = "ledger.new";
/// Size of redb's page cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;
/// Files up to this size, in bytes, are read through a copy in memory if the disk is out of space.
const MAX_COPIED_BYTES: u64 = 64 << 20;
/// Chunk size of that copy, in bytes.
const COPY_CHUNK_BYTES: usize = 64 * 1024;

/// What the database holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct DiskContent {
    /// The control store's records.
    pub(super) control_state: StoredState<ControlValue>,
    /// The departures of upstreams.
    pub(super) departures: Vec<StoredDeparture>,
}

/// An open database and the I/O faults recorded on its file.
pub(super) struct OpenDatabase {
    pub(super) database: Database,
    pub(super) faults: IoFaultLog,
    pub(super) path: String,
}

impl OpenDatabase {
    fn over(path: String, content: impl StorageBackend) -> Result<OpenDatabase, DiskError> {
        let faults = IoFaultLog::default();
        let backend = FaultRecordingBackend { content, faults: faults.clone() };
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        match builder.create_with_backend(backend) {
            Ok(database) => Ok(OpenDatabase { database, faults, path }),
            Err(e) => Err(DiskError::from_redb(&path, e, &faults)),
        }
    }

    /// Opens the file, or creates it if it is missing and `create` is set. Its content and its name are durable when this
    /// returns.
    ///
    /// # Errors
    /// [`DiskError::FileMissing`] if it is missing and `create` is not set; otherwise the error of the file or of redb.
    pub(super) fn open<F: Folder>(folder: &F, create: bool) -> Result<OpenDatabase, DiskError> {
        let path = database_path(folder);
        let from_io = |error: std::io::Error| DiskError::from_io(&path, &error);
        let open = match folder.open(DATABASE_FILE).map_err(from_io)? {
            Some(content) => {
                sync_content(&path, &content)?;
                OpenDatabase::over(path.clone(), content)?
            }
            None if !create => return Err(DiskError::FileMissing { path }),
            None => {
                let content = folder.create(INCOMPLETE_FILE).map_err(from_io)?;
                let open = OpenDatabase::over(path.clone(), content)?;
                folder.rename(INCOMPLETE_FILE, DATABASE_FILE).map_err(from_io)?;
                open
            }
        };
        // Also for an existing file: an earlier process may have renamed it and ended before the sync.
        folder.sync().map_err(|error| DiskError::from_sync(&path, &error))?;
        Ok(open)
    }

    /// Reads the whole content of the database.
    ///
    /// # Errors
    /// [`DiskError::Damaged`] if a record can't be decoded, or if there is metadata but no table of keys.
    pub(super) fn read_all(&self) -> Result<DiskContent, DiskError> {
        Ok(DiskContent { control_state: self.read_control_state()?, departures: self.read_departures()? })
    }

    fn read_departures(&self) -> Result<Vec<StoredDeparture>, DiskError> {
        let from_redb = |error: Error| DiskError::from_redb(&self.path, error, &self.faults);
        let transaction = self.database.begin_read().map_err(|e| from_redb(e.into()))?;
        let table = match transaction.open_table(DEPARTURES_TABLE) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            Err(e) => return Err(from_redb(e.into())),
        };
        let mut departures = Vec::new();
        for entry in table.iter().map_err(|e| from_redb(e.into()))? {
            let (_, bytes) = entry.map_err(|e| from_redb(e.into()))?;
            departures.push(bitcode::decode(bytes.value()).map_err(|error| DiskError::Damaged {
                path: self.path.clone(),
                cause: format!("a departure: {error}"),
            })?);
        }
        Ok(departures)
    }

    fn read_control_state(&self) -> Result<StoredState<ControlValue>, DiskError> {
        let from_redb = |error: Error| DiskError::from_redb(&self.path, error, &self.faults);
        let damaged = |cause: String| DiskError::Damaged { path: self.path.clone(), cause };
        let undecodable = |error: bitcode::Error| damaged(format!("a record: {error}"));
        let mut disk = StoredState { metadata: None, keys: Vec::new() };
        let transaction = self.database.begin_read().map_err(|e| from_redb(e.into()))?;
        match transaction.open_table(MARKER_TABLE) {
            Ok(table) => {
                if let Some(bytes) = table.get(METADATA_KEY).map_err(|e| from_redb(e.into()))? {
                    disk.metadata = Some(bitcode::decode(bytes.value()).map_err(undecodable)?);
                }
            }
            Err(TableError::TableDoesNotExist(_)) => return Ok(disk),
            Err(e) => return Err(from_redb(e.into())),
        }
        let keys = match transaction.open_table(KEYS_TABLE) {
            Ok(keys) => keys,
            Err(TableError::TableDoesNotExist(_)) if disk.metadata.is_none() => return Ok(disk),
            Err(TableError::TableDoesNotExist(_)) => return Err(damaged("metadata and no keys".to_string())),
            Err(e) => return Err(from_redb(e.into())),
        };
        for entry in keys.iter().map_err(|e| from_redb(e.into()))? {
            let (_, bytes) = entry.map_err(|e| from_redb(e.into()))?;
            disk.keys.push(bitcode::decode(bytes.value()).map_err(undecodable)?);
        }
        Ok(disk)
    }

    /// Writes all of these in one transaction, which is synced on return. `probe_space` also writes the probe record, to
    /// make sure that there is space for further writes.
    pub(super) fn write(&self, requests: &[DiskRequest], probe_space: bool) -> Result<(), Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut markers = transaction.open_table(MARKER_TABLE)?;
            let mut keys = transaction.open_table(KEYS_TABLE)?;
            if probe_space {
                markers.insert(SPACE_PROBE_KEY, [0; SPACE_PROBE_BYTES].as_slice())?;
            }
            for request in requests {
                match request {
                    DiskRequest::ControlState(write) => write_control_state(write, &mut markers, &mut keys)?,
                    DiskRequest::Departures(write) => write_departures(write, &transaction)?,
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

fn write_control_state(
    write: &DiskWrite,
    markers: &mut Table<&str, &[u8]>,
    keys: &mut Table<&str, &[u8]>,
) -> Result<(), Error> {
    if let Some(metadata) = &write.metadata {
        markers.insert(METADATA_KEY, bitcode::encode(metadata).as_slice())?;
    }
    for stored in &write.keys {
        keys.insert(stored.key.as_str(), bitcode::encode(stored).as_slice())?;
    }
    Ok(())
}

fn write_departures(write: &DepartureWrite, transaction: &WriteTransaction) -> Result<(), Error> {
    let mut departures = transaction.open_table(DEPARTURES_TABLE)?;
    for id in &write.deleted {
        departures.remove(id.as_str())?;
    }
    for stored in &write.stored {
        departures.insert(stored.id.as_str(), bitcode::encode(stored).as_slice())?;
    }
    Ok(())
}

fn database_path(folder: &impl Folder) -> String {
    format!("{}/{DATABASE_FILE}", folder.path())
}

/// Syncs writes that an earlier process may have left unsynced, before any of the content is used.
fn sync_content(path: &str, content: &impl StorageBackend) -> Result<(), DiskError> {
    if content.len().map_err(|error| DiskError::from_io(path, &error))? == 0 {
        return Err(DiskError::Damaged { path: path.to_string(), cause: "the file is empty".to_string() });
    }
    content.sync_data().map_err(|error| DiskError::from_sync(path, &error))
}

/// Reads the file through a copy in memory: redb writes when it opens a file, which fails on a full disk.
pub(super) fn read_through_copy<F: Folder>(folder: &F) -> Result<DiskContent, DiskError> {
    let path = database_path(folder);
    let from_io = |error: std::io::Error| DiskError::from_io(&path, &error);
    let Some(content) = folder.open(DATABASE_FILE).map_err(from_io)? else {
        return Ok(DiskContent::default());
    };
    sync_content(&path, &content)?;
    folder.sync().map_err(|error| DiskError::from_sync(&path, &error))?;
    let size_bytes = content.len().map_err(from_io)?;
    if size_bytes > MAX_COPIED_BYTES {
        return Err(DiskError::TooLargeToCopy { path, size_bytes });
    }
    let copy = InMemoryBackend::new();
    copy.set_len(size_bytes).map_err(from_io)?;
    for offset in (0..size_bytes).step_by(COPY_CHUNK_BYTES) {
        let mut chunk = vec![0; COPY_CHUNK_BYTES.min((size_bytes - offset) as usize)];
        content.read(offset, &mut chunk).and_then(|()| copy.write(offset, &chunk)).map_err(from_io)?;
    }
    OpenDatabase::over(path.clone(), copy)?.read_all()
}
