//! Connections to upstreams: an attempt's request is written, its response read and classified.
use super::application::TIME_LEFT;
use silvercross_core::interface::Micros;
use silvercross_facade::{Attempt, Report, Upstream};
use silvercross_gateway::statement;
use silvercross_net::buffers::{Buffer, Pool};
use silvercross_net::http::{self, Framing, MessageError};
use silvercross_net::registry::{Interest, Watched};
use silvercross_net::stream::Decoder;
use silvercross_net::table::Handle;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The connection is not established yet.
    Connecting,
    /// The last byte of the request is not written yet.
    Writing,
    /// The request is written; no response has arrived.
    Waiting,
    /// Part of the response has arrived.
    Reading,
    /// The response is relayed to the client as it arrives.
    Passing,
}

/// What made an attempt fail.
#[derive(Debug)]
pub enum Cause {
    /// The socket failed.
    Socket(io::Error),
    /// The connection was not established in time.
    NotInTime,
    /// The other end closed the connection.
    Closed,
    /// The response is invalid or too large.
    Answer(MessageError),
    /// No buffer or descriptor was available.
    NoRoom,
}

/// Why an attempt failed without a complete response, and at which stage.
#[derive(Debug)]
pub struct AttemptError {
    /// The stage.
    pub stage: Stage,
    /// The cause.
    pub cause: Cause,
}

impl AttemptError {
    /// The report for the decision module. Before its last byte was written a request can't have been executed; after that
    /// it may have been, on a reused connection as well as on a new one.
    pub fn report(&self) -> Report {
        match (self.stage, &self.cause) {
            // The lack is local: it says nothing about the upstream, which must not be excluded for it.
            (Stage::Connecting, Cause::NoRoom) => Report::NotSent,
            (Stage::Connecting | Stage::Writing, _) => Report::NotDelivered,
            (_, Cause::Answer(_)) => Report::Error,
            _ => Report::Reset,
        }
    }
}

/// A complete response, whose body is still in its buffer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// The report for the decision module.
    pub report: Report,
    /// Its header lines as they are forwarded.
    pub lines: Vec<u8>,
    /// The far gateway's offer in its header.
    pub offer: Option<String>,
    /// Positions of the parts of its body in the buffer.
    pub parts: Vec<Range<usize>>,
    /// The connection can be reused.
    pub keep_alive: bool,
}

/// A response too large for a buffer, of which the head has arrived.
#[derive(Debug, PartialEq)]
pub struct Begun {
    /// Its header lines as they are forwarded.
    pub lines: Vec<u8>,
    /// Length of its head.
    pub head: usize,
    /// Framing of its body.
    pub framing: Framing,
    /// The connection can be reused.
    pub keep_alive: bool,
}

/// A response that is relayed as it arrives.
pub struct Passing {
    /// The client's connection.
    pub client: Handle,
    /// Decoder of the rest of its body.
    pub body: Decoder,
    /// It is relayed with chunked encoding.
    pub chunked: bool,
    /// The upstream's connection can be reused afterwards.
    pub keep_alive: bool,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Used by this attempt, which is at this stage.
    Busy(Attempt, Stage),
    /// Waiting for the next attempt.
    Idle,
}

/// A connection to an upstream.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// The upstream.
    pub upstream: Upstream,
    /// The upstream's address.
    pub to: SocketAddr,
    /// Its state.
    pub work: Work,
    /// The request being written, then the response being read.
    pub buffer: Option<Buffer>,
    /// When it last became idle, or was created.
    pub since: Micros,
    /// Whether the last byte of the current request is delayed to check that the connection is still open.
    pub held: bool,
    /// Whether the timer for that delay is set.
    pub timed: bool,
    /// When the current attempt began.
    pub sent_at: Micros,
    /// Interim responses received before the current one.
    pub interim: u32,
    /// More of the current request's body is to come.
    pub more: bool,
    /// The response that is relayed as it arrives.
    pub passing: Option<Passing>,
}

/// Result of [`Conn::advance`].
#[derive(Debug)]
pub enum Progress {
    /// Waiting for the socket.
    Blocked,
    /// All is written but the last byte, which is delayed.
    Held,
    /// All that has arrived of the request is written; more of it is to come.
    Wants,
    /// The head of a response that is too large for the buffer.
    Begun(Begun),
    /// The response is complete.
    Answered(Answer),
}

