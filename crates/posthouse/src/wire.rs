//! One HTTP/1.1 connection of either side: heads and bodies read and written, by the framing of `silvercross-net`. Knows no
//! route and no upstream.
use crate::broken::{self, Broken};
use crate::freight::Share;
use bytes::{Buf, Bytes, BytesMut};
use httparse::{Header, EMPTY_HEADER};
use silvercross_net::http::{self, Bad, Framing, Limits};
use silvercross_net::stream::Decoder;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A body up to this is held whole, so that it can be sent again where it did not run; a larger one is passed on as it comes.
pub const HELD: usize = 1 << 20;
/// The largest head of a client's request, or of an upstream's answer, whatever the operator allows.
pub const HEAD: usize = 64 * 1024;
/// A hop's head may be so much larger: by what the sidecar before adds.
const ADDED: usize = 4 * 1024;
/// Header lines of a client's request, or of an upstream's answer.
const LINES: usize = 64;
/// A hop may have so many more.
const LINES_ADDED: usize = 8;
/// Read at a time.
const PIECE: usize = 16 * 1024;
/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Header lines that this program sets itself, or that are for it alone.
const OURS: [&str; 6] = ["deadline-ms", "expect-station", "sender", "host", WAYBILL, ROUND];
/// On a hop between sidecars: what the gate is to know of the request.
pub const WAYBILL: &str = "waybill";
/// On a hop's answer: the gate's own word, as against the upstream's.
pub const ROUND: &str = "waybill-return";
/// On a hop's answer, the first on its connection and those to who asks: the life of the gate's process.
pub const LIFE: &str = "waybill-life";

/// Why a message could not be read.
#[derive(Debug)]
pub enum Wrong {
    /// The connection ended between two messages.
    Closed,
    /// It ended, or broke, within one.
    Broken,
    /// What came is not a message within the bounds.
    Bad(Bad),
    /// It did not come in time.
    Late,
    /// There is no room for its body among those held here.
    NoRoom,
}

/// Who is at the other end of a connection: what it may send goes by that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A client, an upstream, an operator: heads of so many bytes, [`HEAD`] at most.
    Outer(usize),
    /// Another sidecar: what an outer end may send, and the lines that a sidecar adds.
    Hop,
}

impl End {
    /// Bytes and lines of a head.
    fn most(self) -> (usize, usize) {
        match self {
            End::Outer(bytes) => (bytes.min(HEAD), LINES),
            End::Hop => (HEAD + ADDED, LINES + LINES_ADDED),
        }
    }
}

/// Room for the lines of any head.
type Room<'b> = [Header<'b>; LINES + LINES_ADDED];

impl From<io::Error> for Wrong {
    fn from(_: io::Error) -> Self {
        Wrong::Broken
    }
}

impl From<Bad> for Wrong {
    fn from(bad: Bad) -> Self {
        Wrong::Bad(bad)
    }
}

/// The head of a request, in owned parts.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The `Host` line.
    pub host: String,
    /// Its `Attempt-Id`.
    pub id: Option<String>,
    /// How long its client waits, in microseconds.
    pub deadline: Option<i64>,
    /// The upstream that it is meant for.
    pub expects: Option<String>,
    /// On a hop: the origin's waybill.
    pub waybill: Option<String>,
    /// On a hop: the service it began at.
    pub sender: Option<String>,
    /// Header lines that go on, each with its line end.
    pub lines: Vec<u8>,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection may carry another.
    pub keep_alive: bool,
    /// It waits to be told to send its body.
    pub waits: bool,
    /// HTTP/1.0.
    pub old: bool,
}

