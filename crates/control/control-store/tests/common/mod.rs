//! Helpers of this package's tests, written once: a value, random numbers, a cluster stepped by hand, a simulation with
//! faults, and the checker of what its callers saw.
//!
//! Each test target uses a part of them, so what is unused in one of them is allowed.
#![allow(dead_code)]

pub mod cluster;
pub mod history;
pub mod notes;
pub mod replacement;
pub mod simulation;
