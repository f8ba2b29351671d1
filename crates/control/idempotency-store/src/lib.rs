//! A replicated store shared by the sidecars of a fleet: idempotency keys with their stored responses, drains ordered by
//! operators, and small documents. Keys are spread over groups; each group is a Raft log. [`machine`] is the state machine of a
//! group, [`group_replica`] a process's replica of it, [`client`] submits commands to the leaders, [`placement`] decides which
//! members hold replicas, and [`records`] combines all of it for one process. The package does no I/O, reads no clock and takes
//! all randomness from a seed. It does not depend on sockets, requests or upstreams; it only decides whether a keyed request
//! may start.
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

/// Microseconds, as a point on the caller's monotonic clock or as a duration.
pub type Micros = i64;

/// The group that a key belongs to, by rendezvous hashing (Thaler and Ravishankar 1998).
pub fn group_of(key: &str, groups: u32) -> u32 {
    let weight = |group: &u32| {
        let mut hasher = SipHasher13::new_with_keys(0x7265_636f_7264_7300, u64::from(*group));
        hasher.write(key.as_bytes());
        (hasher.finish(), *group)
    };
    (0..groups.max(1)).max_by_key(weight).unwrap_or(0)
}
