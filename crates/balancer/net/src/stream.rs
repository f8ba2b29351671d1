//! Bodies too large for a buffer, carried from one connection's buffer to another's: taken out of their framing as they
//! come, put into the next one.
use crate::buffers::{Buffer, MAX_HEAD};
use crate::http::{self, Framing, MessageError};
use httparse::Status;

/// A chunk's size line, extensions included, is no longer.
const SIZE_LINE: usize = 4096;
/// Room that the framing of one chunk takes.
const CHUNK: usize = 16;
/// The end of a body in chunks.
const LAST: &[u8] = b"0\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// So many bytes of a body that has a length.
    Bytes(usize),
    /// A chunk's size line.
    Size,
    /// So many bytes of a chunk.
    Chunk(usize),
    /// The line end behind a chunk.
    ChunkEnd,
    /// What stands behind the last chunk.
    Trailers,
    /// Whatever comes until the connection ends.
    UntilClose,
    Done,
}

/// A body as it comes, piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decoder {
    part: Part,
    /// Bytes of body that may still come.
    left: usize,
}

impl Decoder {
    /// For a body framed like this, of `most` bytes at the most.
    pub fn new(framing: Framing, most: usize) -> Self {
        let part = match framing {
            Framing::Length(0) => Part::Done,
            Framing::Length(n) => Part::Bytes(n),
            Framing::Chunked => Part::Size,
            Framing::UntilClose => Part::UntilClose,
        };
        Decoder { part, left: most }
    }

    /// Whether all of it has come.
    pub fn is_done(&self) -> bool {
        self.part == Part::Done
    }

    /// The other end closed in order: whether that ends the body.
    pub fn ends_at_close(&mut self) -> bool {
        if self.part == Part::UntilClose {
            self.part = Part::Done;
        }
        self.is_done()
    }

    /// What stands at the front of `bytes`: so many bytes of framing, then so many of body. `None`: more has to come
    /// first.
    fn front(&mut self, bytes: &[u8]) -> Result<Option<(usize, usize)>, MessageError> {
        let mut skipped = 0;
        loop {
            let rest = &bytes[skipped..];
            match self.part {
                Part::Done => return Ok((skipped > 0).then_some((skipped, 0))),
                Part::Bytes(_) | Part::Chunk(_) | Part::UntilClose if rest.is_empty() => {
                    return Ok((skipped > 0).then_some((skipped, 0)))
                }
                Part::Bytes(n) | Part::Chunk(n) => return Ok(Some((skipped, n.min(rest.len())))),
                Part::UntilClose => return Ok(Some((skipped, rest.len()))),
                Part::Size => match httparse::parse_chunk_size(rest) {
                    Ok(Status::Complete((line, size))) => {
                        skipped += line;
                        let size = usize::try_from(size).ok().filter(|n| *n <= self.left);
                        self.part = match size.ok_or(MessageError::BodyTooLarge)? {
                            0 => Part::Trailers,
                            n => Part::Chunk(n),
                        };
                    }
                    Ok(Status::Partial) if rest.len() < SIZE_LINE => {
                        return Ok((skipped > 0).then_some((skipped, 0)))
                    }
                    _ => return Err(MessageError::Malformed("a malformed chunk")),
                },
                Part::ChunkEnd => match rest.get(..2) {
                    Some(b"\r\n") => {
                        skipped += 2;
                        self.part = Part::Size;
                    }
                    Some(_) => return Err(MessageError::Malformed("a chunk without its end")),
                    None => return Ok((skipped > 0).then_some((skipped, 0))),
                },
                // Trailers are read over.
                Part::Trailers => match httparse::parse_headers(rest, &mut http::empty_headers()) {
                    Ok(Status::Complete((n, _))) => {
                        skipped += n;
                        self.part = Part::Done;
                    }
                    Ok(Status::Partial) if rest.len() < MAX_HEAD => {
                        return Ok((skipped > 0).then_some((skipped, 0)))
                    }
                    _ => return Err(MessageError::Malformed("malformed trailers")),
                },
            }
        }
    }

    /// Read on from the front of `bytes`: so many bytes of framing to pass over, then so many of body, both taken as read.
    /// `None`: more has to come first.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Option<(usize, usize)>, MessageError> {
        let found = self.front(bytes)?;
        if let Some((_, n)) = found {
            self.took(n)?;
        }
        Ok(found)
    }

    /// So many bytes of body were taken.
    fn took(&mut self, n: usize) -> Result<(), MessageError> {
        self.left = self.left.checked_sub(n).ok_or(MessageError::BodyTooLarge)?;
        self.part = match self.part {
            Part::Bytes(m) if m == n => Part::Done,
            Part::Bytes(m) => Part::Bytes(m - n),
            Part::Chunk(m) if m == n => Part::ChunkEnd,
            Part::Chunk(m) => Part::Chunk(m - n),
            other => other,
        };
        Ok(())
    }
}

