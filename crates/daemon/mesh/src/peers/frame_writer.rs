//! Frames written to a link, from two queues: urgent ones go before ordinary ones and between the chunks of a large one. Of frames
//! with control entries it is reported when the network has taken them: the decider holds the next ones back until then.
use super::frame::{CHUNK_BYTES, CHUNK_FLAG, LAST_CHUNK_FLAG, LENGTH_BYTES, MAX_FRAME_BYTES};
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

/// Bytes that may wait in the queues of a link, beside the frame that is put in; beyond it the link ends as well.
const MAX_QUEUED_BYTES: usize = MAX_FRAME_BYTES;

/// What a frame is, to the queues of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameClass {
    /// It keeps its order.
    Ordinary,
    /// The same, and it is reported when the network has taken it.
    Entries,
    /// It goes before those.
    Urgent,
}

/// A frame in a queue.
struct QueuedFrame {
    bytes: FrameBytes,
    class: FrameClass,
}

/// What waits on a link.
#[derive(Default)]
struct LinkBacklog {
    /// Bytes of frames that the writer has not taken.
    waiting_bytes: Cell<usize>,
    /// Frames with control entries that the network has not taken.
    entry_frames: Cell<usize>,
}

impl LinkBacklog {
    fn queued(&self, length: usize, class: FrameClass) {
        self.waiting_bytes.set(self.waiting_bytes.get() + length);
        if class == FrameClass::Entries {
            self.entry_frames.set(self.entry_frames.get() + 1);
        }
    }

    fn taken(&self, length: usize) {
        self.waiting_bytes.set(self.waiting_bytes.get().saturating_sub(length));
    }

    fn entries_written(&self, frames: usize) {
        self.entry_frames.set(self.entry_frames.get().saturating_sub(frames));
    }
}

/// The link's queue takes nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkStuck;

/// A link that is up, as it is written to.
pub(super) struct Link {
    /// Tells it from other links to the same node.
    pub(super) number: u64,
    ordinary: mpsc::Sender<QueuedFrame>,
    urgent: mpsc::Sender<QueuedFrame>,
    backlog: Rc<LinkBacklog>,
}

/// The other end of a link's queues.
pub(super) struct FrameQueues {
    ordinary: mpsc::Receiver<QueuedFrame>,
    urgent: mpsc::Receiver<QueuedFrame>,
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
    pub(super) fn enqueue(&self, bytes: FrameBytes, class: FrameClass) -> Result<(), LinkStuck> {
        if self.waiting_bytes() > MAX_QUEUED_BYTES {
            return Err(LinkStuck);
        }
        let queue = if class == FrameClass::Urgent { &self.urgent } else { &self.ordinary };
        let length = bytes.len();
        queue.try_send(QueuedFrame { bytes, class }).map_err(|_| LinkStuck)?;
        self.backlog.queued(length, class);
        Ok(())
    }

    /// Bytes that wait to be written.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.backlog.waiting_bytes.get()
    }

    /// Frames with control entries that the network has not taken; one at most, as the decider is to send them.
    pub(super) fn entry_frames(&self) -> usize {
        self.backlog.entry_frames.get()
    }
}

/// A large frame that is on its way in chunks.
struct LargeFrame {
    frame: QueuedFrame,
    /// How far it was written.
    written: usize,
}

impl LargeFrame {
    /// Adds the next chunk to what is written; whether the frame is complete with it.
    fn next_chunk(&mut self, output: &mut Vec<u8>) -> bool {
        let bytes = &self.frame.bytes;
        let end = (self.written + CHUNK_BYTES).min(bytes.len());
        let is_last = end == bytes.len();
        let flags = if is_last { CHUNK_FLAG | LAST_CHUNK_FLAG } else { CHUNK_FLAG };
        output.extend_from_slice(&((end - self.written) as u32 | flags).to_le_bytes());
        output.extend_from_slice(&bytes[self.written..end]);
        self.written = end;
        is_last
    }
}

/// What goes in one write.
#[derive(Default)]
struct NextWrite {
    output: Vec<u8>,
    /// Frames with control entries that are complete with it.
    entry_frames: usize,
}

impl NextWrite {
    /// Adds a frame; a large one is handed back instead: its chunks go without its length.
    fn append(&mut self, backlog: &LinkBacklog, frame: QueuedFrame) -> Option<LargeFrame> {
        backlog.taken(frame.bytes.len());
        if frame.class != FrameClass::Urgent && frame.bytes.len() > CHUNK_BYTES {
            return Some(LargeFrame { frame, written: LENGTH_BYTES });
        }
        self.output.extend_from_slice(&frame.bytes);
        self.entry_frames += usize::from(frame.class == FrameClass::Entries);
        None
    }

    /// Adds the next chunk of a large frame; `None` once that was the last one.
    fn append_chunk(&mut self, mut large: LargeFrame) -> Option<LargeFrame> {
        if !large.next_chunk(&mut self.output) {
            return Some(large);
        }
        self.entry_frames += usize::from(large.frame.class == FrameClass::Entries);
        None
    }
}

/// Writes what the queues bring, until the link ends: frames of both whole, but large ordinary ones in chunks. `entries_left` is
/// called after each frame with control entries that the network has taken.
pub(super) async fn write_frames(
    stream: &mut (impl AsyncWriteExt + Unpin),
    mut queues: FrameQueues,
    entries_left: impl Fn(),
) {
    let mut large: Option<LargeFrame> = None;
    loop {
        // What has gathered goes in one write.
        let mut next = NextWrite::default();
        while let Ok(frame) = queues.urgent.try_recv() {
            next.append(&queues.backlog, frame);
        }
        while large.is_none() && next.output.len() < CHUNK_BYTES {
            let Ok(frame) = queues.ordinary.try_recv() else { break };
            large = next.append(&queues.backlog, frame);
        }
        large = large.and_then(|large| next.append_chunk(large));
        if next.output.is_empty() {
            tokio::select! {
                Some(frame) = queues.urgent.recv() => drop(next.append(&queues.backlog, frame)),
                Some(frame) = queues.ordinary.recv() => large = next.append(&queues.backlog, frame),
                else => return,
            }
        }
        if !write_all(stream, &next.output).await {
            return;
        }
        queues.backlog.entries_written(next.entry_frames);
        (0..next.entry_frames).for_each(|_| entries_left());
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
