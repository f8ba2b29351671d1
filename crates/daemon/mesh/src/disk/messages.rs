//! Messages to and from the writer thread, and the stored form of departures.
use super::error::DiskError;
use crate::control_value::ControlValue;
use bitcode::{Decode, Encode};
use silvercross_control_store::{Metadata, StoredKey};
use std::sync::mpsc;

/// Records that the control store needs written in one transaction.
pub(crate) struct DiskWrite {
    /// Its number, reported by [`DiskEvent::Synced`]. Numbers increase.
    pub(crate) number: u64,
    /// The metadata record, if it is to be written.
    pub(crate) metadata: Option<Metadata>,
    /// The keys' new content.
    pub(crate) keys: Vec<StoredKey<ControlValue>>,
}

/// The departure of an upstream as it is stored, by its id. Stored data: order and types of the fields are the format.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct StoredDeparture {
    /// The id of the upstream.
    pub(crate) id: String,
    /// The sidecar on its machine, by its IPv4 address as a number.
    pub(crate) sidecar: u32,
    /// The incarnation in the version of that sidecar's record.
    pub(crate) incarnation: u64,
    /// The sequence in that version.
    pub(crate) sequence: u64,
    /// Whether the upstream has ended; otherwise it drains.
    pub(crate) has_ended: bool,
}

/// Changes of the stored departures, written in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct DepartureWrite {
    /// Its number, reported by [`DiskEvent::DeparturesSynced`]. Numbers increase.
    pub(crate) number: u64,
    /// Departures to store, each in place of an earlier one of the same upstream.
    pub(crate) stored: Vec<StoredDeparture>,
    /// The ids of departures to delete.
    pub(crate) deleted: Vec<String>,
}

/// What the thread is asked to write.
pub(crate) enum DiskRequest {
    /// Records of the control store.
    ControlState(DiskWrite),
    /// Departures of upstreams.
    Departures(DepartureWrite),
}

impl DiskRequest {
    /// What is reported once it is synced.
    pub(crate) fn synced_event(&self) -> DiskEvent {
        match self {
            DiskRequest::ControlState(write) => DiskEvent::Synced(write.number),
            DiskRequest::Departures(write) => DiskEvent::DeparturesSynced(write.number),
        }
    }
}

impl From<DiskWrite> for DiskRequest {
    fn from(write: DiskWrite) -> Self {
        DiskRequest::ControlState(write)
    }
}

/// Sends requests to the thread. Unbounded, since the store limits the number of writes in flight itself, and one write of
/// departures is in flight at a time.
pub(crate) type DiskWriteSender = mpsc::Sender<DiskRequest>;

/// What the writer thread reports.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum DiskEvent {
    /// This write and all before it are synced.
    Synced(u64),
    /// The write of departures with this number is synced.
    DeparturesSynced(u64),
    /// The disk is out of space. Pending writes are retried.
    OutOfSpace(DiskError),
    /// Writes succeed again.
    SpaceAvailable,
    /// The content on disk is unknown, so the process has to end. This is the last event.
    Failed(DiskError),
}
