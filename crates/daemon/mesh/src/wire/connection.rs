//! One TCP connection: its two halves, the bytes received but not parsed yet, whether it can be reused, and closing it.
//!
//! Messages are read in `reading.rs` and encoded in `writing.rs`.
use super::PeerKind;
use crate::mutation::{self, Mutation};
use bytes::BytesMut;
use silvercross_net::send_queue;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Longest wait before a close until all that was written is sent: the other end may read slowly.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the checks during that wait.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the checks whether the other end has closed, while bytes that it sent are unread.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Most input that is read and discarded before a close, in bytes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

#[derive(Debug)]
enum Halves {
    /// Both halves are in place.
    Joined(TcpStream),
    /// The write half was taken out.
    ReadOnly(OwnedReadHalf),
    /// Neither: while halves are exchanged, and after a failed reunion.
    Taken,
}

/// A connection and what was received on it that is not parsed yet.
#[derive(Debug)]
pub(crate) struct Connection {
    halves: Halves,
    pub(super) received: BytesMut,
    /// When the other end's close was first seen.
    closed_since: Option<Instant>,
    /// The kind of peer at the other end.
    pub(crate) peer: PeerKind,
}

/// What happened on a connection that was waited on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEvent {
    /// Bytes were received.
    Received,
    /// The other end closed in an orderly way.
    Closed,
    /// The connection broke.
    Broken,
}

