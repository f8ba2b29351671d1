//! The protocol of one member: `state` (fields and accessors), `timer` (timeouts), `probes`, `receive`, `reports`, `conflicts`,
//! `gossip` and `exchange`. One member is probed in each protocol period. Without an ack a ping-req goes to other members
//! ([`crate::limits::INDIRECT_PROBES`]); without any ack the member is suspected, and it is declared failed unless it refutes the
//! suspicion in time. Probe timeouts grow with the local health multiplier (Lifeguard, 3.1).
mod conflicts;
mod event;
mod exchange;
mod gossip;
mod probes;
mod receive;
mod reports;
mod state;
mod timer;

pub use event::{Event, Exchange};
pub use state::{Members, Start};
