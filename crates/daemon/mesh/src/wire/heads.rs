//! Heads of requests and answers as they are read: the lines that matter here by name, the rest to be passed on.
use super::ReadError;
use crate::body_buffer::BodyReservation;
use httparse::{Header, EMPTY_HEADER};
use silvercross_net::http::{self, Bad, Framing, Limits};

/// Header lines of a client's request, or of an upstream's answer.
pub(super) const LINES: usize = 64;
/// A hop may have so many more.
pub(super) const LINES_ADDED: usize = 8;
/// Header lines that this program sets itself, or that are for it alone.
const OURS: [&str; 6] = ["deadline-ms", "expect-station", "sender", "host", WAYBILL, ROUND];
/// On a hop between sidecars: what the gate is to know of the request.
const WAYBILL: &str = "waybill";
/// On a hop's answer: the gate's own word, as against the upstream's.
const ROUND: &str = "waybill-return";
/// On a hop's answer, the first on its connection and those to who asks: the life of the gate's process.
const LIFE: &str = "waybill-life";

/// Room for the lines of any head.
type Room<'b> = [Header<'b>; LINES + LINES_ADDED];

/// The head of a request, in owned parts.
#[derive(Clone, Debug)]
pub struct RequestHead {
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
    pub forwarding_headers: Option<String>,
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
pub struct Response {
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
    /// Its body, up to [`MAX_BUFFERED_BODY_BYTES`].
    pub body: Vec<u8>,
    /// What comes behind that.
    pub tail: Option<Box<crate::peer_connection::StreamedBody>>,
    /// Its place among the bodies held here.
    pub share: Option<BodyReservation>,
}

/// The head of a request and its length, once it has come whole.
pub(super) fn asked(
    bytes: &[u8],
    limits: Limits,
    lines: usize,
) -> Result<Option<(usize, RequestHead)>, ReadError> {
    let mut room: Room = [EMPTY_HEADER; LINES + LINES_ADDED];
    let room = &mut room[..lines];
    let Some(head) = http::request_head_within(bytes, room, limits)? else { return Ok(None) };
    let h = &head.headers;
    let mut lines = Vec::with_capacity(256);
    h.forward(&mut lines, &OURS);
    let host = h.one("host")?;
    if host.is_none() && !head.old {
        return Err(ReadError::Bad(Bad::Malformed("no Host line")));
    }
    let deadline = match h.one("deadline-ms")? {
        None => None,
        Some(t) => {
            let ms = t.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms >= 0.0);
            Some((ms.ok_or(Bad::Malformed("Deadline-Ms is no number"))?.min(1e9) * 1e3) as i64)
        }
    };
    let asked = RequestHead {
        method: head.method.to_string(),
        target: http::origin_form(head.target).to_string(),
        host: host.unwrap_or("").to_string(),
        // An empty one tells no answer from another.
        id: text(h.one("attempt-id")?).filter(|id| !id.is_empty()),
        deadline,
        expects: text(h.one("expect-station")?),
        forwarding_headers: text(h.one(WAYBILL)?),
        sender: h.all("sender").last().and_then(|v| std::str::from_utf8(v).ok()).map(str::to_string),
        lines,
        framing: head.framing,
        keep_alive: head.keep_alive,
        waits: h.lists("expect", "100-continue"),
        old: head.old,
    };
    Ok(Some((head.len, asked)))
}

/// The head of an answer, its length and how its body is framed, once it has come whole. `hop`: it is a sidecar's.
pub(super) fn answered(
    bytes: &[u8],
    limits: Limits,
    lines: usize,
    hop: bool,
) -> Result<Option<(usize, Response, Framing)>, ReadError> {
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
    let answer = Response {
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

fn text(v: Option<&str>) -> Option<String> {
    v.map(str::to_string)
}
