//! Each rule of the protocol stepped by hand, on three replicas.

#[path = "../common/mod.rs"]
mod common;

mod calls;
mod ownership;
mod repair;
mod replacement;
mod replica_set_votes;
mod snapshots;
mod spare;
