//! The fleet's connections between members: an exchange, which is one HTTP/1.1 request and response with bodies, after which
//! the connection is closed; and the receiving end of the persistent connections of [`batches`].
use super::batches;
use silvercross_core::interface::Micros;
use silvercross_net::http;
use silvercross_net::registry::{Interest, Watched};
use silvercross_swim::wire::MAX_EXCHANGE_BYTES;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Path of exchanges.
const PATH: &str = "/fleet/exchange";
/// Bytes after which a call of `step` stops reading.
const MAX_READ_PER_STEP: usize = 256 * 1024;

/// A connection for one exchange, or an accepted one for batches.
pub struct Conn {
    socket: Watched<TcpStream>,
    /// When it was opened or accepted, or the last batch was received.
    pub since: Micros,
    initiator: bool,
    /// It is persistent and receives batches.
    pub persistent: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

/// Result of [`Conn::advance`].
#[derive(Debug, PartialEq)]
pub enum Got {
    /// Waiting for the socket.
    Nothing,
    /// The complete body of the other side's message.
    Body(Vec<u8>),
    /// A batch of messages of the records.
    Batch(Vec<u8>),
    /// The connection has ended.
    Ended,
}

impl Conn {
    /// An exchange begun by this side, on a connection being opened.
    pub fn initiate(socket: Watched<TcpStream>, since: Micros, body: &[u8]) -> Self {
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nHost: fleet\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let output = [head.as_bytes(), body].concat();
        Conn { socket, since, initiator: true, persistent: false, input: Vec::new(), output, written: 0 }
    }

    /// An accepted connection.
    pub fn accepted(socket: Watched<TcpStream>, since: Micros) -> Self {
        Conn {
            socket,
            since,
            initiator: false,
            persistent: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
        }
    }

    /// Responds; bytes that the socket doesn't accept now are written later.
    pub fn answer(&mut self, status: u16, body: &[u8]) -> Got {
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            http::reason(status),
            body.len()
        );
        self.output = [head.as_bytes(), body].concat();
        self.advance()
    }

    /// Acknowledges a batch; the next one may follow.
    pub fn acknowledge_batch(&mut self, now: Micros) -> Got {
        self.since = now;
        self.output = b"HTTP/1.1 204 No Content\r\n\r\n".to_vec();
        self.written = 0;
        let got = self.advance();
        if self.written == self.output.len() {
            self.output.clear();
        }
        got
    }

    /// Whether this side began the exchange.
    pub fn is_initiator(&self) -> bool {
        self.initiator
    }

    /// Writes and reads as far as the socket allows.
    pub fn advance(&mut self) -> Got {
        match self.step() {
            Ok(got) => got,
            Err(_) => Got::Ended,
        }
    }

    fn step(&mut self) -> io::Result<Got> {
        while self.written < self.output.len() {
            match self.socket.get().write(&self.output[self.written..]) {
                Ok(0) => return Ok(Got::Ended),
                Ok(n) => self.written += n,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    self.socket.set(Interest::Both)?;
                    return Ok(Got::Nothing);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if !self.initiator && !self.persistent && !self.output.is_empty() {
            self.socket.get().shutdown(std::net::Shutdown::Write)?;
        }
        self.socket.set(Interest::Read)?;
        let mut chunk = [0; 16 * 1024];
        let (mut read, mut closed) = (0, false);
        while read < MAX_READ_PER_STEP {
            match self.socket.get().read(&mut chunk) {
                // The bytes read before the close may be a complete message.
                Ok(0) => {
                    closed = true;
                    break;
                }
                Ok(n) => {
                    read += n;
                    if !self.initiator && !self.persistent && !self.output.is_empty() {
                        // The response is sent: further bytes are discarded until the other end closes.
                        continue;
                    }
                    self.input.extend_from_slice(&chunk[..n]);
                    if self.input.len() > MAX_EXCHANGE_BYTES + 4096 {
                        return Ok(Got::Ended);
                    }
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        match self.parse()? {
            Got::Nothing if closed => Ok(Got::Ended),
            got => Ok(got),
        }
    }

    /// Parses the other side's message once it is complete.
    fn parse(&mut self) -> io::Result<Got> {
        if self.input.is_empty() {
            return Ok(Got::Nothing);
        }
        let bad = |b: http::MessageError| io::Error::other(format!("{b:?}"));
        let mut lines = http::empty_headers();
        let (len, framing) = if self.initiator {
            match http::response_head(&self.input, &mut lines).map_err(bad)? {
                None => return Ok(Got::Nothing),
                Some(head) if head.status != 200 => return Ok(Got::Ended),
                Some(head) => (head.len, head.framing),
            }
        } else {
            match http::request_head(&self.input, &mut lines).map_err(bad)? {
                None => return Ok(Got::Nothing),
                Some(head) if head.method == "POST" && head.target == PATH => (head.len, head.framing),
                Some(head) if head.method == "POST" && head.target == batches::PATH => {
                    self.persistent = true;
                    (head.len, head.framing)
                }
                Some(_) => return Ok(Got::Ended),
            }
        };
        let http::Framing::Length(n) = framing else { return Ok(Got::Ended) };
        if n > MAX_EXCHANGE_BYTES || self.input.len() < len + n {
            return Ok(if n > MAX_EXCHANGE_BYTES { Got::Ended } else { Got::Nothing });
        }
        let body = self.input[len..len + n].to_vec();
        if self.persistent {
            self.input.drain(..len + n);
            return Ok(Got::Batch(body));
        }
        self.input.clear();
        Ok(Got::Body(body))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use silvercross_net::registry::Registry;
    use std::net::TcpListener;

    /// A pair of connected sockets; the first is registered and non-blocking.
    fn pair() -> (Registry, Watched<TcpStream>, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let near = TcpStream::connect(listener.local_addr().expect("known")).expect("connected");
        let (far, _) = listener.accept().expect("accepted");
        near.set_nonblocking(true).expect("set");
        let registry = Registry::new().expect("made");
        let near = registry.watch(near, 1, Interest::Both).expect("watched");
        (registry, near, far)
    }

    #[test]
    fn an_answer_that_comes_together_with_the_end_is_an_answer() {
        let (_registry, near, mut far) = pair();
        let mut conn = Conn::initiate(near, 0, b"mine");
        assert_eq!(conn.advance(), Got::Nothing);
        let mut asked = [0; 4096];
        assert!(far.read(&mut asked).expect("asked") > 0);
        far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ntheirs").expect("written");
        drop(far);
        // Response and close have both arrived before this side reads: on loopback a close is visible at once.
        let got = loop {
            match conn.advance() {
                Got::Nothing => {}
                got => break got,
            }
        };
        assert_eq!(got, Got::Body(b"theirs".to_vec()));
        let (_registry, near, far) = pair();
        let mut conn = Conn::initiate(near, 0, b"mine");
        drop(far);
        let ended = (0..10_000).any(|_| conn.advance() == Got::Ended);
        assert!(ended, "a connection closed without a response has ended");
    }
}
