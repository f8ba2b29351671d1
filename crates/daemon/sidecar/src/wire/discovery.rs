//! Connections to discovery: a request for the complete list, or a watch of its changes.
use httparse::Status;
use serde::Deserialize;
use silvercross_core::interface::Micros;
use silvercross_facade::{DiscoveryEvent, Health, Host};
use silvercross_net::http;
use silvercross_net::registry::Watched;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A watch sends something every 2 s; without bytes for 2 s and a margin it is considered broken. A request takes 2 s at
/// most before it fails, so the same limit holds until its first byte. What discovery tells meanwhile counts as told.
pub const SILENCE: Micros = 2_800_000;
/// Maximum size of a line or list: some ten thousand upstreams.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Purpose of a connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Request the complete list once.
    Call,
    /// Receive changes from now on.
    Watch,
}

/// A list or changes, with the version that results.
#[derive(Debug, PartialEq)]
pub struct Told {
    /// The list's version.
    pub seq: u64,
    /// The list or the changes.
    pub news: DiscoveryEvent,
}

/// Why a connection to discovery ended.
#[derive(Debug)]
pub enum Fault {
    /// The socket failed.
    Socket(io::Error),
    /// The other end closed it.
    Closed,
    /// The response has this status.
    Status(u16),
    /// The response is malformed.
    Malformed(String),
}

enum DecodeState {
    Head,
    /// Remaining bytes of the body or of the current chunk.
    Bytes(usize),
    ChunkSize,
    ChunkEnd,
    UntilClose,
    Done,
}

/// Decodes the body of a response as it arrives.
pub struct Reader {
    raw: Vec<u8>,
    body: Vec<u8>,
    state: DecodeState,
    chunked: bool,
}

impl Default for Reader {
    fn default() -> Self {
        Reader { raw: Vec::new(), body: Vec::new(), state: DecodeState::Head, chunked: false }
    }
}

impl Reader {
    /// Decodes further bytes.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.raw.extend_from_slice(bytes);
        let mut at = 0;
        let malformed = |what: &str| Fault::Malformed(what.to_string());
        loop {
            let rest = &self.raw[at..];
            match self.state {
                DecodeState::Head => {
                    let mut headers = http::empty_headers();
                    let head =
                        http::response_head(rest, &mut headers).map_err(|e| malformed(&format!("{e:?}")))?;
                    let Some(head) = head else { break };
                    if head.status != 200 {
                        return Err(Fault::Status(head.status));
                    }
                    self.state = match head.framing {
                        http::Framing::Length(n) => DecodeState::Bytes(n),
                        http::Framing::Chunked => DecodeState::ChunkSize,
                        http::Framing::UntilClose => DecodeState::UntilClose,
                    };
                    self.chunked = head.framing == http::Framing::Chunked;
                    at += head.len;
                }
                DecodeState::ChunkSize => {
                    match httparse::parse_chunk_size(rest).map_err(|_| malformed("a malformed chunk"))? {
                        Status::Complete((line, size)) => {
                            at += line;
                            // The last chunk ends a watch; trailers are ignored.
                            let size = usize::try_from(size).ok().filter(|s| *s <= MAX_LIST_BYTES);
                            self.state = match size.ok_or_else(|| malformed("a chunk too large"))? {
                                0 => DecodeState::Done,
                                n => DecodeState::Bytes(n),
                            };
                        }
                        Status::Partial => break,
                    }
                }
                DecodeState::Bytes(left) => {
                    let n = left.min(rest.len());
                    self.body.extend_from_slice(&rest[..n]);
                    at += n;
                    self.state = match (left - n, self.chunked) {
                        (0, true) => DecodeState::ChunkEnd,
                        (0, false) => DecodeState::Done,
                        (left, _) => DecodeState::Bytes(left),
                    };
                    if left > n {
                        break;
                    }
                }
                DecodeState::ChunkEnd => {
                    match rest.get(..2) {
                        Some(b"\r\n") => at += 2,
                        Some(_) => return Err(malformed("a chunk without its end")),
                        None => break,
                    }
                    self.state = DecodeState::ChunkSize;
                }
                DecodeState::UntilClose => {
                    self.body.extend_from_slice(rest);
                    at += rest.len();
                    break;
                }
                DecodeState::Done => break,
            }
        }
        self.raw.drain(..at);
        if self.raw.len().max(self.body.len()) > MAX_LIST_BYTES {
            return Err(malformed("a line too long"));
        }
        Ok(())
    }

    /// The next line; `None` until it is complete.
    pub fn line(&mut self) -> Option<Vec<u8>> {
        let end = self.body.iter().position(|b| *b == b'\n')?;
        let mut line: Vec<u8> = self.body.drain(..=end).collect();
        line.truncate(line.trim_ascii_end().len());
        Some(line)
    }

    /// The body, once it is complete.
    pub fn whole(&self, closed: bool) -> Option<&[u8]> {
        let done = matches!(self.state, DecodeState::Done)
            || (closed && matches!(self.state, DecodeState::UntilClose));
        done.then_some(&self.body)
    }
}

