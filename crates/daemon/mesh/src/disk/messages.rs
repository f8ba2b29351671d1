//! What goes to the writer thread and what comes back from it.
use super::error::DiskError;
use crate::control_value::ControlValue;
use silvercross_control_store::{Metadata, StoredKey};
use std::sync::mpsc;

/// What the control store wants durable as one transaction.
pub(crate) struct DiskWrite {
    /// Its number, given back by [`DiskEvent::Synced`]. Numbers rise.
    pub(crate) number: u64,
    /// The metadata record, if it is to be written.
    pub(crate) metadata: Option<Metadata>,
    /// The keys' new content.
    pub(crate) keys: Vec<StoredKey<ControlValue>>,
}

/// Where writes go in. Without bound: the store itself has few writes under way at a time.
pub(crate) type DiskWriteSender = mpsc::Sender<DiskWrite>;

/// What the writer thread reports.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum DiskEvent {
    /// This write and all before it are synced.
    Synced(u64),
    /// The disk takes no writes, and why. Pending ones are retried.
    OutOfSpace(DiskError),
    /// The disk takes writes again.
    SpaceAvailable,
    /// What the disk holds is unknown from here on: the process has to end. Nothing is reported after this.
    Failed(DiskError),
}
