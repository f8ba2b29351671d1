//! What sidecars hold for each other, on replicated logs: takes and answers of keyed requests, drains ordered for the whole
//! fleet, small documents. [`machine`] is the state that a log makes, [`holder`] a process's copy of one group, [`client`] who
//! asks, [`placement`] who is to hold copies, [`records`] all of it for one process. No I/O, no clock, no chance but the
//! seed's. It must not know of sockets, requests or upstreams: it says only what may no longer begin.
#![forbid(unsafe_code)]

pub mod client;
pub mod command;
pub mod group_replica;
pub mod machine;
pub mod message;
pub mod placement;
pub mod records;

pub use client::{Client, SubmitError};
pub use command::{Command, Outcome, StoredResponse, TakeOutcome};
pub use group_replica::GroupReplica;
pub use machine::StateMachine;
pub use message::{Epoch, GroupInfo, StoreMessage};
pub use records::{Config, Effect, Records};

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Microseconds, as a point on the caller's monotonic clock or as a span.
pub type Micros = i64;

/// Which of so many groups holds what belongs to a key: rendezvous hashing (Thaler and Ravishankar 1998).
pub fn group_of(key: &str, groups: u32) -> u32 {
    let weight = |group: &u32| {
        let mut h = SipHasher13::new_with_keys(0x7265_636f_7264_7300, u64::from(*group));
        h.write(key.as_bytes());
        (h.finish(), *group)
    };
    (0..groups.max(1)).max_by_key(weight).unwrap_or(0)
}
