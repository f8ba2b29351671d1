//! HTTP/1.1 on one connection, as the stand-ins speak it: messages whole, heads and framing read by `silvercross-net`.
use silvercross_net::http::{self, Bad, Framing, Headers};
use silvercross_net::stream::Decoder;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// No body is larger.
const LARGEST: usize = 64 << 20;

/// A connection with what has come and is not yet read.
pub struct Line {
    stream: TcpStream,
    come: Vec<u8>,
}

/// A request that came whole.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Its method.
    pub method: String,
    /// Its path.
    pub target: String,
    /// `Attempt-Id`.
    pub id: Option<String>,
    /// `Deadline-Ms`.
    pub deadline: Option<u64>,
    /// `Expect-Station`.
    pub expects: Option<String>,
    /// `Sender`.
    pub sender: Option<String>,
    /// Whether another may come on the connection.
    pub keep_alive: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// An answer that came whole.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// `Attempt-Id`.
    pub id: Option<String>,
    /// `Postmark`.
    pub stamp: Option<String>,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// `Location`.
    pub location: Option<String>,
    /// `Station`.
    pub station: Option<String>,
    /// `Member-Step`.
    pub step: Option<String>,
    /// Whether another request may be sent on the connection.
    pub keep_alive: bool,
    /// Its body.
    pub body: Vec<u8>,
}

fn bad(why: Bad) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{why:?}"))
}

fn text(headers: &Headers, name: &str) -> io::Result<Option<String>> {
    Ok(headers.one(name).map_err(bad)?.map(str::to_string))
}

impl Line {
    /// Over a connection that is up.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Line { stream, come: Vec::new() }
    }

    /// Connect from an address of this machine's.
    pub async fn connect(from: Option<IpAddr>, to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(from) = from {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        Ok(Line::new(timeout(limit, socket.connect(to)).await.map_err(io::Error::other)??))
    }

    /// Write bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns once the other end has closed; what comes before is kept.
    pub async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(n) if n > 0) {}
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.come.reserve(16 * 1024);
        self.stream.read_buf(&mut self.come).await
    }

    async fn more(&mut self) -> io::Result<()> {
        if self.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    async fn body(&mut self, framing: Framing) -> io::Result<Vec<u8>> {
        let mut decoder = Decoder::new(framing, LARGEST);
        let (mut body, mut at) = (Vec::new(), 0);
        while !decoder.is_done() {
            if let Some((skip, n)) = decoder.next(&self.come[at..]).map_err(bad)? {
                body.extend_from_slice(&self.come[at + skip..at + skip + n]);
                at += skip + n;
                if skip + n > 0 {
                    continue;
                }
            }
            self.come.drain(..at);
            at = 0;
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        self.come.drain(..at);
        Ok(body)
    }

    /// Read a request whole; `None`: the connection ended between two.
    pub async fn request(&mut self) -> io::Result<Option<Asked>> {
        loop {
            if let Some((len, framing, mut asked)) = asked(&self.come)? {
                self.come.drain(..len);
                asked.body = self.body(framing).await?;
                return Ok(Some(asked));
            }
            if self.fill().await? == 0 {
                return if self.come.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Read an answer whole.
    pub async fn answer(&mut self) -> io::Result<Answer> {
        loop {
            match answered(&self.come)? {
                Some((len, framing, mut answer)) => {
                    self.come.drain(..len);
                    if answer.status >= 200 {
                        answer.body = self.body(framing).await?;
                        return Ok(answer);
                    }
                }
                None => self.more().await?,
            }
        }
    }
}

fn asked(bytes: &[u8]) -> io::Result<Option<(usize, Framing, Asked)>> {
    let mut room = http::lines();
    let Some(head) = http::request_head(bytes, &mut room).map_err(bad)? else { return Ok(None) };
    let h = &head.headers;
    let asked = Asked {
        method: head.method.to_string(),
        target: head.target.to_string(),
        id: text(h, "attempt-id")?,
        deadline: text(h, "deadline-ms")?.and_then(|t| t.parse().ok()),
        expects: text(h, "expect-station")?,
        sender: text(h, "sender")?,
        keep_alive: head.keep_alive,
        body: Vec::new(),
    };
    Ok(Some((head.len, head.framing, asked)))
}

fn answered(bytes: &[u8]) -> io::Result<Option<(usize, Framing, Answer)>> {
    let mut room = http::lines();
    let Some(head) = http::answer_head(bytes, &mut room).map_err(bad)? else { return Ok(None) };
    let h = &head.headers;
    let answer = Answer {
        status: head.status,
        id: text(h, "attempt-id")?,
        stamp: text(h, "postmark")?,
        retry_after: text(h, "retry-after")?.and_then(|t| t.parse().ok()),
        location: text(h, "location")?,
        station: text(h, "station")?,
        step: text(h, "member-step")?,
        keep_alive: head.keep_alive,
        body: Vec::new(),
    };
    Ok(Some((head.len, head.framing, answer)))
}

/// One call on a connection of its own.
pub async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let went = async {
        let mut line = Line::connect(None, to, limit).await?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n"
        );
        line.write(&[head.as_bytes(), body].concat()).await?;
        line.answer().await
    };
    timeout(limit, went).await.map_err(io::Error::other)?
}
