//! Encoding of datagrams and exchanges. The header has three magic bytes, the version byte, eight bytes of fleet tag and eight
//! bytes of keyed checksum over the body (SipHash-2-4, Aumasson and Bernstein 2012); the body of a datagram is a [`Packet`] in
//! postcard encoding. Messages that are short, foreign, corrupt or of another version are rejected with a [`DecodeError`] and
//! change no state. The checksum rejects foreign and corrupt bytes. It provides neither secrecy nor authentication against
//! anyone who knows the fleet's identity.
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::table::{MemberRecord, State};
use crate::updates::MembershipUpdate;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::net::SocketAddr;

/// Maximum length of a datagram, small enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of one side of an exchange.
pub const MAX_EXCHANGE_BYTES: usize = 1024 * 1024;
/// Protocol version. Fields that a later build appends to a packet are ignored; any other change increments the version.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 3] = *b"sxm";
const HEADER_BYTES: usize = 20;
/// Maximum encoded length of a packet without its updates.
pub const PACKET_OVERHEAD_BYTES: usize = 120;

/// A fleet, from its name and its identity, a random number that operators set in each member's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    tag: u64,
    key: (u64, u64),
}

impl Fleet {
    /// The fleet with this name and identity. Two fleets are the same only if both are equal.
    pub fn new(name: &str, identity: u128) -> Self {
        let key = (identity as u64, (identity >> 64) as u64);
        let mut hasher = SipHasher24::new_with_keys(key.0, key.1);
        hasher.write(b"silvercross fleet ");
        hasher.write(name.as_bytes());
        Fleet { tag: hasher.finish(), key }
    }

    fn checksum(&self, kind: u8, bytes: &[u8]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.key.0 ^ self.tag, self.key.1);
        hasher.write_u8(kind);
        hasher.write(bytes);
        hasher.finish()
    }

    /// Encodes a message with its header. `kind` enters the checksum, so that a datagram is not accepted as an exchange.
    fn encode<T: Serialize>(&self, kind: u8, message: &T) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(&MAGIC);
        out.push(VERSION);
        out.extend_from_slice(&self.tag.to_le_bytes());
        out.extend_from_slice(&[0; 8]);
        // Encoding into a growing vector can't fail.
        let mut out = postcard::to_extend(message, out).unwrap_or_default();
        if out.len() >= HEADER_BYTES {
            let checksum = self.checksum(kind, &out[HEADER_BYTES..]).to_le_bytes();
            out[12..HEADER_BYTES].copy_from_slice(&checksum);
        }
        out
    }

    fn decode<T: for<'a> Deserialize<'a>>(&self, kind: u8, bytes: &[u8]) -> Result<T, DecodeError> {
        let u64_at = |at: usize| -> Option<u64> {
            bytes.get(at..at + 8).and_then(|b| Some(u64::from_le_bytes(b.try_into().ok()?)))
        };
        let (Some(tag), Some(checksum)) = (u64_at(4), u64_at(12)) else { return Err(DecodeError::Foreign) };
        if bytes[..3] != MAGIC || tag != self.tag {
            return Err(DecodeError::Foreign);
        }
        if bytes[3] != VERSION {
            return Err(DecodeError::Version(bytes[3]));
        }
        if checksum != self.checksum(kind, &bytes[HEADER_BYTES..]) {
            return Err(DecodeError::Corrupt);
        }
        // Fields appended by a later build are ignored.
        postcard::take_from_bytes(&bytes[HEADER_BYTES..]).map(|(t, _)| t).map_err(|_| DecodeError::Corrupt)
    }

    /// Encodes a datagram.
    pub fn encode_packet(&self, packet: &Packet) -> Vec<u8> {
        self.encode(b'd', packet)
    }

    /// Decodes a datagram.
    pub fn decode_packet(&self, bytes: &[u8]) -> Result<Packet, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Foreign);
        }
        self.decode(b'd', bytes)
    }

    /// Encodes one side of an exchange.
    pub fn encode_exchange(&self, state: &FullState) -> Vec<u8> {
        self.encode(b'x', state)
    }

    /// Decodes one side of an exchange.
    pub fn decode_exchange(&self, bytes: &[u8]) -> Result<FullState, DecodeError> {
        if bytes.len() > MAX_EXCHANGE_BYTES {
            return Err(DecodeError::Foreign);
        }
        self.decode(b'x', bytes)
    }
}

impl Fleet {
    /// Encodes messages between members that are not about membership.
    pub fn encode_batch<T: Serialize>(&self, message: &T) -> Vec<u8> {
        self.encode(b'b', message)
    }

    /// Decodes messages encoded by [`Fleet::encode_batch`].
    pub fn decode_batch<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, DecodeError> {
        if bytes.len() > MAX_EXCHANGE_BYTES {
            return Err(DecodeError::Foreign);
        }
        self.decode(b'b', bytes)
    }
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, without the magic bytes, or of another fleet.
    Foreign,
    /// Unsupported protocol version.
    Version(u8),
    /// Wrong checksum or invalid encoding.
    Corrupt,
}

/// The sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Identity of the sender.
    pub id: Identity,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Nonce of the sending process.
    pub nonce: u64,
    /// Message number, increasing within the process.
    pub number: u64,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: Sender,
    /// The message.
    pub message: Message,
    /// Piggybacked membership updates.
    pub updates: Vec<MembershipUpdate>,
}

/// Message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Direct probe.
    Ping {
        /// Probe number of the sender.
        probe: u64,
        /// The probed member; its address may have been taken over by another one.
        to: Identity,
        /// Address that the answer is sent to.
        at: SocketAddr,
        /// State of the target as known to the sender, if not alive (Lifeguard's buddy system).
        held: Option<(State, Incarnation)>,
        /// Digest of the sender's live members.
        digest: u64,
    },
    /// Answer to a ping.
    Ack {
        /// Number of the answered probe.
        probe: u64,
        /// Digest of the sender's live members.
        digest: u64,
    },
    /// Request for an indirect probe.
    PingReq {
        /// Probe number of the requesting member.
        probe: u64,
        /// The member to probe.
        target: Identity,
        /// Address of the member to probe.
        target_at: SocketAddr,
        /// Address that the answer is sent to.
        at: SocketAddr,
        /// State of the target as known to the sender, if not alive.
        held: Option<(State, Incarnation)>,
    },
    /// The target of a ping-req has not answered yet (Lifeguard, 3.1); it shows that the requester's own links work.
    Nack {
        /// Probe number of the requesting member, from its ping-req.
        probe: u64,
    },
    /// Only piggybacked updates.
    Gossip,
}

/// One side of a full-state exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullState {
    /// The sender.
    pub from: Sender,
    /// The sender and all members it knows, with their states.
    pub members: Vec<(MemberRecord, State)>,
    /// The drains known to the sender.
    pub drains: Vec<Drain>,
}

#[cfg(test)]
mod tests;
