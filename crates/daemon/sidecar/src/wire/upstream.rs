//! The upstreams' side: an attempt written, its answer read whole.
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

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The connection is not up yet.
    Connecting,
    /// Its last byte is not written yet.
    Writing,
    /// It is written whole; nothing has come back.
    Waiting,
    /// Part of the answer has come.
    Reading,
    /// The answer goes on to the client as it comes.
    Passing,
}

/// What ended an attempt.
#[derive(Debug)]
pub enum Cause {
    /// The socket failed.
    Socket(io::Error),
    /// The connection was not up in time.
    NotInTime,
    /// The other end closed the connection.
    Closed,
    /// The answer cannot be understood, or is larger than allowed.
    Answer(MessageError),
    /// There was no buffer or no descriptor left for it.
    NoRoom,
}

/// An attempt that failed without a whole answer: why, and how far it had come.
#[derive(Debug)]
pub struct AttemptError {
    /// How far.
    pub stage: Stage,
    /// Why.
    pub cause: Cause,
}

impl AttemptError {
    /// What the module is to hear. Before its last byte was written an attempt cannot have run; after that it may
    /// have, on a connection used before just as on a new one.
    pub fn report(&self) -> Report {
        match (self.stage, &self.cause) {
            // The want was here: it tells nothing of the upstream, and must not exclude it.
            (Stage::Connecting, Cause::NoRoom) => Report::NotSent,
            (Stage::Connecting | Stage::Writing, _) => Report::NotDelivered,
            (_, Cause::Answer(_)) => Report::Error,
            _ => Report::Reset,
        }
    }
}

/// A whole answer, still in its buffer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// What it tells of the attempt.
    pub report: Report,
    /// Its header lines, as they go on.
    pub lines: Vec<u8>,
    /// What a far gateway offers with it.
    pub offer: Option<String>,
    /// Where its body lies.
    pub parts: Vec<Range<usize>>,
    /// The connection may carry another request.
    pub keep_alive: bool,
}

/// An answer too large for a buffer, of which the head has come.
#[derive(Debug, PartialEq)]
pub struct Begun {
    /// Its header lines, as they go on.
    pub lines: Vec<u8>,
    /// The bytes of its head.
    pub head: usize,
    /// How its body is framed.
    pub framing: Framing,
    /// The connection may carry another request.
    pub keep_alive: bool,
}

/// An answer that goes on as it comes.
pub struct Passing {
    /// Whose it is.
    pub client: Handle,
    /// What is still to come of it.
    pub body: Decoder,
    /// It goes on in chunks.
    pub chunked: bool,
    /// The connection may carry another request afterwards.
    pub keep_alive: bool,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Carrying this attempt, which has come so far.
    Busy(Attempt, Stage),
    /// Waiting for the next one.
    Idle,
}

/// A connection to an upstream.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// Which upstream it goes to.
    pub upstream: Upstream,
    /// At which address.
    pub to: SocketAddr,
    /// What it is doing.
    pub work: Work,
    /// The request on its way out, then the answer on its way in.
    pub buffer: Option<Buffer>,
    /// When it last began to idle, or was made.
    pub since: Micros,
    /// Whether the present request's last byte waits until the connection has shown that it stands.
    pub held: bool,
    /// Whether the timer for that is set.
    pub timed: bool,
    /// When the present request was begun on it.
    pub sent_at: Micros,
    /// Interim answers that have come ahead of the present one.
    pub interim: u32,
    /// More of the present request's body is to come.
    pub more: bool,
    /// The answer that goes on as it comes.
    pub passing: Option<Passing>,
}

/// How far [`Conn::advance`] has come.
#[derive(Debug)]
pub enum Progress {
    /// It waits for the socket.
    Blocked,
    /// All but the last byte is written.
    Held,
    /// What has come of the request is written, and more of it is awaited.
    Wants,
    /// An answer that is too large to be read whole.
    Begun(Begun),
    /// The answer is here.
    Answered(Answer),
}

