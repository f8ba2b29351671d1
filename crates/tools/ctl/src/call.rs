//! One HTTP call to a control address, whole within its time.
use anyhow::{bail, Context, Result};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// No answer's body is larger.
const LARGEST: u64 = 64 << 20;
/// No line of a head is longer.
const LINE: u64 = 16 * 1024;
/// No head has more lines.
const LINES: usize = 64;
/// How often a call is passed on.
const PASSED_ON: usize = 3;

/// What came back.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// A connection on which an answer's head was read.
pub struct Stream {
    /// Its status.
    pub status: u16,
    location: Option<String>,
    length: Option<u64>,
    chunked: bool,
    reader: BufReader<TcpStream>,
}

fn line(reader: &mut BufReader<TcpStream>) -> Result<String> {
    let mut text = String::new();
    reader.by_ref().take(LINE).read_line(&mut text)?;
    if !text.ends_with('\n') {
        bail!("the answer ends early");
    }
    Ok(text.trim_end().to_string())
}

/// Send a call and read the head of its answer. `limit` holds for the connection and for each wait after it.
pub fn open(at: SocketAddr, method: &str, path: &str, body: &[u8], limit: Duration) -> Result<Stream> {
    let stream = TcpStream::connect_timeout(&at, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let _ = stream.set_nodelay(true);
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let first = line(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.with_context(|| format!("{first:?} is no HTTP answer"))?;
    let mut it = Stream { status, location: None, length: None, chunked: false, reader };
    for _ in 0..LINES {
        let text = line(&mut it.reader)?;
        if text.is_empty() {
            return Ok(it);
        }
        let (name, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "location" => it.location = Some(value.to_string()),
            "content-length" => it.length = Some(value.parse().context("the answer's length")?),
            "transfer-encoding" => it.chunked = value.eq_ignore_ascii_case("chunked"),
            _ => {}
        }
    }
    bail!("the answer's head has more than {LINES} lines")
}

impl Stream {
    /// The next line of a body that ends with the connection; `None` at its end.
    pub fn next_line(&mut self) -> Result<Option<String>> {
        let mut bytes = Vec::new();
        self.reader.by_ref().take(LARGEST).read_until(b'\n', &mut bytes)?;
        if !bytes.ends_with(b"\n") {
            return Ok(None);
        }
        Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_string()))
    }

    /// How long each wait may take from now on.
    pub fn patience(&self, limit: Duration) -> Result<()> {
        Ok(self.reader.get_ref().set_read_timeout(Some(limit))?)
    }

    /// The rest, whole.
    pub fn whole(mut self) -> Result<Answer> {
        let mut body = Vec::new();
        if self.chunked {
            bail!("an answer in chunks is not expected here");
        }
        let most = self.length.unwrap_or(LARGEST).min(LARGEST);
        self.reader.by_ref().take(most).read_to_end(&mut body)?;
        if self.length.is_some_and(|n| n != body.len() as u64) {
            bail!("the answer ends early");
        }
        Ok(Answer { status: self.status, body: String::from_utf8(body).context("the answer's body")? })
    }
}

/// One call; followed where it is passed on to another node.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &[u8], limit: Duration) -> Result<Answer> {
    let (mut at, mut path) = (at, path.to_string());
    for _ in 0..PASSED_ON {
        let stream = open(at, method, &path, body, limit).with_context(|| at.to_string())?;
        if stream.status != 307 {
            return stream.whole().with_context(|| at.to_string());
        }
        let to = stream.location.as_deref().and_then(|l| l.strip_prefix("http://"));
        let to = to.and_then(|l| l.split_once('/')).and_then(|(host, rest)| Some((host.parse().ok()?, rest)));
        let Some((host, rest)) = to else {
            bail!("{at}: passes the call on, but to {:?}", stream.location);
        };
        (at, path) = (host, format!("/{rest}"));
    }
    bail!(
        "{at}: the call is passed on again and again (look at who is an office with `silvercrossctl nodes`)"
    )
}
