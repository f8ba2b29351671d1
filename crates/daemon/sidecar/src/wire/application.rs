//! The application's side: its requests read, its answers written.
use super::peer;
use silvercross_core::interface::Micros;
use silvercross_gateway::hops;
use silvercross_net::buffers::{Buffer, Pool};
use silvercross_net::http::{self, Framing, MessageError};
use silvercross_net::registry::{Interest, Watched};
use silvercross_net::table::Handle;
use silvercross_settings::digest;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};

/// Where a connection is in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waiting for a request, or in the middle of one.
    Reading,
    /// A request was taken and is owed an answer.
    Waiting(Handle),
    /// The answer to this request is passed on as it comes on that connection.
    Passing(Handle, Handle),
    /// An answer is being written.
    Answering,
    /// All is written and our end closed; what still comes is thrown away, so that no reset overtakes the answer.
    Lingering,
}

/// A connection from the application.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// Where it is.
    pub state: State,
    /// What has come and is not yet dealt with.
    pub input: Option<Buffer>,
    /// What is to be written.
    pub output: Option<Buffer>,
    /// Close it after the present answer.
    pub close: bool,
    /// Accepted past the limit: told no, whatever it asks.
    pub turned_away: bool,
    /// Bytes read since the last request was taken.
    pub received: usize,
    /// By when the present request must be whole, but for the time that its bytes may take.
    pub send_by: Option<Micros>,
    /// Its client speaks HTTP/1.0.
    pub old: bool,
    /// Where the request that is owed an answer is counted.
    pub counted: Option<usize>,
    /// It has carried a request.
    pub used: bool,
    /// When its state last changed.
    pub since: Micros,
    /// Requests taken while more stood behind them.
    pub ahead: u32,
    /// Bytes thrown away after the last answer.
    pub wasted: usize,
    /// Since when bytes have stood in the input that came ahead of their turn.
    pub ahead_since: Option<Micros>,
    /// By when what it is in the middle of must be through.
    pub stalled_at: Option<Micros>,
}

/// What reading has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// Some bytes, or none just now.
    Bytes,
    /// The other end has closed.
    Closed,
    /// There is no buffer to read into.
    NoBuffer,
}

impl Conn {
    /// A connection just accepted.
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

    /// Whether it stands between two requests.
    pub fn is_idle(&self) -> bool {
        self.state == State::Reading && self.input.is_none()
    }

    /// Read what has come.
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