impl Conn {
    /// Carry the attempt as far as the socket lets it.
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
                    // All but the last byte is out. An upstream that closes or resets this connection now, or says
                    // something out of turn, has not got the request: it never ran.
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
                        if self.more && speaks(&self.socket)? {
                            break;
                        }
                        return Ok(Progress::Blocked);
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) => return Err(Cause::Socket(e)),
                }
            }
            if self.more && !speaks(&self.socket)? {
                return Ok(Progress::Wants);
            }
            self.socket.set(Interest::Read).map_err(Cause::Socket)?;
            if !self.more {
                *stage = Stage::Waiting;
                // The answer cannot be here yet; readiness will tell.
                return Ok(Progress::Blocked);
            }
            // It answers a request that it has not got whole: nothing more of that is sent.
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
                // Only interim answers so far: the answer itself has not begun.
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
            tighten(buffer);
            if buffer.is_full() {
                // The framing of its chunks alone fills a buffer.
                let begun = large_answer(buffer.filled()).map_err(Cause::Answer)?;
                return begun.map(Progress::Begun).ok_or(Cause::Answer(MessageError::BodyTooLarge));
            }
        }
    }

    /// Whether an idle connection still stands: nothing has come on it, not even its end.
    pub fn is_fresh(&self) -> bool {
        let waiting = self.socket.get().peek(&mut [0]);
        matches!(waiting, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Whether something has come where nothing is due yet; an end is an error.
fn speaks(socket: &Watched<TcpStream>) -> Result<bool, Cause> {
    match socket.get().peek(&mut [0]) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(Cause::Socket(e)),
        Ok(0) => Err(Cause::Closed),
        Ok(_) => Ok(true),
    }
}

/// Room in an attempt's buffer for the line that [`compose`] adds.
pub const TIME_LINE: usize = 64;

/// Fill a buffer with an attempt's bytes: the request's own head and body, and how long this attempt is waited for.
/// `None` if no buffer can be had or they do not fit.
pub fn compose(pool: &mut Pool, head: &[u8], body: &[u8], limit: Micros) -> Option<Buffer> {
    let mut buffer = pool.take()?;
    let last = format!("{TIME_LEFT}: {}\r\n\r\n", (limit.max(0) + 999) / 1000);
    if buffer.append(head) && buffer.append(last.as_bytes()) && buffer.append(body) {
        return Some(buffer);
    }
    pool.put_back(buffer);
    None
}

/// Save room in an answer that is not whole, where its body comes in chunks.
fn tighten(buffer: &mut Buffer) {
    let mut room = http::empty_headers();
    let chunked = match http::response_head(buffer.filled(), &mut room) {
        Ok(Some(head)) if head.framing == http::Framing::Chunked => head.len,
        _ => return,
    };
    http::merge_chunks(buffer, chunked, if buffer.is_full() { 2 } else { http::MIN_CHUNKS_TO_MERGE });
}

/// More interim answers than this ahead of one are no answer.
const INTERIM: u32 = 16;

/// Interim answers (1xx) say nothing here.
fn skip_interim(buffer: &mut Buffer, skipped: &mut u32) -> Result<(), MessageError> {
    loop {
        let len = match http::response_head(buffer.filled(), &mut http::empty_headers())? {
            Some(head) if (100..200).contains(&head.status) => head.len,
            _ => return Ok(()),
        };
        buffer.consume(len);
        *skipped += 1;
        if *skipped > INTERIM {
            return Err(MessageError::Malformed("interim answers without end"));
        }
    }
}

/// The answer that `bytes` hold; `None` while it is not whole.
pub fn read_answer(bytes: &[u8], closed: bool) -> Result<Option<Answer>, MessageError> {
    let mut room = http::empty_headers();
    let Some(head) = http::response_head(bytes, &mut room)? else { return Ok(None) };
    // One without a length is whole when its connection ends in order. What a reset leaves of it never comes here: a
    // read that fails is no end.
    let Some(body) = http::body(bytes, head.len, head.framing, closed)? else { return Ok(None) };
    // Bytes behind the answer belong to nothing: such a connection is not used again.
    let keep_alive = head.keep_alive && body.end == bytes.len();
    let unseen = head.headers.all("X-Unprocessed").any(|v| v.trim_ascii() == b"1");
    let report = match head.status {
        200 => Report::Served,
        // Only with the header is it known that it never ran.
        503 | 504 if unseen => Report::Rejected,
        _ => Report::Error,
    };
    let mut lines = Vec::new();
    head.headers.forward(&mut lines, &[statement::HEADER]);
    // Stated twice it could be read in two ways, and is not read at all.
    let offer = head.headers.one(statement::HEADER).ok().flatten().map(str::to_string);
    Ok(Some(Answer { report, lines, offer, parts: body.parts, keep_alive }))
}

/// The head of an answer that is passed on as it comes; `None` for one that is not.
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
    fn turned_away_needs_its_header() {
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
        assert!(!more.keep_alive, "a connection with bytes behind its answer is out of step");
    }

    #[test]
    fn a_spoilt_answer_is_known_by_its_head() {
        let judged = |lines: &str| read_answer(format!("HTTP/1.1 200 OK\r\n{lines}\r\n").as_bytes(), false);
        for lines in [
            "Content-Length: 3221225472\r\n",
            "Content-Length: -1\r\n",
            "Content-Length: 5x\r\n",
            "Content-Length: 1\r\nContent-Length: 2\r\n",
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        ] {
            assert!(judged(lines).is_err(), "{lines}");
        }
        assert_eq!(
            judged("X-Backend-Load: \u{fffd}?=;;\r\nContent-Length: 0\r\n").map(|a| a.is_some()),
            Ok(true)
        );
    }

    #[test]
    fn interim_answers_are_skipped_but_not_without_end() {
        let mut buffer = Pool::new(0).take().expect("room");
        let mut skipped = 0;
        for _ in 0..INTERIM {
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
