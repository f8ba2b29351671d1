//! Connections from the application: requests are read and parsed, responses written.
use super::peer;
use silvercross_core::interface::Micros;
use silvercross_gateway::hops;
use silvercross_net::buffers::{Buffer, Pool};
use silvercross_net::http::{self, Framing, MessageError};
use silvercross_net::registry::{Interest, Watched};
use silvercross_net::send_queue;
use silvercross_net::table::Handle;
use silvercross_settings::digest;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waiting for a request or receiving one.
    Reading,
    /// This request was accepted and has no response yet.
    Waiting(Handle),
    /// The response to this request (the first handle) is relayed as it arrives on an upstream's connection (the second).
    Passing(Handle, Handle),
    /// A response is being written.
    Answering,
    /// The last response is written and the system still sends it, because its client reads slowly. Further bytes are discarded,
    /// because a close would make them reset the connection and the rest of the response would be lost.
    Sending,
    /// The response is sent and the write side is shut down. Further bytes are discarded, because a close with unread
    /// bytes would reset the connection and the response could be lost.
    Lingering,
}

/// A connection from the application.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// Its state.
    pub state: State,
    /// Received bytes that are not processed yet.
    pub input: Option<Buffer>,
    /// Bytes still to be written.
    pub output: Option<Buffer>,
    /// Close it after the current response.
    pub close: bool,
    /// Accepted beyond the limit: every request on it is refused.
    pub turned_away: bool,
    /// Bytes read since the last request was accepted.
    pub received: usize,
    /// Deadline for the current request to be complete, not counting the time allowed for the transfer of its bytes.
    pub send_by: Option<Micros>,
    /// Its client uses HTTP/1.0.
    pub old: bool,
    /// Metrics index of the class of the request that has no response yet.
    pub counted: Option<usize>,
    /// It has carried a request.
    pub used: bool,
    /// When its state last changed.
    pub since: Micros,
    /// Requests accepted while bytes of further ones were in the input.
    pub ahead: u32,
    /// Bytes discarded after the last response.
    pub wasted: usize,
    /// Since when bytes of pipelined requests have been in the input.
    pub ahead_since: Option<Micros>,
    /// When the client times out unless the current read or write has progressed or ended; `None`: no timer is set.
    pub stalled_at: Option<Micros>,
}

/// Result of [`Conn::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// The available bytes, possibly none, were read.
    Bytes,
    /// The other end has closed.
    Closed,
    /// No buffer is available.
    NoBuffer,
}

impl Conn {
    /// A newly accepted connection.
    pub fn new(socket: Watched<TcpStream>, now: Micros, turned_away: bool) -> Self {
        Conn {
            socket,
            state: State::Reading,
            input: None,
            output: None,
            close: false,
            turned_away,
            received: 0,
            send_by: None,
            old: false,
            counted: None,
            used: false,
            since: now,
            ahead: 0,
            wasted: 0,
            ahead_since: None,
            stalled_at: None,
        }
    }

    /// Whether no request is in progress on it.
    pub fn is_idle(&self) -> bool {
        self.state == State::Reading && self.input.is_none()
    }

