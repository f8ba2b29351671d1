//! Discovery's side: a call for the whole list, or a watch on its changes.
use httparse::Status;
use serde::Deserialize;
use silvercross_core::interface::Micros;
use silvercross_facade::{DiscoveryEvent, Health, Host};
use silvercross_net::http;
use silvercross_net::registry::Watched;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A watch says something every 2 s; silent for longer, and a good part of a second, it is broken. A call waits 2 s at
/// most before it fails, so the same holds until the first word. What discovery tells meanwhile counts as told.
pub const SILENCE: Micros = 2_800_000;
/// The longest line, or list, that is read: some ten thousand upstreams.
const LONGEST: usize = 2 << 20;

/// What a connection to discovery is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The whole list, once.
    Call,
    /// What changes, from now on.
    Watch,
}

/// A list, or changes, with the version they lead to.
#[derive(Debug, PartialEq)]
pub struct Told {
    /// The list's version.
    pub seq: u64,
    /// What is new.
    pub news: DiscoveryEvent,
}

/// Why nothing more will come.
#[derive(Debug)]
pub enum Fault {
    /// The socket failed.
    Socket(io::Error),
    /// The other end closed it.
    Closed,
    /// It answered with this status.
    Status(u16),
    /// What came cannot be understood.
    Malformed(String),
}

enum Part {
    Head,
    /// Bytes left of the body, or of the present chunk.
    Bytes(usize),
    ChunkSize,
    ChunkEnd,
    UntilClose,
    Done,
}

/// The body of an answer, taken out of its framing as it comes.
pub struct Reader {
    raw: Vec<u8>,
    body: Vec<u8>,
    part: Part,
    chunked: bool,
}

impl Default for Reader {
    fn default() -> Self {
        Reader { raw: Vec::new(), body: Vec::new(), part: Part::Head, chunked: false }
    }
}

impl Reader {
    /// Take bytes in.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.raw.extend_from_slice(bytes);
        let mut at = 0;
        let malformed = |what: &str| Fault::Malformed(what.to_string());
        loop {
            let rest = &self.raw[at..];
            match self.part {
                Part::Head => {
                    let mut room = http::empty_headers();
                    let head =
                        http::response_head(rest, &mut room).map_err(|e| malformed(&format!("{e:?}")))?;
                    let Some(head) = head else { break };
                    if head.status != 200 {
                        return Err(Fault::Status(head.status));
                    }
                    self.part = match head.framing {
                        http::Framing::Length(n) => Part::Bytes(n),
                        http::Framing::Chunked => Part::ChunkSize,
                        http::Framing::UntilClose => Part::UntilClose,
                    };
                    self.chunked = head.framing == http::Framing::Chunked;
                    at += head.len;
                }
                Part::ChunkSize => {
                    match httparse::parse_chunk_size(rest).map_err(|_| malformed("a malformed chunk"))? {
                        Status::Complete((line, size)) => {
                            at += line;
                            // The last chunk ends a watch; what trails it is of no interest.
                            let size = usize::try_from(size).ok().filter(|s| *s <= LONGEST);
                            self.part = match size.ok_or_else(|| malformed("a chunk too large"))? {
                                0 => Part::Done,
                                n => Part::Bytes(n),
                            };
                        }
                        Status::Partial => break,
                    }
                }
                Part::Bytes(left) => {
                    let n = left.min(rest.len());
                    self.body.extend_from_slice(&rest[..n]);
                    at += n;
                    self.part = match (left - n, self.chunked) {
                        (0, true) => Part::ChunkEnd,
                        (0, false) => Part::Done,
                        (left, _) => Part::Bytes(left),
                    };
                    if left > n {
                        break;
                    }
                }
                Part::ChunkEnd => {
                    match rest.get(..2) {
                        Some(b"\r\n") => at += 2,
                        Some(_) => return Err(malformed("a chunk without its end")),
                        None => break,
                    }
                    self.part = Part::ChunkSize;
                }
                Part::UntilClose => {
                    self.body.extend_from_slice(rest);
                    at += rest.len();
                    break;
                }
                Part::Done => break,
            }
        }
        self.raw.drain(..at);
        if self.raw.len().max(self.body.len()) > LONGEST {
            return Err(malformed("a line too long"));
        }
        Ok(())
    }

    /// The next whole line; `None` while it is not whole.
    pub fn line(&mut self) -> Option<Vec<u8>> {
        let end = self.body.iter().position(|b| *b == b'\n')?;
        let mut line: Vec<u8> = self.body.drain(..=end).collect();
        line.truncate(line.trim_ascii_end().len());
        Some(line)
    }

    /// All of the body, once it is whole.
    pub fn whole(&self, closed: bool) -> Option<&[u8]> {
        let done = matches!(self.part, Part::Done) || (closed && matches!(self.part, Part::UntilClose));
        done.then_some(&self.body)
    }
}

/// A connection to discovery.
pub struct Conn {
    /// Its socket.
    pub socket: Watched<TcpStream>,
    /// What it is for.
    pub purpose: Purpose,
    /// When it counts as broken unless something comes.
    pub silent_at: Micros,
    request: Vec<u8>,
    reader: Reader,
}

impl Conn {
    /// A connection on its way up, to ask for what changed after `since`, or for the whole list.
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

    /// Write the request.
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

    /// Read what has come. Returns what it told, and the fault if it has ended; a call that told its list and ended
    /// has no fault.
    pub fn read(&mut self, now: Micros) -> (Vec<Told>, Option<Fault>) {
        let mut told = Vec::new();
        let mut bytes = [0; 16 * 1024];
        // So much at a time: the sockets of requests wait for their turn.
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
                // Once: its end may come with the next read.
                if let Some(list) = self.reader.whole(closed).filter(|_| told.is_empty()) {
                    told.push(read_list(list).map_err(Fault::Malformed)?);
                }
            }
            Purpose::Watch => {
                while let Some(line) = self.reader.line() {
                    // Empty lines only say that the watch stands.
                    if !line.is_empty() {
                        told.push(read_list(&line).map_err(Fault::Malformed)?);
                    }
                }
                // The last chunk ends the watch, though the connection may stay.
                if matches!(self.reader.part, Part::Done) {
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
    hosts: Vec<Listed>,
}

#[derive(Deserialize)]
struct Listed {
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
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A list in discovery's form. One bad entry makes all of it bad: half a list would be taken for a whole one.
pub fn read_list(bytes: &[u8]) -> Result<Told, String> {
    let list: List = serde_json::from_slice(bytes).map_err(|e| format!("list: {e}"))?;
    let host = |l: Listed| {
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
    fn a_bad_entry_spoils_its_list() {
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
