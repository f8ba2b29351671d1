//! Frames read from a link.
use super::frame::{Frame, CHUNK_FLAG, LAST_CHUNK_FLAG, LENGTH_BYTES};
use tokio::io::{AsyncReadExt, BufReader};

/// Buffer of a link's reading half, in bytes: many small frames come at a time, and one read is enough for them.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Memory taken for a frame before any of it has come, at most, in bytes.
const MAX_INITIAL_BYTES: usize = 64 * 1024;

/// Reads the frames of one link.
pub(super) struct FrameReader<S> {
    stream: BufReader<S>,
    /// What has come of a large frame.
    chunks: Vec<u8>,
}

/// What came on a link.
pub(super) enum Incoming {
    /// A chunk of a large frame that is not complete yet: the other end is there.
    Chunk,
    /// A frame.
    Frame(Box<Frame>),
}

impl<S: AsyncReadExt + Unpin> FrameReader<S> {
    /// At the beginning of a link.
    pub(super) fn new(stream: S) -> Self {
        FrameReader { stream: BufReader::with_capacity(READ_BUFFER_BYTES, stream), chunks: Vec::new() }
    }

    /// The next frame of at most so many bytes; `None` once the link has ended, or if what came is no such frame.
    pub(super) async fn next(&mut self, max_bytes: usize) -> Option<Frame> {
        loop {
            if let Incoming::Frame(frame) = self.next_incoming(max_bytes).await? {
                return Some(*frame);
            }
        }
    }

    /// The next frame of at most so many bytes, or chunk of one; `None` as with [`FrameReader::next`].
    pub(super) async fn next_incoming(&mut self, max_bytes: usize) -> Option<Incoming> {
        let mut header = [0; LENGTH_BYTES];
        self.stream.read_exact(&mut header).await.ok()?;
        let header = u32::from_le_bytes(header);
        let length = (header & !(CHUNK_FLAG | LAST_CHUNK_FLAG)) as usize;
        let is_chunk = header & CHUNK_FLAG != 0;
        if length + if is_chunk { self.chunks.len() } else { 0 } > max_bytes {
            return None;
        }
        // Memory grows with what comes, not with what is announced.
        let mut bytes = if is_chunk {
            std::mem::take(&mut self.chunks)
        } else {
            Vec::with_capacity(length.min(MAX_INITIAL_BYTES))
        };
        let mut content = (&mut self.stream).take(length as u64);
        content.read_to_end(&mut bytes).await.ok().filter(|n| *n == length)?;
        if is_chunk && header & LAST_CHUNK_FLAG == 0 {
            self.chunks = bytes;
            return Some(Incoming::Chunk);
        }
        bitcode::decode(&bytes).ok().map(|frame| Incoming::Frame(Box::new(frame)))
    }
}
