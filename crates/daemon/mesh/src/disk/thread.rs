//! The writer thread: opens the folder at the start, gathers writes and reports what became of them.
use super::error::DiskError;
use super::folder::{DataFolder, Folder};
use super::messages::{DiskEvent, DiskWrite, DiskWriteSender};
use super::recovery::recover;
use super::writer::Writer;
use crate::control_value::ControlValue;
use silvercross_control_store::StoredState;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Name of the thread, as the system lists it.
const THREAD_NAME: &str = "control-disk";
/// Stack of the thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 * 1024;
/// Writes that share a transaction, at most.
const MAX_BATCHED_WRITES: usize = 64;
/// A disk without space is tried again after this.
const OUT_OF_SPACE_RETRY: Duration = Duration::from_secs(1);

/// What the disk holds, and how it is written from here on.
pub(crate) struct OpenedDisk {
    /// The content as it was read.
    pub(crate) disk: StoredState<ControlValue>,
    /// A file was quarantined, now or at an earlier start: an empty disk is one that lost its content and no new one,
    /// whatever the settings say.
    pub(crate) content_lost: bool,
    /// Why a file was quarantined now.
    pub(crate) quarantined: Option<DiskError>,
    /// Where writes go in.
    pub(crate) writes: DiskWriteSender,
    /// What becomes of them.
    pub(crate) events: UnboundedReceiver<DiskEvent>,
}

/// Opens what is there, or begins anew, and starts the thread. It ends when the last sender of writes is dropped, or when the
/// disk has failed.
///
/// # Errors
/// Whatever keeps the folder from being used; nothing is changed then.
pub(crate) fn open(dir: &Path) -> Result<OpenedDisk, DiskError> {
    let recovered = recover(DataFolder::lock(dir)?)?;
    let (writes, received) = mpsc::channel::<DiskWrite>();
    let (report, events) = unbounded_channel();
    let writer = recovered.writer;
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_string()).stack_size(THREAD_STACK_BYTES);
    thread
        .spawn(move || run(writer, &received, &report))
        .map_err(|error| DiskError::NoThread { cause: error.to_string() })?;
    let (content_lost, quarantined) = (recovered.content_lost, recovered.quarantined);
    Ok(OpenedDisk { disk: recovered.disk, content_lost, quarantined, writes, events })
}

/// The thread, until nobody writes any more or the disk has failed.
fn run<F: Folder>(
    mut writer: Writer<F>,
    received: &mpsc::Receiver<DiskWrite>,
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
        // What has gathered meanwhile shares a sync. The store has few writes under way at a time.
        writer.pending.extend(received.try_iter().take(MAX_BATCHED_WRITES));
        for event in writer.attempt() {
            let failed = matches!(event, DiskEvent::Failed(_));
            if report.send(event).is_err() || failed {
                return;
            }
        }
    }
}
