//! One connection: its halves, whether it is fresh, what comes on it, and its end.
use super::PeerKind;
use crate::mutation::{self, Mutation};
use bytes::BytesMut;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Read at a time.
const PIECE: usize = 16 * 1024;

#[derive(Debug)]
enum Side {
    Whole(TcpStream),
    /// The writing half is somewhere else meanwhile.
    Reading(OwnedReadHalf),
    /// It was taken for a moment.
    None,
}

/// A connection and what has come on it that was not yet read.
#[derive(Debug)]
pub struct Connection {
    side: Side,
    pub(super) come: BytesMut,
    /// Who is at its other end.
    pub end: PeerKind,
}

/// Who called an exchange off, as seen from the other end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// Something came.
    More,
    /// The other end closed in order.
    Closed,
    /// The connection broke.
    Broke,
}

impl Connection {
    /// Over a connection that is up.
    pub fn new(stream: TcpStream, end: PeerKind) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { side: Side::Whole(stream), come: BytesMut::new(), end }
    }

    /// Nothing came that was not asked for, and the other end has not closed. The system is asked, not the reactor: that knows
    /// only of what had come when it last looked.
    pub fn is_fresh(&self) -> bool {
        let Side::Whole(stream) = &self.side else { return false };
        if mutation::is_active(Mutation::SurplusBytesKept) {
            return true;
        }
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = socket2::SockRef::from(stream).peek(&mut byte);
        self.come.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Something came behind the last message.
    pub fn has_surplus(&self) -> bool {
        !self.come.is_empty() && !mutation::is_active(Mutation::SurplusBytesKept)
    }

    /// Whether both halves are here.
    pub fn is_joined(&self) -> bool {
        matches!(self.side, Side::Whole(_))
    }

    /// Take the writing half out, so that both directions can go on at the same time.
    pub fn split(&mut self) -> Option<OwnedWriteHalf> {
        match std::mem::replace(&mut self.side, Side::None) {
            Side::Whole(stream) => {
                let (read, write) = stream.into_split();
                self.side = Side::Reading(read);
                Some(write)
            }
            other => {
                self.side = other;
                None
            }
        }
    }

    /// Put the writing half back.
    pub fn join(&mut self, write: OwnedWriteHalf) {
        if let Side::Reading(read) = std::mem::replace(&mut self.side, Side::None) {
            self.side = read.reunite(write).map_or(Side::None, Side::Whole);
        }
    }

    /// Read what has come; 0: the other end has closed.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        self.come.reserve(PIECE);
        match &mut self.side {
            Side::Whole(stream) => stream.read_buf(&mut self.come).await,
            Side::Reading(read) => read.read_buf(&mut self.come).await,
            Side::None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Wait until something comes or the connection ends. What came is kept.
    pub async fn stirs(&mut self) -> ConnectionEvent {
        match self.fill().await {
            Ok(0) => ConnectionEvent::Closed,
            Ok(_) => ConnectionEvent::More,
            Err(_) => ConnectionEvent::Broke,
        }
    }

    /// Wait for the first byte of a request; `false`: none came, or the connection ended.
    pub async fn awaits(&mut self, idle: Duration) -> bool {
        !self.come.is_empty() || matches!(timeout(idle, self.fill()).await, Ok(Ok(n)) if n > 0)
    }

    /// Write bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.side {
            Side::Whole(stream) => stream.write_all(bytes).await,
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// The next close is a reset: what went out can't be taken for whole.
    pub fn abort(&mut self) {
        if let Side::Whole(stream) = &self.side {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Close the writing half in order.
    pub async fn finish(&mut self) {
        if let Side::Whole(stream) = &mut self.side {
            let _ = stream.shutdown().await;
        }
    }

    /// Read away what still comes, for a moment: a close with bytes unread resets, and the answer would be lost.
    pub async fn drain(&mut self, span: Duration) {
        let read = async {
            let mut left = 1 << 20;
            while let Ok(n) = self.fill().await {
                self.come.clear();
                if n == 0 || left < n {
                    break;
                }
                left -= n;
            }
        };
        let _ = timeout(span, read).await;
    }
}