/// An answer: whole, or its head and the first part of its body.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Header lines that go on, each with its line end.
    pub lines: Vec<u8>,
    /// Its `Attempt-Id`.
    pub id: Option<String>,
    /// The life of the upstream that says so itself.
    pub station: Option<String>,
    /// It has the upstream's stamp.
    pub stamped: bool,
    /// It says that the request did not run.
    pub not_delivered: bool,
    /// It has a content coding, which nobody asked for.
    pub coded: bool,
    /// How long its upstream is still cold, in microseconds.
    pub cold: Option<i64>,
    /// On a hop: the gate's own word.
    pub word: Option<String>,
    /// On a hop: the life of the gate's process.
    pub life: Option<u64>,
    /// The connection may carry another request.
    pub keep_alive: bool,
    /// After how long idle it will be closed, in seconds.
    pub idle: Option<u64>,
    /// Its length, where it states one.
    pub length: Option<u64>,
    /// Its body, up to [`HELD`].
    pub body: Vec<u8>,
    /// What comes behind that.
    pub tail: Option<Box<crate::hop::Tail>>,
    /// Its place among the bodies held here.
    pub share: Option<Share>,
}

#[derive(Debug)]
enum Side {
    Whole(TcpStream),
    /// The writing half is somewhere else meanwhile.
    Reading(OwnedReadHalf),
    /// It was taken for a moment.
    None,
}

/// A connection and what has come on it that was not yet read.
#[derive(Debug)]
pub struct Line {
    side: Side,
    come: BytesMut,
    /// Who is at its other end.
    pub end: End,
}

/// Who called an exchange off, as seen from the other end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stir {
    /// Something came.
    More,
    /// The other end closed in order.
    Closed,
    /// The connection broke.
    Broke,
}

fn text(v: Option<&str>) -> Option<String> {
    v.map(str::to_string)
}

impl Line {
    /// Over a connection that is up.
    pub fn new(stream: TcpStream, end: End) -> Self {
        let _ = stream.set_nodelay(true);
        Line { side: Side::Whole(stream), come: BytesMut::new(), end }
    }

