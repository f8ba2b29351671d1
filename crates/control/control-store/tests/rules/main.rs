//! The rules of the protocol, each tested step by step on a few replicas.

#[path = "../common/mod.rs"]
mod common;

mod calls;
mod ownership;
mod repair;
mod replacement;
mod replica_set_votes;
mod snapshots;
mod spare;
mod unversioned;
