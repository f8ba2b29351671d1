//! The writer thread: batches writes and reports their outcome; and opening the folder at startup.
use super::error::DiskError;
use super::folder::{DataFolder, Folder};
use super::messages::{DiskEvent, DiskRequest, DiskWriteSender, StoredDeparture};
use super::recovery::recover;
use super::writer::Writer;
use crate::control_value::ControlValue;
use silvercross_control_store::StoredState;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Name of the thread in the operating system.
const THREAD_NAME: &str = "control-disk";
/// Stack size of the thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 * 1024;
/// Most writes taken from the channel before each transaction.
const MAX_BATCHED_WRITES: usize = 64;
/// Interval between attempts while the disk is out of space.
const OUT_OF_SPACE_RETRY: Duration = Duration::from_secs(1);

/// The content read at startup and the channels of the writer thread.
pub(crate) struct OpenedDisk {
    /// The content as it was read.
    pub(crate) disk: StoredState<ControlValue>,
    /// The stored departures of upstreams.
    pub(crate) departures: Vec<StoredDeparture>,
    /// A file was quarantined, at this start or an earlier one: an empty store has lost its content and is not a new one,
    /// whatever the settings say.
    pub(crate) content_lost: bool,
    /// Why a file was quarantined at this start.
    pub(crate) quarantined: Option<DiskError>,
    /// Sends writes to the thread.
    pub(crate) writes: DiskWriteSender,
    /// Outcomes of writes and changes in the state of the disk.
    pub(crate) events: UnboundedReceiver<DiskEvent>,
}

/// Opens or creates the database and starts the writer thread. The thread ends when the last sender of writes is dropped
/// or the disk fails.
///
/// # Errors
/// Any error that makes the folder unusable. Unless the database is damaged, its file is neither renamed nor replaced
/// then.
pub(crate) fn open(dir: &Path) -> Result<OpenedDisk, DiskError> {
    let recovered = recover(DataFolder::lock(dir)?)?;
    let (writes, received) = mpsc::channel::<DiskRequest>();
    let (report, events) = unbounded_channel();
    let writer = recovered.writer;
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_string()).stack_size(THREAD_STACK_BYTES);
    thread
        .spawn(move || run(writer, &received, &report))
        .map_err(|error| DiskError::NoThread { cause: error.to_string() })?;
    let (content_lost, quarantined) = (recovered.content_lost, recovered.quarantined);
    let (disk, departures) = (recovered.disk, recovered.departures);
    Ok(OpenedDisk { disk, departures, content_lost, quarantined, writes, events })
}

/// Body of the thread: runs until all senders are dropped or the disk fails.
fn run<F: Folder>(
    mut writer: Writer<F>,
    received: &mpsc::Receiver<DiskRequest>,
    report: &UnboundedSender<DiskEvent>,
) {
    if let Some(error) = &writer.out_of_space {
        let _ = report.send(DiskEvent::OutOfSpace(error.clone()));
    }
    loop {
        if writer.out_of_space.is_some() {
            std::thread::sleep(OUT_OF_SPACE_RETRY);
        } else {
            let Ok(first) = received.recv() else { return };
            writer.pending.push(first);
        }
        // Writes that arrived in the meantime share one sync. The store has few writes in flight at a time.
        writer.pending.extend(received.try_iter().take(MAX_BATCHED_WRITES));
        for event in writer.attempt() {
            let failed = matches!(event, DiskEvent::Failed(_));
            if report.send(event).is_err() || failed {
                return;
            }
        }
    }
}