    /// Nothing came that was not asked for, and the other end has not closed. The system is asked, not the reactor: that knows
    /// only of what had come when it last looked.
    pub fn is_fresh(&self) -> bool {
        let Side::Whole(stream) = &self.side else { return false };
        if broken::is(Broken::SurplusKept) {
            return true;
        }
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = socket2::SockRef::from(stream).peek(&mut byte);
        self.come.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Something came behind the last message.
    pub fn has_surplus(&self) -> bool {
        !self.come.is_empty() && !broken::is(Broken::SurplusKept)
    }

    /// Whether both halves are here.
    pub fn is_joined(&self) -> bool {
        matches!(self.side, Side::Whole(_))
    }

    /// Take the writing half out, so that both directions can go on at the same time.
    pub fn split(&mut self) -> Option<OwnedWriteHalf> {
        match std::mem::replace(&mut self.side, Side::None) {
            Side::Whole(stream) => {
                let (read, write) = stream.into_split();
                self.side = Side::Reading(read);
                Some(write)
            }
            other => {
                self.side = other;
                None
            }
        }
    }

    /// Put the writing half back.
    pub fn join(&mut self, write: OwnedWriteHalf) {
        if let Side::Reading(read) = std::mem::replace(&mut self.side, Side::None) {
            self.side = read.reunite(write).map_or(Side::None, Side::Whole);
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.come.reserve(PIECE);
        match &mut self.side {
            Side::Whole(stream) => stream.read_buf(&mut self.come).await,
            Side::Reading(read) => read.read_buf(&mut self.come).await,
            Side::None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Wait until something comes or the connection ends. What came is kept.
    pub async fn stirs(&mut self) -> Stir {
        match self.fill().await {
            Ok(0) => Stir::Closed,
            Ok(_) => Stir::More,
            Err(_) => Stir::Broke,
        }
    }

    /// Wait for the first byte of a request; `false`: none came, or the connection ended.
    pub async fn awaits(&mut self, idle: Duration) -> bool {
        !self.come.is_empty() || matches!(timeout(idle, self.fill()).await, Ok(Ok(n)) if n > 0)
    }

    /// Read the head of a request: at most `idle` for its first byte, `whole` from there on; a stated length of `body` at most.
    pub async fn request(&mut self, idle: Duration, whole: Duration, body: usize) -> Result<Asked, Wrong> {
        let (most, lines) = self.end.most();
        let limits = Limits { head: most, body };
        if self.come.is_empty() {
            match timeout(idle, self.fill()).await {
                Err(_) | Ok(Ok(0)) => return Err(Wrong::Closed),
                Ok(r) => r.map_err(|_| Wrong::Closed)?,
            };
        }
        let read = async {
            loop {
                // An empty line ahead of a request is passed over (RFC 9112, 2.2).
                while self.come.starts_with(b"\r\n") {
                    self.come.advance(2);
                }
                if let Some((len, asked)) = asked(&self.come, limits, lines)? {
                    self.come.advance(len);
                    return Ok(asked);
                }
                if self.fill().await? == 0 {
                    return Err(if self.come.is_empty() { Wrong::Closed } else { Wrong::Broken });
                }
            }
        };
        timeout(whole, read).await.unwrap_or(Err(Wrong::Late))
    }

    /// Read a body whole, of `most` bytes at the most.
    pub async fn body(&mut self, framing: Framing, most: usize) -> Result<Vec<u8>, Wrong> {
        let mut decoder = Decoder::new(framing, most);
        let mut body = Vec::new();
        if let Framing::Length(n) = framing {
            if n > most {
                return Err(Wrong::Bad(Bad::BodyTooLarge));
            }
            body.reserve_exact(n);
        }
        while !decoder.is_done() {
            if self.piece(&mut decoder, &mut body)? {
                continue;
            }
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(Wrong::Broken);
            }
        }
        Ok(body)
    }

    /// Read a body as far as it is held: whole, or its first [`HELD`] bytes and not many more. `false`: there is more of it.
    /// [`Wrong::NoRoom`] where its share grows no further, unless it can be passed on from there (`passes`).
    pub async fn held(
        &mut self,
        decoder: &mut Decoder,
        stated: Option<usize>,
        share: &mut Share,
        passes: bool,
    ) -> Result<(Vec<u8>, bool), Wrong> {
        let mut body = Vec::new();
        body.reserve_exact(stated.unwrap_or(0).min(HELD));
        while !decoder.is_done() {
            let had = body.len();
            if self.piece(decoder, &mut body)? {
                match share.more((body.len() - had) as u64) {
                    true => continue,
                    false if decoder.is_done() || passes => return Ok((body, decoder.is_done())),
                    false => return Err(Wrong::NoRoom),
                }
            }
            if body.len() >= HELD {
                return Ok((body, false));
            }
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(Wrong::Broken);
            }
        }
        Ok((body, true))
    }

    /// The next piece of a body; `None`: it has come whole.
    pub async fn next(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, Wrong> {
        loop {
            if decoder.is_done() {
                return Ok(None);
            }
            if let Some((skip, n)) = decoder.next(&self.come)? {
                self.come.advance(skip);
                if n > 0 {
                    return Ok(Some(self.come.split_to(n).freeze()));
                }
                if skip > 0 {
                    continue;
                }
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(Wrong::Broken);
            }
        }
    }

    /// Take one piece of a body that has come; `false` if more has to come first.
    fn piece(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<bool, Wrong> {
        let Some((skip, n)) = decoder.next(&self.come)? else { return Ok(false) };
        self.come.advance(skip);
        body.extend_from_slice(&self.come[..n]);
        self.come.advance(n);
        Ok(skip + n > 0)
    }

    /// Read an answer: whole, if it has not more than [`HELD`] bytes, else the first part of it and how the rest is to be
    /// read. `of` is the request's id: whole answers that carry another one are passed over, since they belong to a request
    /// before; a connection that brought one carries no further request. `bodiless`: to a HEAD. `go`: a word to go on with the body (100) is returned as well.
    pub async fn answer(
        &mut self,
        of: &str,
        bodiless: bool,
        go: bool,
        mut share: Share,
    ) -> Result<(Answer, Option<Decoder>), Wrong> {
        let (most, lines) = self.end.most();
        let limits = Limits { head: most, body: usize::MAX };
        let mut passed_over = false;
        loop {
            let Some((len, mut answer, framing)) = answered(&self.come, limits, lines, self.end == End::Hop)?
            else {
                if self.fill().await? == 0 {
                    return Err(if self.come.is_empty() { Wrong::Closed } else { Wrong::Broken });
                }
                continue;
            };
            self.come.advance(len);
            if (100..200).contains(&answer.status) {
                if go && answer.status == 100 {
                    answer.share = Some(share);
                    return Ok((answer, None));
                }
                continue;
            }
            let mut decoder = Decoder::new(framing, usize::MAX);
            if bodiless {
                decoder = Decoder::new(Framing::Length(0), 0);
            }
            let stated = match framing {
                Framing::Length(n) => Some(n),
                _ => None,
            };
            answer.length = stated.map(|n| n as u64);
            let mut whole = true;
            if !decoder.is_done() {
                (answer.body, whole) = self.held(&mut decoder, stated, &mut share, true).await?;
            }
            match &answer.id {
                Some(id) if id != of => {
                    if !whole {
                        // Too much to be passed over.
                        return Err(Wrong::Broken);
                    }
                    share.empty();
                    passed_over = true;
                    continue;
                }
                _ => {
                    answer.keep_alive &= !passed_over;
                    answer.share = Some(share);
                    return Ok((answer, (!whole).then_some(decoder)));
                }
            }
        }
    }

    /// Write bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.side {
            Side::Whole(stream) => stream.write_all(bytes).await,
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// The next close is a reset: what went out can't be taken for whole.
    pub fn abort(&mut self) {
        if let Side::Whole(stream) = &self.side {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Close the writing half in order.
    pub async fn finish(&mut self) {
        if let Side::Whole(stream) = &mut self.side {
            let _ = stream.shutdown().await;
        }
    }

    /// Read away what still comes, for a moment: a close with bytes unread resets, and the answer would be lost.
    pub async fn drain(&mut self, span: Duration) {
        let read = async {
            let mut left = 1 << 20;
            while let Ok(n) = self.fill().await {
                self.come.clear();
                if n == 0 || left < n {
                    break;
                }
                left -= n;
            }
        };
        let _ = timeout(span, read).await;
    }
}

fn asked(bytes: &[u8], limits: Limits, lines: usize) -> Result<Option<(usize, Asked)>, Wrong> {
    let mut room: Room = [EMPTY_HEADER; LINES + LINES_ADDED];
    let room = &mut room[..lines];
    let Some(head) = http::request_head_within(bytes, room, limits)? else { return Ok(None) };
    let h = &head.headers;
    let mut lines = Vec::with_capacity(256);
    h.forward(&mut lines, &OURS);
    let host = h.one("host")?;
    if host.is_none() && !head.old {
        return Err(Wrong::Bad(Bad::Malformed("no Host line")));
    }
    let deadline = match h.one("deadline-ms")? {
        None => None,
        Some(t) => {
            let ms = t.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms >= 0.0);
            Some((ms.ok_or(Bad::Malformed("Deadline-Ms is no number"))?.min(1e9) * 1e3) as i64)
        }
    };
    let asked = Asked {
        method: head.method.to_string(),
        target: http::origin_form(head.target).to_string(),
        host: host.unwrap_or("").to_string(),
        // An empty one tells no answer from another.
        id: text(h.one("attempt-id")?).filter(|id| !id.is_empty()),
        deadline,
        expects: text(h.one("expect-station")?),
        waybill: text(h.one(WAYBILL)?),
        sender: h.all("sender").last().and_then(|v| std::str::from_utf8(v).ok()).map(str::to_string),
        lines,
        framing: head.framing,
        keep_alive: head.keep_alive,
        waits: h.lists("expect", "100-continue"),
        old: head.old,
    };
    Ok(Some((head.len, asked)))
}

fn answered(
    bytes: &[u8],
    limits: Limits,
    lines: usize,
    hop: bool,
) -> Result<Option<(usize, Answer, Framing)>, Wrong> {
    let mut room: Room = [EMPTY_HEADER; LINES + LINES_ADDED];
    let room = &mut room[..lines];
    let Some(head) = http::answer_head_within(bytes, room, limits)? else { return Ok(None) };
    let h = &head.headers;
    let mut lines = Vec::with_capacity(256);
    h.forward(&mut lines, &[ROUND, LIFE]);
    let idle = h.one("keep-alive")?.and_then(|v| {
        v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")).and_then(|t| t.parse().ok())
    });
    let cold = h.one("cold-ms")?.and_then(|t| t.parse::<f64>().ok()).filter(|ms| ms.is_finite());
    let answer = Answer {
        status: head.status,
        lines,
        id: text(h.one("attempt-id")?),
        station: text(h.one("station")?),
        stamped: h.all("postmark").next().is_some(),
        not_delivered: h.all("not-delivered").next().is_some(),
        coded: h.all("content-encoding").next().is_some(),
        cold: cold.map(|ms| (ms.clamp(0.0, 1e9) * 1e3) as i64),
        word: hop.then(|| h.one(ROUND)).transpose()?.flatten().map(str::to_string),
        life: match hop {
            true => h.one(LIFE)?.and_then(|t| u64::from_str_radix(t, 16).ok()),
            false => None,
        },
        keep_alive: head.keep_alive,
        idle,
        length: None,
        body: Vec::new(),
        tail: None,
        share: None,
    };
    Ok(Some((head.len, answer, head.framing)))
}

/// The words of a status line.
pub fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// The bytes of a whole answer: header lines, then a length, then the body; `close`: the connection ends behind it.
pub fn whole(status: u16, lines: &[u8], body: &[u8], close: bool, bodiless: bool) -> Vec<u8> {
    let room = lines.len() + body.len() + 96;
    let mut out = head(status, lines, Size::Length(body.len() as u64), close, room);
    if !bodiless {
        out.extend_from_slice(body);
    }
    out
}

/// How the end of a body that is written is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunks,
    /// By the connection's end.
    Close,
}

/// The bytes of an answer's head.
pub fn head(status: u16, lines: &[u8], size: Size, close: bool, room: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(room);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    out.extend_from_slice(lines);
    if status != 204 && status != 304 {
        match size {
            Size::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
            Size::Chunks => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
            Size::Close => {}
        }
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// The bytes that an answer begins with whose rest is still coming, and how its end is told. `old`: to a client that knows no
/// chunks; where no length is stated the connection's end has to do.
pub fn begun(
    status: u16,
    lines: &[u8],
    body: &[u8],
    length: Option<u64>,
    close: bool,
    old: bool,
) -> (Vec<u8>, Size) {
    let size = match length {
        Some(n) => Size::Length(n),
        None if old => Size::Close,
        None => Size::Chunks,
    };
    let room = lines.len() + body.len() + 128;
    let mut out = head(status, lines, size, close || size == Size::Close, room);
    let chunk = size == Size::Chunks && !body.is_empty();
    if chunk {
        out.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(body);
    if chunk {
        out.extend_from_slice(b"\r\n");
    }
    (out, size)
}

/// Write a piece of a body.
pub async fn write_piece(to: &mut (impl AsyncWriteExt + Unpin), bytes: &[u8], size: Size) -> io::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    if size == Size::Chunks {
        to.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
        to.write_all(bytes).await?;
        return to.write_all(b"\r\n").await;
    }
    to.write_all(bytes).await
}

/// What a fault in a message is answered with.
pub fn status_of(bad: &Bad) -> u16 {
    match bad {
        Bad::HeadTooLarge => 431,
        Bad::BodyTooLarge => 413,
        Bad::TooManyAhead => 429,
        Bad::IdInUse => 409,
        Bad::Malformed(_) => 400,
    }
}
