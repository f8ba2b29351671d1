//! Size limits of messages, by the kind of peer that sends them.

/// A body of up to this many bytes is buffered whole, so that it can be sent again if it has not run; a larger one is
/// streamed.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// The largest head of a client's request, or of an upstream's response, whatever the operator allows.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// A head from another sidecar may be larger by this, for the headers that the sidecar adds.
const MAX_ADDED_HEAD_BYTES: usize = 4 * 1024;
/// Header lines of a client's request, or of an upstream's response.
const MAX_HEADER_LINES: usize = 64;
/// A head from another sidecar may have this many more.
const MAX_ADDED_HEADER_LINES: usize = 8;
/// Header lines of any head.
pub(super) const MAX_PARSED_HEADER_LINES: usize = MAX_HEADER_LINES + MAX_ADDED_HEADER_LINES;

/// The kind of peer at the other end of a connection, which determines the limits of what it may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerKind {
    /// A client, an upstream or an operator: heads of this many bytes, [`MAX_HEAD_BYTES`] at most.
    External(usize),
    /// Another sidecar: what an external peer may send, and the header lines that a sidecar adds.
    Sidecar,
}

/// The limits of one head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeadLimits {
    /// Bytes, the blank line included.
    pub(crate) bytes: usize,
    /// Header lines.
    pub(crate) lines: usize,
}

impl PeerKind {
    /// The limits of a head that this peer sends.
    pub(crate) fn head_limits(self) -> HeadLimits {
        match self {
            PeerKind::External(bytes) => {
                HeadLimits { bytes: bytes.min(MAX_HEAD_BYTES), lines: MAX_HEADER_LINES }
            }
            PeerKind::Sidecar => {
                HeadLimits { bytes: MAX_HEAD_BYTES + MAX_ADDED_HEAD_BYTES, lines: MAX_PARSED_HEADER_LINES }
            }
        }
    }
}
