//! Buffers of one size, used again. Each holds one whole message: head and body at their largest.

/// The largest body either side may send.
pub const MAX_BODY: usize = 64 * 1024;
/// The largest head.
pub const MAX_HEAD: usize = 16 * 1024;
/// Room for the framing of chunks and for the lines that the sidecar adds to a head.
const FRAMING: usize = 4 * 1024;
/// The size of every buffer.
pub const BUFFER_SIZE: usize = MAX_HEAD + MAX_BODY + FRAMING;
/// Free buffers kept; more than are ever idle at once on a quiet day only hold memory.
const KEPT: usize = 64;
/// One in so many is kept for answers: what was taken must be answered even when nothing more can be taken.
const FOR_ANSWERS: usize = 8;

/// Bytes that have come or are to go: filled at the end, consumed at the front.
pub struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What it holds.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// What it holds, to be changed in place.
    pub fn filled_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[self.start..self.end]
    }

    /// The room at its end, after what it holds was moved to its front.
    pub fn room(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        &mut self.bytes[self.end..]
    }

    /// So many bytes of the room have been filled.
    pub fn add(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// So many bytes at the front are done with.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
    }

    /// Append bytes; `false`, and nothing appended, if they do not fit.
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

    /// Put these bytes in the place of all it holds from there on; they are no more than those.
    pub fn replace_from(&mut self, from: usize, bytes: &[u8]) {
        let at = self.start + from;
        if let Some(place) = self.bytes[..self.end].get_mut(at..at + bytes.len()) {
            place.copy_from_slice(bytes);
            self.end = at + bytes.len();
        }
    }

    /// Nothing in it.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// No room left.
    pub fn is_full(&self) -> bool {
        self.end - self.start == self.bytes.len()
    }
}

/// Where buffers come from and go back to; it never hands out more than its limit.
pub struct Pool {
    free: Vec<Buffer>,
    out: usize,
    limit: usize,
}

impl Pool {
    /// A pool that may use so many bytes.
    pub fn new(bytes: usize) -> Self {
        let mut new = Pool { free: Vec::new(), out: 0, limit: 0 };
        new.set_limit(bytes);
        new
    }

    /// Keep to so many bytes from now on; what is out beyond them stays until it comes back.
    pub fn set_limit(&mut self, bytes: usize) {
        self.limit = (bytes / BUFFER_SIZE).max(8);
        self.free.truncate(self.limit.saturating_sub(self.out));
    }

    /// An empty buffer; `None` at the limit, less what is kept for answers.
    pub fn take(&mut self) -> Option<Buffer> {
        self.take_up_to(self.limit - self.limit / FOR_ANSWERS)
    }

    /// An empty buffer for an answer that is owed; `None` at the limit.
    pub fn take_for_response(&mut self) -> Option<Buffer> {
        self.take_up_to(self.limit)
    }

    fn take_up_to(&mut self, limit: usize) -> Option<Buffer> {
        if self.out >= limit {
            return None;
        }
        self.out += 1;
        let fresh = || Buffer { bytes: vec![0; BUFFER_SIZE].into_boxed_slice(), start: 0, end: 0 };
        Some(self.free.pop().unwrap_or_else(fresh))
    }

    /// Take a buffer back.
    pub fn put_back(&mut self, mut buffer: Buffer) {
        self.out = self.out.saturating_sub(1);
        (buffer.start, buffer.end) = (0, 0);
        if self.free.len() < KEPT {
            self.free.push(buffer);
        }
    }

    /// How many are out.
    pub fn in_use(&self) -> usize {
        self.out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_buffer_is_used_again_and_comes_back_empty() {
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
    fn the_pool_keeps_to_its_limit() {
        let mut pool = Pool::new(16 * BUFFER_SIZE);
        let mut held: Vec<_> = (0..20).map_while(|_| pool.take()).collect();
        assert_eq!(held.len(), 14, "two are left for answers");
        held.extend((0..20).map_while(|_| pool.take_for_response()));
        assert_eq!(held.len(), 16);
        held.into_iter().for_each(|b| pool.put_back(b));
        assert_eq!(pool.in_use(), 0);
        assert!(pool.take().is_some());
    }

    #[test]
    fn what_is_consumed_makes_room_again() {
        let mut b = Pool::new(0).take().expect("room");
        assert!(b.append(&[1; BUFFER_SIZE]));
        assert!(b.is_full() && !b.append(&[2]));
        b.consume(BUFFER_SIZE - 1);
        assert!(b.append(&[2; 9]));
        assert_eq!(b.filled(), [1, 2, 2, 2, 2, 2, 2, 2, 2, 2]);
    }
}
