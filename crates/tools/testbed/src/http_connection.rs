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

/// How fast an end reads bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadPace {
    /// At once.
    #[default]
    Eager,
    /// This much a second.
    Even {
        /// Bytes a second.
        bytes_per_second: u64,
    },
    /// At once, but for one pause.
    Pausing {
        /// The bytes before the pause.
        after_bytes: u64,
        /// How long it is.
        pause: Duration,
    },
}

/// Bytes that are written once so many have been received.
struct Ahead {
    after_bytes: u64,
    bytes: Vec<u8>,
}

/// A connection with what has arrived and is not yet read.
pub struct HttpConnection {
    stream: TcpStream,
    buffered: Vec<u8>,
    pace: ReadPace,
    /// Bytes received since the pace was set.
    received: u64,
    ahead: Option<Ahead>,
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
        HttpConnection { stream, buffered: Vec::new(), pace: ReadPace::Eager, received: 0, ahead: None }
    }

    /// Read at this pace from now on.
    pub fn set_pace(&mut self, pace: ReadPace) {
        (self.pace, self.received) = (pace, 0);
    }

    /// Bytes received since the pace was set.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Write bytes once so many more have been received.
    pub fn write_ahead(&mut self, after_bytes: u64, bytes: Vec<u8>) {
        self.ahead = Some(Ahead { after_bytes: self.received + after_bytes, bytes });
    }

    /// Connect, from an address of this machine's where one is given.
    ///
    /// # Errors
    /// When the connection is not up within the time-out.
    pub async fn connect(from: Option<IpAddr>, to: SocketAddr, limit: Duration) -> io::Result<Self> {
        HttpConnection::connect_with_buffer(from, to, limit, None).await
    }

    /// The same; the system receives so many bytes ahead of the reader.
    ///
    /// # Errors
    /// When the connection is not up within the time-out.
    pub async fn connect_with_buffer(
        from: Option<IpAddr>,
        to: SocketAddr,
        limit: Duration,
        receive_buffer_bytes: Option<u32>,
    ) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = receive_buffer_bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
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
        let count = (&mut self.stream).take(READ_BYTES as u64).read_buf(&mut self.buffered).await?;
        self.received += count as u64;
        Ok(count)
    }

    /// Before more of a body is read: what is due for it.
    async fn keep_pace(&mut self) {
        if let Some(Ahead { bytes, .. }) = self.ahead.take_if(|ahead| ahead.after_bytes <= self.received) {
            // The other end may close meanwhile: what it sent before is still read.
            let _ = self.stream.write_all(&bytes).await;
        }
        match self.pace {
            ReadPace::Eager => {}
            ReadPace::Even { bytes_per_second } => {
                tokio::time::sleep(Duration::from_secs_f64(READ_BYTES as f64 / bytes_per_second as f64))
                    .await;
            }
            ReadPace::Pausing { after_bytes, pause } if after_bytes <= self.received => {
                tokio::time::sleep(pause).await;
                self.pace = ReadPace::Eager;
            }
            ReadPace::Pausing { .. } => {}
        }
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
            self.keep_pace().await;
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
        self.read_request_noting(|_| ()).await
    }

    /// The same; `note` is told of the request once its head has arrived.
    ///
    /// # Errors
    /// Those of [`HttpConnection::read_request`].
    pub async fn read_request_noting(&mut self, note: impl Fn(&Request)) -> io::Result<Option<Request>> {
        loop {
            if let Some(Head { length, framing, mut message }) = request_head(&self.buffered)? {
                self.buffered.drain(..length);
                note(&message);
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
