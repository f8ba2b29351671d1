//! A stream with what has come and what is to go: the stand-ins' side of HTTP/1.1, on the framing of `silvercross_net`.
use silvercross_net::http::{self, MessageError};
use silvercross_net::pending::write_pending;
use silvercross_net::registry::Watched;
use std::io::{self, Read};
use std::net::TcpStream;

/// No message of the platform's protocol is longer; more is a fault of whoever sent it.
const LONGEST: usize = 256 * 1024;

/// A stream of bytes, not blocking.
pub struct Wire {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// A request that has come whole.
pub struct Asked {
    /// Its path with its query.
    pub target: String,
    /// Its correlation id.
    pub id: String,
}

/// An answer that has come whole.
pub struct Answered {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// When to come back, in microseconds.
    pub retry_after: Option<i64>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

fn told(bad: MessageError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{bad:?}"))
}

impl Wire {
    /// A stream that is up, or on its way.
    pub fn new(socket: Watched<TcpStream>) -> Self {
        Wire { socket, input: Vec::new(), output: Vec::new() }
    }

    /// Whether the next message has begun to come.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Read what has come and write what can go; `true`: the other end has nothing more to say.
    pub fn pump(&mut self) -> io::Result<bool> {
        self.flush()?;
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.socket.get().read(&mut bytes) {
                Ok(0) => return Ok(true),
                Ok(n) => self.input.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if self.input.len() > LONGEST {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a message too long"));
            }
        }
    }

    /// Write; what does not go now goes when there is room.
    pub fn say(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.output.extend_from_slice(bytes);
        self.flush()
    }

    fn flush(&mut self) -> io::Result<()> {
        write_pending(&mut self.socket, &mut self.output)
    }

    /// The next whole request.
    pub fn request(&mut self) -> io::Result<Option<Asked>> {
        let mut lines = http::empty_headers();
        let Some(head) = http::request_head(&self.input, &mut lines).map_err(told)? else { return Ok(None) };
        let id = head.headers.one("x-correlation-id").map_err(told)?.unwrap_or("").to_string();
        let target = head.target.to_string();
        let body = http::body(&self.input, head.len, head.framing, false).map_err(told)?;
        let Some(body) = body else { return Ok(None) };
        self.input.drain(..body.end);
        Ok(Some(Asked { target, id }))
    }

    /// The next whole answer.
    pub fn answer(&mut self, closed: bool) -> io::Result<Option<Answered>> {
        let mut lines = http::empty_headers();
        let Some(head) = http::response_head(&self.input, &mut lines).map_err(told)? else { return Ok(None) };
        let seconds = head.headers.one("retry-after").map_err(told)?.and_then(|v| v.parse::<f64>().ok());
        let retry_after = seconds.map(silvercross_settings::seconds);
        let (status, keep_alive) = (head.status, head.keep_alive);
        let Some(body) = http::body(&self.input, head.len, head.framing, closed).map_err(told)? else {
            return Ok(None);
        };
        let bytes = body.parts.iter().flat_map(|p| self.input[p.clone()].to_vec()).collect();
        self.input.drain(..body.end);
        Ok(Some(Answered { status, body: bytes, retry_after, keep_alive }))
    }
}
