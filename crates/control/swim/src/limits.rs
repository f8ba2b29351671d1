//! Bounds and factors of the protocol, each a constant. Times are counts of protocol periods ([`crate::Config::period`]), as in
//! SWIM. No state, no rules: those are in the files that use them.
use crate::time::Micros;

/// Members of a fleet that are known at once, left and failed ones included; at it a new one is not taken in, and counted.
pub const MAX_MEMBERS: usize = 2_048;
/// A member's name is no longer, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Drains that are held at once; at it the oldest by its list's version makes room.
pub const MAX_DRAINS: usize = 4_096;
/// Membership updates that still have to be sent; at it the one sent most often makes room.
pub const MAX_QUEUED_UPDATES: usize = 4_096;
/// Probes made on behalf of others at once; at it another's is not made.
pub const MAX_RELAYED_PROBES: usize = 64;
/// Datagrams that wait to be sent; at it a further one is dropped, as a network would.
pub const MAX_QUEUED_DATAGRAMS: usize = 256;
/// Messages of one member that are heard in a period; a healthy one sends a tenth of that to all others together.
pub const MAX_MESSAGES_PER_PERIOD: u32 = 256;
/// Members asked to probe another one (SWIM's k).
pub const INDIRECT_PROBES: usize = 3;
/// Members that get gossip in one round.
pub const GOSSIP_FANOUT: usize = 3;
/// Rounds of gossip in a period, while an update is queued.
pub const GOSSIP_ROUNDS_PER_PERIOD: Micros = 5;
/// An update is sent so often for each doubling of the fleet (SWIM's lambda).
pub const RETRANSMIT_MULTIPLIER: u32 = 4;
/// Least time of a suspicion, in periods, for each tenfold of the fleet (Lifeguard's alpha).
pub const SUSPICION_ALPHA: f64 = 4.0;
/// Longest time of a suspicion, in least times (Lifeguard's beta).
pub const SUSPICION_BETA: f64 = 6.0;
/// Independent suspicions that bring a suspicion down to its least time (Lifeguard's K).
pub const SUSPICION_CONFIRMATIONS: usize = 3;
/// The local health multiplier is no higher (Lifeguard's S).
pub const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// Whoever was heard of so many periods ago at most surely runs: two of one name are two.
pub const RECENT_CONTACT_PERIODS: Micros = 2;
/// A wait longer than meant by this part of a period was no wait: the process was stopped or starved.
pub const PAUSE_DIVISOR: Micros = 2;
/// A digest that differs in so many messages running asks for an exchange.
pub const DIGEST_MISMATCHES: u32 = 8;
/// A drain is sent again after so many periods, for as long as it is held.
pub const DRAIN_RESEND_PERIODS: Micros = 10;
/// Seeds are asked again after so many periods while nobody else is known to live.
pub const SEED_RETRY_PERIODS: Micros = 2;

/// And after so many otherwise, where nobody is known to live at their address.
pub const SEED_REFRESH_PERIODS: Micros = 20;