    /// Throw away what has come, not too much at a time; `false` once the other end has closed, or there was something
    /// to be told after it was read no more.
    pub fn discard(&mut self) -> bool {
        let mut waste = [0; 4096];
        if self.wasted >= WASTE {
            return false;
        }
        for _ in 0..16 {
            match self.socket.get().read(&mut waste) {
                Ok(0) => return false,
                Ok(n) => {
                    self.wasted += n;
                    if self.wasted >= WASTE {
                        // Its sender has been told, and has until the connection is closed to read that.
                        return self.socket.set(Interest::Nothing).is_ok();
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Give an empty buffer back: an idle connection holds none.
    pub fn tidy(&mut self, pool: &mut Pool) {
        if self.input.as_ref().is_some_and(Buffer::is_empty) {
            self.input.take().into_iter().for_each(|b| pool.put_back(b));
            (self.ahead_since, self.ahead) = (None, 0);
        }
    }

    /// Write what there is to write; `true` once nothing is left.
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

    /// Close our end, keep reading.
    pub fn linger(&mut self) -> io::Result<()> {
        self.state = State::Lingering;
        self.socket.get().shutdown(Shutdown::Write)?;
        self.socket.set(Interest::Read)
    }
}

/// So much is read of what comes behind the last answer: enough for bytes that were under way, not for a body of any size.
const WASTE: usize = 256 * 1024;

/// A request, read whole.
#[derive(Debug, PartialEq)]
pub enum Asked {
    /// Whether the sidecar is ready.
    Health,
    /// What a gateway offers over its link.
    Offer,
    /// A call to be placed.
    Call(Box<Call>),
    /// What is not served here: the status to answer with.
    NotServed(u16),
}

/// A call of the application's.
#[derive(Debug, PartialEq)]
pub struct Call {
    /// Its correlation id.
    pub id: String,
    /// It carries a key by which its repeats are dropped.
    pub has_key: bool,
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// The digest of its key.
    pub key: Option<u64>,
    /// How long its client waits, in microseconds.
    pub budget: Option<Micros>,
    /// The work it may take, in microseconds.
    pub cost_hint: Option<Micros>,
    /// A client's retry.
    pub repeat: bool,
    /// It writes.
    pub write: bool,
    /// The mark of the sites it has left.
    pub hops: Option<String>,
    /// HTTP/1.0.
    pub old: bool,
    /// It waits for a word before it sends its body.
    pub expects: bool,
    /// The head as it goes on, less its last lines.
    pub head: Vec<u8>,
    /// Where its body lies among the bytes read.
    pub body: http::Body,
}

/// What stands at the front of the bytes read.
#[derive(Debug, PartialEq)]
pub enum Front {
    /// Not whole yet; `true`: its sender waits for a word before it sends the body.
    Partial(bool),
    /// A call whose body is larger than a buffer: the call, the bytes of its head, how its body is framed, and whether the
    /// connection may carry another.
    Large(Box<Call>, usize, Framing, bool),
    /// A whole request: what it asks, the bytes it takes, and whether the connection may carry another.
    Whole(Asked, usize, bool),
}

const ID: &str = "X-Correlation-Id";
const CLASS: &str = "X-Service-Class";
const TENANT: &str = "X-Account";
const KEY: &str = "X-Session-Key";
/// The header that tells how long the sender waits, on both sides.
pub const TIME_LEFT: &str = "X-Time-Left-Ms";
const REPEAT: &str = "X-Repeat";
const HINT: &str = "X-Weight-Hint";
const FACTS: &str = "X-Facts";
const IDEMPOTENCY: &str = "Idempotency-Key";
const END_TO_END: [&str; 9] = [ID, CLASS, TENANT, KEY, TIME_LEFT, REPEAT, HINT, FACTS, IDEMPOTENCY];
/// No client waits longer than this many milliseconds, or expects more microseconds of work.
const LARGEST: f64 = 1e10;

/// Read the request at the front of `bytes`.
pub fn front(bytes: &[u8]) -> Result<Front, MessageError> {
    let mut room = http::empty_headers();
    // A line end or two before a request is passed over, as HTTP asks.
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

/// The call at the front of `bytes` that does not fit into one buffer with its body.
pub fn large(bytes: &[u8]) -> Result<Front, MessageError> {
    let mut room = http::empty_headers();
    let head = http::request_head(bytes, &mut room)?.ok_or(MessageError::HeadTooLarge)?;
    Ok(Front::Large(Box::new(call(&head, None)?), head.len, head.framing, head.keep_alive))
}

/// Save room in an input whose request is not whole, where its body comes in chunks.
pub fn tighten(input: &mut Buffer) {
    let mut room = http::empty_headers();
    let chunked = match http::request_head(input.filled(), &mut room) {
        Ok(Some(head)) if head.framing == Framing::Chunked => head.len,
        _ => return,
    };
    http::merge_chunks(input, chunked, if input.is_full() { 2 } else { http::MIN_CHUNKS_TO_MERGE });
}

/// `body`: where it lies; `None`: it is passed on as it comes.
fn call(head: &http::RequestHead<'_, '_>, body: Option<http::Body>) -> Result<Call, MessageError> {
    let h = &head.headers;
    let number = |name: &str| match h.one(name)? {
        None => Ok(None),
        Some(text) => match text.parse::<f64>() {
            Ok(x) if (0.0..=LARGEST).contains(&x) => Ok(Some(x)),
            _ => Err(MessageError::Malformed("a header that is no number")),
        },
    };
    let id = h.one(ID)?.filter(|id| !id.is_empty()).ok_or(MessageError::Malformed("no correlation id"))?;
    if END_TO_END.iter().any(|name| h.has_token("connection", name)) {
        // It would not be passed on, and what it guards against would happen: an effect without its key, say.
        return Err(MessageError::Malformed("a header that concerns both ends is named in Connection"));
    }
    let class = h.one(CLASS)?.ok_or(MessageError::Malformed("no service class"))?.to_string();
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
        has_key: h.one(IDEMPOTENCY)?.is_some_and(|key| !key.is_empty()),
        class,
        tenant: h.one(TENANT)?.map(str::to_string),
        key: h.one(KEY)?.map(digest),
        budget: number(TIME_LEFT)?.map(|ms| (ms * 1e3) as Micros),
        cost_hint: number(HINT)?.map(|us| us.round() as Micros),
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
            other => panic!("no call but {other:?}"),
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
        assert!(!head.contains(TIME_LEFT), "the sidecar states its own: {head}");
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
    fn a_sender_that_waits_for_a_word_is_noticed() {
        let text = format!("{POST}Content-Length: 3\r\nExpect: 100-continue\r\n\r\n");
        assert_eq!(front(text.as_bytes()), Ok(Front::Partial(true)));
        assert_eq!(front(format!("{text}a").as_bytes()), Ok(Front::Partial(false)));
    }
}