/// A connection to discovery.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// Its purpose.
    pub purpose: Purpose,
    /// When it is considered broken unless bytes arrive before.
    pub silent_at: Micros,
    request: Vec<u8>,
    reader: Reader,
}

impl Conn {
    /// A connection being opened, to request the changes after version `since`, or the complete list.
    pub fn new(
        socket: Watched<TcpStream>,
        purpose: Purpose,
        host: SocketAddr,
        since: u64,
        now: Micros,
    ) -> Self {
        let (path, close) = match purpose {
            Purpose::Call => ("/v1/servers".to_string(), "Connection: close\r\n"),
            Purpose::Watch => (format!("/v1/servers?follow=1&since={since}"), ""),
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n{close}\r\n").into_bytes();
        Conn { socket, purpose, silent_at: now + SILENCE, request, reader: Reader::default() }
    }

    /// Whether the request is still to be written.
    pub fn is_writing(&self) -> bool {
        !self.request.is_empty()
    }

    /// Writes the request as far as the socket allows.
    pub fn write(&mut self) -> Result<(), Fault> {
        if let Some(e) = self.socket.get().take_error().map_err(Fault::Socket)? {
            return Err(Fault::Socket(e));
        }
        while !self.request.is_empty() {
            match self.socket.get().write(&self.request) {
                Ok(n) => drop(self.request.drain(..n)),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(())
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(Fault::Socket(e)),
            }
        }
        self.socket.set(silvercross_net::registry::Interest::Read).map_err(Fault::Socket)
    }

    /// Reads what has arrived. Returns the lists received, and the fault if the connection has ended.
    pub fn read(&mut self, now: Micros) -> (Vec<Told>, Option<Fault>) {
        let mut told = Vec::new();
        let mut bytes = [0; 16 * 1024];
        // Bounded, since the sockets of requests wait meanwhile.
        for _ in 0..16 {
            let n = match self.socket.get().read(&mut bytes) {
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return (told, Some(Fault::Socket(e))),
            };
            self.silent_at = now + SILENCE;
            if let Err(fault) = self.take(&bytes[..n], n == 0, &mut told) {
                return (told, Some(fault));
            }
            if n == 0 {
                return (told, Some(Fault::Closed));
            }
        }
        (told, None)
    }

    fn take(&mut self, bytes: &[u8], closed: bool, told: &mut Vec<Told>) -> Result<(), Fault> {
        self.reader.feed(bytes)?;
        match self.purpose {
            Purpose::Call => {
                // Only once: the close of the connection may follow with the next read.
                if let Some(list) = self.reader.whole(closed).filter(|_| told.is_empty()) {
                    told.push(read_list(list).map_err(Fault::Malformed)?);
                }
            }
            Purpose::Watch => {
                while let Some(line) = self.reader.line() {
                    // Empty lines are heartbeats.
                    if !line.is_empty() {
                        told.push(read_list(&line).map_err(Fault::Malformed)?);
                    }
                }
                // The last chunk ends the watch, even if the connection stays open.
                if matches!(self.reader.state, DecodeState::Done) {
                    return Err(Fault::Closed);
                }
            }
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct List {
    seq: u64,
    #[serde(default)]
    whole: bool,
    hosts: Vec<HostEntry>,
}

#[derive(Deserialize)]
struct HostEntry {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    health: String,
    #[serde(default = "default_share")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn default_share() -> f64 {
    1.0
}

/// Parses a list in discovery's format. One invalid entry invalidates all of it, since a partial list would be taken for a
/// complete one.
pub fn read_list(bytes: &[u8]) -> Result<Told, String> {
    let list: List = serde_json::from_slice(bytes).map_err(|e| format!("list: {e}"))?;
    let host = |l: HostEntry| {
        let health = match l.health.as_str() {
            "ready" => Health::Ready,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            other => return Err(format!("list: unknown health {other:?}")),
        };
        let address = l.dial.parse().ok();
        if address.is_none() && health == Health::Ready {
            return Err(format!("list: {:?} is no address", l.dial));
        }
        if l.host.is_empty() {
            return Err("list: a host without a name".into());
        }
        let size = if l.share.is_finite() && l.share > 0.0 { l.share } else { 1.0 };
        let (zone, kind) = (l.site, l.class);
        Ok(Host { name: l.host, address, zone, kind, cell: l.block, health, size, started_ms: l.born_ms })
    };
    let hosts = list.hosts.into_iter().map(host).collect::<Result<_, _>>()?;
    Ok(Told { seq: list.seq, news: DiscoveryEvent::List { whole: list.whole, hosts } })
}

#[cfg(test)]
mod tests {
    use super::*;

    const LINE: &str = r#"{"seq":43,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:3000","site":"a","class":"m2","block":3,"health":"draining","share":1.0,"born_ms":7,"new":[1]}]}"#;

    fn chunked(parts: &[&str]) -> Vec<u8> {
        let chunks: String = parts.iter().map(|p| format!("{:x}\r\n{p}\r\n", p.len())).collect();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
    }

    #[test]
    fn lines_are_found_at_any_cut() {
        let text = chunked(&["\n", &LINE[..20], &LINE[20..], "\n\n"]);
        for step in [1, 7, 4096] {
            let (mut reader, mut lines) = (Reader::default(), Vec::new());
            for part in text.chunks(step) {
                reader.feed(part).expect("well-formed");
                lines.extend(std::iter::from_fn(|| reader.line()));
            }
            assert_eq!(lines, [&b""[..], LINE.as_bytes(), b""]);
        }
    }

    #[test]
    fn a_list_is_read_with_what_it_adds() {
        let told = read_list(LINE.as_bytes()).expect("well-formed");
        let DiscoveryEvent::List { whole, hosts } = told.news else { panic!("no list") };
        assert_eq!((told.seq, whole, hosts.len()), (43, false, 1));
        assert_eq!((hosts[0].health, hosts[0].started_ms, hosts[0].cell), (Health::Draining, 7, 3));
    }

    #[test]
    fn an_invalid_entry_invalidates_its_list() {
        for (from, to) in [
            ("draining", "odd"),
            ("\"s-1\"", "\"\""),
            ("\"seq\":43", "\"seq\":-1"),
            ("\"block\":3", "\"block\":\"x\""),
            ("]}", "]"),
        ] {
            assert!(read_list(LINE.replacen(from, to, 1).as_bytes()).is_err(), "{to}");
        }
        let ready = LINE.replace("draining", "ready").replace("127.0.0.1:3000", "nowhere");
        assert!(read_list(ready.as_bytes()).is_err());
    }

    #[test]
    fn an_answer_that_is_no_list_is_a_fault() {
        let mut reader = Reader::default();
        let fault = reader.feed(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
        assert!(matches!(fault, Err(Fault::Status(503))));
        let mut reader = Reader::default();
        let fault = reader.feed(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc");
        assert!(matches!(fault, Err(Fault::Malformed(_))));
    }
}