/// Carry what has come of a body from one buffer to another, as far as that has room beyond `spare`; in chunks if `chunked`, the
/// last one included once all has come. Returns how many bytes of body went over.
pub fn copy_body(
    from: &mut Buffer,
    body: &mut Decoder,
    to: &mut Buffer,
    chunked: bool,
    spare: usize,
) -> Result<usize, MessageError> {
    let mut carried = 0;
    let was_done = body.is_done();
    while !body.is_done() {
        let room = to.room().len().saturating_sub(spare + if chunked { CHUNK + LAST.len() } else { 0 });
        if room == 0 {
            return Ok(carried);
        }
        let Some((skip, n)) = body.front(from.filled())? else { return Ok(carried) };
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
        body.took(n)?;
        carried += n;
    }
    if chunked && !was_done {
        // Room was kept for it.
        let _ = to.append(LAST);
    }
    Ok(carried)
}

/// The end of a body in chunks that ended with its connection.
#[must_use]
pub fn write_last_chunk(to: &mut Buffer) -> bool {
    to.append(LAST)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::buffers::Pool;

    const MOST: usize = 1 << 20;

    /// Carry `text` over in pieces of `cut` bytes through buffers; the bytes that came out, and whether all had come.
    fn carried(
        text: &[u8],
        framing: Framing,
        cut: usize,
        chunked: bool,
    ) -> Result<(Vec<u8>, bool), MessageError> {
        let mut pool = Pool::new(0);
        let (mut from, mut to) = (pool.take().expect("room"), pool.take().expect("room"));
        let (mut body, mut out) = (Decoder::new(framing, MOST), Vec::new());
        for piece in text.chunks(cut) {
            assert!(from.append(piece));
            copy_body(&mut from, &mut body, &mut to, chunked, 0)?;
            out.extend_from_slice(to.filled());
            to.consume(to.filled().len());
        }
        Ok((out, body.is_done()))
    }

    #[test]
    fn any_cut_of_the_bytes_reads_alike() {
        let text = b"3;x=\"y\"\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n";
        for cut in 1..=text.len() {
            assert_eq!(carried(text, Framing::Chunked, cut, false), Ok((b"abcde".to_vec(), true)), "{cut}");
            let (out, done) = carried(text, Framing::Chunked, cut, true).expect("well-formed");
            let again = carried(&out, Framing::Chunked, 1, false).expect("what goes on is well-formed");
            assert_eq!((again, done), ((b"abcde".to_vec(), true), true), "{cut}");
        }
        for cut in 1..=5 {
            assert_eq!(carried(b"abcde", Framing::Length(5), cut, false), Ok((b"abcde".to_vec(), true)));
            assert_eq!(carried(b"abcde", Framing::Length(6), cut, false), Ok((b"abcde".to_vec(), false)));
            assert_eq!(carried(b"abcde", Framing::UntilClose, cut, false), Ok((b"abcde".to_vec(), false)));
        }
    }

    #[test]
    fn bytes_behind_a_body_stay_where_they_are() {
        let mut pool = Pool::new(0);
        let (mut from, mut to) = (pool.take().expect("room"), pool.take().expect("room"));
        assert!(from.append(b"abGET"));
        let mut body = Decoder::new(Framing::Length(2), MOST);
        assert_eq!(copy_body(&mut from, &mut body, &mut to, true, 0), Ok(2));
        assert_eq!((from.filled(), to.filled()), (&b"GET"[..], &b"2\r\nab\r\n0\r\n\r\n"[..]));
        assert_eq!(copy_body(&mut from, &mut body, &mut to, true, 0), Ok(0), "it ends once");
        assert_eq!(to.filled().len(), 12);
    }

    #[test]
    fn what_is_malformed_or_too_large_is_an_error() {
        for text in
            ["x\r\n", "3\r\nabcd\r\n", "-1\r\n", "3\nabc", "0\r\nbad trailer\r\n\r\n", "3 3\r\nabc\r\n"]
        {
            assert!(carried(text.as_bytes(), Framing::Chunked, 1, false).is_err(), "{text:?}");
        }
        assert_eq!(carried(b"ffffffff\r\n", Framing::Chunked, 99, false), Err(MessageError::BodyTooLarge));
        let many: Vec<u8> = b"9000\r\n".iter().copied().chain([b'x'; 0x9000]).chain(*b"\r\n").collect();
        let all: Vec<u8> = std::iter::repeat_n(many, 40).flatten().collect();
        assert_eq!(carried(&all, Framing::Chunked, 40_000, false), Err(MessageError::BodyTooLarge));
        let endless = format!("1;{}", "x".repeat(2 * SIZE_LINE));
        assert!(carried(endless.as_bytes(), Framing::Chunked, 64, false).is_err());
    }

    #[test]
    fn a_full_buffer_stops_it_and_it_goes_on_when_there_is_room() {
        let mut pool = Pool::new(0);
        let (mut from, mut to) = (pool.take().expect("room"), pool.take().expect("room"));
        assert!(from.append(&[b'x'; 50_000]) && to.append(&[b'y'; 60_000]));
        let mut body = Decoder::new(Framing::Length(50_000), MOST);
        let first = copy_body(&mut from, &mut body, &mut to, false, 100).expect("well-formed");
        assert!(first > 0 && first < 50_000 && to.room().len() == 100, "{first}");
        assert_eq!(copy_body(&mut from, &mut body, &mut to, false, 100), Ok(0));
        to.consume(60_000);
        assert_eq!(copy_body(&mut from, &mut body, &mut to, false, 100), Ok(50_000 - first));
        assert!(body.is_done() && from.is_empty());
    }
}
