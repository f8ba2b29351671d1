//! The rules of the protocol: `impl` blocks of [`ControlStore`](crate::store::ControlStore), one file for each role.
//!
//! They call each other's methods but import nothing of each other; what they share is in `store` and in the files
//! of the types. Calls into the store start in `entry`. From there:
//!
//! - as the node of a caller: `calls`, `forward`;
//! - as an owner, or to become one: `claim`, `replicate`, `confirm`, and `ownerless` for keys without an owner;
//! - as a replica: `accept`, and `snapshots` for values that are sent whole, in both directions;
//! - with a disk that was lost: `repair`;
//! - as a member of the replica set: `candidates` (which replica is replaced, and by which node),
//!   `replica_set_change` (how that is decided), `replica_set_adopt` (how a decided replica set comes into force);
//! - in all roles: `quorum`, `links`, `durable`, `timers`, `status`.

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
