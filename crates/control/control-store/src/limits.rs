//! The bounds of tables and queues, and the time limits of the protocol.

use crate::Micros;

/// A call is answered within this.
pub const CALL_LIMIT: Micros = 800_000;
/// An owner that was forwarded a call and says nothing for this long is given up.
pub const FORWARD_LIMIT: Micros = 250_000;
/// A key without a reachable owner is claimed after this by the first in line, by each further one this much later.
pub const OWNERLESS: Micros = 400_000;
/// An owner that is linked but says nothing counts as gone after this.
pub const SILENT: Micros = 2_500_000;
/// What was not answered is sent again after this.
pub const RESEND: Micros = 300_000;
/// How often an owner tells the others what it owns.
pub const CALM: Micros = 1_000_000;
/// Keys at most; a call on a further one is refused, a message on one dropped.
pub const KEYS: usize = 4096;
/// Bytes of a key's name at most; longer ones are refused.
pub const NAME: usize = 256;
/// Open calls of this node at most; a further one is `Unknown` at once.
pub const OPEN: usize = 4096;
/// Calls that wait at one key at most, those forwarded by others included; a further one is `Unknown` at once.
pub const QUEUE: usize = 1024;
/// Calls forwarded to an owner that it remembers, so that one that comes twice is served once; the oldest goes first.
pub const FORWARDS: usize = 8192;
/// Writes under way at most; what is to be written meanwhile goes into the next one together.
pub const WRITES: usize = 2;
/// Changes in one copy at most; the rest waits for the next.
pub const BATCH: usize = 64;
/// A replica that nobody reaches for this long is replaced, if there is a candidate.
pub const GONE: Micros = 4_000_000;
/// The same while another replica stops in plan: once that one has ended there may be no majority without one in its place.
pub const GONE_AS_ONE_LEAVES: Micros = 1_000_000;
/// Between those who propose a change of the replica set, and between the tries of each (and as much again, drawn).
pub const STAGGER: Micros = 500_000;
