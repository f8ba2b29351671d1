//! Streaming of bodies that are too large for a buffer: copies a body from the buffer of one connection to that of another
//! while it is received, decoding its framing and encoding the new one.
use crate::buffers::{Buffer, MAX_HEAD};
use crate::http::{self, Framing, MessageError};
use httparse::Status;

/// Maximum bytes of a chunk's size line, extensions included.
const MAX_SIZE_LINE: usize = 4096;
/// Space for the framing of one chunk.
const CHUNK_FRAMING: usize = 16;
/// The end of a body in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Remaining bytes of a body with a stated length.
    Bytes(usize),
    /// The size line of a chunk.
    Size,
    /// Remaining bytes of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailers after the last chunk.
    Trailers,
    /// All bytes until the connection closes.
    UntilClose,
    Done,
}

/// Decodes the framing of a body that is received piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decoder {
    state: State,
    /// Bytes of body that are still permitted.
    remaining: usize,
}

impl Decoder {
    /// Creates a decoder for a body of at most `max_body` bytes.
    pub fn new(framing: Framing, max_body: usize) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Bytes(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Decoder { state, remaining: max_body }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The peer has closed the connection in an orderly way; returns whether the body is complete.
    pub fn ends_at_close(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Number of bytes of framing at the front of `bytes`, and of bytes of body that follow. `None`: more bytes are needed.
    fn peek(&mut self, bytes: &[u8]) -> Result<Option<(usize, usize)>, MessageError> {
        let mut skipped = 0;
        loop {
            let rest = &bytes[skipped..];
            match self.state {
                State::Done => return Ok((skipped > 0).then_some((skipped, 0))),
                State::Bytes(_) | State::Chunk(_) | State::UntilClose if rest.is_empty() => {
                    return Ok((skipped > 0).then_some((skipped, 0)))
                }
                State::Bytes(n) | State::Chunk(n) => return Ok(Some((skipped, n.min(rest.len())))),
                State::UntilClose => return Ok(Some((skipped, rest.len()))),
                State::Size => match httparse::parse_chunk_size(rest) {
                    Ok(Status::Complete((line, size))) => {
                        skipped += line;
                        let size = usize::try_from(size).ok().filter(|n| *n <= self.remaining);
                        self.state = match size.ok_or(MessageError::BodyTooLarge)? {
                            0 => State::Trailers,
                            n => State::Chunk(n),
                        };
                    }
                    Ok(Status::Partial) if rest.len() < MAX_SIZE_LINE => {
                        return Ok((skipped > 0).then_some((skipped, 0)))
                    }
                    _ => return Err(MessageError::Malformed("a malformed chunk")),
                },
                State::ChunkEnd => match rest.get(..2) {
                    Some(b"\r\n") => {
                        skipped += 2;
                        self.state = State::Size;
                    }
                    Some(_) => return Err(MessageError::Malformed("a chunk without its end")),
                    None => return Ok((skipped > 0).then_some((skipped, 0))),
                },
                // Trailers are skipped.
                State::Trailers => match httparse::parse_headers(rest, &mut http::empty_headers()) {
                    Ok(Status::Complete((n, _))) => {
                        skipped += n;
                        self.state = State::Done;
                    }
                    Ok(Status::Partial) if rest.len() < MAX_HEAD => {
                        return Ok((skipped > 0).then_some((skipped, 0)))
                    }
                    _ => return Err(MessageError::Malformed("malformed trailers")),
                },
            }
        }
    }

    /// Decodes the front of `bytes`: returns the number of bytes of framing to skip and of bytes of body that follow, which
    /// count as consumed. `None`: more bytes are needed.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Option<(usize, usize)>, MessageError> {
        let found = self.peek(bytes)?;
        if let Some((_, n)) = found {
            self.consume(n)?;
        }
        Ok(found)
    }

    /// `n` bytes of body were consumed.
    fn consume(&mut self, n: usize) -> Result<(), MessageError> {
        self.remaining = self.remaining.checked_sub(n).ok_or(MessageError::BodyTooLarge)?;
        self.state = match self.state {
            State::Bytes(m) if m == n => State::Done,
            State::Bytes(m) => State::Bytes(m - n),
            State::Chunk(m) if m == n => State::ChunkEnd,
            State::Chunk(m) => State::Chunk(m - n),
            other => other,
        };
        Ok(())
    }
}

/// Copies the received bytes of a body to another buffer, leaving `reserve` bytes of that free; in chunks if `chunked`,
/// followed by the last chunk once the body is complete. Returns the number of bytes of body that were copied.
pub fn copy_body(
    from: &mut Buffer,
    body: &mut Decoder,
    to: &mut Buffer,
    chunked: bool,
    reserve: usize,
) -> Result<usize, MessageError> {
    let mut copied = 0;
    let was_done = body.is_done();
    while !body.is_done() {
        let room = to
            .room()
            .len()
            .saturating_sub(reserve + if chunked { CHUNK_FRAMING + LAST_CHUNK.len() } else { 0 });
        if room == 0 {
            return Ok(copied);
        }
        let Some((skip, n)) = body.peek(from.filled())? else { return Ok(copied) };
        from.consume(skip);
        let n = n.min(room);
        if n == 0 {
            continue;
        }
        let piece = &from.filled()[..n];
        let fits = if chunked {
            to.append(format!("{n:x}\r\n").as_bytes()) && to.append(piece) && to.append(b"\r\n")
        } else {
            to.append(piece)
        };
        debug_assert!(fits, "there was room");
        from.consume(n);
        body.consume(n)?;
        copied += n;
    }
    if chunked && !was_done {
        // Space was reserved for it.
        let _ = to.append(LAST_CHUNK);
    }
    Ok(copied)
}

/// Appends the last chunk, for a body that ended when its connection was closed.
#[must_use]
pub fn write_last_chunk(to: &mut Buffer) -> bool {
    to.append(LAST_CHUNK)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::buffers::Pool;

    const MAX_BODY: usize = 1 << 20;

    /// Copies `text` in pieces of `cut` bytes; returns the copied bytes and whether the body was complete.
    fn copied(
        text: &[u8],
        framing: Framing,
        cut: usize,
        chunked: bool,
    ) -> Result<(Vec<u8>, bool), MessageError> {
        let mut pool = Pool::new(0);
        let (mut from, mut to) = (pool.take().expect("room"), pool.take().expect("room"));
        let (mut body, mut out) = (Decoder::new(framing, MAX_BODY), Vec::new());
        for piece in text.chunks(cut) {
            assert!(from.append(piece));
            copy_body(&mut from, &mut body, &mut to, chunked, 0)?;
            out.extend_from_slice(to.filled());
            to.consume(to.filled().len());
        }
        Ok((out, body.is_done()))
    }

    #[test]
    fn the_body_does_not_depend_on_how_the_bytes_are_split() {
        let text = b"3;x=\"y\"\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
        for cut in 1..=text.len() {
            assert_eq!(copied(text, Framing::Chunked, cut, false), Ok((b"abcde".to_vec(), true)), "{cut}");
            let (out, done) = copied(text, Framing::Chunked, cut, true).expect("well-formed");
            let again = copied(&out, Framing::Chunked, 1, false).expect("the output is well-formed");
            assert_eq!((again, done), ((b"abcde".to_vec(), true), true), "{cut}");
        }
        for cut in 1..=5 {
            assert_eq!(copied(b"abcde", Framing::Length(5), cut, false), Ok((b"abcde".to_vec(), true)));
            assert_eq!(copied(b"abcde", Framing::Length(6), cut, false), Ok((b"abcde".to_vec(), false)));
            assert_eq!(copied(b"abcde", Framing::UntilClose, cut, false), Ok((b"abcde".to_vec(), false)));
        }
    }

    #[test]
    fn bytes_after_a_body_are_not_consumed() {
        let mut pool = Pool::new(0);
        let (mut from, mut to) = (pool.take().expect("room"), pool.take().expect("room"));
        assert!(from.append(b"abGET"));
        let mut body = Decoder::new(Framing::Length(2), MAX_BODY);
        assert_eq!(copy_body(&mut from, &mut body, &mut to, true, 0), Ok(2));
        assert_eq!((from.filled(), to.filled()), (&b"GET"[..], &b"2\r\nab\r\n0\r\n\r\n"[..]));
        assert_eq!(
            copy_body(&mut from, &mut body, &mut to, true, 0),
            Ok(0),
            "the last chunk is written once"
        );
        assert_eq!(to.filled().len(), 12);
    }

    #[test]
    fn malformed_or_too_large_bodies_are_errors() {
        for text in
            ["x\r\n", "3\r\nabcd\r\n", "-1\r\n", "3\nabc", "0\r\nbad trailer\r\n\r\n", "3 3\r\nabc\r\n"]
        {
            assert!(copied(text.as_bytes(), Framing::Chunked, 1, false).is_err(), "{text:?}");
        }
        assert_eq!(copied(b"ffffffff\r\n", Framing::Chunked, 99, false), Err(MessageError::BodyTooLarge));
        let many: Vec<u8> = b"9000\r\n".iter().copied().chain([b'x'; 0x9000]).chain(*b"\r\n").collect();
        let all: Vec<u8> = std::iter::repeat_n(many, 40).flatten().collect();
        assert_eq!(copied(&all, Framing::Chunked, 40_000, false), Err(MessageError::BodyTooLarge));
        let endless = format!("1;{}", "x".repeat(2 * MAX_SIZE_LINE));
        assert!(copied(endless.as_bytes(), Framing::Chunked, 64, false).is_err());
    }

    #[test]
    fn copying_stops_at_a_full_buffer_and_resumes_when_there_is_space() {
        let mut pool = Pool::new(0);
        let (mut from, mut to) = (pool.take().expect("room"), pool.take().expect("room"));
        assert!(from.append(&[b'x'; 50_000]) && to.append(&[b'y'; 60_000]));
        let mut body = Decoder::new(Framing::Length(50_000), MAX_BODY);
        let first = copy_body(&mut from, &mut body, &mut to, false, 100).expect("well-formed");
        assert!(first > 0 && first < 50_000 && to.room().len() == 100, "{first}");
        assert_eq!(copy_body(&mut from, &mut body, &mut to, false, 100), Ok(0));
        to.consume(60_000);
        assert_eq!(copy_body(&mut from, &mut body, &mut to, false, 100), Ok(50_000 - first));
        assert!(body.is_done() && from.is_empty());
    }
}
