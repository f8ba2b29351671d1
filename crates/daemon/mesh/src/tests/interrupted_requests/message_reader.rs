//! Reads complete HTTP messages from a connection; a malformed message ends it.
use crate::tests::support::header_value;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A connection with the bytes received beyond the last message.
pub(super) struct MessageReader {
    pub(super) stream: TcpStream,
    received: Vec<u8>,
}

/// An HTTP message.
pub(super) struct Message {
    pub(super) head: String,
    pub(super) body: Vec<u8>,
}

impl MessageReader {
    pub(super) fn new(stream: TcpStream) -> Self {
        MessageReader { stream, received: Vec::new() }
    }

    /// Whether bytes beyond the last message were received.
    pub(super) fn has_surplus(&self) -> bool {
        !self.received.is_empty() || matches!(self.stream.try_read(&mut [0; 1]), Ok(n) if n > 0)
    }

    async fn receive(&mut self) -> Option<()> {
        let mut buffer = vec![0; 64 * 1024];
        let length = self.stream.read(&mut buffer).await.ok().filter(|n| *n > 0)?;
        self.received.extend_from_slice(&buffer[..length]);
        Some(())
    }

    /// Reads up to and including a separator.
    async fn read_until(&mut self, separator: &[u8]) -> Option<Vec<u8>> {
        loop {
            match self.received.windows(separator.len()).position(|w| w == separator) {
                Some(at) => return Some(self.received.drain(..at + separator.len()).collect()),
                None => self.receive().await?,
            }
        }
    }

    /// Reads a complete message; `None` if the connection ended first.
    pub(super) async fn read(&mut self) -> Option<Message> {
        let head = String::from_utf8(self.read_until(b"\r\n\r\n").await?).ok()?;
        let body = match header_value(&head, "transfer-encoding") {
            Some(_) => self.read_chunks().await?,
            None => {
                let length = header_value(&head, "content-length").map_or(Some(0), |n| n.parse().ok())?;
                self.read_bytes(length).await?
            }
        };
        Some(Message { head, body })
    }

    async fn read_bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.received.len() < length {
            self.receive().await?;
        }
        Some(self.received.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_until(b"\r\n").await?;
            let size = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
            body.extend(self.read_bytes(size).await?);
            self.read_bytes(2).await?;
            if size == 0 {
                return Some(body);
            }
        }
    }
}
