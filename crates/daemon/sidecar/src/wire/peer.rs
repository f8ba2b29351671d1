//! A gateway's connection to a far gateway while no requests are sent to it: a persistent connection on which its offer is
//! requested periodically. The offer is in one header line, as in every response over the link.
use silvercross_core::interface::Micros;
use silvercross_gateway::statement;
use silvercross_net::http;
use silvercross_net::pending::write_pending;
use silvercross_net::registry::Watched;
use std::io::{self, Read};
use std::net::TcpStream;

/// Path at which an offer is requested.
pub const OFFER_PATH: &str = "/gateway/offer";
/// Maximum size of a response with an offer.
const MAX_RESPONSE_BYTES: usize = 4096;

/// A connection to a far gateway.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// The far gateway's index.
    pub peer: usize,
    /// When the request was sent that has no response yet.
    pub requested_at: Option<Micros>,
    output: Vec<u8>,
    input: Vec<u8>,
}

impl Conn {
    /// A connection being opened.
    pub fn new(socket: Watched<TcpStream>, peer: usize) -> Self {
        Conn { socket, peer, requested_at: None, output: Vec::new(), input: Vec::new() }
    }

    /// Requests the offer.
    pub fn request_offer(&mut self, now: Micros) -> io::Result<()> {
        self.requested_at = Some(now);
        self.output = format!("GET {OFFER_PATH} HTTP/1.1\r\nHost: gateway\r\n\r\n").into_bytes();
        self.flush()
    }

    fn flush(&mut self) -> io::Result<()> {
        write_pending(&mut self.socket, &mut self.output)
    }

    /// Writes and reads as far as the socket allows. Returns the value of the offer's header once a response is complete. A
    /// response without that header is an error: the other end is not a gateway.
    pub fn advance(&mut self) -> io::Result<Option<String>> {
        if let Some(e) = self.socket.get().take_error()? {
            return Err(e);
        }
        self.flush()?;
        let mut bytes = [0; 1024];
        loop {
            match self.socket.get().read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.input.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
            if self.input.len() > MAX_RESPONSE_BYTES {
                return Err(io::Error::other("the response to a request for the offer is too long"));
            }
        }
        let mut lines = http::empty_headers();
        let bad = |b: http::MessageError| io::Error::other(format!("{b:?}"));
        let Some(head) = http::response_head(&self.input, &mut lines).map_err(bad)? else { return Ok(None) };
        let value = head.headers.one(statement::HEADER).map_err(bad)?.map(str::to_string);
        let Some(body) = http::body(&self.input, head.len, head.framing, false).map_err(bad)? else {
            return Ok(None);
        };
        self.input.drain(..body.end);
        self.requested_at = None;
        value.map(Some).ok_or_else(|| io::Error::other("the response has no offer header"))
    }
}
