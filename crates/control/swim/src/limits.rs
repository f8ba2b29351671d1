//! Limits and factors of the protocol. Times are given in protocol periods ([`crate::Config::period`]), as in SWIM.
use crate::time::Micros;

/// Maximum size of the member table, departed and failed members included; further members are rejected and counted.
pub const MAX_MEMBERS: usize = 2_048;
/// Maximum length of a member's name and of its zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of reported drains, and of local ones; the one with the oldest list version is evicted.
pub const MAX_DRAINS: usize = 4_096;
/// Maximum length of the update queue; the update sent most often is evicted.
pub const MAX_QUEUED_UPDATES: usize = 4_096;
/// Maximum number of concurrent probes on behalf of other members; further ping-reqs are ignored.
pub const MAX_RELAYED_PROBES: usize = 64;
/// Maximum number of datagrams waiting to be sent; further ones are dropped.
pub const MAX_QUEUED_DATAGRAMS: usize = 256;
/// Maximum number of messages accepted from one member in a period; a healthy member sends about a tenth of that in total.
pub const MAX_MESSAGES_PER_PERIOD: u32 = 256;
/// Number of members that a ping-req is sent to (SWIM's k).
pub const INDIRECT_PROBES: usize = 3;
/// Number of members that receive gossip in one round.
pub const GOSSIP_FANOUT: usize = 3;
/// Gossip rounds in a period while updates are queued.
pub const GOSSIP_ROUNDS_PER_PERIOD: Micros = 5;
/// Number of transmissions of an update for each doubling of the fleet (SWIM's lambda).
pub const RETRANSMIT_MULTIPLIER: u32 = 4;
/// Minimum suspicion timeout in periods, multiplied by the decimal logarithm of the fleet size, at least 1 (Lifeguard's
/// alpha).
pub const SUSPICION_ALPHA: f64 = 4.0;
/// Maximum suspicion timeout as a multiple of the minimum (Lifeguard's beta).
pub const SUSPICION_BETA: f64 = 6.0;
/// Independent confirmations that reduce a suspicion timeout to its minimum (Lifeguard's K).
pub const SUSPICION_CONFIRMATIONS: usize = 3;
/// Maximum of the local health multiplier (Lifeguard's S).
pub const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// A member that sent a message within so many periods is running; if it has this member's name, the name is used twice.
pub const RECENT_CONTACT_PERIODS: Micros = 2;
/// A tick that is late by more than the period divided by this means that the process was stopped or starved of CPU.
pub const PAUSE_DIVISOR: Micros = 2;
/// Consecutive digest mismatches before a full-state exchange is started.
pub const DIGEST_MISMATCHES: u32 = 8;
/// Interval at which known drains are gossiped again, in periods.
pub const DRAIN_RESEND_PERIODS: Micros = 10;
/// Interval between exchanges with seeds while no other live member is known, in periods.
pub const SEED_RETRY_PERIODS: Micros = 2;

/// Interval between exchanges with seeds whose address belongs to no live member, otherwise, in periods.
pub const SEED_REFRESH_PERIODS: Micros = 20;
