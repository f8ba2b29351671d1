//! Writes the frames of a link from two queues. Urgent frames go before ordinary ones and between the chunks
//! of a large one. Written frames with control entries are reported: membership sends no further entries on
//! the link until then.
use super::frame::{CHUNK_BYTES, CHUNK_FLAG, LAST_CHUNK_FLAG, LENGTH_BYTES, MAX_FRAME_BYTES};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The capacity of each queue, in frames. If a queue is full the link is closed, and the other node gets what
/// it missed as a snapshot.
pub(super) const MAX_QUEUED_FRAMES: usize = 1024;
/// A link is closed if none of the pending bytes can be written for this long. On a slow link a large frame
/// may take longer, as long as there is progress.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// An encoded frame, shared between its receivers.
pub(super) type FrameBytes = Rc<Vec<u8>>;

/// The most bytes that may be queued on a link when another frame is added. Above it the link is closed too.
const MAX_QUEUED_BYTES: usize = MAX_FRAME_BYTES;

/// How a frame is queued and reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameClass {
    /// Sent in order.
    Ordinary,
    /// Sent in order, and reported once it has been written.
    Entries,
    /// Sent before frames of the other classes.
    Urgent,
}

/// A queued frame.
struct QueuedFrame {
    bytes: FrameBytes,
    class: FrameClass,
}

/// The backlog of a link.
#[derive(Default)]
struct LinkBacklog {
    /// Bytes of frames that the writer has not taken from the queues.
    queued_bytes: Cell<usize>,
    /// Frames with control entries that have not been written completely.
    entry_frames: Cell<usize>,
}

impl LinkBacklog {
    fn queued(&self, length: usize, class: FrameClass) {
        self.queued_bytes.set(self.queued_bytes.get() + length);
        if class == FrameClass::Entries {
            self.entry_frames.set(self.entry_frames.get() + 1);
        }
    }

    fn taken(&self, length: usize) {
        self.queued_bytes.set(self.queued_bytes.get().saturating_sub(length));
    }

    fn entries_written(&self, frames: usize) {
        self.entry_frames.set(self.entry_frames.get().saturating_sub(frames));
    }
}

/// A queue of the link is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueFull;

/// The sending side of an established link.
pub(super) struct Link {
    /// Distinguishes it from other links to the same node.
    pub(super) number: u64,
    ordinary: mpsc::Sender<QueuedFrame>,
    urgent: mpsc::Sender<QueuedFrame>,
    backlog: Rc<LinkBacklog>,
}

/// The receiving ends of a link's queues.
pub(super) struct FrameQueues {
    ordinary: mpsc::Receiver<QueuedFrame>,
    urgent: mpsc::Receiver<QueuedFrame>,
    backlog: Rc<LinkBacklog>,
}

impl Link {
    /// Creates a link and the queues from which its writer takes frames.
    pub(super) fn new(number: u64) -> (Link, FrameQueues) {
        let (ordinary, ordinary_receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (urgent, urgent_receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let backlog: Rc<LinkBacklog> = Rc::default();
        let queues =
            FrameQueues { ordinary: ordinary_receiver, urgent: urgent_receiver, backlog: backlog.clone() };
        (Link { number, ordinary, urgent, backlog }, queues)
    }

    /// Adds a frame to the queue of its class.
    pub(super) fn enqueue(&self, bytes: FrameBytes, class: FrameClass) -> Result<(), QueueFull> {
        if self.queued_bytes() > MAX_QUEUED_BYTES {
            return Err(QueueFull);
        }
        let queue = if class == FrameClass::Urgent { &self.urgent } else { &self.ordinary };
        let length = bytes.len();
        queue.try_send(QueuedFrame { bytes, class }).map_err(|_| QueueFull)?;
        self.backlog.queued(length, class);
        Ok(())
    }

    /// Returns the bytes of frames that the writer has not taken from the queues.
    pub(super) fn queued_bytes(&self) -> usize {
        self.backlog.queued_bytes.get()
    }

    /// Returns the number of frames with control entries that have not been written completely. Membership
    /// should send them one at a time.
    pub(super) fn entry_frames(&self) -> usize {
        self.backlog.entry_frames.get()
    }
}

/// A large frame that is being written in chunks.
struct LargeFrame {
    frame: QueuedFrame,
    /// The offset of the next chunk.
    written: usize,
}

impl LargeFrame {
    /// Appends the next chunk to `output`. Returns whether it is the last one.
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

/// The content of one write.
#[derive(Default)]
struct NextWrite {
    output: Vec<u8>,
    /// Frames with control entries that end in this write.
    entry_frames: usize,
}

impl NextWrite {
    /// Appends a frame. A large one is returned instead: it is written in chunks, without its own length
    /// header.
    fn append(&mut self, backlog: &LinkBacklog, frame: QueuedFrame) -> Option<LargeFrame> {
        backlog.taken(frame.bytes.len());
        if frame.class != FrameClass::Urgent && frame.bytes.len() > CHUNK_BYTES {
            return Some(LargeFrame { frame, written: LENGTH_BYTES });
        }
        self.output.extend_from_slice(&frame.bytes);
        self.entry_frames += usize::from(frame.class == FrameClass::Entries);
        None
    }

    /// Appends the next chunk of a large frame. Returns `None` after the last one.
    fn append_chunk(&mut self, mut large: LargeFrame) -> Option<LargeFrame> {
        if !large.next_chunk(&mut self.output) {
            return Some(large);
        }
        self.entry_frames += usize::from(large.frame.class == FrameClass::Entries);
        None
    }
}

/// Writes the queued frames until the link ends: urgent and small frames whole, large ordinary ones in
/// chunks. Calls `entries_sent` after each written frame with control entries.
pub(super) async fn write_frames(
    stream: &mut (impl AsyncWriteExt + Unpin),
    mut queues: FrameQueues,
    entries_sent: impl Fn(),
) {
    let mut large: Option<LargeFrame> = None;
    loop {
        // Combines queued frames in one write.
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
        (0..next.entry_frames).for_each(|_| entries_sent());
    }
}

/// Writes all bytes. Returns `false` if the link fails or no bytes can be written for
/// [`WRITE_STALL_TIMEOUT`].
pub(super) async fn write_all(stream: &mut (impl AsyncWriteExt + Unpin), mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match timeout(WRITE_STALL_TIMEOUT, stream.write(bytes)).await {
            Ok(Ok(written)) if written > 0 => bytes = &bytes[written..],
            _ => return false,
        }
    }
    true
}
