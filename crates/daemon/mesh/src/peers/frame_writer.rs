//! Frames written to a link, from two queues: urgent ones go before ordinary ones and between the chunks of a large one.
use super::frame::{CHUNK_BYTES, CHUNK_FLAG, LAST_CHUNK_FLAG, LENGTH_BYTES};
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

/// A link that is up, as it is written to.
pub(super) struct Link {
    /// Tells it from other links to the same node.
    pub(super) number: u64,
    /// Frames that keep their order.
    pub(super) ordinary: mpsc::Sender<FrameBytes>,
    /// Frames that go before those.
    pub(super) urgent: mpsc::Sender<FrameBytes>,
}

/// The other end of a link's queues.
pub(super) struct FrameQueues {
    /// Frames that keep their order.
    pub(super) ordinary: mpsc::Receiver<FrameBytes>,
    /// Frames that go before those.
    pub(super) urgent: mpsc::Receiver<FrameBytes>,
}

impl Link {
    /// A link and the queues that its writer empties.
    pub(super) fn new(number: u64) -> (Link, FrameQueues) {
        let (ordinary, waiting_ordinary) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (urgent, waiting_urgent) = mpsc::channel(MAX_QUEUED_FRAMES);
        let queues = FrameQueues { ordinary: waiting_ordinary, urgent: waiting_urgent };
        (Link { number, ordinary, urgent }, queues)
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
            output.extend_from_slice(&bytes);
        }
        while large.is_none() && output.len() < CHUNK_BYTES {
            let Ok(bytes) = queues.ordinary.try_recv() else { break };
            large = append(&mut output, bytes);
        }
        if large.as_mut().is_some_and(|large| large.next_chunk(&mut output)) {
            large = None;
        }
        if output.is_empty() {
            tokio::select! {
                Some(bytes) = queues.urgent.recv() => output.extend_from_slice(&bytes),
                Some(bytes) = queues.ordinary.recv() => large = append(&mut output, bytes),
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