impl Connection {
    /// Create a connection over a connected stream.
    pub(crate) fn new(stream: TcpStream, peer: PeerKind) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { halves: Halves::Joined(stream), received: BytesMut::new(), closed_since: None, peer }
    }

    /// Whether an idle connection can carry another request: nothing was received that was not asked for, and the other
    /// end has not closed. This peeks at the socket instead of asking the reactor, which knows only what had
    /// arrived at its last poll.
    pub(crate) fn is_reusable(&self) -> bool {
        let Halves::Joined(stream) = &self.halves else { return false };
        if mutation::is_active(Mutation::SurplusBytesKept) {
            return true;
        }
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = socket2::SockRef::from(stream).peek(&mut byte);
        self.received.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the other end has closed the connection, or its sending direction, or the connection broke. Not known
    /// while received bytes are unread.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let Halves::Joined(stream) = &self.halves else { return false };
        let mut byte = [MaybeUninit::uninit(); 1];
        match socket2::SockRef::from(stream).peek(&mut byte) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Wait until that is so. Nothing is read: bytes that came meanwhile stay where they are.
    pub(crate) async fn wait_until_closed_by_peer(&self) {
        let Halves::Joined(stream) = &self.halves else { return std::future::pending().await };
        while !self.is_closed_by_peer() {
            if matches!(stream.peek(&mut [0; 1]).await, Ok(length) if length > 0) {
                tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            }
        }
    }

    /// Whether bytes were received after the last message.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        !self.received.is_empty() && !mutation::is_active(Mutation::SurplusBytesKept)
    }

    /// Bytes that were received and not parsed yet.
    pub(crate) fn unread_length(&self) -> usize {
        self.received.len()
    }

    /// When the other end's close was first seen; now, if it was not.
    pub(crate) fn closed_since(&self) -> Instant {
        self.closed_since.unwrap_or_else(Instant::now)
    }

    /// The address of the other end; `None` if it is not known any more.
    pub(crate) fn peer_address(&self) -> Option<SocketAddr> {
        match &self.halves {
            Halves::Joined(stream) => stream.peer_addr().ok(),
            Halves::ReadOnly(read) => read.peer_addr().ok(),
            Halves::Taken => None,
        }
    }

    /// Whether both halves are in place.
    pub(crate) fn has_both_halves(&self) -> bool {
        matches!(self.halves, Halves::Joined(_))
    }

    /// Take the write half out, so that both directions can proceed at the same time; `None` if it is not in place.
    pub(crate) fn take_write_half(&mut self) -> Option<OwnedWriteHalf> {
        match std::mem::replace(&mut self.halves, Halves::Taken) {
            Halves::Joined(stream) => {
                let (read, write) = stream.into_split();
                self.halves = Halves::ReadOnly(read);
                Some(write)
            }
            other => {
                self.halves = other;
                None
            }
        }
    }

    /// Put the write half back.
    pub(crate) fn restore_write_half(&mut self, write: OwnedWriteHalf) {
        if let Halves::ReadOnly(read) = std::mem::replace(&mut self.halves, Halves::Taken) {
            self.halves = read.reunite(write).map_or(Halves::Taken, Halves::Joined);
        }
    }

    /// Receive bytes and append them to the buffer; 0: the other end has closed.
    pub(super) async fn receive(&mut self) -> io::Result<usize> {
        self.received.reserve(READ_BYTES);
        let length = match &mut self.halves {
            Halves::Joined(stream) => stream.read_buf(&mut self.received).await?,
            Halves::ReadOnly(read) => read.read_buf(&mut self.received).await?,
            Halves::Taken => return Err(io::ErrorKind::NotConnected.into()),
        };
        if length == 0 {
            self.closed_since.get_or_insert_with(Instant::now);
        }
        Ok(length)
    }

    /// Wait until bytes are received, which stay in the buffer, or the connection ends.
    pub(crate) async fn wait_for_event(&mut self) -> ConnectionEvent {
        match self.receive().await {
            Ok(0) => ConnectionEvent::Closed,
            Ok(_) => ConnectionEvent::Received,
            Err(_) => ConnectionEvent::Broken,
        }
    }

    /// Wait for the first byte of a request; `false`: none came in time, or the connection ended.
    pub(crate) async fn wait_for_bytes(&mut self, idle_timeout: Duration) -> bool {
        !self.received.is_empty() || matches!(timeout(idle_timeout, self.receive()).await, Ok(Ok(n)) if n > 0)
    }

    /// Write bytes; both halves have to be in place.
    ///
    /// # Errors
    /// Those of the socket, and `NotConnected` while the write half is out.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.halves {
            Halves::Joined(stream) => stream.write_all(bytes).await,
            Halves::ReadOnly(_) | Halves::Taken => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Write what the system takes at once, and return how many bytes that is.
    ///
    /// # Errors
    /// Those of the socket, and `NotConnected` while the write half is out.
    pub(crate) fn write_available(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let Halves::Joined(stream) = &self.halves else { return Err(io::ErrorKind::NotConnected.into()) };
        let mut written = 0;
        while written < bytes.len() {
            match stream.try_write(&bytes[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(written)
    }

    /// Make the close reset the connection, so that the other end can't take what was written for complete.
    pub(crate) fn reset_on_close(&mut self) {
        if let Halves::Joined(stream) = &self.halves {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Shut down the write half.
    pub(crate) async fn shut_down_writing(&mut self) {
        if let Halves::Joined(stream) = &mut self.halves {
            let _ = stream.shutdown().await;
        }
    }

    /// Close gracefully after a last message. A reset loses what the other end has not received, and both unread input at the
    /// close and input after it cause one. So input is read and discarded until all bytes were sent, at most for
    /// [`DELIVERY_TIMEOUT`], and then until the other end closes, at most for `discard_timeout`.
    pub(crate) async fn close_gracefully(&mut self, discard_timeout: Duration) {
        let mut left = MAX_DISCARDED_BYTES;
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        while !self.is_all_sent() && Instant::now() < deadline {
            if timeout(DELIVERY_CHECK_INTERVAL, self.discard_input(&mut left)).await.is_ok() {
                // No input that could cause a reset comes any more: the system sends the rest.
                return;
            }
        }
        self.shut_down_writing().await;
        let _ = timeout(discard_timeout, self.discard_input(&mut left)).await;
    }

    /// Read and discard input until the other end closes or the connection breaks. Nothing is read beyond the bound `left`.
    async fn discard_input(&mut self, left: &mut usize) {
        while *left > 0 {
            match self.receive().await {
                Ok(n) if n > 0 => *left = left.saturating_sub(n),
                _ => return,
            }
            self.received.clear();
        }
        std::future::pending().await
    }

    /// Whether all that was written was sent, so that none of it waits for the other end to read. Also `true` for a connection
    /// of which that can't be told.
    fn is_all_sent(&self) -> bool {
        match &self.halves {
            Halves::Joined(stream) => send_queue::is_empty(stream),
            Halves::ReadOnly(_) | Halves::Taken => true,
        }
    }
}
