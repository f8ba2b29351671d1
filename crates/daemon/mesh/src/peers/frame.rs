//! The frames that are sent on links between nodes.
//!
//! A frame is a length of four bytes, little-endian, followed by a [`Frame`] encoded with bitcode. The order
//! and types of the variants and fields are the wire format. A large frame is sent in chunks, each with a
//! length of its own with [`CHUNK_FLAG`] set.
use super::record::RecordBody;
use crate::control_value::{ControlChange, ControlValue};
use bitcode::{Decode, Encode};
use silvercross_control_store::Message as StoreMessage;
use silvercross_mesh_membership::MembershipMessage;
use silvercross_time::Instant;

/// The version of the link protocol. If the versions differ, the link is closed after the first frame.
pub(super) const PROTOCOL_VERSION: u16 = 2;
/// The maximum size of a frame, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 16 << 20;
/// The maximum size of the first frame of a link, in bytes.
pub(super) const MAX_HELLO_BYTES: usize = 64;
/// The size of a chunk, in bytes. Messages of the control store are sent between chunks, so that the owner's
/// heartbeats are not delayed by a large control entry on a slow link.
pub(super) const CHUNK_BYTES: usize = 32 * 1024;
/// The size of a length, in bytes.
pub(super) const LENGTH_BYTES: usize = 4;
/// Flag in a length: a chunk of a large frame follows.
pub(super) const CHUNK_FLAG: u32 = 1 << 31;
/// Flag in the length of a chunk: it is the last one of the frame.
pub(super) const LAST_CHUNK_FLAG: u32 = 1 << 30;

/// A message between nodes on a link.
#[derive(Encode, Decode)]
pub(super) enum Frame {
    /// The first frame in each direction.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
        /// The sender's address.
        node: u32,
    },
    /// A membership message.
    Membership(MembershipMessage<RecordBody>),
    /// A control store message.
    ControlStore {
        /// The version of the sender's replica set.
        replica_set_version: u64,
        /// The message.
        message: StoreMessage<ControlValue, ControlChange>,
    },
    /// Requests the wall clock time. Sent between replicas if members are configured.
    WallClockRequest {
        /// When the request was sent, on the clock of its sender.
        requested_at: Instant,
    },
    /// The answer to a [`Frame::WallClockRequest`].
    WallClockReply {
        /// The value from the request.
        requested_at: Instant,
        /// The wall clock time, in microseconds since 1970.
        wall_micros: i64,
        /// Whether the wall clock was stepped recently.
        stepped: bool,
    },
}

/// Encodes a frame with its length.
pub(super) fn encode_frame(frame: &Frame) -> Vec<u8> {
    let content = bitcode::encode(frame);
    let mut bytes = Vec::with_capacity(content.len() + LENGTH_BYTES);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes
}