    /// Reads what has arrived, as far as the buffer has space.
    pub fn read(&mut self, pool: &mut Pool) -> Got {
        if self.input.is_none() {
            self.input = pool.take();
        }
        let Some(input) = &mut self.input else { return Got::NoBuffer };
        let got = loop {
            let room = input.room();
            if room.is_empty() {
                break Got::Bytes;
            }
            match self.socket.get().read(room) {
                Ok(0) => break Got::Closed,
                Ok(n) => {
                    self.received += n;
                    input.add(n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break Got::Bytes,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break Got::Closed,
            }
        };
        self.tidy(pool);
        got
    }

    /// Discards a bounded amount of received bytes; `false` once the other end has closed, the socket has failed, or the
    /// socket is reported ready after `MAX_DISCARDED_BYTES`.
    pub fn discard(&mut self) -> bool {
        let mut chunk = [0; 4096];
        if self.wasted >= MAX_DISCARDED_BYTES {
            return false;
        }
        for _ in 0..16 {
            match self.socket.get().read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => {
                    self.wasted += n;
                    if self.wasted >= MAX_DISCARDED_BYTES {
                        // The response is sent; the client can read it until the connection is closed.
                        return self.socket.set(Interest::Nothing).is_ok();
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Returns an empty input buffer to the pool: an idle connection has none.
    pub fn tidy(&mut self, pool: &mut Pool) {
        if self.input.as_ref().is_some_and(Buffer::is_empty) {
            self.input.take().into_iter().for_each(|b| pool.put_back(b));
            (self.ahead_since, self.ahead) = (None, 0);
        }
    }

    /// Writes the output as far as the socket allows; `true` once all is written.
    pub fn flush(&mut self, pool: &mut Pool) -> io::Result<bool> {
        while let Some(output) = self.output.as_mut().filter(|b| !b.is_empty()) {
            match self.socket.get().write(output.filled()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => output.consume(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.socket.set(Interest::Write)?;
                    return Ok(false);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.output.take().into_iter().for_each(|b| pool.put_back(b));
        Ok(true)
    }

    /// Shuts down the write side once all is sent, and continues to read.
    pub fn linger(&mut self) -> io::Result<()> {
        self.state = State::Sending;
        if self.is_all_sent() {
            self.state = State::Lingering;
            self.socket.get().shutdown(Shutdown::Write)?;
        }
        let may_discard = self.wasted < MAX_DISCARDED_BYTES;
        self.socket.set(if may_discard { Interest::Read } else { Interest::Nothing })
    }

    /// Whether the system has sent all that was written. Only asked once nothing more is written.
    pub fn is_all_sent(&self) -> bool {
        send_queue::is_empty(self.socket.get())
    }
}

/// Maximum number of bytes discarded after the last response: enough for bytes that were in flight, but not for a body of
/// any size.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// A complete request.
#[derive(Debug, PartialEq)]
pub enum Asked {
    /// A health check.
    Health,
    /// A request for a gateway's offer.
    Offer,
    /// A call to be sent to an upstream.
    Call(Box<Call>),
    /// An unknown path or method: the status of the response.
    NotServed(u16),
}

/// A call from the application.
#[derive(Debug, PartialEq)]
pub struct Call {
    /// Its correlation id.
    pub id: String,
    /// It has an idempotency key, by which duplicates are dropped.
    pub has_key: bool,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Digest of its session key.
    pub key: Option<u64>,
    /// How long its client waits.
    pub budget: Option<Micros>,
    /// Estimate of its work in microseconds.
    pub cost_hint: Option<Micros>,
    /// It is the client's retry.
    pub repeat: bool,
    /// It is an update.
    pub write: bool,
    /// Value of the header that lists the sites it has left.
    pub hops: Option<String>,
    /// Its client uses HTTP/1.0.
    pub old: bool,
    /// It has `Expect: 100-continue`.
    pub expects: bool,
    /// The head as it is forwarded, without its last lines.
    pub head: Vec<u8>,
    /// Position of its body in the bytes read.
    pub body: http::Body,
}

/// Result of [`front`].
#[derive(Debug, PartialEq)]
pub enum Front {
    /// Incomplete; `true`: its client waits for `100 Continue` before it sends the body.
    Partial(bool),
    /// A call whose body doesn't fit into a buffer: the call, the length of its head, the framing of its body, and whether
    /// the connection is kept alive.
    Large(Box<Call>, usize, Framing, bool),
    /// A complete request, its length, and whether the connection is kept alive.
    Whole(Asked, usize, bool),
}

const CORRELATION_ID: &str = "X-Correlation-Id";
const SERVICE_CLASS: &str = "X-Service-Class";
const ACCOUNT: &str = "X-Account";
const SESSION_KEY: &str = "X-Session-Key";
/// Header with the time in milliseconds that the sender waits, in requests from applications and to upstreams.
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
const REPEAT: &str = "X-Repeat";
const COST_HINT: &str = "X-Weight-Hint";
const FACTS: &str = "X-Facts";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const END_TO_END: [&str; 9] = [
    CORRELATION_ID,
    SERVICE_CLASS,
    ACCOUNT,
    SESSION_KEY,
    TIME_LEFT,
    REPEAT,
    COST_HINT,
    FACTS,
    IDEMPOTENCY_KEY,
];
/// Maximum of a client's waiting time in milliseconds, and of its estimate of work in microseconds.
const MAX_NUMBER: f64 = 1e10;

/// Parses the request at the front of `bytes`.
pub fn front(bytes: &[u8]) -> Result<Front, MessageError> {
    let mut room = http::empty_headers();
    // Empty lines before a request are skipped, as HTTP recommends.
    let Some(head) = http::request_head(bytes, &mut room)? else { return Ok(Front::Partial(false)) };
    let expects = head.headers.has_token("expect", "100-continue") && bytes.len() == head.len;
    let path = http::origin_form(head.target).split('?').next().unwrap_or("");
    let is_call = matches!(head.method, "GET" | "POST") && (path == "/api" || path.starts_with("/api/"));
    let body = match http::body(bytes, head.len, head.framing, false) {
        Ok(Some(body)) => body,
        Ok(None) => return Ok(Front::Partial(expects)),
        Err(MessageError::BodyTooLarge) if is_call => return large(bytes),
        Err(bad) => return Err(bad),
    };
    let end = body.end;
    let asked = match (head.method, path) {
        ("GET", "/healthz") => Asked::Health,
        (_, "/healthz") => Asked::NotServed(405),
        ("GET", peer::OFFER_PATH) => Asked::Offer,
        ("GET" | "POST", p) if p == "/api" || p.starts_with("/api/") => {
            Asked::Call(Box::new(call(&head, Some(body))?))
        }
        (_, p) if p == "/api" || p.starts_with("/api/") => Asked::NotServed(405),
        _ => Asked::NotServed(404),
    };
    Ok(Front::Whole(asked, end, head.keep_alive))
}

/// Parses the head of the call at the front of `bytes`, whose body doesn't fit into the buffer with it.
pub fn large(bytes: &[u8]) -> Result<Front, MessageError> {
    let mut room = http::empty_headers();
    let head = http::request_head(bytes, &mut room)?.ok_or(MessageError::HeadTooLarge)?;
    Ok(Front::Large(Box::new(call(&head, None)?), head.len, head.framing, head.keep_alive))
}

/// Merges the chunks of an incomplete chunked body to free space in the buffer.
pub fn compact_chunks(input: &mut Buffer) {
    let mut room = http::empty_headers();
    let chunked = match http::request_head(input.filled(), &mut room) {
        Ok(Some(head)) if head.framing == Framing::Chunked => head.len,
        _ => return,
    };
    http::merge_chunks(input, chunked, if input.is_full() { 2 } else { http::MIN_CHUNKS_TO_MERGE });
}

/// `body`: its position; `None` if it is forwarded as it arrives.
fn call(head: &http::RequestHead<'_, '_>, body: Option<http::Body>) -> Result<Call, MessageError> {
    let h = &head.headers;
    let number = |name: &str| match h.one(name)? {
        None => Ok(None),
        Some(text) => match text.parse::<f64>() {
            Ok(x) if (0.0..=MAX_NUMBER).contains(&x) => Ok(Some(x)),
            _ => Err(MessageError::Malformed("a header that is no number")),
        },
    };
    let id = h
        .one(CORRELATION_ID)?
        .filter(|id| !id.is_empty())
        .ok_or(MessageError::Malformed("no correlation id"))?;
    if END_TO_END.iter().any(|name| h.has_token("connection", name)) {
        // The header would not be forwarded, and its protection would be lost: an update without its idempotency key, for
        // example, could be executed twice.
        return Err(MessageError::Malformed("a header that concerns both ends is named in Connection"));
    }
    let class = h.one(SERVICE_CLASS)?.ok_or(MessageError::Malformed("no service class"))?.to_string();
    let repeat = match h.one(REPEAT)? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err(MessageError::Malformed("a repeat mark that is neither 0 nor 1")),
    };
    let facts = h.one(FACTS)?.unwrap_or("");
    let mut forwarded =
        format!("{} {} HTTP/1.1\r\n", head.method, http::origin_form(head.target)).into_bytes();
    h.forward(&mut forwarded, &[TIME_LEFT]);
    let length = match (&body, head.framing) {
        (Some(body), _) => Some(body.parts.iter().map(|p| p.len()).sum()),
        (None, Framing::Length(n)) => Some(n),
        (None, _) => None,
    };
    match length {
        None => forwarded.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Some(n) if n > 0 || head.framing == Framing::Chunked || head.method == "POST" => {
            forwarded.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes());
        }
        Some(_) => {}
    }
    let body = body.unwrap_or(http::Body { parts: Vec::new(), end: head.len });
    Ok(Call {
        id: id.to_string(),
        has_key: h.one(IDEMPOTENCY_KEY)?.is_some_and(|key| !key.is_empty()),
        class,
        tenant: h.one(ACCOUNT)?.map(str::to_string),
        key: h.one(SESSION_KEY)?.map(digest),
        budget: number(TIME_LEFT)?.map(|ms| (ms * 1e3) as Micros),
        cost_hint: number(COST_HINT)?.map(|us| us.round() as Micros),
        repeat,
        hops: h.one(hops::HEADER)?.map(str::to_string),
        write: facts.split(',').any(|f| f.trim() == "update=1"),
        old: head.is_http10,
        expects: h.has_token("expect", "100-continue"),
        head: forwarded,
        body,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const POST: &str = "POST /api?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: 9b1f\r\n\
        X-Service-Class: checkout\r\nX-Session-Key: k\r\nX-Time-Left-Ms: 480\r\nIdempotency-Key: 5c\r\n\
        X-Weight-Hint: 1500\r\nX-Repeat: 1\r\n";

    fn call_of(text: &str) -> Call {
        match front(text.as_bytes()) {
            Ok(Front::Whole(Asked::Call(call), _, _)) => *call,
            other => panic!("not a call: {other:?}"),
        }
    }

    #[test]
    fn a_call_is_read_and_goes_on_unchanged() {
        let text = format!("{POST}Content-Length: 3\r\n\r\nabcGET /next");
        let call = call_of(&text);
        assert_eq!((call.class.as_str(), call.key), ("checkout", Some(digest("k"))));
        assert_eq!((call.budget, call.cost_hint, call.repeat), (Some(480_000), Some(1500), true));
        assert_eq!(&text[call.body.parts[0].clone()], "abc");
        let head = String::from_utf8(call.head).expect("text");
        assert!(head.starts_with("POST /api?x=1 HTTP/1.1\r\n"), "{head}");
        for line in ["X-Correlation-Id: 9b1f\r\n", "Idempotency-Key: 5c\r\n", "Content-Length: 3\r\n"] {
            assert!(head.contains(line), "{head}");
        }
        assert!(!head.contains(TIME_LEFT), "the sidecar adds its own value: {head}");
    }

    #[test]
    fn a_chunked_call_goes_on_with_a_length() {
        let call =
            call_of(&format!("{POST}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"));
        let head = String::from_utf8(call.head).expect("text");
        assert!(head.contains("Content-Length: 3\r\n") && !head.contains("chunked"), "{head}");
    }

    #[test]
    fn what_cannot_be_read_is_malformed() {
        for (from, to) in [
            ("X-Time-Left-Ms: 480", "X-Time-Left-Ms: soon"),
            ("X-Time-Left-Ms: 480", "X-Time-Left-Ms: -1"),
            ("X-Time-Left-Ms: 480", "X-Time-Left-Ms: NaN"),
            ("X-Weight-Hint: 1500", "X-Weight-Hint: 1e300"),
            ("X-Service-Class: checkout\r\n", ""),
            ("X-Correlation-Id: 9b1f\r\n", ""),
            ("X-Repeat: 1", "X-Repeat: yes"),
            ("X-Repeat: 1", "Connection: close, idempotency-key"),
            ("X-Repeat: 1", "Content-Length: -1"),
            ("X-Repeat: 1", "Content-Length: 0\r\nContent-Length: 1"),
            ("X-Repeat: 1", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
            ("X-Session-Key: k", "X-Service-Class: other"),
        ] {
            let text = format!("{}\r\n", POST.replace(from, to));
            assert!(matches!(front(text.as_bytes()), Err(MessageError::Malformed(_))), "{to}");
        }
    }

    #[test]
    fn other_paths_and_methods_are_not_served() {
        let status = |line: &str| match front(format!("{line} HTTP/1.1\r\n\r\n").as_bytes()) {
            Ok(Front::Whole(Asked::NotServed(status), _, _)) => status,
            other => panic!("{other:?}"),
        };
        assert_eq!(
            [status("GET /"), status("GET /apiary"), status("PUT /api"), status("POST /healthz")],
            [404, 404, 405, 405]
        );
        assert_eq!(front(b"GET /healthz HTTP/1.1\r\n\r\n"), Ok(Front::Whole(Asked::Health, 25, true)));
    }

    #[test]
    fn a_sender_that_waits_for_100_continue_is_detected() {
        let text = format!("{POST}Content-Length: 3\r\nExpect: 100-continue\r\n\r\n");
        assert_eq!(front(text.as_bytes()), Ok(Front::Partial(true)));
        assert_eq!(front(format!("{text}a").as_bytes()), Ok(Front::Partial(false)));
    }
}
