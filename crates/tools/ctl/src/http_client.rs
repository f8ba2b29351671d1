//! One HTTP/1.1 call to a control address, complete within its time limit (RFC 9112, as far as nodes use it).
//!
//! It must not know what is called or which answers are good: that is [`crate::mesh_client`]'s.
use std::fmt;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// No answer's body, and no line of a stream, is larger.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// No line of a head is longer.
const MAX_HEAD_LINE_BYTES: u64 = 16 * 1024;
/// No head has more lines.
const MAX_HEAD_LINES: usize = 64;
/// A call is redirected at most so often.
const MAX_REDIRECTS: usize = 3;
/// The status with which a node names the one that serves a call.
const TEMPORARY_REDIRECT: u16 = 307;

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Response {
    /// Its status.
    pub(crate) status: u16,
    /// Its body.
    pub(crate) body: String,
}

/// Why a call brought no answer.
#[derive(Debug)]
pub(crate) enum CallFault {
    /// The connection failed or a time limit ran out.
    Io(io::Error),
    /// The connection ended inside the answer.
    EndsEarly,
    /// The first line is none of HTTP.
    NoStatus(String),
    /// The length given is no number.
    Length,
    /// The head has more than [`MAX_HEAD_LINES`] lines.
    HeadTooLong,
    /// The body comes in chunks, which nodes never send here.
    Chunked,
    /// The body is not UTF-8.
    NotText,
    /// The node redirects the call to something that is no control address.
    RedirectTarget(Option<String>),
    /// The call was redirected more than [`MAX_REDIRECTS`] times.
    RedirectLoop,
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallFault::Io(cause) => cause.fmt(f),
            CallFault::EndsEarly => f.write_str("the answer ends early"),
            CallFault::NoStatus(line) => write!(f, "{line:?} is no HTTP answer"),
            CallFault::Length => f.write_str("the answer's length is no number"),
            CallFault::HeadTooLong => write!(f, "the answer's head has more than {MAX_HEAD_LINES} lines"),
            CallFault::Chunked => f.write_str("an answer in chunks is not expected here"),
            CallFault::NotText => f.write_str("the answer's body is not UTF-8"),
            CallFault::RedirectTarget(target) => write!(f, "redirects the call, but to {target:?}"),
            CallFault::RedirectLoop => f.write_str(
                "the call is redirected again and again (look which are control nodes with `silvercrossctl nodes`)",
            ),
        }
    }
}

impl From<io::Error> for CallFault {
    fn from(cause: io::Error) -> Self {
        CallFault::Io(cause)
    }
}

/// A call that brought no answer, and the node that was called last.
#[derive(Debug)]
pub(crate) struct CallError {
    /// The node's control address.
    pub(crate) node: SocketAddr,
    /// Why there is no answer.
    pub(crate) fault: CallFault,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.node, self.fault)
    }
}

/// What is asked of a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'r> {
    /// `GET` or `POST`.
    pub(crate) method: &'r str,
    /// The path with its query.
    pub(crate) path: &'r str,
    /// The body, which may be empty.
    pub(crate) body: &'r [u8],
}

/// A connection on which an answer's head was read.
pub(crate) struct ResponseStream {
    /// The answer's status.
    pub(crate) status: u16,
    location: Option<String>,
    length: Option<u64>,
    is_chunked: bool,
    reader: BufReader<TcpStream>,
}

fn head_line(reader: &mut BufReader<TcpStream>) -> Result<String, CallFault> {
    let mut text = String::new();
    reader.by_ref().take(MAX_HEAD_LINE_BYTES).read_line(&mut text)?;
    if !text.ends_with('\n') {
        return Err(CallFault::EndsEarly);
    }
    Ok(text.trim_end().to_string())
}

/// Send a request and read the head of its answer. `timeout` holds for the connection and for each wait after it.
///
/// # Errors
/// When there is no answer, or its head is none of HTTP/1.1.
pub(crate) fn open(
    node: SocketAddr,
    request: Request<'_>,
    timeout: Duration,
) -> Result<ResponseStream, CallFault> {
    let stream = TcpStream::connect_timeout(&node, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    // A delay costs time and nothing else.
    let _ = stream.set_nodelay(true);
    let Request { method, path, body } = request;
    let length = body.len();
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let first = head_line(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(CallFault::NoStatus(first))?;
    let mut answer = ResponseStream { status, location: None, length: None, is_chunked: false, reader };
    answer.read_headers()?;
    Ok(answer)
}

impl ResponseStream {
    fn read_headers(&mut self) -> Result<(), CallFault> {
        for _ in 0..MAX_HEAD_LINES {
            let line = head_line(&mut self.reader)?;
            if line.is_empty() {
                return Ok(());
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "location" => self.location = Some(value.to_string()),
                "content-length" => {
                    self.length = Some(value.parse().map_err(|_| CallFault::Length)?);
                }
                "transfer-encoding" => self.is_chunked = value.eq_ignore_ascii_case("chunked"),
                _ => {}
            }
        }
        Err(CallFault::HeadTooLong)
    }

    /// The next line of a body that ends with the connection; `None` at its end.
    ///
    /// # Errors
    /// When the connection fails or brings nothing in time.
    pub(crate) fn next_line(&mut self) -> Result<Option<String>, CallFault> {
        let mut bytes = Vec::new();
        self.reader.by_ref().take(MAX_BODY_BYTES).read_until(b'\n', &mut bytes)?;
        if !bytes.ends_with(b"\n") {
            return Ok(None);
        }
        Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_string()))
    }

    /// Limit each wait from now on.
    ///
    /// # Errors
    /// When the socket takes no time limit.
    pub(crate) fn set_read_timeout(&self, timeout: Duration) -> Result<(), CallFault> {
        Ok(self.reader.get_ref().set_read_timeout(Some(timeout))?)
    }

    /// Read the rest, to its end.
    ///
    /// # Errors
    /// When it is incomplete or not text.
    pub(crate) fn read_to_end(mut self) -> Result<Response, CallFault> {
        if self.is_chunked {
            return Err(CallFault::Chunked);
        }
        let mut body = Vec::new();
        let limit = self.length.unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES);
        self.reader.by_ref().take(limit).read_to_end(&mut body)?;
        if self.length.is_some_and(|length| length != body.len() as u64) {
            return Err(CallFault::EndsEarly);
        }
        let body = String::from_utf8(body).map_err(|_| CallFault::NotText)?;
        Ok(Response { status: self.status, body })
    }

    /// The node and path that a redirection names.
    fn redirect_target(&self) -> Option<(SocketAddr, String)> {
        let target = self.location.as_deref()?.strip_prefix("http://")?;
        let (host, rest) = target.split_once('/')?;
        Some((host.parse().ok()?, format!("/{rest}")))
    }
}

/// One call, followed where a node redirects it to another.
///
/// # Errors
/// When the last node called gives no complete answer.
pub(crate) fn call(
    first_node: SocketAddr,
    request: Request<'_>,
    timeout: Duration,
) -> Result<Response, CallError> {
    let (mut node, mut path) = (first_node, request.path.to_string());
    for _ in 0..MAX_REDIRECTS {
        let failed = |fault| CallError { node, fault };
        let stream = open(node, Request { path: &path, ..request }, timeout).map_err(failed)?;
        if stream.status != TEMPORARY_REDIRECT {
            return stream.read_to_end().map_err(failed);
        }
        let target = stream.redirect_target();
        (node, path) = target.ok_or_else(|| failed(CallFault::RedirectTarget(stream.location)))?;
    }
    Err(CallError { node, fault: CallFault::RedirectLoop })
}
