//! Datagrams and exchanges as bytes. A datagram is four bytes of mark and version, eight that tell the fleet, eight of a
//! keyed check (SipHash-2-4, Aumasson and Bernstein 2012) over all behind them, then postcard's coding of [`Packet`]. What is
//! short, foreign, corrupt or of another version is told apart by [`DecodeError`] and changes nothing. The check keeps foreign and corrupt bytes
//! out; it is no secrecy, and no proof against whoever knows the fleet's identity.
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::table::{MemberRecord, State};
use crate::updates::MembershipUpdate;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::net::SocketAddr;

/// A datagram is no longer, so that it is not cut on its way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// An exchange is no longer.
pub const MAX_EXCHANGE_BYTES: usize = 1024 * 1024;
/// The version spoken here. What a later one adds at the end of a packet is passed over; what changes more counts up.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 3] = *b"sxm";
const HEADER_BYTES: usize = 20;
/// Bytes of a packet besides its updates, at most.
pub const PACKET_OVERHEAD_BYTES: usize = 120;

/// A fleet: its name and its identity, which operators draw and write into each member's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    tag: u64,
    key: (u64, u64),
}

impl Fleet {
    /// By its name and identity. Two fleets differ if either does.
    pub fn new(name: &str, identity: u128) -> Self {
        let key = (identity as u64, (identity >> 64) as u64);
        let mut h = SipHasher24::new_with_keys(key.0, key.1);
        h.write(b"silvercross fleet ");
        h.write(name.as_bytes());
        Fleet { tag: h.finish(), key }
    }

    fn checksum(&self, kind: u8, bytes: &[u8]) -> u64 {
        let mut h = SipHasher24::new_with_keys(self.key.0 ^ self.tag, self.key.1);
        h.write_u8(kind);
        h.write(bytes);
        h.finish()
    }

    /// Bytes as they go out. `kind` keeps datagrams and exchanges apart.
    fn encode<T: Serialize>(&self, kind: u8, what: &T) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(&MAGIC);
        out.push(VERSION);
        out.extend_from_slice(&self.tag.to_le_bytes());
        out.extend_from_slice(&[0; 8]);
        // Coding into a growing vector has nothing to fail on.
        let mut out = postcard::to_extend(what, out).unwrap_or_default();
        if out.len() >= HEADER_BYTES {
            let checksum = self.checksum(kind, &out[HEADER_BYTES..]).to_le_bytes();
            out[12..HEADER_BYTES].copy_from_slice(&checksum);
        }
        out
    }

    fn decode<T: for<'a> Deserialize<'a>>(&self, kind: u8, bytes: &[u8]) -> Result<T, DecodeError> {
        let word = |at: usize| -> Option<u64> {
            bytes.get(at..at + 8).and_then(|b| Some(u64::from_le_bytes(b.try_into().ok()?)))
        };
        let (Some(tag), Some(checksum)) = (word(4), word(12)) else { return Err(DecodeError::Foreign) };
        if bytes[..3] != MAGIC || tag != self.tag {
            return Err(DecodeError::Foreign);
        }
        if bytes[3] != VERSION {
            return Err(DecodeError::Version(bytes[3]));
        }
        if checksum != self.checksum(kind, &bytes[HEADER_BYTES..]) {
            return Err(DecodeError::Corrupt);
        }
        // What a later version added behind it is passed over.
        postcard::take_from_bytes(&bytes[HEADER_BYTES..]).map(|(t, _)| t).map_err(|_| DecodeError::Corrupt)
    }

    /// A datagram.
    pub fn encode_packet(&self, packet: &Packet) -> Vec<u8> {
        self.encode(b'd', packet)
    }

    /// Read a datagram.
    pub fn decode_packet(&self, bytes: &[u8]) -> Result<Packet, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Foreign);
        }
        self.decode(b'd', bytes)
    }

    /// One side of an exchange.
    pub fn encode_exchange(&self, all: &FullState) -> Vec<u8> {
        self.encode(b'x', all)
    }

    /// Read one side of an exchange.
    pub fn decode_exchange(&self, bytes: &[u8]) -> Result<FullState, DecodeError> {
        if bytes.len() > MAX_EXCHANGE_BYTES {
            return Err(DecodeError::Foreign);
        }
        self.decode(b'x', bytes)
    }
}

impl Fleet {
    /// What members say to each other beside membership, as bytes.
    pub fn encode_batch<T: Serialize>(&self, what: &T) -> Vec<u8> {
        self.encode(b'b', what)
    }

    /// Read such bytes.
    pub fn decode_batch<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, DecodeError> {
        if bytes.len() > MAX_EXCHANGE_BYTES {
            return Err(DecodeError::Foreign);
        }
        self.decode(b'b', bytes)
    }
}

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Not ours, or another fleet's.
    Foreign,
    /// Of a version not spoken here.
    Version(u8),
    /// Not as it was sent.
    Corrupt,
}

/// Who sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Who.
    pub id: Identity,
    /// At which of its incarnations.
    pub incarnation: Incarnation,
    /// Which process of it.
    pub nonce: u64,
    /// Counts this process's messages.
    pub number: u64,
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who sends it.
    pub from: Sender,
    /// What it asks or answers.
    pub message: Message,
    /// What it carries along.
    pub updates: Vec<MembershipUpdate>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Ping {
        /// The probe's number at whoever made it.
        probe: u64,
        /// Who is meant: at its address there may be another by now.
        to: Identity,
        /// Where the answer goes.
        at: SocketAddr,
        /// What the sender holds the other one to be, if not alive (Lifeguard's buddy system).
        held: Option<(State, Incarnation)>,
        /// The sender's living ones in one word.
        digest: u64,
    },
    /// I am.
    Ack {
        /// The probe's number.
        probe: u64,
        /// The sender's living ones in one word.
        digest: u64,
    },
    /// Ask that one for me.
    PingReq {
        /// The probe's number at whoever asks.
        probe: u64,
        /// Whom.
        target: Identity,
        /// Where.
        target_at: SocketAddr,
        /// Where the answer goes.
        at: SocketAddr,
        /// What the sender holds the target to be, if not alive.
        held: Option<(State, Incarnation)>,
    },
    /// It has not answered me so far (Lifeguard, 3.1): the asker's own links work.
    Nack {
        /// The probe's number at whoever asked.
        probe: u64,
    },
    /// Only updates.
    Gossip,
}

/// One side of a full exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullState {
    /// Who sends it.
    pub from: Sender,
    /// Itself, and all that it knows, with their states.
    pub members: Vec<(MemberRecord, State)>,
    /// The drains it can tell.
    pub drains: Vec<Drain>,
}

#[cfg(test)]
mod tests;
