//! A pool of reusable buffers of a fixed size, each of which fits a message with a head and a body of maximum size.

/// Maximum bytes of a body that is held in a buffer as a whole.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum bytes of a head.
pub const MAX_HEAD: usize = 16 * 1024;
/// Space for the framing of chunks and for the header lines that the sidecar adds.
const FRAMING_SPACE: usize = 4 * 1024;
/// Bytes of every buffer.
pub const BUFFER_SIZE: usize = MAX_HEAD + MAX_BODY + FRAMING_SPACE;
/// Maximum number of free buffers that are kept for reuse; more would only occupy memory.
const MAX_FREE: usize = 64;
/// One buffer in this many is reserved for responses: an accepted request must be answered even when no further request
/// can be accepted.
const RESPONSE_RESERVE: usize = 8;

/// Bytes that were received or are to be sent: filled at the end, consumed at the front.
pub struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// Its contents.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Its contents, to be changed in place.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[self.start..self.end]
    }

    /// The free space at its end, after its contents were moved to its front.
    pub fn room(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        &mut self.bytes[self.end..]
    }

    /// `n` bytes of [`Buffer::room`] have been filled.
    pub fn add(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// Removes `n` bytes at the front.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
    }

    /// Appends bytes; if they do not fit, appends nothing and returns `false`.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        match self.room().get_mut(..bytes.len()) {
            Some(room) => {
                room.copy_from_slice(bytes);
                self.end += bytes.len();
                true
            }
            None => false,
        }
    }

    /// Replaces its contents from index `from` on by `bytes`, which must not be longer.
    pub fn replace_from(&mut self, from: usize, bytes: &[u8]) {
        let at = self.start + from;
        if let Some(place) = self.bytes[..self.end].get_mut(at..at + bytes.len()) {
            place.copy_from_slice(bytes);
            self.end = at + bytes.len();
        }
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Whether it has no free space.
    pub fn is_full(&self) -> bool {
        self.end - self.start == self.bytes.len()
    }
}

/// Provides buffers, never more at a time than its limit.
pub struct Pool {
    free: Vec<Buffer>,
    in_use: usize,
    limit: usize,
}

impl Pool {
    /// Creates a pool that may use this many bytes.
    pub fn new(bytes: usize) -> Self {
        let mut new = Pool { free: Vec::new(), in_use: 0, limit: 0 };
        new.set_limit(bytes);
        new
    }

    /// Changes the limit to this many bytes; buffers in use beyond it stay in use until they are put back.
    pub fn set_limit(&mut self, bytes: usize) {
        self.limit = (bytes / BUFFER_SIZE).max(8);
        self.free.truncate(self.limit.saturating_sub(self.in_use));
    }

    /// Takes an empty buffer; `None` at the limit less the buffers reserved for responses.
    pub fn take(&mut self) -> Option<Buffer> {
        self.take_up_to(self.limit - self.limit / RESPONSE_RESERVE)
    }

    /// Takes an empty buffer for the response to an accepted request; `None` at the limit.
    pub fn take_for_response(&mut self) -> Option<Buffer> {
        self.take_up_to(self.limit)
    }

    fn take_up_to(&mut self, limit: usize) -> Option<Buffer> {
        if self.in_use >= limit {
            return None;
        }
        self.in_use += 1;
        let new_buffer = || Buffer { bytes: vec![0; BUFFER_SIZE].into_boxed_slice(), start: 0, end: 0 };
        Some(self.free.pop().unwrap_or_else(new_buffer))
    }

    /// Puts a buffer back into the pool.
    pub fn put_back(&mut self, mut buffer: Buffer) {
        self.in_use = self.in_use.saturating_sub(1);
        (buffer.start, buffer.end) = (0, 0);
        if self.free.len() < MAX_FREE {
            self.free.push(buffer);
        }
    }

    /// Number of buffers in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_buffer_is_reused_and_empty_then() {
        let mut pool = Pool::new(0);
        let mut b = pool.take().expect("room");
        assert!(b.append(b"hello"));
        b.consume(2);
        assert_eq!(b.filled(), b"llo");
        let at = b.bytes.as_ptr();
        pool.put_back(b);
        let b = pool.take().expect("room");
        assert!(b.is_empty());
        assert_eq!(b.bytes.as_ptr(), at);
    }

    #[test]
    fn the_pool_does_not_exceed_its_limit() {
        let mut pool = Pool::new(16 * BUFFER_SIZE);
        let mut held: Vec<_> = (0..20).map_while(|_| pool.take()).collect();
        assert_eq!(held.len(), 14, "two are reserved for responses");
        held.extend((0..20).map_while(|_| pool.take_for_response()));
        assert_eq!(held.len(), 16);
        held.into_iter().for_each(|b| pool.put_back(b));
        assert_eq!(pool.in_use(), 0);
        assert!(pool.take().is_some());
    }

    #[test]
    fn consumed_bytes_free_space() {
        let mut b = Pool::new(0).take().expect("room");
        assert!(b.append(&[1; BUFFER_SIZE]));
        assert!(b.is_full() && !b.append(&[2]));
        b.consume(BUFFER_SIZE - 1);
        assert!(b.append(&[2; 9]));
        assert_eq!(b.filled(), [1, 2, 2, 2, 2, 2, 2, 2, 2, 2]);
    }
}
