//! One member of the fleet, by role: `state` (what it holds), `timer` (what is due), `probes`, `receive`, `reports`, `conflicts`,
//! `gossip` and `exchange`. One probe a period; without a direct answer others are asked ([`crate::limits::INDIRECT_PROBES`]);
//! without any the member is suspected, and fails unless it refutes in time. Each wait grows with the local health multiplier
//! (Lifeguard, 3.1).
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
