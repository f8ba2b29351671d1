//! The rules of the protocol: `impl` blocks of [`ControlStore`](crate::store::ControlStore), one file for each role.
//!
//! They call each other's methods but import nothing of each other; what they share is in `store` and in the files of the
//! types. A call into the store comes in through `entry`. From there:
//!
//! - as a caller's node: `calls`, `forward`;
//! - as an owner, or to become one: `claim`, `replicate`, `confirm`, and `ownerless` for keys that nobody owns;
//! - as a replica: `accept`, and `snapshots` for values that are sent whole, either way;
//! - with a disk that was lost: `repair`;
//! - as part of the replica set: `candidates` (who is to be replaced, by whom), `replica_set_change` (how it is decided),
//!   `replica_set_adopt` (how a decided one comes into force);
//! - for all of them: `quorum`, `links`, `durable`, `timers`, `status`.

mod accept;
mod calls;
mod candidates;
mod claim;
mod confirm;
mod durable;
mod entry;
mod forward;
mod links;
mod ownerless;
mod quorum;
mod repair;
mod replica_set_adopt;
mod replica_set_change;
mod replicate;
mod snapshots;
mod status;
mod timers;
