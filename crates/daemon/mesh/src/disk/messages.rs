//! Messages to and from the writer thread.
use super::error::DiskError;
use crate::control_value::ControlValue;
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

/// Sends writes to the thread. Unbounded, since the store limits the number of writes in flight itself.
pub(crate) type DiskWriteSender = mpsc::Sender<DiskWrite>;

/// What the writer thread reports.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum DiskEvent {
    /// This write and all before it are synced.
    Synced(u64),
    /// The disk is out of space. Pending writes are retried.
    OutOfSpace(DiskError),
    /// Writes succeed again.
    SpaceAvailable,
    /// The content on disk is unknown, so the process has to end. This is the last event.
    Failed(DiskError),
}
