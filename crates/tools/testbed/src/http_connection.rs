//! HTTP/1.1 on one connection, as the stand-ins speak it: messages complete, heads and framing read by `silvercross-net`.
use silvercross_net::http::{self, Framing, Headers, MessageError};
use silvercross_net::stream::Decoder;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// No body is larger, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Room made for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// A connection with what has arrived and is not yet read.
pub struct HttpConnection {
    stream: TcpStream,
    buffered: Vec<u8>,
}

/// A request that arrived complete.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path.
    pub target: String,
    /// The header `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// The header `Deadline-Ms`, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The header `Expect-Station`: the upstream that is meant.
    pub expected_upstream: Option<String>,
    /// The header `Sender`.
    pub sender: Option<String>,
    /// Whether another may come on the connection.
    pub keep_alive: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// An answer that arrived complete.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// The header `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// The header `Postmark`: the upstream's stamp.
    pub stamp: Option<String>,
    /// The header `Retry-After`, in seconds.
    pub retry_after_s: Option<f64>,
    /// The header `Location`.
    pub location: Option<String>,
    /// The header `Station`: the upstream that answered.
    pub upstream: Option<String>,
    /// The header `Member-Step`.
    pub step: Option<String>,
    /// Whether another request may be sent on the connection.
    pub keep_alive: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// A message's head, what it says, and how its body is framed.
struct Head<M> {
    length: usize,
    framing: Framing,
    message: M,
}

fn invalid(cause: MessageError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{cause:?}"))
}

fn header(headers: &Headers, name: &str) -> io::Result<Option<String>> {
    Ok(headers.one(name).map_err(invalid)?.map(str::to_string))
}

fn request_head(bytes: &[u8]) -> io::Result<Option<Head<Request>>> {
    let mut lines = http::empty_headers();
    let Some(head) = http::request_head(bytes, &mut lines).map_err(invalid)? else { return Ok(None) };
    let headers = &head.headers;
    let message = Request {
        method: head.method.to_string(),
        target: head.target.to_string(),
        attempt_id: header(headers, "attempt-id")?,
        deadline_ms: header(headers, "deadline-ms")?.and_then(|text| text.parse().ok()),
        expected_upstream: header(headers, "expect-station")?,
        sender: header(headers, "sender")?,
        keep_alive: head.keep_alive,
        body: Vec::new(),
    };
    Ok(Some(Head { length: head.len, framing: head.framing, message }))
}

fn response_head(bytes: &[u8]) -> io::Result<Option<Head<Response>>> {
    let mut lines = http::empty_headers();
    let Some(head) = http::response_head(bytes, &mut lines).map_err(invalid)? else { return Ok(None) };
    let headers = &head.headers;
    let message = Response {
        status: head.status,
        attempt_id: header(headers, "attempt-id")?,
        stamp: header(headers, "postmark")?,
        retry_after_s: header(headers, "retry-after")?.and_then(|text| text.parse().ok()),
        location: header(headers, "location")?,
        upstream: header(headers, "station")?,
        step: header(headers, "member-step")?,
        keep_alive: head.keep_alive,
        body: Vec::new(),
    };
    Ok(Some(Head { length: head.len, framing: head.framing, message }))
}

impl HttpConnection {
    /// Over a connection that is up.
    pub fn new(stream: TcpStream) -> Self {
        // A delay costs time and nothing else.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffered: Vec::new() }
    }

    /// Connect, from an address of this machine's where one is given.
    ///
    /// # Errors
    /// When the connection is not up within the time-out.
    pub async fn connect(from: Option<IpAddr>, to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        Ok(HttpConnection::new(timeout(limit, socket.connect(to)).await.map_err(io::Error::other)??))
    }

    /// Write bytes.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reset the connection.
    pub fn reset(self) {
        // Where the system refuses, it is closed in order.
        let _ = self.stream.set_zero_linger();
    }

    /// Returns once the other end has closed; what arrives before is kept.
    pub async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(count) if count > 0) {}
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffered.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffered).await
    }

    async fn read_body(&mut self, framing: Framing) -> io::Result<Vec<u8>> {
        let mut decoder = Decoder::new(framing, MAX_BODY_BYTES);
        let (mut body, mut at) = (Vec::new(), 0);
        while !decoder.is_done() {
            if let Some((skip, count)) = decoder.next(&self.buffered[at..]).map_err(invalid)? {
                body.extend_from_slice(&self.buffered[at + skip..at + skip + count]);
                at += skip + count;
                if skip + count > 0 {
                    continue;
                }
            }
            self.buffered.drain(..at);
            at = 0;
            if self.fill().await? == 0 && !decoder.ends_at_close() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        self.buffered.drain(..at);
        Ok(body)
    }

    /// Read a complete request; `None`: the connection ended between two.
    ///
    /// # Errors
    /// When the connection fails or ends inside a request, or what arrives is none.
    pub async fn read_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some(Head { length, framing, mut message }) = request_head(&self.buffered)? {
                self.buffered.drain(..length);
                message.body = self.read_body(framing).await?;
                return Ok(Some(message));
            }
            if self.fill().await? == 0 {
                return if self.buffered.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Read a complete answer.
    ///
    /// # Errors
    /// When the connection fails or ends before, or what arrives is none.
    pub async fn read_response(&mut self) -> io::Result<Response> {
        loop {
            match response_head(&self.buffered)? {
                Some(Head { length, framing, mut message }) => {
                    self.buffered.drain(..length);
                    // Informational answers come before the one that is meant (RFC 9110, section 15.2).
                    if message.status >= 200 {
                        message.body = self.read_body(framing).await?;
                        return Ok(message);
                    }
                }
                None if self.fill().await? == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                None => {}
            }
        }
    }
}

/// One call on a connection of its own.
///
/// # Errors
/// When there is no complete answer within the time-out.
pub async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let exchange = async {
        let mut connection = HttpConnection::connect(None, to, limit).await?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n"
        );
        connection.write(&[head.as_bytes(), body].concat()).await?;
        connection.read_response().await
    };
    timeout(limit, exchange).await.map_err(io::Error::other)?
}
