//! Snapshots in transfer: an encoded value, sent in chunks that the receiver requests one by one.
//!
//! What was received is kept when a link is lost, and only a complete snapshot of one revision is installed.
//! Which node is asked, and when again, is decided in `protocol::snapshots`.

use crate::limits::{CHUNK_TIMEOUT, FIRST_CHUNK_TIMEOUT, MAX_CHUNKS_IN_FLIGHT};
use crate::types::{Node, Revision};
use bitcode::{Decode, Encode};
use silvercross_time::Instant;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// SipHash-1-3 with a zero key and 128 bits, over a snapshot's encoding. It detects corruption, not forgery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotDigest {
    /// The first 64 bits.
    pub first: u64,
    /// The second 64 bits.
    pub second: u64,
}

impl SnapshotDigest {
    /// The digest of an encoded value.
    pub(crate) fn of(bytes: &[u8]) -> SnapshotDigest {
        let mut hasher = SipHasher13::new();
        hasher.write(bytes);
        let (first, second) = hasher.finish128().as_u64();
        SnapshotDigest { first, second }
    }
}

/// Properties of a snapshot, sent with each of its chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotHeader {
    pub(crate) total_bytes: u64,
    pub(crate) digest: SnapshotDigest,
}

/// A received chunk. `offset` is in bytes of the snapshot's encoding.
pub(crate) struct ReceivedChunk {
    pub(crate) revision: Revision,
    pub(crate) offset: u64,
    pub(crate) header: SnapshotHeader,
    pub(crate) bytes: Vec<u8>,
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) sender: Node,
    pub(crate) revision: Revision,
    /// `None` until the first chunk has arrived.
    pub(crate) header: Option<SnapshotHeader>,
    /// What was received, from the start without a gap.
    pub(crate) bytes: Vec<u8>,
    /// Chunks received ahead of a missing one, by offset. At most `MAX_CHUNKS_IN_FLIGHT`.
    out_of_order: BTreeMap<u64, Vec<u8>>,
    /// The size of a chunk.
    chunk_bytes: u64,
    /// Everything up to this offset was requested.
    requested_up_to: u64,
    pub(crate) last_requested: Instant,
    pub(crate) last_received: Instant,
}

impl IncomingSnapshot {
    /// A snapshot of which nothing was received.
    pub(crate) fn new(now: Instant, sender: Node, revision: Revision) -> IncomingSnapshot {
        IncomingSnapshot {
            sender,
            revision,
            header: None,
            bytes: Vec::new(),
            out_of_order: BTreeMap::new(),
            chunk_bytes: 0,
            requested_up_to: 0,
            last_requested: now,
            last_received: now,
        }
    }

    /// Adds a chunk; `false` if it belongs to another snapshot.
    pub(crate) fn add(&mut self, now: Instant, sender: Node, chunk: ReceivedChunk) -> bool {
        let is_first = chunk.offset == 0
            && match self.header {
                None => chunk.revision >= self.revision,
                Some(known) => {
                    chunk.revision > self.revision
                        || (chunk.revision == self.revision && known != chunk.header)
                }
            };
        if is_first {
            *self = IncomingSnapshot::new(now, sender, chunk.revision);
            self.header = Some(chunk.header);
            self.chunk_bytes = chunk.bytes.len() as u64;
        } else if chunk.revision != self.revision || self.header != Some(chunk.header) {
            return false;
        }
        (self.sender, self.last_requested, self.last_received) = (sender, now, now);
        if chunk.offset > self.bytes.len() as u64 && self.out_of_order.len() < MAX_CHUNKS_IN_FLIGHT {
            self.out_of_order.insert(chunk.offset, chunk.bytes);
        } else if chunk.offset == self.bytes.len() as u64 {
            self.bytes.extend_from_slice(&chunk.bytes);
        }
        while let Some(next) = self.out_of_order.remove(&(self.bytes.len() as u64)) {
            self.bytes.extend_from_slice(&next);
        }
        self.requested_up_to = self.requested_up_to.max(self.bytes.len() as u64);
        true
    }

    /// When the request in flight has to be repeated.
    pub(crate) fn deadline(&self) -> Instant {
        let timeout = if self.header.is_none() { FIRST_CHUNK_TIMEOUT } else { CHUNK_TIMEOUT };
        self.last_requested + timeout
    }

    /// Whether all bytes were received.
    pub(crate) fn is_complete(&self) -> bool {
        self.header.is_some_and(|header| self.bytes.len() as u64 >= header.total_bytes)
    }

    /// The offset of the next chunk to request, if the limit allows one.
    pub(crate) fn next_request(&mut self) -> Option<u64> {
        let Some(header) = self.header else {
            let is_first_request = self.requested_up_to == 0;
            self.requested_up_to = 1;
            return is_first_request.then_some(0);
        };
        let in_flight = self.requested_up_to.saturating_sub(self.bytes.len() as u64);
        let window = MAX_CHUNKS_IN_FLIGHT as u64 * self.chunk_bytes;
        if self.requested_up_to >= header.total_bytes || self.chunk_bytes == 0 || in_flight >= window {
            return None;
        }
        let offset = self.requested_up_to;
        self.requested_up_to += self.chunk_bytes;
        Some(offset)
    }

    /// Continues from what was received, with this sender.
    pub(crate) fn resume_with(&mut self, now: Instant, sender: Node) {
        self.out_of_order.clear();
        self.sender = sender;
        self.last_requested = now;
        self.requested_up_to = self.bytes.len() as u64;
    }
}

/// A snapshot that is being sent. Its encoding stays the same while the key continues to change.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) key: String,
    pub(crate) revision: Revision,
    pub(crate) bytes: Vec<u8>,
    pub(crate) digest: SnapshotDigest,
    pub(crate) last_used: Instant,
}

impl OutgoingSnapshot {
    /// The chunk at this offset; empty beyond the end.
    pub(crate) fn chunk(&self, offset: u64, max_bytes: usize) -> &[u8] {
        let begin = usize::try_from(offset).unwrap_or(usize::MAX).min(self.bytes.len());
        let end = begin.saturating_add(max_bytes).min(self.bytes.len());
        &self.bytes[begin..end]
    }
}
