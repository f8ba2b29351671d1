//! HTTP/1.1 connections of either side: heads and bodies read and written, by the framing of `silvercross-net`. Knows no
//! route and no upstream.
mod heads;
mod line;
mod reading;
mod writing;

pub use heads::{RequestHead, Response};
pub use line::{Connection, ConnectionEvent};
pub use writing::{encode_response, encode_response_start, error_status, write_piece, Size, LAST_CHUNK};

use heads::{LINES, LINES_ADDED};
use silvercross_net::http::Bad;
use std::io;

/// A body up to this is held whole, so that it can be sent again where it did not run; a larger one is passed on as it comes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// The largest head of a client's request, or of an upstream's answer, whatever the operator allows.
pub const HEAD: usize = 64 * 1024;
/// A hop's head may be so much larger: by what the sidecar before adds.
const ADDED: usize = 4 * 1024;

/// Why a message could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended between two messages.
    Closed,
    /// It ended, or broke, within one.
    Broken,
    /// What came is not a message within the bounds.
    Bad(Bad),
    /// It did not come in time.
    Late,
    /// There is no room for its body among those held here.
    NoRoom,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        ReadError::Broken
    }
}

impl From<Bad> for ReadError {
    fn from(bad: Bad) -> Self {
        ReadError::Bad(bad)
    }
}

/// Who is at the other end of a connection: what it may send goes by that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A client, an upstream, an operator: heads of so many bytes, [`HEAD`] at most.
    External(usize),
    /// Another sidecar: what an outer end may send, and the lines that a sidecar adds.
    Sidecar,
}

impl PeerKind {
    /// Bytes and lines of a head.
    fn most(self) -> (usize, usize) {
        match self {
            PeerKind::External(bytes) => (bytes.min(HEAD), LINES),
            PeerKind::Sidecar => (HEAD + ADDED, LINES + LINES_ADDED),
        }
    }
}