impl Conn {
    /// Advances the attempt as far as the socket allows.
    pub fn advance(&mut self) -> Result<Progress, AttemptError> {
        let Work::Busy(attempt, mut stage) = self.work else { return Ok(Progress::Blocked) };
        let done = self.step(&mut stage);
        self.work = Work::Busy(attempt, stage);
        done.map_err(|cause| AttemptError { stage, cause })
    }

    fn step(&mut self, stage: &mut Stage) -> Result<Progress, Cause> {
        if *stage == Stage::Connecting {
            if let Some(e) = self.socket.get().take_error().map_err(Cause::Socket)? {
                return Err(Cause::Socket(e));
            }
            match self.socket.get().peer_addr() {
                Ok(_) => *stage = Stage::Writing,
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(Progress::Blocked),
                Err(e) => return Err(Cause::Socket(e)),
            }
        }
        let buffer = self.buffer.as_mut().ok_or(Cause::NoRoom)?;
        if *stage == Stage::Writing {
            while !buffer.is_empty() {
                let held = usize::from(self.held && !self.more);
                if held == buffer.filled().len() {
                    // All but the last byte is written. If the upstream closes or resets the connection now, or sends
                    // unexpected bytes, it has not received the complete request and so did not execute it.
                    self.socket.set(Interest::Read).map_err(Cause::Socket)?;
                    return match self.socket.get().peek(&mut [0]) {
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(Progress::Held),
                        Err(e) => Err(Cause::Socket(e)),
                        Ok(_) => Err(Cause::Closed),
                    };
                }
                match self.socket.get().write(&buffer.filled()[..buffer.filled().len() - held]) {
                    Ok(0) => return Err(Cause::Closed),
                    Ok(n) => buffer.consume(n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        let watched = if self.more { Interest::Both } else { Interest::Write };
                        self.socket.set(watched).map_err(Cause::Socket)?;
                        if self.more && has_unexpected_bytes(&self.socket)? {
                            break;
                        }
                        return Ok(Progress::Blocked);
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) => return Err(Cause::Socket(e)),
                }
            }
            if self.more && !has_unexpected_bytes(&self.socket)? {
                return Ok(Progress::Wants);
            }
            self.socket.set(Interest::Read).map_err(Cause::Socket)?;
            if !self.more {
                *stage = Stage::Waiting;
                // The response can't have arrived yet; its arrival is reported as readiness.
                return Ok(Progress::Blocked);
            }
            // The upstream responds before it has the complete request: the rest is not sent.
            *stage = Stage::Reading;
            buffer.consume(buffer.filled().len());
        }
        loop {
            let room = buffer.room();
            if room.is_empty() {
                return Err(Cause::Answer(MessageError::BodyTooLarge));
            }
            let n = match self.socket.get().read(room) {
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Progress::Blocked),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(Cause::Socket(e)),
            };
            buffer.add(n);
            *stage = if n > 0 { Stage::Reading } else { *stage };
            skip_interim(buffer, &mut self.interim).map_err(Cause::Answer)?;
            if buffer.is_empty() && n > 0 {
                // Only interim responses so far: the final one has not begun.
                *stage = Stage::Waiting;
            }
            match read_answer(buffer.filled(), n == 0) {
                Ok(None) => {}
                Ok(Some(mut answer)) => {
                    answer.keep_alive &= !self.more;
                    return Ok(Progress::Answered(answer));
                }
                Err(MessageError::BodyTooLarge) if !self.more => {
                    let begun = large_answer(buffer.filled()).map_err(Cause::Answer)?;
                    return begun.map(Progress::Begun).ok_or(Cause::Answer(MessageError::BodyTooLarge));
                }
                Err(bad) => return Err(Cause::Answer(bad)),
            }
            if n == 0 {
                return Err(Cause::Closed);
            }
            compact_chunks(buffer);
            if buffer.is_full() {
                // The buffer is still full after the chunks were merged.
                let begun = large_answer(buffer.filled()).map_err(Cause::Answer)?;
                return begun.map(Progress::Begun).ok_or(Cause::Answer(MessageError::BodyTooLarge));
            }
        }
    }

    /// Whether an idle connection is still open and has no unread bytes.
    pub fn is_fresh(&self) -> bool {
        let waiting = self.socket.get().peek(&mut [0]);
        matches!(waiting, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Whether bytes have arrived before a response is expected; a close is an error.
fn has_unexpected_bytes(socket: &Watched<TcpStream>) -> Result<bool, Cause> {
    match socket.get().peek(&mut [0]) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(Cause::Socket(e)),
        Ok(0) => Err(Cause::Closed),
        Ok(_) => Ok(true),
    }
}

/// Space reserved in an attempt's buffer for the header line that [`compose`] adds, in bytes.
pub const TIME_LINE: usize = 64;

/// Writes an attempt's request into a buffer: the request's head, the header with the attempt's time limit, and the body.
/// `None` if no buffer is available or the request doesn't fit.
pub fn compose(pool: &mut Pool, head: &[u8], body: &[u8], limit: Micros) -> Option<Buffer> {
    let mut buffer = pool.take()?;
    let last = format!("{TIME_LEFT}: {}\r\n\r\n", (limit.max(0) + 999) / 1000);
    if buffer.append(head) && buffer.append(last.as_bytes()) && buffer.append(body) {
        return Some(buffer);
    }
    pool.put_back(buffer);
    None
}

/// Merges the chunks of an incomplete chunked body to free space in the buffer.
fn compact_chunks(buffer: &mut Buffer) {
    let mut room = http::empty_headers();
    let chunked = match http::response_head(buffer.filled(), &mut room) {
        Ok(Some(head)) if head.framing == http::Framing::Chunked => head.len,
        _ => return,
    };
    http::merge_chunks(buffer, chunked, if buffer.is_full() { 2 } else { http::MIN_CHUNKS_TO_MERGE });
}

/// Maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Removes interim (1xx) responses from the front of the buffer.
fn skip_interim(buffer: &mut Buffer, skipped: &mut u32) -> Result<(), MessageError> {
    loop {
        let len = match http::response_head(buffer.filled(), &mut http::empty_headers())? {
            Some(head) if (100..200).contains(&head.status) => head.len,
            _ => return Ok(()),
        };
        buffer.consume(len);
        *skipped += 1;
        if *skipped > MAX_INTERIM_RESPONSES {
            return Err(MessageError::Malformed("interim answers without end"));
        }
    }
}

/// Parses the response in `bytes`; `None` until it is complete.
pub fn read_answer(bytes: &[u8], closed: bool) -> Result<Option<Answer>, MessageError> {
    let mut room = http::empty_headers();
    let Some(head) = http::response_head(bytes, &mut room)? else { return Ok(None) };
    // A response without a length is complete when its connection is closed in an orderly way. After a reset this point is
    // not reached: a failed read does not count as a close.
    let Some(body) = http::body(bytes, head.len, head.framing, closed)? else { return Ok(None) };
    // Bytes after the response belong to no request: the connection is not reused.
    let keep_alive = head.keep_alive && body.end == bytes.len();
    let unprocessed = head.headers.all("X-Unprocessed").any(|v| v.trim_ascii() == b"1");
    let report = match head.status {
        200 => Report::Served,
        // Only this header shows that the request was not executed.
        503 | 504 if unprocessed => Report::Rejected,
        _ => Report::Error,
    };
    let mut lines = Vec::new();
    head.headers.forward(&mut lines, &[statement::HEADER]);
    // A repeated offer header is ambiguous and is ignored.
    let offer = head.headers.one(statement::HEADER).ok().flatten().map(str::to_string);
    Ok(Some(Answer { report, lines, offer, parts: body.parts, keep_alive }))
}

/// Parses the head of a response to be relayed as it arrives; `None` if it is not of that kind: only those with status 200
/// are.
fn large_answer(bytes: &[u8]) -> Result<Option<Begun>, MessageError> {
    let mut room = http::empty_headers();
    let Some(head) = http::response_head(bytes, &mut room)?.filter(|h| h.status == 200) else {
        return Ok(None);
    };
    let mut lines = Vec::new();
    head.headers.forward(&mut lines, &[statement::HEADER]);
    Ok(Some(Begun { lines, head: head.len, framing: head.framing, keep_alive: head.keep_alive }))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report_of(text: &str) -> Option<Report> {
        read_answer(text.as_bytes(), false).expect("well-formed").map(|a| a.report)
    }

    #[test]
    fn rejected_unprocessed_requires_the_header() {
        let text =
            |status: &str, more: &str| format!("HTTP/1.1 {status} X\r\n{more}Content-Length: 0\r\n\r\n");
        assert_eq!(report_of(&text("503", "X-Unprocessed: 1\r\n")), Some(Report::Rejected));
        assert_eq!(report_of(&text("504", "x-unprocessed: 1\r\n")), Some(Report::Rejected));
        assert_eq!(report_of(&text("503", "")), Some(Report::Error));
        assert_eq!(report_of(&text("503", "X-Unprocessed: 0\r\n")), Some(Report::Error));
        assert_eq!(report_of(&text("500", "X-Unprocessed: 1\r\n")), Some(Report::Error));
        assert_eq!(report_of(&text("200", "")), Some(Report::Served));
    }

    #[test]
    fn an_answer_counts_only_when_it_is_whole() {
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nA: 1\r\n\r\nabc";
        for cut in 0..text.len() {
            assert_eq!(report_of(&text[..cut]), None);
        }
        let answer = read_answer(text.as_bytes(), false).expect("well-formed").expect("whole");
        assert_eq!((answer.lines.as_slice(), answer.keep_alive), (&b"A: 1\r\n"[..], true));
        let more = read_answer(format!("{text}x").as_bytes(), false).expect("well-formed").expect("whole");
        assert!(!more.keep_alive, "a connection with bytes after its response is not reused");
    }

    #[test]
    fn invalid_framing_is_detected_from_the_head() {
        let parsed = |lines: &str| read_answer(format!("HTTP/1.1 200 OK\r\n{lines}\r\n").as_bytes(), false);
        for lines in [
            "Content-Length: 3221225472\r\n",
            "Content-Length: -1\r\n",
            "Content-Length: 5x\r\n",
            "Content-Length: 1\r\nContent-Length: 2\r\n",
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        ] {
            assert!(parsed(lines).is_err(), "{lines}");
        }
        assert_eq!(
            parsed("X-Backend-Load: \u{fffd}?=;;\r\nContent-Length: 0\r\n").map(|a| a.is_some()),
            Ok(true)
        );
    }

    #[test]
    fn interim_answers_are_skipped_but_not_without_end() {
        let mut buffer = Pool::new(0).take().expect("room");
        let mut skipped = 0;
        for _ in 0..MAX_INTERIM_RESPONSES {
            assert!(buffer.append(b"HTTP/1.1 102 Wait\r\n\r\n"));
            assert_eq!(skip_interim(&mut buffer, &mut skipped), Ok(()));
        }
        assert!(buffer.is_empty() && buffer.append(b"HTTP/1.1 102 Wait\r\n\r\n"));
        assert!(skip_interim(&mut buffer, &mut skipped).is_err());
    }

    #[test]
    fn how_far_it_had_come_tells_whether_it_may_have_run() {
        let report = |stage, cause| AttemptError { stage, cause }.report();
        for stage in [Stage::Connecting, Stage::Writing] {
            assert_eq!(report(stage, Cause::Closed), Report::NotDelivered);
        }
        assert_eq!(report(Stage::Connecting, Cause::NoRoom), Report::NotSent);
        for stage in [Stage::Waiting, Stage::Reading] {
            assert_eq!(report(stage, Cause::Closed), Report::Reset);
            assert_eq!(report(stage, Cause::Answer(MessageError::BodyTooLarge)), Report::Error);
        }
    }

    #[test]
    fn an_attempt_states_how_long_it_is_waited_for() {
        let mut pool = Pool::new(0);
        let buffer = compose(&mut pool, b"GET / HTTP/1.1\r\n", b"xy", 1_500).expect("room");
        assert_eq!(buffer.filled(), b"GET / HTTP/1.1\r\nX-Time-Left-Ms: 2\r\n\r\nxy");
    }
}
