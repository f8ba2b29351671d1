//! Shared helpers of this package's tests: a value, a manually controlled cluster, a simulation with faults,
//! and the checker of what its callers observed.
//!
//! Each test target uses only some of them, so unused code is allowed.
#![allow(dead_code)]

pub mod cluster;
pub mod history;
pub mod notes;
pub mod replacement;
pub mod simulation;
