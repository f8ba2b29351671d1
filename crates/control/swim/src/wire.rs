//! Datagrams and exchanges as bytes. A datagram is four bytes of mark and version, eight that tell the fleet, eight of a
//! keyed check (SipHash-2-4, Aumasson and Bernstein 2012) over all behind them, then postcard's coding of [`Packet`]. What is
//! short, foreign, spoilt or of another version is told apart and changes nothing. The check keeps strangers and spoilt bytes
//! out; it is no secrecy, and no proof against whoever knows the fleet's identity.
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::rumours::Rumour;
use crate::table::{Card, State};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::net::SocketAddr;

/// A datagram is no longer, so that it is not cut on its way.
pub const DATAGRAM_MOST: usize = 1_200;
/// An exchange is no longer.
pub const EXCHANGE_MOST: usize = 1024 * 1024;
/// The version spoken here. What a later one adds at the end of a packet is passed over; what changes more counts up.
pub const VERSION: u8 = 1;
const MARK: [u8; 3] = *b"sxm";
const HEAD: usize = 20;
/// Bytes of a packet besides its rumours, at most.
pub const PACKET: usize = 120;

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

    fn check(&self, kind: u8, bytes: &[u8]) -> u64 {
        let mut h = SipHasher24::new_with_keys(self.key.0 ^ self.tag, self.key.1);
        h.write_u8(kind);
        h.write(bytes);
        h.finish()
    }

    /// Bytes as they go out. `kind` keeps datagrams and exchanges apart.
    fn seal<T: Serialize>(&self, kind: u8, what: &T) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(&MARK);
        out.push(VERSION);
        out.extend_from_slice(&self.tag.to_le_bytes());
        out.extend_from_slice(&[0; 8]);
        // Coding into a growing vector has nothing to fail on.
        let mut out = postcard::to_extend(what, out).unwrap_or_default();
        if out.len() >= HEAD {
            let check = self.check(kind, &out[HEAD..]).to_le_bytes();
            out[12..HEAD].copy_from_slice(&check);
        }
        out
    }

    fn open<T: for<'a> Deserialize<'a>>(&self, kind: u8, bytes: &[u8]) -> Result<T, Bad> {
        let word = |at: usize| -> Option<u64> {
            bytes.get(at..at + 8).and_then(|b| Some(u64::from_le_bytes(b.try_into().ok()?)))
        };
        let (Some(tag), Some(check)) = (word(4), word(12)) else { return Err(Bad::Strange) };
        if bytes[..3] != MARK || tag != self.tag {
            return Err(Bad::Strange);
        }
        if bytes[3] != VERSION {
            return Err(Bad::Version(bytes[3]));
        }
        if check != self.check(kind, &bytes[HEAD..]) {
            return Err(Bad::Spoilt);
        }
        // What a later version added behind it is passed over.
        postcard::take_from_bytes(&bytes[HEAD..]).map(|(t, _)| t).map_err(|_| Bad::Spoilt)
    }

    /// A datagram.
    pub fn packet(&self, packet: &Packet) -> Vec<u8> {
        self.seal(b'd', packet)
    }

    /// Read a datagram.
    pub fn read_packet(&self, bytes: &[u8]) -> Result<Packet, Bad> {
        if bytes.len() > DATAGRAM_MOST {
            return Err(Bad::Strange);
        }
        self.open(b'd', bytes)
    }

    /// One side of an exchange.
    pub fn exchange(&self, all: &All) -> Vec<u8> {
        self.seal(b'x', all)
    }

    /// Read one side of an exchange.
    pub fn read_exchange(&self, bytes: &[u8]) -> Result<All, Bad> {
        if bytes.len() > EXCHANGE_MOST {
            return Err(Bad::Strange);
        }
        self.open(b'x', bytes)
    }
}

impl Fleet {
    /// What members say to each other beside membership, as bytes.
    pub fn batch<T: Serialize>(&self, what: &T) -> Vec<u8> {
        self.seal(b'b', what)
    }

    /// Read such bytes.
    pub fn read_batch<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, Bad> {
        if bytes.len() > EXCHANGE_MOST {
            return Err(Bad::Strange);
        }
        self.open(b'b', bytes)
    }
}

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Not ours, or another fleet's.
    Strange,
    /// Of a version not spoken here.
    Version(u8),
    /// Not as it was sent.
    Spoilt,
}

/// Who sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct From {
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
    pub from: From,
    /// What it asks or answers.
    pub message: Message,
    /// What it carries along.
    pub rumours: Vec<Rumour>,
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
    /// Only rumours.
    Gossip,
}

/// One side of a full exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct All {
    /// Who sends it.
    pub from: From,
    /// Itself, and all that it knows, with their states.
    pub members: Vec<(Card, State)>,
    /// The drains it can tell.
    pub drains: Vec<Drain>,
}

/// Which of a process's last messages have come: 64 behind the newest are told apart, older ones are taken for replayed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    newest: u64,
    seen: u64,
}

impl Window {
    /// Whether this number is new; it is seen from then on.
    pub fn pass(&mut self, number: u64) -> bool {
        if number > self.newest {
            let by = number - self.newest;
            self.seen = if by >= 64 { 0 } else { self.seen << by } | 1;
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        let new = behind < 64 && self.seen & (1 << behind) == 0;
        if new {
            self.seen |= 1 << behind;
        }
        new
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn packet() -> Packet {
        Packet {
            from: From { id: Identity(7), incarnation: Incarnation(1 << 32), nonce: 9, number: 3 },
            message: Message::Ack { probe: 4, digest: 5 },
            rumours: vec![Rumour::Left { id: Identity(8), incarnation: Incarnation(2) }],
        }
    }

    #[test]
    fn what_is_written_is_read_and_nothing_else() {
        let fleet = Fleet::new("a", 1);
        let bytes = fleet.packet(&packet());
        assert_eq!(fleet.read_packet(&bytes), Ok(packet()));
        for n in 0..bytes.len() {
            assert!(fleet.read_packet(&bytes[..n]).is_err(), "cut at {n}");
            for bit in 0..8 {
                let mut spoilt = bytes.clone();
                spoilt[n] ^= 1 << bit;
                assert!(fleet.read_packet(&spoilt).is_err(), "byte {n} bit {bit}");
            }
        }
        assert_eq!(Fleet::new("b", 1).read_packet(&bytes), Err(Bad::Strange));
        assert_eq!(Fleet::new("a", 2).read_packet(&bytes), Err(Bad::Strange));
        let mut other = bytes.clone();
        other[3] = 2;
        assert_eq!(fleet.read_packet(&other), Err(Bad::Version(2)));
        assert_eq!(fleet.read_exchange(&bytes), Err(Bad::Spoilt), "a datagram is no exchange");
        assert!(fleet.read_packet(&vec![0; DATAGRAM_MOST + 1]).is_err());
    }

    #[test]
    fn what_a_later_version_adds_is_passed_over() {
        let fleet = Fleet::new("a", 1);
        let bytes = fleet.seal(b'd', &(packet(), 77u64));
        assert_eq!(fleet.read_packet(&bytes), Ok(packet()));
    }

    #[test]
    fn a_number_passes_once_and_old_ones_never() {
        let mut w = Window::default();
        assert!(w.pass(1) && w.pass(5) && w.pass(3) && !w.pass(3) && !w.pass(5) && !w.pass(1));
        assert!(w.pass(200) && !w.pass(136) && w.pass(137) && !w.pass(137));
        assert!(w.pass(u64::MAX) && !w.pass(200));
    }
}
