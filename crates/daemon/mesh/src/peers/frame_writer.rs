//! Frames written to a link, from two queues: urgent ones go before ordinary ones and between the chunks of a large one.
use super::frame::{CHUNK_BYTES, CHUNK_FLAG, LAST_CHUNK_FLAG, LENGTH_BYTES};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Frames that may wait in each queue; beyond it the link ends, and what the other node lacked comes by snapshot.
pub(super) const MAX_QUEUED_FRAMES: usize = 1024;
/// A link that takes nothing of what is sent for so long ends. A thin link takes longer for a large frame, but some of it all
/// the time.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The bytes of a frame, shared with whoever else gets it.
pub(super) type FrameBytes = Rc<Vec<u8>>;

/// How much waits to be written on a link.
#[derive(Default)]
pub(super) struct LinkBacklog {
    waiting_bytes: Cell<usize>,
}

impl LinkBacklog {
    /// Bytes of frames that the writer has not taken yet.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes.get()
    }

    fn add(&self, bytes: usize) {
        self.waiting_bytes.set(self.waiting_bytes.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.waiting_bytes.set(self.waiting_bytes.get().saturating_sub(bytes));
    }
}

/// The queue of a link that a frame is put in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FramePriority {
    /// It keeps its order.
    Ordinary,
    /// It goes before ordinary ones.
    Urgent,
}

/// The link's queue takes nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkStuck;

/// A link that is up, as it is written to.
pub(super) struct Link {
    /// Tells it from other links to the same node.
    pub(super) number: u64,
    ordinary: mpsc::Sender<FrameBytes>,
    urgent: mpsc::Sender<FrameBytes>,
    backlog: Rc<LinkBacklog>,
}

/// The other end of a link's queues.
pub(super) struct FrameQueues {
    /// Frames that keep their order.
    pub(super) ordinary: mpsc::Receiver<FrameBytes>,
    /// Frames that go before those.
    pub(super) urgent: mpsc::Receiver<FrameBytes>,
    backlog: Rc<LinkBacklog>,
}

impl Link {
    /// A link and the queues that its writer empties.
    pub(super) fn new(number: u64) -> (Link, FrameQueues) {
        let (ordinary, waiting_ordinary) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (urgent, waiting_urgent) = mpsc::channel(MAX_QUEUED_FRAMES);
        let backlog: Rc<LinkBacklog> = Rc::default();
        let queues =
            FrameQueues { ordinary: waiting_ordinary, urgent: waiting_urgent, backlog: backlog.clone() };
        (Link { number, ordinary, urgent, backlog }, queues)
    }

    /// Puts a frame in its queue.
    pub(super) fn enqueue(&self, bytes: FrameBytes, priority: FramePriority) -> Result<(), LinkStuck> {
        let queue = match priority {
            FramePriority::Ordinary => &self.ordinary,
            FramePriority::Urgent => &self.urgent,
        };
        let length = bytes.len();
        queue.try_send(bytes).map_err(|_| LinkStuck)?;
        self.backlog.add(length);
        Ok(())
    }

    /// Bytes that wait to be written.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.backlog.waiting_bytes()
    }
}

/// A large frame that is on its way in chunks.
struct LargeFrame {
    bytes: FrameBytes,
    /// How far it was written.
    written: usize,
}

impl LargeFrame {
    /// Adds the next chunk to what is written; whether the frame is complete with it.
    fn next_chunk(&mut self, output: &mut Vec<u8>) -> bool {
        let end = (self.written + CHUNK_BYTES).min(self.bytes.len());
        let is_last = end == self.bytes.len();
        let flags = if is_last { CHUNK_FLAG | LAST_CHUNK_FLAG } else { CHUNK_FLAG };
        output.extend_from_slice(&((end - self.written) as u32 | flags).to_le_bytes());
        output.extend_from_slice(&self.bytes[self.written..end]);
        self.written = end;
        is_last
    }
}

/// Adds a frame to what is written; a large one is handed back instead: its chunks go without its length.
fn append(output: &mut Vec<u8>, bytes: FrameBytes) -> Option<LargeFrame> {
    if bytes.len() > CHUNK_BYTES {
        return Some(LargeFrame { bytes, written: LENGTH_BYTES });
    }
    output.extend_from_slice(&bytes);
    None
}

/// Writes what the queues bring, until the link ends: frames of both whole, but large ordinary ones in chunks.
pub(super) async fn write_frames(stream: &mut (impl AsyncWriteExt + Unpin), mut queues: FrameQueues) {
    let mut large: Option<LargeFrame> = None;
    loop {
        // What has gathered goes in one write.
        let mut output = Vec::new();
        while let Ok(bytes) = queues.urgent.try_recv() {
            queues.backlog.remove(bytes.len());
            output.extend_from_slice(&bytes);
        }
        while large.is_none() && output.len() < CHUNK_BYTES {
            let Ok(bytes) = queues.ordinary.try_recv() else { break };
            queues.backlog.remove(bytes.len());
            large = append(&mut output, bytes);
        }
        if large.as_mut().is_some_and(|large| large.next_chunk(&mut output)) {
            large = None;
        }
        if output.is_empty() {
            tokio::select! {
                Some(bytes) = queues.urgent.recv() => {
                    queues.backlog.remove(bytes.len());
                    output.extend_from_slice(&bytes);
                }
                Some(bytes) = queues.ordinary.recv() => {
                    queues.backlog.remove(bytes.len());
                    large = append(&mut output, bytes);
                }
                else => return,
            }
        }
        if !write_all(stream, &output).await {
            return;
        }
    }
}

/// Whether the other end took it all, with no pause as long as [`WRITE_STALL_TIMEOUT`].
pub(super) async fn write_all(stream: &mut (impl AsyncWriteExt + Unpin), mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match timeout(WRITE_STALL_TIMEOUT, stream.write(bytes)).await {
            Ok(Ok(written)) if written > 0 => bytes = &bytes[written..],
            _ => return false,
        }
    }
    true
}
