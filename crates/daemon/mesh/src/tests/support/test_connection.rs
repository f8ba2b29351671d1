//! The remote end of a sidecar's connection, as a client, an upstream or another sidecar, at the level of bytes.
use super::EVENT_TIMEOUT;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The attempt id header of requests that need no distinct id.
pub(crate) const ATTEMPT_ID_LINE: &str = "Attempt-Id: a1\r\n";

/// A connection with the bytes received but not yet read.
pub(crate) struct TestConnection {
    pub(crate) stream: TcpStream,
    received: Vec<u8>,
}

/// A received body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedBody {
    pub(crate) bytes: Vec<u8>,
    /// Whether the end stated by the head was reached.
    pub(crate) is_complete: bool,
}

impl TestConnection {
    pub(crate) async fn connect(to: SocketAddr) -> TestConnection {
        TestConnection::from_stream(TcpStream::connect(to).await.expect("open connection"))
    }

    pub(crate) fn from_stream(stream: TcpStream) -> TestConnection {
        TestConnection { stream, received: Vec::new() }
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("written");
    }

    /// Receives some bytes; 0 if the other end has closed or reset the connection.
    pub(crate) async fn receive(&mut self) -> usize {
        let mut buffer = vec![0; 64 * 1024];
        let read = timeout(EVENT_TIMEOUT, self.stream.read(&mut buffer)).await;
        let length = read.expect("event within the timeout").unwrap_or(0);
        self.received.extend_from_slice(&buffer[..length]);
        length
    }

    /// Whether the other end has neither closed nor sent anything, after all tasks of this process have had a turn.
    pub(crate) async fn is_open_and_quiet(&mut self) -> bool {
        for _ in 0..64 {
            tokio::task::yield_now().await;
        }
        let mut buffer = [0; 1];
        matches!(self.stream.try_read(&mut buffer), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Reads a head including the blank line; empty if the connection ended.
    pub(crate) async fn read_head(&mut self) -> String {
        loop {
            if let Some(end) = self.received.windows(4).position(|w| w == b"\r\n\r\n") {
                return String::from_utf8(self.received.drain(..end + 4).collect()).expect("UTF-8 head");
            }
            if self.receive().await == 0 {
                return String::new();
            }
        }
    }

    /// Reads this many bytes, or fewer if the connection ended.
    pub(crate) async fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        while self.received.len() < length && self.receive().await > 0 {}
        self.received.drain(..length.min(self.received.len())).collect()
    }

    /// Reads a line without its line end.
    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.received.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.received.drain(..end + 2).collect();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if self.receive().await == 0 {
                return None;
            }
        }
    }

    /// Reads the body that follows a head.
    pub(crate) async fn read_body(&mut self, head: &str) -> ReceivedBody {
        if let Some(length) = header_value(head, "content-length") {
            let length = length.parse().expect("numeric Content-Length");
            let bytes = self.read_bytes(length).await;
            let is_complete = bytes.len() == length;
            return ReceivedBody { bytes, is_complete };
        }
        let mut bytes = Vec::new();
        if header_value(head, "transfer-encoding").is_none() {
            return ReceivedBody { bytes, is_complete: true };
        }
        loop {
            let Some(size) = self.read_line().await else {
                return ReceivedBody { bytes, is_complete: false };
            };
            let size = usize::from_str_radix(&size, 16).expect("hexadecimal chunk size");
            let chunk = self.read_bytes(size).await;
            let is_complete = chunk.len() == size && self.read_line().await.is_some();
            bytes.extend(chunk);
            if !is_complete || size == 0 {
                return ReceivedBody { bytes, is_complete };
            }
        }
    }
}

/// A header's value.
pub(crate) fn header_value(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (line_name, value) = line.split_once(':')?;
        line_name.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}

/// The status of a response.
pub(crate) fn status(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

/// Patterned bytes, in which a misplaced part would be detected.
pub(crate) fn patterned_bytes(length: usize) -> Vec<u8> {
    (0..length as u64).map(|i| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8).collect()
}
