//! Reads frames from a link.
use super::frame::{Frame, CHUNK_FLAG, LAST_CHUNK_FLAG, LENGTH_BYTES};
use tokio::io::{AsyncReadExt, BufReader};

/// Size of the read buffer of a link, in bytes. One read returns many small frames.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// The most memory that is allocated for a frame before its content is received, in bytes.
const MAX_INITIAL_BYTES: usize = 64 * 1024;

/// Reads the frames of one link.
pub(super) struct FrameReader<S> {
    stream: BufReader<S>,
    /// The received chunks of an incomplete large frame.
    chunks: Vec<u8>,
}

/// A received frame or chunk.
pub(super) enum Incoming {
    /// A chunk of an incomplete large frame, which shows that the other node is alive.
    Chunk,
    /// A complete frame.
    Frame(Box<Frame>),
}

impl<S: AsyncReadExt + Unpin> FrameReader<S> {
    /// Creates a reader for a new link.
    pub(super) fn new(stream: S) -> Self {
        FrameReader { stream: BufReader::with_capacity(READ_BUFFER_BYTES, stream), chunks: Vec::new() }
    }

    /// Reads the next frame, of at most `max_bytes`. Returns `None` if the link has ended or the received
    /// bytes are not a valid frame.
    pub(super) async fn next(&mut self, max_bytes: usize) -> Option<Frame> {
        loop {
            if let Incoming::Frame(frame) = self.next_incoming(max_bytes).await? {
                return Some(*frame);
            }
        }
    }

    /// Reads the next frame or chunk. The limit and `None` are as in [`FrameReader::next`].
    pub(super) async fn next_incoming(&mut self, max_bytes: usize) -> Option<Incoming> {
        let mut header = [0; LENGTH_BYTES];
        self.stream.read_exact(&mut header).await.ok()?;
        let header = u32::from_le_bytes(header);
        let length = (header & !(CHUNK_FLAG | LAST_CHUNK_FLAG)) as usize;
        let is_chunk = header & CHUNK_FLAG != 0;
        if length + if is_chunk { self.chunks.len() } else { 0 } > max_bytes {
            return None;
        }
        // The buffer grows with the received bytes, not with the announced length.
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
