//! One HTTP/1.1 connection of either side: heads and bodies read and written, by the framing of `silvercross-net`. Knows no
//! route and no upstream.
use bytes::{Buf, BytesMut};
use silvercross_net::http::{self, Bad, Framing};
use silvercross_net::stream::Decoder;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A body up to this is held whole, so that it can be sent again where it did not run; a larger one is passed on as it comes.
pub const HELD: usize = 1 << 20;
/// The largest head that a hop carries.
pub const HEAD: usize = 16 * 1024;
/// Read at a time.
const PIECE: usize = 16 * 1024;
/// Header lines that this program sets itself, or that are for it alone.
const OURS: [&str; 6] = ["deadline-ms", "expect-station", "sender", "host", WAYBILL, ROUND];
/// On a hop between sidecars: what the gate is to know of the request.
pub const WAYBILL: &str = "waybill";
/// On a hop's answer: the gate's own word, as against the upstream's.
pub const ROUND: &str = "waybill-return";

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
}

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

/// A whole answer.
#[derive(Clone, Debug)]
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
    /// The connection may carry another request.
    pub keep_alive: bool,
    /// After how long idle it will be closed, in seconds.
    pub idle: Option<u64>,
    /// Its body.
    pub body: Vec<u8>,
}

/// A connection and what has come on it that was not yet read.
pub struct Line {
    stream: TcpStream,
    come: BytesMut,
}

fn text(v: Option<&str>) -> Option<String> {
    v.map(str::to_string)
}

impl Line {
    /// Over a connection that is up.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Line { stream, come: BytesMut::new() }
    }

    /// Nothing came that was not asked for, and the other end has not closed.
    pub fn is_fresh(&mut self) -> bool {
        if !self.come.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Something came behind the last message.
    pub fn has_surplus(&self) -> bool {
        !self.come.is_empty()
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.come.reserve(PIECE);
        self.stream.read_buf(&mut self.come).await
    }

    /// Wait until something comes or the connection ends; `false` at its end. What came is kept.
    pub async fn stirs(&mut self) -> bool {
        matches!(self.fill().await, Ok(n) if n > 0)
    }

    /// Read the head of a request: at most `idle` for its first byte, `whole` from there on, `most` bytes of it.
    pub async fn request(&mut self, idle: Duration, whole: Duration, most: usize) -> Result<Asked, Wrong> {
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
                if let Some((len, asked)) = asked(&self.come)? {
                    if len > most {
                        return Err(Wrong::Bad(Bad::HeadTooLarge));
                    }
                    self.come.advance(len);
                    return Ok(asked);
                }
                if self.come.len() >= most {
                    return Err(Wrong::Bad(Bad::HeadTooLarge));
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

    /// Take one piece of a body that has come; `false` if more has to come first.
    pub fn piece(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<bool, Wrong> {
        let Some((skip, n)) = decoder.next(&self.come)? else { return Ok(false) };
        self.come.advance(skip);
        body.extend_from_slice(&self.come[..n]);
        self.come.advance(n);
        Ok(skip + n > 0)
    }

    /// Read an answer whole. `of` is the request's id: whole answers that carry another one are passed over, since they belong
    /// to a request before. `bodiless`: to a HEAD.
    pub async fn answer(&mut self, of: &str, bodiless: bool, most: usize) -> Result<Answer, Wrong> {
        loop {
            let Some((len, mut answer, framing)) = answered(&self.come)? else {
                if self.fill().await? == 0 {
                    return Err(if self.come.is_empty() { Wrong::Closed } else { Wrong::Broken });
                }
                continue;
            };
            self.come.advance(len);
            if (100..200).contains(&answer.status) {
                continue;
            }
            if !bodiless {
                answer.body = self.body(framing, most).await?;
            }
            match &answer.id {
                Some(id) if id != of => continue,
                _ => return Ok(answer),
            }
        }
    }

    /// Write bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Close the writing half in order.
    pub async fn finish(&mut self) {
        let _ = self.stream.shutdown().await;
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

fn asked(bytes: &[u8]) -> Result<Option<(usize, Asked)>, Wrong> {
    let mut room = http::lines();
    let Some(head) = http::request_head(bytes, &mut room)? else { return Ok(None) };
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
        id: text(h.one("attempt-id")?),
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

fn answered(bytes: &[u8]) -> Result<Option<(usize, Answer, Framing)>, Wrong> {
    let mut room = http::lines();
    let Some(head) = http::answer_head(bytes, &mut room)? else { return Ok(None) };
    let h = &head.headers;
    let mut lines = Vec::with_capacity(256);
    h.forward(&mut lines, &[ROUND]);
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
        word: text(h.one(ROUND)?),
        keep_alive: head.keep_alive,
        idle,
        body: Vec::new(),
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
    let mut out = Vec::with_capacity(lines.len() + body.len() + 96);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    out.extend_from_slice(lines);
    if status != 204 && status != 304 {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    if !bodiless {
        out.extend_from_slice(body);
    }
    out
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
