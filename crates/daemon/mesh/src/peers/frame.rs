//! What goes on a link between nodes.
//!
//! A frame is a length of four bytes, little-endian, and a [`Frame`] in bitcode; the order and types of variants and fields are
//! the wire format. A large frame goes in chunks, each with a length of its own that bears [`CHUNK_FLAG`].
use super::record::RecordBody;
use crate::control_value::{ControlChange, ControlValue};
use bitcode::{Decode, Encode};
use silvercross_control_store::Message as StoreMessage;
use silvercross_mesh_membership::MembershipMessage;
use silvercross_time::Instant;

/// The version of the protocol on links. A node of another one is told so once, and the link ends.
pub(super) const PROTOCOL_VERSION: u16 = 2;
/// The largest frame, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 16 << 20;
/// The largest first frame of a link, in bytes.
pub(super) const MAX_HELLO_BYTES: usize = 64;
/// Bytes of a large frame that go at a time. Between them go the control store's messages: its owner's heartbeats may not wait
/// until a large control entry is through a thin link.
pub(super) const CHUNK_BYTES: usize = 32 * 1024;
/// Bytes of a length.
pub(super) const LENGTH_BYTES: usize = 4;
/// In a length: what follows is a chunk of a large frame.
pub(super) const CHUNK_FLAG: u32 = 1 << 31;
/// In a chunk's length: it is the frame's last one.
pub(super) const LAST_CHUNK_FLAG: u32 = 1 << 30;

/// What one node says to another on a link.
#[derive(Encode, Decode)]
pub(super) enum Frame {
    /// The first frame in each direction.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
        /// The sender's address.
        node: u32,
    },
    /// A message of membership.
    Membership(MembershipMessage<RecordBody>),
    /// A message of the control store.
    ControlStore {
        /// The version of the sender's replica set.
        replica_set_version: u64,
        /// The message.
        message: StoreMessage<ControlValue, ControlChange>,
    },
    /// What time of day is it? Between replicas, where there are members.
    WallClockRequest {
        /// When it was asked, on the asker's clock.
        asked: Instant,
    },
    /// The answer to a [`Frame::WallClockRequest`].
    WallClockReply {
        /// As in the request.
        asked: Instant,
        /// The time of day, in microseconds since 1970.
        wall_micros: i64,
        /// Whether that clock was set lately.
        stepped: bool,
    },
}

/// The bytes of a frame: its length, then its content.
pub(super) fn encode_frame(frame: &Frame) -> Vec<u8> {
    let content = bitcode::encode(frame);
    let mut bytes = Vec::with_capacity(content.len() + LENGTH_BYTES);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&content);
    bytes
}
